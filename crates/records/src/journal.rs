//! The journal of one host: the requests of all customers in one chain.
//!
//! A chain for each customer costs a hash and a header for each customer and
//! flush. Where a host serves thousands of customers a little each, it is
//! cheaper to chain compressed blocks that hold whatever came meanwhile. A
//! customer's record is what the blocks have of it, and the chains prove that
//! none of them was altered, dropped or exchanged.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::record::{ChainHash, RequestOutcome, initial_hash};
use crate::segment::{RecordFault, SegmentError};

/// One request, as the host of the journal saw it end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalRecord {
    /// Milliseconds since 1970 by the clock of the host that noted it.
    pub at_ms: u64,
    /// Customer.
    pub customer: CompactString,
    /// Endpoint that was asked.
    pub endpoint: CompactString,
    /// The caller's identifier of the request.
    pub id: CompactString,
    /// The request, with prepared names resolved.
    pub statement: CompactString,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Kind of the error that the caller was told; empty for none.
    pub error: CompactString,
    /// Run of the host that took the request, if it ended before it wrote its
    /// own journal and another host noted the request for it; empty for none.
    pub noted_for: CompactString,
}

impl JournalRecord {
    /// Bytes that the record takes in memory, about.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>()
            + self.customer.len()
            + self.endpoint.len()
            + self.id.len()
            + self.statement.len()
    }
}

/// [`JournalRecord`] in a block and between hosts: its fields in order, without
/// names.
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

/// A stretch of a journal, as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalSegment {
    /// Run of the host that wrote it.
    pub run: CompactString,
    /// Number of the first record.
    pub first_sequence: u64,
    /// Number of records.
    pub count: u64,
    /// Hash that the block follows.
    pub start_hash: ChainHash,
    /// Hash of the block and everything before it.
    pub end_hash: ChainHash,
    /// The records, packed and compressed.
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

    /// The records.
    ///
    /// # Errors
    ///
    /// When the block is damaged.
    pub fn records(&self) -> Result<Vec<JournalRecord>, SegmentError> {
        let bytes = lz4_flex::decompress_size_prepended(&self.block)?;
        let wire: Vec<WireRecord> = ciborium::from_reader(bytes.as_slice())
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

/// The hash that the first block of a run follows.
fn run_hash(run: &str) -> ChainHash {
    initial_hash(run, "")
}

/// The journal of one run of a host while it grows.
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
    /// An empty journal.
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

    /// Appends a record.
    pub fn append(&mut self, record: JournalRecord) {
        self.pending_bytes += record.memory_bytes();
        self.pending.push(record);
    }

    /// Bytes held for the store, about.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.pending_bytes + self.unwritten_bytes
    }

    /// Bytes of records that are not in a segment yet, about.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Makes a segment of what is pending.
    ///
    /// # Errors
    ///
    /// When it cannot be packed; the records stay pending.
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

    /// The oldest segment that the store does not have.
    #[must_use]
    pub fn oldest_unwritten(&self) -> Option<Arc<JournalSegment>> {
        self.unwritten.front().cloned()
    }

    /// Forgets a segment that the store has.
    pub fn remove_written(&mut self, segment: &Arc<JournalSegment>) {
        let place = self
            .unwritten
            .iter()
            .position(|other| Arc::ptr_eq(other, segment));
        if let Some(written) = place.and_then(|place| self.unwritten.remove(place)) {
            self.unwritten_bytes -= written.block.len();
        }
    }
}

/// Checks segments as they are read, run by run in the order of their records.
#[derive(Debug, Default)]
pub struct JournalVerifier {
    heads: BTreeMap<CompactString, (u64, ChainHash)>,
}

impl JournalVerifier {
    /// A verifier that has read nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Checks the next segment of its run and goes on behind it.
    ///
    /// # Errors
    ///
    /// What is wrong with it; the segments behind it can still be checked.
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

    /// Per run, the number of the last record that was read.
    pub fn heads(&self) -> impl Iterator<Item = (&CompactString, u64)> {
        self.heads.iter().map(|(run, (next, _))| (run, next - 1))
    }
}
