//! Detection of vanished hosts, and which hosts watch which entries of the list.

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
        tier: 0,
        mark: 0,
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
fn unreachable_host_is_marked_and_removed_only_after_its_leases_expired() {
    let mut detector = DepartureDetector::default();
    let entry = host("h1", "north-1");
    let marked = HostEntry {
        leaving: true,
        ..entry.clone()
    };
    let mut probes_before_mark = 0;
    while detector.record_probe(&entry, false) != Some(DepartureStep::Mark) {
        probes_before_mark += 1;
    }
    assert!(probes_before_mark >= 2);
    let mut probes_after_mark = 0;
    while detector.record_probe(&marked, false) != Some(DepartureStep::Remove) {
        probes_after_mark += 1;
    }
    // The first probe may directly follow the mark, so only the intervals between
    // probes count.
    assert!(PROBE_INTERVAL * probes_after_mark >= 2 * LEASE_TIME);
}

#[test]
fn reached_host_resets_its_missed_probes() {
    let mut detector = DepartureDetector::default();
    let entry = host("h1", "north-1");
    for _ in 0..10 {
        assert_eq!(detector.record_probe(&entry, false), None);
        assert_eq!(detector.record_probe(&entry, false), None);
        assert_eq!(detector.record_probe(&entry, true), None);
    }
}

/// A host that restarts under its name is another run, whose missed probes count
/// from zero.
#[test]
fn missed_probes_of_earlier_run_do_not_count() {
    let mut detector = DepartureDetector::default();
    let first = host("h1", "north-1");
    detector.record_probe(&first, false);
    detector.record_probe(&first, false);
    let second = HostEntry {
        run: "h1~2".into(),
        ..first.clone()
    };
    assert_eq!(detector.record_probe(&second, false), None);
    detector.retain(std::slice::from_ref(&second));
    assert_eq!(detector.record_probe(&first, false), None);
}

#[test]
fn each_entry_is_watched_by_three_hosts_of_its_data_centre() {
    let mut list = Vec::new();
    for index in 0..60 {
        list.push(host(&format!("n{index}"), &format!("centre-{}", index % 3)));
    }
    list.push(host("alone", "centre-far"));
    let view = view_of(list.clone());
    let mut watchers: BTreeMap<&str, Vec<&HostEntry>> = BTreeMap::new();
    for watcher in &list {
        for entry in entries_watched_by(&view, &watcher.name) {
            assert_ne!(entry.name, watcher.name);
            watchers.entry(&entry.name).or_default().push(watcher);
        }
    }
    for entry in &list {
        let watchers = &watchers[entry.name.as_str()];
        assert_eq!(watchers.len(), 3, "{}", entry.name);
        let in_same_centre = |watcher: &&HostEntry| watcher.data_centre == entry.data_centre;
        assert!(entry.name == "alone" || watchers.iter().all(in_same_centre));
    }
}

/// A marked host watches no entry, and others watch its entry until its removal.
#[test]
fn marked_host_is_watched_and_watches_no_entry() {
    let mut marked = host("h1", "north-1");
    marked.leaving = true;
    let view = view_of(vec![marked, host("h2", "north-1"), host("h3", "north-1")]);
    assert!(entries_watched_by(&view, "h1").is_empty());
    let watched = entries_watched_by(&view, "h2");
    assert!(watched.iter().any(|entry| entry.name == "h1"));
}

/// Guards against an entry that is removed soon after its host took a mark back: the host may
/// have a lease.
#[test]
fn missed_probes_of_an_earlier_mark_do_not_count() {
    let mut detector = DepartureDetector::default();
    let mut marked = host("h1", "north-1");
    (marked.leaving, marked.mark) = (true, 1);
    detector.record_probe(&marked, false);
    detector.record_probe(&marked, false);
    marked.mark = 2;
    assert_eq!(detector.record_probe(&marked, false), None);
}
