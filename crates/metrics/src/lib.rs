//! OpenTelemetry counters and histograms, exported as Prometheus text.
//!
//! ```
//! use fulmarrill_metrics::{KeyValue, MetricRegistry};
//!
//! let registry = MetricRegistry::new();
//! let requests = registry.counter("fulmarrill_requests", "Requests by outcome");
//! requests.add(1, &[KeyValue::new("outcome", "served")]);
//! let text = registry.render();
//! assert!(text.contains("fulmarrill_requests_total"));
//! ```

use std::fmt;

pub use opentelemetry::KeyValue;
pub use opentelemetry::metrics::{Counter, Gauge, Histogram};

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bucket bounds of duration histograms, in seconds: from a read within one
/// data centre up to 5 s, the default deadline of a rank.
const BUCKET_BOUNDS_SECONDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// A set of metric instruments that are exported together.
pub struct MetricRegistry {
    registry: Registry,
    // Kept alive because its instruments stop recording when it is dropped.
    provider: SdkMeterProvider,
}

impl fmt::Debug for MetricRegistry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MetricRegistry").finish_non_exhaustive()
    }
}

impl Default for MetricRegistry {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricRegistry {
    /// Creates a registry without instruments. If the Prometheus exporter cannot
    /// be built, the error is logged and nothing is exported.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let provider = match exporter {
            Ok(exporter) => SdkMeterProvider::builder().with_reader(exporter).build(),
            Err(error) => {
                log::error!("metrics disabled: cannot build the Prometheus exporter: {error}");
                SdkMeterProvider::default()
            }
        };
        Self { registry, provider }
    }

    fn meter(&self) -> Meter {
        self.provider.meter("fulmarrill")
    }

    /// Creates a counter. The exporter appends `_total` to its name.
    #[must_use]
    pub fn counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        let meter = self.meter();
        let builder = meter.u64_counter(name);
        builder.with_description(description).build()
    }

    /// Creates a gauge.
    #[must_use]
    pub fn gauge(&self, name: &'static str, description: &'static str) -> Gauge<f64> {
        let meter = self.meter();
        let builder = meter.f64_gauge(name);
        builder.with_description(description).build()
    }

    /// Creates a histogram of durations in seconds.
    #[must_use]
    pub fn duration_histogram(
        &self,
        name: &'static str,
        description: &'static str,
    ) -> Histogram<f64> {
        let meter = self.meter();
        let builder = meter.f64_histogram(name);
        let builder = builder.with_description(description);
        builder
            .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
            .build()
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            log::error!("cannot encode the metrics: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Returns all metrics as Prometheus metric families.
    #[must_use]
    pub fn gather(&self) -> Vec<prometheus::proto::MetricFamily> {
        self.registry.gather()
    }
}
