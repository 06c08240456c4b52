//! What a view derives once from its lists, so that a statement costs the same
//! however many hosts and instances there are.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, OnceLock};

use compact_str::CompactString;
use fulmarrill_ownership::{rank_hosts, rendezvous_weight};
use fulmarrill_position::DatabaseName;

use crate::catalogue::{HostEntry, HostName, HostTier, InstanceEntry, InstanceId};

/// Preferred owners of an instance that are kept. More are only needed while all of
/// these cannot be reached.
const OWNERS_KEPT: usize = 8;

/// Instances that one strong host may own on average before weaker hosts of its data
/// centre are used as well.
const INSTANCES_PER_OWNER_MAX: usize = 8;
/// Least number of preferred owners in a data centre, so that the loss of one is no
/// loss of all.
const OWNERS_MIN: usize = 2;

/// Instances by database, and the preferred owners of each instance.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    hosts: Arc<BTreeMap<HostName, HostEntry>>,
    databases: HashMap<DatabaseName, Vec<InstanceId>>,
    /// The lowest class of hosts of each data centre that are preferred as owners.
    owner_tiers: OwnerTiers,
    /// Computed for an instance when it is used for the first time.
    owners: HashMap<InstanceId, OnceLock<Vec<HostEntry>>>,
    /// The first owner of each instance, computed when a rate limit is used for the first
    /// time.
    first_owners: OnceLock<Vec<HostName>>,
}

impl RouteIndex {
    /// Indexes the instances and the hosts that take new work.
    #[must_use]
    pub fn new(
        hosts: &Arc<BTreeMap<HostName, HostEntry>>,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
    ) -> Self {
        let mut index = Self {
            hosts: hosts.clone(),
            owner_tiers: owner_tiers(hosts, instances),
            ..Self::default()
        };
        for instance in instances.values() {
            let ids = index.databases.entry(instance.database.clone());
            ids.or_default().push(instance.id.clone());
            index.owners.insert(instance.id.clone(), OnceLock::new());
        }
        index
    }

    /// The instances of a database.
    #[must_use]
    pub fn instances_of(&self, database: &str) -> &[InstanceId] {
        self.databases.get(database).map_or(&[], Vec::as_slice)
    }

    /// The first hosts in the order of preference as owner of an instance. `region`
    /// is the region of the instance.
    #[must_use]
    pub fn preferred_owners(&self, instance: &InstanceEntry, region: Option<&str>) -> &[HostEntry] {
        let Some(owners) = self.owners.get(&instance.id) else {
            return &[];
        };
        owners.get_or_init(|| {
            let candidates = self.all_candidates(instance, region);
            candidates.into_iter().take(OWNERS_KEPT).cloned().collect()
        })
    }

    /// The hosts that are the first in the order of preference as owner of some instance,
    /// by name.
    #[must_use]
    pub fn first_owners(
        &self,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
        regions: &BTreeMap<CompactString, CompactString>,
    ) -> &[HostName] {
        self.first_owners.get_or_init(|| {
            // In a large fleet, the order of all hosts for each instance takes seconds.
            let mut strong: HashMap<&str, Vec<&HostName>> = HashMap::new();
            for host in self.hosts.values() {
                if self.is_strong(host) {
                    strong
                        .entry(&host.data_centre)
                        .or_default()
                        .push(&host.name);
                }
            }
            let mut owners = BTreeSet::new();
            for instance in instances.values() {
                let near = strong.get(instance.data_centre.as_str());
                let first = near.into_iter().flatten().copied().max_by_key(|host| {
                    let weight = rendezvous_weight(&instance.id, host);
                    (weight, *host)
                });
                let region = regions.get(&instance.data_centre);
                let distant = || {
                    let region = region.map(CompactString::as_str);
                    let candidates = self.all_candidates(instance, region);
                    candidates.first().map(|host| &host.name)
                };
                owners.extend(first.or_else(distant).cloned());
            }
            owners.into_iter().collect()
        })
    }

    fn is_strong(&self, host: &HostEntry) -> bool {
        let tier = self.owner_tiers.get(&host.data_centre).copied();
        host.tier >= tier.unwrap_or_default()
    }

    /// All hosts in the order of preference as owner of an instance: those of its data
    /// centre first, then those of its region, then all others; among these the strong
    /// ones first.
    #[must_use]
    pub fn all_candidates(
        &self,
        instance: &InstanceEntry,
        region: Option<&str>,
    ) -> Vec<&HostEntry> {
        let mut ranked: Vec<&HostEntry> = Vec::new();
        for name in rank_hosts(&instance.id, self.hosts.keys().map(HostName::as_str)) {
            ranked.extend(self.hosts.get(name));
        }
        ranked.sort_by_key(|host| {
            let same_data_centre = host.data_centre == instance.data_centre;
            let same_region = region.is_some_and(|region| host.region == region);
            (!same_data_centre, !same_region, !self.is_strong(host))
        });
        ranked
    }
}

/// Class of hosts by data centre.
type OwnerTiers = HashMap<CompactString, HostTier>;

/// The lowest class of hosts of each data centre that are preferred as owners: the
/// highest one that has enough hosts for the instances there. Every entry has a link
/// to every owner, so few strong owners spare a large fleet most of its links, and an
/// overload of an instance meets a host that can bear it.
fn owner_tiers(
    hosts: &BTreeMap<HostName, HostEntry>,
    instances: &BTreeMap<InstanceId, InstanceEntry>,
) -> OwnerTiers {
    let mut instance_counts: HashMap<&CompactString, usize> = HashMap::new();
    for instance in instances.values() {
        *instance_counts.entry(&instance.data_centre).or_default() += 1;
    }
    let mut tiers: HashMap<&CompactString, Vec<HostTier>> = HashMap::new();
    for host in hosts.values() {
        tiers.entry(&host.data_centre).or_default().push(host.tier);
    }
    let mut lowest = OwnerTiers::new();
    for (data_centre, mut tiers) in tiers {
        tiers.sort_unstable_by(|a, b| b.cmp(a));
        let instances = instance_counts
            .get(data_centre)
            .copied()
            .unwrap_or_default();
        let needed = instances.div_ceil(INSTANCES_PER_OWNER_MAX).max(OWNERS_MIN);
        let tier = tiers.get(needed - 1).copied().unwrap_or_default();
        lowest.insert(data_centre.clone(), tier);
    }
    lowest
}

/// Index of the host `own` in the order of all hosts for `key`, which
/// [`rank_hosts`] gives.
#[must_use]
pub fn rank_of(key: &str, hosts: &BTreeMap<HostName, HostEntry>, own: &str) -> usize {
    let weight = (rendezvous_weight(key, own), own);
    let others = hosts.keys().map(HostName::as_str);
    others
        .filter(|name| (rendezvous_weight(key, name), *name) > weight)
        .count()
}
