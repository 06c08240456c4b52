//! Who watches the store: what an outage or a failing head of the line brings.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use fulmarrill_proxy::catalogue::HostEntry;
use fulmarrill_proxy::history::{ListChanges, ListHistory};
use fulmarrill_proxy::relay::update::ListUpdate;
use fulmarrill_proxy::relay::{choose_upstreams, watch_delay};
use fulmarrill_proxy::view::NEVER_READ;
use rstest::rstest;

fn line(count: usize) -> Vec<CompactString> {
    (0..count)
        .map(|place| format_compact!("10.1.0.{place}:7000"))
        .collect()
}

/// Answers an outage of the store for everybody: of a line of 600 hosts only the
/// head calls it at once, and the others not before the head has tried for long.
#[test]
fn head_of_the_line_tries_first() {
    let at_once = (0..600)
        .filter(|&before| watch_delay(before).is_zero())
        .count();
    assert_eq!(at_once, 3);
    let soon = (0..600)
        .filter(|&before| watch_delay(before) < Duration::from_secs(3))
        .count();
    assert_eq!(soon, 6);
    assert!(watch_delay(599) <= Duration::from_secs(6));
}

#[rstest]
#[case::nobody(0, 0)]
#[case::one(1, 1)]
#[case::head_only(2, 2)]
#[case::head_and_one_drawn(9, 3)]
fn few_are_followed(#[case] before: usize, #[case] expected: usize) {
    assert_eq!(choose_upstreams(&line(before), 7).len(), expected);
}

/// Answers a head that is cut off from the store: whoever behind it is current is
/// found, since another one is drawn each time.
#[test]
fn everybody_before_a_host_is_drawn_some_time() {
    let hosts = line(9);
    for address in &hosts {
        let found = (0..9).any(|drawn| choose_upstreams(&hosts, drawn).contains(address));
        assert!(found, "{address}");
    }
}

/// A host that has just started answers questions before it has read anything.
#[test]
fn host_that_never_read_a_list_does_not_tell_of_an_empty_one() {
    let history: ListHistory<HostEntry> = ListHistory::default();
    assert!(ListUpdate::for_digest(7, NEVER_READ, &history, Vec::new).is_none());
}

#[test]
fn news_are_the_whole_list_only_where_the_difference_is_not_known() {
    let mut history: ListHistory<HostEntry> = ListHistory::default();
    history.record(7, 8, ListChanges::between(&[], &[]));
    assert!(ListUpdate::for_digest(8, 8, &history, Vec::new).is_none());
    let known = ListUpdate::for_digest(7, 8, &history, Vec::new);
    assert!(matches!(known, Some(ListUpdate::Changes(_))));
    let unknown = ListUpdate::for_digest(5, 8, &history, Vec::new);
    assert!(matches!(unknown, Some(ListUpdate::Whole(_))));
}
