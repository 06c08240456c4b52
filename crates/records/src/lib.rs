//! Hash-chained records of customers' requests.
//!
//! ```
//! use fulmarrill_records::{RecordChain, RequestOutcome, RequestRecord, verify_segments};
//!
//! let mut chain = RecordChain::new("h1", "stall-7");
//! chain.append(RequestRecord::new(1000, "renewals", "SELECT 1", RequestOutcome::Served));
//! let segment = chain.take_segment().unwrap();
//! let verified = verify_segments(&[segment]).unwrap();
//! assert_eq!(verified.records.len(), 1);
//! ```
//!
//! Each run of a host keeps one chain per customer. The hash of a record covers its
//! content, its number and the hash before it, so that a record that was altered,
//! dropped or swapped breaks the chain at its segment. Records missing at the end
//! of a chain are not detected. The store holds the chains in segments.
//!
//! [`RequestJournal`] does the same with one chain of compressed blocks for all
//! customers of a host.

mod chain;
mod journal;
mod limit;
mod record;
mod segment;

pub use crate::chain::RecordChain;
pub use crate::journal::{
    JournalRecord, JournalSegment, JournalVerifier, RequestJournal, WireRecord,
};
pub use crate::limit::RecordLimit;
pub use crate::record::{ChainHash, RequestOutcome, RequestRecord, chain_hash, initial_hash};
pub use crate::segment::{
    RecordFault, RecordSegment, SegmentError, VerifiedRecords, remove_written, verify_segments,
};
