//! Everything that is required of a database beyond the PostgreSQL protocol.
//!
//! PostgreSQL documents `pg_terminate_backend`. It has no fencing and no atomic
//! report of terms and positions, so the database must provide functions for
//! these. Support for another mechanism belongs in this module.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use bytes::BytesMut;
use compact_str::{CompactString, format_compact};
use fulmarrill_pg::{BackendResponse, ConnectTarget, DatabaseConnection, PgError};
use fulmarrill_position::{InstanceStatus, Term};

/// User name for connections to databases.
const USER: &str = "fulmarrill";

/// Number of the next query of this process that has one.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Takes a number for a query, whose answer repeats it as a column.
pub fn next_number() -> CompactString {
    format_compact!("{}", NEXT_NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// A statement that reports the status. Its answer repeats its number, which shows
/// that the answers of a connection still belong to its statements.
#[derive(Debug)]
pub struct StatusQuery {
    call: CompactString,
    number: CompactString,
}

impl StatusQuery {
    /// A query that runs one of the adapter's function calls.
    #[must_use]
    pub fn new(call: &str) -> Self {
        Self {
            call: call.into(),
            number: next_number(),
        }
    }

    /// Encodes the query.
    ///
    /// # Errors
    ///
    /// If it cannot be encoded.
    pub fn encode(&self) -> Result<BytesMut, PgError> {
        DatabaseConnection::encode_query(&format!("SELECT {}, {}", self.call, self.number))
    }

    /// Parses the status in the answer.
    ///
    /// # Errors
    ///
    /// If the answer is an error, belongs to another statement or has another form.
    pub fn read(&self, answer: &BackendResponse) -> Result<InstanceStatus, PgError> {
        if let Some(report) = &answer.error {
            let (code, message) = (report.code.clone(), report.message.clone());
            return Err(PgError::Server { code, message });
        }
        let row = answer.first_row().ok_or(PgError::Unsolicited)?;
        if row.text(1) != Some(&*self.number) {
            return Err(PgError::Unsolicited);
        }
        serde_json::from_str(row.text(0).unwrap_or_default()).map_err(|error| PgError::Server {
            code: "XX000".into(),
            message: format!("status cannot be read: {error}"),
        })
    }
}

/// The statements for databases.
#[derive(Debug, Clone, Copy)]
pub struct DatabaseAdapter;

impl DatabaseAdapter {
    /// Address, user and database to connect with.
    #[must_use]
    pub fn target(address: &str, database: &str) -> ConnectTarget {
        ConnectTarget::new(address, USER, database)
    }

    /// Call that reports the role, terms and positions of the instance.
    pub const STATUS: &'static str = "fulmarrill_status()";

    /// Terminates another connection of the same instance, which rolls its
    /// transaction back.
    #[must_use]
    pub fn terminate(process_id: i32) -> String {
        format!("SELECT pg_terminate_backend({process_id})")
    }

    /// Call that fences the instance at a term.
    #[must_use]
    pub fn fence(term: Term) -> String {
        format!("fulmarrill_fence({term})")
    }

    /// Call that makes the instance the primary of the term that it is fenced at.
    #[must_use]
    pub fn promote(term: Term) -> String {
        format!("fulmarrill_promote({term})")
    }

    /// Call that makes the instance follow the primary of a term.
    #[must_use]
    pub fn follow(term: Term, address: &str) -> String {
        format!("fulmarrill_follow({term}, '{address}')")
    }

    /// Runs a function call that reports the status, and parses it.
    ///
    /// # Errors
    ///
    /// As [`DatabaseConnection::exchange`], and if the answer has no status.
    pub async fn run(
        connection: &mut DatabaseConnection,
        call: &str,
        deadline: Instant,
    ) -> Result<InstanceStatus, PgError> {
        let query = StatusQuery::new(call);
        let answer = connection.exchange(&query.encode()?, deadline).await?;
        query.read(&answer)
    }
}
