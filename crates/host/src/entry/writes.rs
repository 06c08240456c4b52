//! Writes and transactions: sent to the primary's owner, and sent again only
//! where that is safe.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_idempotency::{
    AttemptLog, AttemptResult, RecoveryDecision, RepeatSafety, RequestKey, StoredClaim,
    decide_recovery, lookup_sql, request_hash, void_sql,
};
use fulmarrill_peer::{NotRunReason, WorkAnswer, WorkKind};
use fulmarrill_pg::{BackendResponse, DatabaseConnection};
use fulmarrill_schedule::backoff_delay;

use crate::context::SharedContext;
use crate::entry::router::{EntryRequest, PinnedPlace, RoutedAnswer, send_to_host, send_to_owner};

/// Waits between tries.
const RETRY_BASE: Duration = Duration::from_millis(10);
const RETRY_MOST: Duration = Duration::from_millis(150);
/// Shortest time for one attempt of a keyed request.
const ATTEMPT_MIN: Duration = Duration::from_millis(600);
/// Time for giving a key up after the deadline.
const VOID_TIME: Duration = Duration::from_millis(1500);

/// Runs a request at the primary. `reads_only` says that it changes nothing.
pub async fn run_write(
    context: &SharedContext,
    request: &EntryRequest,
    reads_only: bool,
) -> RoutedAnswer {
    let safety = match (&request.key, reads_only) {
        (Some(_), _) => RepeatSafety::Keyed,
        (None, true) => RepeatSafety::Read,
        (None, false) => RepeatSafety::Unsafe,
    };
    context.entry.note_request();
    let mut attempts = AttemptLog::new();
    for attempt in 1.. {
        let listener = context.view.listen();
        let routed = attempt_write(context, request, safety).await;
        let (result, reason) = match &routed.answer {
            WorkAnswer::Served { .. } => return routed,
            WorkAnswer::NotRun { reason, .. } => (AttemptResult::NotRun, Some(*reason)),
            WorkAnswer::Unknown { .. } => (AttemptResult::Unknown, None),
        };
        let result = attempts.note(result);
        if reason.is_some_and(is_final) && !attempts.is_open() {
            return routed;
        }
        let allowed = reason.is_some_and(waits_for_view) || context.entry.take_retry();
        match decide_recovery(result, safety, allowed, Instant::now(), request.deadline) {
            RecoveryDecision::Retry => {}
            RecoveryDecision::ClaimVoid => {
                return give_key_up(context, request)
                    .await
                    .unwrap_or_else(still_open);
            }
            RecoveryDecision::ReportUnknown if reason.is_none() => return routed,
            RecoveryDecision::ReportUnknown => return still_open(),
            RecoveryDecision::ReportNotRun => return routed,
        }
        let delay = backoff_delay(attempt, RETRY_BASE, RETRY_MOST, fastrand::f64());
        context
            .view
            .wait(listener, request.deadline.min(Instant::now() + delay))
            .await;
    }
    RoutedAnswer::new(WorkAnswer::unknown("no attempt was made"))
}

/// The answer while an attempt may still run, whatever became of later ones.
fn still_open() -> RoutedAnswer {
    RoutedAnswer::new(WorkAnswer::unknown(
        "no attempt at the request brought an answer",
    ))
}

/// Refusals that another try would meet again.
fn is_final(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::Deadline
            | NotRunReason::Overload
            | NotRunReason::KeyMismatch
            | NotRunReason::KeyRefused
            | NotRunReason::TransactionLost
    )
}

/// Refusals that cost nobody anything: the request waits at the entry for a
/// primary or an owner, and does not need the retry budget.
fn waits_for_view(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::NotPrimary | NotRunReason::NotOwner | NotRunReason::Unavailable
    )
}

async fn attempt_write(
    context: &SharedContext,
    request: &EntryRequest,
    safety: RepeatSafety,
) -> RoutedAnswer {
    let view = context.view.load();
    let Some(group) = view.group(&request.database) else {
        let text = "database is not known";
        return RoutedAnswer::new(WorkAnswer::not_run(NotRunReason::Unavailable, text));
    };
    let Some(primary) = group.group.primary_instance() else {
        let text = "the database has no primary at present";
        return RoutedAnswer::new(WorkAnswer::not_run(NotRunReason::NotPrimary, text));
    };
    if context
        .entry
        .refuses(&primary.name, request.policy.rank, request.deadline)
    {
        let text = "too much work waits before the primary";
        return RoutedAnswer::new(WorkAnswer::not_run(NotRunReason::Overload, text));
    }
    let deadline = attempt_deadline(request, safety);
    let work = request.to_work(&primary.name, group.group.term, WorkKind::Write, deadline);
    send_to_owner(context, &view, primary, work).await
}

/// An attempt that may be repeated gets half of the time that is left, so that
/// a silent connection does not use all of it.
fn attempt_deadline(request: &EntryRequest, safety: RepeatSafety) -> Instant {
    if safety == RepeatSafety::Unsafe {
        return request.deadline;
    }
    let now = Instant::now();
    let half = request.deadline.saturating_duration_since(now) / 2;
    request.deadline.min(now + half.max(ATTEMPT_MIN))
}

/// Claims the key without work. If that commits, the request can never run; if
/// the key is taken, its row has the answer. None if neither is known.
async fn give_key_up(context: &SharedContext, request: &EntryRequest) -> Option<RoutedAnswer> {
    let text = request.key.as_deref().unwrap_or_default();
    let kept = Duration::MAX / 4;
    let key = RequestKey::parse(text, std::time::SystemTime::now(), kept).ok()?;
    let hash = request_hash(&request.payload);
    let claim = void_sql(&key, &request.customer, &hash);
    let answer = run_plain(context, request, &claim).await?;
    if answer.error.is_none() && !answer.rows().is_empty() {
        let text = "the request was given up before it ran; send it again under a new key";
        return Some(RoutedAnswer::new(WorkAnswer::not_run(
            NotRunReason::Deadline,
            text,
        )));
    }
    let answer = run_plain(context, request, &lookup_sql(&key)).await?;
    let rows = answer.rows();
    let row = rows.first()?;
    let stored = StoredClaim::from_columns(row.text(0).unwrap_or_default(), row.text(1));
    stored_answer(&stored, &hash)
}

/// The answer that a key's row holds for this request.
fn stored_answer(stored: &StoredClaim, hash: &str) -> Option<RoutedAnswer> {
    if stored.request_hash != hash {
        return None;
    }
    let answer = match &stored.answer {
        Some(payload) => WorkAnswer::Served {
            payload: payload.clone(),
            status: fulmarrill_pg::STATUS_IDLE,
            point: fulmarrill_position::LogPoint::default(),
            pin: None,
            sqlstate: None,
        },
        None => WorkAnswer::not_run(NotRunReason::Deadline, "the request was given up"),
    };
    Some(RoutedAnswer::new(answer))
}

/// Runs one statement of this project's own at the primary.
async fn run_plain(
    context: &SharedContext,
    request: &EntryRequest,
    sql: &str,
) -> Option<BackendResponse> {
    let mut plain = request.clone();
    plain.key = None;
    plain.prepared = Vec::new();
    plain.payload = DatabaseConnection::encode_query(sql).ok()?.to_vec();
    plain.deadline = Instant::now() + VOID_TIME;
    // Both statements have the same effect when they run twice.
    while Instant::now() < plain.deadline {
        let listener = context.view.listen();
        let routed = attempt_write(context, &plain, RepeatSafety::Read).await;
        if let WorkAnswer::Served {
            payload, status, ..
        } = routed.answer
        {
            let messages = bytes::BytesMut::from(&payload[..]);
            return Some(BackendResponse {
                messages,
                status,
                error: None,
            });
        }
        context
            .view
            .wait(listener, Instant::now() + RETRY_MOST)
            .await;
    }
    None
}

/// Runs a further step of an open transaction, where the transaction is.
pub async fn run_step(
    context: &SharedContext,
    request: &EntryRequest,
    place: &PinnedPlace,
) -> RoutedAnswer {
    let kind = WorkKind::Step(place.pin);
    let work = request.to_work(&place.instance, place.term, kind, request.deadline);
    let answer = send_to_host(context, &place.host, work).await;
    let open = matches!(answer, WorkAnswer::Served { pin: Some(_), .. });
    RoutedAnswer {
        answer,
        place: open.then(|| place.clone()),
        by_replica: false,
    }
}

/// Rolls an open transaction back, without waiting for it.
pub fn abandon(context: &SharedContext, database: &str, place: PinnedPlace) {
    let request = fulmarrill_peer::WorkRequest {
        database: database.into(),
        instance: place.instance.clone(),
        term: place.term,
        kind: WorkKind::Abandon(place.pin),
        rank: 0,
        flow: CompactString::default(),
        customer: CompactString::default(),
        key: None,
        deadline: Instant::now() + VOID_TIME,
        prepared: Vec::new(),
        payload: Vec::new(),
    };
    let context = context.clone();
    fulmarrill_runtime::spawn(async move {
        send_to_host(&context, &place.host, request).await;
    })
    .detach();
}
