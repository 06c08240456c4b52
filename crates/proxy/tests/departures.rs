//! Which listed hosts count as gone, and who looks after whose entry.

use std::collections::BTreeMap;
use std::sync::Arc;

use fulmarrill_proxy::catalogue::HostEntry;
use fulmarrill_proxy::control::LEASE_TIME;
use fulmarrill_proxy::departures::{
    DepartureDetector, DepartureStep, PROBE_INTERVAL, entries_watched_by,
};
use fulmarrill_proxy::view::TrafficView;

fn host(name: &str, data_centre: &str) -> HostEntry {
    HostEntry {
        name: name.into(),
        run: format!("{name}~1").into(),
        address: "127.0.0.1:1".into(),
        data_centre: data_centre.into(),
        region: "north".into(),
        leaving: false,
    }
}

fn view_of(list: Vec<HostEntry>) -> TrafficView {
    let mut hosts = BTreeMap::new();
    for entry in &list {
        if !entry.leaving {
            hosts.insert(entry.name.clone(), entry.clone());
        }
    }
    TrafficView {
        hosts: Arc::new(hosts),
        listed_hosts: Arc::new(list),
        ..TrafficView::default()
    }
}

#[test]
fn host_is_marked_first_and_removed_long_after_its_leases_have_run_out() {
    let mut watch = DepartureDetector::default();
    let entry = host("h1", "north-1");
    let marked = HostEntry {
        leaving: true,
        ..entry.clone()
    };
    let mut rounds = 0;
    while watch.record_probe(&entry, false) != Some(DepartureStep::Mark) {
        rounds += 1;
    }
    assert!(rounds >= 2);
    let mut rounds_marked = 0;
    while watch.record_probe(&marked, false) != Some(DepartureStep::Remove) {
        rounds_marked += 1;
    }
    // The first round may come right behind the mark.
    assert!(PROBE_INTERVAL * rounds_marked >= 2 * LEASE_TIME);
}

#[test]
fn host_that_is_reached_once_counts_anew() {
    let mut watch = DepartureDetector::default();
    let entry = host("h1", "north-1");
    for _ in 0..10 {
        assert_eq!(watch.record_probe(&entry, false), None);
        assert_eq!(watch.record_probe(&entry, false), None);
        assert_eq!(watch.record_probe(&entry, true), None);
    }
}

/// A host that starts again under its name is another run.
#[test]
fn rounds_missed_by_an_earlier_run_do_not_count() {
    let mut watch = DepartureDetector::default();
    let first = host("h1", "north-1");
    watch.record_probe(&first, false);
    watch.record_probe(&first, false);
    let second = HostEntry {
        run: "h1~2".into(),
        ..first.clone()
    };
    assert_eq!(watch.record_probe(&second, false), None);
    watch.retain(std::slice::from_ref(&second));
    assert_eq!(watch.record_probe(&first, false), None);
}

#[test]
fn each_entry_has_three_keepers_of_its_own_data_centre() {
    let mut list = Vec::new();
    for index in 0..60 {
        list.push(host(&format!("n{index}"), &format!("centre-{}", index % 3)));
    }
    list.push(host("alone", "centre-far"));
    let view = view_of(list.clone());
    let mut keepers: BTreeMap<&str, Vec<&HostEntry>> = BTreeMap::new();
    for keeper in &list {
        for entry in entries_watched_by(&view, &keeper.name) {
            assert_ne!(entry.name, keeper.name);
            keepers.entry(&entry.name).or_default().push(keeper);
        }
    }
    for entry in &list {
        let keepers = &keepers[entry.name.as_str()];
        assert_eq!(keepers.len(), 3, "{}", entry.name);
        let is_near = |keeper: &&HostEntry| keeper.data_centre == entry.data_centre;
        assert!(entry.name == "alone" || keepers.iter().all(is_near));
    }
}

/// Hosts that are marked keep nothing, and are kept by others.
#[test]
fn marked_host_is_looked_after_and_looks_after_nobody() {
    let mut marked = host("h1", "north-1");
    marked.leaving = true;
    let view = view_of(vec![marked, host("h2", "north-1"), host("h3", "north-1")]);
    assert!(entries_watched_by(&view, "h1").is_empty());
    let kept = entries_watched_by(&view, "h2");
    assert!(kept.iter().any(|entry| entry.name == "h1"));
}
