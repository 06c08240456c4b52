//! Counters and times, by opentelemetry, shown in the Prometheus text format.

use std::fmt;
use std::time::Duration;

use fulmarrill_peer::WorkAnswer;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bounds of the histogram of request times, in seconds.
const TIME_BOUNDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

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
pub struct HostMetrics {
    registry: Registry,
    requests: Counter<u64>,
    times: Histogram<f64>,
    // The instruments stop working when the provider is dropped.
    _provider: Option<SdkMeterProvider>,
}

impl fmt::Debug for HostMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostMetrics").finish_non_exhaustive()
    }
}

impl HostMetrics {
    /// Metrics that have counted nothing.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let provider = match exporter {
            Ok(exporter) => Some(SdkMeterProvider::builder().with_reader(exporter).build()),
            Err(error) => {
                log::error!("metrics are not available: {error}");
                None
            }
        };
        let meter = match &provider {
            Some(provider) => provider.meter("fulmarrill"),
            None => SdkMeterProvider::default().meter("fulmarrill"),
        };
        let requests = meter
            .u64_counter("fulmarrill_requests")
            .with_description("Requests by rank, kind, place and outcome")
            .build();
        let times = meter
            .f64_histogram("fulmarrill_request_seconds")
            .with_description("Time from a request to its answer")
            .with_boundaries(TIME_BOUNDS.to_vec())
            .build();
        Self {
            registry,
            requests,
            times,
            _provider: provider,
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
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("metrics cannot be shown: {error}");
        }
        text
    }
}
