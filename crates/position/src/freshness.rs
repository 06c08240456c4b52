//! The age of a replica's data, proved without comparing clocks.
//!
//! A host asks the primary's owner for its position and keeps the time of
//! asking. The position in the answer was current at some moment after that,
//! so a replica that has applied it holds data no older than the time of
//! asking. Only one host's clock takes part. It must go on while the machine is
//! suspended, or what is old looks fresh afterwards; [`Instant`] does not.

use std::collections::VecDeque;
use std::time::Instant;

use crate::LogPoint;

/// Number of samples kept. Older ones are merged into the oldest kept.
const SAMPLES_MAX: usize = 512;

/// A position of the primary and when it was asked for.
#[derive(Debug, Clone, Copy)]
struct FreshnessSample<M> {
    asked_at: M,
    point: LogPoint,
}

/// Recent positions of one database's primary, oldest first.
///
/// `M` is a moment on the host's clock.
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
    /// A log that knows nothing: every replica's age is unknown.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the answer to a question asked at `asked_at`.
    ///
    /// Answers may arrive out of order; one asked earlier than the last kept
    /// proves nothing new and is dropped.
    pub fn record(&mut self, asked_at: M, point: LogPoint) {
        if let Some(last) = self.samples.back() {
            if asked_at <= last.asked_at {
                return;
            }
            if point == last.point {
                // The same position asked for later proves a later time.
                self.samples.pop_back();
            }
        }
        self.samples.push_back(FreshnessSample { asked_at, point });
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
    }

    /// The moment as of which an instance that applied `applied` is complete.
    ///
    /// `None` when no sample proves any moment.
    #[must_use]
    pub fn complete_as_of(&self, applied: LogPoint) -> Option<M> {
        for sample in self.samples.iter().rev() {
            if sample.point <= applied {
                return Some(sample.asked_at);
            }
        }
        None
    }

    /// The lowest point that proves data no older than `oldest`.
    ///
    /// `None` when no position was asked for since then.
    #[must_use]
    pub fn point_since(&self, oldest: M) -> Option<LogPoint> {
        for sample in &self.samples {
            if sample.asked_at >= oldest {
                return Some(sample.point);
            }
        }
        None
    }

    /// The last position heard of.
    #[must_use]
    pub fn latest(&self) -> Option<LogPoint> {
        self.samples.back().map(|sample| sample.point)
    }
}
