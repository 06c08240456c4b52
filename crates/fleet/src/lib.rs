//! A whole fleet of hosts and stand-ins in one process.
//!
//! ```no_run
//! use fulmarrill_fleet::{FleetLayout, LocalFleet};
//!
//! smol::block_on(async {
//!     let fleet = LocalFleet::start(FleetLayout::odznak()).await.unwrap();
//!     println!("callers connect to {}", fleet.caller_address("h1"));
//! });
//! ```
//!
//! Every connection between data centres goes through a forwarder that adds
//! the latency between them and can be cut or silenced, so that failures of
//! the network can be brought about path by path.

mod layout;
mod local;

pub use crate::layout::{DatabaseLayout, FleetLayout, HostLayout, InstanceLayout, SiteLayout};
pub use crate::local::{FleetError, LocalFleet};
