//! Connections that speak version 3 of the PostgreSQL protocol, on smol.
//!
//! ```no_run
//! use std::time::{Duration, Instant};
//! use fulmarrill_pg::{ConnectTarget, DatabaseConnection};
//!
//! let target = ConnectTarget::new("127.0.0.1:5432", "app", "registry-1");
//! smol::block_on(async {
//!     let deadline = Instant::now() + Duration::from_secs(1);
//!     let mut connection = DatabaseConnection::connect(&target, deadline).await.unwrap();
//!     let rows = connection.query("SELECT 1", deadline).await.unwrap();
//!     assert_eq!(rows[0].text(0), Some("1"));
//! });
//! ```
//!
//! The `pgwire` crate encodes and decodes messages; this crate sends and
//! receives them on smol sockets instead of that crate's server runtime. Responses
//! keep the bytes that were received, so that a proxy can forward them without
//! interpreting them.

mod client;
mod error;
mod format;
mod report;
mod server;
mod stream;

pub use crate::client::{BackendResponse, ConnectTarget, DatabaseConnection, TextRow};
pub use crate::error::PgError;
pub use crate::report::{ErrorReport, decode_frontend, sqlstate};
pub use crate::server::{StartupRequest, accept_session, read_startup};
pub use crate::stream::{MessageStream, encode_backend, encode_frontend};

/// Transaction status byte of `ReadyForQuery`: no transaction is open.
pub const STATUS_IDLE: u8 = b'I';
/// Transaction status byte of `ReadyForQuery`: a transaction is open.
pub const STATUS_TRANSACTION: u8 = b'T';
/// Transaction status byte of `ReadyForQuery`: the open transaction failed.
pub const STATUS_FAILED: u8 = b'E';
