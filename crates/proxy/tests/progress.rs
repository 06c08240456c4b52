//! Which reads are sent to a replica that is behind.

use std::time::{Duration, Instant};

use fulmarrill_position::LogPoint;
use fulmarrill_proxy::owner::progress::LogProgress;

const MS: Duration = Duration::from_millis(1);

/// A replica stands still for six seconds while reads arrive every 5 ms.
#[test]
fn few_reads_are_sent_to_a_replica_that_stands_still() {
    let start = Instant::now();
    let mut progress = LogProgress::default();
    let mut sent = 0;
    for step in 0..1200 {
        let now = start + 5 * MS * step;
        let floor = LogPoint::new(3, 100 + u64::from(step));
        if progress.should_send(floor, now) {
            sent += 1;
            // The instance refuses the read and tells its position.
            progress.record(LogPoint::new(3, 100), now + 2 * MS);
        }
    }
    assert!((50..=65).contains(&sent), "{sent}");
}

#[test]
fn covered_reads_and_those_of_other_terms_are_sent() {
    let now = Instant::now();
    let mut progress = LogProgress::default();
    assert!(progress.should_send(LogPoint::new(3, 9), now));
    progress.record(LogPoint::new(3, 9), now);
    assert!(progress.should_send(LogPoint::new(3, 9), now));
    assert!(!progress.should_send(LogPoint::new(3, 10), now));
    assert!(progress.should_send(LogPoint::new(2, 11), now));
    assert!(progress.should_send(LogPoint::new(4, 1), now));
}

/// As soon as any answer shows that the replica has caught up, reads are sent.
#[test]
fn reads_are_sent_again_once_the_replica_has_caught_up() {
    let now = Instant::now();
    let mut progress = LogProgress::default();
    progress.record(LogPoint::new(3, 9), now);
    assert!(!progress.should_send(LogPoint::new(3, 10), now + MS));
    progress.record(LogPoint::new(3, 10), now + 2 * MS);
    assert!(progress.should_send(LogPoint::new(3, 10), now + 3 * MS));
}
