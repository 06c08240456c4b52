//! What hosts learn from each other while the store does not answer them.
//!
//! A host whose watch over terms is overdue asks other hosts for what they
//! know. Leases may be passed on, since they count from a question to the
//! store, whoever asked it.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::catalogue::{EndpointTable, HostEntry, InstanceEntry, ObjectVersion, TermRecord};
use crate::clock::BootTime;
use crate::context::SharedContext;
use crate::control::{ControlEvent, LEASE_TIME};
use crate::peers::{ProxyCall, ProxyReply};
use crate::server::{ControlMessage, ControlSender};

/// Age of the last answer of the store after which other hosts are asked. The
/// watch over terms is answered each 2.5 seconds.
const OVERDUE_TIME: Duration = Duration::from_millis(3300);
/// The same for a host that has just started.
const START_TIME: Duration = Duration::from_millis(600);
/// Time between two questions.
const ASK_INTERVAL: Duration = Duration::from_millis(700);
/// Time for one question.
const ASK_TIME: Duration = Duration::from_millis(600);

/// A term record with its version and what is left of the lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayedTerm {
    /// The record.
    pub record: TermRecord,
    /// Its version.
    pub version: ObjectVersion,
    /// Time left when the reply was made.
    pub time_left: Duration,
}

/// Everything that a host knows of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostKnowledge {
    /// Whether the store answers the host that says this.
    pub is_current: bool,
    /// Configuration, if newer than the one that the asking host has.
    pub endpoints: Option<EndpointTable>,
    /// Instances.
    pub instances: Vec<InstanceEntry>,
    /// Hosts.
    pub hosts: Vec<HostEntry>,
    /// Terms.
    pub terms: Vec<RelayedTerm>,
}

impl HostKnowledge {
    /// What this host knows, for one that has configuration `version`.
    #[must_use]
    pub fn of(context: &SharedContext, version: u64) -> Self {
        let view = context.view.load();
        let endpoints = view.endpoints.as_deref();
        let now = BootTime::now();
        let mut terms = Vec::new();
        for term in view.terms.values() {
            terms.push(RelayedTerm {
                record: term.record.clone(),
                version: term.version,
                time_left: term.lease_until.since(now),
            });
        }
        Self {
            is_current: !context.store.is_overdue(Instant::now()),
            endpoints: endpoints.filter(|table| table.version > version).cloned(),
            instances: view.instances.values().cloned().collect(),
            hosts: view.hosts.values().cloned().collect(),
            terms,
        }
    }

    /// The events that this knowledge amounts to, when it was asked for at
    /// `asked_at`.
    #[must_use]
    pub fn into_events(self, asked_at: BootTime) -> Vec<ControlEvent> {
        let mut events = vec![
            ControlEvent::Hosts(self.hosts),
            ControlEvent::Instances(self.instances),
        ];
        events.extend(self.endpoints.map(ControlEvent::Endpoints));
        let mut by_age: Vec<(Duration, Vec<(TermRecord, ObjectVersion)>)> = Vec::new();
        for term in self.terms {
            // What is left was measured after the question was asked.
            let age = LEASE_TIME.saturating_sub(term.time_left);
            by_age.push((age, vec![(term.record, term.version)]));
        }
        for (age, records) in by_age {
            let as_of = asked_at.before(age);
            events.push(ControlEvent::Terms { as_of, records });
        }
        events
    }
}

/// When the store was heard of last.
#[derive(Debug)]
pub struct StoreSight {
    overdue_at: Mutex<Instant>,
}

impl StoreSight {
    /// The sight of a host that has just started.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            overdue_at: Mutex::new(now + START_TIME),
        }
    }

    /// Notes an answer of the watch over terms.
    pub fn note_answer(&self, now: Instant) {
        let mut overdue_at = self
            .overdue_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *overdue_at = now + OVERDUE_TIME;
    }

    /// Whether the next answer is overdue.
    #[must_use]
    pub fn is_overdue(&self, now: Instant) -> bool {
        let overdue_at = self
            .overdue_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        now >= *overdue_at
    }
}

/// Asks other hosts while the store is overdue, for as long as the task lives.
/// `seeds` are addresses to begin with.
pub async fn run_relay(context: SharedContext, control: ControlSender, seeds: Vec<CompactString>) {
    loop {
        Timer::after(ASK_INTERVAL).await;
        if !context.store.is_overdue(Instant::now()) {
            continue;
        }
        for address in addresses(&context, &seeds) {
            if ask(&context, &control, &address).await {
                break;
            }
        }
    }
}

/// The hosts to ask, in random order, those that were out of reach last.
fn addresses(context: &SharedContext, seeds: &[CompactString]) -> Vec<CompactString> {
    let view = context.view.load();
    let mut addresses: Vec<CompactString> = Vec::new();
    for host in view.hosts.values() {
        addresses.push(host.address.clone());
    }
    addresses.extend(seeds.iter().cloned());
    addresses.retain(|address| *address != context.place.address);
    addresses.sort();
    addresses.dedup();
    fastrand::shuffle(&mut addresses);
    addresses.sort_by_key(|address| context.peers.is_avoided(address));
    addresses
}

/// Asks one host. Says whether what it knows is current; of what is not, only a
/// host that knows nothing makes use.
async fn ask(context: &SharedContext, control: &ControlSender, address: &str) -> bool {
    let held = context.view.load().endpoints.clone();
    let version = held.as_ref().map_or(0, |table| table.version);
    let asked_at = BootTime::now();
    let deadline = Instant::now() + ASK_TIME;
    let call = ProxyCall::Learn(version);
    let reply = context.peers.call(address, call, deadline).await;
    let Ok(ProxyReply::Knowledge(knowledge)) = reply else {
        return false;
    };
    let is_current = knowledge.is_current;
    if !is_current && held.is_some() {
        return false;
    }
    log::info!("the store does not answer; learned from {address}, current there: {is_current}");
    for event in knowledge.into_events(asked_at) {
        // Fails only while the process ends.
        control.send(ControlMessage::Event(event)).ok();
    }
    is_current
}
