//! Sends writes and transactions to the owner of the primary, and retries them
//! only where that is safe.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_idempotency::{
    AttemptLog, AttemptResult, RecoveryDecision, RequestKey, RetrySafety, StoredClaim,
    decide_recovery, lookup_sql, request_hash, void_sql,
};
use fulmarrill_peer::{NotRunReason, WorkAnswer, WorkKind};
use fulmarrill_pg::{BackendResponse, DatabaseConnection};
use fulmarrill_schedule::backoff_delay;

use crate::context::SharedContext;
use crate::entry::router::{
    EntryRequest, RoutedAnswer, TransactionLocation, send_to_host, send_to_owner,
};

/// Backoff between attempts.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(10);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(150);
/// Shortest time for one attempt of a request that may be repeated.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(600);
/// Timeout for voiding a request key, which may end after the deadline of the
/// request, and for rolling back an abandoned transaction.
const VOID_TIMEOUT: Duration = Duration::from_millis(1500);

/// Runs a request at the primary. `reads_only` is set if it changes nothing and
/// may therefore be repeated.
pub async fn run_write(
    context: &SharedContext,
    request: &EntryRequest,
    reads_only: bool,
) -> RoutedAnswer {
    let safety = match (&request.key, reads_only) {
        (Some(_), _) => RetrySafety::Keyed,
        (None, true) => RetrySafety::Read,
        (None, false) => RetrySafety::Unsafe,
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
        let result = attempts.record(result);
        if reason.is_some_and(is_final) && !attempts.has_unknown_outcome() {
            return routed;
        }
        let allowed = reason.is_some_and(waits_for_view) || context.entry.take_retry();
        match decide_recovery(result, safety, allowed, Instant::now(), request.deadline) {
            RecoveryDecision::Retry => {}
            RecoveryDecision::ClaimVoid => {
                return void_key(context, request)
                    .await
                    .unwrap_or_else(unresolved_attempt);
            }
            RecoveryDecision::ReportUnknown if reason.is_none() => return routed,
            RecoveryDecision::ReportUnknown => return unresolved_attempt(),
            RecoveryDecision::ReportNotRun => return routed,
        }
        let delay = backoff_delay(attempt, RETRY_DELAY_MIN, RETRY_DELAY_MAX, fastrand::f64());
        context
            .view
            .wait(listener, request.deadline.min(Instant::now() + delay))
            .await;
    }
    RoutedAnswer::new(WorkAnswer::unknown("no attempt was made"))
}

/// The answer when an earlier attempt may have run or may still run, even if a
/// later one was refused.
fn unresolved_attempt() -> RoutedAnswer {
    RoutedAnswer::new(WorkAnswer::unknown(
        "no attempt at the request brought an answer",
    ))
}

/// Whether a retry would be refused for the same reason.
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

/// Whether the request waits at the entry for a primary or an owner. Such a
/// retry puts no load on others and is not taken from the retry budget.
fn waits_for_view(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::NotPrimary | NotRunReason::NotOwner | NotRunReason::Unavailable
    )
}

async fn attempt_write(
    context: &SharedContext,
    request: &EntryRequest,
    safety: RetrySafety,
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
        .should_shed(&primary.name, request.policy.rank, request.deadline)
    {
        let text = "too much work waits before the primary";
        return RoutedAnswer::new(WorkAnswer::not_run(NotRunReason::Overload, text));
    }
    let deadline = attempt_deadline(request, safety);
    let work = request.to_work(&primary.name, group.group.term, WorkKind::Write, deadline);
    send_to_owner(context, &view, primary, work).await
}

/// Deadline of one attempt. An attempt that may be repeated gets half of the
/// remaining time, but at least `ATTEMPT_TIME_MIN`, so that a silent connection
/// does not use all of it.
fn attempt_deadline(request: &EntryRequest, safety: RetrySafety) -> Instant {
    if safety == RetrySafety::Unsafe {
        return request.deadline;
    }
    let now = Instant::now();
    let half = request.deadline.saturating_duration_since(now) / 2;
    request.deadline.min(now + half.max(ATTEMPT_TIME_MIN))
}

/// Claims the key without running the request. If the claim commits, the
/// request can never run; if the key is already taken, its row has the answer.
/// Returns `None` if neither could be established.
async fn void_key(context: &SharedContext, request: &EntryRequest) -> Option<RoutedAnswer> {
    let text = request.key.as_deref().unwrap_or_default();
    // The session checked the age of the key when it was set.
    let kept = Duration::MAX / 4;
    let key = RequestKey::parse(text, std::time::SystemTime::now(), kept).ok()?;
    let hash = request_hash(&request.payload);
    let claim = void_sql(&key, &request.customer, &hash);
    let answer = run_internal(context, request, &claim).await?;
    if answer.error.is_none() && !answer.rows().is_empty() {
        let text = "the request was given up before it ran; send it again under a new key";
        return Some(RoutedAnswer::new(WorkAnswer::not_run(
            NotRunReason::Deadline,
            text,
        )));
    }
    let answer = run_internal(context, request, &lookup_sql(&key)).await?;
    let rows = answer.rows();
    let row = rows.first()?;
    let stored = StoredClaim::from_columns(row.text(0).unwrap_or_default(), row.text(1));
    stored_answer(&stored, &hash)
}

/// The answer stored for this request in the row of its key; `None` if the row
/// belongs to another request.
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

/// Runs one of the request key statements at the primary.
async fn run_internal(
    context: &SharedContext,
    request: &EntryRequest,
    sql: &str,
) -> Option<BackendResponse> {
    let mut internal = request.clone();
    internal.key = None;
    internal.prepared = Vec::new();
    internal.payload = DatabaseConnection::encode_query(sql).ok()?.to_vec();
    internal.deadline = Instant::now() + VOID_TIMEOUT;
    // Repeated until it is served: these statements have the same effect when
    // they run twice.
    while Instant::now() < internal.deadline {
        let listener = context.view.listen();
        let routed = attempt_write(context, &internal, RetrySafety::Read).await;
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
            .wait(listener, Instant::now() + RETRY_DELAY_MAX)
            .await;
    }
    None
}

/// Runs a further step of an open transaction, on its pinned connection.
pub async fn run_step(
    context: &SharedContext,
    request: &EntryRequest,
    location: &TransactionLocation,
) -> RoutedAnswer {
    let kind = WorkKind::Step(location.pin);
    let work = request.to_work(&location.instance, location.term, kind, request.deadline);
    let answer = send_to_host(context, &location.host, work).await;
    let open = matches!(answer, WorkAnswer::Served { pin: Some(_), .. });
    RoutedAnswer {
        answer,
        location: open.then(|| location.clone()),
        by_replica: false,
    }
}

/// Rolls back an open transaction in the background.
pub fn abandon(context: &SharedContext, database: &str, location: TransactionLocation) {
    let request = fulmarrill_peer::WorkRequest {
        database: database.into(),
        instance: location.instance.clone(),
        term: location.term,
        kind: WorkKind::Abandon(location.pin),
        rank: 0,
        flow: CompactString::default(),
        customer: CompactString::default(),
        key: None,
        deadline: Instant::now() + VOID_TIMEOUT,
        prepared: Vec::new(),
        payload: Vec::new(),
    };
    let context = context.clone();
    fulmarrill_runtime::spawn(async move {
        send_to_host(&context, &location.host, request).await;
    })
    .detach();
}
