//! Stand-in of the platform: the object store, and the address that takes orders to
//! promote, on one loopback address.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{field, number_field, text_field};

/// An object: its revision and its `spec`.
type Object = (u64, String);

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, name, `spec`, and whether the object was removed.
    events: Vec<(u64, String, String, String, bool)>,
}

/// Handles an order: service, instance, holder and fence; returns the status.
pub type PromoteHandler = Box<dyn Fn(&str, &str, &str, u64) -> u16 + Send + Sync>;

pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    promote: PromoteHandler,
    pub address: SocketAddr,
}

/// A request as the stand-in reads it.
struct Request {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: String,
}

fn object_json(name: &str, object: &Object) -> String {
    format!(
        r#"{{"meta":{{"Name":"{name}","Rev":{},"Created":0,"Finalizers":[],"Deleting":false}},"spec":{},"status":null}}"#,
        object.0, object.1
    )
}

impl Store {
    pub fn start(promote: PromoteHandler) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            promote,
            address,
        });
        store.state.lock().unwrap().revision = 1;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as an operator or an instance does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        write(&mut state, kind, name, spec);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if request.path == "/promote" {
            let service = text_field(&request.body, "Service").unwrap_or_default();
            let instance = text_field(&request.body, "Id").unwrap_or_default();
            let holder = request.headers.get("x-lease-holder").cloned();
            let fence = request.headers.get("x-fence-token");
            let fence = fence.and_then(|fence| fence.parse().ok()).unwrap_or(0);
            let holder = holder.unwrap_or_default();
            return (
                (self.promote)(service, instance, &holder, fence),
                "{}".into(),
            );
        }
        let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["objects", kind]) if request.query.contains_key("Watch") => {
                self.watch(kind, request)
            }
            ("GET", ["objects", kind]) => self.list(kind, request),
            ("GET", ["objects", kind, name]) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(object) => (200, object_json(name, object)),
                    None => (404, "{}".into()),
                }
            }
            ("POST", ["objects", kind]) => {
                let meta = field(&request.body, "meta").unwrap_or("{}");
                let name = text_field(meta, "Name").unwrap_or_default().to_owned();
                self.write_if(kind, &name, Some(0), request)
            }
            ("PUT", ["objects", kind, name]) => {
                let meta = field(&request.body, "meta").unwrap_or("{}");
                self.write_if(kind, name, number_field(meta, "Rev"), request)
            }
            ("DELETE", ["objects", kind, name]) => self.remove(kind, name, request),
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str, request: &Request) -> (u16, String) {
        let after = request.query.get("after").cloned().unwrap_or_default();
        let state = self.state.lock().unwrap();
        let mut items = Vec::new();
        for ((object_kind, name), object) in &state.objects {
            if object_kind == kind && *name > after {
                items.push(object_json(name, object));
            }
        }
        let items = items.join(",");
        let revision = state.revision;
        (
            200,
            format!(r#"{{"items":[{items}],"HasMore":false,"AsOf":{revision}}}"#),
        )
    }

    fn watch(&self, kind: &str, request: &Request) -> (u16, String) {
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let since = number("Watch").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let mut events = Vec::new();
            for (revision, event_kind, name, spec, deleted) in &state.events {
                if event_kind == kind && *revision > since {
                    let object = object_json(name, &(*revision, spec.clone()));
                    events.push(format!(r#"{{"Object":{object},"Deleted":{deleted}}}"#));
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                return (200, format!(r#"{{"events":[{events}],"AsOf":{revision}}}"#));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write_if(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        request: &Request,
    ) -> (u16, String) {
        let spec = field(&request.body, "spec").unwrap_or("null").to_owned();
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state.lock().unwrap();
        let held = state.objects.get(&key).cloned();
        let held_revision = held.as_ref().map_or(0, |object| object.0);
        if expected.is_some_and(|expected| expected != held_revision) {
            let object = held.map_or("{}".into(), |object| object_json(name, &object));
            return (409, object);
        }
        if request.method == "PUT" && held.is_none() {
            return (404, "{}".into());
        }
        if held.as_ref().is_none_or(|object| object.1 != spec) {
            write(&mut state, kind, name, &spec);
            self.changed.notify_all();
        }
        (200, object_json(name, &state.objects[&key]))
    }

    fn remove(&self, kind: &str, name: &str, request: &Request) -> (u16, String) {
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state.lock().unwrap();
        let Some(held) = state.objects.get(&key).cloned() else {
            return (404, "{}".into());
        };
        let expected = request
            .query
            .get("Rev")
            .and_then(|text| text.parse::<u64>().ok());
        if expected.is_some_and(|expected| expected != held.0) {
            return (409, object_json(name, &held));
        }
        state.objects.remove(&key);
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, key.0, key.1, held.1, true));
        self.changed.notify_all();
        (200, "{}".into())
    }
}

fn write(state: &mut StoreState, kind: &str, name: &str, spec: &str) {
    state.revision += 1;
    let revision = state.revision;
    let key = (kind.to_owned(), name.to_owned());
    state
        .objects
        .insert(key.clone(), (revision, spec.to_owned()));
    state
        .events
        .push((revision, key.0, key.1, spec.to_owned(), false));
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query_text) = target.split_once('?').unwrap_or((&target, ""));
    let mut query = BTreeMap::new();
    for pair in query_text.split('&') {
        if let Some((name, value)) = pair.split_once('=') {
            query.insert(name.to_owned(), value.to_owned());
        }
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

impl Store {
    /// Removes an object, as the platform does with an entry that has lapsed.
    pub fn delete(&self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state.lock().unwrap();
        if let Some(held) = state.objects.remove(&key) {
            state.revision += 1;
            let revision = state.revision;
            state.events.push((revision, key.0, key.1, held.1, true));
            self.changed.notify_all();
        }
    }
}
