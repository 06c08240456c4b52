//! The owner of one instance: its slots, connections and open transactions.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fulmarrill_budget::{ByteClass, MemoryBudget};
use fulmarrill_position::{DatabaseName, LogPoint, Term};
use fulmarrill_schedule::{RankIndex, RankPolicy};
use fulmarrill_slots::{SlotGate, SlotGrant};
use futures_lite::FutureExt;

use crate::catalogue::{HostName, InstanceEntry, InstanceId};
use crate::clock::BootTime;
use crate::codec::{DatabaseCodec, DatabaseCommand, DatabaseRole, ErrorKind};
use crate::owner::commands::{failed_answer, is_refused_write, push_commands, roll_back};
use crate::owner::connection::{ConnectionError, DatabaseAnswer};
use crate::owner::lead::{LEAD_CHECK, LeadCheck, needs_lead_check, take_lead_check};
use crate::owner::monitor::InstanceMonitor;
use crate::owner::pool::{ConnectionPool, ConnectionUser, PoolLease};
use crate::owner::progress::LogProgress;
use crate::owner::refusals::RefusalTally;
use crate::statement::TransactionState;
use crate::work::{NotRunReason, PinId, WorkAnswer, WorkRequest, WorkStatement, WorkStep};

/// Floors of the ranks, as fractions of the slots. The operators' configuration
/// names ranks but no floors; these keep a tenth of the slots for each of the
/// lower ranks, so that an overload of urgent work does not starve them.
const RANK_FLOORS: [f64; 3] = [0.0, 0.1, 0.1];
/// Statements sent in addition to one per slot, so that no slot of the instance
/// is idle while an answer and the next statement are in transit. Instances
/// queue a few statements themselves.
pub const QUEUED_AHEAD: usize = 1;
/// Timeout of a query for the position.
const POSITION_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without new connections to an instance that reported too many: a refusal
/// costs it a reset, and its count falls slowly.
const TOO_MANY_CONNECTIONS_BACKOFF: Duration = Duration::from_millis(100);
/// Time after which an unused connection is closed.
const UNUSED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Connections kept open in addition to one per slot, for transactions that
/// begin.
const SPARE_CONNECTIONS: usize = 2;
/// Connections that transactions may not pin, so that other work can go on.
const UNPINNED_CONNECTIONS: usize = 2;

fn rank_policies() -> Vec<RankPolicy> {
    let mut policies = Vec::new();
    for (index, floor) in RANK_FLOORS.into_iter().enumerate() {
        policies.push(RankPolicy::new(&format!("rank-{index}"), floor));
    }
    policies
}

/// An open transaction between two of its statements, with its connection.
#[derive(Debug)]
pub struct PinnedTransaction {
    lease: PoolLease,
    mode: TransactionMode,
    /// Host whose session it belongs to.
    pub entry: HostName,
    /// When its last statement was answered.
    pub idle_since: Instant,
}

/// What an open transaction may do, and has done.
#[derive(Debug, Clone, Copy, Default)]
struct TransactionMode {
    /// Whether its caller declared it read-only.
    reads_only: bool,
    /// Whether one of its statements wrote.
    has_written: bool,
}

/// The transaction that a statement continues.
#[derive(Debug, Clone, Copy)]
struct ContinuedPin {
    id: PinId,
    mode: TransactionMode,
}

/// An answer, and what its position proves.
#[derive(Debug)]
pub struct OwnerReport {
    /// The answer.
    pub answer: WorkAnswer,
    /// Moment up to which the position in the answer covers every acknowledged
    /// commit, if the instance was the primary; `None` if the answer does not
    /// show that it was.
    pub covers_until: Option<BootTime>,
    /// Whether the instance refused as a replica does, so that it no longer leads.
    pub lost_lead: bool,
}

impl OwnerReport {
    fn not_run(reason: NotRunReason) -> Self {
        Self {
            answer: WorkAnswer::NotRun(reason),
            covers_until: None,
            lost_lead: false,
        }
    }

    /// The report on a write in a read-only transaction. The instance is not
    /// asked, since a primary opens it as a plain one.
    fn refused_write() -> Self {
        let kind = ErrorKind::ReadOnly;
        let text = "the transaction is read-only".into();
        Self {
            answer: WorkAnswer::Failed { kind, text },
            covers_until: None,
            lost_lead: false,
        }
    }

    /// The report on a statement that is too long for the instance with what the proxy
    /// adds to it. Nothing was sent.
    fn too_long(request: &WorkRequest) -> Self {
        if request.after.is_some() && request.step == WorkStep::Single {
            // At the primary the statement is sent without a position.
            return Self::not_run(NotRunReason::Behind);
        }
        let kind = ErrorKind::Malformed;
        let text = "the statement is too long".into();
        Self {
            answer: WorkAnswer::Failed { kind, text },
            covers_until: None,
            lost_lead: false,
        }
    }

    /// The report on a read whose rows do not fit into the memory that is left.
    fn too_large() -> Self {
        let kind = ErrorKind::Failed;
        let text = "the result is too large for the memory left".into();
        Self {
            answer: WorkAnswer::Failed { kind, text },
            covers_until: None,
            lost_lead: false,
        }
    }

    fn unknown() -> Self {
        Self {
            answer: WorkAnswer::Unknown,
            covers_until: None,
            lost_lead: false,
        }
    }
}

/// Runs work on one instance: waits for a slot, takes a connection, and keeps
/// the connections of open transactions.
#[derive(Debug)]
pub struct InstanceOwner {
    codec: DatabaseCodec,
    budget: Option<Arc<MemoryBudget>>,
    instance: InstanceEntry,
    gate: Arc<SlotGate>,
    slots: AtomicUsize,
    /// Whether a slot is left to a change of primary.
    reserves_slot: AtomicBool,
    pool: Arc<ConnectionPool>,
    pin_limit: usize,
    pins: Mutex<HashMap<PinId, PinnedTransaction>>,
    /// Counts the open transactions, also those that run a statement, by its clones.
    transactions: Arc<()>,
    next_pin: AtomicU64,
    served: AtomicU64,
    monitor: InstanceMonitor,
    refusals: RefusalTally,
    progress: Mutex<LogProgress>,
}

impl InstanceOwner {
    /// Returns the tally of what the instance refused to run.
    #[must_use]
    pub fn refusals(&self) -> &RefusalTally {
        &self.refusals
    }

    /// Returns how many answers the instance gave twice since the last call, and adds
    /// them to the tally.
    #[must_use]
    pub fn take_copied_answers(&self) -> u64 {
        let copied = self.pool.take_copied_answers();
        if copied > 0 {
            self.refusals.record_copied(copied);
        }
        copied
    }

    /// Returns the monitor of the instance's answers.
    #[must_use]
    pub fn monitor(&self) -> &InstanceMonitor {
        &self.monitor
    }

    /// Creates the owner of an instance, with at most `connections` connections.
    #[must_use]
    pub fn new(codec: DatabaseCodec, instance: InstanceEntry, connections: usize) -> Self {
        let slots = instance.slots.max(1);
        Self {
            codec,
            budget: None,
            gate: SlotGate::new(rank_policies(), slots + QUEUED_AHEAD),
            slots: AtomicUsize::new(slots),
            reserves_slot: AtomicBool::new(false),
            pool: ConnectionPool::new(codec, instance.clone(), connections),
            pin_limit: connections.saturating_sub(UNPINNED_CONNECTIONS).max(1),
            pins: Mutex::default(),
            transactions: Arc::default(),
            // A random first id, so that the pins of an earlier owner are not
            // mistaken for those of this one.
            next_pin: AtomicU64::new(fastrand::u64(..) >> 1),
            served: AtomicU64::new(0),
            monitor: InstanceMonitor::new(),
            refusals: RefusalTally::default(),
            progress: Mutex::default(),
            instance,
        }
    }

    /// Counts the rows that are read from the instance against a budget.
    #[must_use]
    pub fn with_budget(mut self, budget: Option<Arc<MemoryBudget>>) -> Self {
        self.budget = budget;
        self
    }

    /// Returns the instance's identifier.
    #[must_use]
    pub fn id(&self) -> &InstanceId {
        &self.instance.id
    }

    /// Returns the database that the instance belongs to.
    #[must_use]
    pub fn database(&self) -> &DatabaseName {
        &self.instance.database
    }

    /// Returns how many requests the instance answered.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// Whether `instance` has the address and start time of the owned one.
    #[must_use]
    pub fn is_same_run(&self, instance: &InstanceEntry) -> bool {
        self.instance.address == instance.address && self.instance.started_ms == instance.started_ms
    }

    /// Follows a change of the instance's slots. Work that runs or waits, and open
    /// transactions, are not affected.
    pub fn set_slots(&self, slots: usize) {
        let slots = slots.max(1);
        if self.slots.swap(slots, Ordering::Relaxed) != slots {
            self.apply_capacity();
        }
    }

    /// Leaves one slot of the instance free of statements, or uses all again. An
    /// instance without a free slot does not answer the commands of a change of
    /// primary.
    pub fn reserve_slot(&self, reserves: bool) {
        if self.reserves_slot.swap(reserves, Ordering::Relaxed) != reserves {
            self.apply_capacity();
        }
    }

    fn apply_capacity(&self) {
        let slots = self.slots.load(Ordering::Relaxed);
        let capacity = if self.reserves_slot.load(Ordering::Relaxed) {
            slots.saturating_sub(1).max(1)
        } else {
            slots + QUEUED_AHEAD
        };
        self.gate.set_policies(rank_policies(), capacity);
    }

    fn pins(&self) -> MutexGuard<'_, HashMap<PinId, PinnedTransaction>> {
        self.pins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn progress(&self) -> MutexGuard<'_, LogProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a connection is in use or work waits for a slot.
    #[must_use]
    pub fn is_used(&self) -> bool {
        let (open, idle) = self.pool.counts();
        open > idle || self.gate.waiting() > 0
    }

    /// Sends commands and reads their answers, and tracks both in the monitor.
    async fn exchange(
        &self,
        lease: &mut PoolLease,
        commands: &[DatabaseCommand],
        deadline: Instant,
    ) -> Result<Vec<DatabaseAnswer>, ConnectionError> {
        let guard = self.monitor.track_command();
        let connection = &mut lease.get().connection;
        if let Some(budget) = &self.budget {
            connection.count_rows(budget.clone(), budget.hold(ByteClass::Replying, None));
        }
        let result = connection.exchange(commands, deadline).await;
        drop(guard);
        if result.is_ok() {
            self.monitor.record_answer();
        }
        result
    }

    async fn take_connection(
        &self,
        user: &ConnectionUser,
        values: &crate::statement::SessionValues,
        deadline: Instant,
    ) -> Result<PoolLease, ConnectionError> {
        loop {
            let result = self.pool.take(user, values, deadline).await;
            match &result {
                Err(
                    ConnectionError::Connect(_) | ConnectionError::Refused(ErrorKind::Misrouted, _),
                ) => self.monitor.record_connect_failure(),
                // The instance may still count those of an earlier owner.
                Err(ConnectionError::Refused(ErrorKind::TooManyConnections, _))
                    if Instant::now() + TOO_MANY_CONNECTIONS_BACKOFF < deadline =>
                {
                    self.pool
                        .pause_opening(Instant::now() + TOO_MANY_CONNECTIONS_BACKOFF);
                    continue;
                }
                _ => {}
            }
            return result;
        }
    }

    /// Tries to connect and returns whether the instance answered, see
    /// [`ConnectionPool::probe`].
    pub async fn probe(&self) -> bool {
        let probed = self.pool.probe().await;
        if probed {
            self.monitor.record_answer();
        } else {
            self.monitor.record_connect_failure();
        }
        self.monitor.end_probe();
        probed
    }

    /// Returns the expected time of new work of a rank at the instance.
    #[must_use]
    pub fn expected_time(&self, rank: RankIndex) -> Duration {
        self.gate.expected_time(rank)
    }

    /// Refuses the waiting work if the instance is stalled.
    pub fn shed(&self, now: Instant) {
        if self.monitor.is_stalled(now) && self.gate.waiting() > 0 {
            log::warn!(
                "{} does not answer, refusing the work that waits for it",
                self.instance.id
            );
            self.gate.refuse_waiting();
        }
    }

    /// Closes connections unused for a while, except for one per slot and a few
    /// spare ones.
    pub fn trim(&self, now: Instant) {
        let kept = self.slots.load(Ordering::Relaxed) + SPARE_CONNECTIONS;
        self.pool.trim(now, UNUSED_TIMEOUT, kept);
    }

    /// Closes all connections as soon as they are free.
    pub fn retire(&self) {
        self.pool.retire();
    }

    /// Whether no transaction is open and no work runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pins().is_empty() && self.gate.running() == 0 && self.gate.waiting() == 0
    }

    /// Runs work of the host `from`. `may_use_primary` is checked just before the
    /// first command is sent; a rollback is sent without a check.
    pub async fn run(
        &self,
        from: &str,
        request: WorkRequest,
        may_use_primary: &(dyn Fn() -> bool + Send + Sync),
    ) -> OwnerReport {
        let starts = !matches!(request.step, WorkStep::Continue(_));
        let now = Instant::now();
        let monitor = &self.monitor;
        if starts && (monitor.health().is_down(now) || monitor.is_stalled(now)) {
            return OwnerReport::not_run(NotRunReason::Unreachable);
        }
        if starts
            && let Some(floor) = request.after
            && !self.progress().should_send(floor, now)
        {
            return OwnerReport::not_run(NotRunReason::Behind);
        }
        match request.step {
            WorkStep::Continue(pin) => self.run_step(from, &request, pin, may_use_primary).await,
            WorkStep::Single => self.run_first(from, &request, None, may_use_primary).await,
            WorkStep::Begin { reads_only } => {
                if is_refused_write(reads_only, &request.statement) {
                    return OwnerReport::refused_write();
                }
                if self.open_transactions() >= self.pin_limit {
                    return OwnerReport::not_run(NotRunReason::Overload);
                }
                self.run_first(from, &request, Some(reads_only), may_use_primary)
                    .await
            }
        }
    }

    fn open_transactions(&self) -> usize {
        Arc::strong_count(&self.transactions) - 1
    }

    /// Takes one of the places of transactions, so that those that begin at the same time
    /// do not pin more connections than they may.
    fn permit_transaction(&self) -> Option<Arc<()>> {
        let _pins = self.pins();
        (self.open_transactions() < self.pin_limit).then(|| self.transactions.clone())
    }

    async fn take_slot(&self, request: &WorkRequest, continues: bool) -> Option<SlotGrant> {
        // Customers that are identified share the slots fairly within a rank.
        let flow = request.connection_user().unwrap_or_default();
        let taken = self
            .gate
            .take(request.rank, &flow, request.deadline, continues);
        match taken.await {
            Ok(grant) => Some(grant),
            Err(refusal) => {
                log::debug!("{}: {refusal}", self.instance.id);
                None
            }
        }
    }

    async fn run_first(
        &self,
        from: &str,
        request: &WorkRequest,
        begin: Option<bool>,
        may_use_primary: &(dyn Fn() -> bool + Send + Sync),
    ) -> OwnerReport {
        let Some(_slot) = self.take_slot(request, false).await else {
            return OwnerReport::not_run(NotRunReason::Overload);
        };
        let permit = begin.map(|_| self.permit_transaction());
        if permit == Some(None) {
            return OwnerReport::not_run(NotRunReason::Overload);
        }
        let mut lease = match self
            .take_connection(
                &request.connection_user(),
                &request.values,
                request.deadline,
            )
            .await
        {
            Ok(lease) => lease,
            Err(error) => return self.connect_failed(&error),
        };
        if !may_use_primary() {
            lease.release();
            return OwnerReport::not_run(NotRunReason::NotPrimary);
        }
        lease.set_permit(permit.flatten());
        let mut after = request.after;
        if let Some(reads_only) = begin {
            // Sent before the statement, not in one write with it: if the
            // instance refused to open the transaction, the statement would
            // run outside of it.
            let mut commands = Vec::new();
            lease
                .get()
                .set_up(&request.values, None, false, &mut commands);
            let after = after.take();
            // An instance that has lost the lead refuses each statement of a plain
            // transaction, but runs those of a read-only one.
            let reads_only = reads_only && request.primary_term.is_none();
            commands.push(DatabaseCommand::Begin { reads_only, after });
            match self.exchange(&mut lease, &commands, request.deadline).await {
                Ok(answers) if answers.iter().all(|answer| answer.outcome.is_ok()) => {}
                Ok(answers) => {
                    return self
                        .finish(from, request, lease, answers, None, BootTime::now())
                        .await;
                }
                Err(error) => return self.connect_failed(&error),
            }
        }
        self.send(from, request, lease, after, None).await
    }

    /// Sends the statement and reads its answer. A single read at the primary is
    /// followed by a check that the instance still leads: one that stepped down
    /// runs reads as well.
    async fn send(
        &self,
        from: &str,
        request: &WorkRequest,
        mut lease: PoolLease,
        after: Option<LogPoint>,
        pin: Option<ContinuedPin>,
    ) -> OwnerReport {
        let mut commands = Vec::new();
        push_commands(&mut lease, request, after, &mut commands);
        let checks_lead = needs_lead_check(request);
        if checks_lead {
            commands.extend(LEAD_CHECK);
        }
        let sent_at = BootTime::now();
        // A single read may run again elsewhere as soon as the instance counts
        // as down; anything else has to wait for its answer.
        let may_run_again = request.step == WorkStep::Single && !request.statement.writes();
        let down = async {
            if !may_run_again {
                std::future::pending::<()>().await;
            }
            self.monitor.wait_until_down().await;
            Err(ConnectionError::Lost("the instance is down".into()))
        };
        let exchange = self.exchange(&mut lease, &commands, request.deadline);
        match exchange.or(down).await {
            Ok(mut answers) => {
                let lead = if checks_lead {
                    take_lead_check(&mut answers)
                } else {
                    LeadCheck::Confirmed
                };
                if lead != LeadCheck::Confirmed {
                    log::info!(
                        "{}: the answer to a read is discarded, lead of the instance: {lead:?}",
                        self.instance.id
                    );
                    if answers.last().is_some_and(DatabaseAnswer::is_idle) {
                        lease.release();
                    }
                    return OwnerReport {
                        lost_lead: lead == LeadCheck::Lost,
                        ..OwnerReport::unknown()
                    };
                }
                self.finish(from, request, lease, answers, pin, sent_at)
                    .await
            }
            Err(error) => self.exchange_failed(&error, request),
        }
    }

    async fn run_step(
        &self,
        from: &str,
        request: &WorkRequest,
        pin: PinId,
        may_use_primary: &(dyn Fn() -> bool + Send + Sync),
    ) -> OwnerReport {
        let Some(pinned) = self.pins().remove(&pin) else {
            return OwnerReport::not_run(NotRunReason::TransactionLost);
        };
        let continued = ContinuedPin {
            id: pin,
            mode: pinned.mode,
        };
        let lease = pinned.lease;
        if request.statement == WorkStatement::Rollback {
            roll_back(lease).await;
            return OwnerReport {
                answer: WorkAnswer::Served {
                    rows: Vec::new(),
                    proof: "".into(),
                    point: None,
                    pin: None,
                },
                covers_until: None,
                lost_lead: false,
            };
        }
        if is_refused_write(continued.mode.reads_only, &request.statement) {
            roll_back(lease).await;
            return OwnerReport::refused_write();
        }
        let Some(_slot) = self.take_slot(request, true).await else {
            return OwnerReport::not_run(NotRunReason::Overload);
        };
        if !may_use_primary() {
            return OwnerReport::not_run(NotRunReason::NotPrimary);
        }
        self.send(from, request, lease, None, Some(continued)).await
    }

    /// Combines the answers into one for the entry, and pins, releases or rolls
    /// back the connection. One on which a setup command failed is closed, because
    /// its session values are not those that the pool recorded for it.
    async fn finish(
        &self,
        from: &str,
        request: &WorkRequest,
        mut lease: PoolLease,
        mut answers: Vec<DatabaseAnswer>,
        pin: Option<ContinuedPin>,
        sent_at: BootTime,
    ) -> OwnerReport {
        self.served.fetch_add(1, Ordering::Relaxed);
        let failure = answers
            .iter()
            .find_map(|answer| answer.outcome.as_ref().err().cloned());
        let Some(last) = answers.pop() else {
            return OwnerReport::not_run(NotRunReason::Overload);
        };
        // Inside a transaction the position may be that of its snapshot.
        if let (Some(point), true) = (last.point, last.state != TransactionState::Open) {
            self.progress().record(point, Instant::now());
        }
        if failure.is_some() && last.outcome.is_ok() {
            // The statement ran although a command that it depends on failed.
            log::error!(
                "{}: a statement ran although an earlier command failed: {failure:?}",
                self.instance.id
            );
            return OwnerReport::unknown();
        }
        if let Some((kind, text)) = failure {
            self.refusals.record(kind);
            if kind == ErrorKind::NotPrepared {
                lease.get().forget_prepared();
            }
            let was_set_up = answers.iter().all(|answer| answer.outcome.is_ok());
            if !was_set_up {
                drop(lease);
            } else if last.state == TransactionState::Idle {
                lease.release();
            } else {
                roll_back(lease).await;
            }
            return OwnerReport {
                answer: failed_answer(request, kind, text),
                covers_until: None,
                lost_lead: kind == ErrorKind::ReadOnly,
            };
        }
        let commits = matches!(request.statement, WorkStatement::Commit(_));
        if request.step != WorkStep::Single && !commits && last.state == TransactionState::Idle {
            log::error!(
                "{}: a statement ran outside of its transaction",
                self.instance.id
            );
            return OwnerReport::unknown();
        }
        let mut mode = pin.map(|pin| pin.mode).unwrap_or_default();
        mode.reads_only |= request.step == WorkStep::Begin { reads_only: true };
        // An instance that stepped down still commits a transaction that wrote
        // nothing. Inside a transaction the position may be that of its snapshot.
        let covers = last.state == TransactionState::Idle && (pin.is_none() || mode.has_written);
        let pin = if last.state == TransactionState::Idle {
            lease.release();
            None
        } else {
            mode.has_written |= request.statement.writes();
            Some(self.pin_transaction(from, lease, pin, mode))
        };
        let answer = WorkAnswer::Served {
            rows: last.rows,
            proof: last.outcome.ok().flatten().unwrap_or_default(),
            point: last.point,
            pin,
        };
        OwnerReport {
            answer,
            covers_until: covers.then_some(sent_at),
            lost_lead: false,
        }
    }

    /// Pins a connection for the next statement of its transaction.
    fn pin_transaction(
        &self,
        from: &str,
        lease: PoolLease,
        pin: Option<ContinuedPin>,
        mode: TransactionMode,
    ) -> PinId {
        let new_id = || self.next_pin.fetch_add(1, Ordering::Relaxed);
        let id = pin.map_or_else(new_id, |pin| pin.id);
        let pinned = PinnedTransaction {
            lease,
            mode,
            entry: from.into(),
            idle_since: Instant::now(),
        };
        self.pins().insert(id, pinned);
        id
    }

    /// Rolls back, in the background, the transactions for which `should_drop`
    /// holds.
    pub fn drop_pins(&self, should_drop: impl Fn(&PinnedTransaction) -> bool) {
        let mut dropped = Vec::new();
        let mut pins = self.pins();
        let ids: Vec<PinId> = pins
            .iter()
            .filter(|(_, pinned)| should_drop(pinned))
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            dropped.extend(pins.remove(&id));
        }
        drop(pins);
        for pinned in dropped {
            fulmarrill_runtime::spawn(roll_back(pinned.lease)).detach();
        }
    }

    fn connect_failed(&self, error: &ConnectionError) -> OwnerReport {
        if let ConnectionError::Refused(kind, _) = error {
            self.refusals.record(*kind);
        }
        log::debug!("{}: {error}", self.instance.id);
        let reason = match error {
            ConnectionError::Exhausted
            | ConnectionError::Refused(ErrorKind::TooManyConnections | ErrorKind::Busy, _) => {
                NotRunReason::Overload
            }
            _ => NotRunReason::Unreachable,
        };
        OwnerReport::not_run(reason)
    }

    fn exchange_failed(&self, error: &ConnectionError, request: &WorkRequest) -> OwnerReport {
        if matches!(error, ConnectionError::Malformed(_)) {
            log::warn!(
                "{}: request {}: {error}",
                self.instance.id,
                request.statement.id()
            );
        } else {
            log::debug!("{}: {error}", self.instance.id);
        }
        if matches!(error, ConnectionError::TooLong) {
            return OwnerReport::too_long(request);
        }
        let is_single_read = request.step == WorkStep::Single && !request.statement.writes();
        if matches!(error, ConnectionError::NoMemory) && is_single_read {
            // Not sent again: another instance would give as many rows.
            return OwnerReport::too_large();
        }
        let is_unsent = matches!(error, ConnectionError::Connect(_));
        if matches!(error, ConnectionError::Lost(_)) {
            self.pool.close_idle();
        }
        // A transaction whose commit was not sent can no longer be committed.
        let in_transaction = request.step != WorkStep::Single;
        let commits = matches!(request.statement, WorkStatement::Commit(_));
        if in_transaction && (is_unsent || !commits) {
            return OwnerReport::not_run(NotRunReason::TransactionLost);
        }
        if is_unsent {
            return OwnerReport::not_run(NotRunReason::Unreachable);
        }
        OwnerReport::unknown()
    }

    /// Queries the position of the primary of `term`, and returns it with the time
    /// of the query; `None` if the instance does not lead that term.
    pub async fn query_position(&self, term: Term) -> Option<(BootTime, LogPoint)> {
        let deadline = Instant::now() + POSITION_TIMEOUT;
        let (sent_at, answer) = self.run_command(DatabaseCommand::Status, deadline).await?;
        let status = answer.read_status(&self.codec)?;
        let leads = status.role == DatabaseRole::Primary && status.term == term;
        let point = answer.point.filter(|point| leads && point.term <= term)?;
        Some((sent_at, point))
    }

    /// Takes a connection for a command of the proxy itself, which may run on that of any
    /// user.
    async fn take_command_connection(&self, deadline: Instant) -> Option<PoolLease> {
        while let Some(mut lease) = self.pool.take_any_idle() {
            let connection = &mut lease.get().connection;
            if connection.is_quiet().await && connection.is_reusable(Instant::now()) {
                return Some(lease);
            }
        }
        let values = crate::statement::SessionValues::default();
        self.take_connection(&None, &values, deadline).await.ok()
    }

    /// Runs one command of the proxy itself, ahead of all waiting work. Returns the
    /// answer, whatever its outcome, and when the command was sent.
    pub async fn run_command(
        &self,
        command: DatabaseCommand,
        deadline: Instant,
    ) -> Option<(BootTime, DatabaseAnswer)> {
        let _slot = self.gate.take(0, "", deadline, true).await.ok()?;
        let mut lease = self.take_command_connection(deadline).await?;
        let sent_at = BootTime::now();
        let answers = self.exchange(&mut lease, &[command], deadline).await;
        let answer = answers.ok()?.pop()?;
        lease.release();
        Some((sent_at, answer))
    }

    /// Returns the state of this owner for the state dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let (open, idle) = self.pool.counts();
        serde_json::json!({
            "instance": self.instance.id,
            "database": self.instance.database,
            "is_primary": self.instance.role == DatabaseRole::Primary,
            "slots": self.slots.load(Ordering::Relaxed),
            "connections_open": open,
            "connections_idle": idle,
            "running": self.gate.running(),
            "waiting": self.gate.waiting(),
            "transactions": self.pins().len(),
            "served": self.served(),
            "refused": self.refusals.total(),
        })
    }
}
