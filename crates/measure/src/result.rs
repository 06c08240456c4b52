//! Results of a scenario.

use std::fmt::Write as _;
use std::time::Duration;

use compact_str::CompactString;
use fulmarrill_load::{LedgerFault, LoadReport};
use serde_json::{Value, json};

use crate::scenario::Scenario;

/// Messages of refusals and errors shown per service.
const MESSAGES_SHOWN: usize = 2;

/// Results of one scenario.
#[derive(Debug)]
pub struct ScenarioResult {
    /// Name of the scenario.
    pub name: CompactString,
    /// The load report of each round.
    pub rounds: Vec<LoadReport>,
    /// The load report of the baseline, if it was run.
    pub baseline: Option<LoadReport>,
    /// Writes that were lost, duplicated, or ran although they were refused.
    pub faults: Vec<LedgerFault>,
    /// Fraction of reads served by replicas.
    pub replica_share: f64,
    /// Bytes sent between regions, both ways.
    pub region_bytes: u64,
    /// Number of calls to the platform.
    pub store_calls: u64,
    /// Time for all rounds, including the waits for readiness.
    pub time: Duration,
    /// Worth of an answer in time, by service.
    service_worths: Vec<(CompactString, u64)>,
}

impl ScenarioResult {
    /// Creates a result without measurements.
    #[must_use]
    pub fn new(scenario: &Scenario) -> Self {
        let service_worths = scenario
            .streams
            .iter()
            .map(|stream| (stream.service.clone(), stream.worth))
            .collect();
        Self {
            name: scenario.name.clone(),
            rounds: Vec::new(),
            baseline: None,
            faults: Vec::new(),
            replica_share: 0.0,
            region_bytes: 0,
            store_calls: 0,
            time: Duration::ZERO,
            service_worths,
        }
    }

    /// Returns the total worth of the answers that came in time.
    #[must_use]
    pub fn useful_worth(&self, report: &LoadReport) -> u64 {
        let mut worth = 0;
        for (service, value) in &self.service_worths {
            worth += report
                .streams
                .get(service)
                .map_or(0, |stream| stream.in_time * value);
        }
        worth
    }

    /// Returns the longest gap between acknowledged writes of each round, in
    /// ascending order.
    #[must_use]
    pub fn write_gaps(&self) -> Vec<Duration> {
        let mut gaps: Vec<_> = self.rounds.iter().map(|round| round.write_gap).collect();
        gaps.sort();
        gaps
    }

    /// Formats the result as text tables.
    #[must_use]
    pub fn show(&self) -> String {
        let mut text = format!("scenario {}\n", self.name);
        let mut all = LoadReport::default();
        for round in &self.rounds {
            all.merge(round);
        }
        let _ = write!(text, "{}", all.show_table());
        let _ = write!(text, "{}", all.show_messages(MESSAGES_SHOWN));
        let _ = writeln!(text, "useful worth {}", self.useful_worth(&all));
        if let Some(baseline) = &self.baseline {
            let _ = writeln!(text, "baseline");
            let _ = write!(text, "{}", baseline.show_table());
            let _ = writeln!(text, "useful worth {}", self.useful_worth(baseline));
        }
        let gaps = self.write_gaps();
        if let (Some(median), Some(worst)) = (gaps.get(gaps.len() / 2), gaps.last()) {
            let _ = writeln!(
                text,
                "write gap over {} rounds: median {} ms, worst {} ms",
                gaps.len(),
                median.as_millis(),
                worst.as_millis()
            );
        }
        let _ = writeln!(
            text,
            "reads by replicas {:.1} %",
            100.0 * self.replica_share
        );
        let _ = writeln!(text, "bytes between regions {}", self.region_bytes);
        let _ = writeln!(text, "calls to the platform {}", self.store_calls);
        for fault in &self.faults {
            let _ = writeln!(text, "FAULT: {fault}");
        }
        text
    }

    /// Returns the result as JSON.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let rounds: Vec<_> = self.rounds.iter().map(LoadReport::to_json).collect();
        let worths: Vec<_> = self
            .rounds
            .iter()
            .map(|round| self.useful_worth(round))
            .collect();
        let faults: Vec<_> = self.faults.iter().map(ToString::to_string).collect();
        json!({
            "scenario": self.name,
            "rounds": rounds,
            "useful_worth": worths,
            "baseline": self.baseline.as_ref().map(LoadReport::to_json),
            "baseline_worth": self.baseline.as_ref().map(|report| self.useful_worth(report)),
            "replica_share": self.replica_share,
            "region_bytes": self.region_bytes,
            "store_calls": self.store_calls,
            "time_ms": u64::try_from(self.time.as_millis()).unwrap_or(u64::MAX),
            "faults": faults,
        })
    }
}
