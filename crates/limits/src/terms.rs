//! Limits, tolerance, and what spenders and lenders tell each other.

use std::time::Duration;

/// A time: the span since any fixed moment of one host's clock.
pub type Moment = Duration;

/// Limit of one customer over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Operations per second.
    pub per_second: f64,
    /// Operations that may come at once after a pause.
    pub burst: f64,
}

/// How far a customer may exceed its limit: in any `window`, at most
/// `(rate * window + burst) * (1 + excess) + slack` operations run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of the window.
    pub window: Duration,
    /// Part of the limit.
    pub excess: f64,
    /// Operations.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            excess: 0.1,
            slack: 20.0,
        }
    }
}

impl Tolerance {
    /// Most operations of a customer that may run in any window.
    #[must_use]
    pub fn bound(&self, limit: Limit) -> f64 {
        self.limited(limit) + self.above(limit)
    }

    fn limited(&self, limit: Limit) -> f64 {
        limit.per_second * self.window.as_secs_f64() + limit.burst
    }

    /// Operations that may wait to be sent without a loss of tokens: half of the part of
    /// the tolerance that floats leave.
    #[must_use]
    pub fn waiting(&self, limit: Limit) -> f64 {
        self.above(limit) / 4.0
    }

    pub(crate) fn above(&self, limit: Limit) -> f64 {
        self.excess * self.limited(limit) + self.slack
    }
}

/// Operations that each of `owners` spenders may admit before the lender has counted
/// them. All together stay within half of the tolerance; the other half covers delays
/// and the loss of a lender or spender.
#[must_use]
pub fn float_of(limit: Limit, tolerance: Tolerance, owners: usize) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "the conversion saturates"
    )]
    let float = (tolerance.above(limit) / 2.0 / owners.max(1) as f64) as u64;
    float
}

/// What an admission depends on besides the customer's history.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Limit of the customer.
    pub limit: Limit,
    /// Operations that the host may admit before they are counted; 0 if it is not a
    /// preferred owner.
    pub float: u64,
    /// Operations per second that the host may admit while it is cut off.
    pub share: f64,
}

impl Terms {
    /// The terms of one of `owners` preferred owners.
    #[must_use]
    pub fn new(limit: Limit, tolerance: Tolerance, owners: usize) -> Self {
        Self {
            limit,
            float: float_of(limit, tolerance, owners),
            share: even_share(limit, owners),
        }
    }

    /// The terms of a host that is not a preferred owner, or that asks for each
    /// operation.
    #[must_use]
    pub const fn asking(limit: Limit) -> Self {
        Self {
            limit,
            float: 0,
            share: 0.0,
        }
    }
}

/// What a lender knows of a customer's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LendTerms {
    /// Limit of the customer.
    pub limit: Limit,
    /// How far it may be exceeded.
    pub tolerance: Tolerance,
    /// Number of preferred owners.
    pub owners: usize,
}

/// Part of the rate that one of `owners` may use while it is cut off.
#[must_use]
pub fn even_share(limit: Limit, owners: usize) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "the number of owners is far smaller than 2^52"
    )]
    let owners = owners.max(1) as f64;
    limit.per_second / owners
}

/// A spender's report on one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpendLine {
    /// Run of the spender.
    pub run: u64,
    /// Number of the report in that run.
    pub sequence: u64,
    /// Epoch of the bucket that the counts refer to; 0 if it is not known yet.
    pub epoch: u64,
    /// Operations counted so far in this epoch.
    pub admitted: u64,
    /// Those of them that certainly did not run.
    pub refunded: u64,
    /// Operations that were admitted and not sent yet.
    pub waiting: u64,
    /// Whether this is the last report until the next operation.
    pub is_last: bool,
}

/// The lender's answer on one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Epoch of the bucket. Nothing was counted if the report named another one.
    pub epoch: u64,
    /// Operations that were counted above the limit.
    pub over_by: u64,
    /// Time for which the customer is over its limit; zero if it is not.
    pub retry_after: Duration,
}

/// Safeguards that a test switches off one by one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent switch"
)]
pub struct Guards {
    /// Uncounted operations stay below the float.
    pub float: bool,
    /// A spender refuses while the customer is over its limit.
    pub verdict: bool,
    /// A spender that is cut off keeps to its even share.
    pub share: bool,
    /// Only a spender that the lender knows uses its even share.
    pub registration: bool,
    /// The lender sets the share of silent spenders aside.
    pub set_aside: bool,
    /// A new bucket starts without a burst.
    pub empty_start: bool,
    /// Counts are cumulative, and reports that were overtaken are ignored.
    pub sequence: bool,
    /// Counts that refer to another epoch are not taken over.
    pub epoch: bool,
    /// A bucket gains no tokens while too many operations wait to be sent.
    pub waiting: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            float: true,
            verdict: true,
            share: true,
            registration: true,
            set_aside: true,
            empty_start: true,
            sequence: true,
            epoch: true,
            waiting: true,
        }
    }
}
