//! Rank queues, deadline-based admission and retry budgets.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use fulmarrill_schedule::{RankPolicy, RankQueue, WorkItem};
//!
//! let policies = vec![RankPolicy::new("urgent", 0.2), RankPolicy::new("report", 0.1)];
//! let now = Instant::now();
//! let mut queue = RankQueue::new(policies, 1, now);
//! let deadline = now + Duration::from_secs(1);
//! queue.offer(now, WorkItem::new(1, 1, "nightly", deadline)).unwrap();
//! queue.offer(now, WorkItem::new(2, 0, "renewals", deadline)).unwrap();
//! assert_eq!(queue.next(now).unwrap().id, 2);
//! ```
//!
//! The types are plain data structures that are driven by events and the current
//! time: they do no I/O, read no clock and start no threads.

mod budget;
mod hint;
mod queue;
mod rank;

pub use crate::budget::{RetryBudget, backoff_delay};
pub use crate::hint::{HintTable, QueueHint};
pub use crate::queue::{AdmissionRefusal, RankQueue, WorkId, WorkItem};
pub use crate::rank::{RankIndex, RankPolicy};
