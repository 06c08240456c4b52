//! The commands for a piece of work, and what their failures mean.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_position::LogPoint;

use crate::codec::{DatabaseCommand, ErrorKind};
use crate::owner::pool::PoolLease;
use crate::statement::TransactionState;
use crate::work::{NotRunReason, WorkAnswer, WorkRequest, WorkStatement, WorkStep};

/// Time for a rollback; an instance answers it without a slot.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// What a failure that the instance reported means for the entry.
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

/// The commands for a piece of work on a connection.
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

/// Rolls a transaction back and gives its connection up or back.
pub async fn roll_back(mut lease: PoolLease) {
    let deadline = Instant::now() + ROLLBACK_TIMEOUT;
    let connection = &mut lease.get().connection;
    let answers = connection.exchange(&[DatabaseCommand::Rollback], deadline);
    match answers.await {
        Ok(answers) if answers.iter().all(|a| a.state == TransactionState::Idle) => lease.release(),
        Ok(_) => {}
        Err(error) => log::debug!("rollback: {error}"),
    }
}
