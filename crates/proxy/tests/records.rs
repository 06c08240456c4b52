//! Which records of other hosts' requests a host adds to its own journal.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_proxy::catalogue::HostEntry;
use fulmarrill_proxy::codec::ErrorKind;
use fulmarrill_proxy::records::{EndedRequest, RecordKeeper, RequestCopy, SegmentWriter};
use fulmarrill_proxy::statement::SessionValues;
use fulmarrill_proxy::work::{NotRunReason, WorkAnswer, WorkRequest, WorkStatement, WorkStep};
use fulmarrill_records::{JournalRecord, JournalSegment};
use rstest::rstest;

fn host(run: &str) -> HostEntry {
    HostEntry {
        name: "h2".into(),
        run: run.into(),
        address: "127.0.0.1:1".into(),
        data_centre: "kosice-a".into(),
        region: "vychod".into(),
        leaving: false,
        tier: 0,
        mark: 0,
    }
}

fn request_copy(id: &str) -> RequestCopy {
    RequestCopy::new(&WorkRequest {
        database: "registry-1".into(),
        instance: "i-a".into(),
        primary_term: Some(1),
        rank: 0,
        deadline: Instant::now(),
        values: SessionValues::default(),
        after: None,
        max_age: None,
        customer: "stall-7".into(),
        is_signed_in: false,
        wants_hint: false,
        step: WorkStep::Single,
        statement: WorkStatement::Text {
            id: id.into(),
            writes: true,
            text: "write k v".into(),
        },
    })
}

fn served() -> WorkAnswer {
    WorkAnswer::Served {
        rows: Vec::new(),
        proof: "proof".into(),
        point: None,
        pin: None,
    }
}

/// Flushes the keeper to a store that accepts everything, and returns the records.
fn flush_records(keeper: &RecordKeeper) -> Vec<JournalRecord> {
    let segments: Arc<Mutex<Vec<Arc<JournalSegment>>>> = Arc::default();
    let writer_segments = segments.clone();
    let writer: SegmentWriter = Box::new(move |segment| {
        writer_segments.lock().unwrap().push(segment);
        Box::pin(async { true })
    });
    assert!(smol::block_on(keeper.flush(&writer)));
    let segments = segments.lock().unwrap();
    segments
        .iter()
        .flat_map(|segment| segment.records().unwrap())
        .collect()
}

#[test]
fn copies_are_journaled_when_link_stays_closed() {
    let keeper = RecordKeeper::new(&"h1~1".into());
    let now = Instant::now();
    keeper.hold_copy(&host("h2~1"), now, request_copy("q1"), &served());
    keeper.handle_link_closed("h2", now);
    keeper.expire_copies(now + Duration::from_secs(4));
    assert!(flush_records(&keeper).is_empty());
    keeper.expire_copies(now + Duration::from_secs(6));
    let records = flush_records(&keeper);
    assert_eq!(records.len(), 1);
    assert_eq!(
        (records[0].id.as_str(), records[0].noted_for.as_str()),
        ("q1", "h2~1")
    );
    keeper.expire_copies(now + Duration::from_secs(7));
    assert!(flush_records(&keeper).is_empty());
}

#[test]
fn copies_are_not_journaled_when_host_sends_more_work() {
    let keeper = RecordKeeper::new(&"h1~1".into());
    let now = Instant::now();
    keeper.hold_copy(&host("h2~1"), now, request_copy("q1"), &served());
    keeper.handle_link_closed("h2", now);
    keeper.hold_copy(&host("h2~1"), now, request_copy("q2"), &served());
    keeper.expire_copies(now + Duration::from_secs(10));
    keeper.expire_copies(now + Duration::from_mins(1));
    keeper.handle_link_closed("h2", now + Duration::from_mins(1));
    keeper.expire_copies(now + Duration::from_secs(70));
    assert!(flush_records(&keeper).is_empty());
}

/// Work of a later run of the same host does not show that the earlier one lives.
#[test]
fn copies_of_earlier_run_are_journaled_although_later_run_sends_work() {
    let keeper = RecordKeeper::new(&"h1~1".into());
    let now = Instant::now();
    keeper.hold_copy(&host("h2~1"), now, request_copy("q1"), &served());
    keeper.handle_link_closed("h2", now);
    keeper.hold_copy(&host("h2~2"), now, request_copy("q2"), &served());
    keeper.expire_copies(now + Duration::from_secs(10));
    let records = flush_records(&keeper);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].noted_for, "h2~1");
}

fn record_request(id: &str, error: Option<ErrorKind>, sent_to_peer: bool, keeper: &RecordKeeper) {
    let text = |text: &str| CompactString::from(text);
    keeper.record_request(&EndedRequest {
        customer: &text("stall-7"),
        endpoint: &text("renewals"),
        id: &text(id),
        statement: &text("write k v"),
        error,
        sent_to_peer,
    });
}

#[test]
fn records_held_by_no_other_host_are_copied_once() {
    let keeper = RecordKeeper::new(&"h2~1".into());
    record_request("ran-here", None, false, &keeper);
    record_request("ran-there", None, true, &keeper);
    record_request("refused-there", Some(ErrorKind::Busy), true, &keeper);
    let copied = keeper.take_uncopied();
    let ids: Vec<_> = copied.iter().map(|record| record.id.as_str()).collect();
    assert_eq!(ids, ["ran-here", "refused-there"]);
    assert!(keeper.take_uncopied().is_empty());

    let peer = RecordKeeper::new(&"h1~1".into());
    let now = Instant::now();
    peer.hold_copies(&host("h2~1"), now, copied);
    peer.handle_link_closed("h2", now);
    peer.expire_copies(now + Duration::from_secs(6));
    let journaled = flush_records(&peer);
    assert_eq!(journaled.len(), 2);
    assert!(journaled.iter().all(|record| record.noted_for == "h2~1"));
}

#[rstest]
#[case::not_run(WorkAnswer::NotRun(NotRunReason::Overload), 0)]
#[case::unknown(WorkAnswer::Unknown, 1)]
fn only_requests_that_may_have_run_are_held(#[case] answer: WorkAnswer, #[case] expected: usize) {
    let keeper = RecordKeeper::new(&"h1~1".into());
    let now = Instant::now();
    keeper.hold_copy(&host("h2~1"), now, request_copy("q1"), &answer);
    keeper.handle_link_closed("h2", now);
    keeper.expire_copies(now + Duration::from_secs(10));
    assert_eq!(flush_records(&keeper).len(), expected);
}
