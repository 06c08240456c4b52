//! A clock that also advances while the machine is suspended.
//!
//! `Instant` does not advance during a suspension, so a lease measured by it
//! would last longer than it was granted for. Leases use [`BootTime`].

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A point in time on `CLOCK_BOOTTIME`: time since boot, suspensions included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime {
    since_boot: Duration,
}

impl BootTime {
    /// The current time.
    #[must_use]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
        Self {
            since_boot: Duration::new(seconds, nanoseconds),
        }
    }

    /// Time since boot.
    #[must_use]
    pub fn since_boot(self) -> Duration {
        self.since_boot
    }

    /// The time `span` after this one.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self {
            since_boot: self.since_boot + span,
        }
    }

    /// The time `span` before this one, or boot if that is later.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self {
            since_boot: self.since_boot.saturating_sub(span),
        }
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is the later one.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.since_boot.saturating_sub(earlier.since_boot)
    }
}
