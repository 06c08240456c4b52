//! Changes of the settings file of a running host.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use fulmarrill_platform::SETTINGS_VARIABLE;

/// Timeout for a host to notice a change, long enough for a busy machine; hosts poll
/// the file every two seconds.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(30);

/// A host process with its settings file and its log lines.
struct RunningHost {
    child: Child,
    file: PathBuf,
    lines: Receiver<String>,
    /// Listens at the address of the store but never answers.
    silent: TcpListener,
}

impl RunningHost {
    fn start(name: &str) -> Self {
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let file = std::env::temp_dir().join(format!("{name}-{}.json", std::process::id()));
        fs::write(&file, settings(&silent, "info")).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_fulmarrill"))
            .arg("front")
            .env(SETTINGS_VARIABLE, &file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        let (sender, lines) = mpsc::channel();
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                sender.send(line).ok();
            }
        });
        let host = Self {
            child,
            file,
            lines,
            silent,
        };
        host.wait_for("has started as");
        host
    }

    /// Returns the first further log line that contains `text`.
    fn wait_for(&self, text: &str) -> String {
        let deadline = Instant::now() + NOTICE_TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).expect(text);
            if line.contains(text) {
                return line;
            }
        }
    }
}

impl Drop for RunningHost {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        fs::remove_file(&self.file).ok();
    }
}

fn settings(silent: &TcpListener, level: &str) -> String {
    let store = silent.local_addr().unwrap();
    format!(
        r#"{{"host": "h0", "data_centre": "north-1", "region": "north",
            "regions": {{"north-1": "north"}}, "caller_listen": "127.0.0.1:0",
            "ready_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0", "store": "{store}", "orders": "{store}",
            "grace_s": 1.0, "log_level": "{level}"}}"#
    )
}

#[test]
fn file_change_is_noticed_without_a_signal() {
    let host = RunningHost::start("fulmarrill-change");
    fs::write(&host.file, settings(&host.silent, "debug")).unwrap();
    let line = host.wait_for("settings were read again");
    assert!(line.contains("for the next start remain: []"), "{line}");
}

#[test]
fn invalid_file_leaves_the_settings_unchanged() {
    let host = RunningHost::start("fulmarrill-broken");
    fs::write(&host.file, "{\"host\": ").unwrap();
    let line = host.wait_for("settings stay as they were");
    assert!(line.contains("settings are not JSON"), "{line}");
    fs::write(&host.file, settings(&host.silent, "info")).unwrap();
    host.wait_for("settings were read again");
}
