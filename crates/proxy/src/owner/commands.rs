//! Translates work into commands for an instance, and its failures into answers.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_position::LogPoint;

use crate::codec::{DatabaseCommand, ErrorKind};
use crate::owner::pool::PoolLease;
use crate::statement::TransactionState;
use crate::work::{NotRunReason, WorkAnswer, WorkRequest, WorkStatement, WorkStep};

/// Timeout of a rollback, for which an instance needs no slot.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Maps a failure that the instance reported to the answer for the entry. Inside
/// a transaction it is passed on; otherwise a failure without effect becomes
/// [`WorkAnswer::NotRun`], so that the work may run elsewhere.
#[must_use]
pub fn failed_answer(request: &WorkRequest, kind: ErrorKind, text: CompactString) -> WorkAnswer {
    if matches!(request.step, WorkStep::Continue(_)) {
        return WorkAnswer::Failed { kind, text };
    }
    match kind {
        ErrorKind::Behind => WorkAnswer::NotRun(NotRunReason::Behind),
        ErrorKind::ReadOnly => WorkAnswer::NotRun(NotRunReason::NotPrimary),
        ErrorKind::Misrouted => WorkAnswer::NotRun(NotRunReason::Unreachable),
        kind if kind.is_not_run() => WorkAnswer::NotRun(NotRunReason::Overload),
        _ => WorkAnswer::Failed { kind, text },
    }
}

/// Whether a statement writes in a transaction that its caller declared read-only.
#[must_use]
pub fn is_refused_write(reads_only: bool, statement: &WorkStatement) -> bool {
    reads_only && statement.writes() && !matches!(statement, WorkStatement::Commit(_))
}

/// Appends the commands that run `request` on a connection, preceded by those
/// that set up its session values and prepared statement.
pub fn push_commands(
    lease: &mut PoolLease,
    request: &WorkRequest,
    after: Option<LogPoint>,
    commands: &mut Vec<DatabaseCommand>,
) {
    let shape = match &request.statement {
        WorkStatement::Prepared { shape, .. } => Some(shape),
        _ => None,
    };
    let in_transaction = request.step != WorkStep::Single;
    let name = lease
        .get()
        .set_up(&request.values, shape, in_transaction, commands);
    match &request.statement {
        WorkStatement::Text { id, text, .. } => commands.push(DatabaseCommand::Run {
            id: id.clone(),
            after,
            text: text.clone(),
        }),
        WorkStatement::Prepared { id, arguments, .. } => commands.push(DatabaseCommand::Execute {
            id: id.clone(),
            after,
            name: name.unwrap_or_default(),
            arguments: arguments.clone(),
        }),
        WorkStatement::Commit(id) => commands.push(DatabaseCommand::Commit(id.clone())),
        WorkStatement::Rollback => commands.push(DatabaseCommand::Rollback),
    }
}

/// Rolls back a transaction. Its connection returns to the pool on success and
/// is closed otherwise.
pub async fn roll_back(mut lease: PoolLease) {
    let deadline = Instant::now() + ROLLBACK_TIMEOUT;
    let connection = &mut lease.get().connection;
    let answers = connection.exchange(&[DatabaseCommand::Rollback], deadline);
    match answers.await {
        Ok(answers) if answers.iter().all(|a| a.state == TransactionState::Idle) => lease.release(),
        Ok(_) => {}
        Err(error) => log::debug!("rollback failed: {error}"),
    }
}
