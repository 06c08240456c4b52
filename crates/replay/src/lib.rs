//! Replays recorded traces and checks their expected outcomes.
//!
//! ```
//! let trace = r#"
//! {"do": "group", "instances": ["a", "b", "c"], "primary": "a", "term": 1}
//! {"do": "status", "instance": "a", "role": "primary", "fence": 1, "received": "1:0/7"}
//! {"do": "status", "instance": "b", "role": "replica", "fence": 1, "received": "1:0/6"}
//! {"expect": "confirmed", "point": "1:0/6"}
//! "#;
//! let report = fulmarrill_replay::replay_trace(trace).unwrap();
//! assert_eq!((report.events, report.outcomes), (3, 1));
//! ```
//!
//! A trace is a file of JSON lines: events with their times, and between them
//! the outcomes that are expected at that point. The events are passed to the same
//! decision logic that runs in a host. There is no I/O, and times come from the
//! trace instead of the clock.

mod line;
mod machine;

use thiserror::Error;

pub use crate::line::{TraceEvent, TraceLine, TraceOutcome, TracePoint};
pub use crate::machine::TraceMachine;

/// Counts of a successful replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplayReport {
    /// Number of events replayed.
    pub events: usize,
    /// Number of outcomes that matched.
    pub outcomes: usize,
}

/// Why a replay failed.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// A line is not a valid event or outcome.
    #[error("line {line}: {source}")]
    Syntax {
        /// Line number, from 1.
        line: usize,
        /// The error of the JSON decoder.
        source: serde_json::Error,
    },
    /// An outcome differs from the expected one.
    #[error("line {line}: expected {expected}, found {found}")]
    Mismatch {
        /// Line number, from 1.
        line: usize,
        /// The outcome in the trace.
        expected: String,
        /// The outcome of the replay.
        found: String,
    },
    /// An event has an invalid value, or an event that it depends on does not
    /// precede it.
    #[error("line {line}: {text}")]
    InvalidEvent {
        /// Line number, from 1.
        line: usize,
        /// Description of the error.
        text: String,
    },
    /// The trace contains no outcome, so that its replay checks nothing.
    #[error("the trace contains no expected outcome")]
    NoOutcome,
}

/// Replays a trace up to its end or the first error. Blank lines and lines that
/// start with `//` are skipped.
///
/// # Errors
///
/// The first line that is invalid, cannot be applied or does not match; or
/// [`ReplayError::NoOutcome`].
pub fn replay_trace(text: &str) -> Result<ReplayReport, ReplayError> {
    let mut machine = TraceMachine::new();
    let mut report = ReplayReport {
        events: 0,
        outcomes: 0,
    };
    for (index, text) in text.lines().enumerate() {
        let line = index + 1;
        let text = text.trim();
        if text.is_empty() || text.starts_with("//") {
            continue;
        }
        let parsed: TraceLine =
            serde_json::from_str(text).map_err(|source| ReplayError::Syntax { line, source })?;
        match parsed {
            TraceLine::Event(event) => {
                machine
                    .apply(event)
                    .map_err(|text| ReplayError::InvalidEvent { line, text })?;
                report.events += 1;
            }
            TraceLine::Outcome(outcome) => {
                machine
                    .check(&outcome)
                    .map_err(|(expected, found)| ReplayError::Mismatch {
                        line,
                        expected,
                        found,
                    })?;
                report.outcomes += 1;
            }
        }
    }
    if report.outcomes == 0 {
        return Err(ReplayError::NoOutcome);
    }
    Ok(report)
}
