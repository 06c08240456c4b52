//! The session position, which a session carries from host to host.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use thiserror::Error;

use crate::point::{LogPoint, format_lsn, parse_lsn};
use crate::{DatabaseName, LsnError};

/// Maximum length of an accepted token, in bytes.
const TOKEN_BYTES_MAX: usize = 4096;

/// Per database, the minimum point that the session's next read must observe.
///
/// The text form is a comma-separated list of `NAME=TERM:LSN`. It is not
/// signed: a forged point only makes its sender wait and then read from the
/// primary.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SessionPosition {
    points: BTreeMap<DatabaseName, LogPoint>,
}

impl SessionPosition {
    /// Creates the position of a session that has not seen any data.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The minimum point that an instance must have applied to serve a read of
    /// `database`; the zero point if the session carries none.
    #[must_use]
    pub fn floor(&self, database: &str) -> LogPoint {
        self.points.get(database).copied().unwrap_or_default()
    }

    /// Whether the session carries a point for `database`.
    #[must_use]
    pub fn contains(&self, database: &str) -> bool {
        self.points.contains_key(database)
    }

    /// Raises the point of `database`; a lower point has no effect.
    pub fn advance(&mut self, database: &str, point: LogPoint) {
        let held = self.points.entry(DatabaseName::from(database)).or_default();
        *held = point.max(*held);
    }

    /// Raises each point to that of `other` where that is higher.
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

/// A session position that cannot be parsed.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The token is longer than the accepted maximum.
    #[error("session position has {0} bytes, the most is {TOKEN_BYTES_MAX}")]
    TooLong(usize),
    /// A part is not of the form `NAME=TERM:LSN`.
    #[error("session position part {0:?} is not of the form NAME=TERM:LSN")]
    Malformed(CompactString),
    /// The LSN of a part cannot be parsed.
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
            let malformed = || SessionError::Malformed(CompactString::from(part));
            let (database, point) = part.split_once('=').ok_or_else(malformed)?;
            let (term, lsn) = point.split_once(':').ok_or_else(malformed)?;
            let term = term.parse().map_err(|_| malformed())?;
            position.advance(database, LogPoint::new(term, parse_lsn(lsn)?));
        }
        Ok(position)
    }
}
