//! Errors that prevent a host from starting.

use std::io;

use compact_str::CompactString;
use thiserror::Error;

/// Why a host cannot start.
#[derive(Debug, Error)]
pub enum HostError {
    /// An address cannot be listened on.
    #[error("{field}: cannot listen on {address}: {source}")]
    Listen {
        /// Field of the settings file that holds the address.
        field: &'static str,
        /// The address.
        address: CompactString,
        /// Error of the socket.
        source: io::Error,
    },
    /// The control thread cannot be started.
    #[error("control thread cannot be started: {0}")]
    Thread(io::Error),
}
