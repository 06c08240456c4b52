//! What changed in a list lately, so that a host which knows an earlier state gets
//! the difference and not the whole list.
//!
//! A fleet of thousands of hosts sees some entry change all the time; the whole
//! list to every follower at each change would be most of what control sends.
//! States are known by their digests.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Steps kept: followers are behind by a few at most.
const STEPS_MAX: usize = 64;
/// Entries kept in all steps together; beyond that a whole list is cheaper.
const ENTRIES_MAX: usize = 2048;

/// An entry of a list with a name of its own.
pub trait ListEntry {
    /// The name.
    fn key(&self) -> &CompactString;
}

/// The difference between two states of a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChanges<T> {
    /// Entries that are new or otherwise than before.
    pub changed: Vec<T>,
    /// Names of entries that are gone.
    pub removed: Vec<CompactString>,
}

impl<T: ListEntry + Clone + PartialEq> ListChanges<T> {
    /// What makes `new` of `old`.
    #[must_use]
    pub fn between(old: &[T], new: &[T]) -> Self {
        let mut before: BTreeMap<&CompactString, &T> = BTreeMap::new();
        before.extend(old.iter().map(|entry| (entry.key(), entry)));
        let mut changed = Vec::new();
        for entry in new {
            if before.remove(entry.key()) != Some(entry) {
                changed.push(entry.clone());
            }
        }
        let removed = before.into_keys().cloned().collect();
        Self { changed, removed }
    }

    /// The list that these changes make of another, in the order of its names.
    #[must_use]
    pub fn apply(self, list: &[T]) -> Vec<T> {
        let mut entries = BTreeMap::new();
        for entry in list.iter().cloned().chain(self.changed) {
            entries.insert(entry.key().clone(), entry);
        }
        for key in &self.removed {
            entries.remove(key);
        }
        entries.into_values().collect()
    }

    fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }
}

#[derive(Debug, Clone)]
struct ListStep<T> {
    from: u64,
    to: u64,
    changes: ListChanges<T>,
}

/// The latest steps of a list, each from one digest to the next.
#[derive(Debug, Clone)]
pub struct ListHistory<T> {
    steps: VecDeque<ListStep<T>>,
    entries: usize,
}

impl<T> Default for ListHistory<T> {
    fn default() -> Self {
        Self {
            steps: VecDeque::new(),
            entries: 0,
        }
    }
}

impl<T: ListEntry + Clone + PartialEq> ListHistory<T> {
    /// Notes a step. One that does not begin where the last one ended makes all
    /// before it useless.
    pub fn record(&mut self, from: u64, to: u64, changes: ListChanges<T>) {
        if from == to {
            return;
        }
        if self.steps.back().is_some_and(|last| last.to != from) {
            self.steps.clear();
            self.entries = 0;
        }
        self.entries += changes.len();
        self.steps.push_back(ListStep { from, to, changes });
        while self.steps.len() > STEPS_MAX || self.entries > ENTRIES_MAX {
            let Some(step) = self.steps.pop_front() else {
                return;
            };
            self.entries -= step.changes.len();
        }
    }

    /// What changed since the list had a digest; none if that is not known.
    #[must_use]
    pub fn since(&self, digest: u64) -> Option<ListChanges<T>> {
        let first = self.steps.iter().rposition(|step| step.from == digest)?;
        let mut merged: BTreeMap<&CompactString, Option<&T>> = BTreeMap::new();
        for step in self.steps.iter().skip(first) {
            for entry in &step.changes.changed {
                merged.insert(entry.key(), Some(entry));
            }
            for key in &step.changes.removed {
                merged.insert(key, None);
            }
        }
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for (key, entry) in merged {
            match entry {
                Some(entry) => changed.push(entry.clone()),
                None => removed.push(key.clone()),
            }
        }
        Some(ListChanges { changed, removed })
    }
}
