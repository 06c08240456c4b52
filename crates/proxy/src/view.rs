//! The immutable snapshot that traffic is routed by; the control thread replaces
//! it.

pub mod routes;

use std::collections::BTreeMap;
use std::sync::Arc;

use fulmarrill_position::{DatabaseName, Term};
use fulmarrill_runtime::PublishedCell;
use fulmarrill_spread::KnownVersions;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalogue::{
    EndpointEntry, EndpointTable, HostEntry, HostName, InstanceEntry, InstanceId, ObjectVersion,
    TermRecord, VersionedTerm,
};
use crate::clock::BootTime;
use crate::control::ConfirmedTimes;
use crate::history::ListHistory;
use crate::view::routes::RouteIndex;

/// A term record with its version and this host's lease on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermView {
    /// The record.
    pub record: TermRecord,
    /// Its version in the store when it was read; of an earlier era if the store has
    /// lost it.
    pub version: ObjectVersion,
    /// Version that the store of the latest era shows, as the condition of the next
    /// write.
    pub stored: ObjectVersion,
    /// Record of the latest era that the store shows in place of this one.
    pub displacing: Option<TermRecord>,
    /// Whether this run of this host is among the holders.
    pub is_holder: bool,
    /// When the lease expires; it lets a holder use the primary until then.
    pub lease_until: BootTime,
}

impl TermView {
    /// Whether the record was written in the latest era of the store, `era`, and the store
    /// still holds it.
    #[must_use]
    pub fn is_confirmed(&self, era: u64) -> bool {
        self.version.era == era && self.record.era == era && self.stored == self.version
    }

    /// The record as it may be written over the one that the store shows: with the holders
    /// and at least the fencing token of both.
    #[must_use]
    pub fn merged_record(&self) -> TermRecord {
        let mut record = self.record.clone();
        if let Some(displacing) = &self.displacing {
            record.add_displaced(displacing);
        }
        record
    }

    /// Whether a record of this version stands in place of this one. Within an era the
    /// version decides. Across eras a term or a reservation is never taken back; among
    /// equals the one that was written later stands.
    #[must_use]
    pub fn is_replaced_by(&self, record: &TermRecord, version: ObjectVersion) -> bool {
        if version.era == self.version.era && record.era == self.record.era {
            return version >= self.version;
        }
        let rank = |record: &TermRecord, version: ObjectVersion| {
            let written_at = (record.era, version.revision);
            (record.term, record.fence, written_at, version)
        };
        rank(record, version) >= rank(&self.record, self.version)
    }

    /// Whether this host may use the primary of `term` now.
    #[must_use]
    pub fn may_use_primary(&self, term: Term, now: BootTime) -> bool {
        self.is_holder
            && self.record.changed_by.is_none()
            && self.record.term == term
            && now < self.lease_until
    }
}

/// Digest of a value, taken over its JSON form.
#[must_use]
pub fn digest_of(value: &impl Serialize) -> u64 {
    // Only plain structs are digested, and these always serialize.
    serde_json::to_vec(value).map_or(0, |bytes| xxh3_64(&bytes))
}

/// The latest changes of the lists of a view.
#[derive(Debug, Clone, Default)]
pub struct ViewHistory {
    /// Changes of the instances.
    pub instances: ListHistory<InstanceEntry>,
    /// Changes of the hosts.
    pub hosts: ListHistory<HostEntry>,
    /// Changes of the terms.
    pub terms: ListHistory<VersionedTerm>,
}

/// Everything that traffic is routed by, as of one point in time.
#[derive(Debug, Clone, Default)]
pub struct TrafficView {
    /// Current configuration; `None` until one was read.
    pub endpoints: Option<Arc<EndpointTable>>,
    /// Instances by identity.
    pub instances: Arc<BTreeMap<InstanceId, InstanceEntry>>,
    /// Hosts that take new work, by name.
    pub hosts: Arc<BTreeMap<HostName, HostEntry>>,
    /// Hosts that are leaving, by name; they only finish the work they have
    /// begun.
    pub leaving: Arc<BTreeMap<HostName, HostEntry>>,
    /// Instances by database and owners by instance.
    pub routes: Arc<RouteIndex>,
    /// Terms by database.
    pub terms: Arc<BTreeMap<DatabaseName, TermView>>,
    /// Latest times at which the store is known to have held these lists.
    pub confirmed: ConfirmedTimes,
    /// Instances as the store lists them; downstream hosts get these.
    pub listed_instances: Arc<Vec<InstanceEntry>>,
    /// Hosts as the store lists them; downstream hosts get these.
    pub listed_hosts: Arc<Vec<HostEntry>>,
    /// Hosts that the store listed before it came back from an older copy, and that have
    /// not written their entries again yet.
    pub lost_hosts: Arc<Vec<HostEntry>>,
    /// Versions of the configuration and of the lists in the store.
    pub versions: KnownVersions,
    /// Latest changes of these lists.
    pub history: Arc<ViewHistory>,
    /// Latest changes of the endpoints, by versions of the configuration.
    pub endpoint_history: Arc<ListHistory<EndpointEntry>>,
}

impl TrafficView {
    /// The host of this name, whether it is leaving or not.
    #[must_use]
    pub fn host(&self, name: &str) -> Option<&HostEntry> {
        self.hosts.get(name).or_else(|| self.leaving.get(name))
    }

    /// The instances of a database.
    pub fn instances_of<'a>(&'a self, database: &str) -> impl Iterator<Item = &'a InstanceEntry> {
        let ids = self.routes.instances_of(database).iter();
        ids.filter_map(|id| self.instances.get(id))
    }

    /// The primary of a database and its term; `None` while the term is being
    /// changed, or if the instance is not known.
    #[must_use]
    pub fn primary(&self, database: &str) -> Option<(&InstanceEntry, Term)> {
        let term = self.terms.get(database)?;
        if term.record.changed_by.is_some() {
            return None;
        }
        let instance = self.instances.get(&term.record.primary)?;
        Some((instance, term.record.term))
    }

    /// Hosts that take new work, in order of preference as owner of an instance:
    /// those of its data centre first, then those of its region, then all
    /// others. `region` is the region of the instance. The order of all hosts is
    /// computed only if the first few are not enough.
    pub fn owner_candidates<'a>(
        &'a self,
        instance: &InstanceEntry,
        region: Option<&str>,
    ) -> impl Iterator<Item = &'a HostEntry> {
        let preferred = self.routes.preferred_owners(instance, region);
        let (instance, region) = (instance.clone(), region.map(str::to_owned));
        let others = std::iter::once_with(move || {
            let all = self.routes.all_candidates(&instance, region.as_deref());
            all.into_iter().skip(preferred.len())
        });
        preferred.iter().chain(others.flatten())
    }
}

/// The cell in which the control thread publishes each new view.
pub type ViewCell = PublishedCell<TrafficView>;
