//! One owned instance: the queue before its slots, its connections and the
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
use fulmarrill_runtime::before;
use fulmarrill_schedule::{RankIndex, RankPolicy, ScheduleRefusal};
use fulmarrill_slots::{SlotGate, SlotGrant};

use crate::context::SharedContext;
use crate::owner::adapter::DatabaseAdapter;
use crate::owner::pool::{ConnectionPool, PoolLease};
use crate::view::ControlView;

/// Connections of an instance that are left to the hosts that watch it.
const WATCH_CONNECTIONS: usize = 6;
/// Connections of a pool that are never pinned, so that others go on.
const UNPINNED_CONNECTIONS: usize = 2;
/// Time after which an idle transaction is rolled back.
const IDLE_TRANSACTION_TIME: Duration = Duration::from_secs(30);
/// Waits below this are not worth a hint.
const HINT_WAIT_MIN: Duration = Duration::from_millis(5);

/// A transaction between two of its steps.
#[derive(Debug)]
struct PinnedTransaction {
    lease: PoolLease,
    entry: HostName,
    ends_at: Instant,
}

/// An instance as its owner has it.
#[derive(Debug)]
pub struct InstanceOwner {
    name: InstanceName,
    database: DatabaseName,
    slots: usize,
    pub(crate) pool: Arc<ConnectionPool>,
    pool_limit: usize,
    gate: Arc<SlotGate>,
    pins: Mutex<HashMap<PinId, PinnedTransaction>>,
    pinned: AtomicU64,
    next_pin: AtomicU64,
    held_until: Mutex<Option<Instant>>,
    writes: AtomicU64,
    writes_changed: Event,
    served: AtomicU64,
}

/// Connections that one owner may have at an instance.
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
    /// Begins to own an instance; connections are opened by the upkeep.
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
        // Pins must not be mistaken for those of an earlier owner.
        let first_pin = fastrand::u64(..) >> 1;
        Self {
            name: instance.name.clone(),
            database: database.into(),
            slots,
            pool: ConnectionPool::new(target, limit),
            pool_limit: limit,
            gate: SlotGate::new(policies_of(&view.document), slots),
            pins: Mutex::default(),
            pinned: AtomicU64::new(0),
            next_pin: AtomicU64::new(first_pin),
            held_until: Mutex::new(None),
            writes: AtomicU64::new(0),
            writes_changed: Event::new(),
            served: AtomicU64::new(0),
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

    /// Puts the ranks of a new view in force.
    pub fn apply_view(&self, view: &ControlView) {
        self.gate
            .set_policies(policies_of(&view.document), self.slots);
    }

    /// Whether anybody waits for, or holds, something of this owner.
    #[must_use]
    pub fn is_used(&self) -> bool {
        let (open, idle) = self.pool.counts();
        open > idle || self.gate.waiting() > 0
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Why the work will not be started.
    pub async fn take_slot(
        &self,
        rank: RankIndex,
        flow: &str,
        deadline: Instant,
        continues: bool,
    ) -> Result<SlotGrant, ScheduleRefusal> {
        let grant = self.gate.take(rank, flow, deadline, continues).await?;
        self.served.fetch_add(1, Ordering::Relaxed);
        Ok(grant)
    }

    /// Adds what entries should know about the waits before this instance.
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

    /// Whether one more transaction may be pinned.
    #[must_use]
    pub fn may_pin(&self) -> bool {
        let most = self.pool_limit.saturating_sub(UNPINNED_CONNECTIONS).max(1) as u64;
        self.pinned.load(Ordering::SeqCst) < most
    }

    /// Keeps a connection for the next step of its transaction.
    pub fn pin(&self, lease: PoolLease, entry: &str, pin: Option<PinId>) -> PinId {
        let id = pin.unwrap_or_else(|| {
            self.pinned.fetch_add(1, Ordering::SeqCst);
            self.next_pin.fetch_add(1, Ordering::SeqCst)
        });
        let ends_at = Instant::now() + IDLE_TRANSACTION_TIME;
        let pinned = PinnedTransaction {
            lease,
            entry: entry.into(),
            ends_at,
        };
        self.pins().insert(id, pinned);
        id
    }

    /// Takes a pinned connection for a step.
    #[must_use]
    pub fn take_pinned(&self, pin: PinId) -> Option<PoolLease> {
        self.pins().remove(&pin).map(|pinned| pinned.lease)
    }

    /// Notes that a transaction that was pinned has ended.
    pub fn release_pin(&self) {
        self.pinned.fetch_sub(1, Ordering::SeqCst);
        self.writes_changed.notify(usize::MAX);
    }

    /// Rolls back the transactions of an entry that is gone.
    pub fn drop_pins_of(&self, host: &str) {
        self.drop_pins(|pinned| pinned.entry == host);
    }

    fn drop_pins(&self, condemned: impl Fn(&PinnedTransaction) -> bool) {
        let mut dropped = Vec::new();
        let mut pins = self.pins();
        pins.retain(|_, pinned| {
            let keep = !condemned(pinned);
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

    /// Counts a write until the guard is dropped; none while writes are held.
    #[must_use]
    pub fn begin_write(self: &Arc<Self>) -> Option<WriteGuard> {
        self.writes.fetch_add(1, Ordering::SeqCst);
        let guard = WriteGuard {
            owner: self.clone(),
        };
        // Looked at after counting, so that a drain misses no write.
        if self.holds_writes() {
            None
        } else {
            Some(guard)
        }
    }

    fn holds_writes(&self) -> bool {
        let held = self
            .held_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        held.is_some_and(|until| Instant::now() < until)
    }

    /// Holds new writes back until `deadline` and waits until those in flight
    /// and the open transactions are done.
    pub async fn drain(&self, deadline: Instant) {
        *self
            .held_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(deadline);
        loop {
            let listener = self.writes_changed.listen();
            let busy = self.writes.load(Ordering::SeqCst) + self.pinned.load(Ordering::SeqCst);
            if busy == 0 || before(deadline, listener).await.is_err() {
                return;
            }
        }
    }

    /// Regular work: connections ahead of need, probes, idle transactions.
    pub async fn upkeep(&self) {
        let now = Instant::now();
        self.drop_pins(|pinned| pinned.ends_at <= now);
        self.pool.open_ahead(self.slots + 1).await;
        self.pool.probe_oldest().await;
    }

    /// The state of this owner, for the dump.
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
            "pinned": self.pinned.load(Ordering::SeqCst),
            "served": self.served.load(Ordering::Relaxed),
        })
    }
}

/// A write in flight.
#[derive(Debug)]
pub struct WriteGuard {
    owner: Arc<InstanceOwner>,
}

impl Drop for WriteGuard {
    fn drop(&mut self) {
        self.owner.writes.fetch_sub(1, Ordering::SeqCst);
        self.owner.writes_changed.notify(usize::MAX);
    }
}
