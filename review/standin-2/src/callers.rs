//! after a promise or when no connection can be had, within a time budget.

use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::record::RunRecord;

/// Answers by which nothing of an attempt is kept.
const PROMISES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "TOOMANY",
];
/// Attempts of one operation: the first and two retries.
const ATTEMPTS: usize = 3;
/// Time budget of an operation.
const BUDGET: Duration = Duration::from_secs(6);
/// Time without an answer after which a consumer gives an attempt up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two operations of a session.
const PAUSE: Duration = Duration::from_millis(150);
/// Pause between two documents of a session.
const DOCUMENT_PAUSE: Duration = Duration::from_secs(1);
/// Pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// One operation and whether it was served.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub sent_at: Duration,
    pub is_served: bool,
}

/// What all consumers share.
pub struct Crowd {
    record: Arc<RunRecord>,
    /// Caller addresses of the hosts that the platform forwards connections to.
    targets: Mutex<Vec<String>>,
    requests: Mutex<Vec<Request>>,
    /// Ids of the writes that were answered with success.
    acknowledged: Mutex<Vec<String>>,
    is_over: AtomicBool,
    has_documents: AtomicBool,
    next_id: AtomicU64,
}

impl Crowd {
    pub fn new(record: Arc<RunRecord>, targets: Vec<String>) -> Arc<Self> {
        Arc::new(Self {
            record,
            targets: Mutex::new(targets),
            requests: Mutex::default(),
            acknowledged: Mutex::default(),
            is_over: AtomicBool::new(false),
            has_documents: AtomicBool::new(true),
            next_id: AtomicU64::new(1),
        })
    }

    /// Starts `count` sessions on each route, each with its own thread.
    pub fn start(
        self: &Arc<Self>,
        routes: &[&'static str],
        who: &str,
        count: usize,
    ) -> Vec<JoinHandle<()>> {
        let mut threads = Vec::new();
        for route in routes {
            for number in 0..count {
                let (crowd, who, route) = (self.clone(), who.to_owned(), *route);
                threads.push(std::thread::spawn(move || {
                    Consumer::new(crowd, route, who, number).run();
                }));
            }
        }
        threads
    }

    /// Starts `count` sessions that write documents of `bytes` on a route.
    pub fn start_documents(
        self: &Arc<Self>,
        route: &'static str,
        who: &str,
        count: usize,
        bytes: usize,
    ) -> Vec<JoinHandle<()>> {
        let mut threads = Vec::new();
        for number in 0..count {
            let mut consumer = Consumer::new(self.clone(), route, who.to_owned(), number);
            consumer.document_bytes = bytes;
            threads.push(std::thread::spawn(move || consumer.run()));
        }
        threads
    }

    /// Ends the sessions that write documents.
    pub fn end_documents(&self) {
        self.has_documents.store(false, Ordering::SeqCst);
    }

    /// Changes the hosts that new connections go to.
    pub fn set_targets(&self, targets: Vec<String>) {
        *self.targets.lock().expect("no consumer panics") = targets;
    }

    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    /// Ids of the writes that were answered with success.
    pub fn acknowledged(&self) -> Vec<String> {
        self.acknowledged
            .lock()
            .expect("no consumer panics")
            .clone()
    }

    /// Number and share of the requests sent in a span that were served.
    pub fn share(&self, from: Duration, to: Duration) -> (usize, f64) {
        let requests = self.requests.lock().expect("no consumer panics");
        let sent: Vec<&Request> = requests
            .iter()
            .filter(|request| (from..to).contains(&request.sent_at))
            .collect();
        let served = sent.iter().filter(|request| request.is_served).count();
        #[allow(clippy::cast_precision_loss)]
        let share = served as f64 / sent.len().max(1) as f64;
        (sent.len(), share)
    }
}

struct Consumer {
    crowd: Arc<Crowd>,
    route: &'static str,
    who: String,
    number: usize,
    session: Option<BufReader<TcpStream>>,
    next_target: usize,
    /// Bytes of the documents that it writes; 0 for one that reads and writes items.
    document_bytes: usize,
}

/// The answer to one statement: its code, `DONE` for a success.
type Outcome = io::Result<String>;

impl Consumer {
    fn new(crowd: Arc<Crowd>, route: &'static str, who: String, number: usize) -> Self {
        Self {
            crowd,
            route,
            who,
            number,
            session: None,
            next_target: number,
            document_bytes: 0,
        }
    }

    fn run(&mut self) {
        let mut round = self.number;
        while !self.crowd.is_over.load(Ordering::SeqCst) {
            round += 1;
            let is_document = self.document_bytes > 0;
            if is_document && !self.crowd.has_documents.load(Ordering::SeqCst) {
                return;
            }
            let writes = is_document || self.route != "ticket-read" && round.is_multiple_of(4);
            let sent_at = self.crowd.record.time();
            let is_served = self.operation(writes, round);
            let request = Request { sent_at, is_served };
            self.crowd
                .requests
                .lock()
                .expect("no consumer panics")
                .push(request);
            std::thread::sleep(if is_document { DOCUMENT_PAUSE } else { PAUSE });
        }
    }

    /// Runs one operation of one statement with its retries.
    fn operation(&mut self, writes: bool, round: usize) -> bool {
        let deadline = Instant::now() + BUDGET;
        for attempt in 0..ATTEMPTS {
            if attempt > 0 {
                std::thread::sleep(RETRY_PAUSE);
            }
            if Instant::now() >= deadline {
                return false;
            }
            let id = self.crowd.next_id.fetch_add(1, Ordering::SeqCst);
            let item = format!("{}-{}", self.route, self.number);
            let text = if self.document_bytes > 0 {
                let name = format!("document-{}", self.number);
                format!("WRITE {name} {}", document(id, self.document_bytes))
            } else if writes {
                format!("WRITE {item} v{round}")
            } else {
                format!("READ {item}")
            };
            let has_session = self.open();
            let outcome = match &has_session {
                Ok(()) => self.statement(id, &text),
                Err(error) => Err(io::Error::new(error.kind(), error.to_string())),
            };
            let shown = match &outcome {
                Ok(code) => code.clone(),
                Err(error) => format!("no answer: {error}"),
            };
            self.crowd.record.line(&format!(
                "{} {id:016x} {} -> {shown}",
                self.route,
                short(&text)
            ));
            match outcome {
                Ok(code) if code == "DONE" => {
                    if writes {
                        let mut acknowledged =
                            self.crowd.acknowledged.lock().expect("no consumer panics");
                        acknowledged.push(format!("{id:016x}"));
                    }
                    return true;
                }
                Ok(code) if PROMISES.contains(&code.as_str()) => {}
                // Nothing was sent.
                Err(_) if has_session.is_err() => {}
                Ok(code) if code == "FAILED" && !writes => {}
                Ok(_) => return false,
                Err(_) if !writes => {}
                Err(_) => return false,
            }
        }
        false
    }

    /// Opens the session if there is none, at another host each time.
    fn open(&mut self) -> io::Result<()> {
        if self.session.is_some() {
            return Ok(());
        }
        let targets = self
            .crowd
            .targets
            .lock()
            .expect("no consumer panics")
            .clone();
        self.next_target += 1;
        let target = &targets[self.next_target % targets.len()];
        let address = target.parse().map_err(io::Error::other)?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        let mut session = BufReader::new(stream);
        write!(session.get_mut(), "STARTUP {} {}\r\n", self.route, self.who)?;
        let line = read_line(&mut session)?;
        if !line.starts_with("READY") {
            return Err(io::Error::other(line));
        }
        self.session = Some(session);
        Ok(())
    }

    fn statement(&mut self, id: u64, text: &str) -> Outcome {
        let outcome = self.exchange(id, text);
        if outcome.is_err() {
            self.session = None;
        }
        outcome
    }

    fn exchange(&mut self, id: u64, text: &str) -> Outcome {
        let session = self.session.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        write!(session.get_mut(), "QUERY {id:016x} {text}\r\n")?;
        let mut code = String::new();
        loop {
            let line = read_line(session)?;
            let mut words = line.split(' ');
            match words.next() {
                Some("ROW") => {}
                Some("DONE") => code = "DONE".to_owned(),
                Some("ERR") => code = words.next().unwrap_or_default().to_owned(),
                Some("READY") => {
                    if words.next() != Some("I") {
                        return Err(io::Error::other("the operation ended outside I"));
                    }
                    return Ok(code);
                }
                _ => return Err(io::Error::other(line)),
            }
        }
    }
}

/// Letters and digits that do not compress.
fn document(id: u64, bytes: usize) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    let mut state = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut text = String::with_capacity(bytes);
    while text.len() < bytes {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        text.push(char::from(
            LETTERS[usize::from(state.to_be_bytes()[0] >> 2)],
        ));
    }
    text
}

/// A statement as the record shows it.
fn short(text: &str) -> String {
    match text.get(..40) {
        Some(start) => format!("{start}... ({} bytes)", text.len()),
        None => text.to_owned(),
    }
}

fn read_line(session: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if session.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}
