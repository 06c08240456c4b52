//! Confirmation of commits by a majority.

use fulmarrill_position::{InstanceRole, InstanceStatus, LogPoint};
use fulmarrill_replication::{ConfirmTracker, DatabaseGroup, GroupInstance};
use rstest::rstest;

fn group(term: u64, primary: &str) -> DatabaseGroup {
    let mut group = DatabaseGroup::new("registry-1", term, primary);
    for name in ["a", "b", "c"] {
        group = group.with_instance(GroupInstance::new(name, "kosice-a", "vychod"));
    }
    group
}

fn status(role: InstanceRole, fence_term: u64, received: LogPoint) -> InstanceStatus {
    let streaming = role == InstanceRole::Replica;
    InstanceStatus {
        role,
        fence_term,
        received,
        applied: received,
        streaming,
        matched: true,
    }
}

#[rstest]
#[case::replica_has_it(1, LogPoint::new(1, 7), true)]
#[case::replica_is_behind(1, LogPoint::new(1, 6), false)]
#[case::replica_is_fenced_later(2, LogPoint::new(1, 7), false)]
#[case::replica_log_ends_in_older_term(1, LogPoint::new(0, 9), false)]
fn confirms_by_majority_in_the_same_term(
    #[case] fence_term: u64,
    #[case] received: LogPoint,
    #[case] expected: bool,
) {
    let mut tracker = ConfirmTracker::new(group(1, "a"));
    tracker.observe("a", status(InstanceRole::Primary, 1, LogPoint::new(1, 7)));
    tracker.observe("b", status(InstanceRole::Replica, fence_term, received));
    assert_eq!(tracker.is_confirmed(LogPoint::new(1, 7)), expected);
}

#[test]
fn new_primary_confirms_only_after_an_entry_of_its_own_term() {
    let mut tracker = ConfirmTracker::new(group(2, "b"));
    tracker.observe("b", status(InstanceRole::Primary, 2, LogPoint::new(1, 7)));
    tracker.observe("c", status(InstanceRole::Replica, 2, LogPoint::new(1, 7)));
    assert_eq!(tracker.confirmed(), None);
}

/// Guards against acknowledging a commit of the old primary because its point
/// compares as lower than the one that the new primary has confirmed (issue 4).
#[test]
fn point_of_older_term_is_not_confirmed_by_later_term() {
    let mut tracker = ConfirmTracker::new(group(1, "a"));
    tracker.observe("a", status(InstanceRole::Primary, 1, LogPoint::new(1, 9)));
    tracker.set_group(group(2, "b"));
    tracker.observe("b", status(InstanceRole::Primary, 2, LogPoint::new(2, 8)));
    tracker.observe("c", status(InstanceRole::Replica, 2, LogPoint::new(2, 8)));
    assert!(tracker.is_confirmed(LogPoint::new(2, 8)));
    assert!(!tracker.is_confirmed(LogPoint::new(1, 9)));
    assert!(!tracker.is_confirmed(LogPoint::new(1, 3)));
}

#[test]
fn confirmed_point_does_not_decrease_when_an_instance_is_reset() {
    let mut tracker = ConfirmTracker::new(group(1, "a"));
    tracker.observe("a", status(InstanceRole::Primary, 1, LogPoint::new(1, 9)));
    tracker.observe("b", status(InstanceRole::Replica, 1, LogPoint::new(1, 9)));
    tracker.observe("b", status(InstanceRole::Replica, 0, LogPoint::default()));
    assert!(tracker.is_confirmed(LogPoint::new(1, 9)));
}
