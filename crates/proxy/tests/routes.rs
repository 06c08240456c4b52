//! The index of a view against the naive order of all hosts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use compact_str::{CompactString, format_compact};
use fulmarrill_proxy::catalogue::{HostEntry, InstanceEntry};
use fulmarrill_proxy::codec::DatabaseRole;
use fulmarrill_proxy::control::{ControlEvent, ControlState};
use fulmarrill_proxy::view::TrafficView;
use fulmarrill_proxy::view::routes::rank_of;
use rstest::rstest;

fn host(index: usize) -> HostEntry {
    HostEntry {
        name: format_compact!("h{index}"),
        run: format_compact!("h{index}~1"),
        address: format_compact!("10.0.{}.{}:7000", index / 250, index % 250 + 1),
        data_centre: format_compact!("dc-{}", index % 6),
        region: format_compact!("region-{}", index % 2),
        leaving: false,
        tier: 0,
        mark: 0,
    }
}

fn instance(index: usize) -> InstanceEntry {
    InstanceEntry {
        id: format_compact!("i-{index}"),
        database: format_compact!("orders-{}", index / 3),
        address: "10.1.0.1:7000".into(),
        data_centre: format_compact!("dc-{}", index % 3),
        slots: 4,
        leaving: false,
        role: DatabaseRole::Replica,
        started_ms: 1,
    }
}

fn view_of(hosts: usize, instances: usize) -> TrafficView {
    let mut regions: BTreeMap<CompactString, CompactString> = BTreeMap::new();
    for index in 0..6 {
        let region = format_compact!("region-{}", index % 2);
        regions.insert(format_compact!("dc-{index}"), region);
    }
    let mut state = ControlState::new(host(0), regions);
    let list = (0..hosts).map(host).collect();
    state.handle(
        Instant::now(),
        ControlEvent::Hosts {
            revision: 1.into(),
            list,
        },
    );
    let list = (0..instances).map(instance).collect();
    let event = ControlEvent::Instances {
        revision: 1.into(),
        as_of: None,
        list,
    };
    state.handle(Instant::now(), event);
    state.view()
}

#[rstest]
#[case::one_host(1)]
#[case::few(5)]
#[case::many(295)]
fn owners_are_those_of_the_naive_order(#[case] hosts: usize) {
    let view = view_of(hosts, 30);
    for instance in view.instances.values() {
        let region = Some("region-1");
        let naive = view.routes.all_candidates(instance, region);
        let candidates: Vec<_> = view.owner_candidates(instance, region).collect();
        assert_eq!(candidates, naive);
    }
}

#[test]
fn instances_of_a_database_are_those_of_the_naive_search() {
    let view = view_of(3, 30);
    for database in ["orders-0", "orders-9", "unknown"] {
        let naive = view.instances.values();
        let naive: Vec<_> = naive.filter(|entry| entry.database == database).collect();
        let indexed: Vec<_> = view.instances_of(database).collect();
        assert_eq!(indexed, naive);
    }
}

#[test]
fn rank_is_the_position_in_the_naive_order() {
    let view = view_of(40, 0);
    let hosts = Arc::clone(&view.hosts);
    let names = hosts.keys().map(CompactString::as_str);
    let order = fulmarrill_ownership::rank_hosts("orders", names);
    for (index, name) in order.into_iter().enumerate() {
        assert_eq!(rank_of("orders", &hosts, name), index);
    }
}

/// Owners change with the hosts, and not before.
#[test]
fn owners_follow_the_list_of_hosts() {
    let before = view_of(20, 3);
    let after = view_of(10, 3);
    for instance in after.instances.values() {
        let mut owners = after.owner_candidates(instance, None);
        assert!(owners.all(|owner| after.hosts.contains_key(&owner.name)));
        assert_eq!(before.owner_candidates(instance, None).count(), 20);
    }
}

fn owner_tiers_of(tiers: &[u8], instances: usize) -> Vec<u8> {
    let mut list = Vec::new();
    for (index, tier) in tiers.iter().enumerate() {
        let mut entry = host(index);
        entry.data_centre = "dc-0".into();
        entry.tier = *tier;
        list.push(entry);
    }
    let mut state = ControlState::new(list[0].clone(), BTreeMap::new());
    let now = Instant::now();
    state.handle(
        now,
        ControlEvent::Hosts {
            revision: 1.into(),
            list,
        },
    );
    let list = (0..instances).map(|index| instance(index * 3)).collect();
    let event = ControlEvent::Instances {
        revision: 1.into(),
        as_of: None,
        list,
    };
    state.handle(now, event);
    let view = state.view();
    let mut owners = Vec::new();
    for instance in view.instances.values() {
        let owner = view.owner_candidates(instance, None).next().unwrap();
        owners.push(owner.tier);
    }
    owners
}

/// Of 48 hosts three are strong, and 20 instances are in their data centre: entries
/// then need links to three owners there in place of twenty.
#[test]
fn strong_hosts_own_the_instances_of_their_data_centre() {
    let mut tiers = vec![0; 45];
    tiers.extend([2, 2, 2]);
    assert_eq!(owner_tiers_of(&tiers, 20), vec![2; 20]);
}

/// So many instances that the strong hosts would own more than eight each.
#[test]
fn weaker_hosts_own_instances_if_there_are_many() {
    let mut tiers = vec![0; 45];
    tiers.extend([2, 2]);
    let owners = owner_tiers_of(&tiers, 40);
    assert!(owners.contains(&0), "{owners:?}");
}

/// The loss of the only strong host must not move all instances at once.
#[test]
fn one_strong_host_is_not_the_only_owner() {
    let owners = owner_tiers_of(&[0, 0, 0, 3], 20);
    assert!(owners.contains(&0), "{owners:?}");
}
