//! Work that an entry sends to the owner of an instance, and its answers.

use std::time::Instant;

use compact_str::{CompactString, format_compact};
use fulmarrill_position::{DatabaseName, LogPoint, Term};
use fulmarrill_schedule::RankIndex;

use crate::catalogue::InstanceId;
use crate::codec::ErrorKind;
use crate::statement::{PreparedShape, SessionValues, StatementId, StatementText};

/// Number of a transaction that is kept on a connection, unique per owner.
pub type PinId = u64;

/// Where a piece of work belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkStep {
    /// A statement by itself.
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
        /// Text.
        text: StatementText,
    },
    /// A prepared statement.
    Prepared {
        /// The caller's identifier.
        id: StatementId,
        /// What was prepared.
        shape: PreparedShape,
        /// Arguments.
        arguments: CompactString,
    },
    /// Commits.
    Commit(StatementId),
    /// Rolls back and gives the connection up.
    Rollback,
}

/// Identifier in reports of statements that no caller numbered.
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

    /// What is asked for, for the customer's record.
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

    /// Whether the statement may leave something behind by itself.
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
    /// Database.
    pub database: DatabaseName,
    /// Instance that shall run it.
    pub instance: InstanceId,
    /// The term that the instance must lead; none where a replica will do.
    pub primary_term: Option<Term>,
    /// Rank.
    pub rank: RankIndex,
    /// When the answer is worth nothing any more.
    pub deadline: Instant,
    /// The session's values.
    pub values: SessionValues,
    /// Position that the instance's log must have.
    pub after: Option<LogPoint>,
    /// Customer on whose behalf it runs.
    pub customer: CompactString,
    /// Place in a transaction.
    pub step: WorkStep,
    /// The statement.
    pub statement: WorkStatement,
}

/// Why work did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum NotRunReason {
    /// Too much work waits, or the deadline would be missed.
    Overload,
    /// The instance does not lead the term, or this host may not use it.
    NotPrimary,
    /// The instance lacks the position.
    Behind,
    /// The owner cannot reach the instance.
    Unreachable,
    /// The owner cannot be reached.
    NoOwner,
    /// The transaction is gone; nothing of it is kept.
    TransactionLost,
}

/// The answer to a piece of work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkAnswer {
    /// Done.
    Served {
        /// Rows.
        rows: Vec<CompactString>,
        /// The instance's proof.
        proof: CompactString,
        /// The instance's position afterwards.
        point: Option<LogPoint>,
        /// The transaction, if it goes on.
        pin: Option<PinId>,
    },
    /// The instance ran it and it failed; a transaction is rolled back.
    Failed {
        /// Kind of the failure.
        kind: ErrorKind,
        /// The instance's own words.
        text: CompactString,
    },
    /// It did not run; a transaction is rolled back.
    NotRun(NotRunReason),
    /// It was sent and no whole answer came.
    Unknown,
}
