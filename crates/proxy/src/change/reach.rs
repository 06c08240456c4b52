//! Whether anybody still reaches a primary that is out of reach for one host.

use std::collections::BTreeMap;
use std::time::Instant;

use fulmarrill_ownership::rank_hosts;
use futures_util::future::join_all;

use crate::catalogue::{HostEntry, HostName, InstanceId};
use crate::change::ASK_TIME;
use crate::context::SharedContext;
use crate::peers::{ProxyCall, ProxyReply};
use crate::view::TrafficView;

/// Hosts of each data centre that are asked whether they reach a primary. Their
/// number does not grow with the fleet; if half of a data centre's hosts reach
/// it, all of these miss it once in a thousand times.
const HOSTS_ASKED_MAX: usize = 10;

/// The hosts that are asked whether they reach an instance.
#[must_use]
pub fn hosts_to_ask<'a>(view: &'a TrafficView, instance: &str) -> Vec<&'a HostEntry> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut asked = Vec::new();
    for name in rank_hosts(instance, view.hosts.keys().map(HostName::as_str)) {
        let Some(host) = view.hosts.get(name) else {
            continue;
        };
        let count = counts.entry(host.data_centre.as_str()).or_default();
        if *count < HOSTS_ASKED_MAX {
            *count += 1;
            asked.push(host);
        }
    }
    asked
}

/// Whether any other host reaches an instance.
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
            let deadline = Instant::now() + ASK_TIME;
            let reply = context.peers.call(&host.address, call, deadline).await;
            matches!(reply, Ok(ProxyReply::Reaches(true)))
        });
    }
    join_all(asking).await.contains(&true)
}
