//! Results of a load run.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::caller::RequestOutcome;

/// Significant decimal digits kept by the histograms.
const DIGITS: u8 = 3;
/// Upper bound of the histograms, in microseconds; longer latencies count as this.
const TIME_US_MAX: u64 = 60_000_000;

/// Latencies and outcome counts of one stream of requests.
#[derive(Debug, Clone)]
pub struct StreamReport {
    /// Requests answered without an error.
    pub served: u64,
    /// Served requests that were answered within the time allowed.
    pub in_time: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests that the database answered with an error.
    pub failed: u64,
    /// Reads of [`LoadKind::WriteThenRead`](crate::LoadKind::WriteThenRead) that did
    /// not see the write before them.
    pub stale: u64,
    /// Latencies of served requests from their arrival, in microseconds.
    pub latencies: Histogram<u64>,
    /// Messages of refused, failed and unknown requests, with their counts.
    pub messages: BTreeMap<CompactString, u64>,
}

impl Default for StreamReport {
    fn default() -> Self {
        Self::new()
    }
}

impl StreamReport {
    /// Creates an empty report.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are valid.
    #[must_use]
    pub fn new() -> Self {
        Self {
            served: 0,
            in_time: 0,
            not_run: 0,
            unknown: 0,
            failed: 0,
            stale: 0,
            latencies: Histogram::new_with_bounds(1, TIME_US_MAX, DIGITS).expect("valid bounds"),
            messages: BTreeMap::new(),
        }
    }

    /// Adds the outcome of one request that took `time`.
    pub fn record(&mut self, outcome: &RequestOutcome, time: Duration, time_allowed: Duration) {
        match outcome {
            RequestOutcome::Served(_) => {
                self.served += 1;
                self.in_time += u64::from(time <= time_allowed);
                let time_us = u64::try_from(time.as_micros()).unwrap_or(TIME_US_MAX);
                self.latencies.saturating_record(time_us);
            }
            RequestOutcome::NotRun(message) => {
                self.not_run += 1;
                *self.messages.entry(message.clone()).or_default() += 1;
            }
            RequestOutcome::Unknown(message) => {
                self.unknown += 1;
                *self.messages.entry(message.clone()).or_default() += 1;
            }
            RequestOutcome::Failed(message) => {
                self.failed += 1;
                *self.messages.entry(message.clone()).or_default() += 1;
            }
        }
    }

    /// Adds the counts and latencies of another report.
    pub fn merge(&mut self, other: &Self) {
        self.served += other.served;
        self.in_time += other.in_time;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.stale += other.stale;
        // Both histograms have the same bounds.
        self.latencies.add(&other.latencies).ok();
        for (message, count) in &other.messages {
            *self.messages.entry(message.clone()).or_default() += count;
        }
    }

    /// Number of requests with any outcome.
    #[must_use]
    pub fn offered(&self) -> u64 {
        self.served + self.not_run + self.unknown + self.failed
    }

    /// Returns a quantile of the latencies of served requests, in milliseconds.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Results of a load run.
#[derive(Debug, Clone, Default)]
pub struct LoadReport {
    /// Reports of the streams by the names of their services.
    pub streams: BTreeMap<CompactString, StreamReport>,
    /// Longest time between two consecutive acknowledged writes.
    pub write_gap: Duration,
    /// Number of acknowledged writes.
    pub acknowledged: usize,
}

impl LoadReport {
    /// Adds another run's report; the longer write gap of the two is kept.
    pub fn merge(&mut self, other: &Self) {
        for (name, stream) in &other.streams {
            self.streams.entry(name.clone()).or_default().merge(stream);
        }
        self.write_gap = self.write_gap.max(other.write_gap);
        self.acknowledged += other.acknowledged;
    }

    /// Formats a table with one row per stream.
    #[must_use]
    pub fn show_table(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{:<16}{:>9}{:>9}{:>9}{:>9}{:>9}{:>8}{:>10}{:>10}",
            "service",
            "offered",
            "served",
            "not run",
            "unknown",
            "failed",
            "stale",
            "p50 ms",
            "p99 ms"
        );
        for (name, stream) in &self.streams {
            let _ = writeln!(
                text,
                "{:<16}{:>9}{:>9}{:>9}{:>9}{:>9}{:>8}{:>10.1}{:>10.1}",
                name,
                stream.offered(),
                stream.served,
                stream.not_run,
                stream.unknown,
                stream.failed,
                stream.stale,
                stream.latency_ms(0.5),
                stream.latency_ms(0.99)
            );
        }
        text
    }

    /// Formats the `limit` most frequent messages of refusals and errors of each
    /// stream, the most frequent first.
    #[must_use]
    pub fn show_messages(&self, limit: usize) -> String {
        let mut text = String::new();
        for (name, stream) in &self.streams {
            let mut messages: Vec<_> = stream.messages.iter().collect();
            messages.sort_by(|a, b| b.1.cmp(a.1));
            for (message, count) in messages.into_iter().take(limit) {
                let _ = writeln!(text, "{name}: {count} times: {message}");
            }
        }
        text
    }

    /// Returns the report as JSON.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let mut streams = serde_json::Map::new();
        for (name, stream) in &self.streams {
            let value = json!({
                "offered": stream.offered(),
                "served": stream.served,
                "in_time": stream.in_time,
                "not_run": stream.not_run,
                "unknown": stream.unknown,
                "failed": stream.failed,
                "stale": stream.stale,
                "p50_ms": stream.latency_ms(0.5),
                "p99_ms": stream.latency_ms(0.99),
                "max_ms": stream.latency_ms(1.0),
                "messages": stream.messages,
            });
            streams.insert(name.to_string(), value);
        }
        json!({
            "streams": streams,
            "write_gap_ms": self.write_gap.as_secs_f64() * 1000.0,
            "acknowledged": self.acknowledged,
        })
    }
}
