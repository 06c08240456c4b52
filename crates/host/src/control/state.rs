//! Control state as plain data: what is in force and who lives.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fulmarrill_document::{OperatorDocument, show_faults};
use fulmarrill_ownership::{HostEntry, HostName, HostState, HostTable};
use fulmarrill_peer::{
    ControlDocument, ControlGroup, ControlHosts, ControlUpdate, ControlVersions,
};
use fulmarrill_position::DatabaseName;

use crate::control::ControlEvent;
use crate::view::{ControlView, VersionedGroup};

/// Everything that the control thread knows.
#[derive(Debug)]
pub struct ControlState {
    own: HostEntry,
    versions: ControlVersions,
    document: Arc<OperatorDocument>,
    document_text: Arc<str>,
    groups: BTreeMap<DatabaseName, Arc<VersionedGroup>>,
    listed_hosts: Arc<Vec<HostEntry>>,
    silent: BTreeSet<HostName>,
    leaving: BTreeSet<HostName>,
}

impl ControlState {
    /// A host that knows only itself.
    #[must_use]
    pub fn new(own: HostEntry) -> Self {
        Self {
            own,
            versions: ControlVersions::default(),
            document: Arc::new(OperatorDocument::initial()),
            document_text: Arc::from(""),
            groups: BTreeMap::new(),
            listed_hosts: Arc::default(),
            silent: BTreeSet::new(),
            leaving: BTreeSet::new(),
        }
    }

    /// Takes an event; says whether the view changed.
    pub fn handle(&mut self, event: ControlEvent) -> bool {
        match event {
            ControlEvent::News(news) => self.take_news(news),
            ControlEvent::PeerAnswered { host, leaving, .. } => {
                let woke = self.silent.remove(&host);
                let turned = if leaving {
                    self.leaving.insert(host)
                } else {
                    self.leaving.remove(&host)
                };
                woke || turned
            }
            ControlEvent::PeerSilent(host) => self.silent.insert(host),
            ControlEvent::PeerLeaving(host) => self.leaving.insert(host),
        }
    }

    /// Updates this host's own entry; says whether it changed.
    pub fn set_own(&mut self, own: HostEntry) -> bool {
        let changed = self.own != own;
        self.own = own;
        changed
    }

    fn take_news(&mut self, news: ControlUpdate) -> bool {
        let mut changed = false;
        if let Some(document) = news.document {
            changed |= self.take_document(document);
        }
        for group in news.groups {
            changed |= self.take_group(group);
        }
        if let Some(hosts) = news.hosts {
            changed |= self.take_hosts(hosts);
        }
        changed
    }

    /// A version never goes down, whoever brings it.
    fn take_document(&mut self, document: ControlDocument) -> bool {
        if document.version <= self.versions.document {
            return false;
        }
        match OperatorDocument::parse(&document.text) {
            Ok(parsed) => {
                self.document = Arc::new(parsed);
                self.document_text = Arc::from(document.text);
                self.versions.document = document.version;
                true
            }
            Err(faults) => {
                // Only a store that was written past the checks holds such.
                log::error!(
                    "document {} refused: {}",
                    document.version,
                    show_faults(&faults)
                );
                false
            }
        }
    }

    fn take_group(&mut self, news: ControlGroup) -> bool {
        let held = self.groups.get(&news.group.database);
        let older = held
            .is_some_and(|held| news.version <= held.version || news.group.term < held.group.term);
        if older {
            return false;
        }
        self.versions.groups = self.versions.groups.max(news.version);
        let database = news.group.database.clone();
        let group = VersionedGroup {
            version: news.version,
            group: news.group,
        };
        self.groups.insert(database, Arc::new(group));
        true
    }

    fn take_hosts(&mut self, hosts: ControlHosts) -> bool {
        if hosts.version <= self.versions.hosts {
            return false;
        }
        self.versions.hosts = hosts.version;
        let listed = |name: &HostName| hosts.hosts.iter().any(|host| host.name == *name);
        self.silent.retain(listed);
        self.leaving.retain(listed);
        self.listed_hosts = Arc::new(hosts.hosts);
        true
    }

    /// The view that follows.
    #[must_use]
    pub fn view(&self) -> ControlView {
        let mut table = HostTable::new();
        for host in self.listed_hosts.iter() {
            if self.silent.contains(&host.name) {
                continue;
            }
            let mut host = host.clone();
            if self.leaving.contains(&host.name) {
                host.state = HostState::Leaving;
            }
            table.insert(host);
        }
        // The list lags; of itself a host knows better.
        table.insert(self.own.clone());
        ControlView {
            versions: self.versions,
            document: self.document.clone(),
            document_text: self.document_text.clone(),
            groups: self.groups.clone(),
            listed_hosts: self.listed_hosts.clone(),
            hosts: table,
        }
    }
}
