//! The platform's object store and list of hosts, in memory.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use event_listener::Event;
use fulmarrill_http::{HttpClient, HttpRequest, HttpResponse, Method, serve_http};
use fulmarrill_objects::{
    HostList, ObjectKey, ObjectList, ObjectVersion, PutRequest, PutResult, StoredObject,
};
use fulmarrill_ownership::HostEntry;
use fulmarrill_runtime::timeout_at;
use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::net::TcpListener;

/// Time between two probes of a host.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Failed probes in a row after which a host is taken off the list.
const PROBE_FAILURES_MAX: u32 = 3;
/// Time for which a call whose answer is lost stays unanswered.
const LOST_ANSWER_TIME: Duration = Duration::from_mins(1);
/// Longest wait of a watch.
const WATCH_TIME_MAX: Duration = Duration::from_secs(30);

/// Whether the platform answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformMode {
    /// Calls are answered.
    #[default]
    Up,
    /// Every call fails with status 503.
    Refusing,
    /// Every call stays unanswered.
    Silent,
}

/// Faults that can be switched while the platform runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether calls are answered at all.
    pub mode: PlatformMode,
    /// Time added to every call.
    pub delay_ms: u64,
    /// Number of further updates that take effect without an answer.
    pub lose_answers: u32,
    /// Reads and watches show each object as it was before its last change.
    pub stale_reads: bool,
    /// The list of hosts stays as it is.
    pub freeze_hosts: bool,
}

#[derive(Debug, Clone)]
struct ObjectSlot {
    held: StoredObject,
    before: Option<StoredObject>,
}

#[derive(Debug)]
struct HostSlot {
    entry: HostEntry,
    failures: u32,
}

#[derive(Debug, Default)]
struct PlatformInner {
    version: ObjectVersion,
    objects: BTreeMap<ObjectKey, ObjectSlot>,
    hosts_version: ObjectVersion,
    hosts: BTreeMap<CompactString, HostSlot>,
    faults: PlatformFaults,
}

#[derive(Debug, Default)]
struct PlatformState {
    inner: Mutex<PlatformInner>,
    changed: Event,
    calls: AtomicU64,
}

/// A running platform. Dropping it closes everything.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<PlatformState>,
    task: smol::Task<()>,
}

impl PlatformStandin {
    /// Starts a platform on `listen`, `IP:PORT`.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn start(listen: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(PlatformState::default());
        let task = fulmarrill_runtime::spawn(run_platform(listener, state.clone()));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// The address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes its faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
        self.state.changed.notify(usize::MAX);
    }

    /// Calls answered so far; a waiting watch counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }

    /// Writes an object without a condition, as the platform's owner would.
    pub fn set_object(&self, key: &ObjectKey, value: serde_json::Value) {
        self.state.write(key, None, value);
    }

    /// Reads an object as it is, whatever the faults.
    #[must_use]
    pub fn object(&self, key: &ObjectKey) -> Option<StoredObject> {
        self.state
            .lock()
            .objects
            .get(key)
            .map(|slot| slot.held.clone())
    }

    /// All objects of a kind as they are, whatever the faults.
    #[must_use]
    pub fn objects(&self, kind: &str) -> Vec<StoredObject> {
        let inner = self.state.lock();
        let of_kind = inner.objects.iter().filter(|(key, _)| key.kind == kind);
        of_kind.map(|(_, slot)| slot.held.clone()).collect()
    }

    /// Runs until the process ends.
    pub async fn wait(self) {
        self.task.await;
    }
}

async fn run_platform(listener: TcpListener, state: Arc<PlatformState>) {
    let probing = probe_loop(state.clone());
    let serving = serve_http(listener, move |request| {
        let state = state.clone();
        async move { state.answer(request).await }
    });
    smol::future::or(probing, serving).await;
}

impl PlatformState {
    fn lock(&self) -> MutexGuard<'_, PlatformInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object; with a condition, only if it has that version.
    fn write(
        &self,
        key: &ObjectKey,
        if_version: Option<ObjectVersion>,
        value: serde_json::Value,
    ) -> PutResult {
        let mut inner = self.lock();
        let version_held = inner.objects.get(key).map_or(0, |slot| slot.held.version);
        if if_version.is_some_and(|version| version != version_held) {
            return PutResult::Conflict(version_held);
        }
        inner.version += 1;
        let version = inner.version;
        let held = StoredObject {
            name: key.name.clone(),
            version,
            value,
        };
        let before = inner.objects.remove(key).map(|slot| slot.held);
        inner
            .objects
            .insert(key.clone(), ObjectSlot { held, before });
        self.changed.notify(usize::MAX);
        PutResult::Written(version)
    }

    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if request.path == "/v1/faults" {
            return self.answer_faults(&request);
        }
        let faults = self.lock().faults.clone();
        if faults.mode == PlatformMode::Silent {
            Timer::after(LOST_ANSWER_TIME).await;
        }
        if faults.delay_ms > 0 {
            Timer::after(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.mode != PlatformMode::Up {
            return HttpResponse::text(503, "the store is out of order\n");
        }
        let parts: Vec<&str> = request.path.split('/').skip(1).collect();
        match (&request.method, parts.as_slice()) {
            (&Method::GET, ["v1", "objects", kind]) => self.answer_watch(kind, &request).await,
            (&Method::GET, ["v1", "objects", kind, name]) => self.answer_get(kind, name),
            (&Method::PUT, ["v1", "objects", kind, name]) => {
                self.answer_put(&ObjectKey::new(kind, name), &request).await
            }
            (&Method::GET, ["v1", "hosts"]) => self.answer_hosts(&request).await,
            (&Method::POST, ["v1", "hosts"]) => self.answer_announce(&request),
            _ => HttpResponse::text(404, format!("no such call: {}\n", request.path)),
        }
    }

    fn answer_faults(&self, request: &HttpRequest) -> HttpResponse {
        match serde_json::from_slice(&request.body) {
            Ok(faults) => {
                self.lock().faults = faults;
                self.changed.notify(usize::MAX);
                HttpResponse::json(200, "{}")
            }
            Err(error) => HttpResponse::text(400, format!("faults: {error}\n")),
        }
    }

    fn answer_get(&self, kind: &str, name: &str) -> HttpResponse {
        let inner = self.lock();
        let Some(slot) = inner.objects.get(&ObjectKey::new(kind, name)) else {
            return HttpResponse::text(404, format!("no object {kind}/{name}\n"));
        };
        let shown = slot.shown(inner.faults.stale_reads);
        json_answer(200, &shown)
    }

    async fn answer_put(&self, key: &ObjectKey, request: &HttpRequest) -> HttpResponse {
        let request: PutRequest = match serde_json::from_slice(&request.body) {
            Ok(request) => request,
            Err(error) => return HttpResponse::text(400, format!("{key}: {error}\n")),
        };
        let result = self.write(key, Some(request.if_version), request.value);
        if let PutResult::Conflict(_) = result {
            return json_answer(409, &result);
        }
        if self.take_lost_answer() {
            Timer::after(LOST_ANSWER_TIME).await;
        }
        json_answer(200, &result)
    }

    fn take_lost_answer(&self) -> bool {
        let mut inner = self.lock();
        let lost = inner.faults.lose_answers > 0;
        inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
        lost
    }

    async fn answer_watch(&self, kind: &str, request: &HttpRequest) -> HttpResponse {
        let (after, deadline) = watch_bounds(request);
        loop {
            let listener = self.changed.listen();
            let list = self.lock().list_after(kind, after);
            if list.version > after || timeout_at(deadline, listener).await.is_err() {
                return json_answer(200, &list);
            }
        }
    }

    async fn answer_hosts(&self, request: &HttpRequest) -> HttpResponse {
        let (after, deadline) = watch_bounds(request);
        loop {
            let listener = self.changed.listen();
            let list = self.lock().host_list();
            if list.version > after || timeout_at(deadline, listener).await.is_err() {
                return json_answer(200, &list);
            }
        }
    }

    fn answer_announce(&self, request: &HttpRequest) -> HttpResponse {
        let entry: HostEntry = match serde_json::from_slice(&request.body) {
            Ok(entry) => entry,
            Err(error) => return HttpResponse::text(400, format!("host: {error}\n")),
        };
        let mut inner = self.lock();
        inner.hosts_version += 1;
        inner
            .hosts
            .insert(entry.name.clone(), HostSlot { entry, failures: 0 });
        drop(inner);
        self.changed.notify(usize::MAX);
        HttpResponse::json(200, "{}")
    }

    /// Notes the outcome of a probe.
    fn note_probe(&self, name: &str, alive: bool) {
        let mut inner = self.lock();
        if inner.faults.freeze_hosts {
            return;
        }
        let Some(slot) = inner.hosts.get_mut(name) else {
            return;
        };
        if alive {
            slot.failures = 0;
            return;
        }
        slot.failures += 1;
        if slot.failures >= PROBE_FAILURES_MAX {
            inner.hosts.remove(name);
            inner.hosts_version += 1;
            self.changed.notify(usize::MAX);
        }
    }
}

impl PlatformInner {
    fn list_after(&self, kind: &str, after: ObjectVersion) -> ObjectList {
        let mut list = ObjectList::default();
        for (key, slot) in &self.objects {
            if key.kind != kind {
                continue;
            }
            let shown = slot.shown(self.faults.stale_reads);
            list.version = list.version.max(shown.version);
            if shown.version > after {
                list.objects.push(shown);
            }
        }
        list
    }

    fn host_list(&self) -> HostList {
        let hosts = self.hosts.values().map(|slot| slot.entry.clone()).collect();
        HostList {
            version: self.hosts_version,
            hosts,
        }
    }
}

impl ObjectSlot {
    fn shown(&self, stale: bool) -> StoredObject {
        match (&self.before, stale) {
            (Some(before), true) => before.clone(),
            _ => self.held.clone(),
        }
    }
}

fn watch_bounds(request: &HttpRequest) -> (ObjectVersion, Instant) {
    let number = |name| {
        request
            .parameter(name)
            .and_then(|text| text.parse::<u64>().ok())
    };
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(WATCH_TIME_MAX);
    (number("after").unwrap_or(0), Instant::now() + wait)
}

fn json_answer(status: u16, value: &impl Serialize) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => HttpResponse::json(status, body),
        Err(error) => HttpResponse::text(500, error.to_string()),
    }
}

/// Asks every host in turn whether it lives, which is why the list lags.
async fn probe_loop(state: Arc<PlatformState>) {
    loop {
        let hosts = state.lock().host_list().hosts;
        let probes: Vec<_> = hosts
            .into_iter()
            .map(|host| fulmarrill_runtime::spawn(probe_host(state.clone(), host)))
            .collect();
        for probe in probes {
            probe.await;
        }
        Timer::after(PROBE_INTERVAL).await;
    }
}

async fn probe_host(state: Arc<PlatformState>, host: HostEntry) {
    let client = HttpClient::new(&host.operator_address);
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let answer = client
        .request(Method::GET, "/healthz", Vec::new(), deadline)
        .await;
    state.note_probe(&host.name, answer.is_ok_and(|answer| answer.status == 200));
}
