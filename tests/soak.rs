//! A short soak: what goes wrong around hosts that run as processes must not
//! show to callers.

use std::path::Path;
use std::time::Duration;

use fulmarrill_soak::{SoakOptions, run_soak};
use rstest::rstest;

/// Hosts and callers; few, since tests run beside others.
const SIZE: (usize, usize) = (3, 6);
const TIME: Duration = Duration::from_secs(10);

#[rstest]
#[case::few_disturbances(11)]
#[case::a_change_of_primary(12)]
fn nothing_that_callers_were_told_proves_wrong(#[case] seed: u64) {
    let program = Path::new(env!("CARGO_BIN_EXE_fulmarrill"));
    let options = SoakOptions::new(program, seed)
        .with_size(SIZE.0, SIZE.1)
        .with_time(TIME);
    let report = smol::block_on(run_soak(&options)).expect("a soak");
    assert_eq!(
        report.violations,
        Vec::<String>::new(),
        "{:#?}",
        report.plan
    );
    assert!(report.acknowledged > 0);
}
