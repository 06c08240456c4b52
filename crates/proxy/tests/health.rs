//! Failure detection of instances, and the choice of a new primary.

use std::time::{Duration, Instant};

use fulmarrill_position::LogPoint;
use fulmarrill_proxy::catalogue::InstanceEntry;
use fulmarrill_proxy::change::candidate::{ChangeCandidate, choose_candidate};
use fulmarrill_proxy::clock::BootTime;
use fulmarrill_proxy::codec::{DatabaseRole, DatabaseStatus};
use fulmarrill_proxy::owner::health::InstanceHealth;
use fulmarrill_proxy::owner::monitor::InstanceMonitor;
use fulmarrill_proxy::owner::position::PrimaryPosition;

/// Makes a failing instance down and a silent one stalled.
const LONG_TIME: Duration = Duration::from_millis(400);
/// Separates moments that the monitor reads from its own clock.
const CLOCK_STEP: Duration = Duration::from_millis(2);
/// Longer than the silence after which an instance is probed, and shorter than that
/// after which it counts as stalled.
const SILENT_TIME: Duration = Duration::from_millis(300);

#[test]
fn one_failure_does_not_make_instance_down() {
    let now = Instant::now();
    let mut health = InstanceHealth::default();
    health.record_connect_failure(now);
    assert!(health.is_failing());
    assert!(!health.is_down(now + LONG_TIME));
}

#[test]
fn instance_with_lasting_failures_is_down_until_it_answers() {
    let now = Instant::now();
    let mut health = InstanceHealth::default();
    health.record_connect_failure(now);
    health.record_connect_failure(now);
    assert!(!health.is_down(now));
    assert!(health.is_down(now + LONG_TIME));
    health.record_answer(now + LONG_TIME);
    assert!(!health.is_down(now + LONG_TIME));
    assert!(health.answered_since(now + LONG_TIME));
}

fn replica(id: &str) -> InstanceEntry {
    InstanceEntry {
        id: id.into(),
        database: "orders".into(),
        address: "127.0.0.1:1".into(),
        data_centre: "north-1".into(),
        slots: 2,
        leaving: false,
        role: DatabaseRole::Replica,
        started_ms: 1,
    }
}

fn status(term: u64, position: u64) -> DatabaseStatus {
    DatabaseStatus {
        role: DatabaseRole::Replica,
        term,
        received: LogPoint::new(term, position),
        fence_term: 0,
    }
}

#[test]
fn candidate_with_latest_term_wins_over_higher_position() {
    let (first, second) = (replica("a"), replica("b"));
    let candidates = [
        ChangeCandidate {
            instance: &first,
            status: status(3, 900),
        },
        ChangeCandidate {
            instance: &second,
            status: status(4, 10),
        },
    ];
    assert_eq!(choose_candidate(&candidates).unwrap().instance.id, "b");
    assert!(choose_candidate(&[]).is_none());
}

#[test]
fn positions_of_older_terms_are_ignored() {
    let now = BootTime::now();
    let mut position = PrimaryPosition::default();
    position.record(3, now, LogPoint::new(3, 900));
    position.record(4, now, LogPoint::new(4, 10));
    position.record(3, now.after(LONG_TIME), LogPoint::new(3, 901));
    assert_eq!(position.latest(4), Some((now, LogPoint::new(4, 10))));
    assert_eq!(position.latest(3), None);
}

#[test]
fn reordered_answers_keep_latest_moment_and_highest_position() {
    let now = BootTime::now();
    let mut position = PrimaryPosition::default();
    position.record(3, now.after(LONG_TIME), LogPoint::new(3, 10));
    position.record(3, now, LogPoint::new(3, 12));
    assert_eq!(
        position.latest(3),
        Some((now.after(LONG_TIME), LogPoint::new(3, 12)))
    );
}

#[test]
fn instance_with_overdue_answer_is_stalled_until_any_answer() {
    let monitor = InstanceMonitor::new();
    let sent = monitor.track_command();
    let now = Instant::now();
    assert!(!monitor.is_stalled(now));
    assert!(monitor.is_stalled(now + LONG_TIME));
    monitor.record_answer();
    assert!(!monitor.is_stalled(Instant::now()));
    drop(sent);
    assert!(!monitor.is_stalled(now + 10 * LONG_TIME));
}

/// Guards against the failure of haskell-signs inc-da0c: all slots of the primary
/// were busy when it fell silent, and one command had been answered after all the
/// others were sent.
#[test]
fn instance_is_probed_although_it_answered_after_the_oldest_command() {
    let monitor = InstanceMonitor::new();
    let _oldest = monitor.track_command();
    std::thread::sleep(CLOCK_STEP);
    monitor.record_answer();
    let now = Instant::now();
    assert!(!monitor.begin_probe(now));
    assert!(monitor.begin_probe(now + LONG_TIME));
}

/// An old command that hangs must not hide that later ones are unanswered too.
#[test]
fn instance_is_probed_for_a_command_sent_after_its_last_answer() {
    let monitor = InstanceMonitor::new();
    let _oldest = monitor.track_command();
    std::thread::sleep(CLOCK_STEP);
    monitor.record_answer();
    std::thread::sleep(CLOCK_STEP);
    let _newest = monitor.track_command();
    assert!(monitor.begin_probe(Instant::now() + SILENT_TIME));
}

#[test]
fn silent_instance_is_probed_by_one_task_at_a_time() {
    let monitor = InstanceMonitor::new();
    let now = Instant::now();
    assert!(!monitor.begin_probe(now));
    let _sent = monitor.track_command();
    let later = Instant::now() + LONG_TIME;
    assert!(monitor.begin_probe(later));
    assert!(!monitor.begin_probe(later));
    monitor.end_probe();
    assert!(monitor.begin_probe(later));
}
