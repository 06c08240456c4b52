//! `soak`: seeded fault injection around hosts that run as processes.

use std::path::Path;

use fulmarrill_soak::{SoakOptions, SoakReport, render_page, run_soak};

use crate::error::CommandError;
use crate::logging;

/// Most violations printed for each seed.
const FAULTS_SHOWN: usize = 20;
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
    let (of_ended_runs, missing) = report.unrecorded;
    println!(
        "seed {}: {} disturbances, {} served, {} not, {} writes acknowledged, {} changes of \
         primary, {} faults; of {of_ended_runs} writes of ended runs {missing} are in no record",
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
    for disturbance in &report.plan {
        println!(
            "  {:>6} ms {:?} for {} ms",
            disturbance.at.as_millis(),
            disturbance.kind,
            disturbance.lasts.as_millis()
        );
    }
    println!("  logs: {}", report.folder.display());
}
