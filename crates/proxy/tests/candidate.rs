//! Which replica a change of primary promotes, and when it has heard enough of them.

use fulmarrill_position::LogPoint;
use fulmarrill_proxy::catalogue::InstanceEntry;
use fulmarrill_proxy::change::candidate::{ChangeCandidate, CommitBounds, choose_candidate};
use fulmarrill_proxy::codec::{DatabaseRole, DatabaseStatus};
use rstest::rstest;

fn instance(id: &str, leaving: bool) -> InstanceEntry {
    InstanceEntry {
        id: id.into(),
        database: "orders".into(),
        address: "127.0.0.1:1".into(),
        data_centre: "north-1".into(),
        slots: 2,
        leaving,
        role: DatabaseRole::Replica,
        started_ms: 1,
    }
}

fn candidate(instance: &InstanceEntry, position: u64) -> ChangeCandidate<'_> {
    ChangeCandidate {
        instance,
        status: DatabaseStatus {
            role: DatabaseRole::Replica,
            term: 1,
            received: LogPoint::new(1, position),
            fence_term: 2,
        },
    }
}

/// Guards against a choice among too few replicas: a commit is on `sync_replicas` of
/// them, and none of those may be among the ones not heard.
#[rstest]
#[case::none_declared(2, 0, 1, true)]
#[case::one_of_two_heard(2, 1, 1, false)]
#[case::both_heard(2, 1, 2, true)]
#[case::the_only_one_heard(1, 1, 1, true)]
#[case::three_of_four_heard(4, 2, 3, true)]
#[case::two_of_four_heard(4, 2, 2, false)]
#[case::more_declared_than_there_are(1, 3, 1, true)]
fn newest_of_the_heard_has_every_commit(
    #[case] replicas: usize,
    #[case] sync_replicas: usize,
    #[case] heard: usize,
    #[case] is_allowed: bool,
) {
    let instance = instance("b", false);
    let bounds = CommitBounds {
        floor: None,
        replicas,
        sync_replicas,
    };
    let chosen = candidate(&instance, 7);
    assert_eq!(bounds.allow(&chosen, heard, false), is_allowed);
}

/// After a step-down the position of the old primary decides, and otherwise the
/// replicas that were heard once none can receive more.
#[rstest]
#[case::has_everything(9, true, 1, true)]
#[case::may_still_receive(8, true, 2, false)]
#[case::receives_no_more(8, false, 2, true)]
#[case::receives_no_more_and_one_is_not_heard(8, false, 1, false)]
fn replica_with_the_whole_log_is_waited_for(
    #[case] position: u64,
    #[case] may_wait: bool,
    #[case] heard: usize,
    #[case] is_allowed: bool,
) {
    let instance = instance("b", false);
    let bounds = CommitBounds {
        floor: Some(LogPoint::new(1, 9)),
        replicas: 2,
        sync_replicas: 1,
    };
    let chosen = candidate(&instance, position);
    assert_eq!(bounds.allow(&chosen, heard, may_wait), is_allowed);
}

#[test]
fn leaving_replica_is_chosen_only_for_a_newer_log() {
    let (staying, leaving) = (instance("b", false), instance("c", true));
    let equal = [candidate(&staying, 7), candidate(&leaving, 7)];
    assert_eq!(choose_candidate(&equal).unwrap().instance.id, "b");
    let newer = [candidate(&staying, 6), candidate(&leaving, 7)];
    assert_eq!(choose_candidate(&newer).unwrap().instance.id, "c");
}
