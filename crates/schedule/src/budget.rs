//! Retry budget and backoff.

use std::time::{Duration, Instant};

/// Maximum number of retries that can be saved up.
const TOKENS_MAX: f64 = 10.0;
/// Retries earned by each request.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Retries earned per second, so that a caller with few requests can retry too.
const TOKENS_PER_SECOND: f64 = 1.0;

/// Token bucket that limits retries to a small share of the requests, however
/// many requests fail.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: TOKENS_MAX,
            refilled_at: now,
        }
    }

    /// Records a first attempt, which earns a share of a retry.
    pub fn record_request(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(TOKENS_MAX);
    }

    /// Takes one retry from the budget; `false` if none is left.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + TOKENS_PER_SECOND * elapsed.as_secs_f64()).min(TOKENS_MAX);
    }
}

/// Delay before retry number `attempt`, where 1 is the first retry.
///
/// It doubles from `base` up to `max`; `jitter` from 0 to 1 spreads it over the
/// upper half of that.
#[must_use]
pub fn backoff_delay(attempt: u32, base: Duration, max: Duration, jitter: f64) -> Duration {
    let doubled = base.saturating_mul(1 << attempt.saturating_sub(1).min(16));
    let full = doubled.min(max);
    full.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
}
