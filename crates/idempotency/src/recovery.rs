//! Recovery after an attempt that returned no answer.

use std::time::Instant;

/// What is known of an attempt without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// It was refused or failed before anything reached a database.
    NotRun,
    /// It may have run: it was sent, but no answer arrived.
    Unknown,
}

/// The next step for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryDecision {
    /// Send the request again.
    Retry,
    /// Report to the caller that the request did not run.
    ReportNotRun,
    /// Void the key; once that commits, the request cannot run.
    ClaimVoid,
    /// Report to the caller that the outcome is unknown.
    ReportUnknown,
}

/// Combined result of all attempts at one request.
///
/// Once the outcome of one attempt is unknown, the refusal of a later attempt
/// does not mean that the request did not run: the earlier one may have run or
/// may still run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AttemptLog {
    has_unknown: bool,
}

impl AttemptLog {
    /// Creates a log without attempts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the result of an attempt and returns that of the request as a whole.
    pub fn record(&mut self, result: AttemptResult) -> AttemptResult {
        self.has_unknown |= result == AttemptResult::Unknown;
        if self.has_unknown {
            AttemptResult::Unknown
        } else {
            AttemptResult::NotRun
        }
    }

    /// Whether the outcome of any attempt is unknown, so that it may have run or
    /// may still run.
    #[must_use]
    pub fn has_unknown_outcome(&self) -> bool {
        self.has_unknown
    }
}

/// Whether a request may be sent more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// The request changes nothing.
    Read,
    /// The request has a key and runs at most once however often it is sent.
    Keyed,
    /// The request may run as many times as it is sent.
    Unsafe,
}

/// Decides the next step. `retry_allowed` says whether a retry is permitted, for
/// example by the retry budget.
#[must_use]
pub fn decide_recovery(
    result: AttemptResult,
    safety: RetrySafety,
    retry_allowed: bool,
    now: Instant,
    deadline: Instant,
) -> RecoveryDecision {
    let time_left = now < deadline;
    match (result, safety) {
        (AttemptResult::NotRun, _) if time_left && retry_allowed => RecoveryDecision::Retry,
        (AttemptResult::NotRun, _) => RecoveryDecision::ReportNotRun,
        (AttemptResult::Unknown, RetrySafety::Unsafe) => RecoveryDecision::ReportUnknown,
        (AttemptResult::Unknown, _) if time_left && retry_allowed => RecoveryDecision::Retry,
        (AttemptResult::Unknown, RetrySafety::Keyed) => RecoveryDecision::ClaimVoid,
        (AttemptResult::Unknown, RetrySafety::Read) => RecoveryDecision::ReportUnknown,
    }
}
