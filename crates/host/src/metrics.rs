//! Request counters and durations, collected with OpenTelemetry and rendered in
//! the Prometheus text format.

use std::time::Duration;

use fulmarrill_metrics::{Counter, Histogram, KeyValue, MetricRegistry};
use fulmarrill_peer::WorkAnswer;

/// Measurements of one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestSample {
    /// Index of the rank.
    pub rank: usize,
    /// Whether the request only reads.
    pub read: bool,
    /// Whether the request was sent to a replica.
    pub by_replica: bool,
    /// Time from the request to its answer.
    pub time: Duration,
}

/// Number of reads served, in total and by replicas.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadCounts {
    /// Reads served by replicas.
    pub by_replica: f64,
    /// Reads served by replicas and primaries together.
    pub total: f64,
}

/// Request metrics of one host.
#[derive(Debug)]
pub struct HostMetrics {
    registry: MetricRegistry,
    requests: Counter<u64>,
    durations: Histogram<f64>,
}

impl HostMetrics {
    /// Metrics without samples.
    #[must_use]
    pub fn new() -> Self {
        let registry = MetricRegistry::new();
        Self {
            requests: registry.counter(
                "fulmarrill_requests",
                "Requests by rank, kind, place and outcome",
            ),
            durations: registry.duration_histogram(
                "fulmarrill_request_seconds",
                "Time from a request to its answer",
            ),
            registry,
        }
    }

    /// Records one request and its answer.
    pub fn record(&self, sample: &RequestSample, answer: &WorkAnswer) {
        let outcome = match answer {
            WorkAnswer::Served { sqlstate: None, .. } => "served",
            WorkAnswer::Served { .. } => "failed",
            WorkAnswer::NotRun { .. } => "not_run",
            WorkAnswer::Unknown { .. } => "unknown",
        };
        let rank = i64::try_from(sample.rank).unwrap_or(i64::MAX);
        let labels = [
            KeyValue::new("rank", rank),
            KeyValue::new("kind", if sample.read { "read" } else { "write" }),
            KeyValue::new(
                "served_by",
                if sample.by_replica {
                    "replica"
                } else {
                    "primary"
                },
            ),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
        self.durations
            .record(sample.time.as_secs_f64(), &labels[..1]);
    }

    /// Counts of the reads served so far.
    #[must_use]
    pub fn read_counts(&self) -> ReadCounts {
        let mut counts = ReadCounts {
            by_replica: 0.0,
            total: 0.0,
        };
        for family in self.registry.gather() {
            if !family.name().starts_with("fulmarrill_requests") {
                continue;
            }
            for metric in family.get_metric() {
                let label = |name: &str, value: &str| {
                    metric
                        .get_label()
                        .iter()
                        .any(|l| l.name() == name && l.value() == value)
                };
                if !label("kind", "read") || !label("outcome", "served") {
                    continue;
                }
                let count = metric.get_counter().get_value();
                counts.total += count;
                if label("served_by", "replica") {
                    counts.by_replica += count;
                }
            }
        }
        counts
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        self.registry.render().into_bytes()
    }
}
