//! Statements as a session sees them, whatever protocol brought them.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

/// Identifier that a caller gave to one statement.
pub type StatementId = CompactString;
/// A statement as the caller wrote it. It is passed on unchanged.
pub type StatementText = CompactString;
/// Name that a caller gave to a prepared statement.
pub type PreparedName = CompactString;
/// The values that a session has set, by name.
pub type SessionValues = Arc<BTreeMap<CompactString, CompactString>>;

/// What a prepared statement does.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreparedShape {
    /// Whether it writes.
    pub writes: bool,
    /// Its text, opaque to this crate.
    pub text: StatementText,
}

/// One statement of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerStatement {
    /// Opens a transaction.
    Begin {
        /// Whether the caller promised not to write in it.
        reads_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads.
    Read(StatementText),
    /// Writes.
    Write(StatementText),
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: CompactString,
        /// The value.
        value: CompactString,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The name.
        name: PreparedName,
        /// What it does.
        shape: PreparedShape,
    },
    /// Runs a prepared statement.
    Execute {
        /// The name.
        name: PreparedName,
        /// Arguments, opaque to this crate.
        arguments: CompactString,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The name.
        name: PreparedName,
    },
}

impl CallerStatement {
    /// What is asked for, for the customer's record.
    #[must_use]
    pub fn text(&self) -> CompactString {
        match self {
            Self::Begin { .. } => CompactString::const_new("begin"),
            Self::Commit => CompactString::const_new("commit"),
            Self::Rollback => CompactString::const_new("rollback"),
            Self::Read(text) | Self::Write(text) => text.clone(),
            Self::Set { name, value } => format_compact!("set {name} {value}"),
            Self::Prepare { name, shape } => format_compact!("prepare {name} {}", shape.text),
            Self::Execute { name, arguments } => format_compact!("execute {name} {arguments}"),
            Self::Deallocate { name } => format_compact!("deallocate {name}"),
        }
    }
}

/// State of a session's transaction, as it is told to callers and by
/// instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionState {
    /// None is open.
    Idle,
    /// One is open.
    Open,
    /// One is open and has failed; it can only be rolled back.
    Failed,
}
