//! Polls the positions of a group's instances, to confirm commits and to
//! establish fresh positions.
//!
//! Each instance is polled over a connection of its own, frequently while a
//! request waits for a confirmation and rarely otherwise. One answer serves all
//! requests that wait.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;
use fulmarrill_pg::{DatabaseConnection, PgError};
use fulmarrill_position::{InstanceName, InstanceRole, InstanceStatus, LogPoint};
use fulmarrill_replication::{ConfirmTracker, DatabaseGroup};
use fulmarrill_runtime::timeout_at;
use smol::Timer;

use crate::owner::adapter::DatabaseAdapter;
use crate::routes::AddressRoutes;

/// Time between two polls while a request waits.
const BUSY_POLL_INTERVAL: Duration = Duration::from_micros(800);
/// Time between two polls while no request waits.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for connecting and for a poll.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before reconnecting after an error.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Age of its last answer at which an instance no longer counts as able to
/// confirm.
const RECENT_ANSWER_AGE: Duration = Duration::from_millis(900);

/// The last answer of an instance and when it was polled.
#[derive(Debug, Clone, Copy)]
struct PolledStatus {
    asked_at: Instant,
    status: InstanceStatus,
}

#[derive(Debug)]
struct WatchInner {
    tracker: ConfirmTracker,
    answers: BTreeMap<InstanceName, PolledStatus>,
}

/// Outcome of waiting for the confirmation of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// A majority of the group has received it.
    Confirmed,
    /// The primary has been replaced, and the commit may be lost or kept.
    Superseded,
    /// It was not confirmed before the deadline.
    Undecided,
}

/// Polled positions of one group.
#[derive(Debug)]
pub struct GroupWatch {
    routes: AddressRoutes,
    inner: Mutex<WatchInner>,
    waiting: AtomicUsize,
    demand: Event,
    answered: Event,
    pollers: Mutex<BTreeMap<InstanceName, smol::Task<()>>>,
}

impl GroupWatch {
    /// Starts to poll every instance of the group.
    #[must_use]
    pub fn start(routes: AddressRoutes, group: &DatabaseGroup) -> Arc<Self> {
        let inner = WatchInner {
            tracker: ConfirmTracker::new(group.clone()),
            answers: BTreeMap::new(),
        };
        let watch = Arc::new(Self {
            routes,
            inner: Mutex::new(inner),
            waiting: AtomicUsize::new(0),
            demand: Event::new(),
            answered: Event::new(),
            pollers: Mutex::default(),
        });
        watch.reconcile_pollers(group);
        watch
    }

    fn lock(&self) -> MutexGuard<'_, WatchInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a newer description of the group.
    pub fn set_group(self: &Arc<Self>, group: &DatabaseGroup) {
        let changed = {
            let mut inner = self.lock();
            let changed = inner.tracker.group() != group;
            if changed {
                inner.tracker.set_group(group.clone());
            }
            changed
        };
        if changed {
            self.reconcile_pollers(group);
            self.answered.notify(usize::MAX);
        }
    }

    fn reconcile_pollers(self: &Arc<Self>, group: &DatabaseGroup) {
        let mut pollers = self.pollers.lock().unwrap_or_else(PoisonError::into_inner);
        pollers.retain(|name, _| group.instance(name).is_some());
        for instance in &group.instances {
            if pollers.contains_key(&instance.name) {
                continue;
            }
            // A weak reference, so that dropping the watch ends the poller.
            let watch = Arc::downgrade(self);
            let target = PollTarget {
                name: instance.name.clone(),
                address: self.routes.route(&instance.address),
                database: group.database.clone(),
            };
            let task = fulmarrill_runtime::spawn(poll_loop(watch, target));
            pollers.insert(instance.name.clone(), task);
        }
    }

    fn record_answer(&self, instance: &str, asked_at: Instant, status: InstanceStatus) {
        let mut inner = self.lock();
        inner.tracker.observe(instance, status);
        inner
            .answers
            .insert(instance.into(), PolledStatus { asked_at, status });
        drop(inner);
        self.answered.notify(usize::MAX);
    }

    /// Counts a waiting request until the guard is dropped, and makes idle
    /// pollers poll at once.
    fn wait_guard(&self) -> WaitGuard<'_> {
        self.waiting.fetch_add(1, Ordering::SeqCst);
        self.demand.notify(usize::MAX);
        WaitGuard { watch: self }
    }

    /// Waits until a commit at `point` may be acknowledged.
    pub async fn confirm(&self, point: LogPoint, deadline: Instant) -> ConfirmOutcome {
        let mut guard = None;
        loop {
            let listener = self.answered.listen();
            {
                let inner = self.lock();
                if inner.tracker.is_confirmed(point) {
                    return ConfirmOutcome::Confirmed;
                }
                let replaced = inner.tracker.group().term > point.term;
                if replaced || inner.tracker.is_superseded() {
                    return ConfirmOutcome::Superseded;
                }
            }
            guard.get_or_insert_with(|| self.wait_guard());
            if timeout_at(deadline, listener).await.is_err() {
                return ConfirmOutcome::Undecided;
            }
        }
    }

    /// A point that covers every commit acknowledged before the call. The
    /// primary and enough others to make a majority must report the term of the
    /// group when polled after the call.
    pub async fn fresh_position(&self, deadline: Instant) -> Option<LogPoint> {
        let asked_at = Instant::now();
        let _guard = self.wait_guard();
        loop {
            let listener = self.answered.listen();
            if let Some(point) = self.lock().position_asked_after(asked_at) {
                return Some(point);
            }
            if timeout_at(deadline, listener).await.is_err() {
                return None;
            }
        }
    }

    /// Whether writes can be confirmed at present: a position has been
    /// confirmed in the current term, and enough instances for a majority have
    /// recently reported that they serve or follow this term.
    #[must_use]
    pub fn can_confirm(&self) -> bool {
        let inner = self.lock();
        let group = inner.tracker.group();
        if inner.tracker.confirmed().is_none() || inner.tracker.is_superseded() {
            return false;
        }
        let now = Instant::now();
        let mut recent = 0;
        for answer in inner.answers.values() {
            let is_recent = now.saturating_duration_since(answer.asked_at) < RECENT_ANSWER_AGE;
            let follows = answer.status.streaming || answer.status.role == InstanceRole::Primary;
            let serves = answer.status.fence_term == group.term && follows;
            recent += usize::from(is_recent && serves);
        }
        recent >= group.majority()
    }

    /// Waits until writes can be confirmed; returns whether that was before the
    /// deadline.
    pub async fn wait_ready(&self, deadline: Instant) -> bool {
        let mut guard = None;
        loop {
            let listener = self.answered.listen();
            if self.can_confirm() {
                return true;
            }
            guard.get_or_insert_with(|| self.wait_guard());
            if timeout_at(deadline, listener).await.is_err() {
                return false;
            }
        }
    }

    /// State of the watch, for the state dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let inner = self.lock();
        let mut statuses = serde_json::Map::new();
        for (name, answer) in &inner.answers {
            let status = serde_json::json!({
                "status": answer.status,
                "asked_s_ago": answer.asked_at.elapsed().as_secs_f64(),
            });
            statuses.insert(name.to_string(), status);
        }
        serde_json::json!({
            "database": inner.tracker.group().database,
            "term": inner.tracker.group().term,
            "confirmed": inner.tracker.confirmed(),
            "instances": statuses,
        })
    }
}

impl WatchInner {
    fn position_asked_after(&self, asked_at: Instant) -> Option<LogPoint> {
        let group = self.tracker.group();
        let primary = group.primary.as_deref()?;
        let answer = self.answers.get(primary)?;
        if answer.status.role != InstanceRole::Primary {
            return None;
        }
        let mut at_term = 0;
        for answer in self.answers.values() {
            let fresh = answer.asked_at >= asked_at && answer.status.fence_term == group.term;
            at_term += usize::from(fresh);
        }
        let primary_fresh = answer.asked_at >= asked_at
            && answer.status.fence_term == group.term
            && answer.status.received.term == group.term;
        (primary_fresh && at_term >= group.majority()).then_some(answer.status.received)
    }
}

/// Counts a request as waiting until it is dropped.
#[derive(Debug)]
struct WaitGuard<'a> {
    watch: &'a GroupWatch,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.watch.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The instance that a poller queries.
#[derive(Debug)]
struct PollTarget {
    name: InstanceName,
    address: compact_str::CompactString,
    database: compact_str::CompactString,
}

async fn poll_loop(watch: std::sync::Weak<GroupWatch>, target: PollTarget) {
    loop {
        if let Err(error) = poll_connection(&watch, &target).await {
            log::debug!("cannot poll instance {}: {error}", target.name);
        }
        if watch.strong_count() == 0 {
            return;
        }
        Timer::after(RECONNECT_INTERVAL).await;
    }
}

async fn poll_connection(
    watch: &std::sync::Weak<GroupWatch>,
    target: &PollTarget,
) -> Result<(), PgError> {
    let connect_to = DatabaseAdapter::target(&target.address, &target.database);
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let mut connection = DatabaseConnection::connect(&connect_to, deadline).await?;
    loop {
        let asked_at = Instant::now();
        let deadline = asked_at + ANSWER_TIMEOUT;
        let status =
            DatabaseAdapter::run(&mut connection, DatabaseAdapter::STATUS, deadline).await?;
        let Some(watch) = watch.upgrade() else {
            return Ok(());
        };
        watch.record_answer(&target.name, asked_at, status);
        let listener = watch.demand.listen();
        if watch.waiting.load(Ordering::SeqCst) > 0 {
            drop(watch);
            Timer::after(BUSY_POLL_INTERVAL).await;
        } else {
            drop(watch);
            timeout_at(Instant::now() + IDLE_POLL_INTERVAL, listener)
                .await
                .ok();
        }
    }
}
