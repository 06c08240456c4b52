//! The key that a caller gives to a request.

use std::time::{Duration, SystemTime};

use compact_str::CompactString;
use thiserror::Error;

/// Longest key, in bytes.
const KEY_BYTES_MAX: usize = 128;
/// How far a caller's clock may be ahead.
const CLOCK_SKEW: Duration = Duration::from_mins(5);

/// Why a key is refused. The request did not run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// It is not of the form `MILLISECONDS-TEXT`.
    #[error("request key {0:?} is not of the form MILLISECONDS-TEXT (letters, digits, - _ . :)")]
    Malformed(CompactString),
    /// Its row may have been removed already, so it proves nothing.
    #[error("request key {0:?} was issued too long ago")]
    TooOld(CompactString),
    /// It would outlive its row.
    #[error("request key {0:?} was issued in the future")]
    Future(CompactString),
}

/// A key with its time of issue in milliseconds since 1970, `1733306400000-a1`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestKey {
    text: CompactString,
    issued_at: SystemTime,
}

impl RequestKey {
    /// Reads a key and checks that it is not older than keys are kept.
    ///
    /// # Errors
    ///
    /// Why the key cannot be used.
    pub fn parse(text: &str, now: SystemTime, kept: Duration) -> Result<Self, KeyError> {
        let form = || KeyError::Malformed(text.chars().take(KEY_BYTES_MAX).collect());
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        if text.len() > KEY_BYTES_MAX || !text.chars().all(plain) {
            return Err(form());
        }
        let (millis, name) = text.split_once('-').ok_or_else(form)?;
        let millis: u64 = millis.parse().map_err(|_| form())?;
        let issued_at = SystemTime::UNIX_EPOCH
            .checked_add(Duration::from_millis(millis))
            .filter(|_| !name.is_empty())
            .ok_or_else(form)?;
        if issued_at > now + CLOCK_SKEW {
            return Err(KeyError::Future(text.into()));
        }
        if issued_at + kept < now {
            return Err(KeyError::TooOld(text.into()));
        }
        Ok(Self {
            text: text.into(),
            issued_at,
        })
    }

    /// The key as the caller wrote it.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// When the caller issued it.
    #[must_use]
    pub fn issued_at(&self) -> SystemTime {
        self.issued_at
    }

    /// Milliseconds since 1970 of the time of issue.
    #[must_use]
    pub fn issued_millis(&self) -> u128 {
        self.issued_at
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |age| age.as_millis())
    }
}
