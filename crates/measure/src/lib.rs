//! Scenarios on a complete fleet, measured against a naive baseline proxy.
//!
//! ```no_run
//! let text = std::fs::read_to_string("scenarios/flood-lowest.json").unwrap();
//! let scenario = fulmarrill_measure::Scenario::parse(&text).unwrap();
//! let result = smol::block_on(fulmarrill_measure::run_scenario(&scenario)).unwrap();
//! println!("{}", result.show());
//! ```
//!
//! A scenario names a layout, seeded streams of requests and a schedule of
//! failures. The baseline is a minimal proxy: a fixed number of connections per
//! host and instance, requests served first come first served, reads sent to the
//! replicas round robin, and writes acknowledged as soon as the primary answers.

mod baseline;
mod cost;
mod result;
mod run;
mod scenario;

pub use crate::baseline::NaiveProxy;
pub use crate::cost::{CostReport, CostSeries, FleetCost, measure_cost};
pub use crate::result::ScenarioResult;
pub use crate::run::{MeasureError, run_scenario};
pub use crate::scenario::{Scenario, ScenarioEvent, ScenarioStream, TimedEvent};
