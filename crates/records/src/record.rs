//! Request records and their chain hashes.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 hash of a record and of the chain before it.
pub type ChainHash = [u8; 32];

/// Outcome of a request, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Answered by the database, with a result or an error.
    Served,
    /// Refused before it ran.
    NotRun,
    /// May have run; the caller was told that the outcome is unknown.
    Unknown,
    /// Received; the host ended before the outcome was known.
    Received,
}

/// One request and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct RequestRecord {
    /// Milliseconds since 1970 by the clock of the host that received it.
    pub at_ms: u64,
    /// Service that sent the request.
    pub service: CompactString,
    /// Text of the request.
    pub statement: CompactString,
    /// Request key, if it had one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<CompactString>,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// SQLSTATE of the answer, if it was an error.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sqlstate: Option<CompactString>,
}

impl RequestRecord {
    /// Creates a record without a request key or an SQLSTATE.
    #[must_use]
    pub fn new(at_ms: u64, service: &str, statement: &str, outcome: RequestOutcome) -> Self {
        Self {
            at_ms,
            service: service.into(),
            statement: statement.into(),
            key: None,
            outcome,
            sqlstate: None,
        }
    }

    /// Sets the request key.
    #[must_use]
    pub fn with_key(mut self, key: Option<CompactString>) -> Self {
        self.key = key;
        self
    }

    /// Sets the SQLSTATE of the answer.
    #[must_use]
    pub fn with_sqlstate(mut self, sqlstate: Option<CompactString>) -> Self {
        self.sqlstate = sqlstate;
        self
    }

    /// Approximate size of the record in memory, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let key = self.key.as_ref().map_or(0, CompactString::len);
        size_of::<Self>() + self.service.len() + self.statement.len() + key
    }
}

/// Hash that precedes the first record of a chain.
#[must_use]
pub fn initial_hash(host: &str, customer: &str) -> ChainHash {
    let mut digest = Sha256::new();
    add_text(&mut digest, host);
    add_text(&mut digest, customer);
    digest.finalize().into()
}

/// Hash of record number `sequence`, where `previous` is the hash before it.
#[must_use]
pub fn chain_hash(previous: &ChainHash, sequence: u64, record: &RequestRecord) -> ChainHash {
    let mut digest = Sha256::new();
    digest.update(previous);
    digest.update(sequence.to_be_bytes());
    digest.update(record.at_ms.to_be_bytes());
    add_text(&mut digest, &record.service);
    add_text(&mut digest, &record.statement);
    add_text(&mut digest, record.key.as_deref().unwrap_or_default());
    add_text(&mut digest, record.sqlstate.as_deref().unwrap_or_default());
    digest.update([record.outcome as u8]);
    digest.finalize().into()
}

/// Adds a text with its length before it, so that moving bytes between
/// neighbouring texts changes the hash.
fn add_text(digest: &mut Sha256, text: &str) {
    digest.update((text.len() as u64).to_be_bytes());
    digest.update(text.as_bytes());
}
