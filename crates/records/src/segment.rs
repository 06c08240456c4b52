//! Segments of chains, as the store holds them, and their verification.

use std::sync::Arc;

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::record::{ChainHash, RequestRecord, chain_hash, initial_hash};

/// Consecutive records of one chain.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct RecordSegment {
    /// Run of the host that wrote the segment.
    pub host: CompactString,
    /// Customer whose requests it holds.
    pub customer: CompactString,
    /// Number of the first record.
    pub first_sequence: u64,
    /// Hash that precedes the first record.
    pub start_hash: ChainHash,
    /// Hash of the last record.
    pub end_hash: ChainHash,
    /// Records, in the order of the chain.
    pub records: Vec<RequestRecord>,
}

/// Why a segment cannot be packed or unpacked.
#[derive(Debug, Error)]
pub enum SegmentError {
    /// The compressed form is damaged.
    #[error("segment cannot be decompressed: {0}")]
    Compression(#[from] lz4_flex::block::DecompressError),
    /// The content is not a serialized segment.
    #[error("segment cannot be read: {0}")]
    Form(#[from] serde_json::Error),
    /// A block of a journal cannot be serialized or deserialized.
    #[error("journal block cannot be serialized or deserialized: {0}")]
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

    /// Decompresses and deserializes a segment packed by
    /// [`RecordSegment::pack`].
    ///
    /// # Errors
    ///
    /// When the bytes are damaged.
    pub fn unpack(bytes: &[u8]) -> Result<Self, SegmentError> {
        let bytes = lz4_flex::decompress_size_prepended(bytes)?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Approximate size of the records in memory, in bytes.
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

/// Where the verification of a chain failed.
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
    /// Records are missing before a segment.
    #[error("chain of {host}: records {first} to {last} are missing")]
    Missing {
        /// Run of the host.
        host: CompactString,
        /// First missing record.
        first: u64,
        /// Last missing record.
        last: u64,
    },
    /// The start of a segment does not match the end of the one before it.
    #[error("chain of {host}: the segment at record {first} does not follow the one before it")]
    Broken {
        /// Run of the host.
        host: CompactString,
        /// First record of the segment.
        first: u64,
    },
}

/// The verified records of one customer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VerifiedRecords {
    /// Records with the run of the host that wrote them, chain by chain.
    pub records: Vec<(CompactString, RequestRecord)>,
    /// Per run of a host, the number and the hash of its last record.
    pub heads: BTreeMap<CompactString, (u64, ChainHash)>,
}

/// Removes segments that the store has and returns their size in memory, in
/// bytes.
///
/// Segments are compared by identity rather than counted, because two
/// concurrent flushes may have written the same segments, and the second must
/// not remove those that were added after them.
pub fn remove_written(held: &mut Vec<Arc<RecordSegment>>, written: &[Arc<RecordSegment>]) -> usize {
    let mut removed_bytes = 0;
    held.retain(|segment| {
        let is_kept = !written.iter().any(|other| Arc::ptr_eq(other, segment));
        removed_bytes += if is_kept { 0 } else { segment.memory_bytes() };
        is_kept
    });
    removed_bytes
}

/// Verifies the chains of one customer, except that records missing at the end of
/// a chain are not detected. The same segment may occur twice, for instance from a
/// host and from the host that holds its copies.
///
/// # Errors
///
/// The first fault found, in the order of runs and records.
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
