//! Which keys are taken.

use std::time::{Duration, SystemTime};

use fulmarrill_idempotency::{AttemptLog, AttemptResult, KeyError, RequestKey};
use rstest::rstest;

const KEPT: Duration = Duration::from_hours(24);

fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_hours(500_000)
}

#[rstest]
#[case("1800000000000-a")]
#[case("1799999999000-renewal.17:x_y-z")]
#[case("1800000200000-clock-ahead")]
fn proper_key_is_taken(#[case] text: &str) {
    assert!(RequestKey::parse(text, now(), KEPT).is_ok());
}

#[rstest]
#[case("")]
#[case("a-1")]
#[case("1800000000000-")]
#[case("1800000000000")]
#[case("1800000000000-it's")]
#[case("18446744073709551616-a")]
fn malformed_key_is_refused(#[case] text: &str) {
    assert!(matches!(
        RequestKey::parse(text, now(), KEPT),
        Err(KeyError::Malformed(_))
    ));
}

#[test]
fn key_older_than_kept_is_refused_and_not_taken_for_new() {
    let old = "1799000000000-a";
    assert!(matches!(
        RequestKey::parse(old, now(), KEPT),
        Err(KeyError::TooOld(_))
    ));
    let future = "1801000000000-a";
    assert!(matches!(
        RequestKey::parse(future, now(), KEPT),
        Err(KeyError::Future(_))
    ));
}

/// Issue 4: a later attempt's refusal was reported as 'not run' while the
/// first attempt, whose answer was lost, ran.
#[test]
fn refusal_of_a_later_attempt_says_nothing_about_the_first() {
    let mut attempts = AttemptLog::new();
    assert_eq!(
        attempts.record(AttemptResult::NotRun),
        AttemptResult::NotRun
    );
    assert_eq!(
        attempts.record(AttemptResult::Unknown),
        AttemptResult::Unknown
    );
    assert_eq!(
        attempts.record(AttemptResult::NotRun),
        AttemptResult::Unknown
    );
    assert!(attempts.has_unknown_outcome());
}
