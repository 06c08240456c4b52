//! Control state as plain data: what is in force, and what this host may use.
//!
//! Pure: events and a time go in, a view and actions come out. The thread that
//! runs it and the tasks that carry its actions out are in [`crate::server`]
//! and in the adapter.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fulmarrill_position::{DatabaseName, Term};

use crate::catalogue::{
    EndpointTable, HostEntry, HostName, InstanceEntry, InstanceId, ObjectVersion, RunName,
    TermRecord,
};
use crate::clock::BootTime;
use crate::codec::DatabaseRole;
use crate::view::{TermView, TrafficView};

/// Time for which a host may use a primary after it asked the store for the
/// term. An outage of the store that is shorter by the time of one watch does
/// not stop writes; a change of primary waits this long for a holder that
/// cannot be asked.
pub const LEASE_TIME: Duration = Duration::from_secs(12);
/// Hosts in line for a primary that join its holders ahead of need.
const HOLDERS_AHEAD: usize = 3;

/// Something that control should know.
#[derive(Debug)]
pub enum ControlEvent {
    /// A configuration was read.
    Endpoints(EndpointTable),
    /// The whole list of instances was read.
    Instances(Vec<InstanceEntry>),
    /// The whole list of hosts was read.
    Hosts(Vec<HostEntry>),
    /// The whole list of term records was read, as it was no earlier than
    /// `as_of`.
    Terms {
        /// When it was asked for.
        as_of: BootTime,
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
    /// An instance's own word on the term that it leads.
    Leads {
        /// The instance.
        instance: InstanceId,
        /// The term.
        term: Term,
    },
}

/// Something that control wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlAction {
    /// Writes a term record if it still has this version, zero for none.
    WriteTerm {
        /// The record.
        record: TermRecord,
        /// Version that it must have.
        if_version: ObjectVersion,
    },
    /// Asks an instance which term it leads.
    AskTerm(InstanceId),
}

/// Everything that control knows.
#[derive(Debug)]
pub struct ControlState {
    own: HostEntry,
    regions: BTreeMap<compact_str::CompactString, compact_str::CompactString>,
    endpoints: Option<Arc<EndpointTable>>,
    instances: Arc<BTreeMap<InstanceId, InstanceEntry>>,
    hosts: Arc<BTreeMap<HostName, HostEntry>>,
    terms: BTreeMap<DatabaseName, TermView>,
    leads: BTreeMap<InstanceId, Term>,
    terms_read: bool,
    hosts_read: bool,
    released: BTreeMap<DatabaseName, Term>,
}

impl ControlState {
    /// A host that knows only itself.
    #[must_use]
    pub fn new(
        own: HostEntry,
        regions: BTreeMap<compact_str::CompactString, compact_str::CompactString>,
    ) -> Self {
        let hosts = BTreeMap::from([(own.name.clone(), own.clone())]);
        Self {
            own,
            regions,
            endpoints: None,
            instances: Arc::default(),
            hosts: Arc::new(hosts),
            terms: BTreeMap::new(),
            leads: BTreeMap::new(),
            terms_read: false,
            hosts_read: false,
            released: BTreeMap::new(),
        }
    }

    /// The view that traffic should route by.
    #[must_use]
    pub fn view(&self) -> TrafficView {
        TrafficView {
            endpoints: self.endpoints.clone(),
            instances: self.instances.clone(),
            hosts: self.hosts.clone(),
            terms: Arc::new(self.terms.clone()),
        }
    }

    /// Takes an event over.
    pub fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Endpoints(table) => {
                let newer = self
                    .endpoints
                    .as_ref()
                    .is_none_or(|held| table.version > held.version);
                if newer {
                    log::info!("configuration {} is in force", table.version);
                    self.endpoints = Some(Arc::new(table));
                }
            }
            ControlEvent::Instances(list) => {
                let instances = list.into_iter().map(|entry| (entry.id.clone(), entry));
                self.instances = Arc::new(instances.collect());
            }
            ControlEvent::Hosts(list) => {
                self.hosts_read = true;
                let mut hosts = BTreeMap::new();
                for entry in list {
                    hosts.insert(entry.name.clone(), entry);
                }
                hosts.insert(self.own.name.clone(), self.own.clone());
                self.hosts = Arc::new(hosts);
            }
            ControlEvent::Terms { as_of, records } => {
                self.terms_read = true;
                for (record, version) in records {
                    self.take_term(as_of, record, version);
                }
            }
            ControlEvent::Term {
                as_of,
                record,
                version,
            } => self.take_term(as_of, record, version),
            ControlEvent::Leads { instance, term } => {
                self.leads.insert(instance, term);
            }
        }
    }

    fn take_term(&mut self, as_of: BootTime, record: TermRecord, version: ObjectVersion) {
        if let Some(held) = self.terms.get(&record.database)
            && version < held.version
        {
            return;
        }
        let is_holder = record.holders.contains(&self.own.run) && !self.has_released(&record);
        let mut lease_until = as_of.after(LEASE_TIME);
        if let Some(held) = self.terms.get(&record.database)
            && held.version == version
        {
            lease_until = lease_until.max(held.lease_until);
        }
        let term = TermView {
            is_holder,
            lease_until,
            version,
            record,
        };
        self.terms.insert(term.record.database.clone(), term);
    }

    fn has_released(&self, record: &TermRecord) -> bool {
        let released = self.released.get(&record.database);
        released.is_some_and(|term| record.term <= *term)
    }

    /// Gives a term up for good. Says whether `run` is this run; another run of
    /// this host has ended with its process.
    pub fn release(&mut self, database: &DatabaseName, term: Term, run: &RunName) -> bool {
        if *run != self.own.run {
            return false;
        }
        let released = self.released.entry(database.clone()).or_default();
        *released = (*released).max(term);
        if let Some(held) = self.terms.get_mut(database)
            && held.record.term <= term
        {
            held.is_holder = false;
        }
        true
    }

    /// The place of this host in line for an instance.
    fn place_in_line(&self, view: &TrafficView, instance: &InstanceEntry) -> usize {
        let region = self.regions.get(&instance.data_centre);
        view.owners_of(instance, region.map(compact_str::CompactString::as_str))
            .iter()
            .position(|host| host.name == self.own.name)
            .unwrap_or(usize::MAX)
    }

    /// What should be done now.
    #[must_use]
    pub fn plan(&self) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        let Some(table) = &self.endpoints else {
            return actions;
        };
        if !self.terms_read || !self.hosts_read {
            return actions;
        }
        let view = self.view();
        for database in table.databases.keys() {
            match self.terms.get(database) {
                None => self.plan_first(&view, database, &mut actions),
                Some(term) => self.plan_join(&view, term, &mut actions),
            }
        }
        actions
    }

    /// Plans the first record of a database: the primary that leads it now.
    fn plan_first(&self, view: &TrafficView, database: &str, actions: &mut Vec<ControlAction>) {
        for instance in view.members(database) {
            if instance.role != DatabaseRole::Primary || self.place_in_line(view, instance) != 0 {
                continue;
            }
            let Some(&term) = self.leads.get(&instance.id) else {
                actions.push(ControlAction::AskTerm(instance.id.clone()));
                continue;
            };
            let region = self.regions.get(&instance.data_centre);
            let region = region.map(compact_str::CompactString::as_str);
            let mut holders = Vec::new();
            for host in view
                .owners_of(instance, region)
                .into_iter()
                .take(HOLDERS_AHEAD)
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
        if self.place_in_line(view, instance) >= HOLDERS_AHEAD {
            return;
        }
        let mut record = term.record.clone();
        let live: Vec<_> = self.hosts.values().map(|host| &host.run).collect();
        record.holders.retain(|run| live.contains(&run));
        record.holders.push(self.own.run.clone());
        let if_version = term.version;
        actions.push(ControlAction::WriteTerm { record, if_version });
    }
}
