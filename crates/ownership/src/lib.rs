//! Which host owns which instance, by rendezvous hashing.
//!
//! ```
//! use fulmarrill_ownership::{HostEntry, HostTable};
//!
//! let mut table = HostTable::new();
//! table.insert(HostEntry::new("h1", "kosice-a", "vychod"));
//! table.insert(HostEntry::new("h2", "presov-a", "vychod"));
//! let owner = table.owner_of("registry-1-a", "presov-a", "vychod").unwrap();
//! assert_eq!(owner.name, "h2");
//! ```
//!
//! Each host computes ownership by itself from its list of live hosts, without
//! agreement. Two hosts with different lists may both consider themselves the
//! owner of an instance for a while, so no safety property may depend on there
//! being exactly one.

mod rendezvous;
mod table;

pub use crate::rendezvous::{rank_hosts, rendezvous_weight};
pub use crate::table::{HostEntry, HostName, HostState, HostTable};
