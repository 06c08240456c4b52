//! The hosts of the fleet and the owners that follow from them.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::rendezvous::{rank_hosts, rendezvous_score};

/// Name of a host, unique in the fleet.
pub type HostName = CompactString;

/// Whether a host takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Takes callers and owns instances.
    Live,
    /// Finishes what it has and owns nothing.
    Leaving,
}

/// One host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: HostName,
    /// Data centre that it stands in.
    pub data_centre: CompactString,
    /// Region of that data centre.
    pub region: CompactString,
    /// Address for links from other hosts, `IP:PORT`.
    #[serde(default)]
    pub peer_address: CompactString,
    /// Address of the operators' port, `IP:PORT`.
    #[serde(default)]
    pub operator_address: CompactString,
    /// Whether it takes new work.
    pub state: HostState,
}

impl HostEntry {
    /// A live host without addresses.
    #[must_use]
    pub fn new(name: &str, data_centre: &str, region: &str) -> Self {
        Self {
            name: name.into(),
            data_centre: data_centre.into(),
            region: region.into(),
            peer_address: CompactString::default(),
            operator_address: CompactString::default(),
            state: HostState::Live,
        }
    }

    /// Sets the addresses of the peer port and of the operators' port.
    #[must_use]
    pub fn with_addresses(mut self, peer: &str, operator: &str) -> Self {
        self.peer_address = peer.into();
        self.operator_address = operator.into();
        self
    }
}

/// The hosts that one host knows of.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostTable {
    hosts: BTreeMap<HostName, HostEntry>,
}

impl HostTable {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a host or replaces its entry.
    pub fn insert(&mut self, host: HostEntry) {
        self.hosts.insert(host.name.clone(), host);
    }

    /// Removes a host.
    pub fn remove(&mut self, name: &str) {
        self.hosts.remove(name);
    }

    /// Looks a host up by its name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&HostEntry> {
        self.hosts.get(name)
    }

    /// All hosts in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.values()
    }

    /// Number of hosts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The owner of an instance: a live host of its data centre, else of its
    /// region, else any.
    #[must_use]
    pub fn owner_of(&self, instance: &str, data_centre: &str, region: &str) -> Option<&HostEntry> {
        let local = self.best(instance, |host| host.data_centre == data_centre);
        let near = || self.best(instance, |host| host.region == region);
        let any = || self.best(instance, |_| true);
        local.or_else(near).or_else(any)
    }

    /// The hosts that watch over a database group and may change its primary,
    /// in the order in which they act: at most `count`, one per data centre
    /// before a second one of any.
    #[must_use]
    pub fn coordinators_of(&self, database: &str, count: usize) -> Vec<&HostEntry> {
        let live = self
            .hosts
            .values()
            .filter(|host| host.state == HostState::Live);
        let ranked = rank_hosts(database, live.map(|host| host.name.as_str()));
        let mut chosen: Vec<&HostEntry> = Vec::new();
        let mut others = Vec::new();
        for name in ranked {
            let host = &self.hosts[name];
            if chosen
                .iter()
                .any(|other| other.data_centre == host.data_centre)
            {
                others.push(host);
                continue;
            }
            chosen.push(host);
        }
        chosen.extend(others);
        chosen.truncate(count);
        chosen
    }

    fn best(&self, key: &str, fits: impl Fn(&HostEntry) -> bool) -> Option<&HostEntry> {
        let live = self
            .hosts
            .values()
            .filter(|host| host.state == HostState::Live);
        live.filter(|host| fits(host))
            .max_by_key(|host| rendezvous_score(key, &host.name))
    }
}
