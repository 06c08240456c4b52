//! Journals: records are read back, and damaged segments are reported.

use fulmarrill_records::{
    JournalRecord, JournalSegment, JournalVerifier, RecordFault, RequestJournal, RequestOutcome,
};

fn record(number: u64) -> JournalRecord {
    JournalRecord {
        at_ms: 1_796_380_000_000 + number,
        customer: format!("stall-{}", number % 3).into(),
        endpoint: "renewals".into(),
        id: format!("{number:016x}").into(),
        statement: format!("read item-{number}").into(),
        outcome: RequestOutcome::Served,
        error: "".into(),
        noted_for: "".into(),
    }
}

/// Three segments of four records.
fn segments() -> Vec<JournalSegment> {
    let mut journal = RequestJournal::new("h1~1");
    let mut segments = Vec::new();
    for number in 0..12 {
        journal.append(record(number));
        if number % 4 == 3 {
            journal.seal_segment().expect("sealed");
        }
    }
    while let Some(segment) = journal.oldest_unwritten() {
        journal.remove_written(&segment);
        segments.push((*segment).clone());
    }
    assert_eq!(journal.held_bytes(), 0);
    segments
}

fn faults(segments: &[JournalSegment]) -> Vec<RecordFault> {
    let mut verifier = JournalVerifier::new();
    segments
        .iter()
        .filter_map(|segment| verifier.check(segment).err())
        .collect()
}

#[test]
fn records_are_read_back_in_order() {
    let mut read = Vec::new();
    for segment in segments() {
        read.extend(segment.records().expect("records"));
    }
    assert_eq!(read, (0..12).map(record).collect::<Vec<_>>());
    assert_eq!(faults(&segments()), []);
}

/// Guards against records of long statements that cannot be read back.
#[test]
fn records_of_long_statements_are_read_back() {
    let mut long = record(1);
    long.statement = "é".repeat(100_000).into();
    let mut journal = RequestJournal::new("h1~1");
    journal.append(long.clone());
    journal.seal_segment().expect("sealed");
    let segment = journal.oldest_unwritten().expect("a segment");
    assert_eq!(segment.records().expect("readable"), [long]);
}

#[test]
fn altered_block_is_reported() {
    let mut all = segments();
    *all[1].block.last_mut().expect("a byte") ^= 1;
    let host = "h1~1".into();
    assert_eq!(
        faults(&all),
        [RecordFault::Altered {
            host,
            first: 5,
            last: 8
        }]
    );
}

#[test]
fn missing_segment_is_reported_and_later_ones_are_verified() {
    let mut all = segments();
    all.remove(1);
    let host = "h1~1".into();
    assert_eq!(
        faults(&all),
        [RecordFault::Missing {
            host,
            first: 5,
            last: 8
        }]
    );
}

/// The replacement is valid by itself, so only the chain reveals it.
#[test]
fn replaced_segment_is_reported() {
    let mut all = segments();
    let mut other = RequestJournal::new("h1~1");
    for number in 0..8 {
        other.append(record(100 + number));
        if number % 4 == 3 {
            other.seal_segment().expect("sealed");
        }
    }
    other.remove_written(&other.oldest_unwritten().expect("a segment"));
    all[1] = (*other.oldest_unwritten().expect("a segment")).clone();
    let broken = |first| RecordFault::Broken {
        host: "h1~1".into(),
        first,
    };
    assert_eq!(faults(&all), [broken(5), broken(9)]);
}

#[test]
fn segment_is_held_until_written() {
    let mut journal = RequestJournal::new("h1~1");
    journal.append(record(1));
    journal.seal_segment().expect("sealed");
    let first = journal.oldest_unwritten().expect("a segment");
    journal.append(record(2));
    journal.seal_segment().expect("sealed");
    journal.remove_written(&first);
    journal.remove_written(&first);
    assert_eq!(
        journal
            .oldest_unwritten()
            .expect("a segment")
            .first_sequence,
        2
    );
}
