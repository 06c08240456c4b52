//! Control state without I/O: holders, leases and reasons to change a primary.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use fulmarrill_proxy::catalogue::{
    DatabaseLimits, EndpointEntry, EndpointTable, HostEntry, InstanceEntry, ReadFreshness,
    TermRecord, VersionedTerm,
};
use fulmarrill_proxy::change::reach::hosts_to_ask;
use fulmarrill_proxy::clock::BootTime;
use fulmarrill_proxy::codec::DatabaseRole;
use fulmarrill_proxy::control::plan::{ChangeReason, ControlAction};
use fulmarrill_proxy::control::{ControlEvent, ControlState, LEASE_TIME};
use fulmarrill_spread::StoreRevision;
use rstest::rstest;

const OWN_RUN: &str = "h1~1";

/// Revision of the next list in a test; each list is newer than the one before it.
static NEXT_REVISION: AtomicU64 = AtomicU64::new(1000);

fn next_revision() -> StoreRevision {
    NEXT_REVISION.fetch_add(1, Ordering::Relaxed).into()
}

fn hosts_event(list: Vec<HostEntry>) -> ControlEvent {
    let revision = next_revision();
    ControlEvent::Hosts { revision, list }
}

fn instances_event(list: Vec<InstanceEntry>) -> ControlEvent {
    ControlEvent::Instances {
        revision: next_revision(),
        as_of: None,
        list,
    }
}

fn terms_event(as_of: BootTime, records: Vec<VersionedTerm>) -> ControlEvent {
    ControlEvent::Terms {
        as_of,
        revision: next_revision(),
        records,
    }
}

fn host(name: &str, run: &str) -> HostEntry {
    HostEntry {
        name: name.into(),
        run: run.into(),
        address: "127.0.0.1:1".into(),
        data_centre: "north-1".into(),
        region: "north".into(),
        leaving: false,
        tier: 0,
        mark: 0,
    }
}

fn instance(id: &str, role: DatabaseRole) -> InstanceEntry {
    InstanceEntry {
        id: id.into(),
        database: "orders".into(),
        address: "127.0.0.1:1".into(),
        data_centre: "north-1".into(),
        slots: 2,
        leaving: false,
        role,
        started_ms: 1,
    }
}

fn record(holders: &[&str]) -> TermRecord {
    TermRecord {
        database: "orders".into(),
        term: 3,
        primary: "a".into(),
        fence: 1,
        holders: holders.iter().map(|run| (*run).into()).collect(),
        changed_by: None,
        copies: Vec::new(),
        era: 0,
        is_settled: false,
    }
}

/// State of a host with one database of two instances, and without a term.
fn state(now: Instant) -> ControlState {
    let mut state = state_without_instances(now);
    state.handle(now, instances_event(primary_and_replica()));
    state
}

/// State of a host that has read the configuration and the hosts.
fn state_without_instances(now: Instant) -> ControlState {
    let regions = BTreeMap::from([("north-1".into(), "north".into())]);
    let mut state = ControlState::new(host("h1", OWN_RUN), regions);
    let limits = DatabaseLimits {
        connections: 16,
        sync_replicas: 0,
    };
    state.handle(
        now,
        ControlEvent::Endpoints(EndpointTable {
            version: 7,
            endpoints: BTreeMap::new(),
            databases: BTreeMap::from([("orders".into(), limits)]),
            transaction_idle_time: Duration::from_secs(3),
            customers: None,
        }),
    );
    state.handle(now, hosts_event(vec![host("h1", OWN_RUN)]));
    state
}

fn primary_and_replica() -> Vec<InstanceEntry> {
    vec![
        instance("a", DatabaseRole::Primary),
        instance("b", DatabaseRole::Replica),
    ]
}

fn with_term(now: Instant, record: TermRecord) -> (ControlState, BootTime) {
    let mut state = state(now);
    let as_of = BootTime::now();
    let records = vec![(record, 5.into())];
    state.handle(now, terms_event(as_of, records));
    (state, as_of)
}

#[test]
fn first_term_is_read_from_the_primary() {
    let now = Instant::now();
    let mut state = state(now);
    let as_of = BootTime::now();
    let records = Vec::new();
    state.handle(now, terms_event(as_of, records));
    assert_eq!(state.plan(now), [ControlAction::QueryTerm("a".into())]);
    let instance = "a".into();
    state.handle(now, ControlEvent::LeaderTerm { instance, term: 3 });
    let mut first = record(&[OWN_RUN]);
    first.fence = 0;
    let expected = ControlAction::WriteTerm {
        record: first,
        if_version: 0.into(),
    };
    assert_eq!(state.plan(now), [expected]);
}

#[test]
fn no_term_is_written_before_the_store_was_read() {
    let now = Instant::now();
    assert_eq!(state(now).plan(now), []);
}

#[test]
fn owner_joins_the_holders_and_drops_ended_runs() {
    let now = Instant::now();
    let (mut state, _) = with_term(now, record(&["h1~0"]));
    let expected = ControlAction::WriteTerm {
        record: record(&[OWN_RUN]),
        if_version: 5.into(),
    };
    assert_eq!(state.plan(now), [expected]);
}

#[test]
fn lease_counts_from_the_request_and_expires() {
    let now = Instant::now();
    let (state, as_of) = with_term(now, record(&[OWN_RUN]));
    let view = state.view();
    let term = &view.terms["orders"];
    assert!(term.may_use_primary(3, as_of));
    assert!(!term.may_use_primary(4, as_of));
    assert!(!term.may_use_primary(3, as_of.after(LEASE_TIME)));
}

#[test]
fn host_that_is_not_a_holder_may_not_use_the_primary() {
    let now = Instant::now();
    let (state, as_of) = with_term(now, record(&["h2~1"]));
    assert!(!state.view().terms["orders"].may_use_primary(3, as_of));
}

#[test]
fn no_host_may_use_the_primary_during_a_change() {
    let now = Instant::now();
    let mut changing = record(&[OWN_RUN]);
    changing.changed_by = Some("h2~1".into());
    let (state, as_of) = with_term(now, changing);
    assert!(!state.view().terms["orders"].may_use_primary(3, as_of));
    assert!(state.view().primary("orders").is_none());
}

#[test]
fn released_term_is_not_reacquired() {
    let now = Instant::now();
    let (mut state, as_of) = with_term(now, record(&[OWN_RUN]));
    assert!(state.release(&"orders".into(), 3, &OWN_RUN.into()));
    assert!(!state.view().terms["orders"].may_use_primary(3, as_of));
    // A later read of the record still lists this run as a holder.
    let records = vec![(record(&[OWN_RUN]), 6.into())];
    state.handle(now, terms_event(as_of, records));
    assert!(!state.view().terms["orders"].may_use_primary(3, as_of));
    assert_eq!(state.plan(now), []);
}

/// A leaving host still uses the primary for work that it has begun.
#[test]
fn leaving_host_takes_no_new_work_but_remains_a_holder() {
    let now = Instant::now();
    let (mut state, _) = with_term(now, record(&["h2~1"]));
    let leaving = HostEntry {
        leaving: true,
        ..host("h2", "h2~1")
    };
    state.handle(now, hosts_event(vec![host("h1", OWN_RUN), leaving]));
    let view = state.view();
    assert!(!view.hosts.contains_key("h2"));
    assert_eq!(view.host("h2").unwrap().run, "h2~1");
    let joined = ControlAction::WriteTerm {
        record: record(&["h2~1", OWN_RUN]),
        if_version: 5.into(),
    };
    assert_eq!(state.plan(now), [joined]);
}

/// Other hosts drop an unlisted run from the holders, so it must stop using the
/// primary once it has been missing from the list for the grace time.
#[rstest]
#[case::unlisted(None)]
#[case::marked_as_leaving(Some(true))]
fn unlisted_run_stops_using_the_primary(#[case] marked: Option<bool>) {
    let now = Instant::now();
    let (mut state, as_of) = with_term(now, record(&[OWN_RUN]));
    assert!(state.view().terms["orders"].may_use_primary(3, as_of));
    let mut list = vec![host("h2", "h2~1")];
    list.extend(marked.map(|leaving| HostEntry {
        leaving,
        ..host("h1", OWN_RUN)
    }));
    state.handle(now, hosts_event(list));
    let later = now + Duration::from_secs(3);
    assert!(state.expire(later));
    assert!(!state.view().terms["orders"].may_use_primary(3, as_of));
    assert_eq!(state.plan(later), [ControlAction::RegisterHost]);
    state.handle(later, hosts_event(vec![host("h1", OWN_RUN)]));
    assert!(state.view().terms["orders"].may_use_primary(3, as_of));
}

/// A list relayed by a host that is briefly behind must not stop this run from using
/// the primary.
#[test]
fn briefly_stale_host_list_changes_nothing() {
    let now = Instant::now();
    let (mut state, as_of) = with_term(now, record(&[OWN_RUN]));
    state.handle(now, hosts_event(vec![host("h2", "h2~1")]));
    assert!(state.view().terms["orders"].may_use_primary(3, as_of));
    let later = now + Duration::from_secs(1);
    let list = vec![host("h1", OWN_RUN), host("h2", "h2~1")];
    state.handle(later, hosts_event(list));
    assert!(!state.expire(now + Duration::from_secs(10)));
    assert!(state.view().terms["orders"].may_use_primary(3, as_of));
}

/// The host that hands a change over may have a newer record than this one.
#[test]
fn handed_over_change_waits_for_its_record() {
    let now = Instant::now();
    let (mut state, as_of) = with_term(now, record(&[OWN_RUN]));
    let (database, term, version) = ("orders".into(), 4, 6.into());
    state.handle(now, ControlEvent::ChangeHandedOver { database, term });
    assert_eq!(state.plan(now), []);
    let mut newer = record(&[OWN_RUN]);
    newer.term = term;
    let records = vec![(newer, version)];
    state.handle(now, terms_event(as_of, records));
    let expected = ControlAction::ChangePrimary {
        database: "orders".into(),
        version,
        reason: ChangeReason::Handed,
        unsettled_until: None,
    };
    assert_eq!(state.plan(now), [expected]);
}

/// Downstream hosts request changes since their own digest. These must lead to the
/// lists of this host, whatever the order of its events.
#[test]
fn history_leads_from_earlier_digest_to_current_lists() {
    let now = Instant::now();
    let (mut state, as_of) = with_term(now, record(&[OWN_RUN]));
    let before = state.view();
    let mut other = instance("c", DatabaseRole::Replica);
    state.handle(
        now,
        instances_event(vec![other.clone(), primary_and_replica().remove(0)]),
    );
    other.leaving = true;
    state.handle(
        now,
        instances_event(vec![primary_and_replica().remove(0), other]),
    );
    state.handle(
        now,
        hosts_event(vec![host("h2", "h2~1"), host("h1", OWN_RUN)]),
    );
    let newer = record(&[OWN_RUN, "h2~1"]);
    let (record, version) = (newer.clone(), 6.into());
    state.handle(
        now,
        ControlEvent::Term {
            as_of,
            record,
            version,
        },
    );
    let view = state.view();
    let instances = view
        .history
        .instances
        .since(before.versions.instances.digest)
        .unwrap();
    assert_eq!(
        instances.apply(&before.listed_instances),
        *view.listed_instances
    );
    let hosts = view
        .history
        .hosts
        .since(before.versions.hosts.digest)
        .unwrap();
    assert_eq!(hosts.apply(&before.listed_hosts), *view.listed_hosts);
    let terms = view
        .history
        .terms
        .since(before.versions.terms.digest)
        .unwrap();
    assert_eq!(terms.changed, [(newer, version)]);
}

#[test]
fn release_of_another_run_does_not_affect_this_one() {
    let now = Instant::now();
    let (mut state, as_of) = with_term(now, record(&[OWN_RUN]));
    assert!(!state.release(&"orders".into(), 3, &"h1~0".into()));
    assert!(state.view().terms["orders"].may_use_primary(3, as_of));
}

#[test]
fn older_record_does_not_replace_a_newer_one() {
    let now = Instant::now();
    let (mut state, as_of) = with_term(now, record(&[OWN_RUN]));
    let mut older = record(&[OWN_RUN]);
    older.term = 2;
    let records = vec![(older, 4.into())];
    state.handle(now, terms_event(as_of, records));
    assert_eq!(state.view().terms["orders"].record.term, 3);
}

#[test]
fn leaving_primary_is_replaced_at_once() {
    let now = Instant::now();
    let (mut state, _) = with_term(now, record(&[OWN_RUN]));
    let mut list = primary_and_replica();
    list[0].leaving = true;
    state.handle(now, instances_event(list));
    let expected = ControlAction::ChangePrimary {
        database: "orders".into(),
        version: 5.into(),
        reason: ChangeReason::Leaving,
        unsettled_until: None,
    };
    assert_eq!(state.plan(now), [expected]);
}

#[test]
fn primary_with_expired_entry_is_kept_for_a_grace_time() {
    let now = Instant::now();
    let (mut state, _) = with_term(now, record(&[OWN_RUN]));
    state.handle(now, instances_event(vec![primary_and_replica().remove(1)]));
    assert_eq!(state.plan(now), []);
    assert!(state.view().primary("orders").is_some());
    let later = now + Duration::from_secs(3);
    let planned = state.plan(later);
    assert!(matches!(
        planned[..],
        [ControlAction::ChangePrimary {
            reason: ChangeReason::Gone,
            unsettled_until: None,
            ..
        }]
    ));
    state.handle(later, instances_event(primary_and_replica()));
    assert_eq!(state.plan(later), []);
}

/// Guards against a primary that is never replaced: it died while all hosts were
/// down, so none that starts afterwards has ever seen its entry.
#[rstest]
#[case::instances_are_read_first(true)]
#[case::terms_are_read_first(false)]
fn primary_that_was_never_listed_is_replaced_after_the_grace_time(#[case] instances_first: bool) {
    let now = Instant::now();
    let mut state = state_without_instances(now);
    let instances = || instances_event(vec![instance("b", DatabaseRole::Replica)]);
    let terms = || terms_event(BootTime::now(), vec![(record(&["h1~0"]), 5.into())]);
    if instances_first {
        state.handle(now, instances());
        state.handle(now, terms());
    } else {
        state.handle(now, terms());
        state.handle(now, instances());
    }
    assert_eq!(state.plan(now + Duration::from_secs(2)), []);
    let expected = ControlAction::ChangePrimary {
        database: "orders".into(),
        version: 5.into(),
        reason: ChangeReason::Gone,
        unsettled_until: None,
    };
    assert_eq!(state.plan(now + Duration::from_secs(3)), [expected]);
}

/// Guards against a database that is never served again: its primary restarted within
/// a second, with its log and under a new id, and neither counted as the primary of its
/// term nor as gone.
#[rstest]
#[case::old_entry_has_expired(false)]
#[case::old_entry_is_still_listed(true)]
fn primary_that_restarted_under_a_new_id_keeps_its_term(#[case] keeps_old_entry: bool) {
    let now = Instant::now();
    let (mut state, _) = with_term(now, record(&[OWN_RUN]));
    let mut list = primary_and_replica();
    if !keeps_old_entry {
        list.remove(0);
    }
    let mut restarted = instance("z", DatabaseRole::Primary);
    restarted.started_ms = 2;
    list.push(restarted);
    state.handle(now, instances_event(list));
    assert_eq!(state.plan(now), [ControlAction::QueryTerm("z".into())]);
    let instance = "z".into();
    state.handle(now, ControlEvent::LeaderTerm { instance, term: 3 });
    let mut renamed = record(&[OWN_RUN]);
    renamed.primary = "z".into();
    let expected = ControlAction::WriteTerm {
        record: renamed,
        if_version: 5.into(),
    };
    assert_eq!(state.plan(now), [expected]);
}

/// An instance that leads an earlier term, or an earlier run of the primary, does not
/// take its place.
#[rstest]
#[case::earlier_term(2, 2)]
#[case::later_term(4, 2)]
#[case::earlier_start(3, 0)]
fn other_primary_is_not_entered_into_a_term(#[case] term: u64, #[case] started_ms: u64) {
    let now = Instant::now();
    let (mut state, _) = with_term(now, record(&[OWN_RUN]));
    let mut list = primary_and_replica();
    let mut other = instance("z", DatabaseRole::Primary);
    other.started_ms = started_ms;
    list.push(other);
    state.handle(now, instances_event(list));
    let instance = "z".into();
    state.handle(now, ControlEvent::LeaderTerm { instance, term });
    assert_eq!(state.plan(now), []);
}

/// The control state gets events many times per second, so expiry must not depend
/// on a pause between them.
#[test]
fn expired_replica_is_removed_while_events_arrive() {
    let now = Instant::now();
    let (mut state, _) = with_term(now, record(&[OWN_RUN]));
    state.handle(now, instances_event(vec![primary_and_replica().remove(0)]));
    assert!(state.view().instances.contains_key("b"));
    let later = now + Duration::from_secs(3);
    state.handle(later, ControlEvent::InstancesDown(BTreeSet::new()));
    assert!(!state.view().instances.contains_key("b"));
}

#[test]
fn handed_over_change_is_planned_once() {
    let now = Instant::now();
    let (mut state, _) = with_term(now, record(&[OWN_RUN]));
    let database = || "orders".into();
    let (term, version) = (3, 5.into());
    state.handle(
        now,
        ControlEvent::ChangeHandedOver {
            database: database(),
            term,
        },
    );
    let expected = ControlAction::ChangePrimary {
        database: database(),
        version,
        reason: ChangeReason::Handed,
        unsettled_until: None,
    };
    assert_eq!(state.plan(now), [expected]);
    assert_eq!(state.plan(now), []);
}

/// A change handed over for an earlier term does not apply to the current primary,
/// and one that a host has begun must not be begun twice.
#[rstest]
#[case::earlier_term(2, None)]
#[case::already_begun(3, Some("h2~1"))]
fn obsolete_handed_over_change_is_not_planned(#[case] term: u64, #[case] changed_by: Option<&str>) {
    let now = Instant::now();
    let mut held = record(&[OWN_RUN]);
    held.changed_by = changed_by.map(Into::into);
    let (mut state, _) = with_term(now, held);
    state.handle(
        now,
        hosts_event(vec![host("h1", OWN_RUN), host("h2", "h2~1")]),
    );
    let database = "orders".into();
    state.handle(now, ControlEvent::ChangeHandedOver { database, term });
    assert_eq!(state.plan(now), []);
}

#[test]
fn few_hosts_of_each_data_centre_are_asked_before_a_change() {
    let now = Instant::now();
    let (mut state, _) = with_term(now, record(&[OWN_RUN]));
    let mut hosts = Vec::new();
    for index in 0..100 {
        let mut other = host(&format!("n{index}"), &format!("n{index}~1"));
        other.data_centre = format!("centre-{}", index % 4).into();
        hosts.push(other);
    }
    state.handle(now, hosts_event(hosts));
    let view = state.view();
    let mut asked = BTreeMap::new();
    for asked_host in hosts_to_ask(&view, "a") {
        *asked.entry(asked_host.data_centre.clone()).or_insert(0) += 1;
    }
    // Ten of each data centre, and this host, which is alone in its own.
    let counts: Vec<i32> = asked.values().copied().collect();
    assert_eq!(counts, [10, 10, 10, 10, 1]);
}

#[test]
fn change_of_ended_run_is_taken_over() {
    let now = Instant::now();
    let mut changing = record(&[OWN_RUN]);
    changing.changed_by = Some("h2~1".into());
    let (mut state, _) = with_term(now, changing);
    assert!(matches!(
        state.plan(now)[..],
        [ControlAction::ChangePrimary {
            reason: ChangeReason::Abandoned,
            unsettled_until: None,
            ..
        }]
    ));
}

#[test]
fn change_of_live_run_is_not_taken_over() {
    let now = Instant::now();
    let mut changing = record(&[OWN_RUN]);
    changing.changed_by = Some("h2~1".into());
    let (mut state, _) = with_term(now, changing);
    let hosts = vec![host("h1", OWN_RUN), host("h2", "h2~1")];
    state.handle(now, hosts_event(hosts));
    assert_eq!(state.plan(now), []);
}

/// Guards against a change that ran out of time and that its host begins anew only after the
/// time for which others wait. The executor ignores it while the change is under way.
#[test]
fn change_of_this_run_is_begun_anew() {
    let now = Instant::now();
    let mut changing = record(&[OWN_RUN]);
    changing.changed_by = Some(OWN_RUN.into());
    let (mut state, _) = with_term(now, changing);
    assert!(matches!(
        state.plan(now)[..],
        [ControlAction::ChangePrimary {
            reason: ChangeReason::Abandoned,
            ..
        }]
    ));
}

/// The baseline of measurements applies no policy.
#[test]
fn baseline_reads_from_the_primary_with_one_rank() {
    let endpoint = EndpointEntry {
        name: "reports".into(),
        database: "orders".into(),
        freshness: ReadFreshness::Aged(Duration::from_secs(2)),
        statement_time: Duration::from_secs(1),
        rank: 2,
        is_public: false,
    };
    let table = EndpointTable {
        version: 7,
        endpoints: BTreeMap::from([("reports".into(), endpoint.clone())]),
        databases: BTreeMap::new(),
        transaction_idle_time: Duration::from_secs(3),
        customers: None,
    };
    let expected = EndpointEntry {
        freshness: ReadFreshness::Latest,
        rank: 0,
        ..endpoint
    };
    assert_eq!(table.into_baseline().endpoints["reports"], expected);
}

#[test]
fn older_configuration_is_ignored() {
    let now = Instant::now();
    let mut state = state(now);
    state.handle(
        now,
        ControlEvent::Endpoints(EndpointTable {
            version: 6,
            endpoints: BTreeMap::new(),
            databases: BTreeMap::new(),
            transaction_idle_time: Duration::ZERO,
            customers: None,
        }),
    );
    assert_eq!(state.view().endpoints.unwrap().version, 7);
}

/// Hosts take lists from several others, and an answer may be older than what is
/// known: an instance that has left must not come back by it, nor a host.
#[test]
fn list_of_an_earlier_revision_replaces_nothing() {
    let now = Instant::now();
    let mut state = state(now);
    let mut leaving = primary_and_replica();
    leaving[1].leaving = true;
    let event = |revision: u64, list| ControlEvent::Instances {
        revision: revision.into(),
        as_of: None,
        list,
    };
    state.handle(now, event(9000, leaving));
    state.handle(now, event(8999, primary_and_replica()));
    assert!(state.view().instances["b"].leaving);
    state.handle(now, event(9001, primary_and_replica()));
    assert!(!state.view().instances["b"].leaving);

    let hosts = |revision: u64, list| ControlEvent::Hosts {
        revision: revision.into(),
        list,
    };
    let both = vec![host("h1", OWN_RUN), host("h2", "h2~1")];
    state.handle(now, hosts(9000, vec![host("h1", OWN_RUN)]));
    state.handle(now, hosts(8999, both));
    assert!(!state.view().hosts.contains_key("h2"));
}

/// After a loss of all hosts the preferred owners of a primary start together; if all
/// wrote at once, all but one of the writes would fail, again and again.
#[test]
fn preferred_owners_join_the_holders_one_after_the_other() {
    let now = Instant::now();
    let names = ["h1", "h2", "h3"];
    let list: Vec<_> = names
        .iter()
        .map(|name| host(name, &format!("{name}~1")))
        .collect();
    let mut joined_at_once = 0;
    for name in names {
        let own = host(name, &format!("{name}~1"));
        let regions = BTreeMap::from([("north-1".into(), "north".into())]);
        let mut state = ControlState::new(own, regions);
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
        state.handle(now, hosts_event(list.clone()));
        state.handle(now, instances_event(primary_and_replica()));
        let records = vec![(record(&["h1~0"]), 5.into())];
        state.handle(now, terms_event(BootTime::now(), records));
        joined_at_once += state.plan(now).len();
        // Each joins in the end, should the others not.
        assert_eq!(state.plan(now + Duration::from_secs(1)).len(), 1, "{name}");
    }
    assert_eq!(joined_at_once, 1);
}
