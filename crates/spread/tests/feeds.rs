//! Which hosts watch the store and which feeds the others poll.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use fulmarrill_spread::order::watch_order;
use fulmarrill_spread::state::watch_delay;
use fulmarrill_spread::{FEED_COUNT, FeedKind, SpreadHost, SpreadState};
use rstest::rstest;

/// Hosts that one feed may choose from: the ancestors in the tree and the watchers,
/// or a few of its own kind and a few others.
const FEED_ADDRESSES_MAX: usize = 8;

fn hosts(count: usize) -> Vec<SpreadHost> {
    let mut hosts = Vec::new();
    for index in 0..count {
        let name = format_compact!("h{index}");
        let address = format_compact!("10.1.{}.{}:7000", index / 250, index % 250);
        let data_centre = format_compact!("dc-{}", index % 6);
        let region = format_compact!("region-{}", index % 2);
        hosts.push(SpreadHost::new(&name, &address, &data_centre, &region));
    }
    hosts
}

fn state_of(own: usize, count: usize, choices: [usize; FEED_COUNT]) -> SpreadState {
    let mut state = SpreadState::new(hosts(count.max(own + 1))[own].clone(), choices);
    state.set_hosts(hosts(count));
    state
}

/// Guards against an outage of the store in which all hosts call it: of 600 hosts
/// only the first three do so at once, and the others after a delay, but all of them
/// within six seconds, should the store answer only the last ones.
#[test]
fn first_hosts_of_watch_order_try_first() {
    let before = |limit: Duration| (0..600).filter(|&index| watch_delay(index) < limit).count();
    let at_once = (0..600).filter(|&index| watch_delay(index).is_zero());
    assert_eq!(at_once.count(), 3);
    // The earlier order of each of six data centres let 36 of 600 try by then.
    assert!(before(Duration::from_secs(3)) <= 36);
    assert!(watch_delay(599) <= Duration::from_secs(6));
}

/// No host that the store would answer waits longer than its delay for those before
/// it.
#[test]
fn every_host_watches_in_the_end_if_no_other_is_answered() {
    let now = Instant::now();
    for own in 0..600 {
        let mut state = state_of(own, 600, [1, 2, 3]);
        state.should_watch(now);
        assert!(state.should_watch(now + Duration::from_secs(6)), "{own}");
    }
}

#[rstest]
#[case::alone(1, 0)]
#[case::two(2, 1)]
#[case::few(6, 3)]
#[case::many(600, 3)]
fn few_hosts_are_polled_at_a_time(#[case] count: usize, #[case] expected: usize) {
    for own in [0, count / 2, count - 1] {
        let state = state_of(own, count, [7, 11, 13]);
        let own_address = &hosts(count)[own].address;
        let mut first = BTreeSet::new();
        for kind in FeedKind::ALL {
            let addresses = state.feed_addresses(kind);
            assert!(addresses.len() <= FEED_ADDRESSES_MAX, "{kind:?}");
            assert!(!addresses.contains(own_address), "{kind:?}");
            first.extend(addresses.into_iter().next());
        }
        assert!(first.len() <= expected, "{own}: {first:?}");
        assert_eq!(first.is_empty(), expected == 0);
    }
}

/// Guards against hosts whose news nobody may hear: for some choice of random numbers
/// each of the others is polled.
#[test]
fn each_other_host_may_be_polled() {
    let count = 60;
    let own = 5;
    let mut polled: BTreeSet<CompactString> = BTreeSet::new();
    for choice in 0..count {
        let state = state_of(own, count, [choice; FEED_COUNT]);
        for kind in FeedKind::ALL {
            polled.extend(state.feed_addresses(kind));
        }
    }
    // Hosts far back in the watch order poll their own region only.
    let order = watch_order(hosts(count));
    let is_front = order[..48].iter().any(|host| host.name == "h5");
    let region = &hosts(count)[own].region;
    for host in order {
        if host.name == "h5" || (!is_front && host.region != *region) {
            continue;
        }
        assert!(polled.contains(&host.address), "{}", host.name);
    }
}
