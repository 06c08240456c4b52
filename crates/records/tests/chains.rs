//! Altered, dropped and swapped records are reported.

use fulmarrill_records::{
    RecordChain, RecordFault, RecordSegment, RequestOutcome, RequestRecord, remove_written,
    verify_segments,
};
use rstest::rstest;
use std::sync::Arc;

/// Three segments of four records each.
fn segments() -> Vec<RecordSegment> {
    let mut chain = RecordChain::new("h1~1", "stall-7");
    let mut segments = Vec::new();
    for part in 0..3 {
        for number in 0..4 {
            let text = format!("SELECT {part}, {number}");
            let record =
                RequestRecord::new(part * 10 + number, "scans", &text, RequestOutcome::Served);
            chain.append(record);
        }
        segments.extend(chain.take_segment());
    }
    segments
}

#[test]
fn records_are_verified_in_any_order_and_with_copies() {
    let mut all = segments();
    all.reverse();
    all.push(all[1].clone());
    let verified = verify_segments(&all).expect("verified");
    assert_eq!(verified.records.len(), 12);
    assert_eq!(verified.heads["h1~1"].0, 12);
}

#[rstest]
#[case::altered(|s: &mut Vec<RecordSegment>| s[1].records[2].statement = "SELECT 0".into(), 5)]
#[case::outcome(|s: &mut Vec<RecordSegment>| s[1].records[0].outcome = RequestOutcome::NotRun, 5)]
#[case::dropped_inside(|s: &mut Vec<RecordSegment>| { s[1].records.remove(1); }, 5)]
#[case::swapped(|s: &mut Vec<RecordSegment>| s[1].records.swap(0, 1), 5)]
fn change_inside_a_segment_is_reported(
    #[case] change: fn(&mut Vec<RecordSegment>),
    #[case] expected_first: u64,
) {
    let mut all = segments();
    change(&mut all);
    let fault = verify_segments(&all).expect_err("a fault");
    let RecordFault::Altered { first, .. } = fault else {
        panic!("{fault}");
    };
    assert_eq!(first, expected_first);
}

#[test]
fn missing_segment_is_reported() {
    let mut all = segments();
    all.remove(1);
    let missing = RecordFault::Missing {
        host: "h1~1".into(),
        first: 5,
        last: 8,
    };
    assert_eq!(verify_segments(&all), Err(missing));
}

/// The replacement is valid by itself, so only the chain reveals it.
#[test]
fn replaced_segment_is_reported() {
    let mut all = segments();
    let mut other = RecordChain::new("h1~1", "stall-7");
    for number in 0..8 {
        let record = RequestRecord::new(number, "scans", "SELECT 'other'", RequestOutcome::Served);
        other.append(record);
        if number == 3 {
            other.take_segment();
        }
    }
    all[1] = other.take_segment().expect("a segment");
    let broken = RecordFault::Broken {
        host: "h1~1".into(),
        first: 5,
    };
    assert_eq!(verify_segments(&all), Err(broken));
}

#[test]
fn segment_survives_packing() {
    for segment in segments() {
        let packed = segment.pack().expect("packed");
        assert_eq!(RecordSegment::unpack(&packed).expect("unpacked"), segment);
    }
    assert!(RecordSegment::unpack(b"nonsense").is_err());
}

/// Guards against removing more than was written: a leaving host flushes
/// concurrently with its regular flush, so both remove the same segments.
#[test]
fn two_flushes_of_the_same_segments_remove_nothing_else() {
    let mut held: Vec<_> = segments().into_iter().map(Arc::new).collect();
    let batch = held[..2].to_vec();
    let batch_bytes: usize = batch.iter().map(|segment| segment.memory_bytes()).sum();
    assert_eq!(remove_written(&mut held, &batch), batch_bytes);
    assert_eq!(remove_written(&mut held, &batch), 0);
    assert_eq!(held.len(), 1);
    assert_eq!(held[0].next_sequence(), 13);
}
