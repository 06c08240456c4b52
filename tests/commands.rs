//! The command line: exit codes, messages, and validation of files.

use std::time::Instant;

use fulmarrill_http::{HttpClient, Method};
use fulmarrill_load::CallerPool;
use rstest::rstest;

use crate::util::{DATABASE, ProcessFleet, WAIT_TIMEOUT, run, stderr, stdout, write_file};

#[rstest]
#[case::unknown_rank(
    r#"{"ranks": [{"name": "urgent"}], "services": [{"name": "s", "rank": "urgnet"}]}"#,
    "services[0].rank: names the rank \"urgnet\""
)]
#[case::unknown_field(
    r#"{"ranks": [{"name": "urgent", "flor": 1}]}"#,
    "ranks[0].flor: is not known"
)]
#[case::duplicate(
    r#"{"ranks": [{"name": "a"}, {"name": "a"}]}"#,
    "ranks[1].name: the name \"a\" is already used by ranks[0]"
)]
#[case::out_of_range(
    r#"{"ranks": [{"name": "a", "deadline_ms": 1}]}"#,
    "ranks[0].deadline_ms: must be from 10"
)]
#[case::wrong_type(r#"{"ranks": [{"name": 7}]}"#, "ranks[0].name: must be a string")]
#[case::floors(
    r#"{"ranks": [{"name": "a", "floor_percent": 60}, {"name": "b", "floor_percent": 60}]}"#,
    "ranks: floors add up to 120 percent"
)]
#[case::broken("{\n  \"ranks\": [,]\n}", "line 2, column 13")]
#[case::no_ranks("{}", "ranks: must name at least one rank")]
fn check_names_a_fault_by_its_path(#[case] text: &str, #[case] message: &str) {
    let name = format!("check-{:x}.json", text.len() * 31 + message.len());
    let path = write_file(&name, text);
    let output = run(&["check", path.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
    assert!(stderr(&output).contains(message), "{}", stderr(&output));
}

#[test]
fn check_names_all_faults_at_once() {
    let text = r#"{"ranks": [{"name": ""}, {"worth": -1}], "place": []}"#;
    let path = write_file("check-all.json", text);
    let errors = stderr(&run(&["check", path.to_str().expect("a path")]));
    for fault in [
        "ranks[0].name",
        "ranks[1].name",
        "ranks[1].worth",
        "place: is not known",
    ] {
        assert!(errors.contains(fault), "{fault} is missing in {errors}");
    }
}

#[test]
fn check_accepts_settings_with_comments() {
    let text = "{\n  // one host\n  \"host\": \"h1\", \"data_centre\": \"d\", \"region\": \"r\",\n  \
                \"caller_listen\": \"127.0.0.1:0\", \"peer_listen\": \"127.0.0.1:0\",\n  \
                \"operator_listen\": \"127.0.0.1:0\", \"platform\": \"127.0.0.1:7000\",\n}";
    let path = write_file("check-settings.json", text);
    let output = run(&["check", path.to_str().expect("a path")]);
    assert!(output.status.success(), "{}", stderr(&output));
}

#[test]
fn settings_with_a_host_name_for_an_address_are_refused() {
    let text = r#"{"host": "h1", "data_centre": "d", "region": "r", "caller_listen": "localhost:1",
        "peer_listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0", "platform": "127.0.0.1:1"}"#;
    let path = write_file("check-address.json", text);
    let output = run(&["serve", "--settings", path.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains("caller_listen: must be IP:PORT"),
        "{}",
        stderr(&output)
    );
}

#[test]
fn missing_file_is_named() {
    let output = run(&["check", "/no/such/file.json"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("/no/such/file.json"));
}

#[rstest]
#[case("serve")]
#[case("check")]
#[case("apply")]
#[case("status")]
#[case("state")]
#[case("export")]
#[case("replay")]
#[case("demo")]
fn every_command_has_help_with_an_example(#[case] command: &str) {
    let output = run(&[command, "--help"]);
    assert!(output.status.success());
    assert!(
        stdout(&output).contains("Example: fulmarrill"),
        "{}",
        stdout(&output)
    );
}

#[test]
fn apply_reports_conflicts_and_status_counts_hosts() {
    let fleet = ProcessFleet::start("apply");
    let host = fleet.hosts[0].address("operator");
    let valid_path = write_file("apply-good.json", r#"{"ranks": [{"name": "only"}]}"#);
    let valid_path = valid_path.to_str().expect("a path");
    let stale = run(&["apply", "--host", &host, "--version", "1", valid_path]);
    assert_eq!(stale.status.code(), Some(3), "{}", stderr(&stale));
    assert!(
        stderr(&stale).contains("version 1 was read"),
        "{}",
        stderr(&stale)
    );
    let applied = run(&["apply", "--host", &host, valid_path]);
    assert!(applied.status.success(), "{}", stderr(&applied));
    let deadline = std::time::Instant::now() + crate::util::WAIT_TIMEOUT;
    loop {
        let status = stdout(&run(&["status", "--host", &host]));
        if status.contains("\"hosts_in_force\": 3") {
            break;
        }
        assert!(std::time::Instant::now() < deadline, "{status}");
    }
    let invalid_path = write_file("apply-bad.json", "{}");
    let refused = run(&[
        "apply",
        "--host",
        &host,
        invalid_path.to_str().expect("a path"),
    ]);
    assert_eq!(refused.status.code(), Some(2));
}

#[test]
fn operator_port_serves_console_metrics_and_state() {
    let fleet = ProcessFleet::start("console");
    let host = fleet.hosts[1].address("operator");
    smol::block_on(async {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        // The request metrics are only exported after a request was counted.
        let callers = [fleet.hosts[1].address("caller")];
        let pool = CallerPool::new(&callers, DATABASE, "scans", "city");
        pool.run(&["SELECT count(*) FROM badges".into()], None, deadline)
            .await;
        let client = HttpClient::new(&host);
        for (path, expected) in [
            ("/", "fulmarrill console"),
            ("/metrics", "# TYPE fulmarrill_request"),
            ("/state", "\"owners\""),
            ("/healthz", "ok"),
        ] {
            let answer = client
                .request(Method::GET, path, Vec::new(), deadline)
                .await;
            let body = answer.expect("the host answers").body;
            let text = String::from_utf8_lossy(&body);
            assert!(text.contains(expected), "{path}: {text}");
        }
    });
    let output = run(&["state", &host]);
    assert!(output.status.success());
    assert!(stdout(&output).contains("\"versions\""));
}
