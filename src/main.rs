//! The `fulmarrill` program: parses the command line and runs one command.

mod commands;
mod error;
mod flags;
mod logging;

use std::process::ExitCode;

/// Exit code of a command that failed.
const EXIT_FAILED: u8 = 1;
/// Exit code when an input is refused (settings, document) or a check fails (trace,
/// record, measured writes, soak).
const EXIT_REFUSED: u8 = 2;
/// Exit code of an update that conflicts with a change made by somebody else.
const EXIT_CONFLICT: u8 = 3;

fn main() -> ExitCode {
    let command = flags::command().run();
    let result = commands::run(command);
    logging::drain();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fulmarrill: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
