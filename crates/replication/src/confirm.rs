//! When a commit may be acknowledged.

use std::collections::BTreeMap;

use fulmarrill_position::{InstanceName, InstanceRole, InstanceStatus, LogPoint, Term};

use crate::group::DatabaseGroup;

/// Whether `status` counts towards confirming entries of `term`.
///
/// Both terms matter: after a failed promotion an instance may be fenced at a
/// later term than the one its log ends in, and the log of a primary that has
/// written nothing in its own term still ends in an older one.
#[must_use]
pub fn counts_for_term(status: &InstanceStatus, term: Term) -> bool {
    status.fence_term == term && status.received.term == term
}

/// The last point that a majority of `group` received in the group's term.
///
/// `None` when the primary is unknown or replaced, or when no majority holds
/// an entry of its term; nothing may be acknowledged then, nor read from the
/// primary.
#[must_use]
pub fn confirmed_point(
    group: &DatabaseGroup,
    statuses: &[(&str, InstanceStatus)],
) -> Option<LogPoint> {
    let primary = group.primary.as_deref()?;
    let mut primary_serves = false;
    let mut positions = Vec::new();
    for (name, status) in statuses {
        if group.instance(name).is_none() || !counts_for_term(status, group.term) {
            continue;
        }
        if *name == primary && status.role == InstanceRole::Primary {
            primary_serves = true;
        }
        positions.push(status.received.position);
    }
    if !primary_serves || positions.len() < group.majority() {
        return None;
    }
    positions.sort_unstable_by(|a, b| b.cmp(a));
    let position = positions[group.majority() - 1];
    Some(LogPoint::new(group.term, position))
}

/// Statuses heard of one group and the point confirmed by them.
///
/// A status stays true as evidence however old it is: what an instance had
/// received while it was fenced at a term is seen by every later promotion
/// that fences it. The confirmed point therefore never falls within a term.
#[derive(Debug, Clone)]
pub struct ConfirmTracker {
    group: DatabaseGroup,
    statuses: BTreeMap<InstanceName, InstanceStatus>,
    confirmed: Option<LogPoint>,
}

impl ConfirmTracker {
    /// A tracker that has heard nothing.
    #[must_use]
    pub fn new(group: DatabaseGroup) -> Self {
        Self {
            group,
            statuses: BTreeMap::new(),
            confirmed: None,
        }
    }

    /// The group that is tracked.
    #[must_use]
    pub fn group(&self) -> &DatabaseGroup {
        &self.group
    }

    /// Takes over a newer description of the group. An older one is ignored.
    pub fn set_group(&mut self, group: DatabaseGroup) {
        if group.term < self.group.term {
            return;
        }
        if group.term > self.group.term {
            self.confirmed = None;
        }
        self.group = group;
        self.refresh();
    }

    /// Takes an instance's report into account.
    pub fn observe(&mut self, instance: &str, status: InstanceStatus) {
        self.statuses.insert(instance.into(), status);
        self.refresh();
    }

    /// The last point that may be acknowledged, if any.
    #[must_use]
    pub fn confirmed(&self) -> Option<LogPoint> {
        self.confirmed
    }

    /// Whether a commit at `point` may be acknowledged.
    ///
    /// A point of an earlier term never is, though it compares as lower: the
    /// later term may have begun without it.
    #[must_use]
    pub fn is_confirmed(&self, point: LogPoint) -> bool {
        self.confirmed.is_some_and(|confirmed| {
            point.term == confirmed.term && point.position <= confirmed.position
        })
    }

    /// Whether some instance has been fenced past the group's term, so that
    /// this view of the group is out of date.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        let term = self.group.term;
        self.statuses
            .values()
            .any(|status| status.fence_term > term)
    }

    fn refresh(&mut self) {
        let statuses: Vec<_> = self
            .statuses
            .iter()
            .map(|(name, status)| (name.as_str(), *status))
            .collect();
        let point = confirmed_point(&self.group, &statuses);
        self.confirmed = self.confirmed.max(point);
    }
}
