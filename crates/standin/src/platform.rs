//! In-memory stand-in for the platform's object store and list of hosts.

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
/// Consecutive failed probes after which a host is removed from the list.
const PROBE_FAILURES_MAX: u32 = 3;
/// Time for which a call without an answer is held open.
const LOST_ANSWER_TIME: Duration = Duration::from_mins(1);
/// Longest time that a watch is held open.
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
    /// Every call is held open for a minute and then fails with status 503.
    Silent,
}

/// Faults that can be changed while the platform runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether calls are answered.
    pub mode: PlatformMode,
    /// Latency added to every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming updates that take effect but are not answered in time.
    pub lose_answers: u32,
    /// Reads and watches return each object as it was before its last change.
    pub stale_reads: bool,
    /// Failed probes do not remove hosts from the list.
    pub freeze_hosts: bool,
}

#[derive(Debug, Clone)]
struct ObjectVersions {
    current: StoredObject,
    previous: Option<StoredObject>,
}

#[derive(Debug)]
struct ProbedHost {
    entry: HostEntry,
    failures: u32,
}

#[derive(Debug, Default)]
struct PlatformInner {
    version: ObjectVersion,
    objects: BTreeMap<ObjectKey, ObjectVersions>,
    hosts_version: ObjectVersion,
    hosts: BTreeMap<CompactString, ProbedHost>,
    faults: PlatformFaults,
}

#[derive(Debug, Default)]
struct PlatformState {
    inner: Mutex<PlatformInner>,
    changed: Event,
    calls: AtomicU64,
}

/// A running platform. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<PlatformState>,
    task: smol::Task<()>,
}

impl PlatformStandin {
    /// Starts a platform that listens on `listen`, given as `IP:PORT`.
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

    /// Replaces its faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
        self.state.changed.notify(usize::MAX);
    }

    /// Calls received so far; a waiting watch counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }

    /// Writes an object without a condition, as the platform's operators would.
    pub fn set_object(&self, key: &ObjectKey, value: serde_json::Value) {
        self.state.write(key, None, value);
    }

    /// Returns the current version of an object, regardless of faults.
    #[must_use]
    pub fn object(&self, key: &ObjectKey) -> Option<StoredObject> {
        self.state
            .lock()
            .objects
            .get(key)
            .map(|versions| versions.current.clone())
    }

    /// Returns the current versions of all objects of a kind, regardless of faults.
    #[must_use]
    pub fn objects(&self, kind: &str) -> Vec<StoredObject> {
        let inner = self.state.lock();
        let of_kind = inner.objects.iter().filter(|(key, _)| key.kind == kind);
        of_kind
            .map(|(_, versions)| versions.current.clone())
            .collect()
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

    /// Writes an object; with `if_version`, only if it has that version.
    fn write(
        &self,
        key: &ObjectKey,
        if_version: Option<ObjectVersion>,
        value: serde_json::Value,
    ) -> PutResult {
        let mut inner = self.lock();
        let current_version = inner
            .objects
            .get(key)
            .map_or(0, |versions| versions.current.version);
        if if_version.is_some_and(|version| version != current_version) {
            return PutResult::Conflict(current_version);
        }
        inner.version += 1;
        let version = inner.version;
        let current = StoredObject {
            name: key.name.clone(),
            version,
            value,
        };
        let previous = inner.objects.remove(key).map(|versions| versions.current);
        inner
            .objects
            .insert(key.clone(), ObjectVersions { current, previous });
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
        let Some(versions) = inner.objects.get(&ObjectKey::new(kind, name)) else {
            return HttpResponse::text(404, format!("no object {kind}/{name}\n"));
        };
        let object = versions.visible(inner.faults.stale_reads);
        json_answer(200, &object)
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
        if self.consume_lost_answer() {
            Timer::after(LOST_ANSWER_TIME).await;
        }
        json_answer(200, &result)
    }

    fn consume_lost_answer(&self) -> bool {
        let mut inner = self.lock();
        let is_lost = inner.faults.lose_answers > 0;
        inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
        is_lost
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
            .insert(entry.name.clone(), ProbedHost { entry, failures: 0 });
        drop(inner);
        self.changed.notify(usize::MAX);
        HttpResponse::json(200, "{}")
    }

    /// Records the outcome of a probe; removes the host after too many failures.
    fn record_probe(&self, name: &str, is_alive: bool) {
        let mut inner = self.lock();
        if inner.faults.freeze_hosts {
            return;
        }
        let Some(host) = inner.hosts.get_mut(name) else {
            return;
        };
        if is_alive {
            host.failures = 0;
            return;
        }
        host.failures += 1;
        if host.failures >= PROBE_FAILURES_MAX {
            inner.hosts.remove(name);
            inner.hosts_version += 1;
            self.changed.notify(usize::MAX);
        }
    }
}

impl PlatformInner {
    fn list_after(&self, kind: &str, after: ObjectVersion) -> ObjectList {
        let mut list = ObjectList::default();
        for (key, versions) in &self.objects {
            if key.kind != kind {
                continue;
            }
            let object = versions.visible(self.faults.stale_reads);
            list.version = list.version.max(object.version);
            if object.version > after {
                list.objects.push(object);
            }
        }
        list
    }

    fn host_list(&self) -> HostList {
        let hosts = self.hosts.values().map(|host| host.entry.clone()).collect();
        HostList {
            version: self.hosts_version,
            hosts,
        }
    }
}

impl ObjectVersions {
    fn visible(&self, stale: bool) -> StoredObject {
        match (&self.previous, stale) {
            (Some(previous), true) => previous.clone(),
            _ => self.current.clone(),
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

/// Probes all hosts in rounds. A dead host stays listed until enough of its
/// probes have failed, so the list lags.
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
    state.record_probe(&host.name, answer.is_ok_and(|answer| answer.status == 200));
}
