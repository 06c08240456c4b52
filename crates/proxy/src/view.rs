//! What traffic routes by: an immutable picture that control replaces.

use std::collections::BTreeMap;
use std::sync::Arc;

use fulmarrill_ownership::rank_hosts;
use fulmarrill_position::{DatabaseName, Term};
use fulmarrill_runtime::PublishedCell;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::catalogue::{
    EndpointTable, HostEntry, HostName, InstanceEntry, InstanceId, ObjectVersion, TermRecord,
    VersionedTerm,
};
use crate::clock::BootTime;
use crate::history::ListHistory;

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
    pub fn may_use_primary(&self, term: Term, now: BootTime) -> bool {
        self.is_holder
            && self.record.changed_by.is_none()
            && self.record.term == term
            && now < self.lease_until
    }
}

/// Digest of a list that was never read; the digest of an empty one is another.
pub const UNREAD_DIGEST: u64 = 0;

/// Digests of the parts of a view, by which two hosts see whether they know the
/// same.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigests {
    /// Of the instances.
    pub instances: u64,
    /// Of the hosts.
    pub hosts: u64,
    /// Of the terms, their leases left out.
    pub terms: u64,
}

/// Digest of anything that can be written as JSON.
#[must_use]
pub fn digest_of(value: &impl Serialize) -> u64 {
    // What is digested here are plain structs, which can always be written.
    serde_json::to_vec(value).map_or(0, |bytes| xxh3_64(&bytes))
}

/// How the lists of a view came to be.
#[derive(Debug, Clone, Default)]
pub struct ViewHistory {
    /// Of the instances.
    pub instances: ListHistory<InstanceEntry>,
    /// Of the hosts.
    pub hosts: ListHistory<HostEntry>,
    /// Of the terms.
    pub terms: ListHistory<VersionedTerm>,
}

/// Everything that traffic needs to know, as of one moment.
#[derive(Debug, Clone, Default)]
pub struct TrafficView {
    /// Configuration in force; none before the first was read.
    pub endpoints: Option<Arc<EndpointTable>>,
    /// Instances by identity.
    pub instances: Arc<BTreeMap<InstanceId, InstanceEntry>>,
    /// Hosts that take new work, by name.
    pub hosts: Arc<BTreeMap<HostName, HostEntry>>,
    /// Hosts that are leaving, by name; they finish what they have begun.
    pub leaving: Arc<BTreeMap<HostName, HostEntry>>,
    /// Terms by database.
    pub terms: Arc<BTreeMap<DatabaseName, TermView>>,
    /// Moment as of which the terms stood in the store.
    pub terms_as_of: Option<BootTime>,
    /// Instances as the store lists them, for hosts that follow this one.
    pub listed_instances: Arc<Vec<InstanceEntry>>,
    /// Hosts as the store lists them.
    pub listed_hosts: Arc<Vec<HostEntry>>,
    /// Digests of what the store lists.
    pub digests: ViewDigests,
    /// How that came to be.
    pub history: Arc<ViewHistory>,
}

impl TrafficView {
    /// A host by its name, whether it is leaving or not.
    #[must_use]
    pub fn host(&self, name: &str) -> Option<&HostEntry> {
        self.hosts.get(name).or_else(|| self.leaving.get(name))
    }

    /// The instances of a database that take new work.
    pub fn instances_of<'a>(
        &'a self,
        database: &'a str,
    ) -> impl Iterator<Item = &'a InstanceEntry> {
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
    pub fn owner_candidates(
        &self,
        instance: &InstanceEntry,
        region: Option<&str>,
    ) -> Vec<&HostEntry> {
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
pub type ViewCell = PublishedCell<TrafficView>;
