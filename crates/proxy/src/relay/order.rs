//! The order in which the hosts of a data centre watch the store, and news for
//! those at its head.

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

/// Hosts at the head of the line that a host tries to follow; beside them one
/// that is drawn each time, in case all of these are cut off from the store.
pub const FIXED_UPSTREAMS_MAX: usize = 2;
/// What the line of a data centre is drawn by.
const LINE_KEY: &str = "watch";

/// The hosts of the own data centre that stand before this one in line.
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

/// The hosts of a data centre in the order in which they watch the store.
fn watch_order<'a>(view: &'a TrafficView, data_centre: &str) -> Vec<&'a HostEntry> {
    let near = view
        .hosts
        .values()
        .filter(|host| host.data_centre == data_centre);
    let mut line = Vec::new();
    for name in rank_hosts(LINE_KEY, near.map(|host| host.name.as_str())) {
        line.extend(view.hosts.get(name));
    }
    line
}

/// Says to the hosts at the head of each line that this one has written a term:
/// the store may be closed to them, and all others follow them.
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
                    log::info!("{address}: not told of a term: {error}");
                }
            })
            .detach();
        }
    }
}

/// The view once it has a version of a term, or the one some time later.
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

/// Asks the host at `address` for terms. Of a host that the store does not answer
/// nothing else is taken: by their versions an older record never replaces a newer
/// one. If it lists other hosts than this one does, nothing is taken at all, since
/// terms must not seem proved to a run that has not heard how it is listed.
pub async fn fetch_terms(context: &SharedContext, control: &ControlSender, address: &str) {
    let view = context.view.load();
    let asking = request_update(context, &view, address, Duration::ZERO);
    let Some((asked_at, mut update)) = asking.await else {
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
