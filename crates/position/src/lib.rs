//! Log positions, session positions and the age of replicas.
//!
//! ```
//! use fulmarrill_position::{LogPoint, SessionPosition};
//!
//! let mut session = SessionPosition::new();
//! session.advance("registry-1", LogPoint::new(3, 40));
//! let token = session.to_string();
//! let moved: SessionPosition = token.parse().unwrap();
//! assert_eq!(moved.floor("registry-1"), LogPoint::new(3, 40));
//! ```
//!
//! A database group changes its primary; each primary serves in a numbered
//! term. A point in the history of a database is therefore a pair of a term
//! and a position, ordered by the term first. Everything here is plain data:
//! no I/O, no clock and no threads.

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
