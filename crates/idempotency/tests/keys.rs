//! Validation of request keys, and the combined result of several attempts.

use std::time::{Duration, SystemTime};

use fulmarrill_idempotency::{AttemptLog, AttemptResult, KeyError, RequestKey};
use rstest::rstest;

const RETENTION: Duration = Duration::from_hours(24);

fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_hours(500_000)
}

#[rstest]
#[case("1800000000000-a")]
#[case("1799999999000-renewal.17:x_y-z")]
#[case("1800000200000-clock-ahead")]
fn valid_key_is_accepted(#[case] text: &str) {
    assert!(RequestKey::parse(text, now(), RETENTION).is_ok());
}

#[rstest]
#[case("")]
#[case("a-1")]
#[case("1800000000000-")]
#[case("1800000000000")]
#[case("1800000000000-it's")]
#[case("18446744073709551616-a")]
fn malformed_key_is_rejected(#[case] text: &str) {
    assert!(matches!(
        RequestKey::parse(text, now(), RETENTION),
        Err(KeyError::Malformed(_))
    ));
}

#[test]
fn key_outside_the_retention_is_rejected() {
    let old = "1799000000000-a";
    assert!(matches!(
        RequestKey::parse(old, now(), RETENTION),
        Err(KeyError::TooOld(_))
    ));
    let future = "1801000000000-a";
    assert!(matches!(
        RequestKey::parse(future, now(), RETENTION),
        Err(KeyError::Future(_))
    ));
}

/// Guards against reporting 'not run' because a later attempt was refused while
/// an earlier one, whose answer was lost, did run (issue 4).
#[test]
fn later_refusal_does_not_hide_an_unknown_outcome() {
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
