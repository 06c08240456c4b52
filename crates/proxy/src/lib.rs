//! Sessions, placement, owners and terms, independent of the wire protocols of
//! callers and instances.
//!
//! Each host of the proxy has two roles. Its **entry** accepts callers, keeps
//! their sessions and chooses an instance for each statement. Its **owner**
//! holds all of the host's connections to the instances that it serves, behind
//! one ranked queue per instance. Entries call owners on other hosts over
//! `fulmarrill-link`.
//!
//! A protocol of callers or instances is a pair of functions that convert
//! between bytes and the types in [`codec`]. The embedding crate supplies both
//! protocols and passes what it reads from the store to
//! [`control::ControlState`].
//!
//! ```
//! use fulmarrill_proxy::clock::BootTime;
//! use std::time::Duration;
//!
//! let lease_until = BootTime::now().after(Duration::from_secs(12));
//! assert!(BootTime::now() < lease_until);
//! ```

pub mod catalogue;
pub mod change;
pub mod clock;
pub mod codec;
pub mod context;
pub mod control;
pub mod departures;
pub mod entry;
pub mod history;
pub mod leaving;
pub mod limits;
pub mod members;
pub mod owner;
pub mod peers;
pub mod port;
pub mod records;
pub mod relay;
pub mod report;
pub mod server;
pub mod statement;
pub mod view;
pub mod work;
