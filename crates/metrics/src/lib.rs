//! Counters and histograms by opentelemetry, shown as Prometheus text.
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
pub use opentelemetry::metrics::{Counter, Histogram};

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bounds of the histograms of request times, in seconds: from a read in the
/// own data centre to the longest deadline.
const TIME_BOUNDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// The instruments of one process.
pub struct MetricRegistry {
    registry: Registry,
    // The instruments stop working when the provider is dropped.
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
    /// A registry without instruments.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let provider = match exporter {
            Ok(exporter) => SdkMeterProvider::builder().with_reader(exporter).build(),
            Err(error) => {
                log::error!("metrics are not available: {error}");
                SdkMeterProvider::default()
            }
        };
        Self { registry, provider }
    }

    fn meter(&self) -> Meter {
        self.provider.meter("fulmarrill")
    }

    /// A counter; its name is shown with `_total`.
    #[must_use]
    pub fn counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        let meter = self.meter();
        let builder = meter.u64_counter(name);
        builder.with_description(description).build()
    }

    /// A histogram of times in seconds.
    #[must_use]
    pub fn duration_histogram(
        &self,
        name: &'static str,
        description: &'static str,
    ) -> Histogram<f64> {
        let meter = self.meter();
        let builder = meter.f64_histogram(name);
        let builder = builder.with_description(description);
        builder.with_boundaries(TIME_BOUNDS.to_vec()).build()
    }

    /// Everything that was counted, as Prometheus text.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            log::error!("metrics cannot be shown: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// The families of everything that was counted.
    #[must_use]
    pub fn gather(&self) -> Vec<prometheus::proto::MetricFamily> {
        self.registry.gather()
    }
}
