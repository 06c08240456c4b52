//! `serve`: runs one host until a signal ends it.

use std::path::Path;

use fulmarrill_document::HostSettings;
use fulmarrill_host::HostProcess;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::commands::read_file;
use crate::error::CommandError;
use crate::logging;

/// Runs a host; SIGTERM or SIGINT shuts it down gracefully.
pub fn run(path: &Path) -> Result<(), CommandError> {
    let settings =
        HostSettings::parse(&read_file(path)?).map_err(|faults| CommandError::Refused {
            path: path.display().to_string(),
            faults,
        })?;
    logging::start(&settings.log_level, logging::LogTarget::Error);
    let threads = usize::try_from(settings.traffic_threads).unwrap_or(1);
    fulmarrill_runtime::start_threads(threads);
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let host = smol::block_on(HostProcess::start(settings))?;
    let addresses = serde_json::to_string(host.addresses()).unwrap_or_default();
    println!("{addresses}");
    signals.forever().next();
    smol::block_on(host.leave());
    Ok(())
}
