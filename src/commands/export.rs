//! `export`: prints one customer's verified record of requests.

use std::io::Write;
use std::time::{Duration, Instant};

use fulmarrill_objects::PlatformClient;
use fulmarrill_platform::read_records;
use fulmarrill_records::{RecordSegment, verify_segments};

use crate::error::CommandError;
use crate::flags::ExportSource;

/// Kind of the store objects that hold record segments.
const RECORD_KIND: &str = "record";
/// Timeout for reading the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(30);

/// Writes the record to standard output. For each hash chain (one per host) or journal
/// (one per run of a host), writes the number of the last record to standard error.
pub fn run(source: &ExportSource, customer: &str) -> Result<(), CommandError> {
    match source {
        ExportSource::Platform(address) => export_chains(address, customer),
        ExportSource::Store(address) => export_journals(address, customer),
    }
}

/// Writes a customer's requests from the journals of all hosts. Faults are reported
/// after the records, so that a fault in one journal does not hide the others.
fn export_journals(address: &str, customer: &str) -> Result<(), CommandError> {
    let record = smol::block_on(read_records(address, |name| name == customer))?;
    let mut out = std::io::stdout().lock();
    for (run, request) in &record.requests {
        let line = serde_json::json!({
            "host": run,
            "at_ms": request.at_ms,
            "endpoint": request.endpoint,
            "request": request.id,
            "statement": request.statement,
            "outcome": request.outcome,
            "error": request.error,
            "noted_for": request.noted_for,
        });
        writeln!(out, "{line}")?;
    }
    for (run, last) in &record.heads {
        eprintln!("journal of {run}: read up to record {last}");
    }
    if record.faults.is_empty() {
        return Ok(());
    }
    Err(CommandError::CheckFailed(record.faults.join("\n")))
}

/// Writes a customer's requests from the record segments in the platform's store.
/// The segments of each host form a hash chain; nothing is written if one of the
/// chains does not verify.
fn export_chains(platform: &str, customer: &str) -> Result<(), CommandError> {
    let client = PlatformClient::new(platform);
    let deadline = Instant::now() + STORE_TIMEOUT;
    let list = smol::block_on(client.watch(RECORD_KIND, 0, Duration::ZERO, deadline))?;
    let mut segments: Vec<RecordSegment> = Vec::new();
    for object in list.objects {
        let held: Vec<RecordSegment> = serde_json::from_value(object.value).map_err(|error| {
            CommandError::CheckFailed(format!(
                "record object {} cannot be read: {error}",
                object.name
            ))
        })?;
        segments.extend(
            held.into_iter()
                .filter(|segment| segment.customer == customer),
        );
    }
    let verified =
        verify_segments(&segments).map_err(|fault| CommandError::CheckFailed(fault.to_string()))?;
    let mut out = std::io::stdout().lock();
    for (host, record) in &verified.records {
        let line = serde_json::json!({ "host": host, "record": record });
        writeln!(out, "{line}")?;
    }
    for (host, (last, _)) in &verified.heads {
        eprintln!("chain of {host}: verified up to record {last}");
    }
    Ok(())
}
