//! Sessions, placement, owners and terms, without a wire protocol of their own.
//!
//! A host of the proxy is two things at once. Its **entry** takes callers,
//! keeps their sessions and chooses an instance for each statement. Its
//! **owner** has all connections to the instances that it serves, behind one
//! ranked queue per instance. Entries reach owners of other hosts by
//! `fulmarrill-link`.
//!
//! Protocols of callers and instances are pairs of functions between bytes and
//! the types in [`codec`]; whoever embeds this crate supplies them, and feeds
//! [`control::ControlState`] with what the store says.
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
