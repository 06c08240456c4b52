//! What this project asks of a database beyond the protocol, in one place.
//!
//! PostgreSQL documents `pg_terminate_backend`; it has no fencing and no report
//! of terms and positions that is atomic, so those come from functions that
//! the database must provide. Another way to do the same goes here.

use std::time::Instant;

use fulmarrill_pg::{BackendResponse, ConnectTarget, DatabaseConnection, PgError};
use fulmarrill_position::{InstanceStatus, Term};

/// User that connects to databases.
const USER: &str = "fulmarrill";

/// The statements of this project and how their answers are read.
#[derive(Debug, Clone, Copy)]
pub struct DatabaseAdapter;

impl DatabaseAdapter {
    /// Where and as whom to connect.
    #[must_use]
    pub fn target(address: &str, database: &str) -> ConnectTarget {
        ConnectTarget::new(address, USER, database)
    }

    /// Asks for terms and positions.
    pub const STATUS: &'static str = "SELECT fulmarrill_status()";

    /// Ends another connection of the same instance, and its transaction.
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

    /// Reads the status out of an answer to any of the statements above.
    ///
    /// # Errors
    ///
    /// When the answer is an error or has another form.
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

    /// Runs one of the statements above and reads the status in its answer.
    ///
    /// # Errors
    ///
    /// As [`DatabaseConnection::exchange`], and when there is no status.
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
