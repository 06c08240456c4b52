//! `measure`: runs scenarios on a fleet on loopback.

use std::path::{Path, PathBuf};

use fulmarrill_measure::{Scenario, measure_cost, run_scenario};

use crate::commands::read_file;
use crate::error::CommandError;
use crate::logging;

/// Number of threads shared by all hosts and stand-ins.
const TRAFFIC_THREADS: usize = 6;

/// Measures the cost of the proxy if `cost` is set, then runs each scenario; fails if
/// the ledger of a scenario contradicts the database.
pub fn run(json: bool, cost: bool, paths: &[PathBuf]) -> Result<(), CommandError> {
    fulmarrill_runtime::start_threads(TRAFFIC_THREADS);
    logging::start("error", logging::LogTarget::Error);
    if cost {
        let report = smol::block_on(measure_cost())?;
        if json {
            println!("{}", report.to_json());
        } else {
            println!("{}", report.show());
        }
    }
    let mut faults = 0;
    for path in paths {
        let scenario = read_scenario(path)?;
        let result = smol::block_on(run_scenario(&scenario))?;
        faults += result.faults.len();
        if json {
            println!("{}", result.to_json());
        } else {
            println!("{}", result.show());
        }
    }
    if faults > 0 {
        return Err(CommandError::CheckFailed(format!(
            "{faults} writes contradict what callers were told"
        )));
    }
    Ok(())
}

fn read_scenario(path: &Path) -> Result<Scenario, CommandError> {
    let text = read_file(path)?;
    Scenario::parse(&text).map_err(|error| CommandError::Refused {
        path: path.display().to_string(),
        faults: vec![fulmarrill_document::DocumentError::new(
            format!("line {}, column {}", error.line(), error.column()),
            error.to_string(),
        )],
    })
}
