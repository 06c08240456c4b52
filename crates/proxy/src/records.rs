//! Records of customers' requests.
//!
//! The entry records each request when it ends, in a journal that is written to
//! the store in compressed segments. Until then a second host holds a copy: an
//! owner keeps the record of each request that it ran for another host, a little
//! longer than that host needs to write its journal, and adds it to its own
//! journal if that host ends first. This needs no extra message. Records that no
//! owner on another host holds are copied to another host once a second; a copy
//! that fails is not repeated. Records are lost only if their host ends before it
//! has copied or written them, or together with the host that holds the copy.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use compact_str::CompactString;
use fulmarrill_ownership::rank_hosts;
use fulmarrill_position::DatabaseName;
use fulmarrill_records::{
    JournalRecord, JournalSegment, RecordLimit, RequestJournal, RequestOutcome,
};
use fulmarrill_schedule::RankIndex;
use futures_lite::future::Boxed;
use smol::Timer;

use crate::catalogue::{HostEntry, HostName, RunName};
use crate::codec::ErrorKind;
use crate::context::SharedContext;
use crate::peers::ProxyCall;
use crate::work::{WorkAnswer, WorkRequest};

/// Time between two writes of the journal. At the fleet size expected in two
/// years, one call per host in this time makes 190 calls per second, and the
/// store handles several hundred.
const FLUSH_INTERVAL: Duration = Duration::from_secs(20);
/// Time between two attempts while the store does not accept the journal.
const RETRY_INTERVAL: Duration = Duration::from_secs(8);
/// Time between two copies of records that no other host holds.
const COPY_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one copy, shorter than [`COPY_INTERVAL`].
const COPY_TIMEOUT: Duration = Duration::from_millis(800);
/// Bytes of pending records at which a segment is cut early. Compressed they take
/// at most as many, and a third more when encoded as text: half of what the store
/// accepts.
const SEGMENT_BYTES_MAX: usize = 384 << 10;
/// Time for which a host holds the copy of a record: long enough for the other
/// host to flush it after several failed attempts.
const COPY_HOLD_TIME: Duration = Duration::from_secs(45);
/// Time without work after a host's link has closed, after which its run is
/// considered ended: a live host sets up another link within a second. If the run
/// is alive all the same, its requests are journaled twice and exported once.
const RECONNECT_TIME: Duration = Duration::from_secs(5);
/// Limit of the bytes of records held while the store does not accept them. The
/// smallest hosts have 160 MB of memory.
const HELD_BYTES_MAX: usize = 24 << 20;
/// Share of the limit that copies for other hosts may take, as a divisor. The oldest are
/// dropped beyond it: their hosts have most likely written them.
const COPIES_DIVISOR: usize = 2;
/// Number of ranks that the limit distinguishes.
const RANKS: usize = 3;

/// Writes one segment to the store. Returns whether the store has it.
pub type SegmentWriter = Box<dyn Fn(Arc<JournalSegment>) -> Boxed<bool> + Send + Sync>;

/// Milliseconds since 1970 by this host's clock.
fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A clock before 1970 counts as 1970; a journal does not order by this time.
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// A request that has ended.
#[derive(Debug, Clone, Copy)]
pub struct EndedRequest<'a> {
    /// Customer on whose behalf it was sent.
    pub customer: &'a CompactString,
    /// Endpoint of the session.
    pub endpoint: &'a CompactString,
    /// The caller's identifier.
    pub id: &'a CompactString,
    /// Text of the request, with prepared statements resolved.
    pub statement: &'a CompactString,
    /// Error that the caller was sent; none for a success.
    pub error: Option<ErrorKind>,
    /// Whether it was sent to an owner on another host.
    pub sent_to_peer: bool,
}

/// Outcome of a request, from the error that its caller was sent.
fn outcome_of(error: Option<ErrorKind>) -> RequestOutcome {
    match error {
        None | Some(ErrorKind::Failed) => RequestOutcome::Served,
        Some(ErrorKind::InDoubt | ErrorKind::TimedOut) => RequestOutcome::Unknown,
        Some(_) => RequestOutcome::NotRun,
    }
}

/// Parts of a request that an owner copies into the record that it holds for the
/// requesting host.
#[derive(Debug, Clone)]
pub struct RequestCopy {
    customer: CompactString,
    database: DatabaseName,
    id: CompactString,
    statement: CompactString,
}

impl RequestCopy {
    /// Copies the parts from a request that is about to run.
    #[must_use]
    pub fn new(request: &WorkRequest) -> Self {
        Self {
            customer: request.customer.clone(),
            database: request.database.clone(),
            id: request.statement.id(),
            statement: request.statement.text(),
        }
    }
}

/// Records held for one run of another host.
#[derive(Debug)]
struct RunCopies {
    host: HostName,
    /// Records, each with the moment until which it is held.
    records: VecDeque<(Instant, JournalRecord)>,
    /// Approximate size of the records, in bytes.
    bytes: usize,
    /// When the run is considered ended, unless it sends more work or records.
    ends_at: Option<Instant>,
}

impl RunCopies {
    fn drop_oldest(&mut self) {
        if let Some((_, dropped)) = self.records.pop_front() {
            self.bytes -= dropped.memory_bytes();
        }
    }
}

/// Records of which no other host holds a copy yet.
#[derive(Debug, Default)]
struct UncopiedRecords {
    records: Vec<JournalRecord>,
    bytes: usize,
}

/// The journal of this host, and the copies that it holds for other hosts.
#[derive(Debug)]
pub struct RecordKeeper {
    journal: Mutex<RequestJournal>,
    uncopied: Mutex<UncopiedRecords>,
    copies: Mutex<HashMap<RunName, RunCopies>>,
    /// Limit of the bytes held until the store has the records.
    held_bytes_max: usize,
}

impl RecordKeeper {
    /// Creates an empty keeper for a run of this host.
    #[must_use]
    pub fn new(run: &RunName) -> Self {
        Self {
            journal: Mutex::new(RequestJournal::new(run)),
            uncopied: Mutex::default(),
            copies: Mutex::default(),
            held_bytes_max: HELD_BYTES_MAX,
        }
    }

    /// Lowers the limit of the held bytes on a machine with little memory.
    #[must_use]
    pub fn with_memory(mut self, bytes: usize) -> Self {
        self.held_bytes_max = bytes.min(HELD_BYTES_MAX);
        self
    }

    fn journal(&self) -> MutexGuard<'_, RequestJournal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn copies(&self) -> MutexGuard<'_, HashMap<RunName, RunCopies>> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request of a session of this host to the journal. One that did not run is
    /// left out if the journal is full: otherwise refusals would fill the memory.
    pub fn record_request(&self, request: &EndedRequest<'_>) {
        let is_not_run = outcome_of(request.error) == RequestOutcome::NotRun;
        if is_not_run && self.held_bytes() >= self.held_bytes_max {
            return;
        }
        let record = JournalRecord {
            at_ms: now_ms(),
            customer: request.customer.clone(),
            endpoint: request.endpoint.clone(),
            id: request.id.clone(),
            statement: request.statement.clone(),
            outcome: outcome_of(request.error),
            error: request.error.map_or("", ErrorKind::name).into(),
            noted_for: CompactString::default(),
        };
        // An owner holds only requests that may have run.
        let is_held_by_owner = request.sent_to_peer && record.outcome != RequestOutcome::NotRun;
        if !is_held_by_owner {
            let mut uncopied = self.uncopied();
            uncopied.bytes += record.memory_bytes();
            uncopied.records.push(record.clone());
        }
        self.append(record);
    }

    fn uncopied(&self) -> MutexGuard<'_, UncopiedRecords> {
        self.uncopied.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes and returns the records that are to be copied to another host.
    #[must_use]
    pub fn take_uncopied(&self) -> Vec<JournalRecord> {
        std::mem::take(&mut *self.uncopied()).records
    }

    fn append(&self, record: JournalRecord) {
        let mut journal = self.journal();
        journal.append(record);
        if journal.pending_bytes() >= SEGMENT_BYTES_MAX {
            cut_segment(&mut journal);
        }
    }

    /// Approximate size of the records that are not written or not copied, in bytes.
    fn held_bytes(&self) -> usize {
        let uncopied = self.uncopied().bytes;
        self.journal().held_bytes() + uncopied
    }

    /// Whether a request of this rank must be shed, since the journal already holds
    /// too many bytes for the rank.
    #[must_use]
    pub fn refuses(&self, rank: RankIndex) -> bool {
        RecordLimit::new(self.held_bytes_max).refuses(self.held_bytes(), rank, RANKS)
    }

    /// Holds the record of a request that ran for another host, whose link is open.
    pub fn hold_copy(
        &self,
        host: &HostEntry,
        now: Instant,
        request: RequestCopy,
        answer: &WorkAnswer,
    ) {
        let outcome = match answer {
            WorkAnswer::Served { .. } | WorkAnswer::Failed { .. } => RequestOutcome::Served,
            WorkAnswer::Unknown => RequestOutcome::Unknown,
            // The host may send it to another owner.
            WorkAnswer::NotRun(_) => return,
        };
        let record = JournalRecord {
            at_ms: now_ms(),
            customer: request.customer,
            endpoint: request.database,
            id: request.id,
            statement: request.statement,
            outcome,
            error: CompactString::default(),
            noted_for: CompactString::default(),
        };
        self.hold_copies(host, now, vec![record]);
    }

    /// Holds copies of records of another host, whose link is open.
    pub fn hold_copies(&self, host: &HostEntry, now: Instant, records: Vec<JournalRecord>) {
        let mut copies = self.copies();
        let held = copies.entry(host.run.clone()).or_insert_with(|| RunCopies {
            host: host.name.clone(),
            records: VecDeque::new(),
            bytes: 0,
            ends_at: None,
        });
        held.ends_at = None;
        for mut record in records {
            record.noted_for.clone_from(&host.run);
            held.bytes += record.memory_bytes();
            held.records.push_back((now + COPY_HOLD_TIME, record));
        }
        let mut total: usize = copies.values().map(|held| held.bytes).sum();
        while total > self.held_bytes_max / COPIES_DIVISOR
            && let Some(largest) = copies.values_mut().max_by_key(|held| held.bytes)
        {
            let before = largest.bytes;
            largest.drop_oldest();
            total -= before - largest.bytes;
        }
    }

    /// Handles the closing of a link from a host: its runs are considered ended
    /// after a time for reconnecting, unless they send more work or records.
    pub fn handle_link_closed(&self, host: &str, now: Instant) {
        for held in self.copies().values_mut() {
            if held.host == host {
                held.ends_at.get_or_insert(now + RECONNECT_TIME);
            }
        }
    }

    /// Drops copies whose time is over, and adds to this host's journal those of
    /// runs that have ended, which may not have written them.
    pub fn expire_copies(&self, now: Instant) {
        let mut ended = Vec::new();
        let mut copies = self.copies();
        for held in copies.values_mut() {
            if held.ends_at.is_some_and(|ends_at| now >= ends_at) {
                ended.extend(held.records.drain(..));
                held.bytes = 0;
            }
            while held.records.front().is_some_and(|(until, _)| now >= *until) {
                held.drop_oldest();
            }
        }
        copies.retain(|_, held| !held.records.is_empty());
        drop(copies);
        if !ended.is_empty() {
            log::info!(
                "added {} records of ended hosts to this host's journal",
                ended.len()
            );
        }
        for (_, record) in ended {
            self.append(record);
        }
    }

    /// Writes all records of the journal. Returns whether the store has them all.
    pub async fn flush(&self, write: &SegmentWriter) -> bool {
        cut_segment(&mut self.journal());
        loop {
            let Some(segment) = self.journal().oldest_unwritten() else {
                return true;
            };
            if !write(segment.clone()).await {
                return false;
            }
            self.journal().remove_written(&segment);
        }
    }

    /// State of the keeper for the state dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let copies: usize = self.copies().values().map(|held| held.records.len()).sum();
        serde_json::json!({
            "held_bytes": self.journal().held_bytes(),
            "witnessed": copies,
        })
    }
}

fn cut_segment(journal: &mut RequestJournal) {
    if let Err(error) = journal.seal_segment() {
        log::error!("records cannot be packed into a segment: {error}");
    }
}

/// Writes the journal periodically, for as long as the task lives.
pub async fn run_journal_flush(context: SharedContext, write: SegmentWriter) {
    // Spreads the writes of hosts that start together.
    Timer::after(FLUSH_INTERVAL.mul_f64(fastrand::f64())).await;
    loop {
        let is_written = context.records.flush(&write).await;
        let interval = if is_written {
            FLUSH_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        Timer::after(interval).await;
    }
}

/// Address of the host that copies are sent to: the first one in rendezvous order
/// of this data centre, or of the region if it has no other host.
fn copy_target(context: &SharedContext) -> Option<CompactString> {
    let view = context.view.load();
    let place = &context.place;
    let others = view
        .hosts
        .values()
        .filter(|host| host.name != place.host && !context.peers.is_avoided(&host.address));
    let mut found: Option<&HostEntry> = None;
    for name in rank_hosts(&place.host, others.map(|host| host.name.as_str())) {
        let Some(host) = view.hosts.get(name) else {
            continue;
        };
        if host.data_centre == place.data_centre {
            return Some(host.address.clone());
        }
        if host.region == place.region {
            found = found.or(Some(host));
        }
    }
    found.map(|host| host.address.clone())
}

/// Copies the records that no other host holds, for as long as the task lives.
pub async fn run_record_copies(context: SharedContext) {
    loop {
        Timer::after(COPY_INTERVAL).await;
        let records = context.records.take_uncopied();
        if records.is_empty() {
            continue;
        }
        let Some(address) = copy_target(&context) else {
            continue;
        };
        let deadline = Instant::now() + COPY_TIMEOUT;
        let count = records.len();
        let call = ProxyCall::Copy(records);
        if let Err(error) = context.peers.call(&address, call, deadline).await {
            log::warn!("{count} records were not copied and are held by this host alone: {error}");
        }
    }
}
