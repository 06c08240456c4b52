//! Tells when a host can no longer show how old its state of the store is.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::BootTime;
use crate::control::ConfirmedTimes;

/// Age of the last confirmation from which on a list counts as stale: the longest
/// wait of a watch, and time for the answer to spread.
const STALE_AGE: Duration = Duration::from_secs(10);

/// A list that became stale, or was confirmed again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessChange {
    /// Name of the list.
    pub list: &'static str,
    /// Time since the store is known to have held it; `None` if it never was.
    pub age: Option<Duration>,
    /// Whether it is stale now.
    pub is_stale: bool,
}

/// Ages of the lists at `now`, with their names.
#[must_use]
pub fn list_ages(
    confirmed: &ConfirmedTimes,
    now: BootTime,
) -> [(&'static str, Option<Duration>); 3] {
    let age = |at: Option<BootTime>| at.map(|at| now.since(at));
    [
        ("configuration", age(confirmed.configuration)),
        ("instances", age(confirmed.instances)),
        ("terms", age(confirmed.terms)),
    ]
}

/// Remembers which lists are stale.
#[derive(Debug, Default)]
pub struct StalenessMonitor {
    stale: BTreeSet<&'static str>,
}

impl StalenessMonitor {
    /// The lists that became stale or were confirmed again since the last call. A
    /// list that was never confirmed does not count: the host is not ready then.
    pub fn update(&mut self, confirmed: &ConfirmedTimes, now: BootTime) -> Vec<StalenessChange> {
        let mut changes = Vec::new();
        for (list, age) in list_ages(confirmed, now) {
            let is_stale = age.is_some_and(|age| age >= STALE_AGE);
            if is_stale == self.stale.contains(list) {
                continue;
            }
            if is_stale {
                self.stale.insert(list);
            } else {
                self.stale.remove(list);
            }
            changes.push(StalenessChange {
                list,
                age,
                is_stale,
            });
        }
        changes
    }
}
