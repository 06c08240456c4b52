//! Points in the replicated log of a database and what an instance reports.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Number of a period with one primary. It grows with each change of primary.
pub type Term = u64;
/// Byte or entry offset in the write-ahead log, the `pg_lsn` of PostgreSQL.
pub type LogPosition = u64;

/// Number of bits in the lower half of a `pg_lsn`.
const LSN_HALF_BITS: u32 = 32;

/// A point in a database's history: the term of an entry and its position.
///
/// Points are ordered by term first, since an entry of a later term replaces
/// whatever an earlier primary wrote at the same position.
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
    /// Makes a point from its term and position.
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

/// What an instance does in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// Takes writes, unless it has been fenced at a later term.
    Primary,
    /// Follows a primary and serves reads.
    Replica,
}

/// One instance's answer to the question how far it is.
///
/// The fence term and the term of the last log entry are different things: an
/// instance fenced by a failed promotion still holds a log that ends in an
/// older term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// Role that the instance believes it has.
    pub role: InstanceRole,
    /// Highest term at which the instance has been fenced or promoted.
    pub fence_term: Term,
    /// Last entry received into the log.
    pub received: LogPoint,
    /// Last entry applied, hence visible to reads.
    pub applied: LogPoint,
    /// Whether the instance heard from its primary a moment ago.
    pub streaming: bool,
    /// Whether its log is known to be a part of its primary's. A former primary
    /// may hold a tail that nobody confirmed until it has followed another.
    pub matched: bool,
}

/// A `pg_lsn` text that cannot be read.
#[derive(Debug, Error)]
#[error("log position {text:?} is not of the form HEX/HEX")]
pub struct LsnError {
    /// The text as it was found.
    pub text: String,
}

/// Reads the text form of a `pg_lsn`, two hexadecimal halves, `16/B374D848`.
///
/// # Errors
///
/// A [`LsnError`] that quotes the text when it has another form.
pub fn parse_lsn(text: &str) -> Result<LogPosition, LsnError> {
    let wrong = || LsnError {
        text: text.to_owned(),
    };
    let (high, low) = text.split_once('/').ok_or_else(wrong)?;
    let high = u32::from_str_radix(high, 16).map_err(|_| wrong())?;
    let low = u32::from_str_radix(low, 16).map_err(|_| wrong())?;
    Ok((u64::from(high) << LSN_HALF_BITS) | u64::from(low))
}

/// Writes a position in the text form of a `pg_lsn`.
#[must_use]
pub fn format_lsn(position: LogPosition) -> String {
    let low = position & u64::from(u32::MAX);
    format!("{:X}/{:X}", position >> LSN_HALF_BITS, low)
}
