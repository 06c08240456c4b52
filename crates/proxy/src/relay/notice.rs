//! Calls that tell a few hosts of a term that this one has written.

use std::time::{Duration, Instant};

use fulmarrill_position::DatabaseName;
use fulmarrill_spread::FeedKind;

use crate::catalogue::ObjectVersion;
use crate::context::SharedContext;
use crate::peers::ProxyCall;

/// Hosts of each feed that are told of a written term.
const NOTIFIED_MAX: usize = 3;
/// Time limit of such a call, and for the written term to appear in the view.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells some hosts that this host has written a term. Hosts poll this one too,
/// but nobody may have chosen it as a feed, and the store may be unreachable for
/// the hosts that watch it.
pub async fn notify_term_written(
    context: SharedContext,
    database: DatabaseName,
    version: ObjectVersion,
) {
    wait_for_term(&context, &database, version).await;
    let mut addresses = Vec::new();
    for kind in FeedKind::ALL {
        let feed = context.spreading.feed_addresses(kind);
        addresses.extend(feed.into_iter().take(NOTIFIED_MAX));
    }
    addresses.sort_unstable();
    addresses.dedup();
    for address in addresses {
        if context.peers.is_avoided(&address) {
            continue;
        }
        let context = context.clone();
        fulmarrill_runtime::spawn(async move {
            let deadline = Instant::now() + NOTICE_TIMEOUT;
            let call = ProxyCall::TermWritten;
            if let Err(error) = context.peers.call(&address, call, deadline).await {
                log::info!("{address}: notice of a written term failed: {error}");
            }
        })
        .detach();
    }
}

/// Waits until the view has at least `version` of the term, but no longer than
/// [`NOTICE_TIMEOUT`].
async fn wait_for_term(context: &SharedContext, database: &str, version: ObjectVersion) {
    let deadline = Instant::now() + NOTICE_TIMEOUT;
    loop {
        let listener = context.view.listen();
        let view = context.view.load();
        let held = view.terms.get(database);
        if held.is_some_and(|held| held.version >= version) || Instant::now() >= deadline {
            return;
        }
        context.view.wait(listener, deadline).await;
    }
}
