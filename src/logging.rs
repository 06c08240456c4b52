//! Logs as JSON lines.
//!
//! Lines go through a bounded queue to a thread that writes them, so that
//! nobody waits for whoever reads them. Lines that find the queue full are
//! counted, and the count is written once there is room.

use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use log::LevelFilter;
use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, json};

/// Lines that may wait to be written; at 400 bytes a line, below a megabyte.
const QUEUE_LINES: usize = 2048;

/// Longest wait for the last lines at the end of the process.
const FINISH_TIME: Duration = Duration::from_millis(300);
/// Time between two looks at the queue meanwhile.
const FINISH_CHECK: Duration = Duration::from_millis(5);

/// Lines that wait to be written.
static WAITING_LINES: AtomicUsize = AtomicUsize::new(0);

/// Where logs go.
#[derive(Debug, Clone, Copy)]
pub enum LogTarget {
    /// Standard output.
    Output,
    /// Standard error, where standard output carries something else.
    Error,
}

/// Starts logging at a level by its name.
pub fn start(level: &str, target: LogTarget) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let writer: Box<dyn Write + Send> = match QueueWriter::start(target) {
        Ok(writer) => Box::new(writer),
        Err(error) => {
            eprintln!("fulmarrill: logs are written directly: {error}");
            open(target)
        }
    };
    let result = fern::Dispatch::new()
        .format(|out, message, record| {
            let age = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default();
            let mut fields = FieldVisitor(Map::new());
            // A field that cannot be written as JSON is written as its text.
            record.key_values().visit(&mut fields).ok();
            let mut line = fields.0;
            let at_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            line.insert("at_ms".into(), at_ms.into());
            line.insert("level".into(), record.level().as_str().into());
            line.insert("target".into(), record.target().into());
            line.insert("message".into(), message.to_string().into());
            out.finish(format_args!("{}", json!(line)));
        })
        .level(LevelFilter::Warn)
        .level_for("fulmarrill", level)
        .level_for("fulmarrill_host", level)
        .level_for("fulmarrill_platform", level)
        .level_for("fulmarrill_proxy", level)
        .level_for("fulmarrill_link", level)
        .level_for("fulmarrill_peer", level)
        .level_for("fulmarrill_standin", level)
        .level_for("fulmarrill_http", level)
        .chain(writer)
        .apply();
    if let Err(error) = result {
        eprintln!("fulmarrill: logging cannot be started: {error}");
    }
}

/// Waits until the last lines are written, for a short while.
pub fn finish() {
    let deadline = Instant::now() + FINISH_TIME;
    while WAITING_LINES.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
        thread::sleep(FINISH_CHECK);
    }
}

fn open(target: LogTarget) -> Box<dyn Write + Send> {
    match target {
        LogTarget::Output => Box::new(io::stdout()),
        LogTarget::Error => Box::new(io::stderr()),
    }
}

/// Collects the fields of a line.
struct FieldVisitor(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(truth)) => truth.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Hands whole lines to a thread that writes them.
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    left_out: u64,
}

impl QueueWriter {
    fn start(target: LogTarget) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(QUEUE_LINES);
        thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_lines(&waiting, open(target)))?;
        Ok(Self {
            lines,
            line: Vec::new(),
            left_out: 0,
        })
    }

    fn send(&mut self, line: Vec<u8>) {
        if self.left_out > 0 {
            let text = "log lines were left out";
            let note = json!({"level": "WARN", "message": text, "count": self.left_out});
            if self.enqueue(format!("{note}\n").into_bytes()) {
                self.left_out = 0;
            }
        }
        if !self.enqueue(line) {
            self.left_out += 1;
        }
    }

    fn enqueue(&self, line: Vec<u8>) -> bool {
        WAITING_LINES.fetch_add(1, Ordering::SeqCst);
        let sent = self.lines.try_send(line).is_ok();
        if !sent {
            WAITING_LINES.fetch_sub(1, Ordering::SeqCst);
        }
        sent
    }
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            self.send(line);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(waiting: &Receiver<Vec<u8>>, mut out: Box<dyn Write + Send>) {
    while let Ok(line) = waiting.recv() {
        let written = out.write_all(&line).and_then(|()| out.flush());
        WAITING_LINES.fetch_sub(1, Ordering::SeqCst);
        // Nobody is left to tell when the log itself cannot be written.
        if written.is_err() {
            return;
        }
    }
}
