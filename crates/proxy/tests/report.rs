//! Rate limit of log lines about failures, and sampling of successes.

use std::time::{Duration, Instant};

use fulmarrill_proxy::report::{LineBudget, LineDecision};

#[test]
fn failures_are_logged_up_to_the_limit_per_second() {
    let now = Instant::now();
    let mut budget = LineBudget::new(now);
    let mut written = 0;
    for _ in 0..1000 {
        let (decision, _) = budget.decide(now, true);
        written += usize::from(decision == LineDecision::Write);
    }
    assert_eq!(written, 50);
    let (decision, left_out) = budget.decide(now + Duration::from_secs(1), true);
    assert_eq!((decision, left_out), (LineDecision::Write, 950));
}

#[test]
fn sampled_successes_do_not_count_against_failures() {
    let now = Instant::now();
    let mut budget = LineBudget::new(now);
    let mut written = 0;
    for _ in 0..1000 {
        let (decision, _) = budget.decide(now, false);
        written += usize::from(decision == LineDecision::Write);
    }
    assert_eq!(written, 2);
    assert_eq!(budget.decide(now, true).0, LineDecision::Write);
}
