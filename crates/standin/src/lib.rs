//! Stand-ins for the platform, the database and the network.
//!
//! ```no_run
//! use fulmarrill_standin::{DatabaseStandin, InstanceOptions};
//!
//! smol::block_on(async {
//!     let options = InstanceOptions::new("registry-1-a").with_primary(1);
//!     let instance = DatabaseStandin::start(options).await.unwrap();
//!     println!("listening on {}", instance.address());
//! });
//! ```
//!
//! They exist so that the whole system runs and is tested on one machine:
//!
//! - [`DatabaseStandin`] keeps real rows in an embedded SQLite, speaks the
//!   PostgreSQL protocol, and has slots, a connection limit, a replicated log
//!   with terms, lag, promotion and fencing.
//! - [`PlatformStandin`] keeps versioned objects with conditional updates and
//!   watches, and a list of hosts that lags; its faults can be switched.
//! - [`NetworkForwarder`] stands between two processes and delays, cuts or
//!   silences what passes.

mod database;
mod forwarder;
mod platform;

pub use crate::database::{DatabaseError, DatabaseStandin, InstanceFaults, InstanceOptions};
pub use crate::forwarder::{ForwarderFaults, NetworkForwarder};
pub use crate::platform::{PlatformFaults, PlatformMode, PlatformStandin};
