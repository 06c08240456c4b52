//! Control state as plain data: configuration versions in force and membership
//! of hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fulmarrill_document::{OperatorDocument, format_errors};
use fulmarrill_ownership::{HostEntry, HostName, HostState, HostTable};
use fulmarrill_peer::{
    ControlDocument, ControlGroup, ControlHosts, ControlUpdate, ControlVersions,
};
use fulmarrill_position::DatabaseName;

use crate::control::ControlEvent;
use crate::view::{ControlView, VersionedGroup};

/// Control state from which views are made.
#[derive(Debug)]
pub struct ControlState {
    own: HostEntry,
    versions: ControlVersions,
    document: Arc<OperatorDocument>,
    document_text: Arc<str>,
    groups: BTreeMap<DatabaseName, Arc<VersionedGroup>>,
    listed_hosts: Arc<Vec<HostEntry>>,
    suspected: BTreeSet<HostName>,
    leaving: BTreeSet<HostName>,
}

impl ControlState {
    /// The state of a host that knows only itself.
    #[must_use]
    pub fn new(own: HostEntry) -> Self {
        Self {
            own,
            versions: ControlVersions::default(),
            document: Arc::new(OperatorDocument::initial()),
            document_text: Arc::from(""),
            groups: BTreeMap::new(),
            listed_hosts: Arc::default(),
            suspected: BTreeSet::new(),
            leaving: BTreeSet::new(),
        }
    }

    /// Applies an event and returns whether the view may have changed.
    pub fn handle(&mut self, event: ControlEvent) -> bool {
        match event {
            ControlEvent::News(news) => self.apply_news(news),
            ControlEvent::PeerAlive { host, leaving, .. } => {
                let recovered = self.suspected.remove(&host);
                let leaving_changed = if leaving {
                    self.leaving.insert(host)
                } else {
                    self.leaving.remove(&host)
                };
                recovered || leaving_changed
            }
            ControlEvent::PeerSuspected(host) => self.suspected.insert(host),
            ControlEvent::PeerLeaving(host) => self.leaving.insert(host),
        }
    }

    /// Updates this host's own entry and returns whether it changed.
    pub fn set_own(&mut self, own: HostEntry) -> bool {
        let changed = self.own != own;
        self.own = own;
        changed
    }

    fn apply_news(&mut self, news: ControlUpdate) -> bool {
        let mut changed = false;
        if let Some(document) = news.document {
            changed |= self.apply_document(document);
        }
        for group in news.groups {
            changed |= self.apply_group(group);
        }
        if let Some(hosts) = news.hosts {
            changed |= self.apply_hosts(hosts);
        }
        changed
    }

    /// Applies a document if it is newer than the one in force, whichever
    /// source it came from.
    fn apply_document(&mut self, document: ControlDocument) -> bool {
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
                // Documents are checked before they are written, so only a
                // store written by other means holds an invalid one.
                log::error!(
                    "rejecting document version {}: {}",
                    document.version,
                    format_errors(&faults)
                );
                false
            }
        }
    }

    fn apply_group(&mut self, news: ControlGroup) -> bool {
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

    fn apply_hosts(&mut self, hosts: ControlHosts) -> bool {
        if hosts.version <= self.versions.hosts {
            return false;
        }
        self.versions.hosts = hosts.version;
        let listed = |name: &HostName| hosts.hosts.iter().any(|host| host.name == *name);
        self.suspected.retain(listed);
        self.leaving.retain(listed);
        self.listed_hosts = Arc::new(hosts.hosts);
        true
    }

    /// The view of this state: listed hosts that are not suspected, and this
    /// host.
    #[must_use]
    pub fn view(&self) -> ControlView {
        let mut table = HostTable::new();
        for host in self.listed_hosts.iter() {
            if self.suspected.contains(&host.name) {
                continue;
            }
            let mut host = host.clone();
            if self.leaving.contains(&host.name) {
                host.state = HostState::Leaving;
            }
            table.insert(host);
        }
        // The list may lag behind; this host knows its own state first-hand.
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
