//! Codecs that an adapter supplies: functions between bytes and typed messages.
//!
//! An adapter has no sockets, timers or state. It only translates, so that every
//! decision is made in this crate and the adapter can be tested against recorded
//! messages.

use bytes::BytesMut;
use compact_str::CompactString;
use fulmarrill_position::{LogPoint, Term};
use memchr::memmem;
use thiserror::Error;

use crate::catalogue::customers::CallerKey;
use crate::statement::{
    CallerStatement, PreparedShape, StatementId, StatementText, TransactionState,
};

/// Error of a decoder. The connection cannot be used any further.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CodecError {
    /// A message is longer than the protocol allows.
    #[error("message is longer than {0} bytes")]
    TooLong(usize),
    /// The bytes are not a message of the protocol.
    #[error("message cannot be read: {0}")]
    Unreadable(CompactString),
}

/// A message from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens the session.
    Startup {
        /// Name of the endpoint that the caller asks for.
        endpoint: CompactString,
        /// Key by which the caller identifies itself, or its name if the operators declare
        /// no customers.
        key: CallerKey,
    },
    /// Runs a statement.
    Statement {
        /// The caller's identifier.
        id: StatementId,
        /// The statement.
        statement: CallerStatement,
    },
    /// A complete message that cannot be parsed, with the reason.
    Malformed(CompactString),
    /// Ends the session.
    Terminate,
}

/// Why a statement failed, as reported to callers. The kind tells whether the
/// statement may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ErrorKind {
    /// Not run: it was shed, or cannot be run at present.
    Busy,
    /// No effect: the transaction was rolled back.
    Aborted,
    /// Not run: the instance's log lacks the required position.
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
    /// It may have run, and its writes may be committed.
    InDoubt,
    /// The endpoint does not exist.
    NoDatabase,
    /// Not run: the caller's key is not valid.
    Unauthorized,
    /// The message cannot be parsed, or the statement is not valid in this state.
    Malformed,
}

impl ErrorKind {
    /// Whether the statement did not run and another instance may run it.
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

    /// Name in logs, metrics and records.
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
            Self::Unauthorized => "unauthorized",
            Self::Malformed => "malformed",
        }
    }
}

/// A message to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerReply {
    /// One row.
    Row(CompactString),
    /// Success, with the proof that the instance returned, if one ran the
    /// statement.
    Done(Option<CompactString>),
    /// Failure, with its text.
    Error(ErrorKind, CompactString),
    /// Ends an answer.
    Ready(TransactionState, Option<LogPoint>),
}

/// Finds the end of the first message in a buffer that grows, without searching the same
/// bytes again after each read.
#[derive(Debug, Default)]
pub struct MessageScan {
    searched: usize,
}

impl MessageScan {
    /// Whether `input` holds the end of a message. The bytes that earlier calls have
    /// searched must still be at its front.
    pub fn has_end(&mut self, input: &[u8], end: &[u8]) -> bool {
        let start = self.searched.saturating_sub(end.len().saturating_sub(1));
        let rest = input.get(start..).unwrap_or_default();
        if memmem::find(rest, end).is_some() {
            return true;
        }
        self.searched = input.len();
        false
    }

    /// Starts again at the front of the buffer, after a message was removed.
    pub fn restart(&mut self) {
        self.searched = 0;
    }
}

/// Codec of the callers' protocol.
#[derive(Debug, Clone, Copy)]
pub struct CallerCodec {
    /// Bytes that end each message.
    pub message_end: &'static [u8],
    /// Longest message without its end, in bytes.
    pub message_bytes_max: usize,
    /// Removes one message from the buffer, if it holds a whole one.
    pub decode: fn(&mut BytesMut) -> Result<Option<CallerMessage>, CodecError>,
    /// Appends one message to the output.
    pub encode: fn(&CallerReply, &mut Vec<u8>),
}

/// A command to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DatabaseCommand {
    /// Clears session values and prepared statements.
    Reset,
    /// Sets a session value: name and value.
    Set(CompactString, CompactString),
    /// Prepares a statement under a name of this connection.
    Prepare(CompactString, PreparedShape),
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        reads_only: bool,
        /// Position that the instance's log must contain.
        after: Option<LogPoint>,
    },
    /// Runs a caller's statement.
    Run {
        /// The caller's identifier.
        id: StatementId,
        /// Position that the instance's log must contain.
        after: Option<LogPoint>,
        /// Text.
        text: StatementText,
    },
    /// Runs a prepared statement of this connection.
    Execute {
        /// The caller's identifier.
        id: StatementId,
        /// Position that the instance's log must contain.
        after: Option<LogPoint>,
        /// Name of the prepared statement on this connection.
        name: CompactString,
        /// Arguments.
        arguments: CompactString,
    },
    /// Commits; the value is the identifier of the caller's statement.
    Commit(StatementId),
    /// Rolls back.
    Rollback,
    /// Asks for role, term and position.
    Status,
    /// Fences a replica: it stops receiving log of terms below this one.
    Pause(Term),
    /// Makes a primary step down in favour of this later term.
    StepDown(Term),
    /// Prepares a statement that is never run. Its answer marks the end of the answers
    /// to the commands before it.
    Marker(CompactString, PreparedShape),
}

impl DatabaseCommand {
    /// Whether the command takes one of the instance's slots.
    #[must_use]
    pub fn takes_slot(&self) -> bool {
        matches!(
            self,
            Self::Run { .. } | Self::Execute { .. } | Self::Commit(_) | Self::Status
        )
    }

    /// Whether the command is a statement of a caller, whose success comes with a
    /// proof.
    #[must_use]
    pub fn is_callers(&self) -> bool {
        matches!(
            self,
            Self::Run { .. } | Self::Execute { .. } | Self::Commit(_)
        )
    }

    /// Whether one row with the status of the instance answers the command.
    #[must_use]
    pub fn answers_status(&self) -> bool {
        matches!(self, Self::Status | Self::Pause(_) | Self::StepDown(_))
    }
}

/// A message from an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DatabaseMessage {
    /// One row.
    Row(CompactString),
    /// Success, with the proof that the instance returned, if any.
    Done(Option<CompactString>),
    /// Failure, with its text.
    Error(ErrorKind, CompactString),
    /// Ends an answer.
    Ready(TransactionState, Option<LogPoint>),
}

/// Role that an instance reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum DatabaseRole {
    /// Accepts writes.
    Primary,
    /// Replicates from the primary.
    Replica,
}

/// Status that an instance reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DatabaseStatus {
    /// Its role.
    pub role: DatabaseRole,
    /// Its term.
    pub term: Term,
    /// Last position that its log has received.
    pub received: LogPoint,
    /// Term below which it receives nothing, or zero.
    pub fence_term: Term,
}

/// Codec of the instances' protocol.
#[derive(Debug, Clone, Copy)]
pub struct DatabaseCodec {
    /// Bytes that end each message of an instance.
    pub message_end: &'static [u8],
    /// Longest encoded message that an instance takes, in bytes.
    pub message_bytes_max: usize,
    /// Appends the startup message for an instance of a database, in the name of a
    /// customer or of the proxy itself.
    pub encode_startup:
        fn(database: &str, customer: Option<&str>, instance: &str, out: &mut Vec<u8>),
    /// Appends one command to the output.
    pub encode: fn(&DatabaseCommand, &mut Vec<u8>),
    /// Removes one message from the buffer, if it holds a whole one.
    pub decode: fn(&mut BytesMut) -> Result<Option<DatabaseMessage>, CodecError>,
    /// Reads the row that answers a status, pause or step-down command.
    pub read_status: fn(&str) -> Result<DatabaseStatus, CodecError>,
}
