//! `apply`, `status` and `state`: requests to a host's operator port.

use std::path::Path;
use std::time::{Duration, Instant};

use fulmarrill_document::OperatorDocument;
use fulmarrill_http::{HttpClient, HttpResponse, Method};
use serde_json::{Value, json};

use crate::commands::read_file;
use crate::error::CommandError;

/// Timeout for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

fn call(
    address: &str,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<HttpResponse, CommandError> {
    let client = HttpClient::new(address);
    let deadline = Instant::now() + CALL_TIMEOUT;
    Ok(smol::block_on(
        client.request(method, path, body, deadline),
    )?)
}

fn answer_error(address: &str, answer: &HttpResponse) -> CommandError {
    let text = String::from_utf8_lossy(&answer.body).trim_end().to_owned();
    CommandError::UnexpectedAnswer {
        address: address.to_owned(),
        text,
    }
}

fn read_json(address: &str, answer: &HttpResponse) -> Result<Value, CommandError> {
    if answer.status != 200 {
        return Err(answer_error(address, answer));
    }
    serde_json::from_slice(&answer.body).map_err(|error| CommandError::UnexpectedAnswer {
        address: address.to_owned(),
        text: format!("answer cannot be read: {error}"),
    })
}

/// Prints the JSON answer of a path on the operator port.
pub fn show(address: &str, path: &str) -> Result<(), CommandError> {
    let answer = call(address, Method::GET, path, Vec::new())?;
    let value = read_json(address, &answer)?;
    println!("{value:#}");
    Ok(())
}

/// Submits a document to be put in force. Fails with a conflict if the store no longer
/// holds `version`; without a version, the current one is read from the host first.
pub fn apply(address: &str, version: Option<u64>, path: &Path) -> Result<(), CommandError> {
    let text = read_file(path)?;
    let refused = |faults| CommandError::Refused {
        path: path.display().to_string(),
        faults,
    };
    OperatorDocument::parse(&text).map_err(refused)?;
    let read_version = if let Some(version) = version {
        version
    } else {
        let answer = call(address, Method::GET, "/document", Vec::new())?;
        read_json(address, &answer)?["version"]
            .as_u64()
            .unwrap_or(0)
    };
    let change_id = format!("apply-{:016x}", fastrand::u64(..));
    let body = json!({ "version": read_version, "text": text, "change_id": change_id });
    let answer = call(
        address,
        Method::POST,
        "/apply",
        body.to_string().into_bytes(),
    )?;
    if answer.status == 409 {
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let held = value["conflict"]["held"].as_u64().unwrap_or(0);
        return Err(CommandError::Conflict {
            read: read_version,
            held,
        });
    }
    let version = read_json(address, &answer)?["version"]
        .as_u64()
        .unwrap_or(0);
    println!("version {version} is accepted");
    Ok(())
}
