//! Routes reads: finds the log point that a read must see and chooses an
//! instance to serve it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_peer::{NotRunReason, PeerCall, PeerReply, WorkAnswer, WorkKind};
use fulmarrill_position::{DatabaseName, LogPoint};
use fulmarrill_replication::DatabaseGroup;
use fulmarrill_routing::{InstanceView, ReadRequirement, choose_instance};
use fulmarrill_runtime::timeout_at;
use smol::Timer;

use crate::context::SharedContext;
use crate::entry::lock;
use crate::entry::router::{EntryRequest, RoutedAnswer, send_to_owner};
use crate::entry::writes::run_write;
use crate::view::ControlView;

/// Time for which reads avoid an instance that failed.
const FAILURE_EXCLUSION: Duration = Duration::from_millis(500);
/// Time for which reads avoid an instance that lagged behind.
const LAG_EXCLUSION: Duration = Duration::from_millis(20);
/// Delay before the next attempt when no instance can serve the read.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Timeout for one query for the primary's position.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1200);

/// A position query shared by the sessions that wait for its result.
pub type SharedQuery = Arc<PositionQuery>;

/// A query to the owner of the primary for its position.
#[derive(Debug)]
pub struct PositionQuery {
    asked_at: Instant,
    result: smol::lock::OnceCell<Option<LogPoint>>,
}

/// The point that a read must see, and until when an answer from that point
/// satisfies the read.
#[derive(Debug, Clone, Copy)]
struct ReadFloor {
    point: LogPoint,
    valid_until: Instant,
}

/// Runs a read at the instance that is expected to answer first. After a
/// refusal or a lost answer it tries another one, until the deadline.
pub async fn run_read(context: &SharedContext, request: &EntryRequest) -> RoutedAnswer {
    let mut excluded: Vec<CompactString> = Vec::new();
    let mut last = WorkAnswer::not_run(NotRunReason::Unavailable, "no instance can serve the read");
    while Instant::now() < request.deadline {
        let Some(floor) = find_floor(context, request).await else {
            let text = "the age of the instances' data cannot be proved";
            last = WorkAnswer::not_run(NotRunReason::Unavailable, text);
            Timer::after(RETRY_DELAY).await;
            continue;
        };
        let view = context.view.load();
        let Some(group) = view.group(&request.database) else {
            Timer::after(RETRY_DELAY).await;
            continue;
        };
        let views = instance_views(context, &view, &group.group, request);
        let requirement = ReadRequirement::new(floor.point).with_excluded(excluded.clone());
        let Some(chosen) = choose_instance(&views, &requirement, Instant::now()) else {
            excluded.clear();
            Timer::after(RETRY_DELAY).await;
            continue;
        };
        if context
            .entry
            .should_shed(&chosen.name, request.policy.rank, request.deadline)
        {
            let text = "too much work waits before the instance";
            return RoutedAnswer::new(WorkAnswer::not_run(NotRunReason::Overload, text));
        }
        if chosen.primary {
            return run_write(context, request, true).await;
        }
        let name = chosen.name.clone();
        let routed = read_at(context, &view, &group.group, &name, floor, request).await;
        match routed.answer {
            WorkAnswer::Served { .. } if Instant::now() <= floor.valid_until => return routed,
            // The answer came too late for its floor: the next attempt uses a
            // later point.
            WorkAnswer::Served { .. } => {}
            WorkAnswer::NotRun {
                reason: NotRunReason::ReadOnly,
                ..
            } => {
                return run_write(context, request, false).await;
            }
            WorkAnswer::NotRun { reason, .. } => {
                match reason {
                    NotRunReason::Deadline | NotRunReason::Overload => return routed,
                    NotRunReason::Behind => {
                        context.entry.exclude(&name, Instant::now() + LAG_EXCLUSION);
                    }
                    _ => context
                        .entry
                        .exclude(&name, Instant::now() + FAILURE_EXCLUSION),
                }
                excluded.push(name);
                last = routed.answer;
            }
            WorkAnswer::Unknown { .. } => {
                context
                    .entry
                    .exclude(&name, Instant::now() + FAILURE_EXCLUSION);
                excluded.push(name);
                last = routed.answer;
            }
        }
    }
    RoutedAnswer::new(last)
}

async fn read_at(
    context: &SharedContext,
    view: &ControlView,
    group: &DatabaseGroup,
    name: &str,
    floor: ReadFloor,
    request: &EntryRequest,
) -> RoutedAnswer {
    let Some(instance) = group.instance(name) else {
        let text = "instance is not in its group";
        return RoutedAnswer::new(WorkAnswer::not_run(NotRunReason::Unavailable, text));
    };
    // 60% of the remaining time, so that another instance can be tried.
    let now = Instant::now();
    let left = request.deadline.saturating_duration_since(now);
    let deadline = now + left.mul_f64(0.6);
    let work = request.to_work(name, group.term, WorkKind::Read(floor.point), deadline);
    let mut routed = send_to_owner(context, view, instance, work).await;
    routed.by_replica = true;
    routed
}

/// Describes the instances of a group for [`choose_instance`].
fn instance_views(
    context: &SharedContext,
    view: &ControlView,
    group: &DatabaseGroup,
    request: &EntryRequest,
) -> Vec<InstanceView> {
    let now = Instant::now();
    let mut views = Vec::new();
    for instance in &group.instances {
        let instance_stats = context.entry.instance_stats(&instance.name);
        let is_excluded = instance_stats
            .excluded_until
            .is_some_and(|until| now < until);
        let unusable = instance.leaving || is_excluded || view.owner_of(instance).is_none();
        let queued = Duration::from_secs_f64(
            instance_stats.mean_time * f64::from(1 + instance_stats.outstanding),
        );
        let wait = context
            .entry
            .expected_wait(&instance.name, request.policy.rank);
        let instance_view = InstanceView::new(&instance.name, instance_stats.applied)
            .with_same_region(instance.region == context.settings.region)
            .with_primary(group.primary.as_ref() == Some(&instance.name))
            .with_unusable(unusable)
            .with_answer_at(now + queued + wait);
        views.push(instance_view);
    }
    views
}

/// Finds the point that a read must see. If the policy allows an age, that is a
/// recorded position that is recent enough, or the one that the session brought
/// if that is later. Otherwise it is the position that the session brought, or
/// one that covers everything acknowledged until now.
async fn find_floor(context: &SharedContext, request: &EntryRequest) -> Option<ReadFloor> {
    if let Some(age) = request.policy.max_age {
        return find_aged_floor(context, request, age).await;
    }
    let point = match request.floor {
        Some(point) => point,
        None => query_position(context, &request.database, request.deadline).await?,
    };
    Some(ReadFloor {
        point,
        valid_until: request.deadline,
    })
}

async fn find_aged_floor(
    context: &SharedContext,
    request: &EntryRequest,
    age: Duration,
) -> Option<ReadFloor> {
    let own = request.floor.unwrap_or_default();
    let now = Instant::now();
    // The margin leaves time for the answer to arrive, and for a new position to
    // be queried well before the old one expires.
    let margin = request.policy.timeout.min(age / 2);
    let proof = lock(&context.entry.freshness)
        .get(&request.database)
        .and_then(|log| log.point_since(now.checked_sub(age.saturating_sub(margin))?));
    if let Some(point) = proof {
        let valid_until = request.deadline.max(now + margin);
        refresh_in_background(context, &request.database, age);
        return Some(ReadFloor {
            point: point.max(own),
            valid_until,
        });
    }
    let asked_at = Instant::now();
    let point = query_position(context, &request.database, request.deadline).await?;
    Some(ReadFloor {
        point: point.max(own),
        valid_until: asked_at + age,
    })
}

/// Queries the position in the background if the last recorded one is older
/// than a quarter of the allowed age.
fn refresh_in_background(context: &SharedContext, database: &DatabaseName, age: Duration) {
    let is_recent = Instant::now().checked_sub(age / 4).is_some_and(|since| {
        let freshness = lock(&context.entry.freshness);
        freshness
            .get(database)
            .is_some_and(|log| log.point_since(since).is_some())
    });
    if is_recent {
        return;
    }
    let (context, database) = (context.clone(), database.clone());
    fulmarrill_runtime::spawn(async move {
        let deadline = Instant::now() + QUERY_TIMEOUT;
        query_position(&context, &database, deadline).await;
    })
    .detach();
}

/// Asks the primary's owner for a point that covers every commit acknowledged
/// until now. Sessions that call before a query is sent share it. A query that
/// is already in flight does not cover commits acknowledged since it was sent,
/// so its callers wait for it and start another one.
async fn query_position(
    context: &SharedContext,
    database: &DatabaseName,
    deadline: Instant,
) -> Option<LogPoint> {
    let called_at = Instant::now();
    loop {
        let query = lock(&context.entry.position_queries)
            .entry(database.clone())
            .or_insert_with(|| {
                let result = smol::lock::OnceCell::new();
                Arc::new(PositionQuery {
                    asked_at: Instant::now(),
                    result,
                })
            })
            .clone();
        let is_current = query.asked_at >= called_at;
        let pending = query
            .result
            .get_or_init(|| run_position_query(context, database, &query));
        let point = timeout_at(deadline, pending).await.ok()?;
        if is_current {
            return *point;
        }
    }
}

async fn run_position_query(
    context: &SharedContext,
    database: &DatabaseName,
    query: &SharedQuery,
) -> Option<LogPoint> {
    let asked_at = query.asked_at;
    let answer = timeout_at(
        asked_at + QUERY_TIMEOUT,
        fetch_primary_position(context, database),
    )
    .await;
    // Removed, so that later callers start a new query.
    let mut position_queries = lock(&context.entry.position_queries);
    if position_queries
        .get(database)
        .is_some_and(|held| Arc::ptr_eq(held, query))
    {
        position_queries.remove(database);
    }
    drop(position_queries);
    let point = answer.ok().flatten()?;
    let mut freshness = lock(&context.entry.freshness);
    freshness
        .entry(database.clone())
        .or_default()
        .record(asked_at, point);
    Some(point)
}

async fn fetch_primary_position(
    context: &SharedContext,
    database: &DatabaseName,
) -> Option<LogPoint> {
    let view = context.view.load();
    let group = view.group(database)?;
    let primary = group.group.primary_instance()?;
    let host = view.owner_of(primary)?;
    if host.name == context.settings.host {
        return crate::owner::fresh_position(context, database).await;
    }
    let deadline = Instant::now() + QUERY_TIMEOUT;
    let call = PeerCall::Position(database.clone());
    match context.peers.call(&host.peer_address, call, deadline).await {
        Ok(PeerReply::Position(point)) => Some(point),
        _ => None,
    }
}
