//! Calls and replies between hosts, as the rest of the code uses them.

use std::time::Instant;

use compact_str::CompactString;
use fulmarrill_ownership::HostEntry;
use fulmarrill_position::{DatabaseName, InstanceName, LogPoint, Term};
use fulmarrill_replication::DatabaseGroup;

/// Identifier of a pinned connection, which is reserved for one open transaction;
/// assigned by the instance's owner.
pub type PinId = u64;

/// What a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Reads at an instance that has applied the log up to the point.
    Read(LogPoint),
    /// May write; runs at the primary and may open a transaction.
    Write,
    /// Continues the open transaction of a pinned connection.
    Step(PinId),
    /// Rolls back the open transaction of a pinned connection.
    Abandon(PinId),
}

/// A statement that must be prepared on the connection before the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedParse {
    /// Name, derived from the statement's content only.
    pub name: CompactString,
    /// The encoded `Parse` message.
    pub parse: Vec<u8>,
}

/// A request from the entry, the host that the caller is connected to, to the
/// owner, the host that the instance is assigned to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkRequest {
    /// Database that the request addresses.
    pub database: DatabaseName,
    /// Instance that runs the request.
    pub instance: InstanceName,
    /// Term of the group as the entry knows it.
    pub term: Term,
    /// Whether it reads, may write, or continues or rolls back a transaction.
    pub kind: WorkKind,
    /// Index of the rank.
    pub rank: usize,
    /// Service and customer: the flow of fair queueing within the rank.
    pub flow: CompactString,
    /// Customer, stored with the request key.
    pub customer: CompactString,
    /// Request key, if the caller gave one.
    pub key: Option<CompactString>,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
    /// Statements that the payload refers to.
    pub prepared: Vec<PreparedParse>,
    /// Encoded messages of the caller, answered by one `ReadyForQuery`.
    pub payload: Vec<u8>,
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The host does not own the instance, or is leaving.
    NotOwner,
    /// There is no primary, or the instance is not known to be the primary of the
    /// request's term, cannot confirm commits, or is about to be replaced.
    NotPrimary,
    /// The instance has not applied the log up to the point asked for.
    Behind,
    /// The request writes, but the instance takes reads only.
    ReadOnly,
    /// It cannot be answered by its deadline.
    Deadline,
    /// Too much work is queued.
    Overload,
    /// The instance or the owner cannot be reached.
    Unavailable,
    /// Its transaction no longer exists and was rolled back.
    TransactionLost,
    /// Its key belongs to another request.
    KeyMismatch,
    /// Its key is malformed, too old, or was abandoned.
    KeyRefused,
}

/// The owner's answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkAnswer {
    /// The database answered, with a result or an error.
    Served {
        /// Encoded messages for the caller, `ReadyForQuery` last.
        payload: Vec<u8>,
        /// Transaction status byte of `ReadyForQuery`.
        status: u8,
        /// The log point that the session has observed.
        point: LogPoint,
        /// The connection pinned for the open transaction.
        pin: Option<PinId>,
        /// The SQLSTATE, if the answer is an error.
        sqlstate: Option<CompactString>,
    },
    /// The request did not run.
    NotRun {
        /// Reason of the refusal.
        reason: NotRunReason,
        /// Error text for the caller.
        message: CompactString,
    },
    /// The request may have run.
    Unknown {
        /// Error text for the caller.
        message: CompactString,
    },
}

impl WorkAnswer {
    /// Creates the answer to a request that did not run.
    #[must_use]
    pub fn not_run(reason: NotRunReason, message: impl Into<CompactString>) -> Self {
        Self::NotRun {
            reason,
            message: message.into(),
        }
    }

    /// Creates the answer to a request that may have run.
    #[must_use]
    pub fn unknown(message: impl Into<CompactString>) -> Self {
        Self::Unknown {
            message: message.into(),
        }
    }
}

/// The operators' configuration document with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlDocument {
    /// Version in the store.
    pub version: u64,
    /// Text of the document, in JSON.
    pub text: String,
}

/// A database group with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlGroup {
    /// Version in the store.
    pub version: u64,
    /// The group as stored.
    pub group: DatabaseGroup,
}

/// The list of hosts with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlHosts {
    /// Version of the platform's list.
    pub version: u64,
    /// Hosts on the list.
    pub hosts: Vec<HostEntry>,
}

/// Versions of the configuration that a host applies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlVersions {
    /// Version of the document.
    pub document: u64,
    /// Highest version among the groups.
    pub groups: u64,
    /// Version of the list of hosts.
    pub hosts: u64,
}

/// The parts of the configuration that changed since given versions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlUpdate {
    /// The document, if it changed.
    pub document: Option<ControlDocument>,
    /// Groups that changed.
    pub groups: Vec<ControlGroup>,
    /// The list of hosts, if it changed.
    pub hosts: Option<ControlHosts>,
}

/// Estimate of the queueing delay at an instance for one rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitHint {
    /// Instance that the queue belongs to.
    pub instance: InstanceName,
    /// Index of the rank.
    pub rank: usize,
    /// Expected start of work that arrives now.
    pub start_at: Instant,
}

/// Request records replicated to a second host until the store has them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordBatch {
    /// Serialized and compressed segments.
    pub segments: Vec<Vec<u8>>,
    /// Per chain (run of the host, customer), the number of the last record in
    /// the store. Copies up to it may be dropped.
    pub stored: Vec<(CompactString, CompactString, u64)>,
}

/// A call from one host to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerCall {
    /// Checks whether the host is alive; answered with its state.
    Probe,
    /// Runs a request.
    Work(Box<WorkRequest>),
    /// Asks for a log point that covers every commit acknowledged so far.
    Position(DatabaseName),
    /// Asks for the configuration newer than these versions.
    Control(ControlVersions),
    /// Passes on an update of the configuration.
    Update(ControlUpdate),
    /// Drains the in-flight writes of a database and admits no new ones until
    /// the deadline, for a planned change of primary.
    Drain(DatabaseName, Instant),
    /// Stores copies of request records.
    Records(RecordBatch),
    /// Announces that the calling host is leaving and owns no instance any more.
    Leaving,
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerReply {
    /// The call was carried out.
    Done,
    /// The call was refused, with the reason.
    Refused(CompactString),
    /// State of the host; answers [`PeerCall::Probe`].
    State {
        /// Versions of the configuration that it applies.
        versions: ControlVersions,
        /// Whether the host is leaving.
        leaving: bool,
        /// Queueing delays at the instances that it owns.
        hints: Vec<WaitHint>,
    },
    /// Answers [`PeerCall::Work`].
    Work(WorkAnswer),
    /// A log point that covers every commit acknowledged before the call.
    Position(LogPoint),
    /// The configuration newer than asked for; answers [`PeerCall::Control`].
    Update(ControlUpdate),
}
