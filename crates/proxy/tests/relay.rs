//! Which hosts watch the store and which upstreams the others poll.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use fulmarrill_proxy::catalogue::HostEntry;
use fulmarrill_proxy::history::{ListChanges, ListHistory};
use fulmarrill_proxy::relay::update::ListUpdate;
use fulmarrill_proxy::relay::{choose_upstreams, watch_delay};
use fulmarrill_proxy::view::UNREAD_DIGEST;
use rstest::rstest;

fn addresses(count: usize) -> Vec<CompactString> {
    (0..count)
        .map(|index| format_compact!("10.1.0.{index}:7000"))
        .collect()
}

/// Guards against an outage of the store in which all hosts call it: of 600 hosts
/// only the first three do so at once, and the others after a delay.
#[test]
fn first_hosts_of_watch_order_try_first() {
    let at_once = (0..600)
        .filter(|&preceding| watch_delay(preceding).is_zero())
        .count();
    assert_eq!(at_once, 3);
    let soon = (0..600)
        .filter(|&preceding| watch_delay(preceding) < Duration::from_secs(3))
        .count();
    assert_eq!(soon, 6);
    assert!(watch_delay(599) <= Duration::from_secs(6));
}

#[rstest]
#[case::none(0, 0)]
#[case::one(1, 1)]
#[case::fixed_only(2, 2)]
#[case::fixed_and_one_random(9, 3)]
fn few_upstreams_are_polled(#[case] preceding: usize, #[case] expected: usize) {
    assert_eq!(choose_upstreams(&addresses(preceding), 7).len(), expected);
}

/// Guards against fixed upstreams that the store does not answer: a current host
/// behind them is found, since each poll also tries a random one.
#[test]
fn each_preceding_host_may_be_polled() {
    let hosts = addresses(9);
    for address in &hosts {
        let found = (0..9).any(|random| choose_upstreams(&hosts, random).contains(address));
        assert!(found, "{address}");
    }
}

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
