//! Metrics of statements, and log lines at a limited rate.
//!
//! Operators should find every failure by its identifier, so failures are logged
//! up to a rate limit of their own and successes are only sampled. The number of
//! failures left out is logged.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_metrics::{Counter, Gauge, Histogram, KeyValue, MetricRegistry};
use fulmarrill_position::{LogPoint, Term};
use fulmarrill_routing::Distance;

use crate::codec::ErrorKind;

/// Lines about failures that one host writes per second. A line is shorter than
/// 400 bytes, so that is at most 20 KB per second.
const FAILURE_LINES_MAX: u32 = 50;
/// Of this many successes one is logged.
const SUCCESSES_PER_LINE: u64 = 500;
/// Length of the window of the rate limit.
const WINDOW_TIME: Duration = Duration::from_secs(1);

/// A statement that has ended.
#[derive(Debug, Clone, Copy)]
pub struct StatementReport<'a> {
    /// The caller's identifier.
    pub id: &'a str,
    /// Endpoint of the session.
    pub endpoint: &'a str,
    /// Database of the endpoint.
    pub database: &'a str,
    /// Rank of the endpoint.
    pub rank: usize,
    /// Version of the configuration in force.
    pub version: u64,
    /// Error that the caller was sent; none for a success.
    pub error: Option<ErrorKind>,
    /// Text of the error, empty for a success.
    pub reason: &'a str,
    /// Last instance that it was sent to.
    pub instance: &'a str,
    /// Host that owned the instance.
    pub owner: &'a str,
    /// Term whose primary had to run it; none if a replica could.
    pub primary_term: Option<Term>,
    /// Position that the instance's log had to contain.
    pub floor: Option<LogPoint>,
    /// Time from the statement to its answer.
    pub time: Duration,
}

/// Rate limiter for lines about failures and sampler for lines about successes.
#[derive(Debug)]
pub struct LineBudget {
    window_ends_at: Instant,
    written: u32,
    left_out: u64,
    successes: u64,
}

/// Whether a log line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// It is written.
    Write,
    /// It is not written.
    LeaveOut,
}

impl LineBudget {
    /// Creates an unused budget whose first window begins at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            window_ends_at: now + WINDOW_TIME,
            written: 0,
            left_out: 0,
            successes: 0,
        }
    }

    /// Decides whether a line is written. Also returns how many lines about
    /// failures were left out in the last window, if that has just ended.
    pub fn decide(&mut self, now: Instant, failed: bool) -> (LineDecision, u64) {
        let mut left_out = 0;
        if now >= self.window_ends_at {
            left_out = std::mem::take(&mut self.left_out);
            self.written = 0;
            self.window_ends_at = now + WINDOW_TIME;
        }
        if !failed {
            self.successes += 1;
            let is_sampled = self.successes % SUCCESSES_PER_LINE == 1;
            let decision = if is_sampled {
                LineDecision::Write
            } else {
                LineDecision::LeaveOut
            };
            return (decision, left_out);
        }
        if self.written < FAILURE_LINES_MAX {
            self.written += 1;
            return (LineDecision::Write, left_out);
        }
        self.left_out += 1;
        (LineDecision::LeaveOut, left_out)
    }
}

/// Metrics and log lines of the statements of one host.
#[derive(Debug)]
pub struct StatementLog {
    registry: MetricRegistry,
    statements: Counter<u64>,
    times: Histogram<f64>,
    list_ages: Gauge<f64>,
    malformed: Counter<u64>,
    copied: Counter<u64>,
    store_era: Gauge<f64>,
    reads: Counter<u64>,
    shares: Gauge<f64>,
    budget: Mutex<LineBudget>,
}

impl StatementLog {
    /// Creates a log without counts.
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
            list_ages: registry.gauge(
                "fulmarrill_confirmed_age_seconds",
                "Time since the store is known to have held a list",
            ),
            malformed: registry.counter(
                "fulmarrill_malformed_messages",
                "Messages of callers that cannot be parsed",
            ),
            copied: registry.counter(
                "fulmarrill_copied_answers",
                "Answers that an instance gave twice",
            ),
            store_era: registry.gauge(
                "fulmarrill_store_era",
                "Latest known era of the store, which rises when it comes back from a copy",
            ),
            reads: registry.counter(
                "fulmarrill_reads",
                "Reads that a replica may serve, by destination",
            ),
            shares: registry.gauge(
                "fulmarrill_read_share",
                "Share of a database's reads that may leave to a data centre",
            ),
            registry,
            budget: Mutex::new(LineBudget::new(Instant::now())),
        }
    }

    /// Returns the registry, for further metrics of the host.
    #[must_use]
    pub fn registry(&self) -> &MetricRegistry {
        &self.registry
    }

    /// Sets the time since the store is known to have held a list.
    pub fn record_list_age(&self, list: &'static str, age: Duration) {
        let labels = [KeyValue::new("list", list)];
        self.list_ages.record(age.as_secs_f64(), &labels);
    }

    /// Counts a message of a caller that cannot be parsed.
    pub fn record_malformed(&self) {
        self.malformed.add(1, &[]);
    }

    /// Counts answers that an instance gave twice.
    pub fn record_copied(&self, instance: &str, count: u64) {
        let labels = [KeyValue::new("instance", instance.to_owned())];
        self.copied.add(count, &labels);
    }

    /// Counts a read that is sent to an instance at a distance.
    pub fn record_read(&self, distance: Distance) {
        let destination = match distance {
            Distance::SameCentre => "data_centre",
            Distance::SameRegion => "region",
            Distance::OtherRegion => "other_region",
        };
        self.reads
            .add(1, &[KeyValue::new("destination", destination)]);
    }

    /// Sets the share of a database's reads that leave to a data centre.
    pub fn record_share(&self, database: &str, data_centre: &str, share: f64) {
        let labels = [
            KeyValue::new("database", database.to_owned()),
            KeyValue::new("destination", data_centre.to_owned()),
        ];
        self.shares.record(share, &labels);
    }

    /// Sets the latest known era of the store.
    pub fn record_store_era(&self, era: u64) {
        // Exact up to 2^53.
        #[expect(clippy::cast_precision_loss, reason = "eras are small")]
        self.store_era.record(era as f64, &[]);
    }

    /// Renders the metrics as Prometheus text.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }

    /// Counts a statement, and logs it if the budget allows.
    pub fn record(&self, report: &StatementReport<'_>) {
        let outcome = report.error.map_or("served", ErrorKind::name);
        let rank = i64::try_from(report.rank).unwrap_or(i64::MAX);
        let place = if report.primary_term.is_some() {
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
        term = report.primary_term.unwrap_or_default(),
        floor = floor.as_deref().unwrap_or_default(),
        time_ms = time_ms;
        "statement ended"
    );
}

/// What a report needs to know of a statement from before it runs.
#[derive(Debug, Clone)]
pub struct StatementStart {
    /// The caller's identifier.
    pub id: CompactString,
    /// Text for the customer's record.
    pub text: CompactString,
    /// When the host received it.
    pub started_at: Instant,
}
