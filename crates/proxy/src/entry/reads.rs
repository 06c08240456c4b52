//! Reads that may run at a replica, and how fresh it must be.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarrill_position::{DatabaseName, LogPoint};
use fulmarrill_runtime::before;

use crate::catalogue::ReadFreshness;
use crate::clock::BootTime;
use crate::context::SharedContext;
use crate::entry::lock;
use crate::entry::placement::{EntryPlace, ReadCandidate, choose_instance};
use crate::entry::router::{RoutedAnswer, send_work};
use crate::peers::{ProxyCall, ProxyReply};
use crate::work::{NotRunReason, WorkAnswer, WorkRequest};

/// Time for a question for the primary's position.
const QUESTION_TIME: Duration = Duration::from_millis(600);
/// Time for which an instance that was behind is left out: several times the
/// usual lag of a replica.
const BEHIND_TIME: Duration = Duration::from_millis(150);
/// Time for which an instance that could not be reached is left out.
const UNREACHABLE_TIME: Duration = Duration::from_millis(700);
/// Time for which an instance that is full is left out.
const FULL_TIME: Duration = Duration::from_millis(30);
/// Tries at replicas before a read goes to the primary.
const REPLICA_TRIES: usize = 2;

/// A question for a primary's position that many sessions share.
#[derive(Debug)]
pub struct PositionQuestion {
    asked_at: BootTime,
    result: smol::lock::OnceCell<Option<(BootTime, LogPoint)>>,
}

/// Shared handle of a question.
pub type SharedQuestion = Arc<PositionQuestion>;

/// The position that a read's instance must have; none if it has to run at the
/// primary.
pub async fn read_floor(
    context: &SharedContext,
    database: &DatabaseName,
    freshness: ReadFreshness,
    own: LogPoint,
    deadline: Instant,
) -> Option<LogPoint> {
    let (age, own) = match freshness {
        ReadFreshness::Latest => return None,
        ReadFreshness::Aged(age) => (age, LogPoint::default()),
        ReadFreshness::AgedWithOwn(age) => (age, own),
    };
    let arrived_at = BootTime::now();
    // The age counts from the arrival of the read, and the position proves
    // completeness as of a moment before that.
    let oldest = arrived_at.before(age);
    let known = context.entry.position_since(database, oldest);
    let point = if let Some(point) = known {
        refresh_ahead(context, database, arrived_at.before(age / 2));
        point
    } else {
        let until = deadline.min(Instant::now() + QUESTION_TIME);
        // Boxed, since most reads ask nothing.
        let asking = Box::pin(ask_position(context, database));
        let (as_of, point) = before(until, asking).await.ok()??;
        if as_of < oldest {
            return None;
        }
        point
    };
    Some(own.max(point))
}

/// Seeks a newer position in the background once the last one is half as old
/// as allowed.
fn refresh_ahead(context: &SharedContext, database: &DatabaseName, since: BootTime) {
    let young = context.entry.position_since(database, since).is_some();
    if young || lock(&context.entry.questions).contains_key(database) {
        return;
    }
    let (context, database) = (context.clone(), database.clone());
    fulmarrill_runtime::spawn(async move {
        ask_position(&context, &database).await;
    })
    .detach();
}

/// Asks the primary's owner for its position. Sessions that come while a
/// question is under way share it.
async fn ask_position(
    context: &SharedContext,
    database: &DatabaseName,
) -> Option<(BootTime, LogPoint)> {
    let question = lock(&context.entry.questions)
        .entry(database.clone())
        .or_insert_with(|| {
            Arc::new(PositionQuestion {
                asked_at: BootTime::now(),
                result: smol::lock::OnceCell::new(),
            })
        })
        .clone();
    let asking = question.result.get_or_init(|| async {
        let until = Instant::now() + QUESTION_TIME;
        let asking = call_owner(context, database, question.asked_at);
        let found = before(until, asking).await.ok().flatten();
        // Whoever comes now needs a question of its own.
        lock(&context.entry.questions).remove(database);
        if let Some((as_of, point)) = found {
            context.entry.note_position(database, as_of, point);
        }
        found
    });
    *asking.await
}

async fn call_owner(
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
        let deadline = Instant::now() + QUESTION_TIME;
        if let Ok(ProxyReply::Position(Some((age, point)))) =
            context.peers.call(&host.address, call, deadline).await
        {
            return Some((asked_at.before(age), point));
        }
    }
    None
}

/// Runs a read, or opens a transaction that only reads, where it is expected
/// to be answered first.
pub async fn run_read(
    context: &SharedContext,
    request: WorkRequest,
    floor: Option<LogPoint>,
) -> RoutedAnswer {
    let mut result = None;
    for attempt in 0..=REPLICA_TRIES {
        let view = context.view.load();
        let primary = view.primary(&request.database);
        let at_primary = floor.is_none() || attempt == REPLICA_TRIES;
        let mut candidates = Vec::new();
        for instance in view.instances_of(&request.database) {
            let leads = primary.is_some_and(|(primary, _)| primary.id == instance.id);
            if !leads && (instance.leaving || at_primary) {
                continue;
            }
            candidates.push(ReadCandidate {
                instance,
                region: context.region_of(&instance.data_centre),
                sight: context.entry.sight(&instance.id),
            });
        }
        let place = EntryPlace {
            data_centre: &context.place.data_centre,
            region: &context.place.region,
        };
        let Some(chosen) = choose_instance(&candidates, place, Instant::now()) else {
            break;
        };
        let term = primary
            .filter(|(primary, _)| primary.id == chosen.id)
            .map(|(_, term)| term);
        let mut request = request.clone();
        request.instance = chosen.id.clone();
        request.lead = term;
        request.after = if term.is_some() { None } else { floor };
        let routed = send_work(context, &view, chosen, request.clone()).await;
        let avoid_time = match &routed.answer {
            WorkAnswer::NotRun(NotRunReason::Behind) => BEHIND_TIME,
            WorkAnswer::NotRun(NotRunReason::Overload) => FULL_TIME,
            WorkAnswer::NotRun(_) | WorkAnswer::Unknown => UNREACHABLE_TIME,
            _ => return routed,
        };
        let now = Instant::now();
        context.entry.avoid(&chosen.id, now + avoid_time);
        let again = now < request.deadline && !at_primary;
        if !again {
            return routed;
        }
        result = Some(routed);
    }
    result.unwrap_or_else(|| RoutedAnswer::not_run(NotRunReason::NotPrimary))
}
