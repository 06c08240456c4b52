//! Queue hints that owners send to entry hosts.
//!
//! With them an entry host can shed overload before forwarding it to an owner.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::rank::RankIndex;

/// Time for which a hint is valid.
const HINT_LIFETIME: Duration = Duration::from_millis(300);
/// One in this many requests to be refused is let through, since the hint may
/// be out of date.
const REFUSALS_PER_PROBE: u32 = 64;

/// Expected start of a new item of one rank at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueHint {
    /// Expected start of an item that arrives now.
    pub start_at: Instant,
    /// End of the hint's validity.
    pub valid_until: Instant,
}

/// Hints by instance and rank.
#[derive(Debug, Clone, Default)]
pub struct HintTable {
    hints: HashMap<(CompactString, RankIndex), QueueHint>,
    refusals: u32,
}

impl HintTable {
    /// Creates a table without hints, which refuses nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a new item of `rank` would wait for `wait`.
    pub fn record(&mut self, now: Instant, instance: &str, rank: RankIndex, wait: Duration) {
        let hint = QueueHint {
            start_at: now + wait,
            valid_until: now + HINT_LIFETIME,
        };
        self.hints.insert((instance.into(), rank), hint);
    }

    /// The expected wait at an instance; zero without a valid hint.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, instance: &str, rank: RankIndex) -> Duration {
        match self.hints.get(&(instance.into(), rank)) {
            Some(hint) if now < hint.valid_until => hint.start_at.saturating_duration_since(now),
            _ => Duration::ZERO,
        }
    }

    /// Whether to refuse an item with this deadline without asking the owner.
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
        !self.refusals.is_multiple_of(REFUSALS_PER_PROBE)
    }
}
