//! Choice of the instance for a read.
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
//! again on the connection that runs the read, so a wrong view costs time and
//! never consistency.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_position::LogPoint;

/// Cost of using the link between regions, as time: reads stay in their region
/// unless the local instances are slower by more than this.
const REGION_COST: Duration = Duration::from_millis(60);

/// What an entry knows of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceView {
    /// Name of the instance.
    pub name: CompactString,
    /// The last point known to be applied.
    pub applied: LogPoint,
    /// Whether it stands in the entry's region.
    pub same_region: bool,
    /// Whether it is the primary.
    pub primary: bool,
    /// Whether it takes no new work, or has not answered lately.
    pub unusable: bool,
    /// When a read that is sent now is expected to be answered.
    pub answer_at: Option<Instant>,
    /// When the instance is expected to have applied a point that it lacks:
    /// how far it was behind when last seen.
    pub lag: Duration,
}

impl InstanceView {
    /// A local replica without load.
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

    /// Sets whether it stands in the entry's region.
    #[must_use]
    pub fn with_same_region(mut self, same_region: bool) -> Self {
        self.same_region = same_region;
        self
    }

    /// Sets whether it is the primary.
    #[must_use]
    pub fn with_primary(mut self, primary: bool) -> Self {
        self.primary = primary;
        self
    }

    /// Sets whether it takes no new work.
    #[must_use]
    pub fn with_unusable(mut self, unusable: bool) -> Self {
        self.unusable = unusable;
        self
    }

    /// Sets when a read sent now is expected to be answered.
    #[must_use]
    pub fn with_answer_at(mut self, answer_at: Instant) -> Self {
        self.answer_at = Some(answer_at);
        self
    }

    /// Sets how far it was behind when last seen.
    #[must_use]
    pub fn with_lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }
}

/// What a read asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadRequirement {
    /// The point that must have been applied.
    pub floor: LogPoint,
    /// Instances that were tried and did not do.
    pub excluded: Vec<CompactString>,
}

impl ReadRequirement {
    /// A read that must see everything up to `floor`.
    #[must_use]
    pub fn new(floor: LogPoint) -> Self {
        Self {
            floor,
            excluded: Vec::new(),
        }
    }

    /// Leaves out instances that were tried.
    #[must_use]
    pub fn with_excluded(mut self, excluded: Vec<CompactString>) -> Self {
        self.excluded = excluded;
        self
    }
}

/// The instance by which the read is expected to be answered first.
///
/// A replica that has not applied the floor yet is expected to take its lag on
/// top. The primary is taken only when no replica is usable: its slots are the
/// only ones for writes.
#[must_use]
pub fn choose_instance<'a>(
    views: &'a [InstanceView],
    requirement: &ReadRequirement,
    now: Instant,
) -> Option<&'a InstanceView> {
    let mut best: Option<(&InstanceView, Duration)> = None;
    let mut primary = None;
    for view in views {
        if view.unusable || requirement.excluded.contains(&view.name) {
            continue;
        }
        if view.primary {
            primary = Some(view);
            continue;
        }
        let cost = expected_cost(view, requirement, now);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((view, cost));
        }
    }
    best.map(|(view, _)| view).or(primary)
}

/// Time until the answer, with the price of the link between regions.
fn expected_cost(view: &InstanceView, requirement: &ReadRequirement, now: Instant) -> Duration {
    let mut cost = view
        .answer_at
        .map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
    if view.applied < requirement.floor {
        cost += view.lag;
    }
    if !view.same_region {
        cost += REGION_COST;
    }
    cost
}

/// The naive choice: replicas in turn, whatever their load, lag and place.
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
