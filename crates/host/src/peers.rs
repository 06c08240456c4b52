//! The plug-in that connects the hosts: links, probes and answers to calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_link::{LinkError, LinkTiming, PeerLink, serve_links};
use fulmarrill_ownership::{HostEntry, HostName};
use fulmarrill_peer::{
    ControlDocument, ControlGroup, ControlHosts, ControlUpdate, ControlVersions, HostProtocol,
    PeerCall, PeerReply,
};
use smol::Timer;

use crate::context::{SharedContext, take_listener};
use crate::control::ControlEvent;
use crate::kernel::HostPlugin;
use crate::routes::AddressRoutes;
use crate::view::ControlView;

/// An idle link is probed every 150 ms and closed after 600 ms without an
/// answer, four lost probes: well within the second that a change of primary
/// takes.
const LINK_TIMING: LinkTiming =
    LinkTiming::new(Duration::from_millis(150), Duration::from_millis(600));
/// Time between two probes of a host.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of failed probes in a row after which a host is suspected.
const PROBE_FAILURES_MAX: u32 = 3;
/// Timeout for setting up a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a call that transfers control state.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

inventory::submit! { HostPlugin::new("peers", start) }

fn start(context: SharedContext) -> Vec<smol::Task<()>> {
    let mut tasks = Vec::new();
    if let Some(listener) = take_listener(&context.listeners.peer) {
        let for_calls = context.clone();
        let handler = move |from: CompactString, call: PeerCall| {
            let context = for_calls.clone();
            async move { answer_call(context, from, call).await }
        };
        let for_close = context.clone();
        let on_close = move |host: CompactString| for_close.owners.drop_pins_of(&host);
        let serving = serve_links::<HostProtocol, _, _>(
            listener,
            LINK_TIMING,
            Arc::new(handler),
            Arc::new(on_close),
        );
        tasks.push(fulmarrill_runtime::spawn(serving));
    }
    tasks.push(fulmarrill_runtime::spawn(probe_loop(context)));
    tasks
}

/// A link to another host.
type HostLink = PeerLink<HostProtocol>;

/// Holds the link to one host. The lock is held while connecting, so that
/// concurrent calls share one link.
type LinkCell = Arc<smol::lock::Mutex<Option<Arc<HostLink>>>>;

/// Links to other hosts, which are set up on demand.
#[derive(Debug)]
pub struct PeerPool {
    host: HostName,
    routes: AddressRoutes,
    cells: Mutex<HashMap<CompactString, LinkCell>>,
}

impl PeerPool {
    /// A pool without links.
    #[must_use]
    pub fn new(host: &str, routes: AddressRoutes) -> Self {
        Self {
            host: host.into(),
            routes,
            cells: Mutex::default(),
        }
    }

    fn cells(&self) -> MutexGuard<'_, HashMap<CompactString, LinkCell>> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops every link, after this host was paused.
    pub fn drop_all_links(&self) {
        self.cells().clear();
    }

    /// Calls a host by its peer address.
    ///
    /// # Errors
    ///
    /// [`LinkError::may_have_arrived`] tells whether the call was sent.
    pub async fn call(
        &self,
        address: &str,
        call: PeerCall,
        deadline: Instant,
    ) -> Result<PeerReply, LinkError> {
        let link = self.link(address, deadline).await?;
        link.call(call, deadline).await
    }

    async fn link(&self, address: &str, deadline: Instant) -> Result<Arc<HostLink>, LinkError> {
        let cell = self.cells().entry(address.into()).or_default().clone();
        let mut cell = cell.lock().await;
        if let Some(link) = &*cell
            && !link.is_closed()
        {
            return Ok(link.clone());
        }
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let route = self.routes.route(address);
        // Boxed, since the future that sets up a link is much larger than one
        // that uses it.
        let connecting = Box::pin(HostLink::connect(&route, &self.host, LINK_TIMING, deadline));
        let link = Arc::new(connecting.await?);
        *cell = Some(link.clone());
        Ok(link)
    }
}

/// All hosts in the platform's list except this one.
fn other_hosts(context: &SharedContext, view: &ControlView) -> Vec<HostEntry> {
    let own = &context.settings.host;
    view.listed_hosts
        .iter()
        .filter(|host| host.name != *own)
        .cloned()
        .collect()
}

async fn probe_loop(context: SharedContext) {
    let failures: Arc<Mutex<HashMap<HostName, u32>>> = Arc::default();
    loop {
        let view = context.view.load();
        let hosts = other_hosts(&context, &view);
        for host in hosts {
            let (context, failures) = (context.clone(), failures.clone());
            fulmarrill_runtime::spawn(async move { probe(context, host, failures).await }).detach();
        }
        if view.groups.is_empty() {
            fetch_from_seeds(&context).await;
        }
        Timer::after(PROBE_INTERVAL).await;
    }
}

async fn probe(
    context: SharedContext,
    host: HostEntry,
    failures: Arc<Mutex<HashMap<HostName, u32>>>,
) {
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let reply = context
        .peers
        .call(&host.peer_address, PeerCall::Probe, deadline)
        .await;
    let Ok(PeerReply::State {
        versions,
        leaving,
        hints,
    }) = reply
    else {
        let mut failures = failures.lock().unwrap_or_else(PoisonError::into_inner);
        let count = failures.entry(host.name.clone()).or_default();
        *count += 1;
        if *count == PROBE_FAILURES_MAX {
            log::warn!(
                "suspecting host {}: it did not answer several probes in a row",
                host.name
            );
        }
        if *count >= PROBE_FAILURES_MAX {
            context.send_control_event(ControlEvent::PeerSuspected(host.name));
        }
        return;
    };
    failures
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .remove(&host.name);
    context.entry.apply_hints(&hints);
    context.entry.record_versions(&host.name, versions);
    let event = ControlEvent::PeerAlive {
        host: host.name.clone(),
        leaving,
    };
    context.send_control_event(event);
    let held = context.view.load().versions;
    if is_newer(versions, held) {
        fetch_control(&context, &host.peer_address, held).await;
    }
}

fn is_newer(offered: ControlVersions, held: ControlVersions) -> bool {
    offered.document > held.document || offered.groups > held.groups || offered.hosts > held.hosts
}

async fn fetch_control(context: &SharedContext, address: &str, held: ControlVersions) {
    let deadline = Instant::now() + CONTROL_TIMEOUT;
    let reply = context
        .peers
        .call(address, PeerCall::Control(held), deadline)
        .await;
    if let Ok(PeerReply::Update(news)) = reply {
        context.send_control_event(ControlEvent::News(news));
    }
}

/// Fetches control state from the peers in the settings file, so that a host
/// can start while the store is down.
async fn fetch_from_seeds(context: &SharedContext) {
    for address in &context.settings.peers {
        if *address == context.addresses.peer {
            continue;
        }
        fetch_control(context, address, context.view.load().versions).await;
    }
}

/// Sends news to every other host in the background.
pub(crate) fn broadcast_news(context: &SharedContext, news: &ControlUpdate) {
    let view = context.view.load();
    for host in other_hosts(context, &view) {
        let (context, news) = (context.clone(), news.clone());
        fulmarrill_runtime::spawn(async move {
            let deadline = Instant::now() + CONTROL_TIMEOUT;
            context
                .peers
                .call(&host.peer_address, PeerCall::Update(news), deadline)
                .await
                .ok();
        })
        .detach();
    }
}

/// Tells every other host that this one is leaving, and waits for their answers
/// or the timeout.
pub(crate) async fn announce_leaving(context: &SharedContext) {
    let view = context.view.load();
    let mut tasks = Vec::new();
    for host in other_hosts(context, &view) {
        let context = context.clone();
        tasks.push(fulmarrill_runtime::spawn(async move {
            let deadline = Instant::now() + CONTROL_TIMEOUT;
            context
                .peers
                .call(&host.peer_address, PeerCall::Leaving, deadline)
                .await
                .ok();
        }));
    }
    for task in tasks {
        task.await;
    }
}

async fn answer_call(context: SharedContext, from: HostName, call: PeerCall) -> PeerReply {
    match call {
        PeerCall::Probe => PeerReply::State {
            versions: context.view.load().versions,
            leaving: context.lifecycle.is_leaving(),
            hints: context.owners.hints(),
        },
        PeerCall::Work(request) => {
            let _guard = context.lifecycle.track_in_flight();
            PeerReply::Work(crate::owner::run_work(&context, &from, *request).await)
        }
        PeerCall::Position(database) => {
            match crate::owner::fresh_position(&context, &database).await {
                Some(point) => PeerReply::Position(point),
                None => PeerReply::Refused("the primary's position cannot be proved".into()),
            }
        }
        PeerCall::Control(held) => PeerReply::Update(news_since(&context.view.load(), held)),
        PeerCall::Update(news) => {
            context.send_control_event(ControlEvent::News(news));
            PeerReply::Done
        }
        PeerCall::Drain(database, deadline) => {
            crate::owner::drain(&context, &database, deadline).await;
            PeerReply::Done
        }
        PeerCall::Records(batch) => {
            context.records.hold_copies(&batch);
            PeerReply::Done
        }
        PeerCall::Leaving => {
            context.send_control_event(ControlEvent::PeerLeaving(from));
            PeerReply::Done
        }
    }
}

/// The parts of the control state in the view that are newer than `held`.
fn news_since(view: &ControlView, held: ControlVersions) -> ControlUpdate {
    let mut news = ControlUpdate::default();
    if view.versions.document > held.document {
        let text = view.document_text.to_string();
        news.document = Some(ControlDocument {
            version: view.versions.document,
            text,
        });
    }
    for group in view.groups.values() {
        if group.version > held.groups {
            let (version, group) = (group.version, group.group.clone());
            news.groups.push(ControlGroup { version, group });
        }
    }
    if view.versions.hosts > held.hosts {
        let hosts = view.listed_hosts.to_vec();
        news.hosts = Some(ControlHosts {
            version: view.versions.hosts,
            hosts,
        });
    }
    news
}
