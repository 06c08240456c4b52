//! Rate limits of customers over many hosts.
//!
//! ```
//! use std::time::Duration;
//! use fulmarrill_limits::{Decision, LendTerms, LenderState, Limit, SpenderState, Terms, Tolerance};
//!
//! let limit = Limit { per_second: 10.0, burst: 20.0 };
//! let (tolerance, owners) = (Tolerance::default(), 2);
//! let terms = Terms::new(limit, tolerance, owners);
//! let lend_terms = LendTerms { limit, tolerance, owners };
//! let mut lender = LenderState::new(1, Duration::ZERO);
//! let mut spender = SpenderState::new();
//!
//! let now = Duration::from_secs(10);
//! let Decision::Admitted(_) = spender.admit(now, "acme", "host-1", terms) else {
//!     panic!("refused");
//! };
//! let line = spender.report("acme", now, 1).unwrap();
//! let verdict = lender.count(now, "acme", "host-2", line, lend_terms);
//! spender.apply("acme", now, 1, verdict);
//! assert!(verdict.retry_after.is_zero());
//! ```
//!
//! Both states are driven by events and the current time: they do no I/O, read no
//! clock and start no threads. A time is the span since any fixed moment of the host's
//! own clock; times of different hosts are never compared.

mod lender;
mod spender;
mod terms;

pub use crate::lender::{BucketState, LenderState};
pub use crate::spender::{AccountState, Decision, RETRY_DELAY, SpenderState, Ticket};
pub use crate::terms::{
    Guards, LendTerms, Limit, Moment, SpendLine, Terms, Tolerance, Verdict, float_of,
};

use std::time::Duration;

/// Time after which a spender counts as cut off from the lender: without an answer at
/// the spender, without a report at the lender.
pub const SILENCE: Duration = Duration::from_millis(500);
/// Longest time between two reports of an active spender.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time after its last operation for which a spender goes on reporting.
pub const ACTIVE_TIME: Duration = Duration::from_secs(6);
/// Longest time from a report to its reply. A later reply may come from a lender that
/// was frozen and has been replaced.
pub const REPLY_TIME_MAX: Duration = Duration::from_millis(300);
/// Time for which a new lender adds no tokens, since its predecessor may still lend to
/// hosts that don't know of the change.
pub const HANDOVER_TIME: Duration = Duration::from_millis(500);
