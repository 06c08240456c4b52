//! Counters and times, by opentelemetry, shown in the Prometheus text format.

use std::time::Duration;

use fulmarrill_metrics::{Counter, Histogram, KeyValue, MetricRegistry};
use fulmarrill_peer::WorkAnswer;

/// One request as the metrics see it.
#[derive(Debug, Clone, Copy)]
pub struct ServedWork {
    /// Place of the rank.
    pub rank: usize,
    /// Whether it reads.
    pub read: bool,
    /// Whether a replica served it.
    pub by_replica: bool,
    /// Time from the request to its answer.
    pub time: Duration,
}

/// Reads served, in all and by replicas.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadCounts {
    /// By replicas.
    pub by_replica: f64,
    /// In all.
    pub all: f64,
}

/// The metrics of one host.
#[derive(Debug)]
pub struct HostMetrics {
    registry: MetricRegistry,
    requests: Counter<u64>,
    times: Histogram<f64>,
}

impl HostMetrics {
    /// Metrics that have counted nothing.
    #[must_use]
    pub fn new() -> Self {
        let registry = MetricRegistry::new();
        Self {
            requests: registry.counter(
                "fulmarrill_requests",
                "Requests by rank, kind, place and outcome",
            ),
            times: registry.duration_histogram(
                "fulmarrill_request_seconds",
                "Time from a request to its answer",
            ),
            registry,
        }
    }

    /// Counts one request.
    pub fn note(&self, work: &ServedWork, answer: &WorkAnswer) {
        let outcome = match answer {
            WorkAnswer::Served { sqlstate: None, .. } => "served",
            WorkAnswer::Served { .. } => "failed",
            WorkAnswer::NotRun { .. } => "not_run",
            WorkAnswer::Unknown { .. } => "unknown",
        };
        let rank = i64::try_from(work.rank).unwrap_or(i64::MAX);
        let labels = [
            KeyValue::new("rank", rank),
            KeyValue::new("kind", if work.read { "read" } else { "write" }),
            KeyValue::new(
                "served_by",
                if work.by_replica {
                    "replica"
                } else {
                    "primary"
                },
            ),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
        self.times.record(work.time.as_secs_f64(), &labels[..1]);
    }

    /// Reads served so far.
    #[must_use]
    pub fn read_counts(&self) -> ReadCounts {
        let mut counts = ReadCounts {
            by_replica: 0.0,
            all: 0.0,
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
                counts.all += count;
                if label("served_by", "replica") {
                    counts.by_replica += count;
                }
            }
        }
        counts
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn show(&self) -> Vec<u8> {
        self.registry.render().into_bytes()
    }
}
