//! The plug-in that keeps the customers' records of requests.
//!
//! A record is appended to this host's chain for its customer and copied to a
//! host in another data centre before the answer leaves. Segments go to the
//! store in batches; what the store has is dropped here and there. When a host
//! is gone, whoever holds its copies writes them to the store in its place.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use compact_str::{CompactString, format_compact};
use event_listener::Event;
use fulmarrill_objects::{ObjectKey, PutResult};
use fulmarrill_ownership::HostEntry;
use fulmarrill_peer::{PeerCall, PeerReply, RecordBatch};
use fulmarrill_records::{RecordChain, RecordLimit, RecordSegment, RequestRecord, remove_written};
use fulmarrill_runtime::before;
use serde_json::Value;
use smol::Timer;

use crate::context::SharedContext;
use crate::kernel::HostPlugin;

/// Kind of the objects that hold segments of records.
pub const RECORD_KIND: &str = "record";
/// Time between two rounds of writing to the store.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Time for one write to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for copying records to the second host.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that an answer waits for its record to be held by two hosts.
const COPY_WAIT: Duration = Duration::from_secs(1);
/// Packed bytes of one object; the store takes less than a megabyte.
const OBJECT_BYTES_MAX: usize = 300_000;
/// Bytes of records held at most while the store does not take them.
const HELD_LIMIT: usize = 64 << 20;
/// Time for which copies of a host that is gone are left to it.
const ORPHAN_TIME: Duration = Duration::from_secs(5);

inventory::submit! { HostPlugin::new("records", start) }

fn start(context: SharedContext) -> Vec<smol::Task<()>> {
    vec![
        fulmarrill_runtime::spawn(copy_loop(context.clone())),
        fulmarrill_runtime::spawn(flush_loop(context)),
    ]
}

/// Milliseconds since 1970.
#[must_use]
pub fn now_ms() -> u64 {
    let age = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// A segment held for another host.
#[derive(Debug)]
struct HeldCopy {
    segment: RecordSegment,
    held_since: Instant,
}

#[derive(Debug, Default)]
struct KeeperInner {
    chains: HashMap<CompactString, RecordChain>,
    /// Segments cut and not yet written to the store, oldest first.
    unwritten: Vec<Arc<RecordSegment>>,
    /// Bytes that these take.
    unwritten_weight: usize,
    /// Number of records appended, and of those held by a second host.
    appended: u64,
    copied: u64,
    copies: Vec<HeldCopy>,
    /// What the store holds, for the hosts that have copies.
    stored: Vec<(CompactString, CompactString, u64)>,
}

/// The records of one host.
#[derive(Debug, Default)]
pub struct RecordKeeper {
    inner: Mutex<KeeperInner>,
    appended: Event,
    copied: Event,
}

impl RecordKeeper {
    /// A keeper without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, KeeperInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record and returns how many there are now.
    fn append(&self, run_name: &str, customer: &str, record: RequestRecord) -> u64 {
        let mut inner = self.lock();
        let chain = inner
            .chains
            .entry(customer.into())
            .or_insert_with(|| RecordChain::new(run_name, customer));
        chain.append(record);
        inner.appended += 1;
        let count = inner.appended;
        drop(inner);
        self.appended.notify(usize::MAX);
        count
    }

    /// Whether there is no room for the record of a request of this rank.
    #[must_use]
    pub fn refuses(&self, rank: usize, ranks: usize) -> bool {
        let held = self.lock().unwritten_weight;
        RecordLimit::new(HELD_LIMIT).refuses(held, rank, ranks)
    }

    /// Holds copies for another host and drops those that the store has.
    pub fn hold_copies(&self, batch: &RecordBatch) {
        let mut inner = self.lock();
        for (host, customer, last) in &batch.stored {
            inner.copies.retain(|copy| {
                let segment = &copy.segment;
                let of_chain = segment.host == *host && segment.customer == *customer;
                !of_chain || segment.next_sequence() > last + 1
            });
        }
        for packed in &batch.segments {
            match RecordSegment::unpack(packed) {
                Ok(segment) => {
                    inner.copies.push(HeldCopy {
                        segment,
                        held_since: Instant::now(),
                    });
                }
                Err(error) => log::error!("copy of records refused: {error}"),
            }
        }
    }

    /// The state of the keeper, for the dump.
    #[must_use]
    pub fn dump(&self) -> Value {
        let inner = self.lock();
        serde_json::json!({
            "customers": inner.chains.len(),
            "appended": inner.appended,
            "copied": inner.copied,
            "segments_unwritten": inner.unwritten.len(),
            "bytes_unwritten": inner.unwritten_weight,
            "copies_held": inner.copies.len(),
        })
    }
}

/// Keeps a record; returns once a second host holds it too, if there is one
/// that can.
pub async fn keep(context: &SharedContext, customer: &str, record: RequestRecord) {
    let keeper = &context.records;
    let number = keeper.append(&context.run_name, customer, record);
    let deadline = Instant::now() + COPY_WAIT;
    loop {
        let listener = keeper.copied.listen();
        if keeper.lock().copied >= number {
            return;
        }
        if before(deadline, listener).await.is_err() {
            log::warn!("record is held by this host alone");
            return;
        }
    }
}

/// The host that holds copies for this one: live, in another data centre if
/// there is any, the same one as long as it lives.
fn choose_witness(context: &SharedContext) -> Option<HostEntry> {
    let view = context.view.load();
    let own = &context.settings;
    let mut others = Vec::new();
    let mut near = Vec::new();
    for host in view.hosts.iter() {
        if host.name == own.host {
            continue;
        }
        if host.data_centre == own.data_centre {
            continue;
        }
        if host.region == own.region {
            near.push(host.name.as_str());
        } else {
            others.push(host.name.as_str());
        }
    }
    // The region's own data centres first: the link between regions is slow.
    let pool = if near.is_empty() { others } else { near };
    let ranked = fulmarrill_ownership::rank_hosts(&own.host, pool);
    ranked
        .first()
        .and_then(|name| view.hosts.get(name))
        .cloned()
}

/// Copies appended records to the second host, many in one call.
async fn copy_loop(context: SharedContext) {
    let keeper = &context.records;
    loop {
        let listener = keeper.appended.listen();
        if !copy_once(&context).await {
            before(Instant::now() + FLUSH_INTERVAL, listener).await.ok();
        }
    }
}

/// Cuts and copies what is pending. Says whether there was anything.
async fn copy_once(context: &SharedContext) -> bool {
    let keeper = &context.records;
    let (segments, upto, stored) = {
        let mut inner = keeper.lock();
        let mut segments = Vec::new();
        for chain in inner.chains.values_mut() {
            segments.extend(chain.take_segment().map(Arc::new));
        }
        inner.unwritten_weight += segments
            .iter()
            .map(|segment| segment.memory_bytes())
            .sum::<usize>();
        inner.unwritten.extend(segments.iter().cloned());
        (segments, inner.appended, std::mem::take(&mut inner.stored))
    };
    if segments.is_empty() && stored.is_empty() {
        return false;
    }
    let mut packed = Vec::new();
    for segment in &segments {
        packed.extend(segment.pack().ok());
    }
    send_copies(
        context,
        RecordBatch {
            segments: packed,
            stored,
        },
    )
    .await;
    keeper.lock().copied = upto;
    keeper.copied.notify(usize::MAX);
    true
}

async fn send_copies(context: &SharedContext, batch: RecordBatch) {
    let deadline = Instant::now() + COPY_WAIT;
    while Instant::now() < deadline {
        let Some(witness) = choose_witness(context) else {
            return;
        };
        let call = PeerCall::Records(batch.clone());
        let call_until = deadline.min(Instant::now() + COPY_TIMEOUT);
        let reply = context
            .peers
            .call(&witness.peer_address, call, call_until)
            .await;
        if matches!(reply, Ok(PeerReply::Done)) {
            return;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    log::warn!(
        "no other host took a copy of {} segments",
        batch.segments.len()
    );
}

async fn flush_loop(context: SharedContext) {
    loop {
        Timer::after(FLUSH_INTERVAL).await;
        flush_written(&context).await;
        flush_orphans(&context).await;
    }
}

/// Writes everything that is left, before this host ends.
pub(crate) async fn flush_all(context: &SharedContext) {
    copy_once(context).await;
    flush_written(context).await;
}

/// Writes cut segments to the store, many in one object.
async fn flush_written(context: &SharedContext) {
    let keeper = &context.records;
    loop {
        let batch = take_object_batch(&keeper.lock().unwritten);
        if batch.is_empty() || !write_object(context, &batch).await {
            return;
        }
        let mut inner = keeper.lock();
        let weight = remove_written(&mut inner.unwritten, &batch);
        inner.unwritten_weight = inner.unwritten_weight.saturating_sub(weight);
        for segment in &batch {
            let last = segment.next_sequence() - 1;
            inner
                .stored
                .push((segment.host.clone(), segment.customer.clone(), last));
        }
    }
}

/// The oldest segments that fit into one object.
fn take_object_batch(unwritten: &[Arc<RecordSegment>]) -> Vec<Arc<RecordSegment>> {
    let mut batch = Vec::new();
    let mut bytes = 0;
    for segment in unwritten {
        bytes += segment.memory_bytes();
        if bytes > OBJECT_BYTES_MAX && !batch.is_empty() {
            break;
        }
        batch.push(segment.clone());
    }
    batch
}

/// The name of the object that holds these segments: it depends on what they
/// are, so that writing them twice is one object.
fn object_name(batch: &[Arc<RecordSegment>]) -> Option<CompactString> {
    let first = batch.first()?;
    let mut name = format_compact!("{}.{:012}.", first.host, first.first_sequence);
    for byte in first.customer.bytes() {
        let _ = write!(name, "{byte:02x}");
    }
    Some(name)
}

async fn write_object(context: &SharedContext, batch: &[Arc<RecordSegment>]) -> bool {
    let Some(name) = object_name(batch) else {
        return true;
    };
    let value = match serde_json::to_value(batch.iter().map(Arc::as_ref).collect::<Vec<_>>()) {
        Ok(value) => value,
        Err(error) => {
            log::error!("records cannot be serialized: {error}");
            return false;
        }
    };
    let key = ObjectKey::new(RECORD_KIND, &name);
    let deadline = Instant::now() + STORE_TIMEOUT;
    match context.platform.put(&key, 0, value, deadline).await {
        // The same name holds the same records: an answer was lost before.
        Ok(PutResult::Written(_) | PutResult::Conflict(_)) => true,
        Err(error) => {
            log::debug!("records cannot be written: {error}");
            false
        }
    }
}

/// Writes the copies of hosts that are gone.
async fn flush_orphans(context: &SharedContext) {
    let view = context.view.load();
    let orphans: Vec<Arc<RecordSegment>> = {
        let inner = context.records.lock();
        let mut orphans = Vec::new();
        for copy in &inner.copies {
            let host = copy.segment.host.split('~').next().unwrap_or_default();
            let alive = view.hosts.get(host).is_some();
            if !alive && copy.held_since.elapsed() > ORPHAN_TIME {
                orphans.push(Arc::new(copy.segment.clone()));
            }
        }
        orphans
    };
    for segment in orphans {
        if !write_object(context, std::slice::from_ref(&segment)).await {
            return;
        }
        let last = segment.next_sequence() - 1;
        let stored = vec![(segment.host.clone(), segment.customer.clone(), last)];
        context.records.hold_copies(&RecordBatch {
            segments: Vec::new(),
            stored,
        });
    }
}
