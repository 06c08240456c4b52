//! The request key, which a caller assigns to a request.

use std::time::{Duration, SystemTime};

use compact_str::CompactString;
use thiserror::Error;

/// Maximum length of a key, in bytes.
const KEY_BYTES_MAX: usize = 128;
/// Maximum time by which a caller's clock may be ahead.
const CLOCK_SKEW_MAX: Duration = Duration::from_mins(5);

/// Why a key is rejected. The attempt that brought the key does not run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key is not of the form `MILLISECONDS-TEXT`.
    #[error("request key {0:?} is not of the form MILLISECONDS-TEXT (letters, digits, - _ . :)")]
    Malformed(CompactString),
    /// The key is past its retention: its row may have been pruned, so a missing
    /// row would not prove that the request has not run.
    #[error("request key {0:?} was issued too long ago")]
    TooOld(CompactString),
    /// The key is dated ahead by more than the allowed clock skew, so it could
    /// stay valid for longer than its row is kept.
    #[error("request key {0:?} was issued in the future")]
    Future(CompactString),
}

/// A key that starts with its time of issue in milliseconds since the Unix
/// epoch, for example `1733306400000-a1`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestKey {
    text: CompactString,
    issued_at: SystemTime,
}

impl RequestKey {
    /// Parses a key and checks that it is neither older than `retention` nor
    /// later than `now` by more than the allowed clock skew.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] if the key is malformed, too old or in the future.
    pub fn parse(text: &str, now: SystemTime, retention: Duration) -> Result<Self, KeyError> {
        let malformed = || KeyError::Malformed(text.chars().take(KEY_BYTES_MAX).collect());
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        if text.len() > KEY_BYTES_MAX || !text.chars().all(is_allowed) {
            return Err(malformed());
        }
        let (millis, name) = text.split_once('-').ok_or_else(malformed)?;
        let millis: u64 = millis.parse().map_err(|_| malformed())?;
        let issued_at = SystemTime::UNIX_EPOCH
            .checked_add(Duration::from_millis(millis))
            .filter(|_| !name.is_empty())
            .ok_or_else(malformed)?;
        if issued_at > now + CLOCK_SKEW_MAX {
            return Err(KeyError::Future(text.into()));
        }
        if issued_at + retention < now {
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

    /// Time of issue in milliseconds since the Unix epoch.
    #[must_use]
    pub fn issued_millis(&self) -> u128 {
        self.issued_at
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |age| age.as_millis())
    }
}
