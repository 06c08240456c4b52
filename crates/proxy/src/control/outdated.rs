//! Instances that an older copy of the store shows as they no longer are.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::catalogue::{InstanceEntry, InstanceId};

/// Time for which an instance that left the list is remembered; copies are some seconds
/// old.
const DEPARTED_TIME: Duration = Duration::from_mins(1);
/// Time after which an entry that an older copy shows counts although it has not changed.
/// By then an instance that has left is off the list.
const OUTDATED_TIME: Duration = Duration::from_secs(30);

/// An entry of an older copy.
#[derive(Debug)]
struct OutdatedEntry {
    shown: InstanceEntry,
    /// Whether the instance had left; otherwise it was leaving.
    has_left: bool,
    until: Instant,
}

/// Remembers which instances have left or are leaving, so that an older copy of the store
/// does not bring them back.
#[derive(Debug, Default)]
pub struct OutdatedInstances {
    /// Start time of each instance that left, and when it did.
    departed: BTreeMap<InstanceId, (u64, Instant)>,
    outdated: BTreeMap<InstanceId, OutdatedEntry>,
}

impl OutdatedInstances {
    /// Takes note of a list that replaces `old` and is of the same era of the store.
    pub fn record_list(&mut self, now: Instant, old: &[InstanceEntry], new: &[InstanceEntry]) {
        self.departed
            .retain(|_, (_, left_at)| now.saturating_duration_since(*left_at) < DEPARTED_TIME);
        for entry in old {
            let departed = (entry.started_ms, now);
            self.departed.insert(entry.id.clone(), departed);
        }
        for entry in new {
            self.departed.remove(&entry.id);
        }
        // An entry that changed was written in this era.
        self.outdated
            .retain(|_, outdated| new.contains(&outdated.shown));
    }

    /// Takes note of the first list of a later era, which replaces `old`.
    pub fn record_copy(&mut self, now: Instant, old: &[InstanceEntry], new: &[InstanceEntry]) {
        let until = now + OUTDATED_TIME;
        let mut outdated = BTreeMap::new();
        for shown in new {
            let departed = self.departed.get(&shown.id);
            let has_left = departed.is_some_and(|(started_ms, _)| *started_ms >= shown.started_ms);
            let mut listed = old.iter().filter(|entry| entry.id == shown.id);
            let was_leaving =
                listed.any(|entry| entry.leaving && entry.started_ms >= shown.started_ms);
            let earlier = self.outdated.get(&shown.id);
            let earlier = earlier.filter(|earlier| earlier.shown == *shown);
            let has_left = has_left || earlier.is_some_and(|earlier| earlier.has_left);
            let is_leaving = (was_leaving || earlier.is_some()) && !shown.leaving;
            if has_left || is_leaving {
                let entry = OutdatedEntry {
                    shown: shown.clone(),
                    has_left,
                    until,
                };
                outdated.insert(shown.id.clone(), entry);
            }
        }
        self.outdated = outdated;
    }

    /// A listed entry as it counts; none if the instance has left.
    #[must_use]
    pub fn correct(&self, entry: InstanceEntry) -> Option<InstanceEntry> {
        match self.outdated.get(&entry.id) {
            Some(outdated) if outdated.has_left => None,
            Some(_) => Some(InstanceEntry {
                leaving: true,
                ..entry
            }),
            None => Some(entry),
        }
    }

    /// Removes and returns the entries that count as listed from `now` on.
    pub fn take_expired(&mut self, now: Instant) -> Vec<InstanceEntry> {
        let expired = self
            .outdated
            .extract_if(.., |_, outdated| now >= outdated.until);
        expired.map(|(_, outdated)| outdated.shown).collect()
    }
}
