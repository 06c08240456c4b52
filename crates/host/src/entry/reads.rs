//! Reads: which point they must see, and which instance serves them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_peer::{NotRunReason, PeerCall, PeerReply, WorkAnswer, WorkKind};
use fulmarrill_position::{DatabaseName, LogPoint};
use fulmarrill_replication::DatabaseGroup;
use fulmarrill_routing::{InstanceView, ReadDemand, choose_instance};
use fulmarrill_runtime::timeout_at;
use smol::Timer;

use crate::context::SharedContext;
use crate::entry::lock;
use crate::entry::router::{EntryRequest, RoutedAnswer, send_to_owner};
use crate::entry::writes::run_write;
use crate::view::ControlView;

/// Time for which an instance that failed is left out.
const AVOID_TIME: Duration = Duration::from_millis(500);
/// Time for which an instance that was behind is left out.
const BEHIND_TIME: Duration = Duration::from_millis(20);
/// Wait before another try when no instance would do.
const RETRY_WAIT: Duration = Duration::from_millis(20);
/// Time for one question for the primary's position.
const QUESTION_TIME: Duration = Duration::from_millis(1200);

/// A question for a position that several sessions wait for.
pub type SharedQuestion = Arc<PositionQuestion>;

/// One question to the primary's owner.
#[derive(Debug)]
pub struct PositionQuestion {
    asked_at: Instant,
    result: smol::lock::OnceCell<Option<LogPoint>>,
}

/// The point that a read must see and until when that is good enough.
#[derive(Debug, Clone, Copy)]
struct ReadFloor {
    point: LogPoint,
    good_until: Instant,
}

/// Runs a read at the instance that is expected to answer first.
pub async fn run_read(context: &SharedContext, request: &EntryRequest) -> RoutedAnswer {
    let mut excluded: Vec<CompactString> = Vec::new();
    let mut last = WorkAnswer::not_run(NotRunReason::Unavailable, "no instance can serve the read");
    while Instant::now() < request.deadline {
        let Some(floor) = find_floor(context, request).await else {
            let text = "the age of the instances' data cannot be proved";
            last = WorkAnswer::not_run(NotRunReason::Unavailable, text);
            Timer::after(RETRY_WAIT).await;
            continue;
        };
        let view = context.view.load();
        let Some(group) = view.group(&request.database) else {
            Timer::after(RETRY_WAIT).await;
            continue;
        };
        let views = instance_views(context, &view, &group.group, request);
        let demand = ReadDemand::new(floor.point).with_excluded(excluded.clone());
        let Some(chosen) = choose_instance(&views, &demand, Instant::now()) else {
            excluded.clear();
            Timer::after(RETRY_WAIT).await;
            continue;
        };
        if context
            .entry
            .refuses(&chosen.name, request.policy.rank, request.deadline)
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
            WorkAnswer::Served { .. } if Instant::now() <= floor.good_until => return routed,
            // Too old by now: ask for a later point.
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
                        context.entry.avoid(&name, Instant::now() + BEHIND_TIME);
                    }
                    _ => context.entry.avoid(&name, Instant::now() + AVOID_TIME),
                }
                excluded.push(name);
                last = routed.answer;
            }
            WorkAnswer::Unknown { .. } => {
                context.entry.avoid(&name, Instant::now() + AVOID_TIME);
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
    // Half of what is left, so that another instance can be tried.
    let now = Instant::now();
    let left = request.deadline.saturating_duration_since(now);
    let deadline = now + left.mul_f64(0.6);
    let work = request.to_work(name, group.term, WorkKind::Read(floor.point), deadline);
    let mut routed = send_to_owner(context, view, instance, work).await;
    routed.by_replica = true;
    routed
}

/// What is known of the instances of a group.
fn instance_views(
    context: &SharedContext,
    view: &ControlView,
    group: &DatabaseGroup,
    request: &EntryRequest,
) -> Vec<InstanceView> {
    let now = Instant::now();
    let mut views = Vec::new();
    for instance in &group.instances {
        let sight = context.entry.sight(&instance.name);
        let avoided = sight.avoid_until.is_some_and(|until| now < until);
        let unusable = instance.leaving || avoided || view.owner_of(instance).is_none();
        let busy = Duration::from_secs_f64(sight.mean_time * f64::from(1 + sight.outstanding));
        let wait = context
            .entry
            .expected_wait(&instance.name, request.policy.rank);
        let seen = InstanceView::new(&instance.name, sight.applied)
            .with_local(instance.region == context.settings.region)
            .with_primary(group.primary.as_ref() == Some(&instance.name))
            .with_unusable(unusable)
            .with_answer_at(now + busy + wait);
        views.push(seen);
    }
    views
}

/// Finds the point that the read must see. A session that accepts an age is
/// served from the last proof that is young enough; any other must see what it
/// brought, or everything acknowledged until now.
async fn find_floor(context: &SharedContext, request: &EntryRequest) -> Option<ReadFloor> {
    if let Some(age) = request.policy.max_age {
        return find_aged_floor(context, request, age).await;
    }
    let point = match request.floor {
        Some(point) => point,
        None => ask_position(context, &request.database, request.deadline).await?,
    };
    Some(ReadFloor {
        point,
        good_until: request.deadline,
    })
}

async fn find_aged_floor(
    context: &SharedContext,
    request: &EntryRequest,
    age: Duration,
) -> Option<ReadFloor> {
    let own = request.floor.unwrap_or_default();
    let now = Instant::now();
    // Young enough still when the answer comes, and so that a new proof is
    // sought well before the old one is too old.
    let margin = request.policy.timeout.min(age / 2);
    let proof = lock(&context.entry.freshness)
        .get(&request.database)
        .and_then(|log| log.point_since(now.checked_sub(age.saturating_sub(margin))?));
    if let Some(point) = proof {
        let good_until = request.deadline.max(now + margin);
        refresh_ahead(context, &request.database, age);
        return Some(ReadFloor {
            point: point.max(own),
            good_until,
        });
    }
    let asked_at = Instant::now();
    let point = ask_position(context, &request.database, request.deadline).await?;
    Some(ReadFloor {
        point: point.max(own),
        good_until: asked_at + age,
    })
}

/// Seeks a new proof in the background once the last one is half as old as
/// allowed.
fn refresh_ahead(context: &SharedContext, database: &DatabaseName, age: Duration) {
    let young = Instant::now().checked_sub(age / 4).is_some_and(|since| {
        let freshness = lock(&context.entry.freshness);
        freshness
            .get(database)
            .is_some_and(|log| log.point_since(since).is_some())
    });
    if young {
        return;
    }
    let (context, database) = (context.clone(), database.clone());
    fulmarrill_runtime::spawn(async move {
        let deadline = Instant::now() + QUESTION_TIME;
        ask_position(&context, &database, deadline).await;
    })
    .detach();
}

/// Asks the primary's owner for a point that covers every commit acknowledged
/// until now. Sessions that ask before a question goes out share it; one that
/// is already under way proves nothing about what was acknowledged since.
async fn ask_position(
    context: &SharedContext,
    database: &DatabaseName,
    deadline: Instant,
) -> Option<LogPoint> {
    let called_at = Instant::now();
    loop {
        let question = lock(&context.entry.questions)
            .entry(database.clone())
            .or_insert_with(|| {
                let result = smol::lock::OnceCell::new();
                Arc::new(PositionQuestion {
                    asked_at: Instant::now(),
                    result,
                })
            })
            .clone();
        let serves = question.asked_at >= called_at;
        let asking = question
            .result
            .get_or_init(|| put_question(context, database, &question));
        let point = timeout_at(deadline, asking).await.ok()?;
        if serves {
            return *point;
        }
    }
}

async fn put_question(
    context: &SharedContext,
    database: &DatabaseName,
    question: &SharedQuestion,
) -> Option<LogPoint> {
    let asked_at = question.asked_at;
    let answer = timeout_at(
        asked_at + QUESTION_TIME,
        call_primary_owner(context, database),
    )
    .await;
    // Whoever comes now needs a question of its own.
    let mut questions = lock(&context.entry.questions);
    if questions
        .get(database)
        .is_some_and(|held| Arc::ptr_eq(held, question))
    {
        questions.remove(database);
    }
    drop(questions);
    let point = answer.ok().flatten()?;
    let mut freshness = lock(&context.entry.freshness);
    freshness
        .entry(database.clone())
        .or_default()
        .record(asked_at, point);
    Some(point)
}

async fn call_primary_owner(context: &SharedContext, database: &DatabaseName) -> Option<LogPoint> {
    let view = context.view.load();
    let group = view.group(database)?;
    let primary = group.group.primary_instance()?;
    let host = view.owner_of(primary)?;
    if host.name == context.settings.host {
        return crate::owner::fresh_position(context, database).await;
    }
    let deadline = Instant::now() + QUESTION_TIME;
    let call = PeerCall::Position(database.clone());
    match context.peers.call(&host.peer_address, call, deadline).await {
        Ok(PeerReply::Position(point)) => Some(point),
        _ => None,
    }
}
