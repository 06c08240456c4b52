//! `standin`: runs a stand-in as a separate process.

use fulmarrill_standin::{DatabaseStandin, InstanceOptions, PlatformStandin};

use crate::error::CommandError;
use crate::logging;

/// Runs the platform's stand-in until the process is killed.
pub fn run_platform(listen: &str) -> Result<(), CommandError> {
    logging::start("info", logging::LogTarget::Error);
    smol::block_on(async {
        let platform = PlatformStandin::start(listen).await?;
        println!(
            "{}",
            serde_json::json!({ "address": platform.address().to_string() })
        );
        platform.wait().await;
        Ok(())
    })
}

/// Runs a database instance's stand-in until the process is killed.
pub fn run_database(options: InstanceOptions) -> Result<(), CommandError> {
    logging::start("info", logging::LogTarget::Error);
    smol::block_on(async {
        let database = DatabaseStandin::start(options).await?;
        println!(
            "{}",
            serde_json::json!({ "address": database.address().to_string() })
        );
        database.wait().await;
        Ok(())
    })
}
