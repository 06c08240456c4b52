//! Whether an instance can be reached, judged by what its owner sees.
//!
//! Pure. Only failures to set up a connection count: a connection that breaks
//! or falls silent may have been lost by something between both ends.

use std::time::{Duration, Instant};

/// Time for which a failing instance must have failed before it counts as down.
const DOWN_AFTER: Duration = Duration::from_millis(300);
/// Failures in a row before an instance counts as down.
const DOWN_FAILURES: u32 = 2;

/// What an owner knows of an instance's reachability.
#[derive(Debug, Clone, Copy, Default)]
pub struct InstanceHealth {
    failing_since: Option<Instant>,
    failures: u32,
    answered_at: Option<Instant>,
}

impl InstanceHealth {
    /// Notes an answer, whatever it says.
    pub fn record_answer(&mut self, now: Instant) {
        *self = Self {
            answered_at: Some(now),
            ..Self::default()
        };
    }

    /// Notes that a connection could not be set up.
    pub fn record_connect_failure(&mut self, now: Instant) {
        self.failures += 1;
        self.failing_since.get_or_insert(now);
    }

    /// Whether the last attempt to connect failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Whether the instance has failed for long and often enough.
    #[must_use]
    pub fn is_down(&self, now: Instant) -> bool {
        self.failures >= DOWN_FAILURES
            && self
                .failing_since
                .is_some_and(|since| now.saturating_duration_since(since) >= DOWN_AFTER)
    }

    /// Whether something was heard of the instance at or after `since`.
    #[must_use]
    pub fn answered_since(&self, since: Instant) -> bool {
        self.answered_at.is_some_and(|at| at >= since)
    }
}
