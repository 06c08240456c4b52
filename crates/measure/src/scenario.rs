//! Scenario files.

use std::time::Duration;

use compact_str::CompactString;
use fulmarrill_fleet::FleetLayout;
use fulmarrill_load::{LoadKind, LoadStream};
use serde::Deserialize;

/// A stream of requests of one service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioStream {
    /// Name of the service in the layout's operators' document.
    pub service: CompactString,
    /// Kind of the requests.
    pub kind: LoadKind,
    /// Requests per second.
    pub rate: f64,
    /// Latency up to which an answer counts as in time.
    #[serde(default = "default_time_allowed_ms")]
    pub time_allowed_ms: u64,
    /// Weight of an answer in time in the sum that results call useful worth.
    #[serde(default)]
    pub worth: u64,
}

fn default_time_allowed_ms() -> u64 {
    4000
}

/// A change made to the fleet during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ScenarioEvent {
    /// All network paths of the primary are cut.
    CutPrimary,
    /// All network faults are removed.
    Heal,
    /// The primary is marked as leaving in its group.
    LeavePrimary,
    /// The host that has run for the longest time shuts down gracefully and is
    /// started again.
    RestartHost,
    /// The platform refuses all calls.
    StoreDown,
    /// The platform's faults are removed.
    StoreUp,
}

/// An event and its time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedEvent {
    /// Milliseconds from the start of the round.
    pub at_ms: u64,
    /// The change to make.
    pub event: ScenarioEvent,
}

/// A scenario: a layout, a load and the events during it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: CompactString,
    /// `haskell`; any other name selects the `odznak` layout.
    pub layout: CompactString,
    /// Whether to keep only one host in each data centre.
    #[serde(default)]
    pub one_host_per_site: bool,
    /// Duration of the load in each round, in milliseconds.
    pub time_ms: u64,
    /// Number of times that load and events are run on the same fleet.
    #[serde(default = "default_rounds")]
    pub rounds: u32,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Streams of requests that make up the load.
    pub streams: Vec<ScenarioStream>,
    /// Events in the order of their times.
    #[serde(default)]
    pub events: Vec<TimedEvent>,
    /// Time that a statement occupies its slot, in microseconds; overrides the
    /// layout's.
    #[serde(default)]
    pub statement_us: Option<u64>,
    /// Whether to run the same load, without the events, on the baseline.
    #[serde(default)]
    pub baseline: bool,
}

fn default_rounds() -> u32 {
    1
}

impl Scenario {
    /// Parses a scenario file.
    ///
    /// # Errors
    ///
    /// When the text is not JSON or does not describe a scenario.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Returns the layout of the fleet, reduced to one database.
    #[must_use]
    pub fn fleet_layout(&self) -> FleetLayout {
        let layout = match self.layout.as_str() {
            "haskell" => FleetLayout::haskell(),
            _ => FleetLayout::odznak(),
        };
        let mut layout = layout.with_databases(1);
        if let Some(time_us) = self.statement_us {
            layout = layout.with_statement_us(time_us);
        }
        if self.one_host_per_site {
            layout.with_one_host_per_site()
        } else {
            layout
        }
    }

    /// Returns the streams as load streams.
    #[must_use]
    pub fn load_streams(&self) -> Vec<LoadStream> {
        let mut streams = Vec::new();
        for stream in &self.streams {
            let time = Duration::from_millis(stream.time_allowed_ms);
            streams.push(
                LoadStream::new(&stream.service, stream.kind, stream.rate).with_time_allowed(time),
            );
        }
        streams
    }
}
