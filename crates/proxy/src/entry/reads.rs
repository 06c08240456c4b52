//! Runs reads that a replica may serve: chooses the instance, and finds the
//! position that proves how old its data is.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarrill_position::{DatabaseName, LogPoint};
use fulmarrill_runtime::timeout_at;

use crate::clock::BootTime;
use crate::context::SharedContext;
use crate::entry::lock;
use crate::entry::placement::ReadCandidate;
use crate::entry::router::{RoutedAnswer, send_work};
use crate::entry::shares::choose;
use crate::peers::{ProxyCall, ProxyReply};
use crate::work::{NotRunReason, WorkAnswer, WorkRequest};

/// Timeout of a query for the primary's position.
const POSITION_QUERY_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which an instance that was behind is avoided for the first time: the
/// usual lag of a replica.
const BEHIND_BACKOFF: Duration = Duration::from_millis(150);
/// Longest time for which an instance is avoided that was behind several times in a
/// row. An entry sees a database only now and then, so a shorter one has no effect.
const BEHIND_BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Factor by which that time grows each time the instance was behind again.
const BEHIND_BACKOFF_GROWTH: u32 = 4;
/// Time for which an instance is avoided that could not be reached, did not run
/// the work for another reason, or left its outcome unknown.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(700);
/// Time for which an overloaded instance is avoided.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(30);
/// Attempts before a read is sent to the primary only.
const MAX_REPLICA_TRIES: usize = 2;

/// A query for a primary's position that concurrent sessions share.
#[derive(Debug)]
pub struct PositionQuery {
    asked_at: BootTime,
    result: smol::lock::OnceCell<Option<(BootTime, LogPoint)>>,
}

/// Shared handle of a query.
pub type SharedQuery = Arc<PositionQuery>;

/// Runs work of the host `from` at an instance that this host owns. For a read of
/// bounded age it first finds the position that a replica must have reached. All
/// reads of the instance pass here, so positions are queried once for many of them,
/// and a query rarely delays one.
pub async fn run_owned(
    context: &SharedContext,
    from: &str,
    mut request: WorkRequest,
) -> WorkAnswer {
    if let Some(max_age) = request.max_age {
        let point = fresh_point(context, &request.database, max_age, request.deadline).await;
        let Some(point) = point else {
            return WorkAnswer::NotRun(NotRunReason::AgeUnknown);
        };
        request.after = request.after.max(Some(point));
    }
    context.owners.run(from, request).await
}

/// Returns a position that covers every commit acknowledged longer than `age` ago.
async fn fresh_point(
    context: &SharedContext,
    database: &DatabaseName,
    age: Duration,
    deadline: Instant,
) -> Option<LogPoint> {
    // The work reached its entry before it arrived here, so the age counts from a
    // later moment than it has to.
    let arrived_at = BootTime::now();
    let oldest = arrived_at.before(age);
    if let Some(point) = context.entry.position_since(database, oldest) {
        refresh_ahead(context, database, arrived_at.before(age / 2));
        return Some(point);
    }
    let until = deadline.min(Instant::now() + POSITION_QUERY_TIMEOUT);
    // Boxed, because most reads send no query.
    let asking = Box::pin(query_position(context, database));
    let (as_of, point) = timeout_at(until, asking).await.ok()??;
    (as_of >= oldest).then_some(point)
}

/// Queries a newer position in the background if none is known that covers the
/// commits acknowledged up to `since`, which is half of the allowed age ago.
fn refresh_ahead(context: &SharedContext, database: &DatabaseName, since: BootTime) {
    let is_fresh = context.entry.position_since(database, since).is_some();
    if is_fresh || lock(&context.entry.position_queries).contains_key(database) {
        return;
    }
    let (context, database) = (context.clone(), database.clone());
    fulmarrill_runtime::spawn(async move {
        query_position(&context, &database).await;
    })
    .detach();
}

/// Queries the primary's position. Sessions share a query that is in flight.
async fn query_position(
    context: &SharedContext,
    database: &DatabaseName,
) -> Option<(BootTime, LogPoint)> {
    let query = lock(&context.entry.position_queries)
        .entry(database.clone())
        .or_insert_with(|| {
            Arc::new(PositionQuery {
                asked_at: BootTime::now(),
                result: smol::lock::OnceCell::new(),
            })
        })
        .clone();
    let asking = query.result.get_or_init(|| async {
        let until = Instant::now() + POSITION_QUERY_TIMEOUT;
        let asking = query_owner(context, database, query.asked_at);
        let found = timeout_at(until, asking).await.ok().flatten();
        // A session that comes later needs a new query.
        lock(&context.entry.position_queries).remove(database);
        if let Some((as_of, point)) = found {
            context.entry.record_position(database, as_of, point);
        }
        found
    });
    *asking.await
}

async fn query_owner(
    context: &SharedContext,
    database: &DatabaseName,
    asked_at: BootTime,
) -> Option<(BootTime, LogPoint)> {
    let view = context.view.load();
    let (primary, _) = view.primary(database)?;
    let region = context.region_of(&primary.data_centre);
    for host in view.owner_candidates(primary, region) {
        if host.name == context.place.host {
            return context.owners.primary_position(database).await;
        }
        if context.peers.is_avoided(&host.address) {
            continue;
        }
        let call = ProxyCall::Position(database.clone());
        let deadline = Instant::now() + POSITION_QUERY_TIMEOUT;
        if let Ok(ProxyReply::Position(Some((age, point)))) =
            context.peers.call(&host.address, call, deadline).await
        {
            return Some((asked_at.before(age), point));
        }
    }
    None
}

/// Runs a read, or the first statement of a read-only transaction, on the
/// instance that is expected to answer first, and retries on others.
pub async fn run_read(context: &SharedContext, request: WorkRequest) -> RoutedAnswer {
    let mut result = None;
    let mut is_age_unknown = false;
    let mut may_have_run = false;
    for attempt in 0..=MAX_REPLICA_TRIES {
        let view = context.view.load();
        let primary = view.primary(&request.database);
        let at_primary = is_age_unknown || attempt == MAX_REPLICA_TRIES;
        let mut candidates = Vec::new();
        for instance in view.instances_of(&request.database) {
            let is_primary = primary.is_some_and(|(primary, _)| primary.id == instance.id);
            if !is_primary && (instance.leaving || at_primary) {
                continue;
            }
            candidates.push(ReadCandidate {
                instance,
                region: context.region_of(&instance.data_centre),
                stats: context.entry.instance_stats(&instance.id),
            });
        }
        let Some(chosen) = choose(context, &view, &candidates, request.rank) else {
            break;
        };
        let term = primary
            .filter(|(primary, _)| primary.id == chosen.id)
            .map(|(_, term)| term);
        let mut request = request.clone();
        request.instance = chosen.id.clone();
        request.primary_term = term;
        if term.is_some() {
            // The primary's data has no age.
            (request.max_age, request.after) = (None, None);
        }
        let routed = send_work(context, &view, chosen, request.clone()).await;
        let avoid_time = match &routed.answer {
            WorkAnswer::NotRun(NotRunReason::AgeUnknown) => {
                // No replica can be used until the primary's position is known.
                is_age_unknown = true;
                Duration::ZERO
            }
            WorkAnswer::NotRun(NotRunReason::Behind) => {
                let times = context.entry.record_behind(&chosen.id);
                let growth = BEHIND_BACKOFF_GROWTH.saturating_pow(times);
                BEHIND_BACKOFF
                    .saturating_mul(growth)
                    .min(BEHIND_BACKOFF_MAX)
            }
            WorkAnswer::NotRun(NotRunReason::Overload) => OVERLOAD_BACKOFF,
            // No other owner may run it either.
            WorkAnswer::NotRun(
                NotRunReason::OverLimit { .. } | NotRunReason::LimitUnknown { .. },
            ) => return routed.after_attempt(may_have_run),
            WorkAnswer::NotRun(_) | WorkAnswer::Unknown => UNREACHABLE_BACKOFF,
            _ => return routed,
        };
        may_have_run |= routed.answer == WorkAnswer::Unknown;
        let now = Instant::now();
        context.entry.avoid(&chosen.id, now + avoid_time);
        let should_retry = now < request.deadline && !at_primary;
        if !should_retry {
            return routed.after_attempt(may_have_run);
        }
        result = Some(routed);
    }
    let result = result.unwrap_or_else(|| RoutedAnswer::not_run(NotRunReason::NotPrimary));
    result.after_attempt(may_have_run)
}
