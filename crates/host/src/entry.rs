//! The plug-in that serves callers over the PostgreSQL protocol.

mod batch;
mod local;
mod options;
mod reads;
mod refusal;
mod router;
mod session;
mod statement;
mod writes;

use std::collections::HashMap;
use std::sync::atomic::{AtomicI32, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fulmarrill_ownership::HostName;
use fulmarrill_peer::{ControlVersions, WaitHint};
use fulmarrill_position::{DatabaseName, FreshnessLog, InstanceName, LogPoint};
use fulmarrill_schedule::{HintTable, RankIndex, RetryBudget};
use smol::net::TcpListener;

use crate::context::{SharedContext, take_listener};
use crate::entry::session::serve_caller;
use crate::kernel::HostPlugin;

/// Weight of the newest sample in the moving average of an instance's answer
/// times.
const MEAN_TIME_WEIGHT: f64 = 0.1;

inventory::submit! { HostPlugin::new("entry", start) }

fn start(context: SharedContext) -> Vec<smol::Task<()>> {
    match take_listener(&context.listeners.caller) {
        Some(listener) => vec![fulmarrill_runtime::spawn(accept_callers(context, listener))],
        None => Vec::new(),
    }
}

async fn accept_callers(context: SharedContext, listener: TcpListener) {
    let executor = smol::Executor::new();
    executor
        .run(async {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                let context = context.clone();
                let session = async move {
                    let _guard = SessionGuard::new(&context);
                    serve_caller(context.clone(), stream).await;
                };
                executor.spawn(session).detach();
            }
        })
        .await;
}

/// Statistics of one instance, as seen from this entry.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct InstanceStats {
    /// The last point that the instance reported as applied.
    pub applied: LogPoint,
    /// Moving average of the answer times, in seconds.
    pub mean_time: f64,
    /// Number of requests sent and not yet answered.
    pub outstanding: u32,
    /// Until when reads avoid the instance, after it failed or lagged behind.
    pub excluded_until: Option<Instant>,
}

/// State of an entry, shared by its sessions.
#[derive(Debug)]
pub struct EntryState {
    sessions: AtomicUsize,
    next_process_id: AtomicI32,
    hints: Mutex<HintTable>,
    freshness: Mutex<HashMap<DatabaseName, FreshnessLog>>,
    position_queries: Mutex<HashMap<DatabaseName, reads::SharedQuery>>,
    stats: Mutex<HashMap<InstanceName, InstanceStats>>,
    retry_budget: Mutex<RetryBudget>,
    versions: Mutex<HashMap<HostName, ControlVersions>>,
}

/// Locks a mutex and ignores poisoning, since a stale or incomplete hint does
/// no harm.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EntryState {
    /// The state of an entry without sessions or observations.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sessions: AtomicUsize::new(0),
            next_process_id: AtomicI32::new(1),
            hints: Mutex::new(HintTable::new()),
            freshness: Mutex::default(),
            position_queries: Mutex::default(),
            stats: Mutex::default(),
            retry_budget: Mutex::new(RetryBudget::new(Instant::now())),
            versions: Mutex::default(),
        }
    }

    /// Number of open sessions.
    #[must_use]
    pub fn session_count(&self) -> usize {
        self.sessions.load(Ordering::SeqCst)
    }

    /// Records the expected waits that an owner reported for its queues.
    pub(crate) fn apply_hints(&self, hints: &[WaitHint]) {
        let now = Instant::now();
        let mut table = lock(&self.hints);
        for hint in hints {
            let wait = hint.start_at.saturating_duration_since(now);
            table.record(now, &hint.instance, hint.rank, wait);
        }
    }

    /// Whether a request should be shed here, because its owner reported a wait
    /// that the deadline does not allow.
    pub(crate) fn should_shed(&self, instance: &str, rank: RankIndex, deadline: Instant) -> bool {
        lock(&self.hints).should_refuse(Instant::now(), instance, rank, deadline)
    }

    /// The expected wait for a slot of an instance, by the last hint of its
    /// owner.
    pub(crate) fn expected_wait(&self, instance: &str, rank: RankIndex) -> Duration {
        lock(&self.hints).expected_wait(Instant::now(), instance, rank)
    }

    /// Records the configuration versions that another host has in force.
    pub(crate) fn record_versions(&self, host: &str, versions: ControlVersions) {
        lock(&self.versions).insert(host.into(), versions);
    }

    /// Configuration versions of other hosts, by their last probe.
    pub(crate) fn peer_versions(&self) -> HashMap<HostName, ControlVersions> {
        lock(&self.versions).clone()
    }

    /// Statistics of an instance; zero if nothing was sent to it yet.
    pub(crate) fn instance_stats(&self, instance: &str) -> InstanceStats {
        lock(&self.stats).get(instance).copied().unwrap_or_default()
    }

    /// Records that a request was sent to an instance.
    pub(crate) fn record_sent(&self, instance: &str) {
        lock(&self.stats)
            .entry(instance.into())
            .or_default()
            .outstanding += 1;
    }

    /// Records an answer, its time and the point that it reported as applied.
    pub(crate) fn record_answer(&self, instance: &str, time: Duration, applied: Option<LogPoint>) {
        let mut stats = lock(&self.stats);
        let instance_stats = stats.entry(instance.into()).or_default();
        instance_stats.outstanding = instance_stats.outstanding.saturating_sub(1);
        instance_stats.mean_time +=
            MEAN_TIME_WEIGHT * (time.as_secs_f64() - instance_stats.mean_time);
        if let Some(applied) = applied {
            instance_stats.applied = applied;
            instance_stats.excluded_until = None;
        }
    }

    /// Excludes an instance from reads until a moment.
    pub(crate) fn exclude(&self, instance: &str, until: Instant) {
        lock(&self.stats)
            .entry(instance.into())
            .or_default()
            .excluded_until = Some(until);
    }

    /// Counts a request towards the retry budget.
    pub(crate) fn note_request(&self) {
        lock(&self.retry_budget).record_request(Instant::now());
    }

    /// Takes a retry from the budget; false if none is left.
    pub(crate) fn take_retry(&self) -> bool {
        lock(&self.retry_budget).take_retry(Instant::now())
    }

    fn allocate_process_id(&self) -> i32 {
        self.next_process_id.fetch_add(1, Ordering::Relaxed)
    }
}

/// Counts a session while it is open.
struct SessionGuard {
    context: SharedContext,
}

impl SessionGuard {
    fn new(context: &SharedContext) -> Self {
        context.entry.sessions.fetch_add(1, Ordering::SeqCst);
        Self {
            context: context.clone(),
        }
    }
}

impl Drop for SessionGuard {
    fn drop(&mut self) {
        self.context.entry.sessions.fetch_sub(1, Ordering::SeqCst);
    }
}
