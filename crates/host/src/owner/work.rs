//! Runs requests at an instance that this host owns.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use compact_str::{CompactString, format_compact};
use fulmarrill_peer::{NotRunReason, PinId, WorkAnswer, WorkKind, WorkRequest};
use fulmarrill_pg::{BackendResponse, DatabaseConnection, PgError, STATUS_IDLE, sqlstate};
use fulmarrill_position::{InstanceRole, InstanceStatus, LogPoint};
use fulmarrill_replication::{DatabaseGroup, GroupInstance};
use fulmarrill_runtime::timeout_at;
use fulmarrill_schedule::ScheduleRefusal;

use crate::context::SharedContext;
use crate::owner::adapter::DatabaseAdapter;
use crate::owner::instance::InstanceOwner;
use crate::owner::keyed::run_keyed;
use crate::owner::pool::{PoolError, PoolLease, PooledConnection};
use crate::owner::replies::{FittedBatch, fit_batch};
use crate::owner::watch::{ConfirmOutcome, GroupWatch};

/// Longest wait for a replica to apply what a read asks for.
const BEHIND_WAIT: Duration = Duration::from_millis(100);
/// Time between two looks at a replica that is behind.
const BEHIND_INTERVAL: Duration = Duration::from_millis(2);
/// Time within which the status before a read must come: it needs no slot.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait of a write for its primary to become ready.
const READY_WAIT: Duration = Duration::from_millis(300);
/// Time for ending a connection whose outcome is unknown.
const TERMINATE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a request needs to run.
#[derive(Debug)]
pub struct WorkContext {
    /// The group as this host knows it.
    pub group: DatabaseGroup,
    /// The owner.
    pub owner: Arc<InstanceOwner>,
    /// The watch over the group; for writes only.
    pub watch: Arc<GroupWatch>,
    /// The request.
    pub request: WorkRequest,
    /// Host that the caller is connected to.
    pub entry: CompactString,
}

/// A database's answer, with the status that it reported beside it.
#[derive(Debug)]
pub struct CheckedAnswer {
    /// Messages for the caller.
    pub payload: BytesMut,
    /// The answer as the database gave it.
    pub answer: BackendResponse,
    /// Terms and positions: before a read, after anything else.
    pub status: InstanceStatus,
}

/// Runs a request that came from the host `entry`.
pub async fn run_work(context: &SharedContext, entry: &str, request: WorkRequest) -> WorkAnswer {
    if context.life.is_stale(Instant::now()) {
        let text = "host was stopped and reads its state again";
        return WorkAnswer::not_run(NotRunReason::Unavailable, text);
    }
    let starts = matches!(request.kind, WorkKind::Read(_) | WorkKind::Write);
    if starts && context.life.is_leaving() {
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
    if starts && instance.leaving && !is_primary(&group.group, instance) {
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

pub(super) fn refuse_slot(refusal: ScheduleRefusal) -> WorkAnswer {
    let reason = match refusal {
        ScheduleRefusal::TooLate(_) => NotRunReason::Deadline,
        ScheduleRefusal::Full | ScheduleRefusal::NoRank(_) => NotRunReason::Overload,
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

/// Ends a connection whose outcome is unknown, so that its transaction does
/// not keep locks, and later cannot commit.
pub(super) fn terminate_suspect(owner: &Arc<InstanceOwner>, mut lease: PoolLease) {
    let process_id = lease.connection().process_id();
    drop(lease);
    let pool = owner.pool.clone();
    fulmarrill_runtime::spawn(async move {
        pool.terminate(process_id, Instant::now() + TERMINATE_TIMEOUT)
            .await;
    })
    .detach();
}

/// Whether a replica may show what it has applied: its log is its primary's,
/// and it is not left behind in an earlier term without knowing.
fn may_read(group: &DatabaseGroup, status: &InstanceStatus) -> bool {
    status.role == InstanceRole::Replica && status.matched && status.fence_term >= group.term
}

async fn run_replica_read(
    group: &DatabaseGroup,
    owner: &Arc<InstanceOwner>,
    floor: LogPoint,
    request: WorkRequest,
) -> WorkAnswer {
    let wait_until = request.deadline.min(Instant::now() + BEHIND_WAIT);
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
                terminate_suspect(owner, lease);
                // A read changes nothing: it may be tried elsewhere.
                return WorkAnswer::unknown(format_compact!("read got no answer: {error}"));
            }
        };
        lease.give_back();
        drop(slot);
        let good = may_read(group, &checked.status);
        if good && checked.status.applied >= floor {
            return read_answer(&checked);
        }
        if !good || Instant::now() >= wait_until {
            let text = "instance has not applied what the session has seen";
            return WorkAnswer::not_run(NotRunReason::Behind, text);
        }
        smol::Timer::after(BEHIND_INTERVAL).await;
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

/// Asks for the status, then reads, in one go.
async fn read_checked(
    lease: &mut PoolLease,
    request: &WorkRequest,
) -> Result<CheckedAnswer, PgError> {
    let pooled = lease.pooled();
    let batch = fit_batch(&request.prepared, &request.payload, &pooled.prepared);
    let mut bytes = DatabaseConnection::encode_query(DatabaseAdapter::STATUS)?;
    bytes.extend_from_slice(&batch.bytes);
    let status_until = request.deadline.min(Instant::now() + STATUS_TIMEOUT);
    let connection = &mut pooled.connection;
    timeout_at(status_until, connection.send(&bytes, 2)).await??;
    let status = timeout_at(status_until, connection.read_response()).await??;
    let status = DatabaseAdapter::read_status(&status)?;
    let answer = timeout_at(request.deadline, connection.read_response()).await??;
    let payload = batch.restore(&answer.messages);
    note_prepared(pooled, &batch, &answer);
    Ok(CheckedAnswer {
        payload,
        answer,
        status,
    })
}

/// Sends the request, then asks for the status, in one go.
pub(super) async fn write_checked(
    lease: &mut PoolLease,
    request: &WorkRequest,
) -> Result<CheckedAnswer, PgError> {
    let pooled = lease.pooled();
    let batch = fit_batch(&request.prepared, &request.payload, &pooled.prepared);
    let mut bytes = batch.bytes.clone();
    bytes.extend_from_slice(&DatabaseConnection::encode_query(DatabaseAdapter::STATUS)?);
    let connection = &mut pooled.connection;
    timeout_at(request.deadline, connection.send(&bytes, 2)).await??;
    let answer = timeout_at(request.deadline, connection.read_response()).await??;
    let status = timeout_at(request.deadline, connection.read_response()).await??;
    let status = match DatabaseAdapter::read_status(&status) {
        Ok(status) => status,
        // In a failed transaction nothing can be asked, and nothing was done.
        Err(_) if answer.status == fulmarrill_pg::STATUS_FAILED => failed_status(),
        Err(error) => return Err(error),
    };
    let payload = batch.restore(&answer.messages);
    note_prepared(pooled, &batch, &answer);
    Ok(CheckedAnswer {
        payload,
        answer,
        status,
    })
}

/// Stands for the status inside a failed transaction.
fn failed_status() -> InstanceStatus {
    InstanceStatus {
        role: InstanceRole::Primary,
        fence_term: 0,
        received: LogPoint::default(),
        applied: LogPoint::default(),
        streaming: false,
        matched: true,
    }
}

/// Notes which statements the connection has prepared: as many as it said,
/// in the order in which they were sent.
pub(super) fn note_prepared(
    pooled: &mut PooledConnection,
    batch: &FittedBatch,
    answer: &BackendResponse,
) {
    let completed = answer
        .split()
        .iter()
        .filter(|message| message[0] == b'1')
        .count();
    for name in batch.added().iter().take(completed) {
        pooled.prepared.insert(name.clone());
    }
}

/// Runs a write, the first step of a transaction, or a read that found no
/// replica.
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
            terminate_suspect(&work.owner, lease);
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
            terminate_suspect(&work.owner, lease);
            return WorkAnswer::unknown(format_compact!("request got no answer: {error}"));
        }
    };
    drop(slot);
    finish_at_primary(&work, lease, checked, Some(pin)).await
}

fn abandon(owner: &Arc<InstanceOwner>, pin: PinId) -> WorkAnswer {
    // Closing the connection rolls the transaction back.
    if let Some(lease) = owner.take_pinned(pin) {
        owner.release_pin();
        drop(lease);
    }
    WorkAnswer::not_run(
        NotRunReason::TransactionLost,
        "the transaction was rolled back",
    )
}

/// Keeps or returns the connection, then waits until everything that the
/// answer may show has been confirmed.
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

/// A refusal by an instance that is no longer the primary. Its transaction was
/// rolled back, unless the request itself had committed one before.
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

/// Whether an answer shows what others committed, or ends a transaction. A step
/// without rows shows nothing: the end of its transaction is confirmed anyway,
/// and waiting here would keep the transaction's locks for longer.
fn shows_something(answer: &BackendResponse) -> bool {
    if answer.status == fulmarrill_pg::STATUS_FAILED {
        return false;
    }
    let has_rows = || answer.split().iter().any(|message| message[0] == b'D');
    answer.status == STATUS_IDLE || has_rows()
}

/// Answers once the point that the database reported has been confirmed.
pub(super) async fn confirm_answer(
    work: &WorkContext,
    checked: CheckedAnswer,
    pin: Option<PinId>,
) -> WorkAnswer {
    let status = &checked.status;
    let point = status.received;
    if shows_something(&checked.answer) {
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
