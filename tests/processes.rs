//! Platform, instances and hosts as separate processes, some of which are killed,
//! paused or told to leave.

use std::time::Duration;

use compact_str::CompactString;
use fulmarrill_load::{CallerPool, LoadKind, LoadPlan, LoadStream, RequestOutcome, run_load};
use rustix::process::Signal;

use crate::util::{DATABASE, ProcessFleet, WAIT_TIMEOUT, ledger_faults};

fn plan(callers: Vec<CompactString>, seed: u64, time: Duration) -> LoadPlan {
    LoadPlan::new(DATABASE, callers, seed)
        .with_time(time)
        .with_stream(LoadStream::new("renewals", LoadKind::WriteThenRead, 20.0))
        .with_stream(LoadStream::new("scans", LoadKind::Read, 40.0))
}

async fn run_statement(pool: &CallerPool, statement: &str) -> RequestOutcome {
    pool.run(
        &[statement.into()],
        None,
        std::time::Instant::now() + WAIT_TIMEOUT,
    )
    .await
}

#[test]
fn separate_processes_serve_reads_and_writes() {
    let fleet = ProcessFleet::start("read-write");
    smol::block_on(async {
        let pool = CallerPool::new(&fleet.callers(), DATABASE, "renewals", "city");
        for number in 0..3 {
            let insert = format!("INSERT INTO badges (id, holder) VALUES ({number}, 'stall')");
            assert_eq!(
                run_statement(&pool, &insert).await,
                RequestOutcome::Served(Vec::new())
            );
        }
        let count = run_statement(&pool, "SELECT count(*) FROM badges").await;
        assert_eq!(count, RequestOutcome::Served(vec![Some("3".to_owned())]));
    });
}

#[test]
fn killed_primary_loses_and_duplicates_no_write() {
    let mut fleet = ProcessFleet::start("kill-primary");
    let callers = fleet.callers();
    let plan = plan(callers.clone(), 41, Duration::from_secs(5));
    smol::block_on(async {
        let load = smol::spawn({
            let plan = plan.clone();
            async move { run_load(&plan).await }
        });
        smol::Timer::after(Duration::from_secs(2)).await;
        drop(fleet.instances.remove(0));
        let report = load.await;
        assert!(report.acknowledged > 0);
        assert_eq!(report.streams["renewals"].stale, 0);
        assert_eq!(ledger_faults(&plan, &callers).await, Vec::new());
    });
}

#[test]
fn paused_host_that_resumes_loses_and_duplicates_no_write() {
    let fleet = ProcessFleet::start("pause");
    let callers = fleet.callers();
    let plan = plan(callers.clone(), 42, Duration::from_secs(6));
    smol::block_on(async {
        let load = smol::spawn({
            let plan = plan.clone();
            async move { run_load(&plan).await }
        });
        smol::Timer::after(Duration::from_secs(1)).await;
        fleet.hosts[0].signal(Signal::STOP);
        smol::Timer::after(Duration::from_secs(3)).await;
        fleet.hosts[0].signal(Signal::CONT);
        let report = load.await;
        assert_eq!(report.streams["renewals"].stale, 0);
        assert_eq!(ledger_faults(&plan, &callers).await, Vec::new());
    });
}

#[test]
fn host_told_to_leave_exits_with_success() {
    let mut fleet = ProcessFleet::start("leave");
    let leaving = fleet.hosts.remove(2);
    leaving.signal(Signal::TERM);
    assert!(leaving.wait(), "the exit code of an orderly shutdown is 0");
}
