//! Points in the replicated log of a database and the status of an instance.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Number of a period with one primary. It increases with each change of
/// primary.
pub type Term = u64;
/// Byte or entry offset in the write-ahead log; a `pg_lsn` in PostgreSQL.
pub type LogPosition = u64;

/// Bits in each half of a `pg_lsn`.
const LSN_HALF_BITS: u32 = 32;

/// A point in a database's history: the term of an entry and its position.
///
/// Points are ordered by term first, because an entry of a later term replaces
/// what an earlier primary wrote at the same position.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
pub struct LogPoint {
    /// Term in which the entry was written.
    pub term: Term,
    /// Position of the entry in the log.
    pub position: LogPosition,
}

impl LogPoint {
    /// Creates a point from its term and position.
    #[must_use]
    pub fn new(term: Term, position: LogPosition) -> Self {
        Self { term, position }
    }
}

impl fmt::Display for LogPoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, format_lsn(self.position))
    }
}

/// Role of an instance in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// Accepts writes unless it has been fenced at a later term.
    Primary,
    /// Follows a primary and serves reads.
    Replica,
}

/// Role, fence term and log progress that an instance reports.
///
/// The fence term can differ from the term of the last log entry: an instance
/// that was fenced by a failed promotion still holds a log that ends in an
/// older term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// Role that the instance currently assumes.
    pub role: InstanceRole,
    /// Highest term at which the instance has been fenced or promoted.
    pub fence_term: Term,
    /// Last entry received into the log.
    pub received: LogPoint,
    /// Last entry applied and therefore visible to reads.
    pub applied: LogPoint,
    /// Whether the instance has recently heard from its primary.
    pub streaming: bool,
    /// Whether its log is known to be contained in its primary's. A former
    /// primary may hold an unconfirmed tail until it has followed a new one.
    pub matched: bool,
}

/// A `pg_lsn` text that cannot be parsed.
#[derive(Debug, Error)]
#[error("log position {text:?} is not of the form HEX/HEX")]
pub struct LsnError {
    /// The rejected text.
    pub text: String,
}

/// Parses the text form of a `pg_lsn`: two hexadecimal halves, `16/B374D848`.
///
/// # Errors
///
/// Returns an [`LsnError`] with the text if it has any other form.
pub fn parse_lsn(text: &str) -> Result<LogPosition, LsnError> {
    let malformed = || LsnError {
        text: text.to_owned(),
    };
    let (high, low) = text.split_once('/').ok_or_else(malformed)?;
    let high = u32::from_str_radix(high, 16).map_err(|_| malformed())?;
    let low = u32::from_str_radix(low, 16).map_err(|_| malformed())?;
    Ok((u64::from(high) << LSN_HALF_BITS) | u64::from(low))
}

/// Formats a position as the text of a `pg_lsn`.
#[must_use]
pub fn format_lsn(position: LogPosition) -> String {
    let low = position & u64::from(u32::MAX);
    format!("{:X}/{:X}", position >> LSN_HALF_BITS, low)
}
