//! When a host says that its state of the store is old.

use std::time::Duration;

use fulmarrill_proxy::clock::BootTime;
use fulmarrill_proxy::control::ConfirmedTimes;
use fulmarrill_proxy::relay::staleness::StalenessMonitor;

#[test]
fn each_list_is_reported_once_when_it_becomes_stale_and_when_it_is_confirmed() {
    let start = BootTime::now();
    let mut confirmed = ConfirmedTimes {
        configuration: Some(start),
        instances: Some(start),
        terms: None,
    };
    let mut monitor = StalenessMonitor::default();
    assert_eq!(monitor.update(&confirmed, start), []);
    let later = start.after(Duration::from_secs(11));
    confirmed.instances = Some(later);
    let changes = monitor.update(&confirmed, later);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].list, "configuration");
    assert!(changes[0].is_stale);
    assert_eq!(monitor.update(&confirmed, later), []);
    confirmed.configuration = Some(later);
    let changes = monitor.update(&confirmed, later);
    assert!(!changes[0].is_stale);
}
