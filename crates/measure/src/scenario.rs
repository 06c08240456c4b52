//! What a scenario file says.

use std::time::Duration;

use compact_str::CompactString;
use fulmarrill_fleet::FleetLayout;
use fulmarrill_load::{LoadKind, LoadStream};
use serde::Deserialize;

/// A stream of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioStream {
    /// Service, as in the layout's document.
    pub service: CompactString,
    /// What the requests do.
    pub kind: LoadKind,
    /// Requests a second.
    pub rate: f64,
    /// Time within which an answer is useful.
    #[serde(default = "default_time_allowed_ms")]
    pub time_allowed_ms: u64,
    /// What such an answer is worth.
    #[serde(default)]
    pub worth: u64,
}

fn default_time_allowed_ms() -> u64 {
    4000
}

/// Something that is done to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ScenarioEvent {
    /// The primary is cut off from everybody.
    CutPrimary,
    /// Every path works again.
    Heal,
    /// The primary is told to leave.
    LeavePrimary,
    /// A host is restarted in order.
    RestartHost,
    /// The platform refuses every call.
    StoreDown,
    /// The platform works again.
    StoreUp,
}

/// An event and its time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedEvent {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// What is done.
    pub event: ScenarioEvent,
}

/// A whole scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it is for.
    pub name: CompactString,
    /// `odznak` or `haskell`.
    pub layout: CompactString,
    /// Whether every data centre has one host only.
    #[serde(default)]
    pub one_host_per_site: bool,
    /// Milliseconds of load.
    pub time_ms: u64,
    /// Times that load and events are repeated on the same fleet.
    #[serde(default = "default_rounds")]
    pub rounds: u32,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Streams.
    pub streams: Vec<ScenarioStream>,
    /// Events in the order of their times.
    #[serde(default)]
    pub events: Vec<TimedEvent>,
    /// Time that a statement keeps its slot, in place of the layout's.
    #[serde(default)]
    pub statement_us: Option<u64>,
    /// Whether the baseline runs the same load.
    #[serde(default)]
    pub baseline: bool,
}

fn default_rounds() -> u32 {
    1
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// The layout, with one database.
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

    /// The streams of the load.
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
