//! What traffic routes by: an immutable picture that control replaces.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use event_listener::{Event, EventListener};
use fulmarrill_ownership::rank_hosts;
use fulmarrill_position::{DatabaseName, Term};
use fulmarrill_runtime::before;

use crate::catalogue::{
    EndpointTable, HostEntry, HostName, InstanceEntry, InstanceId, ObjectVersion, TermRecord,
};
use crate::clock::BootTime;

/// A term record with its version, and until when this host may rely on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermView {
    /// The record.
    pub record: TermRecord,
    /// Its version in the store.
    pub version: ObjectVersion,
    /// Whether this run of this host is among the holders.
    pub is_holder: bool,
    /// Until when this host may use the primary, if it is a holder.
    pub lease_until: BootTime,
}

impl TermView {
    /// Whether this host may use the primary of `term` now.
    #[must_use]
    pub fn may_use(&self, term: Term, now: BootTime) -> bool {
        self.is_holder
            && self.record.changed_by.is_none()
            && self.record.term == term
            && now < self.lease_until
    }
}

/// Everything that traffic needs to know, as of one moment.
#[derive(Debug, Clone, Default)]
pub struct TrafficView {
    /// Configuration in force; none before the first was read.
    pub endpoints: Option<Arc<EndpointTable>>,
    /// Instances by identity.
    pub instances: Arc<BTreeMap<InstanceId, InstanceEntry>>,
    /// Hosts by name.
    pub hosts: Arc<BTreeMap<HostName, HostEntry>>,
    /// Terms by database.
    pub terms: Arc<BTreeMap<DatabaseName, TermView>>,
}

impl TrafficView {
    /// The instances of a database that take new work.
    pub fn members<'a>(&'a self, database: &'a str) -> impl Iterator<Item = &'a InstanceEntry> {
        self.instances
            .values()
            .filter(move |instance| instance.database == database)
    }

    /// The primary of a database and its term, unless it is being changed.
    #[must_use]
    pub fn primary(&self, database: &str) -> Option<(&InstanceEntry, Term)> {
        let term = self.terms.get(database)?;
        if term.record.changed_by.is_some() {
            return None;
        }
        let instance = self.instances.get(&term.record.primary)?;
        Some((instance, term.record.term))
    }

    /// Hosts in the order in which they would own an instance: those of its
    /// data centre first, then those of its region, then all others.
    #[must_use]
    pub fn owners_of(&self, instance: &InstanceEntry, region: Option<&str>) -> Vec<&HostEntry> {
        let names = self.hosts.keys().map(HostName::as_str);
        let mut ranked: Vec<&HostEntry> = Vec::new();
        for name in rank_hosts(&instance.id, names) {
            ranked.extend(self.hosts.get(name));
        }
        ranked.sort_by_key(|host| {
            let near = host.data_centre == instance.data_centre;
            let same_region = region.is_some_and(|region| host.region == region);
            (!near, !same_region)
        });
        ranked
    }
}

/// The cell in which control publishes views.
#[derive(Debug, Default)]
pub struct ViewCell {
    view: ArcSwap<TrafficView>,
    changed: Event,
}

impl ViewCell {
    /// A cell with an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The view in force.
    #[must_use]
    pub fn load(&self) -> Arc<TrafficView> {
        self.view.load_full()
    }

    /// Puts a new view in force.
    pub fn publish(&self, view: TrafficView) {
        self.view.store(Arc::new(view));
        self.changed.notify(usize::MAX);
    }

    /// A listener for the next view.
    #[must_use]
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Waits for a view published after `listener` was made, or the deadline.
    pub async fn wait(&self, listener: EventListener, deadline: Instant) {
        before(deadline, listener).await.ok();
    }
}
