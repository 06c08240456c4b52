//! Control state: the current configuration, instances, hosts and terms, and
//! which primaries this host may use.
//!
//! Performs no I/O: it takes events and the time, and returns a view and
//! actions. The thread that runs it is in [`crate::server`]; the adapter has the
//! tasks that carry the actions out.

pub mod outdated;
pub mod plan;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarrill_position::{DatabaseName, Term};
use fulmarrill_spread::{KnownVersions, ListVersion, StoreRevision, UNREAD_DIGEST};

use crate::catalogue::{
    EndpointEntry, EndpointTable, HostEntry, HostName, InstanceEntry, InstanceId, ObjectVersion,
    RunName, TermRecord, VersionedTerm,
};
use crate::clock::BootTime;
use crate::control::outdated::OutdatedInstances;
use crate::control::plan::ChangeReason;
use crate::history::{ListChanges, ListHistory};
use crate::view::routes::RouteIndex;
use crate::view::{TermView, TrafficView, ViewHistory, digest_of};

/// Time for which a host may use a primary after it asked the store for the
/// term. Writes continue during an outage of the store that is shorter than this
/// minus the time of one watch call. A change of primary waits this long for a
/// holder that cannot be asked.
pub const LEASE_TIME: Duration = Duration::from_secs(12);
/// Time after a host has learnt of a new era of the store within which hosts may use
/// terms, or be among their holders, of which neither this host nor the store knows:
/// leases of the era before last that long. A margin is added, since clocks of hosts may
/// run at different rates.
pub const SETTLE_TIME: Duration = Duration::from_millis(12_300);
/// Time after which a record that the store has lost may be written again: longer than an
/// order to promote can arrive after the store has shown its reservation for the last time.
pub const QUIET_TIME: Duration = Duration::from_millis(3500);
/// Changed endpoints that are kept for hosts with an earlier configuration: some growths by a
/// thousand each.
const ENDPOINT_CHANGES_MAX: usize = 8192;
/// Least time between two writes of this host's entry after the store has lost it, and
/// longest delay of the first.
const RESTORE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an instance that is no longer listed is kept, and for which
/// this run keeps its terms after it disappeared from the list. Entries that
/// expired during an outage of the store are back within two seconds of its end.
const MISSING_GRACE_TIME: Duration = Duration::from_millis(2500);

/// Latest times at which the store is known to have held the lists of a view.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfirmedTimes {
    /// The configuration.
    pub configuration: Option<BootTime>,
    /// The instances.
    pub instances: Option<BootTime>,
    /// The terms.
    pub terms: Option<BootTime>,
}

/// An event that changes the control state.
#[derive(Debug)]
pub enum ControlEvent {
    /// A configuration was read.
    Endpoints(EndpointTable),
    /// The store still held the configuration of this version at `as_of`.
    EndpointsUnchanged {
        /// Version of the configuration.
        version: u64,
        /// When the store was asked.
        as_of: BootTime,
    },
    /// The whole list of instances was read.
    Instances {
        /// Revision of the store at which the list was current.
        revision: StoreRevision,
        /// When the list was requested.
        as_of: Option<BootTime>,
        /// The instances.
        list: Vec<InstanceEntry>,
    },
    /// The whole list of hosts was read.
    Hosts {
        /// Revision of the store at which the list was current.
        revision: StoreRevision,
        /// The hosts.
        list: Vec<HostEntry>,
    },
    /// The store still held the states of these versions at these times.
    Confirmed {
        /// The versions.
        versions: KnownVersions,
        /// The times.
        confirmed: ConfirmedTimes,
    },
    /// The whole list of term records was read; it was current at `as_of` or
    /// later.
    Terms {
        /// When the list was requested.
        as_of: BootTime,
        /// Revision of the store at which the list was current.
        revision: StoreRevision,
        /// Records with their versions.
        records: Vec<(TermRecord, ObjectVersion)>,
    },
    /// One term record was written.
    Term {
        /// When the write was sent.
        as_of: BootTime,
        /// The record.
        record: TermRecord,
        /// Its version.
        version: ObjectVersion,
    },
    /// The instances that this host currently cannot reach.
    InstancesDown(BTreeSet<InstanceId>),
    /// Another host cannot reserve a change of primary and hands it over.
    ChangeHandedOver {
        /// The database.
        database: DatabaseName,
        /// The term whose primary is to be replaced.
        term: Term,
    },
    /// This host was told to leave and takes no new work as an owner.
    Leave,
    /// An instance reported the term that it leads.
    LeaderTerm {
        /// The instance.
        instance: InstanceId,
        /// The term.
        term: Term,
    },
}

/// How the store lists this run, as far as this host knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum OwnListing {
    /// No list that contains it was read yet.
    #[default]
    Unknown,
    /// It is listed.
    Listed,
    /// Since this time it is no longer listed.
    Missing(Instant),
    /// Since this time other hosts have marked it as leaving.
    Marked(Instant),
    /// The store came back from an older copy that does not list it.
    Lost,
    /// Other hosts have removed it from the list, or are about to.
    Dropped,
}

/// What a record that was read means for the one that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TermOutcome {
    /// It takes its place.
    Changed,
    /// It is the same, or was read earlier.
    Known,
    /// The store has lost the known one.
    Lost,
}

/// Whether the system has run before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum SystemStart {
    /// It starts for the first time.
    First,
    /// It may have run before.
    #[default]
    Again,
}

/// The state that control plans from and publishes as views.
#[derive(Debug)]
pub struct ControlState {
    own: HostEntry,
    regions: BTreeMap<compact_str::CompactString, compact_str::CompactString>,
    endpoints: Option<Arc<EndpointTable>>,
    instances: Arc<BTreeMap<InstanceId, InstanceEntry>>,
    hosts: Arc<BTreeMap<HostName, HostEntry>>,
    leaving_hosts: Arc<BTreeMap<HostName, HostEntry>>,
    routes: Arc<RouteIndex>,
    /// How the store lists this run.
    listing: OwnListing,
    /// Era of the last list with this run.
    listed_era: u64,
    terms: BTreeMap<DatabaseName, TermView>,
    leader_terms: BTreeMap<InstanceId, Term>,
    confirmed: ConfirmedTimes,
    listed_instances: Arc<Vec<InstanceEntry>>,
    listed_hosts: Arc<Vec<HostEntry>>,
    /// Hosts whose entries the store has lost, and until when they count as listed.
    lost_hosts: Arc<Vec<HostEntry>>,
    lost_until: Option<Instant>,
    versions: KnownVersions,
    history: Arc<ViewHistory>,
    endpoint_history: Arc<ListHistory<EndpointEntry>>,
    terms_read: bool,
    hosts_read: bool,
    released_terms: BTreeMap<DatabaseName, Term>,
    missing_since: BTreeMap<InstanceId, Instant>,
    outdated: OutdatedInstances,
    down_instances: BTreeSet<InstanceId>,
    change_reasons: BTreeMap<DatabaseName, (ObjectVersion, ChangeReason, Instant)>,
    /// Reasons for changes that wait until a term is settled.
    waiting_changes: BTreeMap<DatabaseName, ChangeReason>,
    handed_over: BTreeMap<DatabaseName, Term>,
    /// Since when this host should join the holders of a term.
    join_since: BTreeMap<DatabaseName, Instant>,
    /// Since when the copies in a record differ from the listed instances.
    copies_since: BTreeMap<DatabaseName, Instant>,
    leaving: bool,
    start: SystemStart,
    /// When this host learnt of the era of the store; none if nothing of an earlier era
    /// can be in use.
    era_since: Option<Instant>,
    /// When this host's entry may be written again.
    restore_at: Option<Instant>,
    /// Since when a record should be written again, and over which version.
    rewrite_since: BTreeMap<DatabaseName, (ObjectVersion, Instant)>,
}

impl ControlState {
    /// The state of a host that has read nothing yet and knows only itself.
    #[must_use]
    pub fn new(
        own: HostEntry,
        regions: BTreeMap<compact_str::CompactString, compact_str::CompactString>,
    ) -> Self {
        let hosts = Arc::new(BTreeMap::from([(own.name.clone(), own.clone())]));
        Self {
            own,
            regions,
            endpoints: None,
            instances: Arc::default(),
            hosts: hosts.clone(),
            leaving_hosts: Arc::default(),
            routes: Arc::new(RouteIndex::new(&hosts, &BTreeMap::new())),
            listing: OwnListing::default(),
            listed_era: 0,
            terms: BTreeMap::new(),
            leader_terms: BTreeMap::new(),
            confirmed: ConfirmedTimes::default(),
            listed_instances: Arc::default(),
            listed_hosts: Arc::default(),
            lost_hosts: Arc::default(),
            lost_until: None,
            versions: KnownVersions::default(),
            history: Arc::default(),
            endpoint_history: Arc::new(
                ListHistory::default().with_entries_max(ENDPOINT_CHANGES_MAX),
            ),
            terms_read: false,
            hosts_read: false,
            released_terms: BTreeMap::new(),
            missing_since: BTreeMap::new(),
            outdated: OutdatedInstances::default(),
            down_instances: BTreeSet::new(),
            change_reasons: BTreeMap::new(),
            waiting_changes: BTreeMap::new(),
            handed_over: BTreeMap::new(),
            join_since: BTreeMap::new(),
            copies_since: BTreeMap::new(),
            leaving: false,
            start: SystemStart::default(),
            era_since: None,
            restore_at: None,
            rewrite_since: BTreeMap::new(),
        }
    }

    /// States that the whole system starts for the first time, so that nothing of an
    /// earlier era of the store can be in use.
    #[must_use]
    pub const fn with_first_start(mut self) -> Self {
        self.start = SystemStart::First;
        self
    }

    /// The view of the present state, for traffic to be routed by.
    #[must_use]
    pub fn view(&self) -> TrafficView {
        TrafficView {
            endpoints: self.endpoints.clone(),
            instances: self.instances.clone(),
            hosts: self.hosts.clone(),
            leaving: self.leaving_hosts.clone(),
            routes: self.routes.clone(),
            terms: Arc::new(self.terms.clone()),
            confirmed: self.confirmed,
            listed_instances: self.listed_instances.clone(),
            listed_hosts: self.listed_hosts.clone(),
            lost_hosts: self.lost_hosts.clone(),
            versions: self.versions,
            history: self.history.clone(),
            endpoint_history: self.endpoint_history.clone(),
        }
    }

    /// Drops what has expired by `now`, then applies an event.
    pub fn handle(&mut self, now: Instant, event: ControlEvent) {
        self.expire(now);
        match event {
            ControlEvent::Endpoints(table) => {
                let newer = self
                    .endpoints
                    .as_ref()
                    .is_none_or(|held| table.version > held.version);
                if newer {
                    log::info!("configuration {} is in force", table.version);
                    self.record_endpoints(&table);
                    self.versions.configuration = table.version;
                    self.endpoints = Some(Arc::new(table));
                }
            }
            ControlEvent::Instances {
                revision,
                as_of,
                list,
            } => {
                self.learn_era(now, revision.era);
                if self.apply_instances(now, revision, list) {
                    self.confirmed.instances = self.confirmed.instances.max(as_of);
                }
            }
            ControlEvent::EndpointsUnchanged { version, as_of } => {
                if self.versions.configuration == version {
                    self.confirmed.configuration = self.confirmed.configuration.max(Some(as_of));
                }
            }
            ControlEvent::Hosts { revision, list } => {
                self.learn_era(now, revision.era);
                self.apply_hosts(now, revision, list);
            }
            ControlEvent::Confirmed {
                versions,
                confirmed,
            } => {
                self.learn_era(now, versions.era);
                self.confirm(versions, confirmed);
            }
            ControlEvent::InstancesDown(down) => self.down_instances = down,
            ControlEvent::ChangeHandedOver { database, term } => {
                self.handed_over.insert(database, term);
            }
            ControlEvent::Leave => {
                self.leaving = true;
                Arc::make_mut(&mut self.hosts).remove(&self.own.name);
                self.index_routes();
            }
            ControlEvent::Terms {
                as_of,
                revision,
                records,
            } => {
                self.learn_era(now, revision.era);
                self.terms_read = true;
                let is_confirmed = self.apply_terms(as_of, records);
                self.note_missing_primaries(now);
                let terms = &mut self.versions.terms;
                terms.revision = terms.revision.max(revision);
                if is_confirmed {
                    self.confirmed.terms = self.confirmed.terms.max(Some(as_of));
                }
            }
            ControlEvent::Term {
                as_of,
                record,
                version,
            } => {
                self.learn_era(now, version.era);
                self.apply_terms(as_of, vec![(record, version)]);
                self.note_missing_primaries(now);
            }
            ControlEvent::LeaderTerm { instance, term } => {
                self.leader_terms.insert(instance, term);
            }
        }
    }

    /// Records what changes with a new configuration.
    fn record_endpoints(&mut self, table: &EndpointTable) {
        let Some(held) = &self.endpoints else {
            return;
        };
        let changes = ListChanges::between(held.endpoints.values(), table.endpoints.values());
        let history = Arc::make_mut(&mut self.endpoint_history);
        history.record(held.version, table.version, changes);
    }

    /// Takes note of an era of the store. Returns whether it is a new one.
    pub fn learn_era(&mut self, now: Instant, era: u64) -> bool {
        let known = self.versions.era;
        if era <= known {
            return false;
        }
        self.versions.era = era;
        let is_new_store = known == 0 && self.terms.is_empty();
        let is_settled = is_new_store && self.start == SystemStart::First;
        self.era_since = (!is_settled).then_some(now);
        if !is_new_store {
            log::warn!("the store came back from an older copy, era {era} after {known}");
            if self.listing == OwnListing::Unknown {
                self.listing = OwnListing::Lost;
            }
        }
        self.leader_terms.clear();
        self.rewrite_since.clear();
        for term in self.terms.values_mut() {
            term.stored = ObjectVersion::new(era, 0);
            term.displacing = None;
        }
        true
    }

    /// Whether every lease of an earlier era of the store has expired.
    fn is_era_settled(&self, now: Instant) -> bool {
        let since = self.era_since;
        since.is_none_or(|since| now.saturating_duration_since(since) >= SETTLE_TIME)
    }

    /// Whether the holders of this term are known, and no other term can be in use.
    fn is_settled(&self, now: Instant, term: &TermView) -> bool {
        let is_confirmed = term.is_confirmed(self.versions.era);
        (is_confirmed && term.record.is_settled) || self.is_era_settled(now)
    }

    /// When the term is settled; `None` if it is.
    fn unsettled_until(&self, now: Instant, term: &TermView) -> Option<Instant> {
        if self.is_settled(now, term) {
            return None;
        }
        self.era_since.map(|since| since + SETTLE_TIME)
    }

    /// Whether a list of this revision arrives late: it is of an earlier era than the
    /// known one, or was read before the `held` list.
    fn is_outdated(&self, held: ListVersion, revision: StoreRevision) -> bool {
        revision.era < self.versions.era
            || (held.digest != UNREAD_DIGEST && revision < held.revision)
    }

    /// Records until when the store is known to have held these versions. Leases are
    /// extended if the terms are the same.
    fn confirm(&mut self, versions: KnownVersions, confirmed: ConfirmedTimes) {
        let own = &mut self.confirmed;
        if versions.configuration == self.versions.configuration {
            own.configuration = own.configuration.max(confirmed.configuration);
        }
        if self.versions.instances.confirm(versions.instances) {
            own.instances = own.instances.max(confirmed.instances);
        }
        self.versions.hosts.confirm(versions.hosts);
        if self.versions.terms.confirm(versions.terms)
            && let Some(as_of) = confirmed.terms
        {
            self.extend_leases(as_of);
        }
    }

    /// Applies a list of instances. An instance that is missing from it is kept
    /// for a while, since entries expire during an outage of the store. A primary
    /// is kept until another instance leads.
    /// Returns whether it was applied; one of an earlier revision is not.
    fn apply_instances(
        &mut self,
        now: Instant,
        revision: StoreRevision,
        mut list: Vec<InstanceEntry>,
    ) -> bool {
        if self.is_outdated(self.versions.instances, revision) {
            return false;
        }
        // All hosts use the same order, since they compare digests of lists.
        list.sort_by(|a, b| a.id.cmp(&b.id));
        let digest = digest_of(&list);
        let changes = ListChanges::between(&*self.listed_instances, &list);
        let history = Arc::make_mut(&mut self.history);
        history
            .instances
            .record(self.versions.instances.digest, digest, changes);
        let listed_era = self.versions.instances.revision.era;
        if revision.era > listed_era {
            self.outdated
                .record_copy(now, &self.listed_instances, &list);
        } else {
            self.outdated
                .record_list(now, &self.listed_instances, &list);
        }
        self.versions.instances = ListVersion::new(digest, revision);
        self.listed_instances = Arc::new(list.clone());
        let mut instances = BTreeMap::new();
        for entry in list {
            let Some(entry) = self.outdated.correct(entry) else {
                continue;
            };
            self.missing_since.remove(&entry.id);
            instances.insert(entry.id.clone(), entry);
        }
        for (id, entry) in self.instances.iter() {
            if instances.contains_key(id) {
                continue;
            }
            let since = *self.missing_since.entry(id.clone()).or_insert(now);
            let kept = now.saturating_duration_since(since) < MISSING_GRACE_TIME && !entry.leaving;
            if kept || self.is_primary(id) {
                instances.insert(id.clone(), entry.clone());
            } else {
                self.missing_since.remove(id);
            }
        }
        if *self.instances != instances {
            self.instances = Arc::new(instances);
            self.index_routes();
        }
        self.note_missing_primaries(now);
        true
    }

    /// Notes since when the primary of a term is not listed. This host may have
    /// started after its entry expired, so that it never saw it listed.
    fn note_missing_primaries(&mut self, now: Instant) {
        if self.versions.instances.digest == UNREAD_DIGEST {
            return;
        }
        for term in self.terms.values() {
            let primary = &term.record.primary;
            if !self.instances.contains_key(primary) {
                self.missing_since.entry(primary.clone()).or_insert(now);
            }
        }
    }

    /// Applies a list of hosts. This host counts as taking new work until it is told
    /// to leave, however it is listed.
    fn apply_hosts(&mut self, now: Instant, revision: StoreRevision, mut list: Vec<HostEntry>) {
        if self.is_outdated(self.versions.hosts, revision) {
            return;
        }
        self.hosts_read = true;
        list.sort_by(|a, b| a.name.cmp(&b.name));
        let digest = digest_of(&list);
        let is_later_era = revision.era > self.versions.hosts.revision.era;
        self.note_lost_hosts(now, &list, is_later_era);
        let changes = ListChanges::between(&*self.listed_hosts, &list);
        let history = Arc::make_mut(&mut self.history);
        history
            .hosts
            .record(self.versions.hosts.digest, digest, changes);
        self.versions.hosts = ListVersion::new(digest, revision);
        self.listed_hosts = Arc::new(list.clone());
        self.update_listing(now, revision.era, &list);
        self.rebuild_hosts();
    }

    /// Takes note of the hosts that the first list of a later era lacks. They have not
    /// left: the store lost their entries, and they write them again.
    fn note_lost_hosts(&mut self, now: Instant, list: &[HostEntry], is_later_era: bool) {
        let is_listed = |name: &HostName| list.iter().any(|entry| entry.name == *name);
        let mut missing = (*self.lost_hosts).clone();
        if is_later_era {
            let held = self.listed_hosts.iter().filter(|entry| !entry.leaving);
            missing.extend(held.cloned());
            self.lost_until = Some(now + SETTLE_TIME);
        }
        missing.retain(|entry| !is_listed(&entry.name));
        if *self.lost_hosts != missing {
            self.lost_hosts = Arc::new(missing);
        }
    }

    /// Computes the hosts that take new work from the list.
    fn rebuild_hosts(&mut self) {
        let (mut hosts, mut leaving) = (BTreeMap::new(), BTreeMap::new());
        for entry in self.lost_hosts.iter().chain(self.listed_hosts.iter()) {
            let map = if entry.leaving {
                &mut leaving
            } else {
                &mut hosts
            };
            map.insert(entry.name.clone(), entry.clone());
        }
        if self.leaving {
            hosts.remove(&self.own.name);
        } else {
            leaving.remove(&self.own.name);
            hosts.insert(self.own.name.clone(), self.own.clone());
        }
        self.leaving_hosts = Arc::new(leaving);
        if *self.hosts != hosts {
            self.hosts = Arc::new(hosts);
            self.index_routes();
        }
    }

    fn index_routes(&mut self) {
        self.routes = Arc::new(RouteIndex::new(&self.hosts, &self.instances));
    }

    /// Updates how this run is listed. The list may come from a host that is
    /// slightly behind, so a list without this run does not at once count as its
    /// removal. One of a later era than the last list with this run is no removal: the
    /// store has lost the entry.
    fn update_listing(&mut self, now: Instant, era: u64, list: &[HostEntry]) {
        let own = list.iter().find(|entry| entry.run == self.own.run);
        let is_listed = own.is_some_and(|entry| self.leaving || !entry.leaving);
        let is_later_era = era > self.listed_era;
        self.listing = match self.listing {
            _ if is_listed => OwnListing::Listed,
            OwnListing::Listed if is_later_era && own.is_none() => OwnListing::Lost,
            OwnListing::Listed if own.is_none() => OwnListing::Missing(now),
            OwnListing::Listed => OwnListing::Marked(now),
            OwnListing::Unknown | OwnListing::Lost if own.is_some() => OwnListing::Marked(now),
            OwnListing::Missing(since) if own.is_some() => OwnListing::Marked(since),
            other => other,
        };
        if is_listed {
            self.listed_era = era;
            self.restore_at = None;
        }
        self.refresh_holders();
    }

    /// Recomputes for each term whether this run is among its holders. A run that
    /// other hosts have removed stops using its terms before they rely on that.
    fn refresh_holders(&mut self) {
        let mut held = Vec::new();
        for (database, term) in &self.terms {
            held.push((database.clone(), self.is_holder_of(&term.record)));
        }
        for (database, is_holder) in held {
            if let Some(term) = self.terms.get_mut(&database) {
                term.is_holder = is_holder;
            }
        }
    }

    fn is_holder_of(&self, record: &TermRecord) -> bool {
        self.listing != OwnListing::Dropped
            && record.holders.contains(&self.own.run)
            && !self.has_released(record)
    }

    fn digest_terms(&self) -> u64 {
        let terms: Vec<_> = self
            .terms
            .values()
            .map(|term| (&term.record.database, term.version))
            .collect();
        digest_of(&terms)
    }

    /// Whether leases may be extended. They may not while other hosts may be about
    /// to remove this run from the list, since after the removal they no longer
    /// wait for its leases. Other hosts mark the run as leaving before they remove
    /// it. Leases that are not extended after that mark expire well before the
    /// removal, even if this process is suspended.
    fn may_extend_leases(&self) -> bool {
        matches!(self.listing, OwnListing::Unknown | OwnListing::Listed)
    }

    fn extend_leases(&mut self, as_of: BootTime) {
        if !self.may_extend_leases() {
            return;
        }
        let lease_until = as_of.after(LEASE_TIME);
        for term in self.terms.values_mut() {
            if term.is_confirmed(self.versions.era) {
                term.lease_until = term.lease_until.max(lease_until);
            }
        }
        self.confirmed.terms = self.confirmed.terms.max(Some(as_of));
    }

    fn is_primary(&self, id: &InstanceId) -> bool {
        self.terms.values().any(|term| term.record.primary == *id)
    }

    /// Drops instances that have been missing for too long, and the terms that
    /// this run holds if it has been off the list for too long. Returns whether
    /// the view has changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let mut has_changed = false;
        if let OwnListing::Missing(since) | OwnListing::Marked(since) = self.listing
            && now.saturating_duration_since(since) >= MISSING_GRACE_TIME
        {
            self.listing = OwnListing::Dropped;
            self.refresh_holders();
            has_changed = true;
        }
        if self.lost_until.is_some_and(|until| now >= until) {
            self.lost_until = None;
            self.lost_hosts = Arc::default();
            self.rebuild_hosts();
            has_changed = true;
        }
        for entry in self.outdated.take_expired(now) {
            Arc::make_mut(&mut self.instances).insert(entry.id.clone(), entry);
            self.index_routes();
            has_changed = true;
        }
        let gone: Vec<InstanceId> = self
            .missing_since
            .iter()
            .filter(|(id, since)| {
                now.saturating_duration_since(**since) >= MISSING_GRACE_TIME && !self.is_primary(id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.missing_since.remove(id);
            Arc::make_mut(&mut self.instances).remove(id);
        }
        if !gone.is_empty() {
            self.index_routes();
        }
        has_changed || !gone.is_empty()
    }

    /// Applies records. Returns whether none of them shows that the store has lost one
    /// that this host knows.
    fn apply_terms(&mut self, as_of: BootTime, records: Vec<VersionedTerm>) -> bool {
        let mut is_confirmed = true;
        let mut changed = Vec::new();
        for (record, version) in records {
            let revision = &mut self.versions.terms.revision;
            *revision = (*revision).max(version);
            match self.apply_term(as_of, &record, version) {
                TermOutcome::Changed => changed.push((record, version)),
                TermOutcome::Lost => is_confirmed = false,
                TermOutcome::Known => {}
            }
        }
        let is_first = self.versions.terms.digest == UNREAD_DIGEST;
        if changed.is_empty() && !is_first {
            return is_confirmed;
        }
        let digest = self.digest_terms();
        let removed = Vec::new();
        let history = Arc::make_mut(&mut self.history);
        history.terms.record(
            self.versions.terms.digest,
            digest,
            ListChanges { changed, removed },
        );
        self.versions.terms.digest = digest;
        is_confirmed
    }

    /// Applies a record.
    fn apply_term(
        &mut self,
        as_of: BootTime,
        record: &TermRecord,
        version: ObjectVersion,
    ) -> TermOutcome {
        let era = self.versions.era;
        let mut stored = ObjectVersion::new(era, 0);
        if version.era == era {
            stored = version;
        }
        if let Some(held) = self.terms.get_mut(&record.database) {
            let is_later = stored > held.stored;
            held.stored = held.stored.max(stored);
            stored = held.stored;
            if !held.is_replaced_by(record, version) {
                if is_later {
                    // A record of an earlier era grants no leases and reserves nothing.
                    held.displacing = (record.era == era).then(|| record.clone());
                }
                let is_lost = held.stored == version && version > held.version;
                return if is_lost {
                    TermOutcome::Lost
                } else {
                    TermOutcome::Known
                };
            }
        }
        let held = self.terms.get(&record.database);
        let mut term = TermView {
            record: record.clone(),
            version,
            stored,
            displacing: None,
            is_holder: self.is_holder_of(record),
            lease_until: as_of,
        };
        let may_extend = self.may_extend_leases();
        term.lease_until = match held {
            // Leases of an earlier era run on, and a record of an older copy grants none.
            Some(held) if !term.is_confirmed(era) => {
                let is_same = held.record.term == record.term;
                let is_same = is_same && held.record.primary == record.primary;
                if is_same { held.lease_until } else { as_of }
            }
            None if !term.is_confirmed(era) => as_of,
            Some(held) if !may_extend => held.lease_until,
            Some(held) if held.version == version => held.lease_until.max(as_of.after(LEASE_TIME)),
            _ if !may_extend => as_of,
            _ => as_of.after(LEASE_TIME),
        };
        let is_changed = held.is_none_or(|held| held.version != version);
        self.terms.insert(record.database.clone(), term);
        if is_changed {
            TermOutcome::Changed
        } else {
            TermOutcome::Known
        }
    }

    fn has_released(&self, record: &TermRecord) -> bool {
        let released = self.released_terms.get(&record.database);
        released.is_some_and(|term| record.term <= *term)
    }

    /// Releases a term for good if `run` is this run, and returns whether it is.
    /// Any other run of this host has ended with its process.
    pub fn release(&mut self, database: &DatabaseName, term: Term, run: &RunName) -> bool {
        if *run != self.own.run {
            return false;
        }
        let released = self.released_terms.entry(database.clone()).or_default();
        *released = (*released).max(term);
        if let Some(held) = self.terms.get_mut(database)
            && held.record.term <= term
        {
            held.is_holder = false;
        }
        true
    }
}
