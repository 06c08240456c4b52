//! What hosts say to each other.

use std::time::Instant;

use compact_str::CompactString;
use fulmarrill_ownership::HostEntry;
use fulmarrill_position::{DatabaseName, InstanceName, LogPoint, Term};
use fulmarrill_replication::DatabaseGroup;

/// Number of a pinned connection at its owner.
pub type PinId = u64;

/// What a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Reads at an instance that has applied the point.
    Read(LogPoint),
    /// May write; runs at the primary and may open a transaction.
    Write,
    /// Goes on in the open transaction of a pinned connection.
    Step(PinId),
    /// Rolls back the open transaction of a pinned connection.
    Abandon(PinId),
}

/// A statement that must be prepared on the connection before the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedParse {
    /// Name, which depends on the statement's content only.
    pub name: CompactString,
    /// The encoded `Parse` message.
    pub parse: Vec<u8>,
}

/// A request from an entry to an instance's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkRequest {
    /// Database.
    pub database: DatabaseName,
    /// Instance that is to run it.
    pub instance: InstanceName,
    /// Term of the group as the entry knows it.
    pub term: Term,
    /// What it does.
    pub kind: WorkKind,
    /// Place of the rank.
    pub rank: usize,
    /// Service and customer, between which a rank is fair.
    pub flow: CompactString,
    /// Customer, for the row of the key.
    pub customer: CompactString,
    /// Request key.
    pub key: Option<CompactString>,
    /// When the answer is worth nothing any more.
    pub deadline: Instant,
    /// Statements that the payload refers to.
    pub prepared: Vec<PreparedParse>,
    /// Encoded messages of the caller, which one `ReadyForQuery` answers.
    pub payload: Vec<u8>,
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The host does not own the instance, or is leaving.
    NotOwner,
    /// The instance is not the primary, or serves nothing yet.
    NotPrimary,
    /// The instance has not applied the point asked for.
    Behind,
    /// The request writes, but the instance takes reads only.
    ReadOnly,
    /// It cannot be answered by its deadline.
    Deadline,
    /// Too much work waits.
    Overload,
    /// The instance or the owner cannot be reached.
    Unavailable,
    /// The transaction it belongs to is gone and was rolled back.
    TransactionLost,
    /// Its key belongs to another request.
    KeyMismatch,
    /// Its key is malformed, too old, or was given up.
    KeyRefused,
}

/// The owner's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkAnswer {
    /// A database answered.
    Served {
        /// Encoded messages for the caller, `ReadyForQuery` last.
        payload: Vec<u8>,
        /// Transaction status.
        status: u8,
        /// The point that the session has seen.
        point: LogPoint,
        /// The connection pinned for the open transaction.
        pin: Option<PinId>,
        /// The SQLSTATE, if the answer is an error.
        sqlstate: Option<CompactString>,
    },
    /// The request did not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// For the caller.
        message: CompactString,
    },
    /// The request may have run.
    Unknown {
        /// For the caller.
        message: CompactString,
    },
}

impl WorkAnswer {
    /// A refusal.
    #[must_use]
    pub fn not_run(reason: NotRunReason, message: impl Into<CompactString>) -> Self {
        Self::NotRun {
            reason,
            message: message.into(),
        }
    }

    /// An answer that leaves the outcome open.
    #[must_use]
    pub fn unknown(message: impl Into<CompactString>) -> Self {
        Self::Unknown {
            message: message.into(),
        }
    }
}

/// The operators' document with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlDocument {
    /// Version in the store.
    pub version: u64,
    /// The document as JSON.
    pub text: String,
}

/// A database group with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlGroup {
    /// Version in the store.
    pub version: u64,
    /// The group.
    pub group: DatabaseGroup,
}

/// The list of hosts with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlHosts {
    /// Version of the platform's list.
    pub version: u64,
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}

/// Versions of the configuration that a host has in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlVersions {
    /// Version of the document.
    pub document: u64,
    /// Highest version of a group.
    pub groups: u64,
    /// Version of the list of hosts.
    pub hosts: u64,
}

/// News of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlUpdate {
    /// The document, if it is newer than asked for.
    pub document: Option<ControlDocument>,
    /// Groups newer than asked for.
    pub groups: Vec<ControlGroup>,
    /// The list of hosts, if it is newer than asked for.
    pub hosts: Option<ControlHosts>,
}

/// How long new work would wait before an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitHint {
    /// Instance.
    pub instance: InstanceName,
    /// Place of the rank.
    pub rank: usize,
    /// Expected start of work that arrives now.
    pub start_at: Instant,
}

/// Records to be held by a second host until the store has them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordBatch {
    /// Packed segments.
    pub segments: Vec<Vec<u8>>,
    /// Per chain (run of the host and customer) the last record that the
    /// store holds: copies up to it may be dropped.
    pub stored: Vec<(CompactString, CompactString, u64)>,
}

/// What one host asks of another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerCall {
    /// Whether the host lives; answered with its state.
    Probe,
    /// To run a request.
    Work(Box<WorkRequest>),
    /// For a point that covers every commit acknowledged until now.
    Position(DatabaseName),
    /// For configuration newer than these versions.
    Control(ControlVersions),
    /// News of the configuration.
    Update(ControlUpdate),
    /// To finish writes in flight of a database and take no new ones until
    /// the deadline, for a planned change of primary.
    Drain(DatabaseName, Instant),
    /// To hold copies of records.
    Records(RecordBatch),
    /// The asking host leaves: it owns nothing from now on.
    Leaving,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerReply {
    /// It is done.
    Done,
    /// It cannot be done.
    Refused(CompactString),
    /// State of a host that was probed.
    State {
        /// Versions in force.
        versions: ControlVersions,
        /// Whether the host is leaving.
        leaving: bool,
        /// Waits before the instances that it owns.
        hints: Vec<WaitHint>,
    },
    /// Answer to work.
    Work(WorkAnswer),
    /// A point that covers every commit acknowledged before the question.
    Position(LogPoint),
    /// News of the configuration.
    Update(ControlUpdate),
}
