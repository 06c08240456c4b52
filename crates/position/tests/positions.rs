//! Positions, their text forms and replica freshness.

use std::time::{Duration, Instant};

use fulmarrill_position::{FreshnessLog, LogPoint, SessionPosition, format_lsn, parse_lsn};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case("")]
#[case("16")]
#[case("16/")]
#[case("G/0")]
#[case("1/1FFFFFFFF")]
fn malformed_lsn_is_refused(#[case] text: &str) {
    assert!(parse_lsn(text).is_err());
}

#[rstest]
#[case("db=1")]
#[case("db=x:0/1")]
#[case("=")]
fn malformed_session_position_is_refused(#[case] token: &str) {
    assert!(token.parse::<SessionPosition>().is_err());
}

#[test]
fn oversized_session_position_is_refused() {
    let token = "db=1:0/1,".repeat(1000);
    assert!(token.parse::<SessionPosition>().is_err());
}

#[test]
fn session_position_never_decreases() {
    let mut session = SessionPosition::new();
    session.advance("db", LogPoint::new(2, 5));
    session.advance("db", LogPoint::new(1, 900));
    assert_eq!(session.floor("db"), LogPoint::new(2, 5));
    assert_eq!(session.floor("other"), LogPoint::default());
}

#[test]
fn freshness_is_bounded_by_the_request_time() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut log = FreshnessLog::new();
    assert_eq!(log.complete_as_of(LogPoint::new(1, 9)), None);
    log.record(at(10), LogPoint::new(1, 5));
    log.record(at(20), LogPoint::new(1, 8));
    // A late response to an earlier request proves nothing new.
    log.record(at(15), LogPoint::new(1, 6));
    assert_eq!(log.complete_as_of(LogPoint::new(1, 7)), Some(at(10)));
    assert_eq!(log.complete_as_of(LogPoint::new(1, 8)), Some(at(20)));
    assert_eq!(log.point_since(at(11)), Some(LogPoint::new(1, 8)));
    assert_eq!(log.point_since(at(21)), None);
    // An idle database proves a later time with the same position.
    log.record(at(500), LogPoint::new(1, 8));
    assert_eq!(log.complete_as_of(LogPoint::new(1, 8)), Some(at(500)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn text_forms_round_trip(term in any::<u64>(), position in any::<u64>()) {
        prop_assert_eq!(parse_lsn(&format_lsn(position)).unwrap(), position);
        let mut session = SessionPosition::new();
        session.advance("registry-1", LogPoint::new(term, position));
        let parsed: SessionPosition = session.to_string().parse().unwrap();
        prop_assert_eq!(parsed, session);
    }
}
