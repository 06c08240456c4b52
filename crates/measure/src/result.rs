//! What a scenario measured.

use std::fmt::Write as _;
use std::time::Duration;

use compact_str::CompactString;
use fulmarrill_load::{LedgerFault, LoadReport};
use serde_json::{Value, json};

use crate::scenario::Scenario;

/// Refusals shown per service.
const MESSAGES_SHOWN: usize = 2;

/// Everything measured in one scenario.
#[derive(Debug)]
pub struct ScenarioResult {
    /// Name of the scenario.
    pub name: CompactString,
    /// One report for each round.
    pub rounds: Vec<LoadReport>,
    /// The baseline's report.
    pub baseline: Option<LoadReport>,
    /// Writes that were lost, doubled, or ran after all.
    pub faults: Vec<LedgerFault>,
    /// Share of reads served by replicas.
    pub replica_share: f64,
    /// Bytes between regions, both ways.
    pub region_bytes: u64,
    /// Calls to the platform.
    pub store_calls: u64,
    /// Time of the load, all rounds together.
    pub time: Duration,
    worths: Vec<(CompactString, u64)>,
}

impl ScenarioResult {
    /// A result without measurements.
    #[must_use]
    pub fn new(scenario: &Scenario) -> Self {
        let worths = scenario
            .streams
            .iter()
            .map(|s| (s.service.clone(), s.worth))
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
            worths,
        }
    }

    /// Worth of all answers that came in time.
    #[must_use]
    pub fn useful_worth(&self, report: &LoadReport) -> u64 {
        let mut worth = 0;
        for (service, value) in &self.worths {
            worth += report
                .streams
                .get(service)
                .map_or(0, |stream| stream.in_time * value);
        }
        worth
    }

    /// Longest gaps between acknowledged writes, one per round, sorted.
    #[must_use]
    pub fn write_gaps(&self) -> Vec<Duration> {
        let mut gaps: Vec<_> = self.rounds.iter().map(|round| round.write_gap).collect();
        gaps.sort();
        gaps
    }

    /// A table for people.
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

    /// The same as JSON.
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
