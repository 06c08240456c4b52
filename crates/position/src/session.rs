//! The position that a session carries from host to host.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use thiserror::Error;

use crate::point::{LogPoint, format_lsn, parse_lsn};
use crate::{DatabaseName, LsnError};

/// Longest token accepted, in bytes.
const TOKEN_BYTES_MAX: usize = 4096;

/// Per database, the point that a session's next read must have reached.
///
/// The text form is `NAME=TERM:LSN`, several joined by commas. It is not
/// signed: a forged point only makes its sender wait, then read the primary.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SessionPosition {
    points: BTreeMap<DatabaseName, LogPoint>,
}

impl SessionPosition {
    /// A session that has seen nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The lowest point that a read of `database` may be served from.
    #[must_use]
    pub fn floor(&self, database: &str) -> LogPoint {
        self.points.get(database).copied().unwrap_or_default()
    }

    /// Whether the session carries a point for `database`.
    #[must_use]
    pub fn contains(&self, database: &str) -> bool {
        self.points.contains_key(database)
    }

    /// Raises the point of `database`; a lower one changes nothing.
    pub fn advance(&mut self, database: &str, point: LogPoint) {
        let held = self.points.entry(DatabaseName::from(database)).or_default();
        *held = point.max(*held);
    }

    /// Takes over every point of `other` that is higher.
    pub fn merge(&mut self, other: &SessionPosition) {
        for (database, point) in &other.points {
            self.advance(database, *point);
        }
    }
}

impl fmt::Display for SessionPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (database, point)) in self.points.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            write!(
                f,
                "{database}={}:{}",
                point.term,
                format_lsn(point.position)
            )?;
        }
        Ok(())
    }
}

/// A session position that cannot be read.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The token is longer than any that this project writes.
    #[error("session position has {0} bytes, the most is {TOKEN_BYTES_MAX}")]
    TooLong(usize),
    /// One part is not of the form `NAME=TERM:LSN`.
    #[error("session position part {0:?} is not of the form NAME=TERM:LSN")]
    Malformed(CompactString),
    /// The position of one part cannot be read.
    #[error(transparent)]
    Lsn(#[from] LsnError),
}

impl FromStr for SessionPosition {
    type Err = SessionError;

    fn from_str(text: &str) -> Result<Self, SessionError> {
        if text.len() > TOKEN_BYTES_MAX {
            return Err(SessionError::TooLong(text.len()));
        }
        let mut position = Self::new();
        for part in text.split(',') {
            if part.is_empty() {
                continue;
            }
            let wrong = || SessionError::Malformed(CompactString::from(part));
            let (database, point) = part.split_once('=').ok_or_else(wrong)?;
            let (term, lsn) = point.split_once(':').ok_or_else(wrong)?;
            let term = term.parse().map_err(|_| wrong())?;
            position.advance(database, LogPoint::new(term, parse_lsn(lsn)?));
        }
        Ok(position)
    }
}
