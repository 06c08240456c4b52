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
//! With them the whole system runs and is tested on one machine:
//!
//! - [`DatabaseStandin`] stores rows in an embedded SQLite and speaks the PostgreSQL
//!   protocol. It has slots, a connection limit, and a replicated log with terms,
//!   lag, promotion and fencing.
//! - [`PlatformStandin`] stores versioned objects with conditional updates and
//!   watches, and a list of hosts that lags; faults can be injected while it runs.
//! - [`NetworkForwarder`] forwards connections between two processes, and can delay,
//!   stall or close them.

mod database;
mod forwarder;
mod platform;

pub use crate::database::{DatabaseError, DatabaseStandin, InstanceFaults, InstanceOptions};
pub use crate::forwarder::{ForwarderFaults, NetworkForwarder};
pub use crate::platform::{PlatformFaults, PlatformMode, PlatformStandin};
