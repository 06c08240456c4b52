//! The hosts of the fleet and the owners computed from them.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::rendezvous::{rank_hosts, rendezvous_weight};

/// Name of a host, unique in the fleet.
pub type HostName = CompactString;

/// Whether a host accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Accepts callers and owns instances.
    Live,
    /// Finishes its work in progress and owns no instances.
    Leaving,
}

/// A host as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: HostName,
    /// Data centre of the host.
    pub data_centre: CompactString,
    /// Region of that data centre.
    pub region: CompactString,
    /// Address for connections from other hosts, `IP:PORT`.
    #[serde(default)]
    pub peer_address: CompactString,
    /// Address of the operators' port, `IP:PORT`.
    #[serde(default)]
    pub operator_address: CompactString,
    /// Whether the host accepts new work.
    pub state: HostState,
}

impl HostEntry {
    /// Creates a live host without addresses.
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

/// The hosts known to one host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostTable {
    hosts: BTreeMap<HostName, HostEntry>,
}

impl HostTable {
    /// Creates an empty table.
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

    /// All hosts in order of name.
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

    /// The owner of an instance: the live host with the highest weight in its data
    /// centre, else in its region, else anywhere.
    #[must_use]
    pub fn owner_of(&self, instance: &str, data_centre: &str, region: &str) -> Option<&HostEntry> {
        let same_data_centre =
            self.highest_weight(instance, |host| host.data_centre == data_centre);
        let same_region = || self.highest_weight(instance, |host| host.region == region);
        let any = || self.highest_weight(instance, |_| true);
        same_data_centre.or_else(same_region).or_else(any)
    }

    /// The hosts that monitor a database group and may change its primary, in the
    /// order in which they act: at most `count`, with one host of each data
    /// centre before a second host of any.
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

    fn highest_weight(
        &self,
        key: &str,
        is_eligible: impl Fn(&HostEntry) -> bool,
    ) -> Option<&HostEntry> {
        let live = self
            .hosts
            .values()
            .filter(|host| host.state == HostState::Live);
        live.filter(|host| is_eligible(host))
            .max_by_key(|host| rendezvous_weight(key, &host.name))
    }
}
