//! How the state of the store spreads between hosts: who watches the store, whom
//! the others poll, and which of two states is newer.
//!
//! Performs no I/O and has no clock: it takes events and the time. Hosts compare
//! states by the store's revision, so a state may be taken from any host, whether
//! or not the store answers that host.

pub mod order;
pub mod source;
pub mod state;
pub mod version;

pub use crate::order::SpreadHost;
pub use crate::source::{SourceAges, SourceTable, is_source_news};
pub use crate::state::{FEED_COUNT, FeedKind, SpreadState};
pub use crate::version::{KnownVersions, ListVersion, StoreRevision, UNREAD_DIGEST};
