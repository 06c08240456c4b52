//! Selection of the instance for a read.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use fulmarrill_position::LogPoint;
//! use fulmarrill_routing::{InstanceView, ReadRequirement, choose_instance};
//!
//! let now = Instant::now();
//! let near = InstanceView::new("a", LogPoint::new(1, 9)).with_same_region(true);
//! let far = InstanceView::new("b", LogPoint::new(1, 9)).with_same_region(false);
//! let requirement = ReadRequirement::new(LogPoint::new(1, 5));
//! let views = [far, near];
//! let chosen = choose_instance(&views, &requirement, now).unwrap();
//! assert_eq!(chosen.name, "a");
//! ```
//!
//! The views are hints: the owner of the chosen instance checks the position
//! again on the connection that runs the read, so an outdated view costs time
//! but never consistency.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_position::LogPoint;

mod fixed;
mod leave;
mod observed;
mod share;

pub use crate::fixed::{Candidate, Distance, FixedPenalties, PrimaryUse};
pub use crate::leave::{ByteCosts, LeaveState, Observation, Place};
pub use crate::observed::{Hint, Link, Way};
pub use crate::share::Share;

/// Reads stay in their region unless its instances are expected to be slower by
/// more than this. The primary is chosen only if no replica is usable, because only
/// its slots can serve writes.
const REGION_PENALTIES: FixedPenalties = FixedPenalties {
    data_centre: Duration::ZERO,
    region: Duration::from_millis(60),
    primary: PrimaryUse::LastResort,
};

/// What an entry host knows about an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceView {
    /// Name of the instance.
    pub name: CompactString,
    /// Last point known to have been applied.
    pub applied: LogPoint,
    /// Whether the instance is in the entry host's region.
    pub same_region: bool,
    /// Whether the instance is the primary.
    pub primary: bool,
    /// Whether the instance accepts no new work or has not responded recently.
    pub unusable: bool,
    /// Expected time of the answer to a read sent now; `None` counts as now.
    pub answer_at: Option<Instant>,
    /// How far the instance was behind when last seen, taken as the time that it
    /// needs to apply a point that it lacks.
    pub lag: Duration,
}

impl InstanceView {
    /// Creates the view of a replica in the same region without load or lag.
    #[must_use]
    pub fn new(name: &str, applied: LogPoint) -> Self {
        Self {
            name: name.into(),
            applied,
            same_region: true,
            primary: false,
            unusable: false,
            answer_at: None,
            lag: Duration::ZERO,
        }
    }

    /// Sets whether the instance is in the entry host's region.
    #[must_use]
    pub fn with_same_region(mut self, same_region: bool) -> Self {
        self.same_region = same_region;
        self
    }

    /// Sets whether the instance is the primary.
    #[must_use]
    pub fn with_primary(mut self, primary: bool) -> Self {
        self.primary = primary;
        self
    }

    /// Sets whether the instance must not be chosen.
    #[must_use]
    pub fn with_unusable(mut self, unusable: bool) -> Self {
        self.unusable = unusable;
        self
    }

    /// Sets the expected time of the answer to a read sent now.
    #[must_use]
    pub fn with_answer_at(mut self, answer_at: Instant) -> Self {
        self.answer_at = Some(answer_at);
        self
    }

    /// Sets how far the instance was behind when last seen.
    #[must_use]
    pub fn with_lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }
}

/// What a read requires of an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadRequirement {
    /// Point that the instance must have applied.
    pub floor: LogPoint,
    /// Instances that were already tried without success.
    pub excluded: Vec<CompactString>,
}

impl ReadRequirement {
    /// Creates the requirement of a read that must see everything up to `floor`.
    #[must_use]
    pub fn new(floor: LogPoint) -> Self {
        Self {
            floor,
            excluded: Vec::new(),
        }
    }

    /// Sets the instances that were already tried.
    #[must_use]
    pub fn with_excluded(mut self, excluded: Vec<CompactString>) -> Self {
        self.excluded = excluded;
        self
    }
}

/// Chooses the replica that is expected to answer the read first, with
/// [`REGION_PENALTIES`].
///
/// The lag of a replica that has not yet applied the floor is added to its
/// expected time.
#[must_use]
pub fn choose_instance<'a>(
    views: &'a [InstanceView],
    requirement: &ReadRequirement,
    now: Instant,
) -> Option<&'a InstanceView> {
    let mut usable = Vec::new();
    let mut candidates = Vec::new();
    for view in views {
        if view.unusable || requirement.excluded.contains(&view.name) {
            continue;
        }
        let mut time = view
            .answer_at
            .map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        if view.applied < requirement.floor {
            time += view.lag;
        }
        let distance = if view.same_region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        };
        usable.push(view);
        candidates.push(Candidate {
            distance,
            is_primary: view.primary,
            is_avoided: false,
            time_s: time.as_secs_f64(),
        });
    }
    REGION_PENALTIES
        .choose(&candidates)
        .map(|index| usable[index])
}

/// Chooses replicas round-robin, regardless of load, lag and region; the baseline
/// that [`choose_instance`] is compared with. Without a usable replica it
/// chooses the primary.
#[must_use]
pub fn choose_round_robin(views: &[InstanceView], turn: usize) -> Option<&InstanceView> {
    let replicas: Vec<_> = views
        .iter()
        .filter(|view| !view.primary && !view.unusable)
        .collect();
    if replicas.is_empty() {
        return views.iter().find(|view| view.primary && !view.unusable);
    }
    Some(replicas[turn % replicas.len()])
}
