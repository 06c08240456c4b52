//! What a view derives once from its lists, so that a statement costs the same
//! however many hosts and instances there are.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, OnceLock};

use fulmarrill_ownership::{rank_hosts, rendezvous_weight};
use fulmarrill_position::DatabaseName;

use crate::catalogue::{HostEntry, HostName, InstanceEntry, InstanceId};

/// Preferred owners of an instance that are kept. More are only needed while all of
/// these cannot be reached.
const OWNERS_KEPT: usize = 8;

/// Instances by database, and the preferred owners of each instance.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    hosts: Arc<BTreeMap<HostName, HostEntry>>,
    databases: HashMap<DatabaseName, Vec<InstanceId>>,
    /// Computed for an instance when it is used for the first time.
    owners: HashMap<InstanceId, OnceLock<Vec<HostEntry>>>,
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
            let candidates = all_candidates(&self.hosts, instance, region);
            candidates.into_iter().take(OWNERS_KEPT).cloned().collect()
        })
    }
}

/// All hosts in the order of preference as owner of an instance: those of its data
/// centre first, then those of its region, then all others.
#[must_use]
pub fn all_candidates<'a>(
    hosts: &'a BTreeMap<HostName, HostEntry>,
    instance: &InstanceEntry,
    region: Option<&str>,
) -> Vec<&'a HostEntry> {
    let mut ranked: Vec<&HostEntry> = Vec::new();
    for name in rank_hosts(&instance.id, hosts.keys().map(HostName::as_str)) {
        ranked.extend(hosts.get(name));
    }
    ranked.sort_by_key(|host| {
        let same_data_centre = host.data_centre == instance.data_centre;
        let same_region = region.is_some_and(|region| host.region == region);
        (!same_data_centre, !same_region)
    });
    ranked
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
