//! What is said about each statement: counters, and log lines in a bounded
//! number.
//!
//! Every failure should be found by its id afterwards, so failures come first
//! when lines are scarce; successes are sampled. What was left out is counted
//! and said.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_metrics::{Counter, Histogram, KeyValue, MetricRegistry};
use fulmarrill_position::{LogPoint, Term};

use crate::codec::ErrorKind;

/// Lines about failures that one host writes in a second. A line is below 400
/// bytes, so that is 20 KB a second at most.
const FAILURES_PER_S: u32 = 50;
/// One success of this many is written.
const SUCCESS_SAMPLE: u64 = 500;
/// Length of the window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// A statement that has ended.
#[derive(Debug, Clone, Copy)]
pub struct StatementReport<'a> {
    /// The caller's identifier.
    pub id: &'a str,
    /// Endpoint.
    pub endpoint: &'a str,
    /// Database.
    pub database: &'a str,
    /// Rank.
    pub rank: usize,
    /// Version of the configuration that decided.
    pub version: u64,
    /// What the caller was told; none for a success.
    pub error: Option<ErrorKind>,
    /// Why, in words.
    pub reason: &'a str,
    /// Instance that it was sent to last.
    pub instance: &'a str,
    /// Host that owned the instance.
    pub owner: &'a str,
    /// Term that the instance had to lead.
    pub lead: Option<Term>,
    /// Position that the instance had to have.
    pub floor: Option<LogPoint>,
    /// Time from the statement to its answer.
    pub time: Duration,
}

/// How many lines may be written.
#[derive(Debug)]
pub struct LineBudget {
    window_ends_at: Instant,
    written: u32,
    left_out: u64,
    successes: u64,
}

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// It is written.
    Write,
    /// It is not written.
    LeaveOut,
}

impl LineBudget {
    /// A budget of which nothing is used.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            window_ends_at: now + WINDOW,
            written: 0,
            left_out: 0,
            successes: 0,
        }
    }

    /// Decides on a line, and says how many were left out in the window that
    /// has just ended.
    pub fn decide(&mut self, now: Instant, failed: bool) -> (LineDecision, u64) {
        let mut left_out = 0;
        if now >= self.window_ends_at {
            left_out = std::mem::take(&mut self.left_out);
            self.written = 0;
            self.window_ends_at = now + WINDOW;
        }
        if !failed {
            self.successes += 1;
            let sampled = self.successes % SUCCESS_SAMPLE == 1;
            let decision = if sampled {
                LineDecision::Write
            } else {
                LineDecision::LeaveOut
            };
            return (decision, left_out);
        }
        if self.written < FAILURES_PER_S {
            self.written += 1;
            return (LineDecision::Write, left_out);
        }
        self.left_out += 1;
        (LineDecision::LeaveOut, left_out)
    }
}

/// Counts and reports the statements of one host.
#[derive(Debug)]
pub struct StatementLog {
    registry: MetricRegistry,
    statements: Counter<u64>,
    times: Histogram<f64>,
    budget: Mutex<LineBudget>,
}

impl StatementLog {
    /// A log that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        let registry = MetricRegistry::new();
        Self {
            statements: registry.counter(
                "fulmarrill_statements",
                "Statements by rank, place and outcome",
            ),
            times: registry.duration_histogram(
                "fulmarrill_statement_seconds",
                "Time from a statement to its answer",
            ),
            registry,
            budget: Mutex::new(LineBudget::new(Instant::now())),
        }
    }

    /// Everything that was counted, as Prometheus text.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }

    /// Counts a statement and writes a line about it if there is room.
    pub fn note(&self, report: &StatementReport<'_>) {
        let outcome = report.error.map_or("served", ErrorKind::name);
        let rank = i64::try_from(report.rank).unwrap_or(i64::MAX);
        let place = if report.lead.is_some() {
            "primary"
        } else {
            "replica"
        };
        let labels = [
            KeyValue::new("rank", rank),
            KeyValue::new("place", place),
            KeyValue::new("outcome", outcome),
        ];
        self.statements.add(1, &labels);
        self.times.record(report.time.as_secs_f64(), &labels[..1]);
        let decided = self
            .budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .decide(Instant::now(), report.error.is_some());
        let (decision, left_out) = decided;
        if left_out > 0 {
            log::warn!(left_out = left_out; "lines about failed statements were left out");
        }
        if decision == LineDecision::Write {
            write_line(report, outcome);
        }
    }
}

impl Default for StatementLog {
    fn default() -> Self {
        Self::new()
    }
}

fn write_line(report: &StatementReport<'_>, outcome: &str) {
    let time_ms = u64::try_from(report.time.as_millis()).unwrap_or(u64::MAX);
    let floor = report.floor.map(|floor| floor.to_string());
    log::info!(
        request = report.id,
        endpoint = report.endpoint,
        database = report.database,
        version = report.version,
        outcome = outcome,
        reason = report.reason,
        instance = report.instance,
        owner = report.owner,
        term = report.lead.unwrap_or_default(),
        floor = floor.as_deref().unwrap_or_default(),
        time_ms = time_ms;
        "statement ended"
    );
}

/// What a report needs of a statement before it is run.
#[derive(Debug, Clone)]
pub struct StatementStart {
    /// The caller's identifier.
    pub id: CompactString,
    /// What it asks for, for the customer's record.
    pub text: CompactString,
    /// When it arrived.
    pub started_at: Instant,
}
