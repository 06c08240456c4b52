//! What hosts learn from each other, so that few of them ask the store.
//!
//! In each data centre the hosts stand in line. The first one watches the store;
//! the others follow a host before them by a question that waits for news. A
//! host that hears nothing current from those before it watches by itself: those
//! at the head of the line at once, the others some time later, so that an outage
//! of the store does not turn all hosts on it. One that the store does not answer
//! asks a few others.
//!
//! Leases may be passed on: they count from a question to the store, whoever
//! asked it.

pub mod knowledge;
pub mod line;
pub mod sight;

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_runtime::timeout_at;
use smol::Timer;

use crate::context::SharedContext;
use crate::relay::knowledge::{FOLLOW_TIME, ask_host, tell_knowledge};
use crate::relay::line::{LEADERS_MAX, hosts_before};
use crate::relay::sight::START_TIME;
use crate::server::ControlSender;
use crate::view::{NEVER_READ, TrafficView};

/// Longest time for control to take over what was just heard; it needs less than
/// one on an idle machine.
const TAKE_OVER_TIME: Duration = Duration::from_millis(100);
/// Time between two rounds of a host that watches by itself.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two rounds of a host that waits for one before it.
const WAIT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a host leaves watching to those before it, for each
/// [`HEAD_LENGTH`] of them: time for one of these to list and pass on what it
/// found, several times over.
const PATIENCE_TIME: Duration = Duration::from_millis(1500);
/// Steps of patience at most; after six seconds everybody tries.
const PATIENCE_MAX: u32 = 4;
/// Hosts at the head of a line that watch as soon as there is nobody to follow.
const HEAD_LENGTH: usize = 3;
/// Other hosts that one asks in a round while the store does not answer it.
const OTHERS_MAX: usize = 4;
/// Least time between two questions: two hosts may differ for a moment.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(30);

/// Those of the hosts before one that it tries to follow; `drawn` is a random
/// number.
#[must_use]
pub fn choose_leaders(hosts: &[CompactString], drawn: usize) -> Vec<CompactString> {
    let (head, rest) = hosts.split_at(hosts.len().min(LEADERS_MAX));
    let mut leaders = head.to_vec();
    if !rest.is_empty() {
        leaders.push(rest[drawn % rest.len()].clone());
    }
    leaders
}

/// How long a host with so many before it waits for one of them before it
/// watches the store by itself.
#[must_use]
pub fn watch_patience(before: usize) -> Duration {
    let steps = u32::try_from(before / HEAD_LENGTH).unwrap_or(u32::MAX);
    PATIENCE_TIME * steps.min(PATIENCE_MAX)
}

/// A few other hosts, drawn, those that were out of reach last.
fn any_hosts(context: &SharedContext, view: &TrafficView) -> Vec<CompactString> {
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
    addresses.truncate(OTHERS_MAX);
    addresses
}

/// Waits until control has read a list of hosts, be it empty, or a deadline.
async fn wait_for_hosts(context: &SharedContext, deadline: Instant) {
    while Instant::now() < deadline {
        let listener = context.view.listen();
        if context.view.load().digests.hosts != NEVER_READ {
            return;
        }
        context.view.wait(listener, deadline).await;
    }
}

/// Follows other hosts where there is one to follow, for as long as the task
/// lives.
pub async fn run_relay(context: SharedContext, control: ControlSender) {
    // Who stands before this host is known from the first answer, once control
    // has taken it over.
    let start = Instant::now();
    let listed = async {
        context.store.heard().await;
        wait_for_hosts(&context, start + START_TIME + TAKE_OVER_TIME).await;
    };
    timeout_at(start + START_TIME + TAKE_OVER_TIME, listed)
        .await
        .ok();
    let mut alone_since = None;
    loop {
        let next_at = Instant::now() + FOLLOW_INTERVAL;
        let hosts = hosts_before(&context, &context.view.load());
        if follow(&context, &control, &hosts).await {
            alone_since = None;
            context.store.set_wanted(false);
            Timer::at(next_at).await;
            continue;
        }
        let now = Instant::now();
        let waits_since = *alone_since.get_or_insert(now);
        let watches = now >= waits_since + watch_patience(hosts.len());
        if watches {
            context.store.set_wanted(true);
        }
        if context.store.is_overdue(now) {
            let view = context.view.load();
            for address in any_hosts(&context, &view) {
                if ask(&context, &control, &address, Duration::ZERO).await {
                    break;
                }
            }
        }
        let interval = if watches {
            ROUND_INTERVAL
        } else {
            WAIT_INTERVAL
        };
        Timer::after(interval).await;
    }
}

/// Asks the hosts before this one for news. Says whether one was current.
async fn follow(context: &SharedContext, control: &ControlSender, hosts: &[CompactString]) -> bool {
    for address in choose_leaders(hosts, fastrand::usize(..)) {
        if context.peers.is_avoided(&address) {
            continue;
        }
        if ask(context, control, &address, FOLLOW_TIME).await {
            return true;
        }
    }
    false
}

/// Asks one host. Says whether what it knows is current; of what is not, only a
/// host that knows nothing makes use.
async fn ask(
    context: &SharedContext,
    control: &ControlSender,
    address: &str,
    wait: Duration,
) -> bool {
    let view = context.view.load();
    let asking = ask_host(context, &view, address, wait);
    let Some((asked_at, knowledge)) = asking.await else {
        return false;
    };
    let is_current = knowledge.is_current;
    if !is_current && view.endpoints.is_some() {
        return false;
    }
    tell_knowledge(context, control, *knowledge, asked_at, &view);
    is_current
}
