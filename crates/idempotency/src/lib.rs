//! Request keys and what to do when an outcome is unknown.
//!
//! ```
//! use std::time::{Duration, SystemTime};
//! use fulmarrill_idempotency::RequestKey;
//!
//! let issued = SystemTime::UNIX_EPOCH + Duration::from_millis(1_000_000);
//! let kept = Duration::from_secs(3600);
//! let key = RequestKey::parse("1000000-renewal-17", issued, kept).unwrap();
//! assert_eq!(key.text(), "1000000-renewal-17");
//! assert!(RequestKey::parse("1000000-renewal-17", issued + 2 * kept, kept).is_err());
//! ```
//!
//! The row of a key commits in the same transaction as the work that it stands
//! for, together with a hash of the request and the answer: the token row and
//! the business row must commit together or not at all (G. Anhaia, "The
//! Idempotency Token Pattern Every Event-Driven System Forgets Until 3 AM").
//! While the first attempt is open its row keeps every other attempt waiting,
//! so repeating a keyed request is always safe.

mod claim;
mod key;
mod recovery;

pub use crate::claim::{
    CREATE_TABLE, ClaimDecision, StoredClaim, claim_sql, decide_claim, lookup_sql, prune_sql,
    request_hash, store_sql, void_sql,
};
pub use crate::key::{KeyError, RequestKey};
pub use crate::recovery::{
    AttemptLog, AttemptResult, RecoveryDecision, RetrySafety, decide_recovery,
};
