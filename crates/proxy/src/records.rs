//! Customers' records of their requests.
//!
//! The entry notes each request as it ends, in a journal that goes to the store
//! in compressed blocks. Until then a second host has it as well: the owner that
//! ran it keeps what it ran for each other host a little longer than that host
//! needs to write its journal, and notes it in its own if that host ends first.
//! That costs no message of its own. What went to no other host is copied to a
//! neighbour once a second. Lost are only requests of hosts that end within that
//! second, or together with the host that has the copy.

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

/// Time between two writes of the journal. At the two-year size one call a host
/// in this time is 190 a second, and the store takes several hundred.
const FLUSH_INTERVAL: Duration = Duration::from_secs(20);
/// Time between two tries while the store does not take the journal.
const RETRY_INTERVAL: Duration = Duration::from_secs(8);
/// Time between two copies of what no other host has seen.
const COPY_INTERVAL: Duration = Duration::from_secs(1);
/// Time for one copy; the next one does not wait for it.
const COPY_TIME: Duration = Duration::from_millis(800);
/// Bytes of records after which a segment is cut early. Packed they are at most
/// as many, and written as text a third more: half of what the store takes.
const SEGMENT_BYTES: usize = 384 << 10;
/// Time for which an owner keeps what it ran for another host: a flush that
/// fails several times.
const WITNESS_TIME: Duration = Duration::from_secs(45);
/// Time without work after the link of a host has closed, after which the host
/// counts as ended: one that lives sets up another link within a second. If it
/// lives all the same its requests are noted twice and exported once.
const SILENT_TIME: Duration = Duration::from_secs(5);
/// Bytes of records held while the store does not take them. The smallest hosts
/// have 160 MB.
const HELD_LIMIT: usize = 24 << 20;
/// Ranks that the limit tells apart.
const RANKS: usize = 3;

/// Writes one segment; says whether the store has it.
pub type SegmentWriter = Box<dyn Fn(Arc<JournalSegment>) -> Boxed<bool> + Send + Sync>;

/// Milliseconds since 1970 by this host's clock.
fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A clock before 1970 is told as 1970; the order of a journal is its own.
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// A request that has ended.
#[derive(Debug, Clone, Copy)]
pub struct EndedRequest<'a> {
    /// Customer.
    pub customer: &'a CompactString,
    /// Endpoint.
    pub endpoint: &'a CompactString,
    /// The caller's identifier.
    pub id: &'a CompactString,
    /// The request, with prepared names resolved.
    pub statement: &'a CompactString,
    /// What the caller was told; none for a success.
    pub error: Option<ErrorKind>,
    /// Whether the owner on another host was asked to run it.
    pub went_to_other: bool,
}

/// How a request ended, from what its caller was told.
fn outcome_of(error: Option<ErrorKind>) -> RequestOutcome {
    match error {
        None | Some(ErrorKind::Failed) => RequestOutcome::Served,
        Some(ErrorKind::InDoubt | ErrorKind::TimedOut) => RequestOutcome::Unknown,
        Some(_) => RequestOutcome::NotRun,
    }
}

/// What an owner needs of a request to keep it for its entry.
#[derive(Debug, Clone)]
pub struct WitnessNote {
    customer: CompactString,
    database: DatabaseName,
    id: CompactString,
    statement: CompactString,
}

impl WitnessNote {
    /// The note of a request that is about to run.
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

/// What an owner ran for one run of another host.
#[derive(Debug)]
struct WitnessedRun {
    host: HostName,
    /// Records, and until when each is kept.
    records: VecDeque<(Instant, JournalRecord)>,
    /// When the run counts as ended, unless it sends more work.
    ends_at: Option<Instant>,
}

/// The journal of this host, and what it ran for others.
#[derive(Debug)]
pub struct RecordKeeper {
    journal: Mutex<RequestJournal>,
    /// Records that no other host has yet.
    unshared: Mutex<Vec<JournalRecord>>,
    witnessed: Mutex<HashMap<RunName, WitnessedRun>>,
}

impl RecordKeeper {
    /// An empty keeper of this run of a host.
    #[must_use]
    pub fn new(run: &RunName) -> Self {
        Self {
            journal: Mutex::new(RequestJournal::new(run)),
            unshared: Mutex::default(),
            witnessed: Mutex::default(),
        }
    }

    fn journal(&self) -> MutexGuard<'_, RequestJournal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn witnessed(&self) -> MutexGuard<'_, HashMap<RunName, WitnessedRun>> {
        self.witnessed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a request of a session of this host.
    pub fn note(&self, request: &EndedRequest<'_>) {
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
        // An owner keeps only what may have run.
        let is_witnessed = request.went_to_other && record.outcome != RequestOutcome::NotRun;
        if !is_witnessed {
            self.unshared().push(record.clone());
        }
        self.append(record);
    }

    fn unshared(&self) -> MutexGuard<'_, Vec<JournalRecord>> {
        self.unshared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the records that no other host has.
    #[must_use]
    pub fn take_unshared(&self) -> Vec<JournalRecord> {
        std::mem::take(&mut *self.unshared())
    }

    fn append(&self, record: JournalRecord) {
        let mut journal = self.journal();
        journal.append(record);
        if journal.pending_bytes() >= SEGMENT_BYTES {
            cut(&mut journal);
        }
    }

    /// Whether there is no room for the record of a request of this rank.
    #[must_use]
    pub fn refuses(&self, rank: RankIndex) -> bool {
        let held = self.journal().held_bytes();
        RecordLimit::new(HELD_LIMIT).refuses(held, rank, RANKS)
    }

    /// Keeps what was run for another host, on a link from it that is open.
    pub fn witness(&self, host: &HostEntry, now: Instant, note: WitnessNote, answer: &WorkAnswer) {
        let outcome = match answer {
            WorkAnswer::Served { .. } | WorkAnswer::Failed { .. } => RequestOutcome::Served,
            WorkAnswer::Unknown => RequestOutcome::Unknown,
            // The host may have it run elsewhere.
            WorkAnswer::NotRun(_) => return,
        };
        let record = JournalRecord {
            at_ms: now_ms(),
            customer: note.customer,
            endpoint: note.database,
            id: note.id,
            statement: note.statement,
            outcome,
            error: CompactString::default(),
            noted_for: CompactString::default(),
        };
        self.hold_copies(host, now, vec![record]);
    }

    /// Keeps records of another host, on a link from it that is open.
    pub fn hold_copies(&self, host: &HostEntry, now: Instant, records: Vec<JournalRecord>) {
        let mut witnessed = self.witnessed();
        let held = witnessed
            .entry(host.run.clone())
            .or_insert_with(|| WitnessedRun {
                host: host.name.clone(),
                records: VecDeque::new(),
                ends_at: None,
            });
        held.ends_at = None;
        for mut record in records {
            record.noted_for.clone_from(&host.run);
            held.records.push_back((now + WITNESS_TIME, record));
        }
    }

    /// Notes that a link from a host has closed: unless it sends more work, it
    /// has ended.
    pub fn note_link_closed(&self, host: &str, now: Instant) {
        for held in self.witnessed().values_mut() {
            if held.host == host {
                held.ends_at.get_or_insert(now + SILENT_TIME);
            }
        }
    }

    /// Forgets what other hosts have written by now, and notes what those that
    /// have ended may not have written.
    pub fn upkeep(&self, now: Instant) {
        let mut ended = Vec::new();
        let mut witnessed = self.witnessed();
        for held in witnessed.values_mut() {
            if held.ends_at.is_some_and(|ends_at| now >= ends_at) {
                ended.extend(held.records.drain(..));
            }
            while held.records.front().is_some_and(|(until, _)| now >= *until) {
                held.records.pop_front();
            }
        }
        witnessed.retain(|_, held| !held.records.is_empty());
        drop(witnessed);
        if !ended.is_empty() {
            log::info!(
                "{} requests of hosts that have ended are noted here",
                ended.len()
            );
        }
        for (_, record) in ended {
            self.append(record);
        }
    }

    /// Writes everything that is held. Says whether the store has it all.
    pub async fn flush(&self, write: &SegmentWriter) -> bool {
        cut(&mut self.journal());
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

    /// The state of the keeper, for the dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let witnessed: usize = self
            .witnessed()
            .values()
            .map(|held| held.records.len())
            .sum();
        serde_json::json!({
            "held_bytes": self.journal().held_bytes(),
            "witnessed": witnessed,
        })
    }
}

fn cut(journal: &mut RequestJournal) {
    if let Err(error) = journal.seal_segment() {
        log::error!("records cannot be packed: {error}");
    }
}

/// Writes the journal from time to time, for as long as the task lives.
pub async fn run_records(context: SharedContext, write: SegmentWriter) {
    // Hosts that start together shall not write together.
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

/// The host that gets copies: the first one in line of the own data centre, or of
/// the region if there is no other.
fn neighbour(context: &SharedContext) -> Option<CompactString> {
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

/// Copies what no other host has to a neighbour, for as long as the task lives.
pub async fn run_copies(context: SharedContext) {
    loop {
        Timer::after(COPY_INTERVAL).await;
        let records = context.records.take_unshared();
        if records.is_empty() {
            continue;
        }
        let Some(address) = neighbour(&context) else {
            continue;
        };
        let deadline = Instant::now() + COPY_TIME;
        let count = records.len();
        let call = ProxyCall::Copy(records);
        if let Err(error) = context.peers.call(&address, call, deadline).await {
            log::warn!("{count} records are held by this host alone: {error}");
        }
    }
}
