//! `soak`: seeded fault injection around hosts that run as processes.

use std::path::Path;

use fulmarrill_soak::{SoakOptions, SoakReport, render_page, run_soak};

use crate::error::CommandError;
use crate::logging;

/// Maximum number of violations printed for each seed.
const VIOLATIONS_SHOWN: usize = 20;
/// Upper bound of random seeds, which keeps them short enough to note down.
const SEED_LIMIT: u64 = 1_000_000_000;

/// Runs the seeds in sequence; fails if a run violated a guarantee to callers.
pub fn run(
    seed: Option<u64>,
    seeds: u64,
    page: Option<&Path>,
    configure: &dyn Fn(SoakOptions) -> SoakOptions,
) -> Result<(), CommandError> {
    logging::start("warn", logging::LogTarget::Error);
    let program = std::env::current_exe()?;
    let first = seed.unwrap_or_else(|| fastrand::u64(..SEED_LIMIT));
    let mut failed = Vec::new();
    for seed in first..first + seeds {
        let options = configure(SoakOptions::new(&program, seed));
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
    Err(CommandError::CheckFailed(format!(
        "guarantees to callers were violated with seeds {failed:?}"
    )))
}

fn show(report: &SoakReport) {
    let (earlier_writes, missing) = report.unrecorded;
    println!(
        "seed {}: {} injected faults, {} served, {} not served, {} writes acknowledged, {} changes \
         of primary, {} violations; of {earlier_writes} acknowledged writes of runs before the \
         last of each host, {missing} are in no record",
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
    for violation in report.violations.iter().take(VIOLATIONS_SHOWN) {
        println!("  VIOLATION: {violation}");
    }
    for fault in &report.plan {
        println!(
            "  {:>6} ms {:?} for {} ms",
            fault.at.as_millis(),
            fault.kind,
            fault.lasts.as_millis()
        );
    }
    println!("  logs: {}", report.folder.display());
}
