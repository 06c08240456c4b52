//! Whose turn it is to change a primary when the store lets one host do nothing.

use std::time::Instant;

use fulmarrill_ownership::rank_hosts;
use fulmarrill_position::{DatabaseName, Term};

use crate::catalogue::{HostEntry, HostName};
use crate::change::ASK_TIME;
use crate::context::SharedContext;
use crate::peers::{ProxyCall, ProxyReply};
use crate::view::TrafficView;

/// Hands the turn to change a primary to the first host behind this one in line
/// that answers.
pub async fn hand_over_change(context: SharedContext, database: DatabaseName, term: Term) {
    let view = context.view.load();
    for host in hosts_behind(&view, &database, &context.place.host) {
        if context.peers.is_avoided(&host.address) {
            continue;
        }
        let call = ProxyCall::HandChange {
            database: database.clone(),
            term,
        };
        let deadline = Instant::now() + ASK_TIME;
        let reply = context.peers.call(&host.address, call, deadline).await;
        if matches!(reply, Ok(ProxyReply::Handed)) {
            log::info!(
                "{database}: the store is closed to this host, {} changes the primary",
                host.name
            );
            return;
        }
    }
    log::warn!("{database}: nobody takes the turn to change the primary over");
}

/// The hosts behind `own` in the line for a database, and then those before it.
fn hosts_behind<'a>(view: &'a TrafficView, database: &str, own: &str) -> Vec<&'a HostEntry> {
    let mut line = Vec::new();
    for name in rank_hosts(database, view.hosts.keys().map(HostName::as_str)) {
        line.extend(view.hosts.get(name));
    }
    if let Some(place) = line.iter().position(|host| host.name == own) {
        line.rotate_left(place);
        line.remove(0);
    }
    line
}
