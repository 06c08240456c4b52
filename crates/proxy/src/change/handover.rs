//! Hands a change of primary over to another host, when this one cannot write to
//! the store.

use std::time::Instant;

use fulmarrill_ownership::rank_hosts;
use fulmarrill_position::{DatabaseName, Term};

use crate::catalogue::{HostEntry, HostName};
use crate::change::REQUEST_TIMEOUT;
use crate::context::SharedContext;
use crate::peers::{ProxyCall, ProxyReply};
use crate::view::TrafficView;

/// Hands a change of primary over to the first host after this one in the
/// election order that accepts it.
pub async fn hand_over_change(context: SharedContext, database: DatabaseName, term: Term) {
    let view = context.view.load();
    for host in hosts_after(&view, &database, &context.place.host) {
        if context.peers.is_avoided(&host.address) {
            continue;
        }
        let call = ProxyCall::HandChange {
            database: database.clone(),
            term,
        };
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let reply = context.peers.call(&host.address, call, deadline).await;
        if matches!(reply, Ok(ProxyReply::Handed)) {
            log::info!(
                "{database}: a write to the store was not confirmed, handed the change of primary over to {}",
                host.name
            );
            return;
        }
    }
    log::warn!("{database}: no other host accepts the change of primary");
}

/// The hosts after `own` in the election order of a database, followed by those
/// before it.
fn hosts_after<'a>(view: &'a TrafficView, database: &str, own: &str) -> Vec<&'a HostEntry> {
    let mut order = Vec::new();
    for name in rank_hosts(database, view.hosts.keys().map(HostName::as_str)) {
        order.extend(view.hosts.get(name));
    }
    if let Some(index) = order.iter().position(|host| host.name == own) {
        order.rotate_left(index);
        order.remove(0);
    }
    order
}
