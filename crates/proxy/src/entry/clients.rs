//! What the clients of a host may hold: memory, descriptors and time.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;
use fulmarrill_budget::{Account, BudgetGuard, ByteClass, MemoryBudget, OverBudget, PressureLevel};
use fulmarrill_metrics::{Counter, Gauge, KeyValue, MetricRegistry};
use fulmarrill_schedule::RankIndex;
use rustix::process::{Resource, getrlimit};
use rustix::system::sysinfo;
use smol::Timer;

use crate::work::{WorkRequest, WorkStep};

/// Share of the machine's memory that the budget for clients may take, in percent. The
/// rest is for the process itself, its sessions' tasks, links, records and the allocator:
/// with a third, the peak of a host with 64 MB stayed under its memory in all tests.
const BUDGET_PERCENT: usize = 33;
/// Share of the machine's memory for records that the store does not have yet, in percent.
const RECORDS_PERCENT: usize = 15;
/// Descriptors kept for everything but callers: files (200), connections to instances,
/// links, the store and HTTP pages.
const RESERVED_DESCRIPTORS: usize = 750;
/// Largest share of the descriptors that is kept, as a divisor, for processes with few.
const RESERVED_DIVISOR: usize = 4;
/// Bytes up to which a message counts as small: it is read and admitted as long as there
/// is room at all, and its connection is not closed to make room for others.
pub const SMALL_BYTES: usize = 16 << 10;
/// Bytes that a statement takes while it is handled, as a multiple of its length: the
/// message, the decoded text, the records of entry and owner, and the encoded commands.
const STATEMENT_COPIES: usize = 8;
/// Time for which work waits for connections that are being closed to give back their
/// bytes.
const ROOM_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which waiting work looks for connections to close, which takes a look at
/// all of them.
const EVICTION_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a connection that waits for room looks for it.
pub const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest time between two log lines for one reason.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Default time for a message to arrive whole: 1 MiB at 150 kbit/s.
const MESSAGE_TIME: Duration = Duration::from_mins(1);
/// Default time without progress of a write to a caller.
const WRITE_STALL_TIME: Duration = Duration::from_mins(1);
/// Memory that is assumed if the machine's is not known: that of the smallest hosts.
const MEMORY_BYTES_ASSUMED: usize = 160 << 20;
/// Descriptors that are assumed if the process's limit is not known.
const DESCRIPTORS_ASSUMED: usize = 1024;

/// Prepared statements of one session. Callers use some hundreds.
pub const PREPARED_MAX: usize = 2048;
/// Bytes of the prepared statements of one session: several of the largest size.
pub const PREPARED_BYTES_MAX: usize = 4 << 20;
/// Values of one session. Callers use some dozens.
pub const VALUES_MAX: usize = 1024;
/// Bytes of the values of one session: more than one of the largest size. They are sent
/// with each statement.
pub const VALUES_BYTES_MAX: usize = 2 << 20;

/// Limits of a host on what its clients hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory of the machine, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may open.
    pub descriptors: usize,
    /// Time for a message that has begun to arrive whole.
    pub message_time: Duration,
    /// Time without progress of a write to a caller.
    pub write_stall_time: Duration,
}

impl Default for ClientLimits {
    /// The limits of the machine and of the process.
    fn default() -> Self {
        let info = sysinfo();
        let memory = u64::from(info.mem_unit).saturating_mul(info.totalram as u64);
        let descriptors = getrlimit(Resource::Nofile).current;
        Self {
            memory_bytes: usize::try_from(memory).unwrap_or(MEMORY_BYTES_ASSUMED),
            descriptors: descriptors
                .and_then(|limit| usize::try_from(limit).ok())
                .unwrap_or(DESCRIPTORS_ASSUMED),
            message_time: MESSAGE_TIME,
            write_stall_time: WRITE_STALL_TIME,
        }
    }
}

impl ClientLimits {
    /// Bytes of the budget for clients.
    #[must_use]
    pub fn budget_bytes(&self) -> usize {
        self.memory_bytes / 100 * BUDGET_PERCENT
    }

    /// Bytes of records that the store does not have yet.
    #[must_use]
    pub fn record_bytes(&self) -> usize {
        self.memory_bytes / 100 * RECORDS_PERCENT
    }

    /// Callers that may be connected at the same time.
    #[must_use]
    pub fn callers(&self) -> usize {
        let reserved = RESERVED_DESCRIPTORS.min(self.descriptors / RESERVED_DIVISOR);
        (self.descriptors - reserved).max(1)
    }
}

/// Why a client was refused or its connection closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClientFault {
    /// The descriptors for callers are in use.
    TooManyCallers,
    /// It sent no startup message, and others need its descriptor.
    NoStartup,
    /// A message did not arrive whole in time.
    MessageTime,
    /// It does not read its answers.
    WriteStall,
    /// Its connection holds most of the memory.
    HoldsMost,
    /// There is no memory left for its statement.
    NoMemory,
    /// Its session has too many prepared statements or values.
    SessionLimit,
}

impl ClientFault {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::TooManyCallers => "too_many_callers",
            Self::NoStartup => "no_startup",
            Self::MessageTime => "message_time",
            Self::WriteStall => "write_stall",
            Self::HoldsMost => "holds_most",
            Self::NoMemory => "no_memory",
            Self::SessionLimit => "session_limit",
        }
    }

    /// Whether the connection is closed; otherwise a statement is refused.
    #[must_use]
    pub fn closes(self) -> bool {
        !matches!(self, Self::NoMemory | Self::SessionLimit)
    }
}

/// Tells a connection that it has to close.
#[derive(Debug, Default)]
pub struct ClosingSignal {
    fault: OnceLock<ClientFault>,
    changed: Event,
}

impl ClosingSignal {
    fn close(&self, fault: ClientFault) {
        if self.fault.set(fault).is_ok() {
            self.changed.notify(usize::MAX);
        }
    }

    /// Waits until the connection has to close.
    pub async fn wait(&self) -> ClientFault {
        loop {
            let listener = self.changed.listen();
            if let Some(fault) = self.fault.get() {
                return *fault;
            }
            listener.await;
        }
    }
}

#[derive(Debug, Default)]
struct CallerTable {
    open: usize,
    /// Of the open ones, those that were told to close for want of a startup message.
    closing: usize,
    next_id: u64,
    /// Connections without a startup message, oldest first.
    unstarted: BTreeMap<u64, Arc<ClosingSignal>>,
}

/// Whether a new connection of a caller is taken.
#[derive(Debug)]
pub enum CallerAdmission {
    /// It is.
    Taken(CallerSlot),
    /// An older one is being closed; its place is free in a moment.
    Wait,
    /// All places are taken by sessions.
    Refused,
}

/// Counts what the clients of a host hold, and limits it.
#[derive(Debug)]
pub struct ClientControl {
    limits: ClientLimits,
    budget: Arc<MemoryBudget>,
    callers: Mutex<CallerTable>,
    lines: Mutex<HashMap<ClientFault, (Instant, u64)>>,
    faults: Counter<u64>,
    held_bytes: Gauge<f64>,
    open_callers: Gauge<f64>,
}

impl ClientControl {
    /// Creates a control without clients, with its metrics in `registry`.
    #[must_use]
    pub fn new(limits: ClientLimits, registry: &MetricRegistry) -> Arc<Self> {
        Arc::new(Self {
            limits,
            budget: MemoryBudget::new(limits.budget_bytes()),
            callers: Mutex::default(),
            lines: Mutex::default(),
            faults: registry.counter(
                "fulmarrill_client_faults",
                "Clients refused or closed, by action and reason",
            ),
            held_bytes: registry.gauge(
                "fulmarrill_client_bytes",
                "Bytes held for clients, by class",
            ),
            open_callers: registry.gauge("fulmarrill_callers", "Open connections of callers"),
        })
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the budget.
    #[must_use]
    pub fn budget(&self) -> &Arc<MemoryBudget> {
        &self.budget
    }

    fn callers(&self) -> MutexGuard<'_, CallerTable> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the gauges.
    pub fn record_gauges(&self) {
        // Exact up to 2^53.
        #[expect(clippy::cast_precision_loss, reason = "bytes of one process")]
        for class in ByteClass::ALL {
            let labels = [KeyValue::new("class", class.name())];
            self.held_bytes
                .record(self.budget.held(class) as f64, &labels);
        }
        #[expect(clippy::cast_precision_loss, reason = "descriptors of one process")]
        self.open_callers.record(self.callers().open as f64, &[]);
    }

    /// Counts a client that was refused or closed, with at most one log line a second
    /// for each reason.
    pub fn report(&self, fault: ClientFault) {
        let action = if fault.closes() { "closed" } else { "refused" };
        let labels = [
            KeyValue::new("action", action),
            KeyValue::new("reason", fault.name()),
        ];
        self.faults.add(1, &labels);
        let now = Instant::now();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let (written_at, left_out) = lines.entry(fault).or_insert_with(|| {
            let long_ago = now.checked_sub(LINE_INTERVAL).unwrap_or(now);
            (long_ago, 0)
        });
        if now.saturating_duration_since(*written_at) < LINE_INTERVAL {
            *left_out += 1;
            return;
        }
        let count = std::mem::take(left_out) + 1;
        *written_at = now;
        drop(lines);
        log::warn!(reason = fault.name(), count = count; "clients were {action}");
    }

    /// Admits a new connection of a caller. If all places are taken, the connection that
    /// has sent no startup message for longest is closed.
    pub fn admit(self: &Arc<Self>) -> CallerAdmission {
        let mut callers = self.callers();
        if callers.open >= self.limits.callers() {
            if callers.open - callers.closing < self.limits.callers() {
                return CallerAdmission::Wait;
            }
            let Some((_, oldest)) = callers.unstarted.pop_first() else {
                return CallerAdmission::Refused;
            };
            oldest.close(ClientFault::NoStartup);
            callers.closing += 1;
            return CallerAdmission::Wait;
        }
        callers.open += 1;
        callers.next_id += 1;
        let id = callers.next_id;
        let closing = Arc::new(ClosingSignal::default());
        callers.unstarted.insert(id, closing.clone());
        drop(callers);
        let signal = closing.clone();
        let account = self
            .budget
            .open_account(move || signal.close(ClientFault::HoldsMost));
        CallerAdmission::Taken(CallerSlot {
            control: self.clone(),
            id,
            closing,
            account,
        })
    }

    /// Takes the bytes of work that has not begun. Lower ranks are refused first, and the
    /// connections that hold most are closed for small work of the most urgent rank.
    pub async fn hold_work(
        &self,
        rank: RankIndex,
        bytes: usize,
        account: Option<&Arc<Account>>,
    ) -> Option<BudgetGuard> {
        let mut guard = self.budget.hold(ByteClass::Waiting, account);
        let needed = bytes.saturating_mul(STATEMENT_COPIES);
        let is_urgent = rank == 0 && bytes <= SMALL_BYTES;
        let is_refused = self.budget.level() >= PressureLevel::Severe && !is_urgent;
        if !is_refused && grow(&self.budget, &mut guard, needed).await.is_ok() {
            return Some(guard);
        }
        self.report(ClientFault::NoMemory);
        None
    }

    /// Takes the bytes of work that came from another host; work that continues a
    /// transaction is taken in any case.
    pub async fn hold_peer_work(&self, request: &WorkRequest) -> Option<BudgetGuard> {
        let bytes = request.memory_bytes();
        if matches!(request.step, WorkStep::Continue(_)) {
            let mut guard = self.budget.hold(ByteClass::Waiting, None);
            guard.set(bytes.saturating_mul(STATEMENT_COPIES));
            return Some(guard);
        }
        self.hold_work(request.rank, bytes, None).await
    }
}

/// Grows a guard to `bytes`. If they do not fit, closes connections that hold more, and
/// waits a moment for their bytes.
///
/// # Errors
///
/// If there is still no room.
pub async fn grow(
    budget: &MemoryBudget,
    guard: &mut BudgetGuard,
    bytes: usize,
) -> Result<(), OverBudget> {
    let until = Instant::now() + ROOM_TIMEOUT;
    let mut evict_at = Instant::now();
    loop {
        let Err(error) = guard.grow_to(bytes) else {
            return Ok(());
        };
        let added = bytes - guard.bytes();
        if added > budget.limit() || Instant::now() >= until {
            return Err(error);
        }
        let now = Instant::now();
        if now >= evict_at {
            budget.make_room(added, bytes.max(SMALL_BYTES));
            evict_at = now + EVICTION_INTERVAL;
        }
        Timer::after(ROOM_POLL_INTERVAL).await;
    }
}

/// The place of a caller's connection. It is free again when this is dropped.
#[derive(Debug)]
pub struct CallerSlot {
    control: Arc<ClientControl>,
    id: u64,
    closing: Arc<ClosingSignal>,
    account: Arc<Account>,
}

impl CallerSlot {
    /// Returns the signal that ends the connection.
    #[must_use]
    pub fn closing(&self) -> &Arc<ClosingSignal> {
        &self.closing
    }

    /// Returns the account of the connection's bytes.
    #[must_use]
    pub fn account(&self) -> &Arc<Account> {
        &self.account
    }

    /// Notes that the startup message has come.
    pub fn mark_started(&self) {
        self.control.callers().unstarted.remove(&self.id);
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        let mut callers = self.control.callers();
        callers.unstarted.remove(&self.id);
        callers.open -= 1;
        if self.closing.fault.get() == Some(&ClientFault::NoStartup) {
            callers.closing -= 1;
        }
    }
}
