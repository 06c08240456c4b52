//! Spreads the state of the store between hosts, so that few hosts watch the
//! store itself.
//!
//! `fulmarrill-spread` decides which hosts watch and whom the others poll; this
//! module carries its messages. A host polls three feeds at the same time. Its
//! parent in the tree of the data centre sends new state with its answer; the
//! other two send versions, and their state is fetched only if it does not
//! arrive from the parent.
//!
//! State is taken from any host, since lists are compared by the store's
//! revision. Leases may be relayed, since they count from the request to the
//! store, whichever host sent it.

pub mod era;
pub mod monitor;
pub mod notice;
pub mod spreading;
pub mod staleness;
pub mod update;

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_runtime::timeout_at;
use fulmarrill_spread::{FeedKind, UNREAD_DIGEST};
use smol::Timer;

use crate::clock::BootTime;
use crate::context::SharedContext;
use crate::relay::monitor::FIRST_ANSWER_TIME;
use crate::relay::staleness::StalenessMonitor;
use crate::relay::update::{forward_update, request_update};
use crate::server::ControlSender;

/// Longest time for the control thread to apply an update; it needs less than a
/// millisecond on an idle machine.
const CONTROL_APPLY_TIME: Duration = Duration::from_millis(100);
/// Time between two decisions whether to watch the store, and before a feed that
/// has nobody to poll, or whose poll failed, tries again.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Least time between two polls of a feed: a poll is answered at once while the
/// versions of two hosts differ.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Time for new state to arrive from the parent before it is fetched from a host
/// that has told of it.
const PARENT_LEAD_TIME: Duration = Duration::from_millis(80);

/// Longest time for which an update that the parent is sending is waited for.
const PARENT_TRANSFER_TIME: Duration = Duration::from_secs(3);

/// Waits until the view contains a list of hosts, even an empty one, but no longer
/// than `deadline`.
async fn wait_for_host_list(context: &SharedContext, deadline: Instant) {
    while Instant::now() < deadline {
        let listener = context.view.listen();
        if context.view.load().versions.hosts.digest != UNREAD_DIGEST {
            return;
        }
        context.view.wait(listener, deadline).await;
    }
}

/// Waits until this host has read the list of hosts, or the store should have
/// answered for the first time.
async fn wait_for_start(context: &SharedContext) {
    let deadline = Instant::now() + FIRST_ANSWER_TIME + CONTROL_APPLY_TIME;
    let host_list = async {
        context.store.wait_for_first_answer().await;
        wait_for_host_list(context, deadline).await;
    };
    timeout_at(deadline, host_list).await.ok();
}

/// Decides again and again whether this host watches the store, and logs when its
/// state of the store is old, for as long as the task lives.
pub async fn run_watch_decisions(context: SharedContext) {
    wait_for_start(&context).await;
    let mut staleness = StalenessMonitor::default();
    loop {
        let should_watch = context.spreading.should_watch(Instant::now());
        context.store.set_watching(should_watch);
        let confirmed = context.view.load().confirmed;
        for change in staleness.update(&confirmed, BootTime::now()) {
            let age = change.age.unwrap_or_default();
            if change.is_stale {
                log::warn!(
                    "the store has not confirmed the {} for {age:?}",
                    change.list
                );
            } else {
                log::info!("the store confirms the {} again", change.list);
            }
        }
        Timer::after(ROUND_INTERVAL).await;
    }
}

/// Polls a feed for as long as the task lives.
pub async fn run_feed(context: SharedContext, control: ControlSender, kind: FeedKind) {
    wait_for_start(&context).await;
    let mut failures = 0;
    loop {
        let next_at = Instant::now() + POLL_INTERVAL;
        let addresses = feed_addresses(&context, kind);
        let address = addresses.get(failures % addresses.len().max(1));
        let is_answered = match address {
            Some(address) => poll_feed(&context, &control, address, kind).await,
            None => false,
        };
        if is_answered {
            failures = 0;
            Timer::at(next_at).await;
        } else {
            failures += 1;
            Timer::after(ROUND_INTERVAL).await;
        }
    }
}

/// Addresses that a feed may poll. A host that knows no other host asks the seeds
/// of its settings.
fn feed_addresses(context: &SharedContext, kind: FeedKind) -> Vec<CompactString> {
    let mut addresses = context.spreading.feed_addresses(kind);
    if addresses.is_empty() && kind == FeedKind::Parent {
        addresses.extend(context.seeds.load().iter().cloned());
        addresses.retain(|address| *address != context.place.address);
    }
    addresses.retain(|address| !context.peers.is_avoided(address));
    addresses
}

/// Polls one host. Returns whether it answered.
async fn poll_feed(
    context: &SharedContext,
    control: &ControlSender,
    address: &str,
    kind: FeedKind,
) -> bool {
    let view = context.view.load();
    let wait = kind.longest_wait();
    let request = request_update(context, &view, address, wait, kind.brings_state());
    let Some(update) = request.await else {
        return false;
    };
    let versions = update.versions();
    forward_update(context, control, update, &view);
    if kind.brings_state() || !versions.has_news_for(&context.view.load().versions) {
        return true;
    }
    Timer::after(PARENT_LEAD_TIME).await;
    // What the parent is sending would only be slowed down.
    let until = Instant::now() + PARENT_TRANSFER_TIME;
    while versions.has_news_for(&context.view.load().versions)
        && Instant::now() < until
        && is_parent_sending(context).await
    {
        Timer::after(PARENT_LEAD_TIME).await;
    }
    if versions.has_news_for(&context.view.load().versions) {
        return fetch_state(context, control, address).await;
    }
    true
}

/// Whether the parent is sending a large update.
async fn is_parent_sending(context: &SharedContext) -> bool {
    for address in feed_addresses(context, FeedKind::Parent) {
        if context.peers.is_receiving(&address).await {
            return true;
        }
    }
    false
}

/// Fetches everything that the host at `address` knows and this one does not.
/// Returns whether it answered.
pub async fn fetch_state(context: &SharedContext, control: &ControlSender, address: &str) -> bool {
    let view = context.view.load();
    let request = request_update(context, &view, address, Duration::ZERO, true);
    let Some(update) = request.await else {
        return false;
    };
    forward_update(context, control, update, &view);
    true
}
