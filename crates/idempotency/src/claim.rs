//! The SQL statements and decisions for the row of a key.

use std::fmt::Write as _;

use sha2::{Digest, Sha256};

use crate::key::RequestKey;

/// Creates the table of keys, which every database that serves keyed requests
/// needs.
pub const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS fulmarrill_keys (\
     key text PRIMARY KEY, customer text NOT NULL, request_hash text NOT NULL, \
     issued_ms bigint NOT NULL, answer text)";

/// The stored row of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredClaim {
    /// Hash of the request that claimed the key.
    pub request_hash: String,
    /// Answer of that request; `None` if the key was voided.
    pub answer: Option<Vec<u8>>,
}

/// What to do after an attempt to claim a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The attempt claimed the key: run the request in the same transaction.
    Run,
    /// The request has already run: return its stored answer.
    Replay(Vec<u8>),
    /// The key was voided: the request has not run and never will.
    Void,
    /// The key was claimed by a different request.
    Mismatch,
}

/// SHA-256 of the request's bytes, in hexadecimal.
#[must_use]
pub fn request_hash(request: &[u8]) -> String {
    to_hex(&Sha256::digest(request))
}

/// Decides by the stored row; `stored` is `None` if the claim inserted the row.
#[must_use]
pub fn decide_claim(stored: Option<&StoredClaim>, hash: &str) -> ClaimDecision {
    let Some(stored) = stored else {
        return ClaimDecision::Run;
    };
    if stored.request_hash != hash {
        return ClaimDecision::Mismatch;
    }
    match &stored.answer {
        Some(answer) => ClaimDecision::Replay(answer.clone()),
        None => ClaimDecision::Void,
    }
}

/// SQL that opens a transaction and claims the key in it. The claim fails with
/// a unique violation if the key is taken.
///
/// Quotes in the customer are doubled; the key and the hash cannot contain any.
#[must_use]
pub fn claim_sql(key: &RequestKey, customer: &str, hash: &str) -> String {
    let customer = customer.replace('\'', "''");
    format!(
        "BEGIN; INSERT INTO fulmarrill_keys (key, customer, request_hash, issued_ms) \
         VALUES ('{}', '{customer}', '{hash}', {})",
        key.text(),
        key.issued_millis()
    )
}

/// SQL that voids a key: it claims the key without running the request, which
/// can then never run. It returns one row if the key was free.
#[must_use]
pub fn void_sql(key: &RequestKey, customer: &str, hash: &str) -> String {
    let customer = customer.replace('\'', "''");
    format!(
        "INSERT INTO fulmarrill_keys (key, customer, request_hash, issued_ms) \
         VALUES ('{}', '{customer}', '{hash}', {}) ON CONFLICT (key) DO NOTHING RETURNING key",
        key.text(),
        key.issued_millis()
    )
}

/// SQL that reads the row of a key: the hash, then the answer in hexadecimal.
#[must_use]
pub fn lookup_sql(key: &RequestKey) -> String {
    let key = key.text();
    format!("SELECT request_hash, answer FROM fulmarrill_keys WHERE key = '{key}'")
}

/// SQL that stores the answer and commits.
#[must_use]
pub fn store_sql(key: &RequestKey, answer: &[u8]) -> String {
    let key = key.text();
    let answer = to_hex(answer);
    format!("UPDATE fulmarrill_keys SET answer = '{answer}' WHERE key = '{key}'; COMMIT")
}

/// SQL that deletes rows of keys issued before `issued_before_ms`, at most 1000
/// per statement.
#[must_use]
pub fn prune_sql(issued_before_ms: u128) -> String {
    format!(
        "DELETE FROM fulmarrill_keys WHERE key IN (SELECT key FROM fulmarrill_keys \
         WHERE issued_ms < {issued_before_ms} LIMIT 1000)"
    )
}

impl StoredClaim {
    /// Parses the columns of [`lookup_sql`]; an answer that is not hexadecimal is
    /// treated as `None`.
    #[must_use]
    pub fn from_columns(request_hash: &str, answer: Option<&str>) -> Self {
        Self {
            request_hash: request_hash.to_owned(),
            answer: answer.and_then(from_hex),
        }
    }
}

fn to_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(text.len() / 2);
    for index in (0..text.len()).step_by(2) {
        bytes.push(u8::from_str_radix(text.get(index..index + 2)?, 16).ok()?);
    }
    Some(bytes)
}
