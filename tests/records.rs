//! The export of a customer's record: complete, and refused if it was altered.

use std::time::Duration;

use fulmarrill_fleet::LocalFleet;
use fulmarrill_load::{LoadKind, LoadPlan, LoadStream, run_load};
use fulmarrill_objects::ObjectKey;
use serde_json::Value;

use crate::util::{
    DATABASE, caller_addresses, lock_fleet, run, small_layout, stderr, stdout, wait_until,
};

/// Returns the number of lines of a customer's export, `None` if it is refused.
fn export(fleet: &LocalFleet, customer: &str) -> Option<usize> {
    let platform = fleet.platform().address().to_string();
    let output = run(&["export", "--platform", &platform, customer]);
    output
        .status
        .success()
        .then(|| stdout(&output).lines().count())
}

#[test]
fn every_answered_request_is_in_the_record_when_a_host_is_killed() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = LocalFleet::start(small_layout())
            .await
            .expect("the fleet starts");
        let plan = LoadPlan::new(DATABASE, caller_addresses(&fleet), 71)
            .with_time(Duration::from_secs(3))
            .with_stream(LoadStream::new("scans", LoadKind::Read, 40.0).with_customer("stall-7"))
            .with_stream(LoadStream::new("renewals", LoadKind::KeyedWrite, 10.0));
        let load = smol::spawn({
            let plan = plan.clone();
            async move { run_load(&plan).await }
        });
        smol::Timer::after(Duration::from_millis(1500)).await;
        fleet.kill_host("h4");
        let report = load.await;
        let scans = &report.streams["scans"];
        let answered = usize::try_from(scans.served + scans.failed).expect("a small number");
        assert!(answered > 0);
        wait_until(async || export(&fleet, "stall-7").is_some_and(|lines| lines >= answered)).await;
        // A customer's export holds no records of other customers.
        assert_eq!(export(&fleet, "nobody"), Some(0));
    });
}

#[test]
fn altered_record_is_refused() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let fleet = LocalFleet::start(small_layout())
            .await
            .expect("the fleet starts");
        let plan = LoadPlan::new(DATABASE, caller_addresses(&fleet), 72)
            .with_time(Duration::from_secs(1))
            .with_stream(LoadStream::new("scans", LoadKind::Read, 30.0).with_customer("stall-8"));
        let report = run_load(&plan).await;
        let offered = usize::try_from(report.streams["scans"].offered()).expect("a small number");
        wait_until(async || export(&fleet, "stall-8").is_some_and(|lines| lines >= offered)).await;
        let platform = fleet.platform();
        let list = platform.objects("record");
        let mut changed = false;
        for object in list {
            let mut value = object.value.clone();
            let Some(record) = value.pointer_mut("/0/records/0/statement") else {
                continue;
            };
            *record = Value::String("SELECT 'forged'".to_owned());
            platform.set_object(&ObjectKey::new("record", &object.name), value);
            changed = true;
            break;
        }
        assert!(changed, "there was a record to change");
        let address = platform.address().to_string();
        let output = run(&["export", "--platform", &address, "stall-8"]);
        assert_eq!(output.status.code(), Some(2));
        assert!(
            stderr(&output).contains("was altered, dropped or swapped"),
            "{}",
            stderr(&output)
        );
    });
}
