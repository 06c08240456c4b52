//! The chain of one host and customer while it grows.

use compact_str::CompactString;

use crate::record::{ChainHash, RequestRecord, chain_hash, initial_hash};
use crate::segment::RecordSegment;

/// Records of one customer on one host, not yet given to the store.
#[derive(Debug, Clone)]
pub struct RecordChain {
    host: CompactString,
    customer: CompactString,
    next_sequence: u64,
    start_hash: ChainHash,
    last_hash: ChainHash,
    pending: Vec<RequestRecord>,
    pending_bytes: usize,
}

impl RecordChain {
    /// An empty chain. `host` names one run of a host, so that a host that
    /// starts again begins a new chain.
    #[must_use]
    pub fn new(host: &str, customer: &str) -> Self {
        let hash = initial_hash(host, customer);
        Self {
            host: host.into(),
            customer: customer.into(),
            next_sequence: 1,
            start_hash: hash,
            last_hash: hash,
            pending: Vec::new(),
            pending_bytes: 0,
        }
    }

    /// Appends a record and returns its number.
    pub fn append(&mut self, record: RequestRecord) -> u64 {
        let sequence = self.next_sequence;
        self.last_hash = chain_hash(&self.last_hash, sequence, &record);
        self.pending_bytes += record.memory_bytes();
        self.pending.push(record);
        self.next_sequence += 1;
        sequence
    }

    /// Cuts off what is pending as a segment, if there is anything.
    pub fn take_segment(&mut self) -> Option<RecordSegment> {
        if self.pending.is_empty() {
            return None;
        }
        let records = std::mem::take(&mut self.pending);
        let segment = RecordSegment {
            host: self.host.clone(),
            customer: self.customer.clone(),
            first_sequence: self.next_sequence - records.len() as u64,
            start_hash: self.start_hash,
            end_hash: self.last_hash,
            records,
        };
        self.start_hash = self.last_hash;
        self.pending_bytes = 0;
        Some(segment)
    }

    /// Bytes that pending records take, about.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Number of records pending.
    #[must_use]
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }
}
