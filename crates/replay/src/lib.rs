//! Replay of recorded traces against stated outcomes.
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
//! A trace is JSON lines: events with their times, and between them the
//! outcomes that must follow. The events go to the same decision logic that
//! runs in a host; there is no I/O, and time is what the trace says.

mod line;
mod machine;

use thiserror::Error;

pub use crate::line::{TraceEvent, TraceLine, TraceOutcome, TracePoint};
pub use crate::machine::TraceMachine;

/// What a replay went through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplayReport {
    /// Events replayed.
    pub events: usize,
    /// Outcomes that held.
    pub outcomes: usize,
}

/// Why a trace does not hold.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// A line cannot be read.
    #[error("line {line}: {source}")]
    Syntax {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// An outcome differs.
    #[error("line {line}: expected {expected}, found {found}")]
    Mismatch {
        /// Number of the line, from 1.
        line: usize,
        /// The outcome stated.
        expected: String,
        /// The outcome that followed.
        found: String,
    },
    /// An event needs something that the trace has not set up.
    #[error("line {line}: {text}")]
    InvalidEvent {
        /// Number of the line, from 1.
        line: usize,
        /// What is missing.
        text: String,
    },
    /// A trace that states nothing proves nothing.
    #[error("the trace states no outcome")]
    NoOutcome,
}

/// Replays a trace to its end or to the first outcome that differs.
///
/// # Errors
///
/// The first line that cannot be read or does not hold.
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
