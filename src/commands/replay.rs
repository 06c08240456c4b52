//! `replay`: checks recorded traces against their stated outcomes.

use std::path::PathBuf;

use crate::commands::read_file;
use crate::error::CommandError;

/// Replays the traces one after another and fails at the first outcome that differs.
pub fn run(traces: &[PathBuf]) -> Result<(), CommandError> {
    for path in traces {
        let text = read_file(path)?;
        let report = fulmarrill_replay::replay_trace(&text)
            .map_err(|error| CommandError::CheckFailed(format!("{}: {error}", path.display())))?;
        println!(
            "{}: {} events, {} outcomes hold",
            path.display(),
            report.events,
            report.outcomes
        );
    }
    Ok(())
}
