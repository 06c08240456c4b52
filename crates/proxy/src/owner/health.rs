//! Decides whether an instance is down, from its owner's connection attempts
//! and answers.
//!
//! Pure: no I/O and no clock of its own. Only failures to set up a connection
//! count: the network may have broken or silenced an existing connection.

use std::time::{Duration, Instant};

/// Time since the first of several consecutive failures after which an instance
/// counts as down.
const DOWN_AFTER: Duration = Duration::from_millis(300);
/// Consecutive failures after which an instance counts as down.
const DOWN_FAILURES: u32 = 2;

/// Consecutive failed connection attempts to an instance, and its last answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct InstanceHealth {
    failing_since: Option<Instant>,
    failures: u32,
    answered_at: Option<Instant>,
}

impl InstanceHealth {
    /// Records an answer of any kind. It ends a series of failures.
    pub fn record_answer(&mut self, now: Instant) {
        *self = Self {
            answered_at: Some(now),
            ..Self::default()
        };
    }

    /// Records a failure to set up a connection.
    pub fn record_connect_failure(&mut self, now: Instant) {
        self.failures += 1;
        self.failing_since.get_or_insert(now);
    }

    /// Whether the last attempt to connect failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Whether the instance has failed often enough and for long enough to count
    /// as down.
    #[must_use]
    pub fn is_down(&self, now: Instant) -> bool {
        self.failures >= DOWN_FAILURES
            && self
                .failing_since
                .is_some_and(|since| now.saturating_duration_since(since) >= DOWN_AFTER)
    }

    /// Whether the instance answered at or after `since`.
    #[must_use]
    pub fn answered_since(&self, since: Instant) -> bool {
        self.answered_at.is_some_and(|at| at >= since)
    }
}
