//! Replication tasks: a replica receives and applies its primary's log.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarrill_pg::{ConnectTarget, DatabaseConnection, PgError};
use smol::Timer;

use crate::database::instance::{InstanceState, PullAnswer, PullRequest};

/// Longest time that a primary holds a pull open when there is nothing new.
pub const PULL_WAIT: Duration = Duration::from_millis(100);
/// Time after which an unanswered pull fails and the replica reconnects.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next attempt after a failure, or while there is no upstream.
const RETRY_TIME: Duration = Duration::from_millis(20);
/// Start of the statement that pulls the log.
pub const PULL_PREFIX: &str = "SELECT fulmarrill_pull('";
/// End of that statement.
pub const PULL_SUFFIX: &str = "')";

/// Pulls the log from the instance's current upstream.
pub async fn receive_loop(state: Arc<InstanceState>) {
    let mut link: Option<UpstreamLink> = None;
    loop {
        let Some((address, request)) = state.pull_request() else {
            link = None;
            Timer::after(RETRY_TIME).await;
            continue;
        };
        if link.as_ref().is_some_and(|link| link.address != address) {
            link = None;
        }
        match receive_once(&state, &mut link, &address, &request).await {
            Ok(()) => {}
            Err(error) => {
                log::debug!("replica cannot pull from {address}: {error}");
                link = None;
                Timer::after(RETRY_TIME).await;
            }
        }
    }
}

/// A connection to the upstream.
#[derive(Debug)]
struct UpstreamLink {
    address: compact_str::CompactString,
    connection: DatabaseConnection,
}

async fn receive_once(
    state: &Arc<InstanceState>,
    link: &mut Option<UpstreamLink>,
    address: &str,
    request: &PullRequest,
) -> Result<(), PgError> {
    let deadline = Instant::now() + PULL_TIMEOUT;
    if link.is_none() {
        let route = state.route(address);
        let target = ConnectTarget::new(&route, "replication", "postgres");
        let connection = DatabaseConnection::connect(&target, deadline).await?;
        *link = Some(UpstreamLink {
            address: address.into(),
            connection,
        });
    }
    let Some(link) = link else {
        return Ok(());
    };
    let text = serde_json::to_string(request).unwrap_or_default();
    let sql = format!("{PULL_PREFIX}{text}{PULL_SUFFIX}");
    let rows = link.connection.query(&sql, deadline).await?;
    let Some(answer) = rows.first().and_then(|row| row.text(0)) else {
        return Ok(());
    };
    let Ok(answer) = serde_json::from_str::<PullAnswer>(answer) else {
        return Ok(());
    };
    let delay = Duration::from_millis(state.faults().receive_delay_ms);
    if !delay.is_zero() {
        Timer::after(delay).await;
    }
    if let Err(error) = state.append_pulled(request, answer) {
        log::error!("replica cannot append the log pulled from {address}: {error}");
    }
    Ok(())
}

/// Applies the received entries, each after the current apply delay.
pub async fn apply_loop(state: Arc<InstanceState>) {
    // Number of entries received so far, by time of receipt.
    let mut receipts: VecDeque<(Instant, usize)> = VecDeque::new();
    loop {
        let listener = state.listen_for_changes();
        let now = Instant::now();
        let (received, applied) = state.progress();
        if receipts.back().is_none_or(|(_, count)| *count != received) {
            receipts.push_back((now, received));
        }
        let faults = state.faults();
        let delay = Duration::from_millis(faults.apply_delay_ms);
        let mut limit = applied;
        while let Some((at, count)) = receipts.front() {
            if faults.apply_paused || now.saturating_duration_since(*at) < delay {
                break;
            }
            limit = *count;
            receipts.pop_front();
        }
        if limit > applied
            && let Err(error) = state.apply_to(limit)
        {
            log::error!("replica cannot apply the log up to entry {limit}: {error}");
        }
        let wait = if receipts.is_empty() {
            PULL_WAIT
        } else {
            Duration::from_millis(2)
        };
        smol::future::or(listener, async {
            Timer::after(wait).await;
        })
        .await;
    }
}
