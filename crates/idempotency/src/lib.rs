//! Request keys and recovery from unknown outcomes.
//!
//! ```
//! use std::time::{Duration, SystemTime};
//! use fulmarrill_idempotency::RequestKey;
//!
//! let issued = SystemTime::UNIX_EPOCH + Duration::from_millis(1_000_000);
//! let retention = Duration::from_secs(3600);
//! let key = RequestKey::parse("1000000-renewal-17", issued, retention).unwrap();
//! assert_eq!(key.text(), "1000000-renewal-17");
//! assert!(RequestKey::parse("1000000-renewal-17", issued + 2 * retention, retention).is_err());
//! ```
//!
//! The row of a key, with a hash of the request and its answer, is written in
//! the same transaction as the request's own changes, so that both commit or
//! neither does (G. Anhaia, "The Idempotency Token Pattern Every Event-Driven
//! System Forgets Until 3 AM"). While the transaction of one attempt is open,
//! its uncommitted row blocks every other attempt to claim the key, so a keyed
//! request can always be retried safely.

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
