//! Detects listed hosts that have vanished without removing their own entry.
//! Performs no I/O.
//!
//! A host may vanish for good: its machine is removed, or replaced by one with
//! another name. Its entry would stay in the list, and its run would stay among
//! the holders of terms. A few other hosts therefore watch each entry. An entry
//! whose host nobody reaches is first marked as leaving, within seconds by
//! [`crate::members`] or within minutes here, so that the host gets no new work, and
//! removed minutes later. By then a host that is still alive has either seen the mark
//! and registered itself again, which takes the mark back, or its leases have
//! expired. A run that is not listed therefore holds no lease.

use std::collections::BTreeMap;
use std::time::Duration;

use fulmarrill_ownership::rank_hosts;

use crate::catalogue::{HostEntry, RunName};
use crate::view::TrafficView;

/// Time between two probes of an entry. A restart takes seconds and needs no
/// detection; a stale entry costs other hosts a failed call now and then.
pub const PROBE_INTERVAL: Duration = Duration::from_mins(1);
/// Consecutive missed probes before an entry is marked, and again before a
/// marked entry is removed. At least `MISSED_PROBES_LIMIT - 1` probe intervals lie
/// between the mark and the removal; together they must be longer than
/// [`crate::control::LEASE_TIME`].
const MISSED_PROBES_LIMIT: u32 = 3;
/// Hosts that watch one entry; more than one, since a watcher may vanish too.
const WATCHERS_PER_ENTRY: usize = 3;

/// The next step for the entry of an unreachable host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureStep {
    /// Mark the entry as leaving.
    Mark,
    /// Remove the entry from the list.
    Remove,
}

/// Counts the missed probes of the entries that a host watches.
#[derive(Debug, Default)]
pub struct DepartureDetector {
    /// Consecutive missed probes by run, by whether the entry is marked as leaving, and by
    /// the number of the mark: a host that took its mark back counts anew.
    missed_probes: BTreeMap<(RunName, bool, u64), u32>,
}

impl DepartureDetector {
    /// Records whether a probe reached the host of an entry. Returns the step to
    /// take, again after each missed probe until the entry has changed.
    pub fn record_probe(&mut self, entry: &HostEntry, reached: bool) -> Option<DepartureStep> {
        let key = (entry.run.clone(), entry.leaving, entry.mark);
        if reached {
            self.missed_probes.remove(&key);
            return None;
        }
        let missed = self.missed_probes.entry(key).or_default();
        *missed = missed.saturating_add(1);
        let step = if entry.leaving {
            DepartureStep::Remove
        } else {
            DepartureStep::Mark
        };
        (*missed >= MISSED_PROBES_LIMIT).then_some(step)
    }

    /// Drops the counts of entries that are no longer listed as they were.
    pub fn retain(&mut self, listed: &[HostEntry]) {
        self.missed_probes.retain(|(run, leaving, mark), _| {
            listed
                .iter()
                .any(|entry| entry.run == *run && entry.leaving == *leaving && entry.mark == *mark)
        });
    }
}

/// The entries that the host `own` watches: those for which it comes among the
/// first when the other hosts of their data centre are ranked by rendezvous
/// hashing, or all other hosts if that data centre has none.
#[must_use]
pub fn entries_watched_by<'a>(view: &'a TrafficView, own: &str) -> Vec<&'a HostEntry> {
    let mut watched = Vec::new();
    for entry in view.listed_hosts.iter() {
        let others = || view.hosts.values().filter(|host| host.name != entry.name);
        let near = || others().filter(|host| host.data_centre == entry.data_centre);
        let mut names: Vec<&str> = near().map(|host| host.name.as_str()).collect();
        if names.is_empty() {
            names = others().map(|host| host.name.as_str()).collect();
        }
        let ranked = rank_hosts(&entry.name, names);
        if ranked
            .iter()
            .take(WATCHERS_PER_ENTRY)
            .any(|name| *name == own)
        {
            watched.push(entry);
        }
    }
    watched
}
