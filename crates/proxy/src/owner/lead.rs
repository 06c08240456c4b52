//! Checks that an instance still leads after it has run a read. Performs no I/O.
//!
//! A primary that stepped down becomes a replica and goes on answering reads, while
//! its successor acknowledges commits that it lacks. A host that was cut off
//! meanwhile may still have a lease on the old term. An instance accepts a plain
//! `BEGIN` only while it leads, so one that follows the read on the same connection
//! shows that the instance led when it ran the read.

use crate::codec::{DatabaseCommand, ErrorKind};
use crate::owner::connection::DatabaseAnswer;
use crate::work::{WorkRequest, WorkStep};

/// The commands that follow a read at the primary.
pub const LEAD_CHECK: [DatabaseCommand; 2] = [
    DatabaseCommand::Begin {
        reads_only: false,
        after: None,
    },
    DatabaseCommand::Rollback,
];

/// Whether the lead has to be checked after a request. Writes and plain
/// transactions need no check, since a replica refuses them.
#[must_use]
pub fn needs_lead_check(request: &WorkRequest) -> bool {
    let is_single_read = request.step == WorkStep::Single && !request.statement.writes();
    is_single_read && request.primary_term.is_some()
}

/// What the answers to [`LEAD_CHECK`] show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadCheck {
    /// The instance led when it ran the read.
    Confirmed,
    /// The instance has stepped down.
    Lost,
    /// The check failed for another reason.
    Unknown,
}

/// Removes the answers to [`LEAD_CHECK`]. The state of the connection moves to the
/// answer before them.
#[must_use]
pub fn take_lead_check(answers: &mut Vec<DatabaseAnswer>) -> LeadCheck {
    let (Some(rollback), Some(begin)) = (answers.pop(), answers.pop()) else {
        return LeadCheck::Unknown;
    };
    if let Some(statement) = answers.last_mut() {
        statement.state = rollback.state;
    }
    match begin.outcome {
        Ok(_) if rollback.outcome.is_ok() && rollback.is_idle() => LeadCheck::Confirmed,
        Err((ErrorKind::ReadOnly, _)) => LeadCheck::Lost,
        _ => LeadCheck::Unknown,
    }
}
