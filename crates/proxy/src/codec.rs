//! What an adapter supplies: functions between bytes and typed messages.
//!
//! An adapter has no sockets, timers or state. It only translates, so that
//! every decision stays in this crate, and can be tested against recorded
//! messages.

use bytes::BytesMut;
use compact_str::CompactString;
use fulmarrill_position::{LogPoint, Term};
use thiserror::Error;

use crate::statement::{
    CallerStatement, PreparedShape, StatementId, StatementText, TransactionState,
};

/// Bytes that are not a message; the connection cannot be used any further.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CodecError {
    /// A message is longer than the protocol allows.
    #[error("message is longer than {0} bytes")]
    TooLong(usize),
    /// The bytes have no meaning in the protocol.
    #[error("message cannot be read: {0}")]
    Unreadable(CompactString),
}

/// A message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens the session.
    Startup {
        /// Name of the endpoint that the caller asks for.
        endpoint: CompactString,
        /// Who is calling.
        caller: CompactString,
    },
    /// A statement.
    Statement {
        /// Its identifier.
        id: StatementId,
        /// The statement.
        statement: CallerStatement,
    },
    /// A message that is well delimited but means nothing.
    Malformed(CompactString),
    /// Ends the session.
    Terminate,
}

/// Why a statement failed, as it is told to callers. Each kind is a promise or
/// none about what is kept of the caller's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ErrorKind {
    /// Not run: too much work waits, or nobody can take it at present.
    Busy,
    /// Nothing kept: the transaction was rolled back.
    Aborted,
    /// Not run: the instance's log lacks the position asked for.
    Behind,
    /// Not run: the instance takes no writes.
    ReadOnly,
    /// Not run: another instance answered at the address.
    Misrouted,
    /// Not run: the instance has too many connections.
    TooManyConnections,
    /// Not run: the connection does not know the prepared statement.
    NotPrepared,
    /// Run, and failed.
    Failed,
    /// Not finished in time; it may have run.
    TimedOut,
    /// It may have run and may be kept.
    InDoubt,
    /// The endpoint does not exist.
    NoDatabase,
    /// The statement makes no sense here.
    Malformed,
}

impl ErrorKind {
    /// Whether the statement had no effect, so that it may run elsewhere.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Behind
                | Self::ReadOnly
                | Self::Misrouted
                | Self::TooManyConnections
                | Self::NotPrepared
        )
    }

    /// Its name in logs, metrics and records.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Behind => "behind",
            Self::ReadOnly => "read_only",
            Self::Misrouted => "misrouted",
            Self::TooManyConnections => "too_many_connections",
            Self::NotPrepared => "not_prepared",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
            Self::InDoubt => "in_doubt",
            Self::NoDatabase => "no_database",
            Self::Malformed => "malformed",
        }
    }
}

/// A message to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerReply {
    /// One row.
    Row(CompactString),
    /// Success, with the instance's proof where an instance ran it.
    Done(Option<CompactString>),
    /// Failure.
    Error(ErrorKind, CompactString),
    /// Ends an answer.
    Ready(TransactionState, Option<LogPoint>),
}

/// The protocol of callers.
#[derive(Debug, Clone, Copy)]
pub struct CallerCodec {
    /// Takes one message out of the bytes, if a whole one is there.
    pub decode: fn(&mut BytesMut) -> Result<Option<CallerMessage>, CodecError>,
    /// Appends one message.
    pub encode: fn(&CallerReply, &mut Vec<u8>),
}

/// A command to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DatabaseCommand {
    /// Clears session values and prepared statements.
    Reset,
    /// Sets a session value.
    Set(CompactString, CompactString),
    /// Prepares a statement under a name of this connection.
    Prepare(CompactString, PreparedShape),
    /// Opens a transaction, at or past a position.
    Begin {
        /// Whether it only reads.
        reads_only: bool,
        /// Position that the instance's log must have.
        after: Option<LogPoint>,
    },
    /// Runs a caller's statement.
    Run {
        /// The caller's identifier.
        id: StatementId,
        /// Position that the instance's log must have.
        after: Option<LogPoint>,
        /// Text.
        text: StatementText,
    },
    /// Runs a prepared statement of this connection.
    Execute {
        /// The caller's identifier.
        id: StatementId,
        /// Position that the instance's log must have.
        after: Option<LogPoint>,
        /// Name on this connection.
        name: CompactString,
        /// Arguments.
        arguments: CompactString,
    },
    /// Commits, as the caller asked under this identifier.
    Commit(StatementId),
    /// Rolls back.
    Rollback,
    /// Asks for role, term and position.
    Status,
    /// Stops a replica from receiving below a term.
    Pause(Term),
    /// Ends the term of a primary.
    StepDown(Term),
}

impl DatabaseCommand {
    /// Whether the instance spends one of its slots on it.
    #[must_use]
    pub fn takes_slot(&self) -> bool {
        matches!(
            self,
            Self::Run { .. } | Self::Execute { .. } | Self::Commit(_) | Self::Status
        )
    }
}

/// A message of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DatabaseMessage {
    /// One row.
    Row(CompactString),
    /// Success, with the instance's proof.
    Done(CompactString),
    /// Failure.
    Error(ErrorKind, CompactString),
    /// Ends an answer.
    Ready(TransactionState, Option<LogPoint>),
}

/// Role that an instance reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum DatabaseRole {
    /// Takes writes.
    Primary,
    /// Follows the primary.
    Replica,
}

/// What an instance says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DatabaseStatus {
    /// Its role.
    pub role: DatabaseRole,
    /// Its term.
    pub term: Term,
    /// Last position that it received.
    pub received: LogPoint,
    /// Term below which it takes nothing, or zero.
    pub fence_term: Term,
}

/// The protocol of instances.
#[derive(Debug, Clone, Copy)]
pub struct DatabaseCodec {
    /// Appends the greeting to an instance of a database.
    pub encode_startup: fn(database: &str, instance: &str, out: &mut Vec<u8>),
    /// Appends one command.
    pub encode: fn(&DatabaseCommand, &mut Vec<u8>),
    /// Takes one message out of the bytes, if a whole one is there.
    pub decode: fn(&mut BytesMut) -> Result<Option<DatabaseMessage>, CodecError>,
    /// Reads the row that answers a status, pause or step-down command.
    pub read_status: fn(&str) -> Result<DatabaseStatus, CodecError>,
}
