//! One instance: the slots, the connections and the transactions on them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;
use fulmarrill_position::{LogPoint, Term};
use fulmarrill_schedule::{RankIndex, RankPolicy};
use fulmarrill_slots::{SlotGate, SlotGrant};
use futures_lite::FutureExt;

use crate::catalogue::{HostName, InstanceEntry, InstanceId};
use crate::codec::{DatabaseCodec, DatabaseCommand, DatabaseRole, ErrorKind};
use crate::owner::connection::{ConnectionError, DatabaseAnswer};
use crate::owner::health::InstanceHealth;
use crate::owner::pool::{ConnectionPool, PoolLease};
use crate::statement::TransactionState;
use crate::work::{NotRunReason, PinId, WorkAnswer, WorkRequest, WorkStatement, WorkStep};

/// Floors of the ranks, as shares of the slots. The operators' configuration
/// names ranks but no floors; these keep a tenth of the slots for each of the
/// lower ranks, so that a flood of urgent work does not starve them.
const RANK_FLOORS: [f64; 3] = [0.0, 0.1, 0.1];
/// Statements sent ahead of a free slot, so that no slot of the instance stands
/// idle while an answer and the next statement are on their way. Instances keep
/// a short queue of their own.
pub const QUEUED_AHEAD: usize = 1;
/// Time for a rollback; an instance answers it without a slot.
const ROLLBACK_TIME: Duration = Duration::from_millis(500);
/// Time for a question for the position.
const POSITION_TIME: Duration = Duration::from_millis(500);
/// Time without an answer after which an instance is probed: longer than nearly
/// all statements take.
const SILENCE_TIME: Duration = Duration::from_millis(250);
/// Time without any answer of an instance that owes some, after which it counts
/// as stalled. With several statements at a time on a slow instance some answer
/// comes much sooner.
const STALL_TIME: Duration = Duration::from_millis(400);
/// Time for which no connection is opened to an instance that has too many: a
/// refusal costs it a reset, and its count falls slowly.
const FULL_TIME: Duration = Duration::from_millis(100);
/// Time after which a connection that nobody used is closed.
const UNUSED_TIME: Duration = Duration::from_millis(2500);
/// Connections kept open beside one for each slot, for transactions that begin.
const SPARE_CONNECTIONS: usize = 2;
/// Connections that are never kept for a transaction, so that others go on.
const UNPINNED_CONNECTIONS: usize = 2;

/// A transaction between two of its statements.
#[derive(Debug)]
pub struct PinnedTransaction {
    lease: PoolLease,
    /// Host whose session it belongs to.
    pub entry: HostName,
    /// When its last statement ended.
    pub kept_at: Instant,
}

/// An answer, and when the command that it answers was sent.
#[derive(Debug)]
pub struct OwnerReport {
    /// The answer.
    pub answer: WorkAnswer,
    /// When the command was sent; none if it was not.
    pub sent_at: Option<Instant>,
}

impl OwnerReport {
    fn not_run(reason: NotRunReason) -> Self {
        Self {
            answer: WorkAnswer::NotRun(reason),
            sent_at: None,
        }
    }
}

/// An instance as its owner has it.
#[derive(Debug)]
pub struct InstanceOwner {
    instance: InstanceEntry,
    gate: Arc<SlotGate>,
    pool: Arc<ConnectionPool>,
    pin_limit: usize,
    pins: Mutex<HashMap<PinId, PinnedTransaction>>,
    next_pin: AtomicU64,
    served: AtomicU64,
    health: Mutex<InstanceHealth>,
    /// Notified when the instance may have gone down.
    failed: Event,
    probing: AtomicBool,
    /// When each command that is still unanswered was sent.
    sent: Mutex<Vec<Instant>>,
}

impl InstanceOwner {
    /// Begins to own an instance, with at most `connections` connections.
    #[must_use]
    pub fn new(codec: DatabaseCodec, instance: InstanceEntry, connections: usize) -> Self {
        let mut policies = Vec::new();
        for (index, floor) in RANK_FLOORS.into_iter().enumerate() {
            policies.push(RankPolicy::new(&format!("rank-{index}"), floor));
        }
        Self {
            gate: SlotGate::new(policies, instance.slots.max(1) + QUEUED_AHEAD),
            pool: ConnectionPool::new(codec, instance.clone(), connections),
            pin_limit: connections.saturating_sub(UNPINNED_CONNECTIONS).max(1),
            pins: Mutex::default(),
            // Pins must not be mistaken for those of an earlier owner.
            next_pin: AtomicU64::new(fastrand::u64(..) >> 1),
            served: AtomicU64::new(0),
            health: Mutex::default(),
            failed: Event::new(),
            probing: AtomicBool::new(false),
            sent: Mutex::default(),
            instance,
        }
    }

    /// Identity of the instance.
    #[must_use]
    pub fn id(&self) -> &InstanceId {
        &self.instance.id
    }

    /// Whether this is the same run of the same instance.
    #[must_use]
    pub fn is_same(&self, instance: &InstanceEntry) -> bool {
        self.instance.address == instance.address
            && self.instance.started_ms == instance.started_ms
            && self.instance.slots == instance.slots
    }

    fn pins(&self) -> MutexGuard<'_, HashMap<PinId, PinnedTransaction>> {
        self.pins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether anybody waits for, or holds, something of this owner.
    #[must_use]
    pub fn is_used(&self) -> bool {
        let (open, idle) = self.pool.counts();
        open > idle || self.gate.waiting() > 0
    }

    /// Time until new work of a rank would start.
    #[must_use]
    pub fn expected_wait(&self, rank: RankIndex) -> Duration {
        self.gate.expected_wait(rank)
    }

    /// What is known of the instance's reachability.
    #[must_use]
    pub fn health(&self) -> InstanceHealth {
        *self.health_mut()
    }

    fn health_mut(&self) -> MutexGuard<'_, InstanceHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sent(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends commands and takes their answers, and notes that the instance was
    /// heard of.
    async fn exchange(
        &self,
        lease: &mut PoolLease,
        commands: &[DatabaseCommand],
        deadline: Instant,
    ) -> Result<Vec<DatabaseAnswer>, ConnectionError> {
        let guard = SentGuard::new(self);
        let result = lease.get().connection.exchange(commands, deadline).await;
        drop(guard);
        if result.is_ok() {
            self.health_mut().note_heard(Instant::now());
        }
        result
    }

    async fn take_connection(
        &self,
        values: &crate::statement::SessionValues,
        deadline: Instant,
    ) -> Result<PoolLease, ConnectionError> {
        loop {
            let result = self.pool.take(values, deadline).await;
            match &result {
                Err(ConnectionError::Connect(_)) => self.note_failure(Instant::now()),
                // Connections of an earlier owner are still counted.
                Err(ConnectionError::Refused(ErrorKind::TooManyConnections, _))
                    if Instant::now() + FULL_TIME < deadline =>
                {
                    self.pool.note_full(Instant::now() + FULL_TIME);
                    continue;
                }
                _ => {}
            }
            return result;
        }
    }

    /// Tries to connect. Says whether the instance answers, whatever it says.
    pub async fn probe(&self) -> bool {
        let probed = self.pool.probe().await;
        let now = Instant::now();
        if probed {
            self.health_mut().note_heard(now);
        } else {
            self.note_failure(now);
        }
        probed
    }

    fn note_failure(&self, now: Instant) {
        self.health_mut().note_failure(now);
        self.failed.notify(usize::MAX);
    }

    /// Returns once the instance counts as down.
    async fn down(&self) {
        loop {
            let listener = self.failed.listen();
            if self.health().is_down(Instant::now()) {
                return;
            }
            listener.await;
        }
    }

    /// Whether the instance owes answers and has given none for a while, so
    /// that whatever waits would wait in vain.
    #[must_use]
    pub fn is_stalled(&self, now: Instant) -> bool {
        let Some(since) = now.checked_sub(STALL_TIME) else {
            return false;
        };
        let owes = self.sent().iter().any(|at| *at <= since);
        owes && !self.health().heard_since(since)
    }

    /// Refuses what waits for an instance that does not answer.
    pub fn shed(&self, now: Instant) {
        if self.is_stalled(now) && self.gate.waiting() > 0 {
            log::warn!(
                "{} owes answers; what waits for it is refused",
                self.instance.id
            );
            self.gate.refuse_waiting();
        }
    }

    /// Whether the instance should be probed: it failed, or owes an answer for
    /// longer than a statement takes.
    #[must_use]
    pub fn wants_probe(&self, now: Instant) -> bool {
        let health = self.health();
        let oldest = self.sent().iter().min().copied();
        let silent = oldest.is_some_and(|at| {
            now.saturating_duration_since(at) >= SILENCE_TIME && !health.heard_since(at)
        });
        (silent || health.is_failing()) && !self.probing.swap(true, Ordering::Relaxed)
    }

    /// Closes connections that nobody has used for a while.
    pub fn trim(&self, now: Instant) {
        if let Some(since) = now.checked_sub(UNUSED_TIME) {
            let kept = self.instance.slots + SPARE_CONNECTIONS;
            self.pool.trim(since, kept);
        }
    }

    /// Probes the instance, after [`InstanceOwner::wants_probe`] said so.
    pub async fn run_probe(&self) {
        self.probe().await;
        self.probing.store(false, Ordering::Relaxed);
    }

    /// Gives connections up as soon as they are free.
    pub fn retire(&self) {
        self.pool.retire();
    }

    /// Whether nothing is in use any more.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pins().is_empty() && self.gate.running() == 0 && self.gate.waiting() == 0
    }

    /// Runs work. `may_lead` is asked just before anything is sent.
    pub async fn run(
        &self,
        from: &str,
        request: WorkRequest,
        may_lead: &(dyn Fn() -> bool + Send + Sync),
    ) -> OwnerReport {
        let starts = !matches!(request.step, WorkStep::Continue(_));
        let now = Instant::now();
        if starts && (self.health().is_down(now) || self.is_stalled(now)) {
            return OwnerReport::not_run(NotRunReason::Unreachable);
        }
        match request.step {
            WorkStep::Continue(pin) => self.run_step(from, &request, pin, may_lead).await,
            WorkStep::Single => self.run_first(from, &request, None, may_lead).await,
            WorkStep::Begin { reads_only } => {
                if self.pins().len() >= self.pin_limit {
                    return OwnerReport::not_run(NotRunReason::Overload);
                }
                self.run_first(from, &request, Some(reads_only), may_lead)
                    .await
            }
        }
    }

    async fn take_slot(&self, request: &WorkRequest, continues: bool) -> Option<SlotGrant> {
        let taken = self
            .gate
            .take(request.rank, "", request.deadline, continues);
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
        may_lead: &(dyn Fn() -> bool + Send + Sync),
    ) -> OwnerReport {
        let Some(_slot) = self.take_slot(request, false).await else {
            return OwnerReport::not_run(NotRunReason::Overload);
        };
        let mut lease = match self
            .take_connection(&request.values, request.deadline)
            .await
        {
            Ok(lease) => lease,
            Err(error) => return self.connect_failed(&error),
        };
        if !may_lead() {
            lease.settle();
            return OwnerReport::not_run(NotRunReason::NotPrimary);
        }
        let mut after = request.after;
        if let Some(reads_only) = begin {
            // Not in one write with the statement, which would run outside of
            // the transaction if the instance refused to open it.
            let mut commands = Vec::new();
            lease
                .get()
                .set_up(&request.values, None, false, &mut commands);
            let after = after.take();
            commands.push(DatabaseCommand::Begin { reads_only, after });
            match self.exchange(&mut lease, &commands, request.deadline).await {
                Ok(answers) if answers.iter().all(|answer| answer.outcome.is_ok()) => {}
                Ok(answers) => {
                    return self
                        .finish(from, request, lease, answers, None, Instant::now())
                        .await;
                }
                Err(error) => return self.connect_failed(&error),
            }
        }
        self.send(from, request, lease, after, None).await
    }

    /// Sends the statement itself and takes its answer.
    async fn send(
        &self,
        from: &str,
        request: &WorkRequest,
        mut lease: PoolLease,
        after: Option<LogPoint>,
        pin: Option<PinId>,
    ) -> OwnerReport {
        let mut commands = Vec::new();
        push_commands(&mut lease, request, after, &mut commands);
        let sent_at = Instant::now();
        // A read may run again elsewhere as soon as the instance is known to be
        // down; anything else has to wait for its answer.
        let may_run_again = request.step == WorkStep::Single && !request.statement.writes();
        let down = async {
            if !may_run_again {
                std::future::pending::<()>().await;
            }
            self.down().await;
            Err(ConnectionError::Lost("the instance is down".into()))
        };
        let exchange = self.exchange(&mut lease, &commands, request.deadline);
        match exchange.or(down).await {
            Ok(answers) => {
                self.finish(from, request, lease, answers, pin, sent_at)
                    .await
            }
            Err(error) => self.exchange_failed(&error, request, sent_at),
        }
    }

    async fn run_step(
        &self,
        from: &str,
        request: &WorkRequest,
        pin: PinId,
        may_lead: &(dyn Fn() -> bool + Send + Sync),
    ) -> OwnerReport {
        let Some(pinned) = self.pins().remove(&pin) else {
            return OwnerReport::not_run(NotRunReason::TransactionLost);
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
                sent_at: None,
            };
        }
        let Some(_slot) = self.take_slot(request, true).await else {
            return OwnerReport::not_run(NotRunReason::Overload);
        };
        if !may_lead() {
            return OwnerReport::not_run(NotRunReason::NotPrimary);
        }
        self.send(from, request, lease, None, Some(pin)).await
    }

    /// Turns the answers into one for the entry, and keeps or settles the
    /// connection.
    async fn finish(
        &self,
        from: &str,
        request: &WorkRequest,
        mut lease: PoolLease,
        mut answers: Vec<DatabaseAnswer>,
        pin: Option<PinId>,
        sent_at: Instant,
    ) -> OwnerReport {
        self.served.fetch_add(1, Ordering::Relaxed);
        let failure = answers
            .iter()
            .find_map(|answer| answer.outcome.as_ref().err().cloned());
        let Some(last) = answers.pop() else {
            return OwnerReport::not_run(NotRunReason::Overload);
        };
        let sent_at = Some(sent_at);
        if failure.is_some() && last.outcome.is_ok() {
            // The statement ran although what it needed was refused.
            log::error!(
                "{}: {failure:?} before a statement that ran",
                self.instance.id
            );
            let answer = WorkAnswer::Unknown;
            return OwnerReport { answer, sent_at };
        }
        if let Some((kind, text)) = failure {
            if kind == ErrorKind::NotPrepared {
                lease.get().forget_prepared();
            }
            if last.state == TransactionState::Idle {
                lease.settle();
            } else {
                roll_back(lease).await;
            }
            return OwnerReport {
                answer: failed_answer(request, kind, text),
                sent_at,
            };
        }
        let pin = if last.state == TransactionState::Idle {
            lease.settle();
            None
        } else {
            Some(self.keep(from, lease, pin))
        };
        let answer = WorkAnswer::Served {
            rows: last.rows,
            proof: last.outcome.unwrap_or_default(),
            point: last.point,
            pin,
        };
        OwnerReport { answer, sent_at }
    }

    /// Keeps a connection for the next statement of its transaction.
    fn keep(&self, from: &str, lease: PoolLease, pin: Option<PinId>) -> PinId {
        let id = pin.unwrap_or_else(|| self.next_pin.fetch_add(1, Ordering::Relaxed));
        let pinned = PinnedTransaction {
            lease,
            entry: from.into(),
            kept_at: Instant::now(),
        };
        self.pins().insert(id, pinned);
        id
    }

    /// Rolls back the transactions for which `condemned` holds, by closing
    /// their connections.
    pub fn drop_pins(&self, condemned: impl Fn(&PinnedTransaction) -> bool) {
        let mut dropped = Vec::new();
        let mut pins = self.pins();
        let ids: Vec<PinId> = pins
            .iter()
            .filter(|(_, pinned)| condemned(pinned))
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

    fn exchange_failed(
        &self,
        error: &ConnectionError,
        request: &WorkRequest,
        sent_at: Instant,
    ) -> OwnerReport {
        log::debug!("{}: {error}", self.instance.id);
        self.pool.close_idle();
        // A transaction whose commit was not sent cannot be committed any more.
        let in_transaction = request.step != WorkStep::Single;
        let commits = matches!(request.statement, WorkStatement::Commit(_));
        let answer = if in_transaction && !commits {
            WorkAnswer::NotRun(NotRunReason::TransactionLost)
        } else {
            WorkAnswer::Unknown
        };
        OwnerReport {
            answer,
            sent_at: Some(sent_at),
        }
    }

    /// Asks the primary for its position, and when that was.
    pub async fn ask_position(&self, term: Term) -> Option<(Instant, LogPoint)> {
        let deadline = Instant::now() + POSITION_TIME;
        let (sent_at, answer) = self.command(DatabaseCommand::Status, deadline).await?;
        // A position of a later term is not that of this primary.
        let point = answer.point.filter(|point| point.term <= term)?;
        Some((sent_at, point))
    }

    /// Runs one command of the proxy's own, before all other work.
    pub async fn command(
        &self,
        command: DatabaseCommand,
        deadline: Instant,
    ) -> Option<(Instant, DatabaseAnswer)> {
        let _slot = self.gate.take(0, "", deadline, true).await.ok()?;
        let values = crate::statement::SessionValues::default();
        let mut lease = self.take_connection(&values, deadline).await.ok()?;
        let sent_at = Instant::now();
        let answers = self.exchange(&mut lease, &[command], deadline).await;
        let answer = answers.ok()?.pop()?;
        lease.settle();
        answer.outcome.is_ok().then_some((sent_at, answer))
    }

    /// The state of this owner, for the dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let (open, idle) = self.pool.counts();
        serde_json::json!({
            "instance": self.instance.id,
            "database": self.instance.database,
            "is_primary": self.instance.role == DatabaseRole::Primary,
            "connections_open": open,
            "connections_idle": idle,
            "running": self.gate.running(),
            "waiting": self.gate.waiting(),
            "transactions": self.pins().len(),
            "served": self.served.load(Ordering::Relaxed),
        })
    }
}

/// Counts a command as unanswered until it is dropped.
struct SentGuard<'a> {
    owner: &'a InstanceOwner,
    at: Instant,
}

impl<'a> SentGuard<'a> {
    fn new(owner: &'a InstanceOwner) -> Self {
        let at = Instant::now();
        owner.sent().push(at);
        Self { owner, at }
    }
}

impl Drop for SentGuard<'_> {
    fn drop(&mut self) {
        let mut sent = self.owner.sent();
        if let Some(index) = sent.iter().position(|at| *at == self.at) {
            sent.swap_remove(index);
        }
    }
}

/// What a failure that the instance reported means for the entry.
fn failed_answer(
    request: &WorkRequest,
    kind: ErrorKind,
    text: compact_str::CompactString,
) -> WorkAnswer {
    if matches!(request.step, WorkStep::Continue(_)) {
        return WorkAnswer::Failed { kind, text };
    }
    match kind {
        ErrorKind::Behind => WorkAnswer::NotRun(NotRunReason::Behind),
        ErrorKind::ReadOnly => WorkAnswer::NotRun(NotRunReason::NotPrimary),
        ErrorKind::Misrouted => WorkAnswer::NotRun(NotRunReason::Unreachable),
        kind if kind.is_not_run() => WorkAnswer::NotRun(NotRunReason::Overload),
        _ => WorkAnswer::Failed { kind, text },
    }
}

/// The commands for a piece of work on a connection.
fn push_commands(
    lease: &mut PoolLease,
    request: &WorkRequest,
    after: Option<LogPoint>,
    commands: &mut Vec<DatabaseCommand>,
) {
    let shape = match &request.statement {
        WorkStatement::Prepared { shape, .. } => Some(shape),
        _ => None,
    };
    let in_transaction = request.step != WorkStep::Single;
    let name = lease
        .get()
        .set_up(&request.values, shape, in_transaction, commands);
    match &request.statement {
        WorkStatement::Text { id, text, .. } => commands.push(DatabaseCommand::Run {
            id: id.clone(),
            after,
            text: text.clone(),
        }),
        WorkStatement::Prepared { id, arguments, .. } => commands.push(DatabaseCommand::Execute {
            id: id.clone(),
            after,
            name: name.unwrap_or_default(),
            arguments: arguments.clone(),
        }),
        WorkStatement::Commit(id) => commands.push(DatabaseCommand::Commit(id.clone())),
        WorkStatement::Rollback => commands.push(DatabaseCommand::Rollback),
    }
}

/// Rolls a transaction back and gives its connection up or back.
async fn roll_back(mut lease: PoolLease) {
    let deadline = Instant::now() + ROLLBACK_TIME;
    let connection = &mut lease.get().connection;
    let answers = connection.exchange(&[DatabaseCommand::Rollback], deadline);
    match answers.await {
        Ok(answers) if answers.iter().all(|a| a.state == TransactionState::Idle) => lease.settle(),
        Ok(_) => {}
        Err(error) => log::debug!("rollback: {error}"),
    }
}
