//! What owners tell entries about their queues.
//!
//! With it a flood is refused where it enters, before any hop.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::rank::RankIndex;

/// Time for which a hint is believed.
const HINT_LIFETIME: Duration = Duration::from_millis(300);
/// One request in so many goes through all the same, to learn of a change.
const PROBE_EVERY: u32 = 64;

/// When a new item of a rank would start at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueHint {
    /// Expected start of an item that arrives now.
    pub start_at: Instant,
    /// When the hint is no longer believed.
    pub valid_until: Instant,
}

/// Hints by instance and rank.
#[derive(Debug, Clone, Default)]
pub struct HintTable {
    hints: HashMap<(CompactString, RankIndex), QueueHint>,
    refusals: u32,
}

impl HintTable {
    /// A table without hints: nothing is refused.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a new item of `rank` would wait for `wait`.
    pub fn record(&mut self, now: Instant, instance: &str, rank: RankIndex, wait: Duration) {
        let hint = QueueHint {
            start_at: now + wait,
            valid_until: now + HINT_LIFETIME,
        };
        self.hints.insert((instance.into(), rank), hint);
    }

    /// The expected wait at an instance, if a hint is believed.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, instance: &str, rank: RankIndex) -> Duration {
        match self.hints.get(&(instance.into(), rank)) {
            Some(hint) if now < hint.valid_until => hint.start_at.saturating_duration_since(now),
            _ => Duration::ZERO,
        }
    }

    /// Whether an item with this deadline should be refused without asking.
    pub fn should_refuse(
        &mut self,
        now: Instant,
        instance: &str,
        rank: RankIndex,
        deadline: Instant,
    ) -> bool {
        if now + self.expected_wait(now, instance, rank) <= deadline {
            return false;
        }
        self.refusals = self.refusals.wrapping_add(1);
        !self.refusals.is_multiple_of(PROBE_EVERY)
    }
}
