//! Confirmation of commits by a majority of a group.

use std::collections::BTreeMap;

use fulmarrill_position::{InstanceName, InstanceRole, InstanceStatus, LogPoint, Term};

use crate::group::DatabaseGroup;

/// Whether `status` counts towards confirming entries of `term`.
///
/// Both the fence term and the term of the last entry must match: after a failed
/// promotion an instance may be fenced at a later term than that of its last
/// entry, and the log of a primary that has not written in its own term yet
/// still ends in an older one.
#[must_use]
pub fn counts_for_term(status: &InstanceStatus, term: Term) -> bool {
    status.fence_term == term && status.received.term == term
}

/// The last point that a majority of `group` has received in the group's term.
///
/// `None` if the group has no primary, if the primary's status does not count
/// for the term, or if no majority holds an entry of the term. In that case no
/// commit may be acknowledged and nothing may be read from the primary.
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

/// The reported statuses of a group and the point that they confirm.
///
/// A status remains valid evidence regardless of its age: what an instance had
/// received while it was fenced at a term is seen by every later promotion that
/// fences it. The confirmed point therefore never decreases within a term.
#[derive(Debug, Clone)]
pub struct ConfirmTracker {
    group: DatabaseGroup,
    statuses: BTreeMap<InstanceName, InstanceStatus>,
    confirmed: Option<LogPoint>,
}

impl ConfirmTracker {
    /// Creates a tracker without statuses.
    #[must_use]
    pub fn new(group: DatabaseGroup) -> Self {
        Self {
            group,
            statuses: BTreeMap::new(),
            confirmed: None,
        }
    }

    /// The tracked group.
    #[must_use]
    pub fn group(&self) -> &DatabaseGroup {
        &self.group
    }

    /// Replaces the group. A group of an older term is ignored; one of a later
    /// term clears the confirmed point.
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

    /// Records the status reported by an instance.
    pub fn observe(&mut self, instance: &str, status: InstanceStatus) {
        self.statuses.insert(instance.into(), status);
        self.refresh();
    }

    /// The last confirmed point, if any.
    #[must_use]
    pub fn confirmed(&self) -> Option<LogPoint> {
        self.confirmed
    }

    /// Whether a commit at `point` may be acknowledged.
    ///
    /// A point of an earlier term is never confirmed, although it compares as
    /// lower: the later term may have started without it.
    #[must_use]
    pub fn is_confirmed(&self, point: LogPoint) -> bool {
        self.confirmed.is_some_and(|confirmed| {
            point.term == confirmed.term && point.position <= confirmed.position
        })
    }

    /// Whether an instance is fenced at a later term than the group's, which means
    /// that this group is out of date.
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
