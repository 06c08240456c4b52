//! Hosts of fulmarrill as separate processes, and callers.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Program and argument of the deploy file.
const PROGRAM: &str = "target/release/fulmarrill";
const ROLE: &str = "front";

pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: String,
    log: String,
    pub child: Option<Child>,
}

/// Addresses on which nothing listens now. All are bound before any is released. They
/// are on a loopback address of this run's own, where no other run or outgoing
/// connection takes a port before the hosts do.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let run = std::process::id();
    let own = Ipv4Addr::new(127, 1 + (run >> 8) as u8 % 254, run as u8, 1);
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind((own, 0)).expect("no free port"));
    }
    let addresses = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("no address"));
    addresses.collect()
}

impl Host {
    /// Writes the settings of one host for each zone, as `deploy/settings.json` makes
    /// them; all zones are in one region.
    pub fn create(folder: &Path, zones: &[&str], platform: SocketAddr) -> Vec<Self> {
        let addresses = free_addresses(zones.len() * 4);
        let seeds: Vec<String> = addresses
            .chunks(4)
            .map(|own| format!("\"{}\"", own[2]))
            .collect();
        let regions: Vec<String> = zones
            .iter()
            .map(|zone| format!("\"{zone}\":\"region\""))
            .collect();
        let mut hosts = Vec::new();
        for (zone, own) in zones.iter().zip(addresses.chunks(4)) {
            let name = format!("front-{zone}-1");
            let text = format!(
                r#"{{"host":"{name}","data_centre":"{zone}","region":"region","regions":{{{}}},"caller_listen":"{}","ready_listen":"{}","peer_listen":"{}","operator_listen":"{}","seeds":[{}],"store":"{platform}","orders":"{platform}","is_first_start":false,"is_baseline":false,"cpu_cores":0.25,"grace_s":6,"log_level":"info"}}"#,
                regions.join(","),
                own[0],
                own[1],
                own[2],
                own[3],
                seeds.join(",")
            );
            let settings = folder.join(format!("{name}.json"));
            fs::write(&settings, text).expect("settings cannot be written");
            hosts.push(Self {
                callers: own[0],
                ready: own[1],
                settings: settings.to_string_lossy().into_owned(),
                log: folder
                    .join(format!("{name}.log"))
                    .to_string_lossy()
                    .into_owned(),
                name,
                child: None,
            });
        }
        hosts
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg(ROLE)
            .env("FULMARRILL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Whether the readiness probe is answered with 200.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok();
        let request = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    /// The lines of the log that contain one of `words`.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text
            .lines()
            .filter(|line| words.iter().any(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A caller's session.
pub struct Caller {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

/// The answer to a statement: its rows, or the code of the error.
pub type Answer = Result<Vec<String>, String>;

impl Caller {
    pub fn connect(
        address: SocketAddr,
        database: &str,
        timeout: Duration,
    ) -> std::io::Result<Self> {
        let writer = TcpStream::connect_timeout(&address, timeout)?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(timeout))?;
        let reader = BufReader::new(writer.try_clone()?);
        let mut caller = Self { reader, writer };
        caller
            .writer
            .write_all(format!("STARTUP {database} caller\r\n").as_bytes())?;
        match caller.read_answer() {
            Ok(Ok(_)) => Ok(caller),
            Ok(Err(code)) => Err(std::io::Error::other(code)),
            Err(error) => Err(error),
        }
    }

    fn read_answer(&mut self) -> std::io::Result<Answer> {
        let (mut rows, mut error) = (Vec::new(), None);
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let (word, rest) = line
                .trim_end()
                .split_once(' ')
                .unwrap_or((line.trim_end(), ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "ERR" => error = Some(rest.split(' ').next().unwrap_or_default().to_owned()),
                "READY" => return Ok(error.map_or(Ok(rows), Err)),
                _ => {}
            }
        }
    }

    /// Sends a statement and waits for its whole answer.
    pub fn query(&mut self, id: &str, text: &str) -> std::io::Result<Answer> {
        self.writer
            .write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        self.read_answer()
    }
}

/// Waits until `condition` holds; false if it does not within `time`.
pub fn wait_until(time: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + time;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
