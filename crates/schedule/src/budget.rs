//! How often something may be tried again.

use std::time::{Duration, Instant};

/// Tries saved up at most.
const TOKENS_MAX: f64 = 10.0;
/// Tries earned by each request.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Tries earned by each second, so that a quiet caller may retry at all.
const TOKENS_PER_SECOND: f64 = 1.0;

/// Lets retries be a small share of requests, however many requests fail.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    counted_at: Instant,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: TOKENS_MAX,
            counted_at: now,
        }
    }

    /// Notes a first try.
    pub fn record_request(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(TOKENS_MAX);
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.counted_at);
        self.counted_at = now;
        self.tokens = (self.tokens + TOKENS_PER_SECOND * elapsed.as_secs_f64()).min(TOKENS_MAX);
    }
}

/// Wait before try number `attempt` (1 for the first retry): doubles from
/// `base` to `most`, and `jitter` from 0 to 1 spreads it over its upper half.
#[must_use]
pub fn backoff_delay(attempt: u32, base: Duration, most: Duration, jitter: f64) -> Duration {
    let doubled = base.saturating_mul(1 << attempt.saturating_sub(1).min(16));
    let full = doubled.min(most);
    full.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
}
