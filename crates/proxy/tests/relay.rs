//! What a host sends to others that poll it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fulmarrill_proxy::catalogue::{EndpointEntry, EndpointTable, HostEntry, ReadFreshness};
use fulmarrill_proxy::control::{ControlEvent, ControlState};
use fulmarrill_proxy::history::{ListChanges, ListHistory};
use fulmarrill_proxy::relay::update::{EndpointUpdate, ListUpdate};
use fulmarrill_proxy::view::TrafficView;
use fulmarrill_spread::UNREAD_DIGEST;
use rstest::rstest;

/// A host that has just started answers long polls before it has read any list.
#[test]
fn host_that_never_read_a_list_sends_no_update_of_it() {
    let history: ListHistory<HostEntry> = ListHistory::default();
    assert!(ListUpdate::for_digest(7, UNREAD_DIGEST, &history, Vec::new).is_none());
}

#[test]
fn update_is_whole_list_only_if_delta_is_unknown() {
    let mut history: ListHistory<HostEntry> = ListHistory::default();
    history.record(7, 8, ListChanges::between(&[], &[]));
    assert!(ListUpdate::for_digest(8, 8, &history, Vec::new).is_none());
    let known = ListUpdate::for_digest(7, 8, &history, Vec::new);
    assert!(matches!(known, Some(ListUpdate::Changes(_))));
    let unknown = ListUpdate::for_digest(5, 8, &history, Vec::new);
    assert!(matches!(unknown, Some(ListUpdate::Whole(_))));
}

/// Endpoints of a configuration that grows.
const ENDPOINTS: usize = 1000;

fn endpoint(index: usize, statement_ms: u64) -> EndpointEntry {
    EndpointEntry {
        name: format!("endpoint-{index}").into(),
        database: "orders".into(),
        freshness: ReadFreshness::Aged(Duration::from_millis(1500)),
        statement_time: Duration::from_millis(statement_ms),
        rank: 1,
        is_public: false,
    }
}

fn table(version: u64, endpoints: usize, first_ms: u64) -> EndpointTable {
    let entries = (0..endpoints).map(|index| {
        let statement_ms = if index == 0 { first_ms } else { 800 };
        let entry = endpoint(index, statement_ms);
        (entry.name.clone(), entry)
    });
    EndpointTable {
        version,
        endpoints: entries.collect(),
        databases: BTreeMap::new(),
        transaction_idle_time: Duration::from_secs(3),
        customers: None,
    }
}

/// The view of a host that has received these configurations.
fn view_of(tables: &[EndpointTable]) -> TrafficView {
    let own = HostEntry {
        name: "h1".into(),
        run: "h1~1".into(),
        address: "127.0.0.1:1".into(),
        data_centre: "north-1".into(),
        region: "north".into(),
        leaving: false,
        tier: 0,
        mark: 0,
    };
    let mut state = ControlState::new(own, BTreeMap::new());
    for table in tables {
        state.handle(Instant::now(), ControlEvent::Endpoints(table.clone()));
    }
    state.view()
}

/// Guards against a configuration that is sent whole to every host for each change: hosts stayed
/// on old state while it was under way.
#[rstest]
#[case::one_changed(&[table(3, ENDPOINTS, 800), table(7, ENDPOINTS, 900)], 600)]
#[case::some_removed(&[table(3, ENDPOINTS, 800), table(7, ENDPOINTS - 5, 800)], 600)]
#[case::two_changes(&[table(3, ENDPOINTS, 800), table(4, ENDPOINTS, 900), table(7, ENDPOINTS, 700)], 600)]
#[case::grown(&[table(3, ENDPOINTS, 800), table(7, 2 * ENDPOINTS, 800)], 200_000)]
fn changed_configuration_is_sent_as_what_changed(
    #[case] tables: &[EndpointTable],
    #[case] bytes_max: usize,
) {
    let view = view_of(tables);
    let update = EndpointUpdate::since(3, &view).unwrap();
    let size = serde_json::to_vec(&update).unwrap().len();
    assert!(size < bytes_max, "{size} bytes");
    let whole = EndpointUpdate::Whole(tables[0].clone());
    let whole_size = serde_json::to_vec(&whole).unwrap().len();
    println!("{size} bytes, whole {whole_size}");
    let received = update.clone().into_table(Some(&tables[0]));
    assert_eq!(received.as_ref(), tables.last());
    // A host that has another configuration cannot apply it.
    assert_eq!(update.into_table(Some(&table(2, ENDPOINTS, 800))), None);
}

/// A host whose configuration is not among the latest gets the whole one.
#[rstest]
#[case::never_received(0)]
#[case::skipped_by_the_sender(5)]
fn configuration_is_sent_whole_to_hosts_that_are_far_behind(#[case] held: u64) {
    let tables = [table(3, 10, 800), table(7, 10, 900)];
    let update = EndpointUpdate::since(held, &view_of(&tables)).unwrap();
    assert!(matches!(update, EndpointUpdate::Whole(_)));
    assert_eq!(update.into_table(None).as_ref(), Some(&tables[1]));
}
