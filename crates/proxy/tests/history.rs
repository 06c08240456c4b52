//! Deltas between the states of a list.

use compact_str::{CompactString, format_compact};
use fastrand::Rng;
use fulmarrill_proxy::catalogue::InstanceEntry;
use fulmarrill_proxy::codec::DatabaseRole;
use fulmarrill_proxy::history::{ListChanges, ListEntry, ListHistory};
use rstest::rstest;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    name: CompactString,
    state: u64,
}

impl ListEntry for Entry {
    fn key(&self) -> &CompactString {
        &self.name
    }
}

fn entry(name: usize, state: u64) -> Entry {
    let name = format_compact!("e{name:03}");
    Entry { name, state }
}

fn instance(index: usize) -> InstanceEntry {
    InstanceEntry {
        id: format_compact!("i-{index:08}"),
        database: format_compact!("db-{}", index / 3),
        address: "10.20.30.40:5000".into(),
        data_centre: "north-1".into(),
        slots: 8,
        leaving: false,
        role: DatabaseRole::Replica,
        started_ms: 1_780_000_000_000,
    }
}

/// Adds, removes and changes a few random entries of a list.
fn random_changes(list: &[Entry], rng: &mut Rng) -> Vec<Entry> {
    let mut entries: std::collections::BTreeMap<_, _> = list
        .iter()
        .map(|entry| (entry.name.clone(), entry.clone()))
        .collect();
    for _ in 0..rng.usize(1..4) {
        let entry = entry(rng.usize(..40), rng.u64(..));
        if rng.u8(..3) == 0 {
            entries.remove(&entry.name);
        } else {
            entries.insert(entry.name.clone(), entry);
        }
    }
    entries.into_values().collect()
}

#[rstest]
fn changes_lead_from_each_earlier_state_to_the_last_one(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut history = ListHistory::default();
    let mut states = vec![Vec::new()];
    for digest in 0..50 {
        let old = states.last().unwrap();
        let new = random_changes(old, &mut rng);
        history.record(digest, digest + 1, ListChanges::between(old, &new));
        states.push(new);
    }
    let last = states.last().unwrap();
    for (digest, state) in states.iter().enumerate().take(50) {
        let changes = history.since(digest as u64).expect("a kept step");
        assert_eq!(&changes.apply(state), last, "from state {digest}");
    }
}

#[test]
fn digest_without_a_kept_step_has_no_changes() {
    let mut history = ListHistory::default();
    let list = vec![entry(1, 1)];
    for digest in 0..200 {
        let new = vec![entry(1, digest + 2)];
        history.record(digest, digest + 1, ListChanges::between(&list, &new));
    }
    assert_eq!(history.since(0), None);
    assert_eq!(history.since(1000), None);
    let changes = history.since(199).unwrap();
    assert_eq!(changes.changed, [entry(1, 201)]);
}

/// A list may also arrive whole, without the changes from the states before it.
#[test]
fn step_that_does_not_follow_discards_earlier_ones() {
    let mut history = ListHistory::default();
    let step = || ListChanges::between(&[entry(1, 1)], &[entry(2, 1)]);
    history.record(1, 2, step());
    history.record(7, 8, step());
    assert_eq!(history.since(1), None);
    assert!(history.since(7).is_some());
}

/// At the design size of 19,800 instances, the delta of one changed instance that
/// each downstream host gets is less than a thousandth of the list.
#[test]
fn delta_of_one_change_is_small() {
    let mut list = Vec::new();
    for index in 0..19_800 {
        list.push(instance(index));
    }
    let mut newer = list.clone();
    newer[7_000].leaving = true;
    let mut history = ListHistory::default();
    history.record(1, 2, ListChanges::between(&list, &newer));
    let changes = history.since(1).unwrap();
    let length = |value: serde_json::Value| value.to_string().len();
    let (short, whole) = (
        length(serde_json::json!(changes)),
        length(serde_json::json!(newer)),
    );
    println!("delta of one change: {short} bytes, whole list: {whole} bytes");
    assert!(short * 1000 < whole);
    assert!(changes.apply(&list) == newer);
}

#[test]
fn step_with_too_many_entries_is_not_kept() {
    let mut history = ListHistory::default();
    let mut list = Vec::new();
    for index in 0..5000 {
        list.push(entry(index, 1));
    }
    history.record(1, 2, ListChanges::between(&[], &list));
    assert_eq!(history.since(1), None);
}
