//! The watch order of a fleet, and the polling tree of each data centre.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use compact_str::CompactString;
use fulmarrill_ownership::{rank_hosts, rendezvous_weight};

/// Key of the rendezvous hash that ranks hosts and data centres.
const WATCH_ORDER_KEY: &str = "watch";
/// Hosts that poll the same parent. Eight keep a parent's load flat, and the tree
/// of a data centre of 633 hosts has a depth of four.
const CHILDREN_MAX: usize = 8;

/// A host as far as spreading needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpreadHost {
    /// Name, unique in the fleet.
    pub name: CompactString,
    /// Address for other hosts, `IP:PORT`.
    pub address: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Region of the data centre.
    pub region: CompactString,
    /// Class of its processor share. Higher ones come first in the watch order.
    pub tier: u8,
}

impl SpreadHost {
    /// Creates a host.
    #[must_use]
    pub fn new(name: &str, address: &str, data_centre: &str, region: &str) -> Self {
        Self {
            name: name.into(),
            address: address.into(),
            data_centre: data_centre.into(),
            region: region.into(),
            tier: 0,
        }
    }

    /// Sets the class of the processor share.
    #[must_use]
    pub fn with_tier(mut self, tier: u8) -> Self {
        self.tier = tier;
        self
    }
}

/// The hosts in the order in which they watch the store: the first of each data
/// centre, then the second of each, and so on. A data centre that is lost or that
/// the store does not answer thus silences few of the first ones. In each data centre
/// strong hosts come first: those at the front have more to do.
#[must_use]
pub fn watch_order(hosts: Vec<SpreadHost>) -> Vec<SpreadHost> {
    let mut by_name: BTreeMap<CompactString, SpreadHost> = BTreeMap::new();
    for host in hosts {
        by_name.insert(host.name.clone(), host);
    }
    let mut data_centres: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for host in by_name.values() {
        let names = data_centres.entry(&host.data_centre).or_default();
        names.push(&host.name);
    }
    let mut positions = Vec::new();
    for (data_centre, names) in data_centres {
        let weight = rendezvous_weight(WATCH_ORDER_KEY, data_centre);
        let mut ranked = rank_hosts(WATCH_ORDER_KEY, names);
        ranked.sort_by_key(|name| by_name.get(*name).map(|host| Reverse(host.tier)));
        for (index, name) in ranked.into_iter().enumerate() {
            positions.push((index, weight, CompactString::from(name)));
        }
    }
    positions.sort_unstable();
    let mut order = Vec::new();
    for (_, _, name) in positions {
        order.extend(by_name.remove(&name));
    }
    order
}

/// Indices of the ancestors of the host at `index` among the hosts of its data
/// centre in watch order, its parent first.
pub fn tree_ancestors(index: usize) -> impl Iterator<Item = usize> {
    std::iter::successors(parent_of(index), |&index| parent_of(index))
}

fn parent_of(index: usize) -> Option<usize> {
    Some(index.checked_sub(1)? / CHILDREN_MAX)
}
