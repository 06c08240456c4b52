//! Recent changes of a list, so that a host which has an earlier state is sent a
//! delta and not the whole list.
//!
//! In a fleet of thousands of hosts some entry changes all the time. Sending the
//! whole list to every downstream host at each change would be most of the
//! control traffic. States are identified by their digests.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Steps kept; downstream hosts are at most a few steps behind.
const STEPS_MAX: usize = 64;
/// Entries kept in all steps together, if nothing else is set; beyond that the whole list is
/// cheaper.
const ENTRIES_MAX: usize = 2048;

/// An entry of a list that is identified by a key.
pub trait ListEntry {
    /// The key, unique in the list.
    fn key(&self) -> &CompactString;
}

/// The delta between two states of a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChanges<T> {
    /// Entries that are new or differ from the earlier state.
    pub changed: Vec<T>,
    /// Keys of entries that the later state lacks.
    pub removed: Vec<CompactString>,
}

impl<T: ListEntry + Clone + PartialEq> ListChanges<T> {
    /// Computes the changes that lead from `old` to `new`.
    #[must_use]
    pub fn between<'a>(
        old: impl IntoIterator<Item = &'a T>,
        new: impl IntoIterator<Item = &'a T>,
    ) -> Self
    where
        T: 'a,
    {
        let mut remaining: BTreeMap<&CompactString, &T> = BTreeMap::new();
        remaining.extend(old.into_iter().map(|entry| (entry.key(), entry)));
        let mut changed = Vec::new();
        for entry in new {
            if remaining.remove(entry.key()) != Some(entry) {
                changed.push(entry.clone());
            }
        }
        let removed = remaining.into_keys().cloned().collect();
        Self { changed, removed }
    }

    /// Applies the changes to `list`. The result is sorted by key.
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

/// The latest changes of a list, as steps from one digest to the next.
#[derive(Debug, Clone)]
pub struct ListHistory<T> {
    steps: VecDeque<ListStep<T>>,
    entries: usize,
    entries_max: usize,
}

impl<T> Default for ListHistory<T> {
    fn default() -> Self {
        Self {
            steps: VecDeque::new(),
            entries: 0,
            entries_max: ENTRIES_MAX,
        }
    }
}

impl<T: ListEntry + Clone + PartialEq> ListHistory<T> {
    /// Sets how many entries are kept in all steps together.
    #[must_use]
    pub fn with_entries_max(mut self, entries_max: usize) -> Self {
        self.entries_max = entries_max;
        self
    }

    /// Records a step. One that does not begin at the digest of the last step's
    /// end discards all earlier steps.
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
        while self.steps.len() > STEPS_MAX || self.entries > self.entries_max {
            let Some(step) = self.steps.pop_front() else {
                return;
            };
            self.entries -= step.changes.len();
        }
    }

    /// Merges the changes since the list had `digest`. None if no kept step begins
    /// there.
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
