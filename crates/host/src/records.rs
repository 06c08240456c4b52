//! The plug-in that keeps the records of requests, by customer.
//!
//! A record is appended to the hash chain of its customer on this host and
//! copied to a host in another data centre, for which the answer to the request
//! waits at most `COPY_WAIT`. Segments of the chains are written to the store in
//! batches, after which this host and the other one drop them. If a host is
//! gone, the host that holds its copies writes them to the store.

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
use fulmarrill_runtime::timeout_at;
use serde_json::Value;
use smol::Timer;

use crate::context::SharedContext;
use crate::kernel::HostPlugin;

/// Kind of the objects that hold segments of records.
pub const RECORD_KIND: &str = "record";
/// Time between two rounds of writing to the store.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for one write to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for one attempt to copy records to another host.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which an answer waits for its record to be copied, and for
/// which copying is attempted.
const COPY_WAIT: Duration = Duration::from_secs(1);
/// Maximum size of the segments in one object, as estimated by their weight;
/// the store accepts less than a megabyte.
const OBJECT_BYTES_MAX: usize = 300_000;
/// Weight of the unwritten segments at which requests of every rank are
/// refused; less urgent ranks are refused earlier.
const UNWRITTEN_BYTES_MAX: usize = 64 << 20;
/// Time for which copies of a host that is gone are left for it to write.
const ORPHAN_GRACE_TIME: Duration = Duration::from_secs(5);

inventory::submit! { HostPlugin::new("records", start) }

fn start(context: SharedContext) -> Vec<smol::Task<()>> {
    vec![
        fulmarrill_runtime::spawn(copy_loop(context.clone())),
        fulmarrill_runtime::spawn(flush_loop(context)),
    ]
}

/// The current time in milliseconds since the Unix epoch.
#[must_use]
pub fn now_ms() -> u64 {
    let age = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// A copy of a segment of another host.
#[derive(Debug)]
struct HeldCopy {
    segment: RecordSegment,
    held_since: Instant,
}

#[derive(Debug, Default)]
struct BufferInner {
    chains: HashMap<CompactString, RecordChain>,
    /// Segments cut from the chains and not yet written to the store, oldest
    /// first.
    unwritten: Vec<Arc<RecordSegment>>,
    /// Total weight of the unwritten segments.
    unwritten_bytes: usize,
    /// Number of records appended, and how many of them the copy loop has
    /// handled.
    appended: u64,
    copied: u64,
    copies: Vec<HeldCopy>,
    /// Host run, customer and last sequence number that were written to the
    /// store, for the host that holds copies.
    stored: Vec<(CompactString, CompactString, u64)>,
}

/// Records of one host that are not all in the store, and copies for other
/// hosts.
#[derive(Debug, Default)]
pub struct RecordBuffer {
    inner: Mutex<BufferInner>,
    appended: Event,
    copied: Event,
}

impl RecordBuffer {
    /// A buffer without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, BufferInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record and returns the number of records appended so far.
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

    /// Whether the buffer is too full for the record of a request of this rank,
    /// out of `ranks`.
    #[must_use]
    pub fn is_full_for(&self, rank: usize, ranks: usize) -> bool {
        let held = self.lock().unwritten_bytes;
        RecordLimit::new(UNWRITTEN_BYTES_MAX).refuses(held, rank, ranks)
    }

    /// Stores copies for another host and drops those that are in the store.
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
                Err(error) => log::error!("cannot unpack the copy of a record segment: {error}"),
            }
        }
    }

    /// State of the buffer, for the state dump.
    #[must_use]
    pub fn dump(&self) -> Value {
        let inner = self.lock();
        serde_json::json!({
            "customers": inner.chains.len(),
            "appended": inner.appended,
            "copied": inner.copied,
            "segments_unwritten": inner.unwritten.len(),
            "bytes_unwritten": inner.unwritten_bytes,
            "copies_held": inner.copies.len(),
        })
    }
}

/// Appends a record and waits, for at most `COPY_WAIT`, until the copy loop has
/// copied it or given up.
pub async fn append_replicated(context: &SharedContext, customer: &str, record: RequestRecord) {
    let buffer = &context.records;
    let number = buffer.append(&context.run_name, customer, record);
    let deadline = Instant::now() + COPY_WAIT;
    loop {
        let listener = buffer.copied.listen();
        if buffer.lock().copied >= number {
            return;
        }
        if timeout_at(deadline, listener).await.is_err() {
            log::warn!("record was not copied to another host in time");
            return;
        }
    }
}

/// The host that holds copies for this one: a host in another data centre that
/// is not suspected, preferably in this region, the first in rendezvous order.
/// `None` if there is no such host.
fn choose_copy_holder(context: &SharedContext) -> Option<HostEntry> {
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
    // Data centres of this region come first, since the link between regions is
    // slow.
    let pool = if near.is_empty() { others } else { near };
    let ranked = fulmarrill_ownership::rank_hosts(&own.host, pool);
    ranked
        .first()
        .and_then(|name| view.hosts.get(name))
        .cloned()
}

/// Copies appended records to another host, many in one call.
async fn copy_loop(context: SharedContext) {
    let buffer = &context.records;
    loop {
        let listener = buffer.appended.listen();
        if !copy_once(&context).await {
            timeout_at(Instant::now() + FLUSH_INTERVAL, listener)
                .await
                .ok();
        }
    }
}

/// Cuts and copies pending records. Returns whether there was anything to copy
/// or to report as stored.
async fn copy_once(context: &SharedContext) -> bool {
    let buffer = &context.records;
    let (segments, last_copied, stored) = {
        let mut inner = buffer.lock();
        let mut segments = Vec::new();
        for chain in inner.chains.values_mut() {
            segments.extend(chain.take_segment().map(Arc::new));
        }
        inner.unwritten_bytes += segments
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
    buffer.lock().copied = last_copied;
    buffer.copied.notify(usize::MAX);
    true
}

async fn send_copies(context: &SharedContext, batch: RecordBatch) {
    let deadline = Instant::now() + COPY_WAIT;
    while Instant::now() < deadline {
        let Some(copy_holder) = choose_copy_holder(context) else {
            return;
        };
        let call = PeerCall::Records(batch.clone());
        let call_until = deadline.min(Instant::now() + COPY_TIMEOUT);
        let reply = context
            .peers
            .call(&copy_holder.peer_address, call, call_until)
            .await;
        if matches!(reply, Ok(PeerReply::Done)) {
            return;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    log::warn!(
        "no other host accepted a copy of {} record segments",
        batch.segments.len()
    );
}

async fn flush_loop(context: SharedContext) {
    loop {
        Timer::after(FLUSH_INTERVAL).await;
        flush_unwritten(&context).await;
        flush_orphans(&context).await;
    }
}

/// Copies and writes all remaining records, before this host ends.
pub(crate) async fn flush_all(context: &SharedContext) {
    copy_once(context).await;
    flush_unwritten(context).await;
}

/// Writes cut segments to the store, many in one object, until all are written
/// or a write fails.
async fn flush_unwritten(context: &SharedContext) {
    let buffer = &context.records;
    loop {
        let batch = take_object_batch(&buffer.lock().unwritten);
        if batch.is_empty() || !write_object(context, &batch).await {
            return;
        }
        let mut inner = buffer.lock();
        let weight = remove_written(&mut inner.unwritten, &batch);
        inner.unwritten_bytes = inner.unwritten_bytes.saturating_sub(weight);
        for segment in &batch {
            let last = segment.next_sequence() - 1;
            inner
                .stored
                .push((segment.host.clone(), segment.customer.clone(), last));
        }
    }
}

/// The oldest segments that fit into one object; at least one, if there is any.
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

/// Name of the object for these segments, made from the host run, the sequence
/// number and the customer of the first one, so that a repeated write does not
/// create a second object.
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
            log::error!("cannot serialize records: {error}");
            return false;
        }
    };
    let key = ObjectKey::new(RECORD_KIND, &name);
    let deadline = Instant::now() + STORE_TIMEOUT;
    match context.platform.put(&key, 0, value, deadline).await {
        // A conflict is taken as an earlier write of the same batch whose
        // answer was lost.
        Ok(PutResult::Written(_) | PutResult::Conflict(_)) => true,
        Err(error) => {
            log::debug!("cannot write records to the store: {error}");
            false
        }
    }
}

/// Writes the copies held for hosts that are gone to the store.
async fn flush_orphans(context: &SharedContext) {
    let view = context.view.load();
    let orphans: Vec<Arc<RecordSegment>> = {
        let inner = context.records.lock();
        let mut orphans = Vec::new();
        for copy in &inner.copies {
            let host = copy.segment.host.split('~').next().unwrap_or_default();
            let alive = view.hosts.get(host).is_some();
            if !alive && copy.held_since.elapsed() > ORPHAN_GRACE_TIME {
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
