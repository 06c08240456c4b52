//! The plug-in that serves operators over HTTP: console, state, metrics and
//! health.

mod page;

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_document::{OperatorDocument, format_errors};
use fulmarrill_http::{HttpRequest, HttpResponse, Method, serve_http};
use fulmarrill_objects::ObjectKey;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::context::{SharedContext, take_listener};
use crate::kernel::HostPlugin;
use crate::platform::{DOCUMENT_KIND, DOCUMENT_NAME, UpdateOutcome, compare_and_set};

/// Timeout for writing a document to the store.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

inventory::submit! { HostPlugin::new("console", start) }

fn start(context: SharedContext) -> Vec<smol::Task<()>> {
    let Some(listener) = take_listener(&context.listeners.operator) else {
        return Vec::new();
    };
    let serving = serve_http(listener, move |request| {
        let context = context.clone();
        async move { handle_request(&context, request).await }
    });
    vec![fulmarrill_runtime::spawn(serving)]
}

async fn handle_request(context: &SharedContext, request: HttpRequest) -> HttpResponse {
    match (&request.method, request.path.as_str()) {
        (&Method::GET, "/") => HttpResponse::html(200, page::PAGE),
        (&Method::GET, "/healthz") => HttpResponse::text(200, "ok\n"),
        (&Method::GET, "/metrics") => HttpResponse::text(200, context.metrics.render()),
        (&Method::GET, "/state") => json_answer(200, &dump_state(context)),
        (&Method::GET, "/status") => json_answer(200, &dump_status(context)),
        (&Method::GET, "/document") => json_answer(200, &dump_document(context)),
        (&Method::POST, "/check") => check_document(&request),
        (&Method::POST, "/apply") => apply_document(context, &request).await,
        _ => HttpResponse::text(404, format!("nothing at {}\n", request.path)),
    }
}

fn json_answer(status: u16, value: &Value) -> HttpResponse {
    let mut text = format!("{value:#}");
    text.push('\n');
    HttpResponse::json(status, text)
}

/// Dumps the state of this process for debugging.
fn dump_state(context: &SharedContext) -> Value {
    let view = context.view.load();
    let hosts: Vec<_> = view.hosts.iter().collect();
    let groups: Vec<_> = view
        .groups
        .values()
        .map(|held| json!({ "version": held.version, "group": held.group }))
        .collect();
    json!({
        "host": context.settings.host,
        "run": context.run_name,
        "addresses": context.addresses,
        "leaving": context.lifecycle.is_leaving(),
        "in_flight": context.lifecycle.in_flight(),
        "sessions": context.entry.session_count(),
        "versions": versions_json(view.versions),
        "hosts": hosts,
        "groups": groups,
        "owners": context.owners.dump(),
        "records": context.records.dump(),
    })
}

fn versions_json(versions: fulmarrill_peer::ControlVersions) -> Value {
    json!({
        "document": versions.document,
        "groups": versions.groups,
        "hosts": versions.hosts,
    })
}

/// Reports the version of the document on each host, and on how many hosts it
/// is at least the version in force here.
fn dump_status(context: &SharedContext) -> Value {
    let view = context.view.load();
    let own = view.versions.document;
    let others = context.entry.peer_versions();
    let mut hosts = serde_json::Map::new();
    hosts.insert(context.settings.host.to_string(), json!(own));
    let mut in_force = 1;
    for host in view.hosts.iter() {
        if let Some(versions) = others.get(&host.name) {
            in_force += usize::from(versions.document >= own);
            hosts.insert(host.name.to_string(), json!(versions.document));
        }
    }
    json!({
        "version": own,
        "hosts_in_force": in_force,
        "hosts_listed": view.hosts.len(),
        "hosts": hosts,
    })
}

fn dump_document(context: &SharedContext) -> Value {
    let view = context.view.load();
    json!({ "version": view.versions.document, "text": view.document_text.as_ref() })
}

fn check_document(request: &HttpRequest) -> HttpResponse {
    let text = String::from_utf8_lossy(&request.body);
    match OperatorDocument::parse(&text) {
        Ok(_) => json_answer(200, &json!({ "accepted": true })),
        Err(faults) => HttpResponse::text(422, format_errors(&faults)),
    }
}

/// A request to put a document in force, provided that the version in the store
/// is still `version`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyRequest {
    version: u64,
    text: String,
    /// Unique id by which the written text is recognized if the answer of the
    /// store is lost.
    change_id: CompactString,
}

/// Returns the text to store: the document below a comment line with the change
/// id.
fn stored_text(request: &ApplyRequest) -> String {
    format!("// change {}\n{}", request.change_id, request.text)
}

async fn apply_document(context: &SharedContext, request: &HttpRequest) -> HttpResponse {
    let request: ApplyRequest = match serde_json::from_slice(&request.body) {
        Ok(request) => request,
        Err(error) => return HttpResponse::text(400, format!("apply: {error}\n")),
    };
    if let Err(faults) = OperatorDocument::parse(&request.text) {
        return HttpResponse::text(422, format_errors(&faults));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
    if request.change_id.is_empty() || !request.change_id.chars().all(allowed) {
        return HttpResponse::text(400, "apply: change_id must be letters, digits and -\n");
    }
    let text = stored_text(&request);
    let value = Value::String(text.clone());
    let key = ObjectKey::new(DOCUMENT_KIND, DOCUMENT_NAME);
    let deadline = Instant::now() + APPLY_TIMEOUT;
    let is_ours = |held: &Value| *held == value;
    let update = compare_and_set(
        &context.platform,
        &key,
        request.version,
        &value,
        is_ours,
        deadline,
    )
    .await;
    match update {
        Ok(UpdateOutcome::Written(version)) => {
            broadcast_document(context, version, text);
            json_answer(200, &json!({ "version": version }))
        }
        Ok(UpdateOutcome::Conflict(held)) => {
            let conflict = json!({ "read": request.version, "held": held });
            json_answer(409, &json!({ "conflict": conflict }))
        }
        Err(error) => HttpResponse::text(503, format!("outcome unknown: {error}\n")),
    }
}

/// Puts a written document in force on this host and sends it to the other
/// hosts.
fn broadcast_document(context: &SharedContext, version: u64, text: String) {
    let document = fulmarrill_peer::ControlDocument { version, text };
    let news = fulmarrill_peer::ControlUpdate {
        document: Some(document),
        ..Default::default()
    };
    context.send_control_event(crate::control::ControlEvent::News(news.clone()));
    crate::peers::broadcast_news(context, &news);
}
