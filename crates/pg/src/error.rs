//! Errors of PostgreSQL connections.

use std::io;

use compact_str::CompactString;
use pgwire::error::PgWireError;
use thiserror::Error;

use fulmarrill_runtime::Elapsed;

/// Why an operation on a connection failed.
#[derive(Debug, Error)]
pub enum PgError {
    /// The address is invalid or the socket failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The other side closed the connection.
    #[error("connection closed by the other side")]
    Closed,
    /// A message cannot be encoded or decoded.
    #[error("protocol error: {0}")]
    Protocol(#[from] PgWireError),
    /// A message does not have the fields of its type: a text is not UTF-8 or has a
    /// zero byte inside, or the message ends too early or too late.
    #[error(
        "invalid message format: a text is not UTF-8 or has a zero byte, or the length is wrong"
    )]
    InvalidFormat,
    /// The length field of a message is too large or too small.
    #[error("message of {0} bytes is out of bounds")]
    InvalidLength(usize),
    /// The server sent data that no request asked for. The connection must not be
    /// used, since later answers could be taken for those of other requests.
    #[error("server sent data that belongs to no request")]
    Unsolicited,
    /// The operation did not complete before the deadline.
    #[error("no answer before the deadline")]
    TimedOut,
    /// The server refused the connection or the statement.
    #[error("{message} (SQLSTATE {code})")]
    Server {
        /// SQLSTATE.
        code: CompactString,
        /// Message text as the server sent it.
        message: String,
    },
}

impl From<Elapsed> for PgError {
    fn from(_: Elapsed) -> Self {
        Self::TimedOut
    }
}
