//! What hosts learn from each other, so that few of them ask the store.
//!
//! In each data centre the hosts stand in line. The first one watches the store;
//! the others follow a host before them by a question that waits for news. A
//! host that hears nothing current from those before it watches by itself: those
//! at the head of the line at once, the others some time later, so that an outage
//! of the store does not turn all hosts on it. One that the store does not answer
//! asks a few others.
//!
//! Leases may be passed on: they count from a question to the store, whoever
//! asked it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use event_listener::Event;
use fulmarrill_ownership::rank_hosts;
use fulmarrill_position::DatabaseName;
use fulmarrill_runtime::before;
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::catalogue::{EndpointTable, HostEntry, InstanceEntry, ObjectVersion, VersionedTerm};
use crate::clock::BootTime;
use crate::context::SharedContext;
use crate::control::ControlEvent;
use crate::history::{ListChanges, ListEntry, ListHistory};
use crate::peers::{ProxyCall, ProxyReply};
use crate::server::{ControlMessage, ControlSender};
use crate::view::{TrafficView, ViewDigests};

/// Age of the last answer of the store after which it counts as away. The watch
/// over terms is answered each two seconds, and its answer may take one more.
const OVERDUE_TIME: Duration = Duration::from_millis(3100);
/// Time that a host which has just started gives the store for its first answer.
const START_TIME: Duration = Duration::from_millis(600);
/// Longest time for control to take over what was just heard; it needs less than
/// one on an idle machine.
const TAKE_OVER_TIME: Duration = Duration::from_millis(100);
/// Time between two rounds of a host that watches by itself.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two rounds of a host that waits for one before it.
const WAIT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a host leaves watching to those before it, for each
/// [`HEAD_LENGTH`] of them: time for one of these to list and pass on what it
/// found, several times over.
const PATIENCE_TIME: Duration = Duration::from_millis(1500);
/// Steps of patience at most; after six seconds everybody tries.
const PATIENCE_MAX: u32 = 4;
/// Hosts at the head of a line that watch as soon as there is nobody to follow.
const HEAD_LENGTH: usize = 3;
/// Other hosts that one asks in a round while the store does not answer it.
const OTHERS_MAX: usize = 4;
/// Longest wait of a question for news. Leases are as much older.
const FOLLOW_TIME: Duration = Duration::from_secs(1);
/// Least time between two questions: two hosts may differ for a moment.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(30);
/// Time beyond its wait within which a question must be answered.
const FOLLOW_SLACK: Duration = Duration::from_millis(500);
/// Hosts at the head of the line that a host tries to follow; beside them one
/// that is drawn each time, in case all of these are cut off from the store.
const LEADERS_MAX: usize = 2;
/// What the line of a data centre is drawn by.
const LINE_KEY: &str = "watch";

/// A question for news.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LearnQuestion {
    /// Version of the configuration that the asking host has.
    pub version: u64,
    /// What else it has.
    pub digests: ViewDigests,
    /// How long the answer may wait for news, in milliseconds.
    pub wait_ms: u64,
}

/// A list, or what makes it of the one that the asking host has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ListNews<T> {
    /// The whole list.
    Whole(Vec<T>),
    /// The difference.
    Changes(ListChanges<T>),
}

impl<T: ListEntry + Clone + PartialEq> ListNews<T> {
    /// News for a host whose list has the digest `held`; none if it has them.
    fn of(
        held: u64,
        own: u64,
        history: &ListHistory<T>,
        whole: impl FnOnce() -> Vec<T>,
    ) -> Option<Self> {
        if held == own {
            return None;
        }
        let changes = history.since(held).map(Self::Changes);
        Some(changes.unwrap_or_else(|| Self::Whole(whole())))
    }

    /// The list, for a host that has `list`.
    fn into_list(self, list: &[T]) -> Vec<T> {
        match self {
            Self::Whole(list) => list,
            Self::Changes(changes) => changes.apply(list),
        }
    }
}

/// What a host knows of the store, less what the asking host has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostKnowledge {
    /// Whether the store itself answers the host that says this.
    pub is_current: bool,
    /// Configuration.
    pub endpoints: Option<EndpointTable>,
    /// Instances.
    pub instances: Option<ListNews<InstanceEntry>>,
    /// Hosts.
    pub hosts: Option<ListNews<HostEntry>>,
    /// Terms with their versions.
    pub terms: Option<ListNews<VersionedTerm>>,
    /// Digest of all terms.
    pub terms_digest: u64,
    /// Time since the store was asked for the terms, when this was said.
    pub terms_age: Option<Duration>,
}

impl HostKnowledge {
    /// What this host knows.
    fn of(context: &SharedContext, view: &TrafficView, question: &LearnQuestion) -> Self {
        let (held, own) = (&question.digests, &view.digests);
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
                .filter(|table| table.version > question.version)
                .cloned(),
            instances: ListNews::of(held.instances, own.instances, &history.instances, || {
                view.listed.to_vec()
            }),
            hosts: ListNews::of(held.hosts, own.hosts, &history.hosts, || {
                view.listed_hosts.to_vec()
            }),
            terms: ListNews::of(held.terms, own.terms, &history.terms, terms),
            terms_digest: own.terms,
            terms_age: view.terms_as_of.map(|as_of| BootTime::now().since(as_of)),
        }
    }

    fn has_news(&self) -> bool {
        self.endpoints.is_some()
            || self.instances.is_some()
            || self.hosts.is_some()
            || self.terms.is_some()
    }

    /// The events that this knowledge amounts to, when it was asked for at
    /// `asked_at` by a host that had `view`.
    fn into_events(self, asked_at: BootTime, view: &TrafficView) -> Vec<ControlEvent> {
        let mut events = Vec::new();
        if let Some(hosts) = self.hosts {
            events.push(ControlEvent::Hosts(hosts.into_list(&view.listed_hosts)));
        }
        if let Some(instances) = self.instances {
            let list = instances.into_list(&view.listed);
            events.push(ControlEvent::Instances(list));
        }
        events.extend(self.endpoints.map(ControlEvent::Endpoints));
        let Some(age) = self.terms_age else {
            return events;
        };
        // The age was measured after the question was asked.
        let as_of = asked_at.before(age);
        if let Some(news) = self.terms {
            let records = match news {
                ListNews::Whole(records) => records,
                // Terms are never removed.
                ListNews::Changes(changes) => changes.changed,
            };
            events.push(ControlEvent::Terms { as_of, records });
        }
        // Those that did not change stand as well, if this host has them all.
        events.push(ControlEvent::TermsStand {
            as_of,
            digest: self.terms_digest,
        });
        events
    }
}

/// Answers a question for news, at the latest when its wait is over.
pub async fn answer_question(context: &SharedContext, question: LearnQuestion) -> HostKnowledge {
    let wait = Duration::from_millis(question.wait_ms).min(FOLLOW_TIME);
    let deadline = Instant::now() + wait;
    loop {
        let listener = context.view.listen();
        let view = context.view.load();
        let knowledge = HostKnowledge::of(context, &view, &question);
        let is_done = knowledge.has_news() || !knowledge.is_current;
        if is_done || Instant::now() >= deadline {
            return knowledge;
        }
        context.view.wait(listener, deadline).await;
    }
}

/// What the store's answers say of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreVoice {
    /// It was not asked yet.
    Unheard,
    /// It has never answered.
    NeverAnswered,
    /// It answered the last call.
    Answers,
    /// It has answered, and the last call failed.
    Fails,
}

#[derive(Debug)]
struct SightState {
    overdue_at: Instant,
    voice: StoreVoice,
    wanted: bool,
}

/// When the store was heard of last, and whether this host should watch it.
#[derive(Debug)]
pub struct StoreSight {
    state: Mutex<SightState>,
    changed: Event,
}

impl StoreSight {
    /// The sight of a host that has just started.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            state: Mutex::new(SightState {
                overdue_at: now + START_TIME,
                voice: StoreVoice::Unheard,
                wanted: false,
            }),
            changed: Event::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, SightState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns once something holds.
    async fn until(&self, holds: impl Fn(&SightState) -> bool) {
        loop {
            let listener = self.changed.listen();
            if holds(&self.state()) {
                return;
            }
            listener.await;
        }
    }

    /// Notes an answer of the watch over terms.
    pub fn note_answer(&self, now: Instant) {
        let mut state = self.state();
        state.overdue_at = now + OVERDUE_TIME;
        let voice = std::mem::replace(&mut state.voice, StoreVoice::Answers);
        drop(state);
        if voice != StoreVoice::Answers {
            self.changed.notify(usize::MAX);
        }
    }

    /// Notes that the watch over terms failed.
    pub fn note_failure(&self) {
        let mut state = self.state();
        state.voice = match state.voice {
            StoreVoice::Unheard | StoreVoice::NeverAnswered => StoreVoice::NeverAnswered,
            StoreVoice::Answers | StoreVoice::Fails => StoreVoice::Fails,
        };
    }

    /// Returns once the store has answered for the first time.
    async fn heard(&self) {
        let has_answered = [StoreVoice::Answers, StoreVoice::Fails];
        self.until(|state| has_answered.contains(&state.voice))
            .await;
    }

    /// Returns unless the last call of the watch over terms failed, and then once
    /// one is answered.
    pub async fn answering(&self) {
        let failed = [StoreVoice::NeverAnswered, StoreVoice::Fails];
        self.until(|state| !failed.contains(&state.voice)).await;
    }

    /// Returns once this host should watch the store.
    pub async fn wanted(&self) {
        self.until(|state| state.wanted).await;
    }

    /// Whether the next answer is overdue.
    #[must_use]
    pub fn is_overdue(&self, now: Instant) -> bool {
        now >= self.state().overdue_at
    }

    /// Whether this host should watch the store.
    #[must_use]
    pub fn is_wanted(&self) -> bool {
        self.state().wanted
    }

    fn set_wanted(&self, wanted: bool) {
        let was_wanted = std::mem::replace(&mut self.state().wanted, wanted);
        if was_wanted != wanted {
            log::info!("this host watches the store: {wanted}");
            self.changed.notify(usize::MAX);
        }
    }
}

/// The hosts of the own data centre that stand before this one in line.
fn hosts_before(context: &SharedContext, view: &TrafficView) -> Vec<CompactString> {
    let place = &context.place;
    let mut hosts = Vec::new();
    for host in line_of(view, &place.data_centre) {
        if host.name == place.host {
            break;
        }
        hosts.push(host.address.clone());
    }
    hosts
}

/// The hosts of a data centre in the order in which they watch the store.
fn line_of<'a>(view: &'a TrafficView, data_centre: &str) -> Vec<&'a HostEntry> {
    let near = view
        .hosts
        .values()
        .filter(|host| host.data_centre == data_centre);
    let mut line = Vec::new();
    for name in rank_hosts(LINE_KEY, near.map(|host| host.name.as_str())) {
        line.extend(view.hosts.get(name));
    }
    line
}

/// Those of the hosts before one that it tries to follow; `drawn` is a random
/// number.
#[must_use]
pub fn choose_leaders(hosts: &[CompactString], drawn: usize) -> Vec<CompactString> {
    let (head, rest) = hosts.split_at(hosts.len().min(LEADERS_MAX));
    let mut leaders = head.to_vec();
    if !rest.is_empty() {
        leaders.push(rest[drawn % rest.len()].clone());
    }
    leaders
}

/// How long a host with so many before it waits for one of them before it
/// watches the store by itself.
#[must_use]
pub fn watch_patience(before: usize) -> Duration {
    let steps = u32::try_from(before / HEAD_LENGTH).unwrap_or(u32::MAX);
    PATIENCE_TIME * steps.min(PATIENCE_MAX)
}

/// A few other hosts, drawn, those that were out of reach last.
fn any_hosts(context: &SharedContext, view: &TrafficView) -> Vec<CompactString> {
    let mut addresses: Vec<CompactString> = Vec::new();
    for host in view.hosts.values() {
        addresses.push(host.address.clone());
    }
    addresses.extend(context.seeds.load().iter().cloned());
    addresses.retain(|address| *address != context.place.address);
    addresses.sort();
    addresses.dedup();
    fastrand::shuffle(&mut addresses);
    addresses.sort_by_key(|address| context.peers.is_avoided(address));
    addresses.truncate(OTHERS_MAX);
    addresses
}

/// Waits until control has a list of hosts, or a deadline.
async fn wait_for_hosts(context: &SharedContext, deadline: Instant) {
    while Instant::now() < deadline {
        let listener = context.view.listen();
        if !context.view.load().listed_hosts.is_empty() {
            return;
        }
        context.view.wait(listener, deadline).await;
    }
}

/// Follows other hosts where there is one to follow, for as long as the task
/// lives.
pub async fn run_relay(context: SharedContext, control: ControlSender) {
    // Who stands before this host is known from the first answer, once control
    // has taken it over.
    let start = Instant::now();
    let listed = async {
        context.store.heard().await;
        wait_for_hosts(&context, start + START_TIME + TAKE_OVER_TIME).await;
    };
    before(start + START_TIME + TAKE_OVER_TIME, listed)
        .await
        .ok();
    let mut alone_since = None;
    loop {
        let next_at = Instant::now() + FOLLOW_INTERVAL;
        let hosts = hosts_before(&context, &context.view.load());
        if follow(&context, &control, &hosts).await {
            alone_since = None;
            context.store.set_wanted(false);
            Timer::at(next_at).await;
            continue;
        }
        let now = Instant::now();
        let waits_since = *alone_since.get_or_insert(now);
        let watches = now >= waits_since + watch_patience(hosts.len());
        if watches {
            context.store.set_wanted(true);
        }
        if context.store.is_overdue(now) {
            let view = context.view.load();
            for address in any_hosts(&context, &view) {
                if ask(&context, &control, &address, Duration::ZERO).await {
                    break;
                }
            }
        }
        let interval = if watches {
            ROUND_INTERVAL
        } else {
            WAIT_INTERVAL
        };
        Timer::after(interval).await;
    }
}

/// Asks the hosts before this one for news. Says whether one was current.
async fn follow(context: &SharedContext, control: &ControlSender, hosts: &[CompactString]) -> bool {
    for address in choose_leaders(hosts, fastrand::usize(..)) {
        if context.peers.is_avoided(&address) {
            continue;
        }
        if ask(context, control, &address, FOLLOW_TIME).await {
            return true;
        }
    }
    false
}

/// Says to the hosts at the head of each line that this one has written a term:
/// the store may be closed to them, and all others follow them.
pub async fn tell_heads(context: SharedContext, database: DatabaseName, version: ObjectVersion) {
    let view = wait_for_term(&context, &database, version).await;
    let mut data_centres: Vec<&str> = Vec::new();
    data_centres.extend(view.hosts.values().map(|host| host.data_centre.as_str()));
    data_centres.sort_unstable();
    data_centres.dedup();
    for data_centre in data_centres {
        for host in line_of(&view, data_centre).into_iter().take(LEADERS_MAX) {
            if host.name == context.place.host || context.peers.is_avoided(&host.address) {
                continue;
            }
            let (context, address) = (context.clone(), host.address.clone());
            fulmarrill_runtime::spawn(async move {
                let deadline = Instant::now() + FOLLOW_SLACK;
                let call = ProxyCall::TermWritten;
                if let Err(error) = context.peers.call(&address, call, deadline).await {
                    log::info!("{address}: not told of a term: {error}");
                }
            })
            .detach();
        }
    }
}

/// The view once it has a version of a term, or the one some time later.
async fn wait_for_term(
    context: &SharedContext,
    database: &str,
    version: ObjectVersion,
) -> Arc<TrafficView> {
    let deadline = Instant::now() + FOLLOW_SLACK;
    loop {
        let listener = context.view.listen();
        let view = context.view.load();
        let held = view.terms.get(database);
        if held.is_some_and(|held| held.version >= version) || Instant::now() >= deadline {
            return view;
        }
        context.view.wait(listener, deadline).await;
    }
}

/// Asks the host at `address` for terms and nothing else: by their versions an
/// older record never replaces a newer one, whatever that host knows of the rest.
pub async fn ask_terms(context: &SharedContext, control: &ControlSender, address: &str) {
    let view = context.view.load();
    let asking = ask_host(context, &view, address, Duration::ZERO);
    let Some((asked_at, mut knowledge)) = asking.await else {
        return;
    };
    knowledge.hosts = None;
    knowledge.instances = None;
    knowledge.endpoints = None;
    tell_knowledge(control, *knowledge, asked_at, &view);
}

/// Asks one host. Says whether what it knows is current; of what is not, only a
/// host that knows nothing makes use.
async fn ask(
    context: &SharedContext,
    control: &ControlSender,
    address: &str,
    wait: Duration,
) -> bool {
    let view = context.view.load();
    let asking = ask_host(context, &view, address, wait);
    let Some((asked_at, knowledge)) = asking.await else {
        return false;
    };
    let is_current = knowledge.is_current;
    if !is_current && view.endpoints.is_some() {
        return false;
    }
    let held = context.view.load().digests;
    if (held.hosts, held.instances) != (view.digests.hosts, view.digests.instances) {
        // The lists have changed since the question: what differs from them then
        // does not fit them now. The next question asks anew.
        return is_current;
    }
    tell_knowledge(control, *knowledge, asked_at, &view);
    is_current
}

/// What another host knows more than this one, and when it was asked.
async fn ask_host(
    context: &SharedContext,
    view: &TrafficView,
    address: &str,
    wait: Duration,
) -> Option<(BootTime, Box<HostKnowledge>)> {
    let question = LearnQuestion {
        version: view.endpoints.as_ref().map_or(0, |table| table.version),
        digests: view.digests,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or_default(),
    };
    let asked_at = BootTime::now();
    let deadline = Instant::now() + wait + FOLLOW_SLACK;
    let call = ProxyCall::Learn(question);
    match context.peers.call(address, call, deadline).await {
        Ok(ProxyReply::Knowledge(knowledge)) => Some((asked_at, knowledge)),
        Ok(_) | Err(_) => None,
    }
}

fn tell_knowledge(
    control: &ControlSender,
    knowledge: HostKnowledge,
    asked_at: BootTime,
    view: &TrafficView,
) {
    for event in knowledge.into_events(asked_at, view) {
        // Fails only while the process ends.
        control.send(ControlMessage::Event(event)).ok();
    }
}
