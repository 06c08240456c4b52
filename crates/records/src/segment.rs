//! A stretch of one chain, as the store holds it.

use std::sync::Arc;

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::record::{ChainHash, RequestRecord, chain_hash, initial_hash};

/// Records that follow each other in one chain.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct RecordSegment {
    /// Run of the host that wrote it.
    pub host: CompactString,
    /// Customer.
    pub customer: CompactString,
    /// Number of the first record.
    pub first_sequence: u64,
    /// Hash that the first record follows.
    pub start_hash: ChainHash,
    /// Hash of the last record.
    pub end_hash: ChainHash,
    /// The records.
    pub records: Vec<RequestRecord>,
}

/// A segment that cannot be packed or unpacked.
#[derive(Debug, Error)]
pub enum SegmentError {
    /// The compressed form is damaged.
    #[error("segment cannot be decompressed: {0}")]
    Compression(#[from] lz4_flex::block::DecompressError),
    /// The content has another form.
    #[error("segment cannot be read: {0}")]
    Form(#[from] serde_json::Error),
    /// A block of a journal has another form, or cannot be made.
    #[error("block of a journal: {0}")]
    Block(CompactString),
}

impl RecordSegment {
    /// Serializes and compresses the segment.
    ///
    /// # Errors
    ///
    /// When it cannot be serialized.
    pub fn pack(&self) -> Result<Vec<u8>, SegmentError> {
        let bytes = serde_json::to_vec(self)?;
        Ok(lz4_flex::compress_prepend_size(&bytes))
    }

    /// Reads what [`RecordSegment::pack`] wrote.
    ///
    /// # Errors
    ///
    /// When the bytes are damaged.
    pub fn unpack(bytes: &[u8]) -> Result<Self, SegmentError> {
        let bytes = lz4_flex::decompress_size_prepended(bytes)?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Bytes that the records take in memory, about.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.records.iter().map(RequestRecord::memory_bytes).sum()
    }

    /// Number of the record after the last.
    #[must_use]
    pub fn next_sequence(&self) -> u64 {
        self.first_sequence + self.records.len() as u64
    }

    fn verify(&self) -> Result<(), RecordFault> {
        let mut hash = self.start_hash;
        for (index, record) in self.records.iter().enumerate() {
            hash = chain_hash(&hash, self.first_sequence + index as u64, record);
        }
        if hash != self.end_hash {
            return Err(RecordFault::Altered {
                host: self.host.clone(),
                first: self.first_sequence,
                last: self.next_sequence().saturating_sub(1),
            });
        }
        Ok(())
    }
}

/// Where a customer's record is not whole.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordFault {
    /// A record was altered, dropped or swapped inside a segment.
    #[error("chain of {host}: a record among {first} to {last} was altered, dropped or swapped")]
    Altered {
        /// Run of the host.
        host: CompactString,
        /// First record of the segment.
        first: u64,
        /// Last record of the segment.
        last: u64,
    },
    /// Records are missing between two segments.
    #[error("chain of {host}: records {first} to {last} are missing")]
    Missing {
        /// Run of the host.
        host: CompactString,
        /// First record missing.
        first: u64,
        /// Last record missing.
        last: u64,
    },
    /// A segment does not follow the one before it.
    #[error("chain of {host}: the segment at record {first} does not follow the one before it")]
    Broken {
        /// Run of the host.
        host: CompactString,
        /// First record of the segment.
        first: u64,
    },
}

/// A customer's whole record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VerifiedRecords {
    /// Run of a host and record, in the order of the chains.
    pub records: Vec<(CompactString, RequestRecord)>,
    /// Per run of a host, the number and hash of the last record.
    pub heads: BTreeMap<CompactString, (u64, ChainHash)>,
}

/// Removes segments that were written, and returns what they weighed, in bytes.
///
/// By identity and not by count: two flushes may have written the same
/// segments, and the second one must not remove what came after them.
pub fn remove_written(held: &mut Vec<Arc<RecordSegment>>, written: &[Arc<RecordSegment>]) -> usize {
    let mut weight = 0;
    held.retain(|segment| {
        let stays = !written.iter().any(|other| Arc::ptr_eq(other, segment));
        weight += if stays { 0 } else { segment.memory_bytes() };
        stays
    });
    weight
}

/// Checks the chains of one customer. The same segment may come twice, as from
/// a host and from its witness.
///
/// # Errors
///
/// The first place where a chain is not whole.
pub fn verify_segments(segments: &[RecordSegment]) -> Result<VerifiedRecords, RecordFault> {
    let mut ordered: Vec<&RecordSegment> = segments.iter().collect();
    ordered.sort_by(|a, b| {
        let key = |segment: &RecordSegment| (segment.host.clone(), segment.first_sequence);
        key(a).cmp(&key(b))
    });
    let mut verified = VerifiedRecords::default();
    for segment in ordered {
        segment.verify()?;
        let start = (1, initial_hash(&segment.host, &segment.customer));
        let (next, hash) = match verified.heads.get(&segment.host) {
            Some((last, hash)) => (last + 1, *hash),
            None => start,
        };
        if segment.next_sequence() <= next {
            continue;
        }
        if segment.first_sequence > next {
            let host = segment.host.clone();
            return Err(RecordFault::Missing {
                host,
                first: next,
                last: segment.first_sequence - 1,
            });
        }
        if segment.first_sequence != next || segment.start_hash != hash {
            return Err(RecordFault::Broken {
                host: segment.host.clone(),
                first: segment.first_sequence,
            });
        }
        for record in &segment.records {
            verified
                .records
                .push((segment.host.clone(), record.clone()));
        }
        let head = (segment.next_sequence() - 1, segment.end_hash);
        verified.heads.insert(segment.host.clone(), head);
    }
    Ok(verified)
}
