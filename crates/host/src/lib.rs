//! One host process: the entry for callers and the owner of instances.
//!
//! ```no_run
//! use fulmarrill_document::HostSettings;
//! use fulmarrill_host::HostProcess;
//!
//! let settings = HostSettings::new("h1", "kosice-a", "vychod", "127.0.0.1:7000");
//! let host = smol::block_on(HostProcess::start(settings)).unwrap();
//! println!("callers connect to {}", host.addresses().caller);
//! ```
//!
//! The kernel starts the plug-ins, each of which registers itself:
//!
//! - `entry` accepts callers, finds the position that the session must see,
//!   chooses the instance and sends the request to that instance's owner;
//! - `owner` holds all connections to the instances that this host owns, and
//!   a queue by rank for the slots of each;
//! - `platform` watches the store, `peers` connects the hosts, `records` keeps
//!   the customers' records, `console` serves operators.
//!
//! One thread holds the control state and publishes immutable views of it; the
//! traffic threads route by the view in force.

mod console;
mod context;
mod control;
mod entry;
mod error;
mod kernel;
mod lifecycle;
mod metrics;
mod owner;
mod peers;
mod platform;
mod records;
mod routes;
mod view;

pub use crate::context::{HostAddresses, HostContext};
pub use crate::error::HostError;
pub use crate::kernel::{HostPlugin, HostProcess};
pub use crate::metrics::ReadCounts;
pub use crate::view::{ControlView, VersionedGroup};
