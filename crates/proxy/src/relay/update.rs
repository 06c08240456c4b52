//! Updates of a host's view that other hosts long-poll.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_spread::{KnownVersions, SourceAges, UNREAD_DIGEST, is_source_news};
use serde::{Deserialize, Serialize};

use crate::catalogue::{EndpointEntry, EndpointTable, HostEntry, InstanceEntry, VersionedTerm};
use crate::clock::BootTime;
use crate::context::SharedContext;
use crate::control::{ConfirmedTimes, ControlEvent};
use crate::history::{ListChanges, ListEntry, ListHistory};
use crate::peers::{ProxyCall, ProxyReply};
use crate::server::{ControlMessage, ControlSender};
use crate::view::TrafficView;

/// Longest wait of a long poll.
pub const LONG_POLL_TIME: Duration = Duration::from_secs(2);
/// Time beyond its wait within which a long poll must be answered.
pub const LONG_POLL_SLACK: Duration = Duration::from_millis(500);

/// A long poll for changes that the requesting host does not have.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ViewRequest {
    /// Versions that the requesting host has.
    #[serde(rename = "v")]
    pub versions: KnownVersions,
    /// Ages of the latest sources that it knows, ascending, in milliseconds.
    #[serde(rename = "a")]
    pub source_ages_ms: Vec<u64>,
    /// How long the answer may wait for a change, in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: u64,
    /// Whether the answer should contain new state, and not only its versions.
    #[serde(rename = "s")]
    pub wants_state: bool,
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

/// A configuration, whole or as changes to the one that the requesting host has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum EndpointUpdate {
    /// The whole configuration.
    #[serde(rename = "w")]
    Whole(EndpointTable),
    /// Everything but the endpoints, and the changes of these.
    #[serde(rename = "c")]
    Changes {
        /// Version of the configuration to which the changes apply.
        #[serde(rename = "b")]
        base: u64,
        /// The configuration without its endpoints.
        #[serde(rename = "t")]
        rest: EndpointTable,
        /// The changed endpoints.
        #[serde(rename = "e")]
        endpoints: ListChanges<EndpointEntry>,
    },
}

impl EndpointUpdate {
    /// The update for a host that has version `held`.
    #[must_use]
    pub fn since(held: u64, view: &TrafficView) -> Option<Self> {
        let table = view.endpoints.as_deref()?;
        let Some(endpoints) = view.endpoint_history.since(held) else {
            return Some(Self::Whole(table.clone()));
        };
        let rest = EndpointTable {
            version: table.version,
            endpoints: BTreeMap::new(),
            databases: table.databases.clone(),
            transaction_idle_time: table.transaction_idle_time,
            customers: table.customers.clone(),
        };
        Some(Self::Changes {
            base: held,
            rest,
            endpoints,
        })
    }

    /// The new configuration of a host that requested this update with `held`.
    #[must_use]
    pub fn into_table(self, held: Option<&EndpointTable>) -> Option<EndpointTable> {
        match self {
            Self::Whole(table) => Some(table),
            Self::Changes {
                base,
                mut rest,
                endpoints,
            } => {
                let held = held.filter(|held| held.version == base)?;
                rest.endpoints.clone_from(&held.endpoints);
                for endpoint in endpoints.changed {
                    rest.endpoints.insert(endpoint.name.clone(), endpoint);
                }
                for name in &endpoints.removed {
                    rest.endpoints.remove(name);
                }
                Some(rest)
            }
        }
    }
}

/// What a host knows, and what the requesting host lacks of it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// Versions of the answering host.
    #[serde(rename = "v")]
    versions: KnownVersions,
    /// Hosts that the store has answered lately, with the milliseconds since then.
    #[serde(rename = "s")]
    sources: Vec<(CompactString, u64)>,
    /// Times between the last requests to the store that confirmed the lists and
    /// this update.
    #[serde(rename = "a")]
    ages: ConfirmedAges,
    /// Configuration, if it is newer.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    endpoints: Option<EndpointUpdate>,
    /// Instances, if they are newer.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    instances: Option<ListUpdate<InstanceEntry>>,
    /// Hosts, if they are newer.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    hosts: Option<ListUpdate<HostEntry>>,
    /// Terms with their versions, if some may be newer.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    terms: Option<ListUpdate<VersionedTerm>>,
}

/// [`ConfirmedTimes`] as ages, since the clocks of hosts are not compared.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct ConfirmedAges {
    #[serde(rename = "c")]
    configuration: Option<Duration>,
    #[serde(rename = "i")]
    instances: Option<Duration>,
    #[serde(rename = "t")]
    terms: Option<Duration>,
}

impl ConfirmedAges {
    fn new(confirmed: &ConfirmedTimes) -> Self {
        let now = BootTime::now();
        let age = |at: Option<BootTime>| at.map(|at| now.since(at));
        Self {
            configuration: age(confirmed.configuration),
            instances: age(confirmed.instances),
            terms: age(confirmed.terms),
        }
    }

    /// The times of which these were the ages at `asked_at` or later.
    fn before(self, asked_at: BootTime) -> ConfirmedTimes {
        let time = |age: Option<Duration>| age.map(|age| asked_at.before(age));
        ConfirmedTimes {
            configuration: time(self.configuration),
            instances: time(self.instances),
            terms: time(self.terms),
        }
    }
}

/// The answer to a long poll, with the moment of the poll.
#[derive(Debug)]
pub struct ReceivedUpdate {
    asked_at: BootTime,
    update: Box<ViewUpdate>,
}

impl ReceivedUpdate {
    /// Versions of the answering host.
    #[must_use]
    pub fn versions(&self) -> KnownVersions {
        self.update.versions
    }
}

impl ViewUpdate {
    /// The answer to `request` from this host's `view`.
    fn for_request(context: &SharedContext, view: &TrafficView, request: &ViewRequest) -> Self {
        let now = Instant::now();
        let sources = context.spreading.sources(now).into_iter();
        let mut update = Self {
            versions: view.versions,
            sources: sources.map(|(host, age)| (host, millis(age))).collect(),
            ages: ConfirmedAges::new(&view.confirmed),
            endpoints: None,
            instances: None,
            hosts: None,
            terms: None,
        };
        if request.wants_state {
            update.add_state(view, &request.versions);
        }
        update
    }

    /// Adds what a host lacks that has the versions `held`.
    fn add_state(&mut self, view: &TrafficView, held: &KnownVersions) {
        let (own, history) = (&view.versions, &view.history);
        if own.configuration > held.configuration {
            self.endpoints = EndpointUpdate::since(held.configuration, view);
        }
        if own.instances.replaces(held.instances) {
            self.instances = ListUpdate::for_digest(
                held.instances.digest,
                own.instances.digest,
                &history.instances,
                || view.listed_instances.to_vec(),
            );
        }
        if own.hosts.replaces(held.hosts) {
            self.hosts =
                ListUpdate::for_digest(held.hosts.digest, own.hosts.digest, &history.hosts, || {
                    view.listed_hosts.to_vec()
                });
        }
        if own.terms.may_add_to(held.terms) {
            let terms = || {
                let terms = view.terms.values();
                terms
                    .map(|term| (term.record.clone(), term.version))
                    .collect()
            };
            self.terms =
                ListUpdate::for_digest(held.terms.digest, own.terms.digest, &history.terms, terms);
        }
    }

    /// Converts the update to control events of this host, which requested it at
    /// `asked_at` with `view`.
    fn into_events(self, asked_at: BootTime, view: &TrafficView) -> Vec<ControlEvent> {
        let mut events = Vec::new();
        // A run must not extend its leases before it has learnt how it is listed.
        let knows_hosts =
            self.hosts.is_some() || !self.versions.hosts.replaces(view.versions.hosts);
        if let Some(hosts) = self.hosts {
            events.push(ControlEvent::Hosts {
                revision: self.versions.hosts.revision,
                list: hosts.into_list(&view.listed_hosts),
            });
        }
        if let Some(instances) = self.instances {
            events.push(ControlEvent::Instances {
                revision: self.versions.instances.revision,
                as_of: None,
                list: instances.into_list(&view.listed_instances),
            });
        }
        let held = view.endpoints.as_deref();
        let table = self.endpoints.and_then(|update| update.into_table(held));
        events.extend(table.map(ControlEvent::Endpoints));
        // The ages were measured after `asked_at`, so these times are not too late.
        let mut confirmed = self.ages.before(asked_at);
        if !knows_hosts {
            confirmed.terms = None;
        }
        if let (Some(terms), Some(as_of)) = (self.terms, confirmed.terms) {
            let records = match terms {
                ListUpdate::Whole(records) => records,
                // Terms are never removed.
                ListUpdate::Changes(changes) => changes.changed,
            };
            let revision = self.versions.terms.revision;
            events.push(ControlEvent::Terms {
                as_of,
                revision,
                records,
            });
        }
        // Extends the leases of unchanged terms too, if the digests agree.
        events.push(ControlEvent::Confirmed {
            versions: self.versions,
            confirmed,
        });
        events
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Answers a long poll as soon as there are changes for the requesting host, or
/// sources that are much later than those that it knows, and at the latest when
/// the wait is over.
pub async fn answer_request(context: &SharedContext, request: ViewRequest) -> ViewUpdate {
    let asked_at = Instant::now();
    let wait = Duration::from_millis(request.wait_ms).min(LONG_POLL_TIME);
    let deadline = asked_at + wait;
    let mut held_ages = SourceAges::default();
    for (age, age_ms) in held_ages.iter_mut().zip(&request.source_ages_ms) {
        *age = Duration::from_millis(*age_ms).min(LONG_POLL_TIME * 4);
    }
    loop {
        let listener = context.view.listen();
        let view = context.view.load();
        let now = Instant::now();
        let is_done = now >= deadline
            || view.versions.has_news_for(&request.versions)
            || (request.wants_state
                && is_source_news(
                    context.spreading.source_ages(now),
                    held_ages,
                    now.saturating_duration_since(asked_at),
                ));
        if is_done {
            return ViewUpdate::for_request(context, &view, &request);
        }
        context.view.wait(listener, deadline).await;
    }
}

/// Long-polls the host at `address` with the versions of `view`. Returns nothing
/// if the call failed.
pub async fn request_update(
    context: &SharedContext,
    view: &TrafficView,
    address: &str,
    wait: Duration,
    wants_state: bool,
) -> Option<ReceivedUpdate> {
    let source_ages = context.spreading.source_ages(Instant::now());
    let request = ViewRequest {
        versions: view.versions,
        source_ages_ms: source_ages.into_iter().map(millis).collect(),
        wait_ms: millis(wait),
        wants_state,
    };
    let asked_at = BootTime::now();
    let deadline = Instant::now() + wait + LONG_POLL_SLACK;
    let call = ProxyCall::RequestUpdate(request);
    let calling = context.peers.call_for_large_reply(address, call, deadline);
    match calling.await {
        Ok(ProxyReply::Update(update)) => Some(ReceivedUpdate { asked_at, update }),
        Ok(_) | Err(_) => None,
    }
}

/// Records the sources of an update, and sends control its events. It was
/// requested with `view`.
pub fn forward_update(
    context: &SharedContext,
    control: &ControlSender,
    received: ReceivedUpdate,
    view: &TrafficView,
) {
    let update = received.update;
    let mut sources = Vec::new();
    for (host, age_ms) in &update.sources {
        sources.push((host.clone(), Duration::from_millis(*age_ms)));
    }
    context.spreading.add_sources(Instant::now(), &sources);
    let events = update.into_events(received.asked_at, view);
    // Fails only while the process ends.
    control.send(ControlMessage::Events(events)).ok();
}
