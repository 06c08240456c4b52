//! Which listed hosts have gone without taking themselves off the list. Pure.
//!
//! A host may vanish for good: its machine is removed, or another one takes its
//! place under another name. Its entry would stay, and its run would stay among
//! the holders of terms. A few hosts beside it look after each entry. One that
//! they do not reach for some minutes is marked as leaving first, so that it
//! gets no new work, and taken off much later. In between a host that lives has
//! either seen the mark, given up what it holds and listed itself again, or its
//! leases have run out. So nobody who is not listed holds anything.

use std::collections::BTreeMap;
use std::time::Duration;

use fulmarrill_ownership::rank_hosts;

use crate::catalogue::{HostEntry, RunName};
use crate::view::TrafficView;

/// Time between two rounds. Restarts take seconds and need no help; an entry
/// too many costs others one failed call now and then.
pub const PROBE_INTERVAL: Duration = Duration::from_mins(1);
/// Rounds in a row in which an entry's host must not have been reached before
/// the next step. All but one of the intervals between them lie between a mark
/// and the removal, which must be longer than [`crate::control::LEASE_TIME`].
const ROUNDS_MISSED: u32 = 3;
/// Hosts that look after one entry, in case one of them has vanished too.
const KEEPERS: usize = 3;

/// What is to be done about an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureStep {
    /// Mark it as leaving.
    Mark,
    /// Remove it.
    Remove,
}

/// What one host knows of the entries that it looks after.
#[derive(Debug, Default)]
pub struct DepartureDetector {
    /// Rounds missed by run, apart for entries that are marked.
    missed: BTreeMap<(RunName, bool), u32>,
}

impl DepartureDetector {
    /// Notes whether the host of an entry was reached in a round. Says what is to
    /// be done, again each round until the entry has changed.
    pub fn record_probe(&mut self, entry: &HostEntry, reached: bool) -> Option<DepartureStep> {
        let key = (entry.run.clone(), entry.leaving);
        if reached {
            self.missed.remove(&key);
            return None;
        }
        let missed = self.missed.entry(key).or_default();
        *missed = missed.saturating_add(1);
        let step = if entry.leaving {
            DepartureStep::Remove
        } else {
            DepartureStep::Mark
        };
        (*missed >= ROUNDS_MISSED).then_some(step)
    }

    /// Forgets what is known of entries that are listed no more.
    pub fn retain(&mut self, listed: &[HostEntry]) {
        self.missed.retain(|(run, leaving), _| {
            listed
                .iter()
                .any(|entry| entry.run == *run && entry.leaving == *leaving)
        });
    }
}

/// The entries that the host `own` looks after: those for which it is among the
/// first in line of their data centre, or of all hosts where it has no other.
#[must_use]
pub fn entries_watched_by<'a>(view: &'a TrafficView, own: &str) -> Vec<&'a HostEntry> {
    let mut kept = Vec::new();
    for entry in view.listed_hosts.iter() {
        let others = || view.hosts.values().filter(|host| host.name != entry.name);
        let near = || others().filter(|host| host.data_centre == entry.data_centre);
        let mut names: Vec<&str> = near().map(|host| host.name.as_str()).collect();
        if names.is_empty() {
            names = others().map(|host| host.name.as_str()).collect();
        }
        let line = rank_hosts(&entry.name, names);
        if line.iter().take(KEEPERS).any(|name| *name == own) {
            kept.push(entry);
        }
    }
    kept
}
