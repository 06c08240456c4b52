//! Every recorded trace holds, and one with an altered outcome is refused.

use std::path::Path;

use crate::util::{run, stderr, stdout, write_file};

const TRACES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/traces");

#[test]
fn all_traces_hold() {
    let mut count = 0;
    for entry in std::fs::read_dir(TRACES).expect("the folder of traces") {
        let path = entry.expect("an entry").path();
        let output = run(&["replay", path.to_str().expect("a path")]);
        assert!(output.status.success(), "{}", stderr(&output));
        assert!(stdout(&output).contains("outcomes hold"));
        count += 1;
    }
    assert!(count >= 8, "only {count} traces were found");
}

#[test]
fn trace_with_altered_outcome_is_refused() {
    let path = Path::new(TRACES).join("keys.jsonl");
    let text = std::fs::read_to_string(path).expect("a trace");
    let changed = text.replacen("\"decision\": \"mismatch\"", "\"decision\": \"run\"", 1);
    let path = write_file("changed.jsonl", &changed);
    let output = run(&["replay", path.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("expected \"run\", found \"mismatch\""));
}
