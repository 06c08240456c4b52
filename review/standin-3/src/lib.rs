//! What the scripts of the third review share: hosts as processes, callers that write to
//! a primary, and the record of a run.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Exit code of a run in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a run that could not take place.
pub const NOT_RUN: i32 = 2;

/// Lines of `record.txt`, with the time since the start of the run.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    /// Creates the file. Ends the process if it cannot be written.
    #[must_use]
    pub fn new(path: &Path) -> Arc<Self> {
        let Ok(file) = File::create(path) else {
            eprintln!("{}: cannot be written", path.display());
            std::process::exit(NOT_RUN);
        };
        Arc::new(Self {
            file: Mutex::new(file),
            started_at: Instant::now(),
        })
    }

    /// Writes a line about something that happened at `at`.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.started_at).as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            writeln!(file, "{seconds:8.3} {text}").ok();
        }
    }

    /// Writes a line about something that happens now.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line and shows it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A host that runs as a process.
#[derive(Debug)]
pub struct Host {
    /// Name.
    pub name: String,
    /// Address for callers.
    pub callers: String,
    /// Address of the readiness probe.
    pub ready: String,
    /// Address of metrics and the state dump.
    pub operators: String,
    /// Address for other hosts.
    pub peers: String,
    data_centre: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// An address on loopback at which nothing listens.
#[must_use]
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    listener.local_addr().expect("no address").to_string()
}

/// Places of the hosts and instances: data centre and region.
pub const PLACES: [(&str, &str); 3] = [
    ("north-1", "north"),
    ("north-2", "north"),
    ("south-1", "south"),
];

impl Host {
    /// Starts a host in each of `data_centres`. Their settings are those that the template
    /// of the deploy file gives.
    #[must_use]
    pub fn start_all(
        program: &Path,
        folder: &Path,
        data_centres: &[&str],
        store: &str,
    ) -> Vec<Self> {
        let mut hosts = Vec::new();
        for (index, data_centre) in data_centres.iter().enumerate() {
            let name = format!("front-{index}");
            hosts.push(Self {
                callers: free_address(),
                ready: free_address(),
                operators: free_address(),
                peers: free_address(),
                program: program.to_owned(),
                settings: folder.join(format!("{name}.json")),
                log: folder.join(format!("{name}.log")),
                child: None,
                data_centre: (*data_centre).to_owned(),
                name,
            });
        }
        let seeds: Vec<String> = hosts.iter().map(|host| host.peers.clone()).collect();
        let seeds = &seeds[..seeds.len().min(3)];
        for host in &mut hosts {
            host.write_settings(store, seeds, true);
            host.start();
        }
        hosts
    }

    /// Starts hosts again that have ended, as after the first start of the system.
    pub fn restart_all(hosts: &mut [Self], store: &str) {
        let seeds: Vec<String> = hosts.iter().map(|host| host.peers.clone()).collect();
        let seeds = &seeds[..seeds.len().min(3)];
        for host in hosts {
            host.write_settings(store, seeds, false);
            host.start();
        }
    }

    /// Writes the settings, as the template of the deploy file renders them.
    pub fn write_settings(&self, store: &str, seeds: &[String], is_first: bool) {
        let data_centre = self.data_centre.as_str();
        let region = PLACES.iter().find(|(name, _)| *name == data_centre);
        let region = region.map_or("", |(_, region)| region);
        let regions: Value = PLACES.into_iter().collect();
        let settings = json!({
            "host": self.name, "data_centre": data_centre, "region": region,
            "regions": regions, "caller_listen": self.callers, "ready_listen": self.ready,
            "peer_listen": self.peers, "operator_listen": self.operators, "seeds": seeds,
            "store": store, "orders": store, "is_first_start": is_first,
            "is_baseline": false, "cpu_cores": 0.25, "memory_mb": 260, "descriptors": 4200,
            "grace_s": 6, "log_level": "info",
        });
        fs::write(&self.settings, settings.to_string()).expect("settings cannot be written");
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("log cannot be written");
        let child = Command::new(&self.program)
            .arg("front")
            .env("FULMARRILL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log cannot be written"))
            .stdout(log)
            .spawn();
        self.child = child.ok();
    }

    /// Sends a signal, by the name that `kill` knows.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            Command::new("kill").args(["-s", signal, &id]).status().ok();
        }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Whether the host counts as ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        get(&self.ready, "/ready").is_some_and(|text| text.starts_with("HTTP/1.1 200"))
    }

    /// The state dump.
    #[must_use]
    pub fn state(&self) -> Value {
        let answer = get(&self.operators, "/state").unwrap_or_default();
        let body = answer.split_once("\r\n\r\n").map(|(_, body)| body);
        body.and_then(|body| serde_json::from_str(body).ok())
            .unwrap_or_default()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all hosts are ready; returns false if that takes too long.
#[must_use]
pub fn wait_until_ready(hosts: &[Host], time: Duration) -> bool {
    let until = Instant::now() + time;
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}

fn get(address: &str, path: &str) -> Option<String> {
    let address = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    .ok()?;
    let mut text = String::new();
    std::io::Read::read_to_string(&mut stream, &mut text).ok()?;
    Some(text)
}

/// A caller's session over a blocking connection.
#[derive(Debug)]
pub struct Session {
    reader: BufReader<TcpStream>,
}

/// The answer to a statement: its lines, without the line ends.
pub type Answer = Vec<String>;

/// Number in the next statement's id.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new statement id.
#[must_use]
pub fn next_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

impl Session {
    /// Opens a session at an endpoint.
    #[must_use]
    pub fn open(address: &str, endpoint: &str) -> Option<Self> {
        let address = address.parse().ok()?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .ok()?;
        let mut session = Self {
            reader: BufReader::new(stream),
        };
        session.send(&format!("STARTUP {endpoint} u1"))?;
        let greeting = session.line()?;
        greeting.starts_with("READY").then_some(session)
    }

    fn send(&mut self, line: &str) -> Option<()> {
        let bytes = format!("{line}\r\n").into_bytes();
        self.reader.get_mut().write_all(&bytes).ok()
    }

    fn line(&mut self) -> Option<String> {
        let mut bytes = Vec::new();
        self.reader.read_until(b'\n', &mut bytes).ok()?;
        let text = String::from_utf8(bytes).ok()?;
        Some(text.strip_suffix("\r\n")?.to_owned())
    }

    /// Runs a statement under an id. None if the connection ends first.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(&format!("QUERY {id} {text}"))?;
        let mut answer = Answer::new();
        loop {
            let line = self.line()?;
            let is_end = line.starts_with("READY");
            answer.push(line);
            if is_end {
                return Some(answer);
            }
        }
    }
}

/// Callers, each of which runs the statements that `statement` names, one every
/// `interval`, at the hosts in turn.
pub fn start_callers(
    record: &Arc<Record>,
    hosts: &[Host],
    (endpoint, count, interval): (&str, usize, Duration),
    stop: &Arc<AtomicBool>,
    statement: fn(usize, u64) -> String,
) -> Vec<std::thread::JoinHandle<()>> {
    let mut threads = Vec::new();
    for caller in 0..count {
        let address = hosts[caller % hosts.len()].callers.clone();
        let (record, stop, endpoint) = (record.clone(), stop.clone(), endpoint.to_owned());
        threads.push(std::thread::spawn(move || {
            let mut session = None;
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                if session.is_none() {
                    session = Session::open(&address, &endpoint);
                }
                if let Some(open) = &mut session {
                    let (id, text) = (next_id(), statement(caller, number));
                    let sent_at = Instant::now();
                    let answer = open.query(&id, &text);
                    let shown = answer
                        .as_ref()
                        .map_or("no answer".into(), |a| a.join(" | "));
                    record.line_at(sent_at, &format!("sent {id} {text}"));
                    record.line(&format!("answered {id} {shown}"));
                    if answer.is_none() {
                        session = None;
                    }
                }
                std::thread::sleep(interval);
            }
        }));
    }
    threads
}

/// A request: when it was sent, and whether it was served.
pub type Outcome = (Instant, bool);

/// Callers at one host that write and read values of a `primary` route.
const COUNTED_CALLERS: usize = 4;
/// Time between two statements of one of them.
const COUNTED_INTERVAL: Duration = Duration::from_millis(100);

/// Starts callers of the endpoint `latest` that write `value` and read it in turn. Each opens
/// a session again after it was closed.
pub fn start_counted_callers(
    record: &Arc<Record>,
    address: &str,
    value: &str,
    outcomes: &Arc<Mutex<Vec<Outcome>>>,
    stop: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<()>> {
    let mut threads = Vec::new();
    for caller in 0..COUNTED_CALLERS {
        let (record, address, value) = (record.clone(), address.to_owned(), value.to_owned());
        let (outcomes, stop) = (outcomes.clone(), stop.clone());
        threads.push(std::thread::spawn(move || {
            let mut session = None;
            for number in 0_u64.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let sent_at = Instant::now();
                if session.is_none() {
                    session = Session::open(&address, "latest");
                }
                let id = next_id();
                let is_write = number % 2 == 0;
                let text = if is_write {
                    format!("WRITE k{caller} {value}")
                } else {
                    format!("READ k{caller}")
                };
                let answer = session.as_mut().and_then(|open| open.query(&id, &text));
                let is_done = |line: &String| line.starts_with("DONE ") && line != "DONE -";
                let is_served = answer
                    .as_ref()
                    .is_some_and(|lines| lines.iter().any(is_done));
                let lines = answer.as_deref().unwrap_or_default();
                let shown: Vec<String> = lines.iter().map(|line| shorten(line, 60)).collect();
                record.line_at(sent_at, &format!("sent {id} {}", shorten(&text, 20)));
                record.line(&format!("answered {id} {}", shown.join(" | ")));
                if let Ok(mut outcomes) = outcomes.lock() {
                    outcomes.push((sent_at, is_served));
                }
                if answer.is_none() {
                    session = None;
                }
                std::thread::sleep(COUNTED_INTERVAL);
            }
        }));
    }
    threads
}

/// The first characters of a text.
#[must_use]
pub fn shorten(text: &str, length: usize) -> String {
    text.chars().take(length).collect()
}

/// How many of the requests sent in a span were served, and how many there were.
#[must_use]
pub fn served_share(outcomes: &[Outcome], from: Instant, until: Instant) -> (usize, usize) {
    let sent = outcomes.iter().filter(|(at, _)| *at >= from && *at < until);
    let served = sent.clone().filter(|(_, is_served)| *is_served);
    (served.count(), sent.count())
}

/// A configuration with one service, `orders`, and a `primary` route to it, `latest`.
#[must_use]
pub fn primary_configuration() -> Value {
    json!({
        "Version": 11,
        "Routes": [{
            "Name": "latest", "Host": "latest", "PathPrefix": "/", "Type": "primary",
            "TimeoutMs": 800, "TargetLatencyMs": 500, "Priority": 0, "Service": "orders",
            "MaxAttempts": 2,
        }],
        "Services": [{"Name": "orders", "MaxConns": 46, "SyncReplicas": 0}],
        "Limits": {"TxIdleMs": 5000},
    })
}

/// The value of TROUBLE: whether the run has its disruption.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The program of the hosts, and the folder for `record.txt`, from the arguments. Ends the
/// process if they are missing.
#[must_use]
pub fn arguments() -> (PathBuf, PathBuf) {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    match (arguments.next(), arguments.next()) {
        (Some(program), Some(folder)) if program.exists() => (program, folder),
        _ => {
            eprintln!("usage: STANDIN PROGRAM FOLDER");
            std::process::exit(NOT_RUN);
        }
    }
}

/// A folder of this run for settings and logs.
#[must_use]
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-3-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("no temporary folder");
    folder
}
