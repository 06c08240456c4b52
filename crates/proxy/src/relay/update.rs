//! Updates of a host's view that other hosts long-poll.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::catalogue::{EndpointTable, HostEntry, InstanceEntry, VersionedTerm};
use crate::clock::BootTime;
use crate::context::SharedContext;
use crate::control::ControlEvent;
use crate::history::{ListChanges, ListEntry, ListHistory};
use crate::peers::{ProxyCall, ProxyReply};
use crate::server::{ControlMessage, ControlSender};
use crate::view::{TrafficView, UNREAD_DIGEST, ViewDigests};

/// Longest wait of a long poll. Relayed leases are older by up to this time.
pub const LONG_POLL_TIME: Duration = Duration::from_secs(1);
/// Time beyond its wait within which a long poll must be answered.
pub const LONG_POLL_SLACK: Duration = Duration::from_millis(500);

/// A long poll for changes that the requesting host does not have.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ViewRequest {
    /// Version of the configuration that the requesting host has, zero if none.
    pub version: u64,
    /// Digests of the lists that it has.
    pub digests: ViewDigests,
    /// How long the answer may wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// The new state of a list, whole or as changes to the state that the requesting
/// host has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ListUpdate<T> {
    /// The whole list.
    Whole(Vec<T>),
    /// The changes since the requesting host's state.
    Changes(ListChanges<T>),
}

impl<T: ListEntry + Clone + PartialEq> ListUpdate<T> {
    /// The update for a host whose list has the digest `held`. None if that is the
    /// digest `own` of this host's list, or if this host has never read the list:
    /// it would send an empty one.
    pub fn for_digest(
        held: u64,
        own: u64,
        history: &ListHistory<T>,
        whole: impl FnOnce() -> Vec<T>,
    ) -> Option<Self> {
        if held == own || own == UNREAD_DIGEST {
            return None;
        }
        let changes = history.since(held).map(Self::Changes);
        Some(changes.unwrap_or_else(|| Self::Whole(whole())))
    }

    /// The new list of a host that requested this update with `list`.
    fn into_list(self, list: &[T]) -> Vec<T> {
        match self {
            Self::Whole(list) => list,
            Self::Changes(changes) => changes.apply(list),
        }
    }
}

/// What the requesting host lacks of the answering host's view of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// Whether the store answers the host that sends this update.
    pub is_current: bool,
    /// Configuration, if it is newer.
    pub endpoints: Option<EndpointTable>,
    /// Instances, if they differ.
    pub instances: Option<ListUpdate<InstanceEntry>>,
    /// Hosts, if they differ.
    pub hosts: Option<ListUpdate<HostEntry>>,
    /// Terms with their versions, if they differ.
    pub terms: Option<ListUpdate<VersionedTerm>>,
    /// Digest of all terms of the answering host.
    pub terms_digest: u64,
    /// Time between the request to the store for the terms and this update.
    pub terms_age: Option<Duration>,
}

impl ViewUpdate {
    /// The answer to `request` from this host's `view`.
    fn for_request(context: &SharedContext, view: &TrafficView, request: &ViewRequest) -> Self {
        let (held, own) = (&request.digests, &view.digests);
        let endpoints = view.endpoints.as_deref();
        let history = &view.history;
        let terms = || {
            let terms = view.terms.values();
            terms
                .map(|term| (term.record.clone(), term.version))
                .collect()
        };
        Self {
            is_current: !context.store.is_overdue(Instant::now()),
            endpoints: endpoints
                .filter(|table| table.version > request.version)
                .cloned(),
            instances: ListUpdate::for_digest(
                held.instances,
                own.instances,
                &history.instances,
                || view.listed_instances.to_vec(),
            ),
            hosts: ListUpdate::for_digest(held.hosts, own.hosts, &history.hosts, || {
                view.listed_hosts.to_vec()
            }),
            terms: ListUpdate::for_digest(held.terms, own.terms, &history.terms, terms),
            terms_digest: own.terms,
            terms_age: view.terms_as_of.map(|as_of| BootTime::now().since(as_of)),
        }
    }

    fn has_changes(&self) -> bool {
        self.endpoints.is_some()
            || self.instances.is_some()
            || self.hosts.is_some()
            || self.terms.is_some()
    }

    /// Converts the update to control events of this host, which requested it at
    /// `asked_at` with `view`.
    fn into_events(self, asked_at: BootTime, view: &TrafficView) -> Vec<ControlEvent> {
        let mut events = Vec::new();
        if let Some(hosts) = self.hosts {
            events.push(ControlEvent::Hosts(hosts.into_list(&view.listed_hosts)));
        }
        if let Some(instances) = self.instances {
            let list = instances.into_list(&view.listed_instances);
            events.push(ControlEvent::Instances(list));
        }
        events.extend(self.endpoints.map(ControlEvent::Endpoints));
        let Some(age) = self.terms_age else {
            return events;
        };
        // The age was measured after `asked_at`, so this moment is not too late.
        let as_of = asked_at.before(age);
        if let Some(terms) = self.terms {
            let records = match terms {
                ListUpdate::Whole(records) => records,
                // Terms are never removed.
                ListUpdate::Changes(changes) => changes.changed,
            };
            events.push(ControlEvent::Terms { as_of, records });
        }
        // Extends the leases of unchanged terms too, if the digests agree.
        events.push(ControlEvent::TermsUnchanged {
            as_of,
            digest: self.terms_digest,
        });
        events
    }
}

/// Answers a long poll as soon as there are changes for the requesting host or
/// the store is overdue, and at the latest when the wait is over.
pub async fn answer_request(context: &SharedContext, request: ViewRequest) -> ViewUpdate {
    let wait = Duration::from_millis(request.wait_ms).min(LONG_POLL_TIME);
    let deadline = Instant::now() + wait;
    loop {
        let listener = context.view.listen();
        let view = context.view.load();
        let update = ViewUpdate::for_request(context, &view, &request);
        let is_done = update.has_changes() || !update.is_current;
        if is_done || Instant::now() >= deadline {
            return update;
        }
        context.view.wait(listener, deadline).await;
    }
}

/// Long-polls the host at `address` with the digests of `view`. Returns the
/// update and the moment of the request, or nothing if the call failed.
pub async fn request_update(
    context: &SharedContext,
    view: &TrafficView,
    address: &str,
    wait: Duration,
) -> Option<(BootTime, Box<ViewUpdate>)> {
    let request = ViewRequest {
        version: view.endpoints.as_ref().map_or(0, |table| table.version),
        digests: view.digests,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or_default(),
    };
    let asked_at = BootTime::now();
    let deadline = Instant::now() + wait + LONG_POLL_SLACK;
    let call = ProxyCall::RequestUpdate(request);
    match context.peers.call(address, call, deadline).await {
        Ok(ProxyReply::Update(update)) => Some((asked_at, update)),
        Ok(_) | Err(_) => None,
    }
}

/// Sends control the events of an update that was requested at `asked_at` with
/// `view`.
pub fn forward_update(
    context: &SharedContext,
    control: &ControlSender,
    update: ViewUpdate,
    asked_at: BootTime,
    view: &TrafficView,
) {
    let held = context.view.load().digests;
    if (held.hosts, held.instances) != (view.digests.hosts, view.digests.instances) {
        // The lists have changed since the request, so the update cannot be
        // applied to them. The next poll sends the new digests.
        return;
    }
    for event in update.into_events(asked_at, view) {
        // Fails only while the process ends.
        control.send(ControlMessage::Event(event)).ok();
    }
}
