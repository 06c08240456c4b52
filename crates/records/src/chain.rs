//! The hash chain of one customer's requests on one run of a host.

use compact_str::CompactString;

use crate::record::{ChainHash, RequestRecord, chain_hash, initial_hash};
use crate::segment::RecordSegment;

/// Appends records to a hash chain and splits it into segments.
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
    /// Creates an empty chain. `host` names one run of a host, so that a
    /// restarted host begins a new chain.
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

    /// Appends a record and returns its sequence number.
    pub fn append(&mut self, record: RequestRecord) -> u64 {
        let sequence = self.next_sequence;
        self.last_hash = chain_hash(&self.last_hash, sequence, &record);
        self.pending_bytes += record.memory_bytes();
        self.pending.push(record);
        self.next_sequence += 1;
        sequence
    }

    /// Moves the pending records into a segment; `None` if there are none.
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

    /// Approximate size of the pending records in memory, in bytes.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Number of pending records.
    #[must_use]
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }
}
