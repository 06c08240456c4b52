//! Runs requests at the instances that this host owns.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use compact_str::{CompactString, format_compact};
use fulmarrill_peer::{NotRunReason, PinId, WorkAnswer, WorkKind, WorkRequest};
use fulmarrill_pg::{BackendResponse, PgError, STATUS_FAILED, STATUS_IDLE, sqlstate};
use fulmarrill_position::{InstanceRole, InstanceStatus, LogPoint};
use fulmarrill_replication::{DatabaseGroup, GroupInstance};
use fulmarrill_runtime::timeout_at;
use fulmarrill_schedule::AdmissionRefusal;

use crate::context::SharedContext;
use crate::owner::adapter::{DatabaseAdapter, StatusQuery};
use crate::owner::instance::InstanceOwner;
use crate::owner::keyed::run_keyed;
use crate::owner::pool::{PoolError, PoolLease, PooledConnection};
use crate::owner::replies::{RewrittenBatch, rewrite_batch};
use crate::owner::watch::{ConfirmOutcome, GroupWatch};

/// Maximum time for which a read waits for a replica to apply its floor.
const CATCH_UP_WAIT: Duration = Duration::from_millis(100);
/// Time between two reads at a replica that has not applied the floor.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(2);
/// Timeout for the status before a read, which needs no slot of the instance.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time for which a write waits until the primary can confirm.
const READY_WAIT: Duration = Duration::from_millis(300);
/// Timeout for terminating a connection whose outcome is unknown.
const TERMINATE_TIMEOUT: Duration = Duration::from_millis(500);

/// A request for a primary or an open transaction, and the state that it needs.
#[derive(Debug)]
pub struct WorkContext {
    /// The group, according to the view in force when the request arrived.
    pub group: DatabaseGroup,
    /// Owner of the instance.
    pub owner: Arc<InstanceOwner>,
    /// Watch that confirms the commits of the group.
    pub watch: Arc<GroupWatch>,
    /// The request.
    pub request: WorkRequest,
    /// Host to which the caller is connected.
    pub entry: CompactString,
}

/// An answer of the database, together with the status that it reported.
#[derive(Debug)]
pub struct CheckedAnswer {
    /// Messages for the caller.
    pub payload: BytesMut,
    /// Answer as received from the database.
    pub answer: BackendResponse,
    /// Status of the instance, taken before a read and after anything else.
    pub status: InstanceStatus,
}

/// Runs a request that the host `entry` sent.
pub async fn run_work(context: &SharedContext, entry: &str, request: WorkRequest) -> WorkAnswer {
    if context.lifecycle.is_stale(Instant::now()) {
        let text = "host was stopped and reads its state again";
        return WorkAnswer::not_run(NotRunReason::Unavailable, text);
    }
    let is_new_work = matches!(request.kind, WorkKind::Read(_) | WorkKind::Write);
    if is_new_work && context.lifecycle.is_leaving() {
        return WorkAnswer::not_run(NotRunReason::NotOwner, "host is leaving");
    }
    let view = context.view.load();
    let Some(group) = view.group(&request.database) else {
        return WorkAnswer::not_run(NotRunReason::Unavailable, "database is not known yet");
    };
    let Some(instance) = group.group.instance(&request.instance) else {
        return WorkAnswer::not_run(NotRunReason::Unavailable, "instance is not in its group");
    };
    if group.group.term < request.term {
        let text = "host has not heard of the group's term yet";
        return WorkAnswer::not_run(NotRunReason::NotPrimary, text);
    }
    if is_new_work && instance.leaving && !is_primary(&group.group, instance) {
        return WorkAnswer::not_run(NotRunReason::Unavailable, "instance is leaving");
    }
    let owner = context.owners.owner(context, &view, &group.group, instance);
    let reads_replica =
        matches!(request.kind, WorkKind::Read(_)) && !is_primary(&group.group, instance);
    if let (WorkKind::Read(floor), true) = (request.kind, reads_replica) {
        return run_replica_read(&group.group, &owner, floor, request).await;
    }
    let work = WorkContext {
        watch: context.owners.watch(context, &group.group),
        group: group.group.clone(),
        owner,
        request,
        entry: entry.into(),
    };
    match work.request.kind {
        WorkKind::Step(pin) => run_step(work, pin).await,
        WorkKind::Abandon(pin) => abandon(&work.owner, pin),
        WorkKind::Read(_) | WorkKind::Write => run_at_primary(work).await,
    }
}

fn is_primary(group: &DatabaseGroup, instance: &GroupInstance) -> bool {
    group.primary.as_ref() == Some(&instance.name)
}

pub(super) fn refuse_slot(refusal: AdmissionRefusal) -> WorkAnswer {
    let reason = match refusal {
        AdmissionRefusal::TooLate(_) => NotRunReason::Deadline,
        AdmissionRefusal::Full | AdmissionRefusal::NoRank(_) => NotRunReason::Overload,
    };
    WorkAnswer::not_run(reason, format_compact!("{refusal}"))
}

pub(super) fn refuse_connection(error: &PoolError) -> WorkAnswer {
    let reason = match error {
        PoolError::Exhausted => NotRunReason::Overload,
        PoolError::Connect(_) | PoolError::BackingOff => NotRunReason::Unavailable,
    };
    WorkAnswer::not_run(reason, format_compact!("{error}"))
}

/// Terminates a connection whose outcome is unknown, so that its transaction
/// does not keep locks and cannot commit later.
pub(super) fn terminate_connection(owner: &Arc<InstanceOwner>, mut lease: PoolLease) {
    let process_id = lease.connection().process_id();
    drop(lease);
    let pool = owner.pool.clone();
    fulmarrill_runtime::spawn(async move {
        pool.terminate(process_id, Instant::now() + TERMINATE_TIMEOUT)
            .await;
    })
    .detach();
}

/// Whether reads at a replica are allowed: its log matches that of its primary,
/// and it is not fenced at a term before that of the group.
fn can_serve_reads(group: &DatabaseGroup, status: &InstanceStatus) -> bool {
    status.role == InstanceRole::Replica && status.matched && status.fence_term >= group.term
}

async fn run_replica_read(
    group: &DatabaseGroup,
    owner: &Arc<InstanceOwner>,
    floor: LogPoint,
    request: WorkRequest,
) -> WorkAnswer {
    let wait_until = request.deadline.min(Instant::now() + CATCH_UP_WAIT);
    loop {
        let slot = owner
            .take_slot(request.rank, &request.flow, request.deadline, false)
            .await;
        let slot = match slot {
            Ok(slot) => slot,
            Err(refusal) => return refuse_slot(refusal),
        };
        let mut lease = match owner.pool.acquire(request.deadline).await {
            Ok(lease) => lease,
            Err(error) => return refuse_connection(&error),
        };
        let checked = match read_checked(&mut lease, &request).await {
            Ok(checked) => checked,
            Err(error) => {
                terminate_connection(owner, lease);
                // A read changes nothing, so the entry may try it at another
                // instance.
                return WorkAnswer::unknown(format_compact!("read got no answer: {error}"));
            }
        };
        lease.give_back();
        drop(slot);
        let can_serve = can_serve_reads(group, &checked.status);
        if can_serve && checked.status.applied >= floor {
            return read_answer(&checked);
        }
        if !can_serve || Instant::now() >= wait_until {
            let text = "instance has not applied what the session has seen";
            return WorkAnswer::not_run(NotRunReason::Behind, text);
        }
        smol::Timer::after(CATCH_UP_INTERVAL).await;
    }
}

fn read_answer(checked: &CheckedAnswer) -> WorkAnswer {
    let report = checked.answer.error.as_ref();
    if report.is_some_and(|report| report.code == sqlstate::READ_ONLY) {
        return WorkAnswer::not_run(NotRunReason::ReadOnly, "the statement writes");
    }
    if checked.answer.status != STATUS_IDLE {
        let text = "a read opened a transaction at a replica";
        return WorkAnswer::not_run(NotRunReason::ReadOnly, text);
    }
    WorkAnswer::Served {
        sqlstate: report.map(|report| report.code.clone()),
        payload: checked.payload.to_vec(),
        status: checked.answer.status,
        point: checked.status.applied,
        pin: None,
    }
}

/// Queries the status and then reads, in one round trip.
async fn read_checked(
    lease: &mut PoolLease,
    request: &WorkRequest,
) -> Result<CheckedAnswer, PgError> {
    let pooled = lease.pooled();
    let batch = rewrite_batch(&request.prepared, &request.payload, &pooled.prepared);
    let query = StatusQuery::new(DatabaseAdapter::STATUS);
    let mut bytes = query.encode()?;
    bytes.extend_from_slice(&batch.bytes);
    let status_until = request.deadline.min(Instant::now() + STATUS_TIMEOUT);
    let connection = &mut pooled.connection;
    timeout_at(status_until, connection.send(&bytes, 2)).await??;
    let status = timeout_at(status_until, connection.read_response()).await??;
    let status = query.read(&status)?;
    let answer = timeout_at(request.deadline, connection.read_response()).await??;
    if query.read(&answer).is_ok() {
        // The status was sent twice, and the answer is still to come.
        return Err(PgError::Unsolicited);
    }
    let payload = batch.restore_replies(&answer.messages);
    note_session(pooled, &batch, &answer);
    Ok(CheckedAnswer {
        payload,
        answer,
        status,
    })
}

/// Runs the request and then queries the status, in one round trip.
pub(super) async fn write_checked(
    lease: &mut PoolLease,
    request: &WorkRequest,
) -> Result<CheckedAnswer, PgError> {
    let pooled = lease.pooled();
    let batch = rewrite_batch(&request.prepared, &request.payload, &pooled.prepared);
    let query = StatusQuery::new(DatabaseAdapter::STATUS);
    let mut bytes = batch.bytes.clone();
    bytes.extend_from_slice(&query.encode()?);
    let connection = &mut pooled.connection;
    timeout_at(request.deadline, connection.send(&bytes, 2)).await??;
    let answer = timeout_at(request.deadline, connection.read_response()).await??;
    let status = timeout_at(request.deadline, connection.read_response()).await??;
    let status = match query.read(&status) {
        Ok(status) => status,
        // A failed transaction accepts no status query, and its changes do not
        // take effect.
        Err(PgError::Server { code, .. })
            if answer.status == STATUS_FAILED && code == sqlstate::FAILED_TRANSACTION =>
        {
            placeholder_status()
        }
        Err(error) => return Err(error),
    };
    let payload = batch.restore_replies(&answer.messages);
    note_session(pooled, &batch, &answer);
    Ok(CheckedAnswer {
        payload,
        answer,
        status,
    })
}

/// Placeholder for the status of a request that left its transaction failed.
fn placeholder_status() -> InstanceStatus {
    InstanceStatus {
        role: InstanceRole::Primary,
        fence_term: 0,
        received: LogPoint::default(),
        applied: LogPoint::default(),
        streaming: false,
        matched: true,
    }
}

/// First words of the command tags of statements that change the session beyond its
/// transaction.
const SESSION_WORDS: [&[u8]; 9] = [
    b"SET",
    b"RESET",
    b"PREPARE",
    b"DEALLOCATE",
    b"DECLARE",
    b"LISTEN",
    b"UNLISTEN",
    b"DISCARD",
    b"LOAD",
];

/// Whether a message completes a statement that changed the session.
fn alters_session(message: &[u8]) -> bool {
    let [b'C', _, _, _, _, tag @ ..] = message else {
        return false;
    };
    let word = tag.split(|byte| matches!(byte, b' ' | 0)).next();
    word.is_some_and(|word| SESSION_WORDS.contains(&word))
}

/// Records what the answer shows of the connection's session: whether a statement
/// changed it, and the statements that are now prepared, as many as it confirmed, in
/// the order in which they were sent.
pub(super) fn note_session(
    pooled: &mut PooledConnection,
    batch: &RewrittenBatch,
    answer: &BackendResponse,
) {
    let mut completed = 0;
    for message in answer.split() {
        completed += usize::from(message[0] == b'1');
        pooled.is_altered |= alters_session(message);
    }
    for name in batch.added().iter().take(completed) {
        pooled.prepared.insert(name.clone());
    }
}

/// Runs at the primary: a write, the first step of a transaction, or a read for
/// which the entry chose the primary.
async fn run_at_primary(work: WorkContext) -> WorkAnswer {
    if work.group.primary.as_ref() != Some(&work.request.instance) {
        return WorkAnswer::not_run(NotRunReason::NotPrimary, "instance is not the primary");
    }
    let ready_until = work.request.deadline.min(Instant::now() + READY_WAIT);
    if !work.watch.wait_ready(ready_until).await {
        let text = "the primary can confirm nothing at present";
        return WorkAnswer::not_run(NotRunReason::NotPrimary, text);
    }
    let Some(_write) = work.owner.begin_write() else {
        let text = "a change of primary is being prepared";
        return WorkAnswer::not_run(NotRunReason::NotPrimary, text);
    };
    let request = &work.request;
    let slot = work
        .owner
        .take_slot(request.rank, &request.flow, request.deadline, false)
        .await;
    let slot = match slot {
        Ok(slot) => slot,
        Err(refusal) => return refuse_slot(refusal),
    };
    let mut lease = match work.owner.pool.acquire(request.deadline).await {
        Ok(lease) => lease,
        Err(error) => return refuse_connection(&error),
    };
    if request.key.is_some() {
        return run_keyed(&work, lease, slot).await;
    }
    let checked = match write_checked(&mut lease, request).await {
        Ok(checked) => checked,
        Err(error) => {
            terminate_connection(&work.owner, lease);
            return WorkAnswer::unknown(format_compact!("request got no answer: {error}"));
        }
    };
    drop(slot);
    finish_at_primary(&work, lease, checked, None).await
}

/// Runs a further step of an open transaction.
async fn run_step(work: WorkContext, pin: PinId) -> WorkAnswer {
    let Some(mut lease) = work.owner.take_pinned(pin) else {
        let text = "the transaction is gone; it was rolled back";
        return WorkAnswer::not_run(NotRunReason::TransactionLost, text);
    };
    let request = &work.request;
    let slot = work
        .owner
        .take_slot(request.rank, &request.flow, request.deadline, true)
        .await;
    let slot = match slot {
        Ok(slot) => slot,
        Err(refusal) => {
            work.owner.pin(lease, &work.entry, Some(pin));
            return refuse_slot(refusal);
        }
    };
    let checked = match write_checked(&mut lease, request).await {
        Ok(checked) => checked,
        Err(error) => {
            work.owner.release_pin();
            terminate_connection(&work.owner, lease);
            return WorkAnswer::unknown(format_compact!("request got no answer: {error}"));
        }
    };
    drop(slot);
    finish_at_primary(&work, lease, checked, Some(pin)).await
}

fn abandon(owner: &Arc<InstanceOwner>, pin: PinId) -> WorkAnswer {
    // Closing the connection rolls back its transaction.
    if let Some(lease) = owner.take_pinned(pin) {
        owner.release_pin();
        drop(lease);
    }
    WorkAnswer::not_run(
        NotRunReason::TransactionLost,
        "the transaction was rolled back",
    )
}

/// Pins the connection if the transaction is still open, returns it otherwise,
/// and then confirms what the answer shows.
async fn finish_at_primary(
    work: &WorkContext,
    lease: PoolLease,
    checked: CheckedAnswer,
    pin: Option<PinId>,
) -> WorkAnswer {
    let open = checked.answer.status != STATUS_IDLE;
    if let Some(refusal) = refused_by_role(&checked.answer) {
        if pin.is_some() {
            work.owner.release_pin();
        }
        drop(lease);
        return refusal;
    }
    if open && pin.is_none() && !work.owner.may_pin() {
        drop(lease);
        let text = "too many transactions are open at the instance";
        return WorkAnswer::not_run(NotRunReason::Overload, text);
    }
    let kept = if open {
        Some(work.owner.pin(lease, &work.entry, pin))
    } else {
        if pin.is_some() {
            work.owner.release_pin();
        }
        lease.give_back();
        None
    };
    confirm_answer(work, checked, kept).await
}

/// Returns a refusal if the instance is no longer the primary. Its transaction
/// was rolled back, unless the request had already committed one.
fn refused_by_role(answer: &BackendResponse) -> Option<WorkAnswer> {
    let report = answer.error.as_ref()?;
    if report.code != sqlstate::READ_ONLY && report.code != sqlstate::SHUTDOWN {
        return None;
    }
    let committed = answer
        .split()
        .iter()
        .any(|message| message.starts_with(b"C\0\0\0\x0bCOMMIT"));
    if committed {
        return None;
    }
    let text = "instance is no longer the primary; nothing was changed";
    Some(WorkAnswer::not_run(NotRunReason::NotPrimary, text))
}

/// Whether an answer must be confirmed before it is sent: it shows data that
/// others may have committed, or no transaction is open after it. A step
/// without rows shows no data; the end of its transaction is confirmed later,
/// and waiting here would keep its locks for longer.
fn needs_confirmation(answer: &BackendResponse) -> bool {
    if answer.status == STATUS_FAILED {
        return false;
    }
    let has_rows = || answer.split().iter().any(|message| message[0] == b'D');
    answer.status == STATUS_IDLE || has_rows()
}

/// Returns the answer once the point that the database reported has been
/// confirmed.
pub(super) async fn confirm_answer(
    work: &WorkContext,
    checked: CheckedAnswer,
    pin: Option<PinId>,
) -> WorkAnswer {
    let status = &checked.status;
    let point = status.received;
    if needs_confirmation(&checked.answer) {
        if status.role != InstanceRole::Primary || point.term != work.group.term {
            return WorkAnswer::unknown("the primary was replaced while the request ran");
        }
        match work.watch.confirm(point, work.request.deadline).await {
            ConfirmOutcome::Confirmed => {}
            ConfirmOutcome::Superseded => {
                return WorkAnswer::unknown("the primary was replaced before it could confirm");
            }
            ConfirmOutcome::Undecided => {
                return WorkAnswer::unknown("the request was not confirmed by its deadline");
            }
        }
    }
    WorkAnswer::Served {
        sqlstate: checked.answer.error.map(|report| report.code),
        payload: checked.payload.to_vec(),
        status: checked.answer.status,
        point,
        pin,
    }
}
