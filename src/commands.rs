//! The program's commands, one module per command or set of related commands.

mod check;
mod demo;
mod export;
mod measure;
mod operate;
mod replay;
mod serve;
mod soak;
mod standin;

use std::path::Path;
use std::time::Duration;

use crate::error::CommandError;
use crate::flags::Command;
use crate::logging::LogTarget;

/// Runs a command until it ends.
///
/// # Errors
///
/// When the command fails; the error decides the exit code.
pub fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve { settings } => serve::run(&settings),
        Command::Front => Ok(fulmarrill_platform::run_process(|level| {
            crate::logging::start(level, LogTarget::Output);
        })?),
        Command::Check { file } => check::run(&file),
        Command::Apply {
            host,
            version,
            file,
        } => operate::apply(&host, version, &file),
        Command::Status { host } => operate::show(&host, "/status"),
        Command::State { address } => operate::show(&address, "/state"),
        Command::Export { source, customer } => export::run(&source, &customer),
        Command::Replay { traces } => replay::run(&traces),
        Command::StandinPlatform { listen } => standin::run_platform(&listen),
        Command::StandinDatabase {
            name,
            listen,
            primary,
            slots,
            connections,
            schema,
        } => {
            let schema: Vec<&str> = schema.iter().map(String::as_str).collect();
            let mut options = fulmarrill_standin::InstanceOptions::new(&name)
                .with_listen(&listen)
                .with_limits(slots, connections)
                .with_schema(&schema);
            if let Some(term) = primary {
                options = options.with_primary(term);
            }
            standin::run_database(options)
        }
        Command::Measure {
            json,
            cost,
            scenarios,
        } => measure::run(json, cost, &scenarios),
        Command::Soak {
            seed,
            seeds,
            seconds,
            hosts,
            callers,
            limits,
            drills,
            losses,
            page,
        } => soak::run(seed, seeds, page.as_deref(), &|options| {
            options
                .with_time(Duration::from_secs(seconds))
                .with_size(hosts, callers)
                .with_limits(limits)
                .with_drills(drills)
                .with_losses(losses)
        }),
        Command::Demo { seconds, listen } => demo::run(seconds, listen),
    }
}

/// Reads a file as text.
fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.display().to_string(),
        source,
    })
}
