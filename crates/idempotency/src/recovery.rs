//! What to do after an attempt that brought no answer.

use std::time::Instant;

/// How far an attempt is known to have come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// It was refused, or failed, before anything reached a database.
    NotRun,
    /// It may have run: it was sent and no answer came.
    Unknown,
}

/// What follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryDecision {
    /// Send the request again.
    Retry,
    /// Tell the caller that it did not run.
    ReportNotRun,
    /// Claim the key without work; if that commits, the request cannot run.
    ClaimVoid,
    /// Tell the caller that the outcome is unknown.
    ReportUnknown,
}

/// What all attempts at one request together allow to be said.
///
/// Once an attempt's outcome is unknown, a refusal of a later attempt says
/// nothing about the first, which may still run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AttemptLog {
    has_unknown: bool,
}

impl AttemptLog {
    /// No attempt yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes how an attempt ended; returns what is known of the request.
    pub fn record(&mut self, result: AttemptResult) -> AttemptResult {
        self.has_unknown |= result == AttemptResult::Unknown;
        if self.has_unknown {
            AttemptResult::Unknown
        } else {
            AttemptResult::NotRun
        }
    }

    /// Whether an attempt may still run.
    #[must_use]
    pub fn has_unknown_outcome(&self) -> bool {
        self.has_unknown
    }
}

/// Whether a request may be sent a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// It changes nothing.
    Read,
    /// It has a key, so that it runs at most once however often it is sent.
    Keyed,
    /// Sent twice it may run twice.
    Unsafe,
}

/// Decides by what is known. `retry_allowed` is the word of the retry budget.
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
