//! The record of a run: what was sent, answered and done, with the time since the start.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Writes lines to `record.txt`.
pub struct RunRecord {
    started_at: Instant,
    file: Mutex<BufWriter<File>>,
}

impl RunRecord {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            started_at: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        })
    }

    /// Time since the start of the run.
    pub fn time(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let time = self.time().as_secs_f64();
        let mut file = self.file.lock().expect("no writer of the record panics");
        writeln!(file, "{time:8.3} {text}").expect("the record can be written");
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.time().as_secs_f64());
        self.line(text);
    }
}
