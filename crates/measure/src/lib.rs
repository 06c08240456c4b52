//! Scenarios on a whole fleet, measured beside a naive baseline.
//!
//! ```no_run
//! let text = std::fs::read_to_string("scenarios/flood-lowest.json").unwrap();
//! let scenario = fulmarrill_measure::Scenario::parse(&text).unwrap();
//! let result = smol::block_on(fulmarrill_measure::run_scenario(&scenario)).unwrap();
//! println!("{}", result.show());
//! ```
//!
//! A scenario names a layout, streams of requests with a seed, and what fails
//! when. The baseline is a proxy that any team would write first: a fixed share
//! of connections per host, first come first served, replicas in turn, a write
//! acknowledged when the primary says so.

mod baseline;
mod cost;
mod result;
mod run;
mod scenario;

pub use crate::baseline::NaiveProxy;
pub use crate::cost::{ControlCost, CostReport, CostSeries, measure_cost};
pub use crate::result::ScenarioResult;
pub use crate::run::{MeasureError, run_scenario};
pub use crate::scenario::{Scenario, ScenarioEvent, ScenarioStream, TimedEvent};
