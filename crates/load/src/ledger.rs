//! What callers were told about each write, and whether it was true.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use thiserror::Error;

/// What a caller was told about a write.
#[derive(Debug, Clone, PartialEq, Eq)]
enum WriteOutcome {
    Acknowledged,
    /// With what the caller was told.
    NotRun(CompactString),
    Unknown,
}

/// Something that a caller was told and that is not true.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LedgerFault {
    /// An acknowledged write is not in the database.
    #[error("write {0} was acknowledged and is lost")]
    Lost(CompactString),
    /// A write is in the database more than once.
    #[error("write {0} is in the database {1} times")]
    Duplicated(CompactString, usize),
    /// A write that was said not to have run is in the database.
    #[error("write {0} was said not to have run ({1}) and is in the database")]
    RanDespiteRefusal(CompactString, CompactString),
}

impl LedgerFault {
    /// Id of the write.
    #[must_use]
    pub fn id(&self) -> &str {
        match self {
            Self::Lost(id) | Self::Duplicated(id, _) | Self::RanDespiteRefusal(id, _) => id,
        }
    }
}

/// The writes of a run.
#[derive(Debug, Default)]
pub struct WriteLedger {
    outcomes: Mutex<BTreeMap<CompactString, WriteOutcome>>,
}

impl WriteLedger {
    /// An empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<CompactString, WriteOutcome>> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes an acknowledgement.
    pub fn record_acknowledged(&self, id: &str) {
        self.lock().insert(id.into(), WriteOutcome::Acknowledged);
    }

    /// Notes a refusal.
    pub fn record_not_run(&self, id: &str, message: &str) {
        self.lock()
            .insert(id.into(), WriteOutcome::NotRun(message.into()));
    }

    /// Notes that nothing is known.
    pub fn record_unknown(&self, id: &str) {
        self.lock().insert(id.into(), WriteOutcome::Unknown);
    }

    /// Number of acknowledged writes.
    #[must_use]
    pub fn acknowledged(&self) -> usize {
        self.lock()
            .values()
            .filter(|outcome| **outcome == WriteOutcome::Acknowledged)
            .count()
    }

    /// Compares with the ids that the database holds, each as often as it
    /// stands there.
    #[must_use]
    pub fn compare(&self, held: &[CompactString]) -> Vec<LedgerFault> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for id in held {
            *counts.entry(id).or_default() += 1;
        }
        let mut faults = Vec::new();
        for (id, outcome) in self.lock().iter() {
            let count = counts.get(id.as_str()).copied().unwrap_or(0);
            if count > 1 {
                faults.push(LedgerFault::Duplicated(id.clone(), count));
            }
            match outcome {
                WriteOutcome::Acknowledged if count == 0 => {
                    faults.push(LedgerFault::Lost(id.clone()));
                }
                WriteOutcome::NotRun(message) if count > 0 => {
                    faults.push(LedgerFault::RanDespiteRefusal(id.clone(), message.clone()));
                }
                _ => {}
            }
        }
        faults
    }
}
