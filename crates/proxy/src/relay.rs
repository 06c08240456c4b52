//! Relays the state of the store between hosts, so that few hosts watch the
//! store itself.
//!
//! The hosts of each data centre have a watch order. The first one watches the
//! store; each of the others long-polls an upstream host that precedes it. A
//! host that gets nothing current from its upstreams watches the store itself:
//! the first hosts of the order at once, the others after a delay, so that an
//! outage of the store does not make all hosts call it. A host that the store
//! does not answer polls a few random hosts.
//!
//! Leases may be relayed, since they count from the request to the store,
//! whichever host sent it.

pub mod monitor;
pub mod order;
pub mod update;

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_runtime::timeout_at;
use smol::Timer;

use crate::context::SharedContext;
use crate::relay::monitor::FIRST_ANSWER_TIME;
use crate::relay::order::{FIXED_UPSTREAMS_MAX, preceding_hosts};
use crate::relay::update::{LONG_POLL_TIME, forward_update, request_update};
use crate::server::ControlSender;
use crate::view::{TrafficView, UNREAD_DIGEST};

/// Longest time for the control thread to apply an update; it needs less than a
/// millisecond on an idle machine.
const CONTROL_APPLY_TIME: Duration = Duration::from_millis(100);
/// Time between two rounds of a host that watches the store.
const WATCHING_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two rounds of a host that waits for a preceding one.
const WAITING_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a host watches the store, for each [`HOSTS_PER_STEP`] hosts that
/// precede it: several times what one of these needs to list the store and to
/// relay the result.
const WATCH_DELAY_STEP: Duration = Duration::from_millis(1500);
/// Upper bound of the delay in steps: after six seconds every host tries.
const WATCH_DELAY_STEPS_MAX: u32 = 4;
/// Hosts that watch after the same delay. The first ones of a watch order have
/// no delay.
const HOSTS_PER_STEP: usize = 3;
/// Random hosts that a host polls in one round while the store does not answer.
const RANDOM_HOSTS_MAX: usize = 4;
/// Least time between two polls: the views of two hosts may differ for a moment,
/// and a poll is answered at once while they do.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Chooses the upstreams that a host tries to poll among those that precede it:
/// the first ones, and the one that the number `random` selects among the rest.
#[must_use]
pub fn choose_upstreams(hosts: &[CompactString], random: usize) -> Vec<CompactString> {
    let (head, rest) = hosts.split_at(hosts.len().min(FIXED_UPSTREAMS_MAX));
    let mut upstreams = head.to_vec();
    if !rest.is_empty() {
        upstreams.push(rest[random % rest.len()].clone());
    }
    upstreams
}

/// How long a host with `preceding` hosts before it waits for a current upstream
/// before it watches the store itself.
#[must_use]
pub fn watch_delay(preceding: usize) -> Duration {
    let steps = u32::try_from(preceding / HOSTS_PER_STEP).unwrap_or(u32::MAX);
    WATCH_DELAY_STEP * steps.min(WATCH_DELAY_STEPS_MAX)
}

/// Chooses a few other hosts at random, reachable ones first.
fn random_hosts(context: &SharedContext, view: &TrafficView) -> Vec<CompactString> {
    let mut addresses: Vec<CompactString> = Vec::new();
    for host in view.hosts.values() {
        addresses.push(host.address.clone());
    }
    addresses.extend(context.seeds.load().iter().cloned());
    addresses.retain(|address| *address != context.place.address);
    addresses.sort();
    addresses.dedup();
    fastrand::shuffle(&mut addresses);
    addresses.sort_by_key(|address| context.peers.is_avoided(address));
    addresses.truncate(RANDOM_HOSTS_MAX);
    addresses
}

/// Waits until the view contains a list of hosts, even an empty one, but no longer
/// than `deadline`.
async fn wait_for_host_list(context: &SharedContext, deadline: Instant) {
    while Instant::now() < deadline {
        let listener = context.view.listen();
        if context.view.load().digests.hosts != UNREAD_DIGEST {
            return;
        }
        context.view.wait(listener, deadline).await;
    }
}

/// Polls upstream hosts and decides whether this host watches the store, for as
/// long as the task lives.
pub async fn run_relay(context: SharedContext, control: ControlSender) {
    // The watch order is known once control has applied the first list of hosts.
    let start = Instant::now();
    let host_list = async {
        context.store.wait_for_first_answer().await;
        wait_for_host_list(&context, start + FIRST_ANSWER_TIME + CONTROL_APPLY_TIME).await;
    };
    timeout_at(start + FIRST_ANSWER_TIME + CONTROL_APPLY_TIME, host_list)
        .await
        .ok();
    let mut no_upstream_since = None;
    loop {
        let next_at = Instant::now() + POLL_INTERVAL;
        let hosts = preceding_hosts(&context, &context.view.load());
        if poll_upstreams(&context, &control, &hosts).await {
            no_upstream_since = None;
            context.store.set_watching(false);
            Timer::at(next_at).await;
            continue;
        }
        let now = Instant::now();
        let waiting_since = *no_upstream_since.get_or_insert(now);
        let should_watch = now >= waiting_since + watch_delay(hosts.len());
        if should_watch {
            context.store.set_watching(true);
        }
        if context.store.is_overdue(now) {
            let view = context.view.load();
            for address in random_hosts(&context, &view) {
                if poll_host(&context, &control, &address, Duration::ZERO).await {
                    break;
                }
            }
        }
        let interval = if should_watch {
            WATCHING_INTERVAL
        } else {
            WAITING_INTERVAL
        };
        Timer::after(interval).await;
    }
}

/// Polls the upstreams among the preceding `hosts` until one is current. Returns
/// whether one was.
async fn poll_upstreams(
    context: &SharedContext,
    control: &ControlSender,
    hosts: &[CompactString],
) -> bool {
    for address in choose_upstreams(hosts, fastrand::usize(..)) {
        if context.peers.is_avoided(&address) {
            continue;
        }
        if poll_host(context, control, &address, LONG_POLL_TIME).await {
            return true;
        }
    }
    false
}

/// Polls one host and forwards its update to control. Returns whether the update
/// is current; one that is not is used only while this host has no configuration.
async fn poll_host(
    context: &SharedContext,
    control: &ControlSender,
    address: &str,
    wait: Duration,
) -> bool {
    let view = context.view.load();
    let request = request_update(context, &view, address, wait);
    let Some((asked_at, update)) = request.await else {
        return false;
    };
    let is_current = update.is_current;
    if !is_current && view.endpoints.is_some() {
        return false;
    }
    forward_update(context, control, *update, asked_at, &view);
    is_current
}
