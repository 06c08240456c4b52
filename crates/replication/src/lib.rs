//! Commit confirmation and promotion of a primary, as decision logic without I/O.
//!
//! ```
//! use fulmarrill_position::{InstanceRole, InstanceStatus, LogPoint};
//! use fulmarrill_replication::{DatabaseGroup, GroupInstance, confirmed_point};
//!
//! let mut group = DatabaseGroup::new("registry-1", 1, "a");
//! for name in ["a", "b", "c"] {
//!     group = group.with_instance(GroupInstance::new(name, "kosice-a", "vychod"));
//! }
//! let primary = InstanceStatus {
//!     role: InstanceRole::Primary,
//!     fence_term: 1,
//!     received: LogPoint::new(1, 9),
//!     applied: LogPoint::new(1, 9),
//!     streaming: false,
//!     matched: true,
//! };
//! let replica = InstanceStatus { role: InstanceRole::Replica, ..primary };
//! assert_eq!(confirmed_point(&group, &[("a", primary)]), None);
//! let point = confirmed_point(&group, &[("a", primary), ("b", replica)]);
//! assert_eq!(point, Some(LogPoint::new(1, 9)));
//! ```
//!
//! A commit is acknowledged once a majority of the group's instances have
//! received it in the primary's own term. A promotion first fences a majority
//! at a later term and then promotes the fenced instance with the newest log.
//! Any two majorities share an instance, so the promoted instance holds every
//! acknowledged commit. This argument does not depend on clocks.

mod confirm;
mod group;
mod monitor;
mod promotion;

pub use crate::confirm::{ConfirmTracker, confirmed_point, counts_for_term};
pub use crate::group::{DatabaseGroup, GroupError, GroupInstance};
pub use crate::monitor::{GroupMonitor, MonitorVerdict};
pub use crate::promotion::{PromotionAction, PromotionEvent, PromotionOutcome, PromotionPlan};
