//! What a host should do, judged by what its control knows.

use std::time::{Duration, Instant};

use fulmarrill_ownership::rank_hosts;
use fulmarrill_position::DatabaseName;

use crate::catalogue::{HostName, InstanceEntry, InstanceId, ObjectVersion, TermRecord};
use crate::codec::DatabaseRole;
use crate::control::{ControlState, MISSING_TIME, OwnListing};
use crate::view::{TermView, TrafficView};

/// Time after which a change of primary that a live host began counts as
/// abandoned. It is longer than [`crate::change::CHANGE_TIMEOUT`] by a margin.
pub const ABANDONED_CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that each host leaves to the one before it in line.
const TURN_TIME: Duration = Duration::from_millis(600);
/// Places in line after which all hosts act at the same time.
const TURNS_MAX: u32 = 5;
/// Hosts in line for a primary that join its holders ahead of need.
pub const PREFERRED_HOLDERS: usize = 3;

/// Something that control wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlAction {
    /// Lists this host in the store once more.
    RegisterHost,
    /// Writes a term record if it still has this version, zero for none.
    WriteTerm {
        /// The record.
        record: TermRecord,
        /// Version that it must have.
        if_version: ObjectVersion,
    },
    /// Asks an instance which term it leads.
    QueryTerm(InstanceId),
    /// Changes the primary of a database, if it still has this version.
    ChangePrimary {
        /// The database.
        database: DatabaseName,
        /// Version of the record that gave the reason.
        version: ObjectVersion,
        /// The reason.
        reason: ChangeReason,
    },
}

/// Why a primary is to be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// It said that it leaves.
    Leaving,
    /// It is no longer listed.
    Gone,
    /// This host cannot reach it.
    Down,
    /// Another host found a reason and cannot begin the change itself.
    Handed,
    /// Whoever began to change the term did not finish.
    Abandoned,
}

impl ControlState {
    /// The place of this host in line for an instance.
    fn place_in_line(&self, view: &TrafficView, instance: &InstanceEntry) -> usize {
        let region = self.regions.get(&instance.data_centre);
        view.owner_candidates(instance, region.map(compact_str::CompactString::as_str))
            .iter()
            .position(|host| host.name == self.own.name)
            .unwrap_or(usize::MAX)
    }

    /// The place of this host in line for the care of a database.
    fn place_for(&self, database: &str) -> usize {
        let names = self.hosts.keys().map(HostName::as_str);
        rank_hosts(database, names)
            .iter()
            .position(|name| *name == self.own.name)
            .unwrap_or(usize::MAX)
    }

    /// What should be done now.
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
        let view = self.view();
        for database in table.databases.keys() {
            match self.terms.get(database).cloned() {
                None => self.plan_first(&view, database, &mut actions),
                Some(term) => {
                    self.plan_join(&view, &term, &mut actions);
                    actions.extend(self.plan_handed(&term));
                    actions.extend(self.plan_change(now, &view, &term));
                }
            }
        }
        actions
    }

    /// Why the primary of a term should be replaced, and how long this host
    /// leaves that to the hosts before it in line.
    fn change_reason(
        &self,
        now: Instant,
        view: &TrafficView,
        term: &TermView,
    ) -> Option<(ChangeReason, Duration)> {
        let record = &term.record;
        let place = u32::try_from(self.place_for(&record.database)).unwrap_or(u32::MAX);
        let turn = TURN_TIME * place.min(TURNS_MAX);
        if let Some(run) = &record.changed_by {
            let mut listed = self.hosts.values().chain(self.leaving_hosts.values());
            let lives = listed.any(|host| host.run == *run);
            let patience = if lives {
                ABANDONED_CHANGE_TIMEOUT
            } else {
                Duration::ZERO
            };
            return Some((ChangeReason::Abandoned, patience + turn));
        }
        if let Some(since) = self.missing.get(&record.primary) {
            let waited = now.saturating_duration_since(*since);
            return (waited >= MISSING_TIME).then_some((ChangeReason::Gone, turn));
        }
        let instance = self.instances.get(&record.primary)?;
        if instance.leaving {
            return Some((ChangeReason::Leaving, turn));
        }
        if self.down.contains(&record.primary) {
            let place = u32::try_from(self.place_in_line(view, instance)).unwrap_or(u32::MAX);
            let turn = TURN_TIME * place.min(TURNS_MAX);
            return Some((ChangeReason::Down, turn));
        }
        None
    }

    /// Plans a change of primary that was handed to this host; once, since its
    /// reason may have passed by the next time.
    fn plan_handed(&mut self, term: &TermView) -> Option<ControlAction> {
        let database = term.record.database.clone();
        let handed = *self.handed.get(&database)?;
        if term.record.term < handed {
            // The record that gave the reason is still on its way.
            return None;
        }
        self.handed.remove(&database);
        // Not by versions: hosts that join the holders change them all the time.
        let stands = handed == term.record.term && term.record.changed_by.is_none();
        let version = term.version;
        stands.then_some(ControlAction::ChangePrimary {
            database,
            version,
            reason: ChangeReason::Handed,
        })
    }

    /// Plans a change of primary once its reason has lasted.
    fn plan_change(
        &mut self,
        now: Instant,
        view: &TrafficView,
        term: &TermView,
    ) -> Option<ControlAction> {
        let database = term.record.database.clone();
        let Some((reason, patience)) = self.change_reason(now, view, term) else {
            self.reasons.remove(&database);
            return None;
        };
        let known = self.reasons.get(&database).copied();
        let since = match known {
            Some((version, known, since)) if version == term.version && known == reason => since,
            _ => now,
        };
        self.reasons
            .insert(database.clone(), (term.version, reason, since));
        let version = term.version;
        (now.saturating_duration_since(since) >= patience).then_some(ControlAction::ChangePrimary {
            database,
            version,
            reason,
        })
    }

    /// Plans the first record of a database: the primary that leads it now.
    fn plan_first(&self, view: &TrafficView, database: &str, actions: &mut Vec<ControlAction>) {
        for instance in view.instances_of(database) {
            let place = self.place_in_line(view, instance);
            if instance.role != DatabaseRole::Primary || place >= PREFERRED_HOLDERS {
                continue;
            }
            let Some(&term) = self.leads.get(&instance.id) else {
                actions.push(ControlAction::QueryTerm(instance.id.clone()));
                continue;
            };
            let region = self.regions.get(&instance.data_centre);
            let region = region.map(compact_str::CompactString::as_str);
            let mut holders = Vec::new();
            for host in view
                .owner_candidates(instance, region)
                .into_iter()
                .take(PREFERRED_HOLDERS)
            {
                holders.push(host.run.clone());
            }
            let record = TermRecord {
                database: database.into(),
                term,
                primary: instance.id.clone(),
                fence: 0,
                holders,
                changed_by: None,
            };
            let if_version = 0;
            actions.push(ControlAction::WriteTerm { record, if_version });
        }
    }

    /// Plans to join the holders of a primary that this host is in line for.
    fn plan_join(&self, view: &TrafficView, term: &TermView, actions: &mut Vec<ControlAction>) {
        if term.is_holder || term.record.changed_by.is_some() || self.has_released(&term.record) {
            return;
        }
        let Some(instance) = self.instances.get(&term.record.primary) else {
            return;
        };
        if self.place_in_line(view, instance) >= PREFERRED_HOLDERS {
            return;
        }
        let mut record = term.record.clone();
        let listed = self.hosts.values().chain(self.leaving_hosts.values());
        let live: Vec<_> = listed.map(|host| &host.run).collect();
        record.holders.retain(|run| live.contains(&run));
        record.holders.push(self.own.run.clone());
        let if_version = term.version;
        actions.push(ControlAction::WriteTerm { record, if_version });
    }
}
