//! Counts what an instance refused to run, by reason.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::codec::ErrorKind;

/// Least time between two log lines about the refusals of one instance.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Name under which answers that the instance gave twice are counted.
const REPEATED_NAME: &str = "answered_twice";

/// Refusals by the name of their reason.
pub type RefusalCounts = BTreeMap<&'static str, u64>;

#[derive(Debug, Default)]
struct RefusalState {
    total: RefusalCounts,
    unreported: RefusalCounts,
    report_at: Option<Instant>,
}

/// Counts refusals, and tells which are to be reported.
#[derive(Debug, Default)]
pub struct RefusalTally {
    state: Mutex<RefusalState>,
}

impl RefusalTally {
    fn state(&self) -> MutexGuard<'_, RefusalState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a failure if it is a refusal.
    pub fn record(&self, kind: ErrorKind) {
        if !kind.is_not_run() {
            return;
        }
        let mut state = self.state();
        *state.total.entry(kind.name()).or_default() += 1;
        *state.unreported.entry(kind.name()).or_default() += 1;
    }

    /// Counts answers that the instance gave twice.
    pub fn record_repeated(&self, count: u64) {
        let mut state = self.state();
        *state.total.entry(REPEATED_NAME).or_default() += count;
        *state.unreported.entry(REPEATED_NAME).or_default() += count;
    }

    /// All refusals so far.
    #[must_use]
    pub fn total(&self) -> RefusalCounts {
        self.state().total.clone()
    }

    /// Refusals since the last report, if there are any and a report is due.
    pub fn take_due(&self, now: Instant) -> Option<RefusalCounts> {
        let mut state = self.state();
        if state.unreported.is_empty() || state.report_at.is_some_and(|at| now < at) {
            return None;
        }
        state.report_at = Some(now + REPORT_INTERVAL);
        Some(std::mem::take(&mut state.unreported))
    }
}
