//! Runs a scenario on a fleet, then on the baseline.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_fleet::{FleetError, FleetLayout, LocalFleet};
use fulmarrill_load::{CallerPool, LoadPlan, LoadReport, RequestOutcome, run_load};
use fulmarrill_standin::{PlatformFaults, PlatformMode};
use smol::Timer;
use thiserror::Error;

use crate::baseline::NaiveProxy;
use crate::result::ScenarioResult;
use crate::scenario::{Scenario, ScenarioEvent};

/// Timeout for reading back the writes.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for the fleet to be ready before each round.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a scenario cannot be measured.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// The fleet cannot start or does not become ready.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The baseline cannot start.
    #[error("baseline: {0}")]
    Baseline(std::io::Error),
    /// A measured statement, or the one that reads the writes back, failed.
    #[error("statement failed: {0}")]
    Statement(String),
}

/// Runs all rounds of a scenario, compares the reported writes with the database, and
/// runs the baseline if the scenario asks for it.
///
/// # Errors
///
/// When a fleet or the baseline does not start, the fleet does not become ready, or
/// the writes cannot be read back.
pub async fn run_scenario(scenario: &Scenario) -> Result<ScenarioResult, MeasureError> {
    let mut result = ScenarioResult::new(scenario);
    let layout = scenario.fleet_layout();
    let mut fleet = LocalFleet::start(layout.clone()).await?;
    let started_at = Instant::now();
    let mut plans = Vec::new();
    for round in 0..scenario.rounds {
        fleet.wait_ready(READY_TIMEOUT).await?;
        let plan = make_plan(
            scenario,
            &layout,
            caller_addresses(&fleet),
            u64::from(round),
        );
        result
            .rounds
            .push(run_round(scenario, &mut fleet, &plan).await?);
        plans.push(plan);
    }
    result.time = started_at.elapsed();
    result.region_bytes = fleet.bytes_between_regions();
    result.store_calls = fleet.platform().calls();
    result.replica_share = fleet.replica_share();
    let held = read_back(&caller_addresses(&fleet), &layout.databases[0].name).await?;
    for plan in &plans {
        result.faults.extend(plan.ledger().compare(&held));
    }
    drop(fleet);
    if scenario.baseline {
        result.baseline = Some(run_baseline(scenario, layout).await?);
    }
    Ok(result)
}

fn make_plan(
    scenario: &Scenario,
    layout: &FleetLayout,
    callers: Vec<CompactString>,
    round: u64,
) -> LoadPlan {
    let seed = scenario.seed + 1000 * round;
    let mut plan = LoadPlan::new(&layout.databases[0].name, callers, seed)
        .with_time(Duration::from_millis(scenario.time_ms));
    for stream in scenario.load_streams() {
        plan = plan.with_stream(stream);
    }
    plan
}

fn caller_addresses(fleet: &LocalFleet) -> Vec<CompactString> {
    fleet
        .host_names()
        .iter()
        .map(|name| fleet.caller_address(name))
        .collect()
}

async fn run_round(
    scenario: &Scenario,
    fleet: &mut LocalFleet,
    plan: &LoadPlan,
) -> Result<LoadReport, MeasureError> {
    let started_at = Instant::now();
    let load = fulmarrill_runtime::spawn({
        let plan = plan.clone();
        async move { run_load(&plan).await }
    });
    for timed in &scenario.events {
        Timer::at(started_at + Duration::from_millis(timed.at_ms)).await;
        apply_event(fleet, timed.event).await?;
    }
    Ok(load.await)
}

async fn apply_event(fleet: &mut LocalFleet, event: ScenarioEvent) -> Result<(), MeasureError> {
    let database = fleet.layout().databases[0].name.clone();
    match event {
        ScenarioEvent::CutPrimary => {
            if let Some(primary) = fleet.primary_of(&database) {
                fleet.set_path_faults(
                    |from, to| from == primary || to == primary,
                    |faults| faults.disconnected = true,
                );
            }
        }
        ScenarioEvent::Heal => fleet.set_path_faults(|_, _| true, |_| {}),
        ScenarioEvent::LeavePrimary => {
            let primary = fleet.primary_of(&database);
            fleet.change_group(&database, |group| {
                for instance in &mut group.instances {
                    instance.leaving = Some(&instance.name) == primary.as_ref();
                }
            });
        }
        ScenarioEvent::RestartHost => restart_host(fleet).await?,
        ScenarioEvent::StoreDown => {
            let mode = PlatformMode::Refusing;
            fleet.platform().set_faults(PlatformFaults {
                mode,
                ..PlatformFaults::default()
            });
        }
        ScenarioEvent::StoreUp => {
            fleet.platform().set_faults(PlatformFaults::default());
        }
    }
    Ok(())
}

/// Restarts the host that has been running for the longest time: it shuts down
/// gracefully, then it is started again.
async fn restart_host(fleet: &mut LocalFleet) -> Result<(), MeasureError> {
    let Some(name) = fleet.oldest_host() else {
        return Ok(());
    };
    let layout = fleet
        .layout()
        .hosts
        .iter()
        .find(|host| host.name == name)
        .cloned();
    if let (Some(process), Some(layout)) = (fleet.take_host(&name), layout) {
        process.leave().await;
        fleet.start_host(&layout).await?;
    }
    Ok(())
}

async fn read_back(
    callers: &[CompactString],
    database: &str,
) -> Result<Vec<CompactString>, MeasureError> {
    let pool = CallerPool::new(callers, database, "counter", "city");
    let deadline = Instant::now() + READ_BACK_TIMEOUT;
    loop {
        match pool
            .run(&["SELECT id FROM renewals".into()], None, deadline)
            .await
        {
            RequestOutcome::Served(column) => {
                return Ok(column
                    .into_iter()
                    .flatten()
                    .map(CompactString::from)
                    .collect());
            }
            other if Instant::now() > deadline => {
                return Err(MeasureError::Statement(format!(
                    "reading the writes back: {other:?}"
                )));
            }
            _ => {
                Timer::after(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn run_baseline(
    scenario: &Scenario,
    layout: FleetLayout,
) -> Result<LoadReport, MeasureError> {
    let hosts = layout.hosts.clone();
    let without_hosts = FleetLayout {
        hosts: Vec::new(),
        ..layout.clone()
    };
    let mut fleet = LocalFleet::start(without_hosts).await?;
    let connection_limit = (layout.connection_limit / hosts.len()).max(1);
    let mut proxies = Vec::new();
    for host in &hosts {
        let paths = fleet
            .open_instance_paths(&host.name, &host.data_centre)
            .await?;
        proxies.push(
            NaiveProxy::start(paths, connection_limit)
                .await
                .map_err(MeasureError::Baseline)?,
        );
    }
    let callers = proxies.iter().map(NaiveProxy::address).collect();
    let plan = make_plan(scenario, &layout, callers, 0);
    Ok(run_load(&plan).await)
}
