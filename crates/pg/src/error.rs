//! Errors of connections.

use std::io;

use compact_str::CompactString;
use pgwire::error::PgWireError;
use thiserror::Error;

use fulmarrill_runtime::Elapsed;

/// Why a connection can no longer be used.
#[derive(Debug, Error)]
pub enum PgError {
    /// The socket failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The other side closed the connection.
    #[error("connection closed by the other side")]
    Closed,
    /// The other side broke the protocol.
    #[error("protocol error: {0}")]
    Protocol(#[from] PgWireError),
    /// A message is larger than allowed or has an impossible length.
    #[error("message of {0} bytes is out of bounds")]
    InvalidLength(usize),
    /// Nothing was heard before the deadline.
    #[error("no answer before the deadline")]
    TimedOut,
    /// The server refused the connection or the statement.
    #[error("{message} (SQLSTATE {code})")]
    Server {
        /// SQLSTATE.
        code: CompactString,
        /// Message as the server wrote it.
        message: String,
    },
}

impl From<Elapsed> for PgError {
    fn from(_: Elapsed) -> Self {
        Self::TimedOut
    }
}
