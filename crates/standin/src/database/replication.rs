//! The tasks by which a replica receives and applies its primary's log.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarrill_pg::{ConnectTarget, DatabaseConnection, PgError};
use smol::Timer;

use crate::database::instance::{InstanceState, PullAnswer, PullRequest};

/// Longest wait of a primary before it answers that there is nothing new.
pub const PULL_WAIT: Duration = Duration::from_millis(100);
/// Time without an answer after which a replica connects anew.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait before the next try after a failure, or while there is no upstream.
const RETRY_TIME: Duration = Duration::from_millis(20);
/// Start of the statement that asks for the log.
pub const PULL_PREFIX: &str = "SELECT fulmarrill_pull('";
/// End of that statement.
pub const PULL_SUFFIX: &str = "')";

/// Receives the log of whatever upstream the instance has.
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
    if let Err(error) = state.take_pull(request, answer) {
        log::error!("replica cannot take the log over: {error}");
    }
    Ok(())
}

/// Applies what was received, each entry after the delay in force.
pub async fn apply_loop(state: Arc<InstanceState>) {
    // When which number of entries had been received.
    let mut marks: VecDeque<(Instant, usize)> = VecDeque::new();
    loop {
        let listener = state.listen();
        let now = Instant::now();
        let (received, applied) = state.progress();
        if marks.back().is_none_or(|(_, count)| *count != received) {
            marks.push_back((now, received));
        }
        let faults = state.faults();
        let delay = Duration::from_millis(faults.apply_delay_ms);
        let mut limit = applied;
        while let Some((at, count)) = marks.front() {
            if faults.apply_paused || now.saturating_duration_since(*at) < delay {
                break;
            }
            limit = *count;
            marks.pop_front();
        }
        if limit > applied
            && let Err(error) = state.apply_to(limit)
        {
            log::error!("replica cannot apply the log: {error}");
        }
        let wait = if marks.is_empty() {
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
