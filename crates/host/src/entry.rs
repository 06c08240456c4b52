//! The plug-in that takes callers over the PostgreSQL protocol.

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

/// Weight of the newest sample in the mean time of an instance's answers.
const TIME_WEIGHT: f64 = 0.1;

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

/// What an entry has seen of one instance.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct InstanceSight {
    /// The last point seen to be applied.
    pub applied: LogPoint,
    /// Mean time of an answer, in seconds.
    pub mean_time: f64,
    /// Requests sent and not yet answered.
    pub outstanding: u32,
    /// Until when the instance is left out, after it failed or was behind.
    pub avoid_until: Option<Instant>,
}

/// What an entry knows, shared by its sessions.
#[derive(Debug)]
pub struct EntryState {
    sessions: AtomicUsize,
    next_process_id: AtomicI32,
    hints: Mutex<HintTable>,
    freshness: Mutex<HashMap<DatabaseName, FreshnessLog>>,
    questions: Mutex<HashMap<DatabaseName, reads::SharedQuestion>>,
    sights: Mutex<HashMap<InstanceName, InstanceSight>>,
    budget: Mutex<RetryBudget>,
    versions: Mutex<HashMap<HostName, ControlVersions>>,
}

/// Locks, whatever became of the last holder: the state is only hints.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EntryState {
    /// An entry that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sessions: AtomicUsize::new(0),
            next_process_id: AtomicI32::new(1),
            hints: Mutex::new(HintTable::new()),
            freshness: Mutex::default(),
            questions: Mutex::default(),
            sights: Mutex::default(),
            budget: Mutex::new(RetryBudget::new(Instant::now())),
            versions: Mutex::default(),
        }
    }

    /// Number of open sessions.
    #[must_use]
    pub fn session_count(&self) -> usize {
        self.sessions.load(Ordering::SeqCst)
    }

    /// Takes over what an owner says about its queues.
    pub(crate) fn take_hints(&self, hints: &[WaitHint]) {
        let now = Instant::now();
        let mut table = lock(&self.hints);
        for hint in hints {
            let wait = hint.start_at.saturating_duration_since(now);
            table.record(now, &hint.instance, hint.rank, wait);
        }
    }

    /// Whether a request should be refused without asking the owner.
    pub(crate) fn refuses(&self, instance: &str, rank: RankIndex, deadline: Instant) -> bool {
        lock(&self.hints).should_refuse(Instant::now(), instance, rank, deadline)
    }

    /// The expected wait before an instance, by its owner's hint.
    pub(crate) fn expected_wait(&self, instance: &str, rank: RankIndex) -> Duration {
        lock(&self.hints).expected_wait(Instant::now(), instance, rank)
    }

    /// Notes which versions another host has in force.
    pub(crate) fn note_versions(&self, host: &str, versions: ControlVersions) {
        lock(&self.versions).insert(host.into(), versions);
    }

    /// Versions that other hosts said they have in force.
    pub(crate) fn versions_of_others(&self) -> HashMap<HostName, ControlVersions> {
        lock(&self.versions).clone()
    }

    /// What was seen of an instance.
    pub(crate) fn sight(&self, instance: &str) -> InstanceSight {
        lock(&self.sights)
            .get(instance)
            .copied()
            .unwrap_or_default()
    }

    /// Notes that a request goes to an instance.
    pub(crate) fn note_sent(&self, instance: &str) {
        lock(&self.sights)
            .entry(instance.into())
            .or_default()
            .outstanding += 1;
    }

    /// Notes an answer and the point that it showed to be applied.
    pub(crate) fn note_answered(&self, instance: &str, time: Duration, applied: Option<LogPoint>) {
        let mut sights = lock(&self.sights);
        let sight = sights.entry(instance.into()).or_default();
        sight.outstanding = sight.outstanding.saturating_sub(1);
        sight.mean_time += TIME_WEIGHT * (time.as_secs_f64() - sight.mean_time);
        if let Some(applied) = applied {
            sight.applied = applied;
            sight.avoid_until = None;
        }
    }

    /// Leaves an instance out until a moment.
    pub(crate) fn avoid(&self, instance: &str, until: Instant) {
        lock(&self.sights)
            .entry(instance.into())
            .or_default()
            .avoid_until = Some(until);
    }

    /// Notes a first try for the retry budget.
    pub(crate) fn note_request(&self) {
        lock(&self.budget).note_request(Instant::now());
    }

    /// Takes a retry out of the budget.
    pub(crate) fn take_retry(&self) -> bool {
        lock(&self.budget).take_retry(Instant::now())
    }

    fn make_process_id(&self) -> i32 {
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
