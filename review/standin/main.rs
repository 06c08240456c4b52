//! Runs one case of the review: `standin CASE RECORD`. It exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it does the
//! same without the disruption.

mod database;
mod fleet;
mod hosts;
mod json;
mod platform;
mod primary_gone;
mod record;
mod sync_replica;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found.
pub enum Outcome {
    Held,
    Broken,
    CannotRun(String),
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Folder for settings and logs, removed when dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match record::Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let running = AssertUnwindSafe(|| match case.as_str() {
        "primary-gone" => primary_gone::run(&record),
        "sync-replica" => sync_replica::run(&record),
        _ => Outcome::CannotRun(format!("no case {case}")),
    });
    let outcome = catch_unwind(running);
    let outcome = outcome.unwrap_or_else(|_| Outcome::CannotRun("the stand-in panicked".into()));
    match outcome {
        Outcome::Held => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Outcome::CannotRun(why) => {
            record.line(&format!("the case could not run: {why}"));
            eprintln!("the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}
