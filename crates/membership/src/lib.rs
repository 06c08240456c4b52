//! Which members of a fleet are heard, and which have been lost.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use fulmarrill_membership::{MemberMonitor, WatchedMember};
//!
//! let start = Instant::now();
//! let mut monitor = MemberMonitor::new();
//! monitor.set_members(start, [WatchedMember::new("h2~1", 0)]);
//! let mut now = start;
//! while monitor.lost(now).is_empty() {
//!     now += Duration::from_millis(500);
//!     for run in monitor.due_probes(now) {
//!         monitor.record_miss(now, &run, false);
//!     }
//! }
//! assert!(now - start < Duration::from_secs(7));
//! ```
//!
//! Performs no I/O: it takes what was heard and the time, and returns whom to probe and who is
//! lost.

mod monitor;
mod watchers;

pub use crate::monitor::{MemberMonitor, MemberRun, WatchedMember};
pub use crate::watchers::{MemberPlace, watch_place};
