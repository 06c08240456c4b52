//! Upper bounds on the age of a replica's data, without comparing clocks.
//!
//! A host asks the owner of the primary for its position and keeps the time of
//! the request. The position in the response was current at some moment after
//! that, so a replica that has applied it holds data no older than the time of
//! the request. Only the clock of the asking host is used. That clock must keep
//! running while the machine is suspended, or old data would look fresh after
//! it; [`Instant`] does not.

use std::collections::VecDeque;
use std::time::Instant;

use crate::LogPoint;

/// Maximum number of samples; beyond it the oldest is dropped.
const SAMPLES_MAX: usize = 512;

/// A position of the primary and the time at which it was requested.
#[derive(Debug, Clone, Copy)]
struct FreshnessSample<M> {
    asked_at: M,
    point: LogPoint,
}

/// Recent positions of one database's primary, oldest first.
///
/// `M` is an instant on the host's clock.
#[derive(Debug, Clone)]
pub struct FreshnessLog<M = Instant> {
    samples: VecDeque<FreshnessSample<M>>,
}

impl<M> Default for FreshnessLog<M> {
    fn default() -> Self {
        Self {
            samples: VecDeque::new(),
        }
    }
}

impl<M: Copy + Ord> FreshnessLog<M> {
    /// Creates an empty log, by which the age of every replica is unknown.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the response to a request made at `asked_at`.
    ///
    /// Responses may arrive out of order; one that was requested no later than
    /// the newest sample proves nothing new and is dropped.
    pub fn record(&mut self, asked_at: M, point: LogPoint) {
        if let Some(last) = self.samples.back() {
            if asked_at <= last.asked_at {
                return;
            }
            if point == last.point {
                // The same position requested later proves a later time.
                self.samples.pop_back();
            }
        }
        self.samples.push_back(FreshnessSample { asked_at, point });
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
    }

    /// The time as of which an instance that has applied `applied` is complete.
    ///
    /// `None` if no sample is at or below `applied`.
    #[must_use]
    pub fn complete_as_of(&self, applied: LogPoint) -> Option<M> {
        for sample in self.samples.iter().rev() {
            if sample.point <= applied {
                return Some(sample.asked_at);
            }
        }
        None
    }

    /// The earliest sampled point that proves data no older than `oldest`.
    ///
    /// `None` if no position was requested at or after `oldest`.
    #[must_use]
    pub fn point_since(&self, oldest: M) -> Option<LogPoint> {
        for sample in &self.samples {
            if sample.asked_at >= oldest {
                return Some(sample.point);
            }
        }
        None
    }

    /// The point of the newest sample.
    #[must_use]
    pub fn latest(&self) -> Option<LogPoint> {
        self.samples.back().map(|sample| sample.point)
    }
}
