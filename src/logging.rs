//! Logs as JSON lines on standard error.

use std::time::SystemTime;

use log::LevelFilter;

/// Starts logging at a level by its name.
pub fn start(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let result = fern::Dispatch::new()
        .format(|out, message, record| {
            let age = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default();
            let line = serde_json::json!({
                "at_ms": u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                "level": record.level().as_str(),
                "target": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .level(LevelFilter::Warn)
        .level_for("fulmarrill", level)
        .level_for("fulmarrill_host", level)
        .level_for("fulmarrill_platform", level)
        .level_for("fulmarrill_proxy", level)
        .level_for("fulmarrill_peer", level)
        .level_for("fulmarrill_standin", level)
        .level_for("fulmarrill_http", level)
        .chain(std::io::stderr())
        .apply();
    if let Err(error) = result {
        eprintln!("fulmarrill: logging cannot be started: {error}");
    }
}
