//! What an entry host observes of instances, hosts and links.

use std::time::{Duration, Instant};

/// Half-life of a hint: the order of the time in which the queue of a few slots fills or
/// drains.
const HINT_HALF_LIFE: Duration = Duration::from_millis(300);
/// Weight of a new hint. In the replay, a higher weight lets hints that are two seconds
/// old draw reads to the wrong instance.
const HINT_WEIGHT: f64 = 0.2;
/// Weight of the newest observation of a way.
const WAY_WEIGHT: f64 = 0.3;
/// Weight of a longer observation in the floor of a way, so that the floor follows a
/// permanent change of the route.
const FLOOR_WEIGHT: f64 = 0.002;
/// Weight of the newest observation in the excess of a link.
const EXCESS_WEIGHT: f64 = 0.5;
/// Excess at which a link counts as slow, in seconds, in addition to half of the floor.
/// One answer that a busy host delays by less than 60 ms does not exceed it.
const SLOW_EXCESS_S: f64 = 0.030;
/// Time for which a link is not used after the first sign that it is slow or failed.
const HOLD: Duration = Duration::from_secs(2);
/// Longest such time. It doubles with each sign in a row, because the trials of many
/// entries would fill a slow link again.
const HOLD_MAX: Duration = Duration::from_secs(4);

/// Fraction that is left after `elapsed` of something that halves in `half_life`.
pub(crate) fn decay(elapsed: Duration, half_life: Duration) -> f64 {
    (-elapsed.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// Expected time at an instance, as its owner reported it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Hint {
    time_s: f64,
    at: Instant,
}

impl Hint {
    /// Creates a hint that was received at `now`.
    #[must_use]
    pub fn new(time: Duration, now: Instant) -> Self {
        Self {
            time_s: time.as_secs_f64(),
            at: now,
        }
    }

    /// Returns the reported time, in seconds, and its weight, which halves with each
    /// half-life.
    #[must_use]
    pub fn weighted(&self, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.at);
        (self.time_s, HINT_WEIGHT * decay(age, HINT_HALF_LIFE))
    }
}

/// Time from a request to its answer that is not spent at the owner: both ways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Way {
    /// Moving mean, in seconds.
    pub mean_s: f64,
    /// Least value, in seconds, which rises slowly.
    pub floor_s: f64,
}

impl Way {
    /// Creates the state after a first observation.
    #[must_use]
    pub fn new(time: Duration) -> Self {
        let time = time.as_secs_f64();
        Self {
            mean_s: time,
            floor_s: time,
        }
    }

    /// Records an observation.
    pub fn record(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.mean_s += WAY_WEIGHT * (time - self.mean_s);
        self.floor_s = time.min(self.floor_s + FLOOR_WEIGHT * (time - self.floor_s));
    }
}

/// State of the link to a data centre or region.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Link {
    excess_s: f64,
    hold: Duration,
    held_until: Option<Instant>,
}

impl Link {
    /// Records how long an answer took beyond the floor of its way.
    pub fn record(&mut self, way: &Way, time: Duration, now: Instant) {
        let excess = (time.as_secs_f64() - way.floor_s).max(0.0);
        self.excess_s += EXCESS_WEIGHT * (excess - self.excess_s);
        if self.excess_s > SLOW_EXCESS_S + 0.5 * way.floor_s {
            self.record_failure(now);
        } else if !self.is_held(now) {
            self.hold = Duration::ZERO;
        }
    }

    /// Records that the link is slow, or that a call over it was not answered.
    pub fn record_failure(&mut self, now: Instant) {
        if !self.is_held(now) {
            self.hold = (self.hold * 2).clamp(HOLD, HOLD_MAX);
            self.held_until = Some(now + self.hold);
        }
    }

    /// Whether only a few reads try the link, after a hold.
    #[must_use]
    pub fn is_on_trial(&self) -> bool {
        self.hold > Duration::ZERO
    }

    /// Whether reads are kept off the link.
    #[must_use]
    pub fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }
}
