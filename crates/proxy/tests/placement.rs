//! Placement of reads under the load that the name of each case describes.

use std::time::{Duration, Instant};

use fulmarrill_position::LogPoint;
use fulmarrill_proxy::catalogue::InstanceEntry;
use fulmarrill_proxy::clock::BootTime;
use fulmarrill_proxy::codec::DatabaseRole;
use fulmarrill_proxy::entry::EntryState;
use fulmarrill_proxy::entry::placement::{
    EntryPlace, InstanceStats, ReadCandidate, choose_instance,
};
use rstest::rstest;

const PLACE: EntryPlace<'_> = EntryPlace {
    data_centre: "north-1",
    region: "north",
};

fn instance(id: &str, data_centre: &str, role: DatabaseRole) -> InstanceEntry {
    InstanceEntry {
        id: id.into(),
        database: "orders".into(),
        address: "127.0.0.1:1".into(),
        data_centre: data_centre.into(),
        slots: 2,
        leaving: false,
        role,
        started_ms: 1,
    }
}

fn busy(outstanding: u32) -> InstanceStats {
    InstanceStats {
        outstanding,
        ..InstanceStats::default()
    }
}

#[rstest]
#[case::idle_instances_keep_read_in_own_data_centre(0, 0, "near")]
#[case::short_queue_moves_read_to_other_data_centre(3, 0, "next")]
#[case::long_queues_move_read_to_other_region(20, 20, "far")]
fn read_goes_to_instance_with_least_expected_time(
    #[case] near: u32,
    #[case] next: u32,
    #[case] expected: &str,
) {
    let instances = [
        instance("near", "north-1", DatabaseRole::Replica),
        instance("next", "north-2", DatabaseRole::Replica),
        instance("far", "south-1", DatabaseRole::Replica),
    ];
    let candidates = [
        ReadCandidate {
            instance: &instances[0],
            region: Some("north"),
            stats: busy(near),
        },
        ReadCandidate {
            instance: &instances[1],
            region: Some("north"),
            stats: busy(next),
        },
        ReadCandidate {
            instance: &instances[2],
            region: Some("south"),
            stats: busy(0),
        },
    ];
    let chosen = choose_instance(&candidates, PLACE, Instant::now()).unwrap();
    assert_eq!(chosen.id, expected);
}

#[test]
fn idle_replica_is_preferred_to_idle_primary() {
    let instances = [
        instance("primary", "north-1", DatabaseRole::Primary),
        instance("replica", "north-2", DatabaseRole::Replica),
    ];
    let candidates = [
        ReadCandidate {
            instance: &instances[0],
            region: Some("north"),
            stats: busy(0),
        },
        ReadCandidate {
            instance: &instances[1],
            region: Some("north"),
            stats: busy(0),
        },
    ];
    let chosen = choose_instance(&candidates, PLACE, Instant::now()).unwrap();
    assert_eq!(chosen.id, "replica");
}

#[test]
fn avoided_instance_is_chosen_only_if_there_is_no_other() {
    let now = Instant::now();
    let instances = [
        instance("behind", "north-1", DatabaseRole::Replica),
        instance("far", "south-1", DatabaseRole::Replica),
    ];
    let mut stats = busy(0);
    stats.avoid_until = Some(now + Duration::from_millis(100));
    let behind = ReadCandidate {
        instance: &instances[0],
        region: Some("north"),
        stats,
    };
    let far = ReadCandidate {
        instance: &instances[1],
        region: Some("south"),
        stats: busy(0),
    };
    assert_eq!(
        choose_instance(&[behind, far], PLACE, now).unwrap().id,
        "far"
    );
    assert_eq!(choose_instance(&[behind], PLACE, now).unwrap().id, "behind");
    let later = now + Duration::from_millis(100);
    assert_eq!(
        choose_instance(&[behind, far], PLACE, later).unwrap().id,
        "behind"
    );
}

/// A host that was suspended for longer than the allowed age must have no fresh
/// position afterwards, although its monotonic clock stopped meanwhile.
#[test]
fn age_of_position_includes_suspended_time() {
    let entry = EntryState::new();
    let database = "registry-1".into();
    let now = BootTime::now().after(Duration::from_mins(1));
    let point = LogPoint::new(1, 1033);
    entry.record_position(&database, now.before(Duration::from_secs(4)), point);
    assert_eq!(
        entry.position_since(&database, now.before(Duration::from_secs(5))),
        Some(point)
    );
    assert_eq!(
        entry.position_since(&database, now.before(Duration::from_secs(2))),
        None
    );
}
