//! The order in which the hosts of a data centre watch the store, and calls that
//! tell the first ones of a written term.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_ownership::rank_hosts;
use fulmarrill_position::DatabaseName;

use crate::catalogue::{HostEntry, ObjectVersion};
use crate::context::SharedContext;
use crate::peers::ProxyCall;
use crate::relay::update::{LONG_POLL_SLACK, forward_update, request_update};
use crate::server::ControlSender;
use crate::view::TrafficView;

/// Hosts at the head of the watch order that a host tries to poll. It also tries a
/// random one, in case the store is unreachable for all of these.
pub const FIXED_UPSTREAMS_MAX: usize = 2;
/// Key of the rendezvous hash that ranks the hosts of a data centre.
const WATCH_ORDER_KEY: &str = "watch";

/// Addresses of the hosts that precede this one in the watch order of its data
/// centre.
pub fn preceding_hosts(context: &SharedContext, view: &TrafficView) -> Vec<CompactString> {
    let place = &context.place;
    let mut hosts = Vec::new();
    for host in watch_order(view, &place.data_centre) {
        if host.name == place.host {
            break;
        }
        hosts.push(host.address.clone());
    }
    hosts
}

/// The hosts of a data centre in their watch order.
fn watch_order<'a>(view: &'a TrafficView, data_centre: &str) -> Vec<&'a HostEntry> {
    let near = view
        .hosts
        .values()
        .filter(|host| host.data_centre == data_centre);
    let mut order = Vec::new();
    for name in rank_hosts(WATCH_ORDER_KEY, near.map(|host| host.name.as_str())) {
        order.extend(view.hosts.get(name));
    }
    order
}

/// Tells the first hosts of each data centre that this host has written a term.
/// The store may be unreachable for them, and all other hosts poll them.
pub async fn notify_term_written(
    context: SharedContext,
    database: DatabaseName,
    version: ObjectVersion,
) {
    let view = wait_for_term(&context, &database, version).await;
    let mut data_centres: Vec<&str> = Vec::new();
    data_centres.extend(view.hosts.values().map(|host| host.data_centre.as_str()));
    data_centres.sort_unstable();
    data_centres.dedup();
    for data_centre in data_centres {
        for host in watch_order(&view, data_centre)
            .into_iter()
            .take(FIXED_UPSTREAMS_MAX)
        {
            if host.name == context.place.host || context.peers.is_avoided(&host.address) {
                continue;
            }
            let (context, address) = (context.clone(), host.address.clone());
            fulmarrill_runtime::spawn(async move {
                let deadline = Instant::now() + LONG_POLL_SLACK;
                let call = ProxyCall::TermWritten;
                if let Err(error) = context.peers.call(&address, call, deadline).await {
                    log::info!("{address}: notice of a written term failed: {error}");
                }
            })
            .detach();
        }
    }
}

/// Waits until the view has at least `version` of the term, but no longer than
/// [`LONG_POLL_SLACK`], and returns the view.
async fn wait_for_term(
    context: &SharedContext,
    database: &str,
    version: ObjectVersion,
) -> Arc<TrafficView> {
    let deadline = Instant::now() + LONG_POLL_SLACK;
    loop {
        let listener = context.view.listen();
        let view = context.view.load();
        let held = view.terms.get(database);
        if held.is_some_and(|held| held.version >= version) || Instant::now() >= deadline {
            return view;
        }
        context.view.wait(listener, deadline).await;
    }
}

/// Requests the terms of the host at `address`. From a host that the store does
/// not answer only terms are taken: their versions keep an older record from
/// replacing a newer one. If that host lists other hosts than this one does,
/// nothing is taken, since a run must not extend its leases before it has learnt
/// how it is listed.
pub async fn fetch_terms(context: &SharedContext, control: &ControlSender, address: &str) {
    let view = context.view.load();
    let request = request_update(context, &view, address, Duration::ZERO);
    let Some((asked_at, mut update)) = request.await else {
        return;
    };
    if !update.is_current {
        if update.hosts.is_some() {
            return;
        }
        update.instances = None;
        update.endpoints = None;
    }
    forward_update(context, control, *update, asked_at, &view);
}
