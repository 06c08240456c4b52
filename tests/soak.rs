//! A short soak test: faults injected around host processes must not make any answer
//! to a caller wrong.

use std::path::Path;
use std::time::Duration;

use fulmarrill_soak::{SoakOptions, run_soak};
use rstest::rstest;

/// Numbers of hosts and callers; small because other tests run at the same time.
const SIZE: (usize, usize) = (3, 6);
const TIME: Duration = Duration::from_secs(10);
const DRILL_SEED: u64 = 4404;
const LOSS_SEED: u64 = 4801;
/// Long enough for the loss of a host, its mark and its return.
const LOSS_TIME: Duration = Duration::from_secs(20);
/// Long enough for a drill, the time after which the store is stable, and a drain time.
const DRILL_TIME: Duration = Duration::from_secs(24);

#[rstest]
#[case::few_disturbances(11)]
#[case::change_of_primary(12)]
#[case::answers_given_twice(4101)]
fn answers_to_callers_hold_under_faults(#[case] seed: u64) {
    let program = Path::new(env!("CARGO_BIN_EXE_fulmarrill"));
    let options = SoakOptions::new(program, seed)
        .with_size(SIZE.0, SIZE.1)
        .with_time(TIME);
    let report = smol::block_on(run_soak(&options)).expect("the soak runs");
    assert_eq!(
        report.violations,
        Vec::<String>::new(),
        "{:#?}",
        report.plan
    );
    assert!(report.acknowledged > 0);
    assert!(report.findings.compared > 0 && report.findings.received > 0);
}

/// Guards against answers that are wrong because the store came back from an older copy, and
/// against a primary that leaves after that and stays in use.
#[test]
fn answers_to_callers_hold_after_a_drill_of_the_store() {
    let program = Path::new(env!("CARGO_BIN_EXE_fulmarrill"));
    let options = SoakOptions::new(program, DRILL_SEED)
        .with_size(SIZE.0, SIZE.1)
        .with_time(DRILL_TIME)
        .with_drills(true);
    let report = smol::block_on(run_soak(&options)).expect("the soak runs");
    assert_eq!(
        report.violations,
        Vec::<String>::new(),
        "{:#?}",
        report.plan
    );
    assert!(report.acknowledged > 0);
    assert!(report.drains.checked > 0);
}

/// Guards against answers that are wrong because hosts were lost in series, or because orders to
/// promote were held up and arrived late.
#[test]
fn answers_to_callers_hold_while_hosts_are_lost_and_orders_held_up() {
    let program = Path::new(env!("CARGO_BIN_EXE_fulmarrill"));
    let options = SoakOptions::new(program, LOSS_SEED)
        .with_size(SIZE.0, SIZE.1)
        .with_time(LOSS_TIME)
        .with_losses(true);
    let report = smol::block_on(run_soak(&options)).expect("the soak runs");
    assert_eq!(
        report.violations,
        Vec::<String>::new(),
        "{:#?}",
        report.plan
    );
    assert!(report.acknowledged > 0);
}
