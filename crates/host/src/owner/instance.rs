//! One owned instance: the queue for its slots, its connections and the
//! transactions pinned to them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;
use fulmarrill_document::OperatorDocument;
use fulmarrill_ownership::HostName;
use fulmarrill_peer::{PinId, WaitHint};
use fulmarrill_position::{DatabaseName, InstanceName};
use fulmarrill_replication::GroupInstance;
use fulmarrill_runtime::timeout_at;
use fulmarrill_schedule::{AdmissionRefusal, RankIndex, RankPolicy};
use fulmarrill_slots::{SlotGate, SlotGrant};

use crate::context::SharedContext;
use crate::owner::adapter::DatabaseAdapter;
use crate::owner::pool::{ConnectionPool, PoolLease};
use crate::view::ControlView;

/// Connections of an instance reserved for the hosts that poll its status.
const WATCH_CONNECTIONS: usize = 6;
/// Connections of a pool that are never pinned, so that requests outside of
/// transactions can still run.
const UNPINNED_CONNECTIONS: usize = 2;
/// Time after which a transaction without a step is rolled back.
const IDLE_TRANSACTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Shorter waits are not reported as hints.
const HINT_WAIT_MIN: Duration = Duration::from_millis(5);

/// An open transaction between two of its steps.
#[derive(Debug)]
struct PinnedTransaction {
    lease: PoolLease,
    /// Host to which the caller is connected.
    entry: HostName,
    expires_at: Instant,
}

/// The owner's state of one instance.
#[derive(Debug)]
pub struct InstanceOwner {
    name: InstanceName,
    database: DatabaseName,
    slots: usize,
    pub(crate) pool: Arc<ConnectionPool>,
    pool_limit: usize,
    gate: Arc<SlotGate>,
    /// Open transactions between two steps; one that runs a step is taken out.
    pins: Mutex<HashMap<PinId, PinnedTransaction>>,
    /// Number of open transactions, including those that run a step.
    pinned_count: AtomicU64,
    next_pin: AtomicU64,
    writes_held_until: Mutex<Option<Instant>>,
    writes_in_flight: AtomicU64,
    writes_changed: Event,
    slots_granted: AtomicU64,
}

/// Connections that one owner may open: less than half of the limit, so that a
/// successor can connect while those of a dead owner are still counted, but at
/// least one.
fn pool_limit(connection_limit: usize) -> usize {
    (connection_limit.saturating_sub(WATCH_CONNECTIONS) / 2).max(1)
}

fn policies_of(document: &OperatorDocument) -> Vec<RankPolicy> {
    let mut policies = Vec::new();
    for rank in &document.ranks {
        #[allow(clippy::cast_precision_loss)]
        let floor = rank.floor_percent as f64 / 100.0;
        policies.push(RankPolicy::new(&rank.name, floor));
    }
    policies
}

impl InstanceOwner {
    /// Creates the owner of an instance. Its connections are opened by
    /// [`Self::run_maintenance`] and on demand.
    #[must_use]
    pub fn new(
        context: &SharedContext,
        view: &ControlView,
        database: &str,
        instance: &GroupInstance,
    ) -> Self {
        let address = context.routes.route(&instance.address);
        let target = DatabaseAdapter::target(&address, database);
        let limit = pool_limit(instance.connection_limit);
        let slots = instance.slots.min(limit);
        // A random start, so that a pin of an earlier owner does not match one
        // of this owner.
        let first_pin = fastrand::u64(..) >> 1;
        Self {
            name: instance.name.clone(),
            database: database.into(),
            slots,
            pool: ConnectionPool::new(target, limit),
            pool_limit: limit,
            gate: SlotGate::new(policies_of(&view.document), slots),
            pins: Mutex::default(),
            pinned_count: AtomicU64::new(0),
            next_pin: AtomicU64::new(first_pin),
            writes_held_until: Mutex::new(None),
            writes_in_flight: AtomicU64::new(0),
            writes_changed: Event::new(),
            slots_granted: AtomicU64::new(0),
        }
    }

    /// Name of the instance.
    #[must_use]
    pub fn name(&self) -> &InstanceName {
        &self.name
    }

    fn pins(&self) -> MutexGuard<'_, HashMap<PinId, PinnedTransaction>> {
        self.pins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the ranks of a new view to the queue.
    pub fn apply_view(&self, view: &ControlView) {
        self.gate
            .set_policies(policies_of(&view.document), self.slots);
    }

    /// Whether a request waits in the queue or a connection is in use.
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        let (open, idle) = self.pool.counts();
        open > idle || self.gate.waiting() > 0
    }

    /// Waits for a slot. `in_transaction` is set for a further step of an open
    /// transaction.
    ///
    /// # Errors
    ///
    /// If the work cannot start by its deadline, or the queue does not take it.
    pub async fn take_slot(
        &self,
        rank: RankIndex,
        flow: &str,
        deadline: Instant,
        in_transaction: bool,
    ) -> Result<SlotGrant, AdmissionRefusal> {
        let grant = self.gate.take(rank, flow, deadline, in_transaction).await?;
        self.slots_granted.fetch_add(1, Ordering::Relaxed);
        Ok(grant)
    }

    /// Adds a hint for each rank whose expected wait is at least
    /// `HINT_WAIT_MIN`.
    pub fn add_hints(&self, hints: &mut Vec<WaitHint>) {
        let now = Instant::now();
        for rank in 0..self.gate.rank_count() {
            let wait = self.gate.expected_wait(rank);
            if wait < HINT_WAIT_MIN {
                continue;
            }
            hints.push(WaitHint {
                instance: self.name.clone(),
                rank,
                start_at: now + wait,
            });
        }
    }

    /// Whether one more connection may be pinned to a transaction.
    #[must_use]
    pub fn may_pin(&self) -> bool {
        let most = self.pool_limit.saturating_sub(UNPINNED_CONNECTIONS).max(1) as u64;
        self.pinned_count.load(Ordering::SeqCst) < most
    }

    /// Keeps the connection for the next step of its transaction. `pin` is its
    /// id if it was pinned before.
    pub fn pin(&self, lease: PoolLease, entry: &str, pin: Option<PinId>) -> PinId {
        let id = pin.unwrap_or_else(|| {
            self.pinned_count.fetch_add(1, Ordering::SeqCst);
            self.next_pin.fetch_add(1, Ordering::SeqCst)
        });
        let expires_at = Instant::now() + IDLE_TRANSACTION_TIMEOUT;
        let pinned = PinnedTransaction {
            lease,
            entry: entry.into(),
            expires_at,
        };
        self.pins().insert(id, pinned);
        id
    }

    /// Takes the connection of a pinned transaction to run a step; `None` if
    /// the transaction is gone.
    #[must_use]
    pub fn take_pinned(&self, pin: PinId) -> Option<PoolLease> {
        self.pins().remove(&pin).map(|pinned| pinned.lease)
    }

    /// Records that a pinned transaction has ended.
    pub fn release_pin(&self) {
        self.pinned_count.fetch_sub(1, Ordering::SeqCst);
        self.writes_changed.notify(usize::MAX);
    }

    /// Rolls back the idle open transactions of callers at the host `host`.
    pub fn drop_pins_of(&self, host: &str) {
        self.drop_pins(|pinned| pinned.entry == host);
    }

    fn drop_pins(&self, should_drop: impl Fn(&PinnedTransaction) -> bool) {
        let mut dropped = Vec::new();
        let mut pins = self.pins();
        pins.retain(|_, pinned| {
            let keep = !should_drop(pinned);
            if !keep {
                dropped.push(());
            }
            keep
        });
        drop(pins);
        for () in dropped {
            self.release_pin();
        }
    }

    /// Counts a write until the guard is dropped; `None` while writes are held
    /// back.
    #[must_use]
    pub fn begin_write(self: &Arc<Self>) -> Option<WriteGuard> {
        self.writes_in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = WriteGuard {
            owner: self.clone(),
        };
        // Checked after counting, so that a drain misses no write.
        if self.holds_writes() {
            None
        } else {
            Some(guard)
        }
    }

    fn holds_writes(&self) -> bool {
        let held = self
            .writes_held_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        held.is_some_and(|until| Instant::now() < until)
    }

    /// Holds new writes back until `deadline` and waits until those in flight
    /// and the open transactions are done.
    pub async fn drain(&self, deadline: Instant) {
        *self
            .writes_held_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(deadline);
        loop {
            let listener = self.writes_changed.listen();
            let busy = self.writes_in_flight.load(Ordering::SeqCst)
                + self.pinned_count.load(Ordering::SeqCst);
            if busy == 0 || timeout_at(deadline, listener).await.is_err() {
                return;
            }
        }
    }

    /// Rolls back idle transactions, opens a connection ahead of need and
    /// probes the one that was idle the longest.
    pub async fn run_maintenance(&self) {
        let now = Instant::now();
        self.drop_pins(|pinned| pinned.expires_at <= now);
        self.pool.open_ahead(self.slots + 1).await;
        self.pool.probe_oldest().await;
    }

    /// State of this owner, for the state dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let (open, idle) = self.pool.counts();
        serde_json::json!({
            "instance": self.name,
            "database": self.database,
            "connections_open": open,
            "connections_idle": idle,
            "connections_limit": self.pool_limit,
            "slots": self.slots,
            "running": self.gate.running(),
            "waiting": self.gate.waiting(),
            "pinned": self.pinned_count.load(Ordering::SeqCst),
            "served": self.slots_granted.load(Ordering::Relaxed),
        })
    }
}

/// Counts a write as in flight until it is dropped.
#[derive(Debug)]
pub struct WriteGuard {
    owner: Arc<InstanceOwner>,
}

impl Drop for WriteGuard {
    fn drop(&mut self) {
        self.owner.writes_in_flight.fetch_sub(1, Ordering::SeqCst);
        self.owner.writes_changed.notify(usize::MAX);
    }
}
