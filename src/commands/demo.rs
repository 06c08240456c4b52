//! `demo`: a fleet on loopback under load while its primary is killed.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_fleet::{FleetLayout, LocalFleet};
use fulmarrill_load::{
    CallerPool, LedgerFault, LoadKind, LoadPlan, LoadReport, LoadStream, RequestOutcome, run_load,
};
use smol::Timer;

use crate::error::CommandError;
use crate::logging;

/// Database under load, whose primary is killed.
const DATABASE: &str = "registry-1";
/// Messages of refusals and errors shown per service.
const MESSAGES_SHOWN: usize = 3;
/// Number of threads shared by all hosts and stand-ins.
const TRAFFIC_THREADS: usize = 6;
/// Seed of the arrival times.
const SEED: u64 = 20_261;
/// Timeout for the change of primary, and for reading back the writes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the demonstration; fails if the ledger contradicts the database.
pub fn run(seconds: u64, listen: bool) -> Result<(), CommandError> {
    fulmarrill_runtime::start_threads(TRAFFIC_THREADS);
    logging::start("error", logging::LogTarget::Error);
    smol::block_on(run_demo(seconds.max(4), listen))
}

async fn run_demo(seconds: u64, listen: bool) -> Result<(), CommandError> {
    println!("Starting a platform, 9 database instances and 9 hosts on 127.0.0.1 ...");
    let mut fleet = LocalFleet::start(FleetLayout::odznak()).await?;
    let addresses: Vec<CompactString> = fleet
        .host_names()
        .iter()
        .map(|name| fleet.caller_address(name))
        .collect();
    println!(
        "Ready. Loading {DATABASE} for {seconds} s through {} hosts ...",
        addresses.len()
    );
    let plan = make_plan(addresses.clone(), Duration::from_secs(seconds));
    let primary = fleet.primary_of(DATABASE).unwrap_or_default();
    let load = fulmarrill_runtime::spawn({
        let plan = plan.clone();
        async move { run_load(&plan).await }
    });
    Timer::after(Duration::from_secs(seconds / 2)).await;
    println!("Killing {primary}, the primary of {DATABASE} ...");
    fleet.kill_instance(&primary);
    let killed_at = Instant::now();
    while fleet.primary_of(DATABASE).is_none_or(|now| now == primary)
        && killed_at.elapsed() < WAIT_TIMEOUT
    {
        Timer::after(Duration::from_millis(5)).await;
    }
    let successor = fleet.primary_of(DATABASE).unwrap_or_default();
    println!(
        "{successor} is the primary after {} ms.",
        killed_at.elapsed().as_millis()
    );
    let report = load.await;
    let replica_share = fleet.replica_share();
    println!(
        "Reading back {} acknowledged writes ...",
        report.acknowledged
    );
    let held = read_back(&addresses).await?;
    let faults = plan.ledger().compare(&held);
    show_report(&report, replica_share);
    for fault in &faults {
        println!("FAULT: {fault}");
        show_log_points(&fleet, fault);
    }
    if listen {
        println!("Callers can connect to any of {}", addresses.join(", "));
        println!(
            "For example: psql 'host=127.0.0.1 port={} dbname={DATABASE}'",
            port_of(&addresses[0])
        );
        println!("Press Ctrl-C to stop.");
        std::future::pending::<()>().await;
    }
    if faults.is_empty() {
        println!("No acknowledged write was lost or duplicated.");
        return Ok(());
    }
    Err(CommandError::Io(std::io::Error::other(format!(
        "{} writes contradict what callers were told",
        faults.len()
    ))))
}

/// Prints where each instance's log has the write that a fault names.
fn show_log_points(fleet: &LocalFleet, fault: &LedgerFault) {
    for instance in &fleet.layout().databases[0].instances {
        if let Some(standin) = fleet.instance(&instance.name) {
            let points = standin.find_logged(fault.id());
            println!(
                "  {}: logged at {points:?}, {:?}",
                instance.name,
                standin.status()
            );
        }
    }
}

fn port_of(address: &str) -> &str {
    address.rsplit(':').next().unwrap_or_default()
}

fn make_plan(addresses: Vec<CompactString>, time: Duration) -> LoadPlan {
    LoadPlan::new(DATABASE, addresses, SEED)
        .with_time(time)
        .with_stream(LoadStream::new("renewals", LoadKind::WriteThenRead, 30.0))
        .with_stream(LoadStream::new("scans", LoadKind::Read, 200.0))
        .with_stream(LoadStream::new("counter", LoadKind::Transaction, 15.0))
        .with_stream(LoadStream::new("reports", LoadKind::SlowRead, 20.0))
}

async fn read_back(addresses: &[CompactString]) -> Result<Vec<CompactString>, CommandError> {
    let pool = CallerPool::new(addresses, DATABASE, "counter", "city");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let outcome = pool
        .run(&["SELECT id FROM renewals".into()], None, deadline)
        .await;
    match outcome {
        RequestOutcome::Served(column) => Ok(column
            .into_iter()
            .flatten()
            .map(CompactString::from)
            .collect()),
        other => Err(CommandError::CheckFailed(format!(
            "writes cannot be read back: {other:?}"
        ))),
    }
}

fn show_report(report: &LoadReport, replica_share: f64) {
    println!();
    print!("{}", report.show_table());
    println!();
    print!("{}", report.show_messages(MESSAGES_SHOWN));
    println!("reads served by replicas   {:.1} %", 100.0 * replica_share);
    println!(
        "longest gap between writes {} ms",
        report.write_gap.as_millis()
    );
    println!("acknowledged writes        {}", report.acknowledged);
}
