//! Time that goes on while the machine is suspended.
//!
//! `Instant` stands still during a suspension, so a lease measured by it would
//! outlive its term. Leases are kept in [`BootTime`].

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A moment on the clock that counts since boot, suspensions included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime {
    since_boot: Duration,
}

impl BootTime {
    /// The present moment.
    #[must_use]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
        Self {
            since_boot: Duration::new(seconds, nanoseconds),
        }
    }

    /// The moment `span` after this one.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self {
            since_boot: self.since_boot + span,
        }
    }

    /// The moment `span` before this one, or the start of the clock.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self {
            since_boot: self.since_boot.saturating_sub(span),
        }
    }

    /// Time from `earlier` to this moment, zero if that lies in the future.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.since_boot.saturating_sub(earlier.since_boot)
    }
}
