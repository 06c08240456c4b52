//! `soak`: random faults around hosts that run as processes.

use std::path::Path;

use fulmarrill_soak::{SoakOptions, SoakReport, render_page, run_soak};

use crate::error::CommandError;
use crate::logging;

/// Broken promises shown for each seed.
const FAULTS_SHOWN: usize = 20;
/// Fresh seeds are below this, so that they are easy to note down.
const SEED_LIMIT: u64 = 1_000_000_000;

/// Runs seeds one after the other; fails if one of them broke a promise.
pub fn run(
    seed: Option<u64>,
    seeds: u64,
    page: Option<&Path>,
    sized: &dyn Fn(SoakOptions) -> SoakOptions,
) -> Result<(), CommandError> {
    logging::start("warn", logging::LogTarget::Error);
    let program = std::env::current_exe()?;
    let first = seed.unwrap_or_else(|| fastrand::u64(..SEED_LIMIT));
    let mut failed = Vec::new();
    for seed in first..first + seeds {
        let options = sized(SoakOptions::new(&program, seed));
        let report = smol::block_on(run_soak(&options))?;
        show(&report);
        if let Some(page) = page {
            std::fs::write(page, render_page(&report)?)?;
        }
        if !report.violations.is_empty() {
            failed.push(seed);
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    Err(CommandError::Untrue(format!(
        "promises were broken with seeds {failed:?}"
    )))
}

fn show(report: &SoakReport) {
    let (of_others, missing) = report.unrecorded;
    println!(
        "seed {}: {} disturbances, {} served, {} not, {} writes acknowledged, {} changes of \
         primary, {} faults; of {of_others} writes of ended runs {missing} are in no record",
        report.seed,
        report.plan.len(),
        report.served,
        report.failed,
        report.acknowledged,
        report.promotions,
        report.violations.len(),
    );
    if report.violations.is_empty() {
        return;
    }
    for fault in report.violations.iter().take(FAULTS_SHOWN) {
        println!("  FAULT: {fault}");
    }
    for planned in &report.plan {
        println!(
            "  {:>6} ms {:?} for {} ms",
            planned.at.as_millis(),
            planned.kind,
            planned.lasts.as_millis()
        );
    }
    println!("  logs: {}", report.folder.display());
}
