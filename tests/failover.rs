//! Changes of primary under load, with the fleet in one process.

use std::time::Duration;

use fulmarrill_fleet::LocalFleet;
use fulmarrill_load::{LoadKind, LoadPlan, LoadReport, LoadStream, run_load};

use crate::util::{
    DATABASE, caller_addresses, ledger_faults, lock_fleet, small_layout, wait_until,
};

fn write_plan(fleet: &LocalFleet, seed: u64, seconds: u64) -> LoadPlan {
    LoadPlan::new(DATABASE, caller_addresses(fleet), seed)
        .with_time(Duration::from_secs(seconds))
        .with_stream(LoadStream::new("renewals", LoadKind::WriteThenRead, 20.0))
        .with_stream(LoadStream::new("counter", LoadKind::Transaction, 5.0))
        .with_stream(LoadStream::new("scans", LoadKind::Read, 40.0))
}

/// Runs a load and calls `fail` after one second.
async fn load_while(
    fleet: &mut LocalFleet,
    plan: &LoadPlan,
    fail: impl AsyncFnOnce(&mut LocalFleet),
) -> LoadReport {
    let load = smol::spawn({
        let plan = plan.clone();
        async move { run_load(&plan).await }
    });
    smol::Timer::after(Duration::from_secs(1)).await;
    fail(fleet).await;
    load.await
}

async fn start() -> LocalFleet {
    LocalFleet::start(small_layout())
        .await
        .expect("the fleet starts")
}

#[test]
fn isolated_primary_is_replaced_and_its_log_tail_discarded() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        let plan = write_plan(&fleet, 51, 5);
        let old = fleet.primary_of(DATABASE).expect("a primary");
        let report = load_while(&mut fleet, &plan, async |fleet| {
            fleet.set_path_faults(
                |from, to| from == old || to == old,
                |faults| faults.disconnected = true,
            );
            smol::Timer::after(Duration::from_secs(3)).await;
            fleet.set_path_faults(|_, _| true, |_| {});
        })
        .await;
        assert_ne!(fleet.primary_of(DATABASE), Some(old.clone()));
        assert_eq!(report.streams["renewals"].stale, 0);
        assert_eq!(
            ledger_faults(&plan, &caller_addresses(&fleet)).await,
            Vec::new()
        );
        // The old primary follows the new one and ends with the same log position.
        let fleet = &fleet;
        wait_until(async || {
            let received = |name: &str| {
                fleet
                    .instance(name)
                    .map(|instance| instance.status().received)
            };
            let new = fleet.primary_of(DATABASE).and_then(|name| received(&name));
            new.is_some() && new == received(&old)
        })
        .await;
    });
}

#[test]
fn primary_cut_off_from_its_replicas_loses_no_acknowledged_write() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        let plan = write_plan(&fleet, 52, 5);
        let old = fleet.primary_of(DATABASE).expect("a primary");
        let is_instance = |name: &str| name.starts_with(DATABASE);
        let report = load_while(&mut fleet, &plan, async |fleet| {
            fleet.set_path_faults(
                |from, to| is_instance(from) && to == old,
                |faults| faults.stalled = true,
            );
        })
        .await;
        assert_ne!(fleet.primary_of(DATABASE), Some(old));
        assert_eq!(report.streams["renewals"].stale, 0);
        assert_eq!(
            ledger_faults(&plan, &caller_addresses(&fleet)).await,
            Vec::new()
        );
    });
}

#[test]
fn leaving_primary_hands_over_without_a_failed_request() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        let plan = write_plan(&fleet, 53, 4);
        let old = fleet.primary_of(DATABASE).expect("a primary");
        let report = load_while(&mut fleet, &plan, async |fleet| {
            fleet.change_group(DATABASE, |group| {
                for instance in &mut group.instances {
                    instance.leaving = instance.name == old;
                }
            });
        })
        .await;
        assert_ne!(fleet.primary_of(DATABASE), Some(old));
        let renewals = &report.streams["renewals"];
        assert_eq!(
            renewals.not_run + renewals.unknown + renewals.failed,
            0,
            "{renewals:?}"
        );
        assert_eq!(
            ledger_faults(&plan, &caller_addresses(&fleet)).await,
            Vec::new()
        );
    });
}

#[test]
fn two_consecutive_failures_lose_no_write() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        let plan = write_plan(&fleet, 54, 7);
        let first = fleet.primary_of(DATABASE).expect("a primary");
        load_while(&mut fleet, &plan, async |fleet| {
            let cut = |name: &str, fleet: &LocalFleet| {
                let name = name.to_owned();
                fleet.set_path_faults(
                    |from, to| from == name || to == name,
                    |faults| faults.disconnected = true,
                );
            };
            cut(&first, fleet);
            smol::Timer::after(Duration::from_secs(2)).await;
            // The first primary is reconnected, then its successor is cut off.
            fleet.set_path_faults(|_, _| true, |_| {});
            smol::Timer::after(Duration::from_secs(1)).await;
            if let Some(second) = fleet.primary_of(DATABASE) {
                cut(&second, fleet);
            }
            smol::Timer::after(Duration::from_secs(2)).await;
            fleet.set_path_faults(|_, _| true, |_| {});
        })
        .await;
        assert_eq!(
            ledger_faults(&plan, &caller_addresses(&fleet)).await,
            Vec::new()
        );
    });
}
