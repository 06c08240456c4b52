//! The journal of one host: the requests of all customers in one hash chain.
//!
//! One chain per customer costs a hash and a header per customer and flush.
//! Where a host serves thousands of customers with few requests each, it is
//! cheaper to chain compressed blocks that hold the requests of all customers.
//! A customer's records are then filtered from the blocks, and the chain of a run
//! reveals a block that was altered, dropped or replaced. Blocks missing at the end
//! of a chain are not detected.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::record::{ChainHash, RequestOutcome, initial_hash};
use crate::segment::{RecordFault, SegmentError};

/// One request and its outcome, as the host of the journal recorded it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalRecord {
    /// Milliseconds since 1970 by the clock of the host that recorded it.
    pub at_ms: u64,
    /// Customer that sent the request.
    pub customer: CompactString,
    /// Endpoint that the request was sent to.
    pub endpoint: CompactString,
    /// The caller's identifier of the request.
    pub id: CompactString,
    /// Text of the request, with names of prepared statements resolved.
    pub statement: CompactString,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Kind of the error sent to the caller; empty for none.
    pub error: CompactString,
    /// Run of the host that received the request, if it ended before it wrote
    /// its own journal and another host recorded the request; otherwise empty.
    pub noted_for: CompactString,
}

impl JournalRecord {
    /// Approximate size of the record in memory, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>()
            + self.customer.len()
            + self.endpoint.len()
            + self.id.len()
            + self.statement.len()
    }
}

/// Wire type of [`JournalRecord`], in blocks and between hosts: its fields in
/// order, without names.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireRecord(
    u64,
    CompactString,
    CompactString,
    CompactString,
    CompactString,
    RequestOutcome,
    CompactString,
    CompactString,
);

impl From<JournalRecord> for WireRecord {
    fn from(record: JournalRecord) -> Self {
        Self(
            record.at_ms,
            record.customer,
            record.endpoint,
            record.id,
            record.statement,
            record.outcome,
            record.error,
            record.noted_for,
        )
    }
}

impl From<WireRecord> for JournalRecord {
    fn from(wire: WireRecord) -> Self {
        let WireRecord(at_ms, customer, endpoint, id, statement, outcome, error, noted_for) = wire;
        Self {
            at_ms,
            customer,
            endpoint,
            id,
            statement,
            outcome,
            error,
            noted_for,
        }
    }
}

/// Consecutive records of a journal, as the store holds them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalSegment {
    /// Run of the host that wrote the segment.
    pub run: CompactString,
    /// Number of the first record.
    pub first_sequence: u64,
    /// Number of records.
    pub count: u64,
    /// Hash that precedes the block.
    pub start_hash: ChainHash,
    /// Hash of the block and of the chain before it.
    pub end_hash: ChainHash,
    /// The records, serialized as CBOR and compressed with LZ4.
    pub block: Vec<u8>,
}

impl JournalSegment {
    fn pack(
        run: &CompactString,
        first_sequence: u64,
        start_hash: ChainHash,
        records: &[JournalRecord],
    ) -> Result<Self, SegmentError> {
        let wire: Vec<WireRecord> = records.iter().cloned().map(WireRecord::from).collect();
        let mut bytes = Vec::new();
        ciborium::into_writer(&wire, &mut bytes)
            .map_err(|error| SegmentError::Block(error.to_string().into()))?;
        let block = lz4_flex::compress_prepend_size(&bytes);
        let count = records.len() as u64;
        let end_hash = block_hash(&start_hash, first_sequence, count, &block);
        Ok(Self {
            run: run.clone(),
            first_sequence,
            count,
            start_hash,
            end_hash,
            block,
        })
    }

    /// Decompresses and deserializes the records.
    ///
    /// # Errors
    ///
    /// When the block is damaged.
    pub fn records(&self) -> Result<Vec<JournalRecord>, SegmentError> {
        let bytes = lz4_flex::decompress_size_prepended(&self.block)?;
        // No text is longer than the block.
        let mut scratch = vec![0; bytes.len()];
        let mut reading = bytes.as_slice();
        let wire: Vec<WireRecord> =
            ciborium::de::from_reader_with_buffer(&mut reading, &mut scratch)
                .map_err(|error| SegmentError::Block(error.to_string().into()))?;
        Ok(wire.into_iter().map(JournalRecord::from).collect())
    }

    /// Number of the record after the last.
    #[must_use]
    pub fn next_sequence(&self) -> u64 {
        self.first_sequence + self.count
    }
}

fn block_hash(start: &ChainHash, first_sequence: u64, count: u64, block: &[u8]) -> ChainHash {
    let mut digest = Sha256::new();
    digest.update(start);
    digest.update(first_sequence.to_be_bytes());
    digest.update(count.to_be_bytes());
    digest.update(block);
    digest.finalize().into()
}

/// Hash that precedes the first block of a run.
fn run_hash(run: &str) -> ChainHash {
    initial_hash(run, "")
}

/// Appends records to the journal of one run of a host, and holds its segments
/// until the store has them.
#[derive(Debug)]
pub struct RequestJournal {
    run: CompactString,
    next_sequence: u64,
    last_hash: ChainHash,
    pending: Vec<JournalRecord>,
    pending_bytes: usize,
    unwritten: VecDeque<Arc<JournalSegment>>,
    unwritten_bytes: usize,
}

impl RequestJournal {
    /// Creates an empty journal for `run`.
    #[must_use]
    pub fn new(run: &str) -> Self {
        Self {
            run: run.into(),
            next_sequence: 1,
            last_hash: run_hash(run),
            pending: Vec::new(),
            pending_bytes: 0,
            unwritten: VecDeque::new(),
            unwritten_bytes: 0,
        }
    }

    /// Appends a record to the pending ones.
    pub fn append(&mut self, record: JournalRecord) {
        self.pending_bytes += record.memory_bytes();
        self.pending.push(record);
    }

    /// Approximate size of everything that the store does not have yet, in
    /// bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.pending_bytes + self.unwritten_bytes
    }

    /// Approximate size of the records that are not in a segment yet, in bytes.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Packs the pending records into a segment, if there are any.
    ///
    /// # Errors
    ///
    /// When they cannot be packed; they stay pending.
    pub fn seal_segment(&mut self) -> Result<(), SegmentError> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let segment =
            JournalSegment::pack(&self.run, self.next_sequence, self.last_hash, &self.pending)?;
        self.next_sequence = segment.next_sequence();
        self.last_hash = segment.end_hash;
        self.unwritten_bytes += segment.block.len();
        self.unwritten.push_back(Arc::new(segment));
        self.pending = Vec::new();
        self.pending_bytes = 0;
        Ok(())
    }

    /// Returns the oldest segment that the store does not have.
    #[must_use]
    pub fn oldest_unwritten(&self) -> Option<Arc<JournalSegment>> {
        self.unwritten.front().cloned()
    }

    /// Removes a segment that the store has. Does nothing if it was removed
    /// before.
    pub fn remove_written(&mut self, segment: &Arc<JournalSegment>) {
        let position = self
            .unwritten
            .iter()
            .position(|other| Arc::ptr_eq(other, segment));
        if let Some(written) = position.and_then(|position| self.unwritten.remove(position)) {
            self.unwritten_bytes -= written.block.len();
        }
    }
}

/// Verifies the segments of journals, which must come in the order of their
/// records within each run.
#[derive(Debug, Default)]
pub struct JournalVerifier {
    /// Per run, the number of the next record and the hash before it.
    heads: BTreeMap<CompactString, (u64, ChainHash)>,
}

impl JournalVerifier {
    /// Creates a verifier that has seen no segment.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Verifies the next segment of its run. The segment becomes the end of the
    /// chain even if it is faulty.
    ///
    /// # Errors
    ///
    /// The fault of the segment; those after it can still be verified.
    pub fn check(&mut self, segment: &JournalSegment) -> Result<(), RecordFault> {
        let run = segment.run.clone();
        let start = (1, run_hash(&run));
        let (next, hash) = self.heads.get(&run).copied().unwrap_or(start);
        let head = (segment.next_sequence(), segment.end_hash);
        self.heads.insert(run.clone(), head);
        let first = segment.first_sequence;
        let expected = block_hash(&segment.start_hash, first, segment.count, &segment.block);
        if expected != segment.end_hash {
            let last = segment.next_sequence().saturating_sub(1);
            return Err(RecordFault::Altered {
                host: run,
                first,
                last,
            });
        }
        if first > next {
            let last = first - 1;
            return Err(RecordFault::Missing {
                host: run,
                first: next,
                last,
            });
        }
        if first != next || segment.start_hash != hash {
            return Err(RecordFault::Broken { host: run, first });
        }
        Ok(())
    }

    /// Per run, the number of the last record that was seen.
    pub fn heads(&self) -> impl Iterator<Item = (&CompactString, u64)> {
        self.heads.iter().map(|(run, (next, _))| (run, next - 1))
    }
}
