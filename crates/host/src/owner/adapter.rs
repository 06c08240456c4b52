//! Everything that is required of a database beyond the PostgreSQL protocol.
//!
//! PostgreSQL documents `pg_terminate_backend`. It has no fencing and no atomic
//! report of terms and positions, so the database must provide functions for
//! these. Support for another mechanism belongs in this module.

use std::time::Instant;

use fulmarrill_pg::{BackendResponse, ConnectTarget, DatabaseConnection, PgError};
use fulmarrill_position::{InstanceStatus, Term};

/// User name for connections to databases.
const USER: &str = "fulmarrill";

/// The statements for databases, and the parser of their answers.
#[derive(Debug, Clone, Copy)]
pub struct DatabaseAdapter;

impl DatabaseAdapter {
    /// Address, user and database to connect with.
    #[must_use]
    pub fn target(address: &str, database: &str) -> ConnectTarget {
        ConnectTarget::new(address, USER, database)
    }

    /// Queries the role, terms and positions of the instance.
    pub const STATUS: &'static str = "SELECT fulmarrill_status()";

    /// Terminates another connection of the same instance, which rolls its
    /// transaction back.
    #[must_use]
    pub fn terminate(process_id: i32) -> String {
        format!("SELECT pg_terminate_backend({process_id})")
    }

    /// Fences the instance at a term.
    #[must_use]
    pub fn fence(term: Term) -> String {
        format!("SELECT fulmarrill_fence({term})")
    }

    /// Makes the instance the primary of the term that it is fenced at.
    #[must_use]
    pub fn promote(term: Term) -> String {
        format!("SELECT fulmarrill_promote({term})")
    }

    /// Makes the instance follow the primary of a term.
    #[must_use]
    pub fn follow(term: Term, address: &str) -> String {
        format!("SELECT fulmarrill_follow({term}, '{address}')")
    }

    /// Parses the status in an answer to one of the statements that report it.
    ///
    /// # Errors
    ///
    /// If the answer is an error or has another form.
    pub fn read_status(answer: &BackendResponse) -> Result<InstanceStatus, PgError> {
        if let Some(report) = &answer.error {
            let (code, message) = (report.code.clone(), report.message.clone());
            return Err(PgError::Server { code, message });
        }
        let rows = answer.rows();
        let text = rows.first().and_then(|row| row.text(0)).unwrap_or_default();
        serde_json::from_str(text).map_err(|error| PgError::Server {
            code: "XX000".into(),
            message: format!("status cannot be read: {error}"),
        })
    }

    /// Runs a statement that reports the status, and parses it.
    ///
    /// # Errors
    ///
    /// As [`DatabaseConnection::exchange`], and if the answer has no status.
    pub async fn run(
        connection: &mut DatabaseConnection,
        sql: &str,
        deadline: Instant,
    ) -> Result<InstanceStatus, PgError> {
        let bytes = DatabaseConnection::encode_query(sql)?;
        let answer = connection.exchange(&bytes, deadline).await?;
        Self::read_status(&answer)
    }
}
