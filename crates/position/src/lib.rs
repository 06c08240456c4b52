//! Log positions, session positions and replica freshness.
//!
//! ```
//! use fulmarrill_position::{LogPoint, SessionPosition};
//!
//! let mut session = SessionPosition::new();
//! session.advance("registry-1", LogPoint::new(3, 40));
//! let token = session.to_string();
//! let parsed: SessionPosition = token.parse().unwrap();
//! assert_eq!(parsed.floor("registry-1"), LogPoint::new(3, 40));
//! ```
//!
//! A database group can change its primary, and each primary serves in a
//! numbered term. A point in the history of a database is therefore a pair of a
//! term and a position, ordered by term first. This crate holds plain data: it
//! does no I/O, reads no clock and starts no threads.

mod freshness;
mod point;
mod session;

pub use crate::freshness::FreshnessLog;
pub use crate::point::{
    InstanceRole, InstanceStatus, LogPoint, LogPosition, LsnError, Term, format_lsn, parse_lsn,
};
pub use crate::session::{SessionError, SessionPosition};

/// Name of a database group, for example `registry-1`.
pub type DatabaseName = compact_str::CompactString;
/// Name of one instance of a database group, for example `registry-1-a`.
pub type InstanceName = compact_str::CompactString;
