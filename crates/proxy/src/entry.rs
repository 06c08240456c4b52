//! The entry: serves callers' sessions, chooses an instance for each statement
//! and sends the work to the instance's owner.

pub mod clients;
pub mod placement;
pub mod reads;
pub mod router;
pub mod session;
pub mod shares;

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fulmarrill_position::{DatabaseName, FreshnessLog, LogPoint};

use crate::catalogue::InstanceId;
use crate::clock::BootTime;
use crate::entry::placement::InstanceStats;
use crate::entry::reads::SharedQuery;
use crate::entry::shares::PlacementState;

/// State that all sessions of an entry share.
#[derive(Debug, Default)]
pub struct EntryState {
    sessions: AtomicUsize,
    freshness: Mutex<HashMap<DatabaseName, FreshnessLog<BootTime>>>,
    position_queries: Mutex<HashMap<DatabaseName, SharedQuery>>,
    instance_stats: Mutex<HashMap<InstanceId, InstanceStats>>,
    placement: Mutex<PlacementState>,
}

/// Locks a mutex, also if a holder panicked: the state consists of hints.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EntryState {
    /// Creates the state of an entry without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a session until the guard is dropped.
    #[must_use]
    pub fn count_session(&self) -> SessionGuard<'_> {
        self.sessions.fetch_add(1, Ordering::Relaxed);
        SessionGuard { entry: self }
    }

    /// Returns the number of open sessions.
    #[must_use]
    pub fn session_count(&self) -> usize {
        self.sessions.load(Ordering::Relaxed)
    }

    /// Returns the hints, ways and shares of this entry, locked.
    pub fn placement(&self) -> MutexGuard<'_, PlacementState> {
        lock(&self.placement)
    }

    /// Returns what was observed of an instance.
    #[must_use]
    pub fn instance_stats(&self, instance: &str) -> InstanceStats {
        lock(&self.instance_stats)
            .get(instance)
            .copied()
            .unwrap_or_default()
    }

    /// Records that work is sent to an instance.
    pub fn record_work_sent(&self, instance: &InstanceId) {
        lock(&self.instance_stats)
            .entry(instance.clone())
            .or_default()
            .outstanding += 1;
    }

    /// Records that work at an instance has ended, and how long it took if it was
    /// served.
    pub fn record_work_ended(&self, instance: &str, served: Option<Duration>) {
        let mut instance_stats = lock(&self.instance_stats);
        let Some(stats) = instance_stats.get_mut(instance) else {
            return;
        };
        stats.outstanding = stats.outstanding.saturating_sub(1);
        if let Some(time) = served {
            stats.record_latency(time);
            stats.times_behind = 0;
        }
    }

    /// Records that an instance was behind. Returns how many times in a row it had
    /// been before.
    pub fn record_behind(&self, instance: &InstanceId) -> u32 {
        let mut instance_stats = lock(&self.instance_stats);
        let stats = instance_stats.entry(instance.clone()).or_default();
        let times = stats.times_behind;
        stats.times_behind = times.saturating_add(1);
        times
    }

    /// Avoids an instance in reads until `until`.
    pub fn avoid(&self, instance: &InstanceId, until: Instant) {
        lock(&self.instance_stats)
            .entry(instance.clone())
            .or_default()
            .avoid_until = Some(until);
    }

    /// Records a position of the primary that covers every commit acknowledged
    /// up to `as_of`.
    pub fn record_position(&self, database: &DatabaseName, as_of: BootTime, point: LogPoint) {
        lock(&self.freshness)
            .entry(database.clone())
            .or_default()
            .record(as_of, point);
    }

    /// Returns the lowest known position that covers every commit acknowledged up
    /// to `oldest`.
    #[must_use]
    pub fn position_since(&self, database: &str, oldest: BootTime) -> Option<LogPoint> {
        lock(&self.freshness).get(database)?.point_since(oldest)
    }
}

/// Counts a session while it is open.
#[derive(Debug)]
pub struct SessionGuard<'a> {
    entry: &'a EntryState,
}

impl Drop for SessionGuard<'_> {
    fn drop(&mut self) {
        self.entry.sessions.fetch_sub(1, Ordering::Relaxed);
    }
}
