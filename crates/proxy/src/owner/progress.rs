//! How far the log of an instance has come, so that a read which it cannot serve yet
//! is not sent to it. Pure: no I/O and no clock of its own.
//!
//! Load pattern: a replica falls behind for seconds while hundreds of entries, each
//! with a read of its database now and then, choose it again and again.

use std::time::{Duration, Instant};

use fulmarrill_position::LogPoint;

/// Time after which a read is sent to an instance again that had not reached the
/// read's position: a few times the usual interval between two commits.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The position of an instance's log as last seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogProgress {
    seen: Option<(LogPoint, Instant)>,
}

impl LogProgress {
    /// Records the position in an answer that arrived at `now`.
    pub fn record(&mut self, point: LogPoint, now: Instant) {
        self.seen = Some((point, now));
    }

    /// Whether a read that needs `floor` should be sent. A read that the last seen
    /// position does not cover is sent once in each [`RECHECK_INTERVAL`]; positions
    /// of different terms are not compared.
    pub fn should_send(&mut self, floor: LogPoint, now: Instant) -> bool {
        let Some((point, checked_at)) = &mut self.seen else {
            return true;
        };
        let is_behind = point.term == floor.term && point.position < floor.position;
        if !is_behind {
            return true;
        }
        let is_due = now.saturating_duration_since(*checked_at) >= RECHECK_INTERVAL;
        if is_due {
            *checked_at = now;
        }
        is_due
    }
}
