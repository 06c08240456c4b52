//! Plans the actions of a host from its control state.

use std::time::{Duration, Instant};

use fulmarrill_position::DatabaseName;

use crate::catalogue::{CopyId, InstanceEntry, InstanceId, ObjectVersion, RunName, TermRecord};
use crate::change::copies::with_listed;
use crate::clock::BootTime;
use crate::codec::DatabaseRole;
use crate::control::{
    ControlState, MISSING_GRACE_TIME, OwnListing, QUIET_TIME, RESTORE_INTERVAL, SETTLE_TIME,
};
use crate::view::routes::rank_of;
use crate::view::{TermView, TrafficView, digest_of};

/// Time after which a change of primary that a listed run began counts as
/// abandoned. It is longer than [`crate::change::CHANGE_TIMEOUT`] by a margin.
pub const ABANDONED_CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay of each host behind the one before it in the election order.
const ELECTION_STEP: Duration = Duration::from_millis(600);
/// Index in the election order from which on the delay stays the same.
const MAX_ELECTION_STEPS: u32 = 5;
/// Time for which roles must contradict a record before its primary counts as superseded. A
/// replaced primary may lead for a second until it has heard of the new one.
const SUPERSEDED_TIME: Duration = Duration::from_millis(1500);
/// Number of preferred owners of a primary that join its holders before they
/// need to use it.
pub const PREFERRED_HOLDERS: usize = 3;

/// Number of moments over which hosts spread that write their entries again.
const RESTORE_SPREAD: u32 = 1000;
/// Delay of each preferred owner behind the one before it in joining the holders.
const JOIN_STEP: Duration = Duration::from_millis(300);

/// An action that control plans and the adapter carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlAction {
    /// Registers this host in the store again, after others marked or removed its entry.
    RegisterHost,
    /// Writes the entry of this host again, which the store has lost.
    RestoreHost,
    /// Writes a term record if the stored one still has this version.
    WriteTerm {
        /// The record.
        record: TermRecord,
        /// Expected version, with revision zero if there must be no record.
        if_version: ObjectVersion,
    },
    /// Asks an instance which term it leads.
    QueryTerm(InstanceId),
    /// Takes copies that are no longer listed out of a term record, once the primary
    /// confirms that the rest have what it has.
    ForgetCopies {
        /// The database.
        database: DatabaseName,
        /// Version of the record that names them.
        version: ObjectVersion,
        /// The copies.
        gone: Vec<CopyId>,
    },
    /// Changes the primary of a database, if its record still has this version.
    ChangePrimary {
        /// The database.
        database: DatabaseName,
        /// Version of the record for which the reason was found.
        version: ObjectVersion,
        /// The reason.
        reason: ChangeReason,
        /// Until when hosts may hold terms or leases of an earlier era of the store of
        /// which this host knows nothing; none if they cannot.
        unsettled_until: Option<Instant>,
    },
}

/// Why a primary is to be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// The primary announced that it is leaving.
    Leaving,
    /// The primary is no longer listed.
    Gone,
    /// This host cannot reach the primary.
    Down,
    /// Another host found a reason, but cannot reserve the change itself.
    Handed,
    /// The host that reserved a change did not finish it.
    Abandoned,
    /// By the roles that instances report, another instance leads, or none does.
    Superseded,
    /// The store came back from an older copy, and no host has a lease by which it
    /// could write the record again.
    Unconfirmed,
}

impl ControlState {
    /// Index of this host among the preferred owners of an instance; a large number
    /// if it is none of the first ones.
    fn owner_index(&self, view: &TrafficView, instance: &InstanceEntry) -> usize {
        let region = self.regions.get(&instance.data_centre);
        let region = region.map(compact_str::CompactString::as_str);
        let owners = view.routes.preferred_owners(instance, region).iter();
        let mut names = owners.map(|host| &host.name);
        names
            .position(|name| *name == self.own.name)
            .unwrap_or(usize::MAX)
    }

    /// Index of this host in the election order of a database.
    fn election_index(&self, database: &str) -> usize {
        rank_of(database, &self.hosts, &self.own.name)
    }

    /// Delay of this host behind the first one of the election order of a database.
    fn election_delay(&self, database: &str) -> Duration {
        let index = u32::try_from(self.election_index(database)).unwrap_or(u32::MAX);
        ELECTION_STEP * index.min(MAX_ELECTION_STEPS)
    }

    /// Plans the actions that are due at `now`.
    pub fn plan(&mut self, now: Instant) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        let Some(table) = self.endpoints.clone() else {
            return actions;
        };
        if !self.terms_read || !self.hosts_read || self.leaving {
            return actions;
        }
        if self.listing == OwnListing::Dropped {
            actions.push(ControlAction::RegisterHost);
            return actions;
        }
        if matches!(self.listing, OwnListing::Marked(_)) {
            // A mark is taken back; its number shows that to those who would remove the entry.
            actions.push(ControlAction::RegisterHost);
        }
        if self.listing == OwnListing::Lost {
            self.plan_restored_host(now, &mut actions);
        }
        let view = self.view();
        for database in table.databases.keys() {
            match self.terms.get(database).cloned() {
                // The store may have lost a record by which others use a primary.
                None if !self.is_era_settled(now) => {}
                None => self.plan_first_term(&view, database, &mut actions),
                Some(term) if !term.is_confirmed(self.versions.era) => {
                    actions.extend(self.plan_unconfirmed_term(now, &view, &term));
                }
                Some(term) => {
                    if self.plan_renamed_primary(&view, &term, &mut actions) {
                        continue;
                    }
                    self.plan_holder_join(now, &view, &term, &mut actions);
                    actions.extend(self.plan_copies(now, &view, &term));
                    if self.is_settled(now, &term) {
                        actions.extend(self.plan_settled_term(now, &view, &term));
                        actions.extend(self.plan_handed_over(&term));
                    } else {
                        self.rewrite_since.remove(database);
                    }
                    actions.extend(self.plan_change(now, &view, &term));
                }
            }
        }
        actions
    }

    /// Plans to bring the copies of a term up to date: listed instances are entered, and
    /// those that are gone are taken out once nothing depends on them.
    fn plan_copies(
        &mut self,
        now: Instant,
        view: &TrafficView,
        term: &TermView,
    ) -> Option<ControlAction> {
        let record = &term.record;
        let database = &record.database;
        let limits = self.endpoints.as_ref()?.databases.get(database);
        let has_copies = limits.is_some_and(|limits| limits.sync_replicas > 0);
        let listed = with_listed(record, view.instances_of(database));
        let is_gone = |copy: &&CopyId| {
            let instance = self.instances.get(&copy.id);
            instance.is_none_or(|instance| CopyId::from(instance) != **copy)
        };
        let gone: Vec<CopyId> = record.copies.iter().filter(is_gone).cloned().collect();
        let is_due = has_copies && record.changed_by.is_none();
        if !is_due || (listed.is_none() && gone.is_empty()) {
            self.copies_since.remove(database);
            return None;
        }
        let delay = self.election_delay(database);
        let since = *self.copies_since.entry(database.clone()).or_insert(now);
        if now.saturating_duration_since(since) < delay {
            return None;
        }
        let Some(copies) = listed else {
            return Some(ControlAction::ForgetCopies {
                database: database.clone(),
                version: term.version,
                gone,
            });
        };
        let mut record = record.clone();
        record.copies = copies;
        record.era = self.versions.era;
        let if_version = term.stored;
        Some(ControlAction::WriteTerm { record, if_version })
    }

    /// Plans to write the entry of this host again. Hosts that all lost their entries
    /// do not write at the same moment.
    fn plan_restored_host(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let place =
            u32::try_from(digest_of(&self.own.run) % u64::from(RESTORE_SPREAD)).unwrap_or_default();
        let delay = RESTORE_INTERVAL * place / RESTORE_SPREAD;
        let restore_at = *self.restore_at.get_or_insert(now + delay);
        if now >= restore_at {
            self.restore_at = Some(now + RESTORE_INTERVAL);
            actions.push(ControlAction::RestoreHost);
        }
    }

    /// Whether `wait` has passed and this host's turn has come to write a record again: the
    /// preferred owners of its primary come first.
    fn is_rewrite_due(
        &mut self,
        now: Instant,
        view: &TrafficView,
        term: &TermView,
        wait: Duration,
    ) -> bool {
        let instance = self.instances.get(&term.record.primary);
        let index = instance.map_or(usize::MAX, |instance| self.owner_index(view, instance));
        let index = u32::try_from(index.min(PREFERRED_HOLDERS)).unwrap_or_default();
        let database = &term.record.database;
        let since = match self.rewrite_since.get(database) {
            Some((stored, since)) if *stored == term.stored => *since,
            _ => now,
        };
        self.rewrite_since
            .insert(database.clone(), (term.stored, since));
        now.saturating_duration_since(since) >= wait + JOIN_STEP * index
    }

    /// Plans what follows from a record that the store has lost, or shows from an older
    /// copy. After [`QUIET_TIME`] a run whose lease on the term is still valid writes it
    /// again: no order of a forgotten change can follow, and a later term can exist only if
    /// the primary has stepped down, so that it takes no writes. Without such a run the
    /// primary is changed once no other lease can be valid.
    fn plan_unconfirmed_term(
        &mut self,
        now: Instant,
        view: &TrafficView,
        term: &TermView,
    ) -> Option<ControlAction> {
        let is_due = self.is_rewrite_due(now, view, term, QUIET_TIME);
        let database = &term.record.database;
        let (_, since) = *self.rewrite_since.get(database)?;
        let waited = now.saturating_duration_since(since);
        // A host that did not know this record changes the primary.
        let displacing = term.displacing.as_ref();
        let is_reserved = displacing.is_some_and(|record| record.changed_by.is_some());
        if is_reserved && waited < ABANDONED_CHANGE_TIMEOUT {
            return None;
        }
        if term.may_use_primary(term.record.term, BootTime::now()) {
            let mut record = term.merged_record();
            record.era = self.versions.era;
            record.is_settled = self.is_era_settled(now);
            let if_version = term.stored;
            return is_due.then_some(ControlAction::WriteTerm { record, if_version });
        }
        let delay = self.election_delay(database);
        let is_elected = self.is_era_settled(now) && waited >= SETTLE_TIME + delay;
        is_elected.then(|| ControlAction::ChangePrimary {
            database: database.clone(),
            version: term.version,
            reason: ChangeReason::Unconfirmed,
            unsettled_until: None,
        })
    }

    /// Plans to state in a record that every lease of an earlier era has expired.
    fn plan_settled_term(
        &mut self,
        now: Instant,
        view: &TrafficView,
        term: &TermView,
    ) -> Option<ControlAction> {
        if self.versions.era == 0 || term.record.is_settled || !term.is_holder {
            self.rewrite_since.remove(&term.record.database);
            return None;
        }
        if term.record.changed_by.is_some() || !self.is_rewrite_due(now, view, term, Duration::ZERO)
        {
            return None;
        }
        let mut record = term.record.clone();
        record.is_settled = true;
        let if_version = term.stored;
        Some(ControlAction::WriteTerm { record, if_version })
    }

    /// The reason to replace the primary of a term, if there is one, and how long
    /// the reason must last before this host acts. The delay leaves the change to
    /// the hosts that come earlier in the election order.
    fn change_reason(
        &self,
        now: Instant,
        view: &TrafficView,
        term: &TermView,
    ) -> Option<(ChangeReason, Duration)> {
        let record = &term.record;
        // Computed only while there is a reason, since it depends on all hosts.
        let election_delay = || self.election_delay(&record.database);
        if let Some(run) = &record.changed_by {
            if *run == self.own.run {
                // Ignored for as long as this host is at it.
                return Some((ChangeReason::Abandoned, Duration::ZERO));
            }
            let mut listed = self.hosts.values().chain(self.leaving_hosts.values());
            let is_listed = listed.any(|host| host.run == *run);
            let wait = if is_listed {
                ABANDONED_CHANGE_TIMEOUT
            } else {
                Duration::ZERO
            };
            return Some((ChangeReason::Abandoned, wait + election_delay()));
        }
        if let Some(since) = self.missing_since.get(&record.primary) {
            let waited = now.saturating_duration_since(*since);
            let is_gone = waited >= MISSING_GRACE_TIME;
            return is_gone.then(|| (ChangeReason::Gone, election_delay()));
        }
        let instance = self.instances.get(&record.primary)?;
        if instance.leaving {
            return Some((ChangeReason::Leaving, election_delay()));
        }
        if self.down_instances.contains(&record.primary) {
            let index = u32::try_from(self.owner_index(view, instance)).unwrap_or(u32::MAX);
            let election_delay = ELECTION_STEP * index.min(MAX_ELECTION_STEPS);
            return Some((ChangeReason::Down, election_delay));
        }
        if contradicts_record(view, record) {
            let delay = SUPERSEDED_TIME + election_delay();
            return Some((ChangeReason::Superseded, delay));
        }
        None
    }

    /// Plans a change of primary that was handed over to this host. It is planned
    /// only once, since its reason may be gone by the next time.
    fn plan_handed_over(&mut self, term: &TermView) -> Option<ControlAction> {
        let database = term.record.database.clone();
        let handed = *self.handed_over.get(&database)?;
        if term.record.term < handed {
            // The record of that term has not arrived yet.
            return None;
        }
        self.handed_over.remove(&database);
        // Terms are compared, since versions change whenever a host joins the
        // holders.
        let is_current = handed == term.record.term && term.record.changed_by.is_none();
        let version = term.version;
        is_current.then_some(ControlAction::ChangePrimary {
            database,
            version,
            reason: ChangeReason::Handed,
            unsettled_until: None,
        })
    }

    /// Plans a change of primary once its reason has lasted for the delay, and once the
    /// term is settled. Only a primary that is leaving is replaced before that: it is still
    /// there to step down, which ends its term also for hosts of which this one knows
    /// nothing, and it must be out of use by the time at which it ends.
    fn plan_change(
        &mut self,
        now: Instant,
        view: &TrafficView,
        term: &TermView,
    ) -> Option<ControlAction> {
        let database = term.record.database.clone();
        let Some((reason, delay)) = self.change_reason(now, view, term) else {
            self.change_reasons.remove(&database);
            self.waiting_changes.remove(&database);
            return None;
        };
        let unsettled_until = self.unsettled_until(now, term);
        if unsettled_until.is_some() && reason != ChangeReason::Leaving {
            self.change_reasons.remove(&database);
            // The host that reserved a change may still be at it.
            if reason != ChangeReason::Abandoned {
                self.note_waiting_change(&term.record, reason);
            }
            return None;
        }
        let known = self.change_reasons.get(&database).copied();
        let since = match known {
            Some((version, known, since)) if version == term.version && known == reason => since,
            _ => now,
        };
        self.change_reasons
            .insert(database.clone(), (term.version, reason, since));
        let version = term.version;
        (now.saturating_duration_since(since) >= delay).then_some(ControlAction::ChangePrimary {
            database,
            version,
            reason,
            unsettled_until,
        })
    }

    /// Logs a reason to change a primary that has to wait until the term is settled.
    fn note_waiting_change(&mut self, record: &TermRecord, reason: ChangeReason) {
        let database = &record.database;
        if self.waiting_changes.insert(database.clone(), reason) != Some(reason) {
            log::info!(
                "{database}: primary {} is not replaced yet ({reason:?}): leases of an earlier \
                 era of the store may be valid",
                record.primary
            );
        }
    }

    /// Plans to enter a primary that restarted under a new id into the record of its
    /// term, and returns whether it does. One instance at most leads a term, so one that
    /// reports to lead this term is the same primary, with its log.
    fn plan_renamed_primary(
        &self,
        view: &TrafficView,
        term: &TermView,
        actions: &mut Vec<ControlAction>,
    ) -> bool {
        let record = &term.record;
        if record.changed_by.is_some() {
            return false;
        }
        let earlier = self.instances.get(&record.primary);
        for instance in view.instances_of(&record.database) {
            let is_later = earlier.is_none_or(|known| instance.started_ms > known.started_ms);
            if instance.id == record.primary
                || instance.role != DatabaseRole::Primary
                || !is_later
                || self.owner_index(view, instance) >= PREFERRED_HOLDERS
            {
                continue;
            }
            let Some(&led) = self.leader_terms.get(&instance.id) else {
                actions.push(ControlAction::QueryTerm(instance.id.clone()));
                continue;
            };
            if led != record.term {
                continue;
            }
            let mut renamed = record.clone();
            renamed.primary.clone_from(&instance.id);
            renamed.holders = self.preferred_holders(view, instance);
            renamed.copies.retain(|copy| copy.id != instance.id);
            renamed.era = self.versions.era;
            actions.push(ControlAction::WriteTerm {
                record: renamed,
                if_version: term.version,
            });
            return true;
        }
        false
    }

    /// The runs of the preferred owners of an instance.
    fn preferred_holders(&self, view: &TrafficView, instance: &InstanceEntry) -> Vec<RunName> {
        let region = self.regions.get(&instance.data_centre);
        let region = region.map(compact_str::CompactString::as_str);
        let owners = view.owner_candidates(instance, region);
        let owners = owners.take(PREFERRED_HOLDERS);
        owners.map(|host| host.run.clone()).collect()
    }

    /// Plans the first term record of a database, with the present primary.
    fn plan_first_term(
        &self,
        view: &TrafficView,
        database: &str,
        actions: &mut Vec<ControlAction>,
    ) {
        for instance in view.instances_of(database) {
            let index = self.owner_index(view, instance);
            if instance.role != DatabaseRole::Primary || index >= PREFERRED_HOLDERS {
                continue;
            }
            let Some(&term) = self.leader_terms.get(&instance.id) else {
                actions.push(ControlAction::QueryTerm(instance.id.clone()));
                continue;
            };
            let record = TermRecord {
                database: database.into(),
                term,
                primary: instance.id.clone(),
                fence: 0,
                holders: self.preferred_holders(view, instance),
                changed_by: None,
                copies: Vec::new(),
                era: self.versions.era,
                is_settled: self.versions.era > 0,
            };
            let if_version = ObjectVersion::new(self.versions.era, 0);
            actions.push(ControlAction::WriteTerm { record, if_version });
        }
    }

    /// Plans to join the holders of a primary if this host is among its preferred
    /// owners. Runs that are no longer listed are removed from the holders.
    /// The first of these joins at once, and the others a little later: all of them
    /// start together after a loss of all hosts, and each write makes those of the
    /// others fail.
    fn plan_holder_join(
        &mut self,
        now: Instant,
        view: &TrafficView,
        term: &TermView,
        actions: &mut Vec<ControlAction>,
    ) {
        if term.is_holder || term.record.changed_by.is_some() || self.has_released(&term.record) {
            self.join_since.remove(&term.record.database);
            return;
        }
        let Some(instance) = self.instances.get(&term.record.primary) else {
            return;
        };
        let index = self.owner_index(view, instance);
        if index >= PREFERRED_HOLDERS {
            return;
        }
        let delay = JOIN_STEP * u32::try_from(index).unwrap_or(u32::MAX);
        let database = &term.record.database;
        let since = *self.join_since.entry(database.clone()).or_insert(now);
        if now.saturating_duration_since(since) < delay {
            return;
        }
        let mut record = term.record.clone();
        let listed = self.hosts.values().chain(self.leaving_hosts.values());
        let listed_runs: Vec<_> = listed.map(|host| &host.run).collect();
        // A store that came back from an older copy may list an earlier run, or none.
        if self.is_settled(now, term) {
            record.holders.retain(|run| listed_runs.contains(&run));
        }
        record.holders.push(self.own.run.clone());
        record.era = self.versions.era;
        let if_version = term.version;
        actions.push(ControlAction::WriteTerm { record, if_version });
    }
}

/// Whether the roles that instances report contradict a record.
fn contradicts_record(view: &TrafficView, record: &TermRecord) -> bool {
    let mut instances = view.instances_of(&record.database);
    instances.any(|instance| {
        let is_primary = instance.role == DatabaseRole::Primary;
        is_primary != (instance.id == record.primary)
    })
}
