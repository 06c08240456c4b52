//! A complete fleet of hosts and stand-ins in one process.
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
//! Connections among hosts, instances and the platform go through forwarders that
//! add the latency between the data centres of the two ends and can be cut or
//! silenced, so that network failures can be injected on each path separately.

mod layout;
mod local;

pub use crate::layout::{DatabaseLayout, FleetLayout, HostLayout, InstanceLayout, SiteLayout};
pub use crate::local::{FleetError, LocalFleet};
