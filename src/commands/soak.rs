//! `soak`: seeded fault injection around hosts that run as processes.

use std::collections::BTreeMap;
use std::path::Path;

use fulmarrill_soak::{SoakOptions, SoakReport, render_page, run_soak};

use crate::error::CommandError;
use crate::logging;

/// Maximum number of violations printed for each seed and check.
const VIOLATIONS_SHOWN: usize = 20;
/// Names of the checks of single statements.
const CHECK_NAMES: [&str; 8] = [
    "MIXED",
    "UNASKED",
    "PINNED",
    "MALFORMED",
    "ROUTE",
    "DRAIN",
    "QUOTA",
    "KEY",
];
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
    let findings = &report.findings;
    println!(
        "  {} successes and {} received statements compared: {} MIXED, {} UNASKED, {} PINNED, {} \
         MALFORMED, {} messages to idle sessions; {} reads refused as not run that ran; {} answers \
         given twice, {} statements refused as busy by faults",
        findings.compared,
        findings.received,
        findings.mixed.len(),
        findings.unasked.len(),
        findings.pinned.len(),
        findings.malformed.len(),
        report.unsolicited,
        findings.refused_reads,
        report.repeated_answers,
        report.busy_refusals,
    );
    println!(
        "  {} sessions and statements refused because of their key; {} violations of keys and \
         limits; {} leaving instances followed, {} statements reached them too late",
        report.key_refusals,
        report.customer_violations,
        report.drains.checked,
        report.drains.late.len(),
    );
    if report.violations.is_empty() {
        return;
    }
    let mut shown: BTreeMap<&str, usize> = BTreeMap::new();
    for violation in &report.violations {
        // Checks of statements put their name first.
        let name = violation.split_once(": ").map_or("", |(name, _)| name);
        let name = if CHECK_NAMES.contains(&name) {
            name
        } else {
            ""
        };
        let count = shown.entry(name).or_default();
        *count += 1;
        if *count <= VIOLATIONS_SHOWN {
            println!("  VIOLATION: {violation}");
        }
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
