//! Statements of callers, independent of the callers' protocol.

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

/// The content of a prepared statement, without its name.
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
        /// Whether the caller declared it read-only.
        reads_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Runs a statement that reads.
    Read(StatementText),
    /// Runs a statement that may write.
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
        /// What is prepared.
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
    /// Approximate size of what the caller sent, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::Begin { .. } | Self::Commit | Self::Rollback => 0,
            Self::Read(text) | Self::Write(text) => text.len(),
            Self::Set { name, value } => name.len() + value.len(),
            Self::Prepare { name, shape } => name.len() + shape.text.len(),
            Self::Execute { name, arguments } => name.len() + arguments.len(),
            Self::Deallocate { name } => name.len(),
        }
    }

    /// Returns the text of the request in the customer's record.
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

/// State of a session's transaction, as instances report it to the proxy and the
/// proxy to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionState {
    /// None is open.
    Idle,
    /// One is open.
    Open,
    /// One is open and has failed; it can only be rolled back.
    Failed,
}
