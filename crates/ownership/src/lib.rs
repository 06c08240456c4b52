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
//! Ownership is computed by each host from the list of live hosts and is not
//! agreed on. Two hosts with different lists may both think they own an
//! instance for a moment; nothing that must hold may depend on there being one.

mod rendezvous;
mod table;

pub use crate::rendezvous::{rank_hosts, rendezvous_score};
pub use crate::table::{HostEntry, HostName, HostState, HostTable};
