//! When an instance counts as down, and who takes over.

use std::time::{Duration, Instant};

use fulmarrill_position::LogPoint;
use fulmarrill_proxy::catalogue::InstanceEntry;
use fulmarrill_proxy::change::candidate::{ChangeCandidate, choose_candidate};
use fulmarrill_proxy::clock::BootTime;
use fulmarrill_proxy::codec::{DatabaseRole, DatabaseStatus};
use fulmarrill_proxy::owner::health::InstanceHealth;
use fulmarrill_proxy::owner::monitor::InstanceMonitor;
use fulmarrill_proxy::owner::sight::PrimarySight;

const STEP: Duration = Duration::from_millis(400);
/// Puts moments of the monitor's own clock apart.
const TICK: Duration = Duration::from_millis(2);
/// Beyond the silence after which an instance is probed, below that after which
/// it counts as stalled.
const SILENCE: Duration = Duration::from_millis(300);

#[test]
fn one_failure_is_not_enough() {
    let now = Instant::now();
    let mut health = InstanceHealth::default();
    health.note_failure(now);
    assert!(health.is_failing());
    assert!(!health.is_down(now + STEP));
}

#[test]
fn failures_that_last_make_an_instance_down_and_an_answer_ends_that() {
    let now = Instant::now();
    let mut health = InstanceHealth::default();
    health.note_failure(now);
    health.note_failure(now);
    assert!(!health.is_down(now));
    assert!(health.is_down(now + STEP));
    health.note_heard(now + STEP);
    assert!(!health.is_down(now + STEP));
    assert!(health.heard_since(now + STEP));
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

fn status(term: u64, number: u64) -> DatabaseStatus {
    DatabaseStatus {
        role: DatabaseRole::Replica,
        term,
        received: LogPoint::new(term, number),
        fence_term: 0,
    }
}

#[test]
fn newest_log_takes_over_by_term_before_number() {
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
fn sight_of_an_older_term_says_nothing_about_a_later_one() {
    let now = BootTime::now();
    let mut sight = PrimarySight::default();
    sight.record(3, now, LogPoint::new(3, 900));
    sight.record(4, now, LogPoint::new(4, 10));
    sight.record(3, now.after(STEP), LogPoint::new(3, 901));
    assert_eq!(sight.latest(4), Some((now, LogPoint::new(4, 10))));
    assert_eq!(sight.latest(3), None);
}

#[test]
fn crossed_answers_keep_the_latest_moment_and_the_highest_position() {
    let now = BootTime::now();
    let mut sight = PrimarySight::default();
    sight.record(3, now.after(STEP), LogPoint::new(3, 10));
    sight.record(3, now, LogPoint::new(3, 12));
    assert_eq!(
        sight.latest(3),
        Some((now.after(STEP), LogPoint::new(3, 12)))
    );
}

#[test]
fn instance_that_owes_an_answer_is_stalled_until_it_gives_any() {
    let monitor = InstanceMonitor::new();
    let sent = monitor.note_sent();
    let now = Instant::now();
    assert!(!monitor.is_stalled(now));
    assert!(monitor.is_stalled(now + STEP));
    monitor.note_heard();
    assert!(!monitor.is_stalled(Instant::now()));
    drop(sent);
    assert!(!monitor.is_stalled(now + 10 * STEP));
}

/// What haskell-signs inc-da0c showed: every slot of the primary was taken when
/// it went dark, and one of them had been answered after all others were sent.
#[test]
fn instance_is_probed_though_it_answered_after_the_oldest_command() {
    let monitor = InstanceMonitor::new();
    let _oldest = monitor.note_sent();
    std::thread::sleep(TICK);
    monitor.note_heard();
    let now = Instant::now();
    assert!(!monitor.begin_probe(now));
    assert!(monitor.begin_probe(now + STEP));
}

/// A command that hangs must not hide that those sent later are unanswered too.
#[test]
fn instance_is_probed_for_a_command_sent_after_its_last_answer() {
    let monitor = InstanceMonitor::new();
    let _oldest = monitor.note_sent();
    std::thread::sleep(TICK);
    monitor.note_heard();
    std::thread::sleep(TICK);
    let _newest = monitor.note_sent();
    assert!(monitor.begin_probe(Instant::now() + SILENCE));
}

#[test]
fn silent_instance_is_probed_by_one_task_at_a_time() {
    let monitor = InstanceMonitor::new();
    let now = Instant::now();
    assert!(!monitor.begin_probe(now));
    let _sent = monitor.note_sent();
    let later = Instant::now() + STEP;
    assert!(monitor.begin_probe(later));
    assert!(!monitor.begin_probe(later));
    monitor.end_probe();
    assert!(monitor.begin_probe(later));
}
