//! Logging as JSON lines.
//!
//! A bounded queue passes lines to a writer thread, so that logging never blocks on
//! a slow reader of the output. Lines that do not fit into the queue are dropped and
//! counted; the count is logged once the queue has room again.

use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use log::LevelFilter;
use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, json};

/// Capacity of the queue in lines; less than a megabyte at 400 bytes per line.
const QUEUE_LINES: usize = 2048;

/// Longest wait for queued lines at the end of the process.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the queue is polled during that wait.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of lines that are queued or being written.
static WAITING_LINES: AtomicUsize = AtomicUsize::new(0);

/// Destination of the log.
#[derive(Debug, Clone, Copy)]
pub enum LogTarget {
    /// Standard output.
    Output,
    /// Standard error, for commands that print results to standard output.
    Error,
}

/// Starts logging at the level of this name; `info` if the name is not known.
pub fn start(level: &str, target: LogTarget) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let writer: Box<dyn Write + Send> = match QueueWriter::start(target) {
        Ok(writer) => Box::new(writer),
        Err(error) => {
            eprintln!("fulmarrill: no log thread, log lines are written synchronously: {error}");
            open_output(target)
        }
    };
    let result = fern::Dispatch::new()
        .format(|out, message, record| {
            let since_epoch = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default();
            let mut fields = FieldVisitor(Map::new());
            // The visitor never fails: a value that is no unsigned integer or boolean is
            // written as text.
            record.key_values().visit(&mut fields).ok();
            let mut line = fields.0;
            let at_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
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
        eprintln!("fulmarrill: cannot start logging: {error}");
    }
}

/// Waits until all queued lines are written, for at most `DRAIN_TIMEOUT`.
pub fn drain() {
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while WAITING_LINES.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
        thread::sleep(DRAIN_POLL_INTERVAL);
    }
}

fn open_output(target: LogTarget) -> Box<dyn Write + Send> {
    match target {
        LogTarget::Output => Box::new(io::stdout()),
        LogTarget::Error => Box::new(io::stderr()),
    }
}

/// Collects the key-value pairs of a log record.
struct FieldVisitor(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(boolean)) => boolean.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Splits the output into lines and queues them for the writer thread.
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    dropped_lines: u64,
}

impl QueueWriter {
    fn start(target: LogTarget) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(QUEUE_LINES);
        thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_lines(&waiting, open_output(target)))?;
        Ok(Self {
            lines,
            line: Vec::new(),
            dropped_lines: 0,
        })
    }

    fn send(&mut self, line: Vec<u8>) {
        if self.dropped_lines > 0 {
            let text = "log lines were left out";
            let note = json!({"level": "WARN", "message": text, "count": self.dropped_lines});
            if self.enqueue(format!("{note}\n").into_bytes()) {
                self.dropped_lines = 0;
            }
        }
        if !self.enqueue(line) {
            self.dropped_lines += 1;
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
        // An error of the log itself cannot be reported anywhere.
        if written.is_err() {
            return;
        }
    }
}
