//! Control state when the store comes back from an older copy, without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use fulmarrill_proxy::catalogue::{
    DatabaseLimits, EndpointTable, HostEntry, InstanceEntry, ObjectVersion, TermRecord,
};
use fulmarrill_proxy::clock::BootTime;
use fulmarrill_proxy::codec::DatabaseRole;
use fulmarrill_proxy::control::plan::{ABANDONED_CHANGE_TIMEOUT, ChangeReason, ControlAction};
use fulmarrill_proxy::control::{ControlEvent, ControlState, LEASE_TIME, QUIET_TIME, SETTLE_TIME};
use rstest::rstest;

const OWN_RUN: &str = "h1~1";
const OTHER_RUN: &str = "h2~1";

fn host(name: &str) -> HostEntry {
    HostEntry {
        name: name.into(),
        run: format!("{name}~1").into(),
        address: "127.0.0.1:1".into(),
        data_centre: "north-1".into(),
        region: "north".into(),
        leaving: false,
        tier: 0,
        mark: 0,
    }
}

fn instance(id: &str, role: DatabaseRole, leaving: bool) -> InstanceEntry {
    InstanceEntry {
        id: id.into(),
        database: "orders".into(),
        address: "127.0.0.1:1".into(),
        data_centre: "north-1".into(),
        slots: 2,
        leaving,
        role,
        started_ms: 1,
    }
}

fn record(term: u64, primary: &str, era: u64) -> TermRecord {
    TermRecord {
        database: "orders".into(),
        term,
        primary: primary.into(),
        fence: term,
        holders: vec![OWN_RUN.into(), OTHER_RUN.into()],
        changed_by: None,
        copies: Vec::new(),
        era,
        is_settled: true,
    }
}

fn hosts_event(revision: ObjectVersion, names: &[&str]) -> ControlEvent {
    let list = names.iter().map(|name| host(name)).collect();
    ControlEvent::Hosts { revision, list }
}

fn instances_event(revision: ObjectVersion, leaving: bool) -> ControlEvent {
    ControlEvent::Instances {
        revision,
        as_of: None,
        list: vec![
            instance("a", DatabaseRole::Primary, leaving),
            instance("b", DatabaseRole::Replica, false),
        ],
    }
}

fn terms_event(revision: ObjectVersion, record: TermRecord) -> ControlEvent {
    ControlEvent::Terms {
        as_of: BootTime::now(),
        revision,
        records: vec![(record, revision)],
    }
}

/// State of a host with term 3 of primary `a`, written in era 1 at revision 100.
fn state(now: Instant) -> ControlState {
    let regions = BTreeMap::from([("north-1".into(), "north".into())]);
    let mut state = ControlState::new(host("h1"), regions).with_first_start();
    let limits = DatabaseLimits {
        connections: 16,
        sync_replicas: 0,
    };
    let table = EndpointTable {
        version: 7,
        endpoints: BTreeMap::new(),
        databases: BTreeMap::from([("orders".into(), limits)]),
        transaction_idle_time: Duration::from_secs(3),
        customers: None,
    };
    state.handle(now, ControlEvent::Endpoints(table));
    let revision = ObjectVersion::new(1, 100);
    state.handle(now, hosts_event(revision, &["h1", "h2"]));
    state.handle(now, instances_event(revision, false));
    state.handle(now, terms_event(revision, record(3, "a", 1)));
    state
}

fn may_use(state: &ControlState, term: u64, at: BootTime) -> bool {
    state.view().terms["orders"].may_use_primary(term, at)
}

/// Later than any lease that was granted until now, and earlier than one granted later.
fn end_of_leases() -> BootTime {
    BootTime::now().after(LEASE_TIME)
}

#[test]
fn list_of_a_later_era_replaces_one_of_a_higher_revision_and_not_the_reverse() {
    let now = Instant::now();
    let mut state = state(now);
    state.handle(now, instances_event(ObjectVersion::new(2, 50), true));
    assert!(state.view().instances["a"].leaving);
    state.handle(now, instances_event(ObjectVersion::new(1, 101), false));
    assert!(state.view().instances["a"].leaving);
}

/// Guards against instances that are used again because an older copy of the store shows
/// them as they were.
#[rstest]
#[case::leaving(true)]
#[case::gone(false)]
fn instance_that_leaves_is_not_brought_back_by_an_older_copy(#[case] is_listed: bool) {
    let now = Instant::now();
    let mut state = state(now);
    let list = |is_leaving| {
        let mut list = vec![instance("a", DatabaseRole::Primary, false)];
        list.extend(is_listed.then(|| instance("b", DatabaseRole::Replica, is_leaving)));
        list
    };
    let event = |era, revision, list| ControlEvent::Instances {
        revision: ObjectVersion::new(era, revision),
        as_of: None,
        list,
    };
    let in_use = |state: &ControlState| {
        let view = state.view();
        view.instances.get("b").is_some_and(|entry| !entry.leaving)
    };
    state.handle(now, event(1, 101, list(true)));
    let later = now + Duration::from_secs(3);
    state.expire(later);
    let mut copy = vec![
        instance("a", DatabaseRole::Primary, false),
        instance("b", DatabaseRole::Replica, false),
    ];
    // The copy is shown twice, and then by a second copy.
    state.handle(later, event(2, 90, copy.clone()));
    assert!(!in_use(&state));
    state.handle(later, event(2, 91, copy.clone()));
    state.handle(later, event(3, 90, copy.clone()));
    assert!(!in_use(&state));
    // Another instance of the same id is not meant.
    copy[1].started_ms = 2;
    state.handle(later, event(3, 91, copy.clone()));
    assert!(in_use(&state));
    copy[1].started_ms = 1;
    state.handle(later, event(3, 92, copy));
    assert!(in_use(&state));
}

/// An instance whose entry was gone for a moment is used again in the end.
#[test]
fn instance_that_stays_listed_after_a_copy_is_used_again() {
    let now = Instant::now();
    let mut state = state(now);
    let both = state.view().listed_instances.to_vec();
    let event = |era, revision, list| ControlEvent::Instances {
        revision: ObjectVersion::new(era, revision),
        as_of: None,
        list,
    };
    state.handle(now, event(1, 101, both[..1].to_vec()));
    let later = now + Duration::from_secs(3);
    state.handle(later, event(2, 90, both));
    assert!(!state.view().instances.contains_key("b"));
    state.expire(later + Duration::from_secs(30));
    assert!(state.view().instances.contains_key("b"));
}

/// Guards against two primaries: the copy shows a term that has ended.
#[test]
fn term_that_ended_does_not_come_back_with_an_older_copy() {
    let now = Instant::now();
    let mut state = state(now);
    let copy = ObjectVersion::new(2, 90);
    state.handle(now, terms_event(copy, record(2, "b", 1)));
    let view = state.view();
    let term = &view.terms["orders"];
    assert_eq!((term.record.term, &*term.record.primary), (3, "a"));
    assert_eq!(term.stored, copy);
    // Written again in the new era by a host that did not know better.
    let rewritten = ObjectVersion::new(2, 95);
    state.handle(now, terms_event(rewritten, record(2, "b", 2)));
    let term = &state.view().terms["orders"];
    assert_eq!((term.record.term, term.stored), (3, rewritten));
    let written = ObjectVersion::new(2, 97);
    state.handle(now, terms_event(written, record(4, "b", 2)));
    assert_eq!(state.view().terms["orders"].record.term, 4);
}

/// Guards against a lease by a record that an older copy shows.
#[test]
fn record_of_an_older_copy_grants_no_lease_and_takes_none() {
    let now = Instant::now();
    let mut state = state(now);
    let old_leases_end = end_of_leases();
    assert!(may_use(&state, 3, BootTime::now()));
    std::thread::sleep(Duration::from_millis(5));
    let copy = ObjectVersion::new(2, 100);
    state.handle(now, hosts_event(copy, &["h1", "h2"]));
    state.handle(now, terms_event(copy, record(3, "a", 1)));
    assert!(may_use(&state, 3, BootTime::now()));
    assert!(!may_use(&state, 3, old_leases_end));
    let written = ObjectVersion::new(2, 101);
    state.handle(now, terms_event(written, record(3, "a", 2)));
    assert!(may_use(&state, 3, old_leases_end));
}

/// A host that knows the term only from the copy has nothing to use it by.
#[test]
fn record_of_an_older_copy_gives_a_later_term_no_lease() {
    let now = Instant::now();
    let mut state = state(now);
    let copy = ObjectVersion::new(2, 90);
    state.handle(now, terms_event(copy, record(5, "b", 1)));
    assert!(!may_use(&state, 5, BootTime::now()));
}

/// Guards against an order of a forgotten change that arrives after the term is in use
/// again, and against a record that is never written again.
#[test]
fn lost_record_is_written_again_after_the_quiet_time_by_a_run_with_a_lease() {
    let now = Instant::now();
    let mut state = state(now);
    let empty = ControlEvent::Terms {
        as_of: BootTime::now(),
        revision: ObjectVersion::new(2, 50),
        records: Vec::new(),
    };
    state.handle(now, empty);
    assert_eq!(state.plan(now), []);
    let shortly_before = now + QUIET_TIME * 99 / 100;
    assert_eq!(state.plan(shortly_before), []);
    let mut written = record(3, "a", 2);
    written.is_settled = false;
    // The second preferred owner waits for the first one a little.
    let later = now + QUIET_TIME + Duration::from_millis(600);
    let expected = ControlAction::WriteTerm {
        record: written,
        if_version: ObjectVersion::new(2, 0),
    };
    assert_eq!(state.plan(later), [expected]);
}

/// Guards against a term that is dropped because the store lost the entry of its holder.
#[test]
fn run_that_a_later_era_does_not_list_keeps_its_lease_and_writes_its_entry_once_a_second() {
    let now = Instant::now();
    let mut state = state(now);
    let old_leases_end = end_of_leases();
    std::thread::sleep(Duration::from_millis(5));
    state.handle(now, hosts_event(ObjectVersion::new(2, 50), &["h2"]));
    let written = ObjectVersion::new(2, 60);
    state.handle(now, terms_event(written, record(3, "a", 2)));
    let mut restores = Vec::new();
    for step in 0..100 {
        let at = now + Duration::from_millis(100) * step;
        state.expire(at);
        for action in state.plan(at) {
            assert_ne!(action, ControlAction::RegisterHost);
            if action == ControlAction::RestoreHost {
                restores.push(at);
            }
        }
    }
    assert!(may_use(&state, 3, BootTime::now()));
    // It is not extended: whoever does not find the run listed does not wait for it.
    assert!(!may_use(&state, 3, old_leases_end));
    assert!(restores.len() >= 9, "{restores:?}");
    let is_spaced = |pair: &[Instant]| pair[1] - pair[0] >= Duration::from_secs(1);
    assert!(restores.windows(2).all(is_spaced), "{restores:?}");
    state.handle(now, hosts_event(ObjectVersion::new(2, 70), &["h1", "h2"]));
    assert!(!state.plan(now).contains(&ControlAction::RestoreHost));
}

/// State of a host, not among the holders, whose store shows a record that was written again
/// in era 2 and is not settled.
fn unsettled_state(now: Instant, changed_by: Option<&str>) -> (ControlState, ObjectVersion) {
    let mut state = state(now);
    let written = ObjectVersion::new(2, 101);
    let mut confirmed = record(3, "a", 2);
    confirmed.holders = vec![OTHER_RUN.into()];
    confirmed.changed_by = changed_by.map(Into::into);
    confirmed.is_settled = false;
    state.handle(now, hosts_event(written, &["h1"]));
    state.handle(now, terms_event(written, confirmed));
    (state, written)
}

fn is_change(action: &ControlAction) -> bool {
    matches!(action, ControlAction::ChangePrimary { .. })
}

fn without_primary(revision: ObjectVersion) -> ControlEvent {
    ControlEvent::Instances {
        revision,
        as_of: None,
        list: vec![instance("b", DatabaseRole::Replica, false)],
    }
}

/// Guards against a change that does not wait for holders of which this host knows nothing.
#[rstest]
#[case::gone(None, &without_primary)]
#[case::down(None, &|_| ControlEvent::InstancesDown(BTreeSet::from(["a".into()])))]
#[case::handed_over(None, &|_| ControlEvent::ChangeHandedOver { database: "orders".into(), term: 3 })]
#[case::abandoned(Some("h9~1"), &|written| instances_event(written, true))]
fn no_change_begins_and_no_holder_is_dropped_until_the_term_is_settled(
    #[case] changed_by: Option<&str>,
    #[case] event: &dyn Fn(ObjectVersion) -> ControlEvent,
) {
    let now = Instant::now();
    let (mut state, written) = unsettled_state(now, changed_by);
    state.handle(now, event(written));
    for step in 0..24 {
        let at = now + Duration::from_millis(500) * step;
        let actions = state.plan(at);
        assert!(!actions.iter().any(is_change), "{actions:?}");
        for action in actions {
            if let ControlAction::WriteTerm { record, .. } = action {
                assert!(record.holders.contains(&OTHER_RUN.into()));
            }
        }
    }
    let settled_at = now + SETTLE_TIME;
    let mut is_planned = false;
    for step in 0..10 {
        let actions = state.plan(settled_at + Duration::from_millis(500) * step);
        is_planned |= actions.iter().any(is_change);
    }
    assert!(is_planned);
}

/// Guards against a primary that is used after it has drained: its change waited until the
/// term was settled.
#[test]
fn leaving_primary_is_replaced_before_the_term_is_settled() {
    let now = Instant::now();
    let (mut state, written) = unsettled_state(now, None);
    state.handle(now, instances_event(written, true));
    let mut actions = state.plan(now);
    // Behind the other host of the election order.
    actions.extend(state.plan(now + Duration::from_secs(1)));
    let expected = ControlAction::ChangePrimary {
        database: "orders".into(),
        version: written,
        reason: ChangeReason::Leaving,
        unsettled_until: Some(now + SETTLE_TIME),
    };
    assert!(actions.contains(&expected), "{actions:?}");
    for action in actions {
        if let ControlAction::WriteTerm { record, .. } = action {
            assert!(record.holders.contains(&OTHER_RUN.into()));
        }
    }
}

/// Guards against a change of primary over another one in the same era, by a host that
/// knows a later term, and against its fencing token a second time.
#[test]
fn reservation_of_a_host_that_knew_less_is_left_alone_until_it_is_abandoned() {
    let now = Instant::now();
    let mut state = state(now);
    let mut reserved = record(2, "a", 2);
    reserved.fence = 700;
    reserved.changed_by = Some(OTHER_RUN.into());
    state.handle(now, hosts_event(ObjectVersion::new(2, 95), &["h1", "h2"]));
    state.handle(now, terms_event(ObjectVersion::new(2, 95), reserved));
    for step in 0..39 {
        let actions = state.plan(now + Duration::from_millis(500) * step);
        assert_eq!(actions, [], "after {step} steps");
    }
    let merged = state.view().terms["orders"].merged_record();
    assert_eq!((merged.term, merged.fence), (3, 700));
    let abandoned_at = now + ABANDONED_CHANGE_TIMEOUT;
    assert_ne!(state.plan(abandoned_at + Duration::from_secs(1)), []);
}
