//! The `fulmarrill` program: reads its flags and runs one command.

mod commands;
mod error;
mod flags;
mod logging;

use std::process::ExitCode;

/// Exit code of a command that failed.
const EXIT_FAILED: u8 = 1;
/// Exit code of a text that was refused: settings, document or trace.
const EXIT_REFUSED: u8 = 2;
/// Exit code of an update that met a change made by somebody else.
const EXIT_CONFLICT: u8 = 3;

fn main() -> ExitCode {
    let command = flags::command().run();
    let result = commands::run(command);
    logging::finish();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fulmarrill: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
