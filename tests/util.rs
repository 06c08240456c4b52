//! Helpers that run the program and fleets of its processes.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Output, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_fleet::{FleetLayout, LocalFleet};
use fulmarrill_http::{HttpClient, Method};
use fulmarrill_load::{CallerPool, LedgerFault, LoadPlan, RequestOutcome};
use fulmarrill_objects::{ObjectKey, PlatformClient};
use fulmarrill_replication::{DatabaseGroup, GroupInstance};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Timeout for conditions that are waited for; long enough for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Held while a test runs a fleet. Several fleets at once would make a small machine
/// miss deadlines and refuse requests, which is correct but not under test here.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Waits until no other test runs a fleet and returns the lock.
pub fn lock_fleet() -> MutexGuard<'static, ()> {
    FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A command that runs the program with `args`.
pub fn program(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fulmarrill"));
    command.args(args);
    command
}

/// Runs the program until it exits.
pub fn run(args: &[&str]) -> Output {
    program(args).output().expect("the program runs")
}

/// Returns the standard error of a finished run.
pub fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Returns the standard output of a finished run.
pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Writes a file for one test into cargo's temporary directory for tests.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file for the test");
    path
}

/// A running process of the program, killed when it is dropped.
pub struct Process {
    child: Child,
    _stdout: BufReader<ChildStdout>,
    /// The line of JSON that the process printed first.
    pub first_line: Value,
}

impl Process {
    pub fn start(args: &[&str]) -> Self {
        let mut child = program(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let mut stdout = BufReader::new(child.stdout.take().expect("its output is piped"));
        let mut line = String::new();
        stdout.read_line(&mut line).expect("its output can be read");
        let first_line = serde_json::from_str(&line).expect("its first line is JSON");
        Self {
            child,
            _stdout: stdout,
            first_line,
        }
    }

    /// Returns an address that the process printed at its start.
    pub fn address(&self, field: &str) -> CompactString {
        self.first_line[field].as_str().expect("an address").into()
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        kill_process(Pid::from_raw(id).expect("a process id"), signal).ok();
    }

    /// Waits until the process exits; true if it succeeded.
    pub fn wait(mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A platform, three instances of one database and three hosts, each a process.
pub struct ProcessFleet {
    pub platform: Process,
    pub instances: Vec<Process>,
    pub hosts: Vec<Process>,
    _fleet_lock: MutexGuard<'static, ()>,
}

/// Data centre and region of each host and instance of a process fleet.
const SITES: [(&str, &str); 3] = [
    ("kosice-a", "vychod"),
    ("presov-a", "vychod"),
    ("bratislava-a", "zapad"),
];

pub const DATABASE: &str = "registry-1";

impl ProcessFleet {
    pub fn start(test: &str) -> Self {
        let fleet_lock = lock_fleet();
        let platform = Process::start(&["standin", "platform"]);
        let mut instances = Vec::new();
        let layout = FleetLayout::odznak();
        for (index, name) in ["a", "b", "c"].iter().enumerate() {
            let mut args = vec!["standin", "database", "--name", name];
            for sql in &layout.schema {
                args.extend(["--schema", sql]);
            }
            if index == 0 {
                args.extend(["--primary", "1"]);
            }
            instances.push(Process::start(&args));
        }
        let mut fleet = Self {
            platform,
            instances,
            hosts: Vec::new(),
            _fleet_lock: fleet_lock,
        };
        fleet.write_objects(&layout.document);
        for index in 0..SITES.len() {
            fleet.hosts.push(fleet.start_host(test, index));
        }
        smol::block_on(fleet.wait_ready());
        fleet
    }

    fn write_objects(&self, document: &str) {
        let mut group = DatabaseGroup::new(DATABASE, 1, "a");
        for (index, name) in ["a", "b", "c"].iter().enumerate() {
            let (data_centre, region) = SITES[index];
            let address = self.instances[index].address("address");
            let instance = GroupInstance::new(name, data_centre, region)
                .with_address(&address)
                .with_limits(2, 16);
            group = group.with_instance(instance);
        }
        let client = PlatformClient::new(&self.platform.address("address"));
        let deadline = Instant::now() + WAIT_TIMEOUT;
        smol::block_on(async {
            let key = ObjectKey::new("group", DATABASE);
            let value = serde_json::to_value(&group).expect("a group");
            client
                .put(&key, 0, value, deadline)
                .await
                .expect("the platform accepts the object");
            let key = ObjectKey::new("document", "operators");
            let value = Value::String(document.to_owned());
            client
                .put(&key, 0, value, deadline)
                .await
                .expect("the platform accepts the object");
        });
    }

    /// Starts the host of site `index` with its own settings file.
    pub fn start_host(&self, test: &str, index: usize) -> Process {
        let (data_centre, region) = SITES[index];
        let peers: Vec<_> = self.hosts.iter().map(|host| host.address("peer")).collect();
        let settings = serde_json::json!({
            "host": format!("h{}", index + 1),
            "data_centre": data_centre,
            "region": region,
            "caller_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0",
            "platform": self.platform.address("address"),
            "peers": peers,
            "log_level": "error",
        });
        let path = write_file(&format!("{test}-h{index}.json"), &settings.to_string());
        Process::start(&["serve", "--settings", path.to_str().expect("a path")])
    }

    /// Waits until every host knows the document and all hosts.
    pub async fn wait_ready(&self) {
        for host in &self.hosts {
            let address = host.address("operator");
            wait_until(async || {
                let state = read_json(&address, "/state").await;
                let hosts = state["hosts"].as_array().map_or(0, Vec::len);
                hosts >= self.hosts.len() && state["versions"]["document"] != 0
            })
            .await;
        }
    }

    /// Returns the addresses at which the hosts accept callers.
    pub fn callers(&self) -> Vec<CompactString> {
        self.hosts
            .iter()
            .map(|host| host.address("caller"))
            .collect()
    }
}

/// Waits until a condition holds.
pub async fn wait_until(condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "the condition was not met in time"
        );
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}

/// Reads a JSON page from a host's operator port; null if there is no answer.
pub async fn read_json(address: &str, path: &str) -> Value {
    let client = HttpClient::new(address);
    let deadline = Instant::now() + Duration::from_secs(5);
    match client
        .request(Method::GET, path, Vec::new(), deadline)
        .await
    {
        Ok(answer) => serde_json::from_slice(&answer.body).unwrap_or_default(),
        Err(_) => Value::Null,
    }
}

/// Returns the callers' addresses of all hosts of a fleet in this process.
pub fn caller_addresses(fleet: &LocalFleet) -> Vec<CompactString> {
    fleet
        .host_names()
        .iter()
        .map(|name| fleet.caller_address(name))
        .collect()
}

/// Returns the ids of all writes in the database.
pub async fn read_back(callers: &[CompactString]) -> Vec<CompactString> {
    let pool = CallerPool::new(callers, DATABASE, "counter", "city");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        match pool
            .run(&["SELECT id FROM renewals".into()], None, deadline)
            .await
        {
            RequestOutcome::Served(column) => {
                return column
                    .into_iter()
                    .flatten()
                    .map(CompactString::from)
                    .collect();
            }
            other => assert!(Instant::now() < deadline, "cannot read back: {other:?}"),
        }
    }
}

/// Compares a run's ledger with the database and returns the contradictions.
pub async fn ledger_faults(plan: &LoadPlan, callers: &[CompactString]) -> Vec<LedgerFault> {
    plan.ledger().compare(&read_back(callers).await)
}

/// The `odznak` layout with one database and one host per data centre.
pub fn small_layout() -> FleetLayout {
    FleetLayout::odznak()
        .with_databases(1)
        .with_one_host_per_site()
}
