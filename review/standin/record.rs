//! The record of a run: what was sent, answered and run, with the time.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            file: Mutex::new(File::create(path)?),
            started_at: Instant::now(),
        }))
    }

    pub fn line(&self, text: &str) {
        let time = self.started_at.elapsed().as_secs_f64();
        writeln!(self.file.lock().unwrap(), "{time:9.3} {text}").ok();
    }
}
