//! Failure detection for the primary of a group.

use std::time::{Duration, Instant};

use fulmarrill_position::{InstanceRole, InstanceStatus, LogPoint};
use fulmarrill_replication::{DatabaseGroup, GroupInstance, GroupMonitor, MonitorVerdict};

const LIMIT: Duration = Duration::from_millis(500);

fn group(term: u64, primary: &str) -> DatabaseGroup {
    let mut group = DatabaseGroup::new("registry-1", term, primary);
    for name in ["a", "b", "c"] {
        group = group.with_instance(GroupInstance::new(name, "kosice-a", "vychod"));
    }
    group
}

fn status(role: InstanceRole, fence_term: u64, streaming: bool) -> InstanceStatus {
    let received = LogPoint::new(1, 7);
    InstanceStatus {
        role,
        fence_term,
        received,
        applied: received,
        streaming,
        matched: true,
    }
}

/// Runs a check every 100 ms; `reports` returns the statuses reported at a step.
fn run(
    monitor: &mut GroupMonitor,
    group: &DatabaseGroup,
    start: Instant,
    steps: u32,
    reports: impl Fn(u32) -> Vec<(&'static str, InstanceStatus)>,
) -> Vec<MonitorVerdict> {
    let mut verdicts = Vec::new();
    for step in 0..steps {
        let now = start + Duration::from_millis(100) * step;
        for (name, status) in reports(step) {
            monitor.observe(now, name, status);
        }
        verdicts.push(monitor.check(now, group));
    }
    verdicts
}

#[test]
fn silent_primary_is_detected_after_the_limit() {
    let mut monitor = GroupMonitor::new(LIMIT);
    let replica = status(InstanceRole::Replica, 1, true);
    let primary = status(InstanceRole::Primary, 1, false);
    let verdicts = run(&mut monitor, &group(1, "a"), Instant::now(), 14, |step| {
        let mut reports = vec![("b", replica), ("c", replica)];
        if step < 5 {
            reports.push(("a", primary));
        }
        reports
    });
    assert_eq!(verdicts[8], MonitorVerdict::Healthy);
    assert_eq!(verdicts[11], MonitorVerdict::PrimarySilent);
}

#[test]
fn primary_without_streaming_replicas_is_isolated() {
    let mut monitor = GroupMonitor::new(LIMIT);
    let primary = status(InstanceRole::Primary, 1, false);
    let verdicts = run(&mut monitor, &group(1, "a"), Instant::now(), 12, |step| {
        let replica = status(InstanceRole::Replica, 1, step < 3);
        vec![("a", primary), ("b", replica), ("c", replica)]
    });
    assert_eq!(verdicts[4], MonitorVerdict::Healthy);
    assert_eq!(verdicts[11], MonitorVerdict::PrimaryIsolated);
}

#[test]
fn too_few_responding_instances_are_reported_as_no_majority() {
    let mut monitor = GroupMonitor::new(LIMIT);
    let replica = status(InstanceRole::Replica, 1, false);
    let verdicts = run(&mut monitor, &group(1, "a"), Instant::now(), 14, |_| {
        vec![("b", replica)]
    });
    assert_eq!(verdicts[13], MonitorVerdict::NoMajority);
}

/// Guards against replacing a new primary at once because the silence of its
/// predecessor and its own last report as a replica count against it (issue 4).
#[test]
fn detection_restarts_for_a_new_primary() {
    let mut monitor = GroupMonitor::new(LIMIT);
    let start = Instant::now();
    let replica = status(InstanceRole::Replica, 1, true);
    let before = run(&mut monitor, &group(1, "a"), start, 12, |step| {
        let mut reports = vec![("b", replica), ("c", replica)];
        if step < 2 {
            reports.push(("a", status(InstanceRole::Primary, 1, false)));
        }
        reports
    });
    assert_eq!(before[11], MonitorVerdict::PrimarySilent);
    let later = start + Duration::from_millis(1200);
    assert_eq!(
        monitor.check(later, &group(2, "b")),
        MonitorVerdict::Healthy
    );
    let later = later + Duration::from_millis(100);
    assert_eq!(
        monitor.check(later, &group(2, "b")),
        MonitorVerdict::Healthy
    );
}

#[test]
fn pause_of_the_host_is_not_mistaken_for_silence() {
    let mut monitor = GroupMonitor::new(LIMIT);
    let start = Instant::now();
    monitor.observe(start, "a", status(InstanceRole::Primary, 1, false));
    assert_eq!(
        monitor.check(start, &group(1, "a")),
        MonitorVerdict::Healthy
    );
    let resumed = start + Duration::from_secs(20);
    for step in 0..4 {
        let now = resumed + Duration::from_millis(100) * step;
        monitor.observe(now, "b", status(InstanceRole::Replica, 1, true));
        monitor.observe(now, "c", status(InstanceRole::Replica, 1, true));
        assert_eq!(monitor.check(now, &group(1, "a")), MonitorVerdict::Healthy);
    }
}
