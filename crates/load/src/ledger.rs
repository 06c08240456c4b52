//! The outcome reported for each write, checked against the database.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use thiserror::Error;

/// The outcome of a write as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
enum WriteOutcome {
    Acknowledged,
    /// With the message of the refusal or error.
    NotRun(CompactString),
    Unknown,
}

/// A reported outcome that contradicts the database.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LedgerFault {
    /// An acknowledged write is not in the database.
    #[error("write {0} was acknowledged but is not in the database")]
    Lost(CompactString),
    /// A write is in the database more than once.
    #[error("write {0} is in the database {1} times")]
    Duplicated(CompactString, usize),
    /// A write that was reported as not run is in the database.
    #[error("write {0} was reported as not run ({1}) but is in the database")]
    RanDespiteRefusal(CompactString, CompactString),
}

impl LedgerFault {
    /// Id of the write concerned.
    #[must_use]
    pub fn id(&self) -> &str {
        match self {
            Self::Lost(id) | Self::Duplicated(id, _) | Self::RanDespiteRefusal(id, _) => id,
        }
    }
}

/// The reported outcomes of a run's writes, by write id.
#[derive(Debug, Default)]
pub struct WriteLedger {
    outcomes: Mutex<BTreeMap<CompactString, WriteOutcome>>,
}

impl WriteLedger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<CompactString, WriteOutcome>> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a write that was acknowledged.
    pub fn record_acknowledged(&self, id: &str) {
        self.lock().insert(id.into(), WriteOutcome::Acknowledged);
    }

    /// Records a write that was refused or failed, with the message.
    pub fn record_not_run(&self, id: &str, message: &str) {
        self.lock()
            .insert(id.into(), WriteOutcome::NotRun(message.into()));
    }

    /// Records a write whose outcome is unknown.
    pub fn record_unknown(&self, id: &str) {
        self.lock().insert(id.into(), WriteOutcome::Unknown);
    }

    /// Returns the number of acknowledged writes.
    #[must_use]
    pub fn acknowledged(&self) -> usize {
        self.lock()
            .values()
            .filter(|outcome| **outcome == WriteOutcome::Acknowledged)
            .count()
    }

    /// Compares the ledger with `held`, the ids found in the database, repeated
    /// as often as they occur there. Returns every contradiction.
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
