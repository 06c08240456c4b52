//! The share of the reads of a database that go to another data centre.

use std::time::{Duration, Instant};

use crate::fixed::Distance;
use crate::observed::decay;

/// Time constant with which the share follows the decisions.
const FOLLOW_TIME: Duration = Duration::from_millis(500);
/// Largest change of the share in one step.
const STEP_MAX: f64 = 0.2;
/// How far the fraction of reads that leave to another data centre of the region may
/// differ from the share.
const CENTRE_SLACK: f64 = 0.8;
/// The same for another region, where more bytes share one link.
const REGION_SLACK: f64 = 0.4;
/// Time in which the share halves while its link is held.
const WITHDRAWAL_HALF_LIFE: Duration = Duration::from_millis(100);

/// Probability with which a read for which leaving pays tries a link after a hold. The
/// trials of all entries together must not fill the link.
pub(crate) const TRIAL_PROBABILITY: f64 = 0.2;

/// Fraction of the reads of one database that one entry sends to one destination.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    value: f64,
    at: Instant,
}

impl Share {
    /// Creates an empty share.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            at: now,
        }
    }

    /// The fraction, from 0 to 1.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Moves the share a small step towards a decision, and returns the probability
    /// with which the read leaves.
    pub fn follow(&mut self, leaves: bool, distance: Distance, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let target = f64::from(u8::from(leaves));
        let weight = 1.0 - (-elapsed / FOLLOW_TIME.as_secs_f64()).exp();
        self.value += ((target - self.value) * weight).clamp(-STEP_MAX, STEP_MAX);
        let slack = match distance {
            Distance::OtherRegion => REGION_SLACK,
            _ => CENTRE_SLACK,
        };
        target.clamp(self.value - slack, self.value + slack)
    }

    /// Withdraws the share while its link is slow or failed, or on trial. Returns what
    /// is left.
    pub fn withdraw(&mut self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at);
        self.at = now;
        self.value *= decay(elapsed, WITHDRAWAL_HALF_LIFE);
        self.value
    }
}
