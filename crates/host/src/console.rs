//! The plug-in that serves operators: console, state, metrics, health.

mod page;

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_document::{OperatorDocument, show_faults};
use fulmarrill_http::{HttpAnswer, HttpRequest, Method, serve_http};
use fulmarrill_objects::ObjectKey;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::context::{SharedContext, take_listener};
use crate::kernel::HostPlugin;
use crate::platform::{DOCUMENT_KIND, DOCUMENT_NAME, SettledUpdate, put_settled};

/// Time for putting a document into the store.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

inventory::submit! { HostPlugin::new("console", start) }

fn start(context: SharedContext) -> Vec<smol::Task<()>> {
    let Some(listener) = take_listener(&context.listeners.operator) else {
        return Vec::new();
    };
    let serving = serve_http(listener, move |request| {
        let context = context.clone();
        async move { answer(&context, request).await }
    });
    vec![fulmarrill_runtime::spawn(serving)]
}

async fn answer(context: &SharedContext, request: HttpRequest) -> HttpAnswer {
    match (&request.method, request.path.as_str()) {
        (&Method::GET, "/") => HttpAnswer::html(200, page::PAGE),
        (&Method::GET, "/healthz") => HttpAnswer::text(200, "ok\n"),
        (&Method::GET, "/metrics") => HttpAnswer::text(200, context.metrics.show()),
        (&Method::GET, "/state") => answer_json(200, &dump_state(context)),
        (&Method::GET, "/status") => answer_json(200, &dump_status(context)),
        (&Method::GET, "/document") => answer_json(200, &dump_document(context)),
        (&Method::POST, "/check") => check_document(&request),
        (&Method::POST, "/apply") => apply_document(context, &request).await,
        _ => HttpAnswer::text(404, format!("nothing at {}\n", request.path)),
    }
}

fn answer_json(status: u16, value: &Value) -> HttpAnswer {
    let mut text = format!("{value:#}");
    text.push('\n');
    HttpAnswer::json(status, text)
}

/// Everything that helps to see what this process does.
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
        "leaving": context.life.is_leaving(),
        "in_flight": context.life.in_flight(),
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

/// On how many hosts the document's version is in force.
fn dump_status(context: &SharedContext) -> Value {
    let view = context.view.load();
    let own = view.versions.document;
    let others = context.entry.versions_of_others();
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

fn check_document(request: &HttpRequest) -> HttpAnswer {
    let text = String::from_utf8_lossy(&request.body);
    match OperatorDocument::parse(&text) {
        Ok(_) => answer_json(200, &json!({ "accepted": true })),
        Err(faults) => HttpAnswer::text(422, show_faults(&faults)),
    }
}

/// A document to be put in force if the version read is still the last.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyRequest {
    version: u64,
    text: String,
    /// Unique id, by which a lost answer is settled.
    change_id: CompactString,
}

/// Line that carries the change id inside the stored text.
fn stored_text(request: &ApplyRequest) -> String {
    format!("// change {}\n{}", request.change_id, request.text)
}

async fn apply_document(context: &SharedContext, request: &HttpRequest) -> HttpAnswer {
    let request: ApplyRequest = match serde_json::from_slice(&request.body) {
        Ok(request) => request,
        Err(error) => return HttpAnswer::text(400, format!("apply: {error}\n")),
    };
    if let Err(faults) = OperatorDocument::parse(&request.text) {
        return HttpAnswer::text(422, show_faults(&faults));
    }
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
    if request.change_id.is_empty() || !request.change_id.chars().all(plain) {
        return HttpAnswer::text(400, "apply: change_id must be letters, digits and -\n");
    }
    let text = stored_text(&request);
    let value = Value::String(text.clone());
    let key = ObjectKey::new(DOCUMENT_KIND, DOCUMENT_NAME);
    let deadline = Instant::now() + APPLY_TIMEOUT;
    let is_ours = |held: &Value| *held == value;
    let update = put_settled(
        &context.platform,
        &key,
        request.version,
        &value,
        is_ours,
        deadline,
    )
    .await;
    match update {
        Ok(SettledUpdate::Written(version)) => {
            spread_document(context, version, text);
            answer_json(200, &json!({ "version": version }))
        }
        Ok(SettledUpdate::Conflict(held)) => {
            let conflict = json!({ "read": request.version, "held": held });
            answer_json(409, &json!({ "conflict": conflict }))
        }
        Err(error) => HttpAnswer::text(503, format!("outcome unknown: {error}\n")),
    }
}

/// Puts an accepted document in force here and tells the others.
fn spread_document(context: &SharedContext, version: u64, text: String) {
    let document = fulmarrill_peer::ControlDocument { version, text };
    let news = fulmarrill_peer::ControlUpdate {
        document: Some(document),
        ..Default::default()
    };
    context.tell_control(crate::control::ControlEvent::News(news.clone()));
    crate::peers::spread_news(context, &news);
}
