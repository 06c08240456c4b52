//! Requests that an entry sends to the owner of an instance, and their answers.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use fulmarrill_position::{DatabaseName, LogPoint, Term};
use fulmarrill_schedule::RankIndex;

use crate::catalogue::InstanceId;
use crate::catalogue::customers::CustomerName;
use crate::codec::ErrorKind;
use crate::statement::{PreparedShape, SessionValues, StatementId, StatementText};

/// Identifier of a transaction pinned to a connection, unique per owner.
pub type PinId = u64;

/// How a statement relates to a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkStep {
    /// A statement outside any transaction.
    Single,
    /// The first statement of a transaction.
    Begin {
        /// Whether the transaction only reads.
        reads_only: bool,
    },
    /// A later statement of an open transaction.
    Continue(PinId),
}

/// A statement on its way to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkStatement {
    /// A statement as the caller wrote it.
    Text {
        /// The caller's identifier.
        id: StatementId,
        /// Whether it writes.
        writes: bool,
        /// Text as the caller wrote it.
        text: StatementText,
    },
    /// A prepared statement.
    Prepared {
        /// The caller's identifier.
        id: StatementId,
        /// The prepared statement.
        shape: PreparedShape,
        /// Arguments as the caller wrote them.
        arguments: CompactString,
    },
    /// Commits the transaction, under the caller's identifier.
    Commit(StatementId),
    /// Rolls the transaction back; its connection is no longer pinned.
    Rollback,
}

/// Identifier of statements to which no caller gave one, in reports.
const NO_ID: StatementId = StatementId::const_new("-");

impl WorkStatement {
    /// The caller's identifier.
    #[must_use]
    pub fn id(&self) -> StatementId {
        match self {
            Self::Text { id, .. } | Self::Prepared { id, .. } | Self::Commit(id) => id.clone(),
            Self::Rollback => NO_ID,
        }
    }

    /// Returns the text of the request in the customer's record.
    #[must_use]
    pub fn text(&self) -> CompactString {
        match self {
            Self::Text { text, .. } => text.clone(),
            Self::Prepared {
                shape, arguments, ..
            } => format_compact!("{} {arguments}", shape.text),
            Self::Commit(_) => CompactString::const_new("commit"),
            Self::Rollback => CompactString::const_new("rollback"),
        }
    }

    /// Whether the statement may by itself change data.
    #[must_use]
    pub fn writes(&self) -> bool {
        match self {
            Self::Text { writes, .. } => *writes,
            Self::Prepared { shape, .. } => shape.writes,
            Self::Commit(_) => true,
            Self::Rollback => false,
        }
    }
}

/// Work for the owner of an instance.
#[derive(Debug, Clone)]
pub struct WorkRequest {
    /// Database that the instance belongs to.
    pub database: DatabaseName,
    /// Instance that is to run it.
    pub instance: InstanceId,
    /// Term of which the instance must be the primary; `None` if a replica may run
    /// it.
    pub primary_term: Option<Term>,
    /// Rank of the endpoint.
    pub rank: RankIndex,
    /// Time after which the answer is useless.
    pub deadline: Instant,
    /// Values that the session has set.
    pub values: SessionValues,
    /// Position that the instance's log must have reached.
    pub after: Option<LogPoint>,
    /// Greatest age of the data that a replica may read, counted from the arrival
    /// of the work; `None` for work that does not depend on the age. The owner's
    /// host finds the position that proves it.
    pub max_age: Option<Duration>,
    /// Customer on whose behalf it runs.
    pub customer: CompactString,
    /// Whether a key identified the customer. The work then runs on a connection in its
    /// name.
    pub is_signed_in: bool,
    /// Whether the answer should carry an [`OwnerHint`].
    pub wants_hint: bool,
    /// Relation to a transaction.
    pub step: WorkStep,
    /// The statement.
    pub statement: WorkStatement,
}

impl WorkRequest {
    /// Approximate size of what a caller sent of it, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let statement = match &self.statement {
            WorkStatement::Text { text, .. } => text.len(),
            WorkStatement::Prepared {
                shape, arguments, ..
            } => shape.text.len() + arguments.len(),
            WorkStatement::Commit(_) | WorkStatement::Rollback => 0,
        };
        let values = self.values.iter();
        statement
            + values
                .map(|(name, value)| name.len() + value.len())
                .sum::<usize>()
    }

    /// In whose name the connection is opened that runs the work.
    #[must_use]
    pub fn connection_user(&self) -> Option<CustomerName> {
        self.is_signed_in.then(|| self.customer.clone())
    }
}

/// What an owner adds to an answer, for the entry's choice among instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerHint {
    /// Expected time of a new request of the same rank at the instance: its wait for a
    /// slot, and the mean time in it.
    pub next: Duration,
    /// Time that this request spent at the owner.
    pub spent: Duration,
}

/// Why work did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum NotRunReason {
    /// Too much work waits, or the deadline would be missed.
    Overload,
    /// The instance is not the primary of the term, or the owner may not use it.
    NotPrimary,
    /// The instance's log has not reached the position.
    Behind,
    /// The owner's host knows no position that proves the age of a replica's data.
    AgeUnknown,
    /// The owner cannot reach the instance.
    Unreachable,
    /// The owner cannot be reached.
    NoOwner,
    /// The customer is over its rate limit.
    OverLimit {
        /// Milliseconds after which it is below the limit again.
        retry_ms: u32,
    },
    /// The host that counts the customer's operations does not answer the owner.
    LimitUnknown {
        /// Milliseconds after which the customer should come back.
        retry_ms: u32,
    },
    /// The transaction is gone; none of its writes is committed.
    TransactionLost,
}

/// The answer to a [`WorkRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkAnswer {
    /// The instance ran it.
    Served {
        /// Rows as the instance sent them.
        rows: Vec<CompactString>,
        /// The instance's proof of execution, passed on to the caller.
        proof: CompactString,
        /// The instance's position afterwards.
        point: Option<LogPoint>,
        /// The transaction, if it is still open.
        pin: Option<PinId>,
    },
    /// The instance ran it and it failed; a transaction is rolled back.
    Failed {
        /// Kind of the failure.
        kind: ErrorKind,
        /// Error text of the instance.
        text: CompactString,
    },
    /// It did not run; a transaction is rolled back.
    NotRun(NotRunReason),
    /// It may have run: no complete answer arrived.
    Unknown,
}
