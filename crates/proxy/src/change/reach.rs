//! Asks other hosts whether they still reach a primary that this host cannot
//! reach.

use std::collections::BTreeMap;
use std::time::Instant;

use fulmarrill_ownership::rank_hosts;
use futures_util::future::join_all;

use crate::catalogue::{HostEntry, HostName, InstanceId};
use crate::change::REQUEST_TIMEOUT;
use crate::context::SharedContext;
use crate::peers::{ProxyCall, ProxyReply};
use crate::view::TrafficView;

/// Number of hosts of each data centre that are asked whether they reach a
/// primary; it does not grow with the fleet. If half of a data centre's hosts
/// reach the primary, the probability that none of these ten does is about one
/// in a thousand.
const MAX_HOSTS_PER_DATA_CENTRE: usize = 10;

/// The hosts to ask whether they reach an instance.
#[must_use]
pub fn hosts_to_ask<'a>(view: &'a TrafficView, instance: &str) -> Vec<&'a HostEntry> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut selected = Vec::new();
    for name in rank_hosts(instance, view.hosts.keys().map(HostName::as_str)) {
        let Some(host) = view.hosts.get(name) else {
            continue;
        };
        let count = counts.entry(host.data_centre.as_str()).or_default();
        if *count < MAX_HOSTS_PER_DATA_CENTRE {
            *count += 1;
            selected.push(host);
        }
    }
    selected
}

/// Whether any of the other hosts that are asked reaches an instance.
pub async fn is_reachable_from_others(
    context: &SharedContext,
    view: &TrafficView,
    instance: &InstanceId,
) -> bool {
    let mut asking = Vec::new();
    for host in hosts_to_ask(view, instance) {
        if host.name == context.place.host || context.peers.is_avoided(&host.address) {
            continue;
        }
        let call = ProxyCall::Reach(instance.clone());
        asking.push(async move {
            let deadline = Instant::now() + REQUEST_TIMEOUT;
            let reply = context.peers.call(&host.address, call, deadline).await;
            matches!(reply, Ok(ProxyReply::Reaches(true)))
        });
    }
    join_all(asking).await.contains(&true)
}
