//! Immutable views of the control state, by which traffic is routed.

use std::collections::BTreeMap;
use std::sync::Arc;

use fulmarrill_document::OperatorDocument;
use fulmarrill_ownership::{HostEntry, HostTable};
use fulmarrill_peer::ControlVersions;
use fulmarrill_position::DatabaseName;
use fulmarrill_replication::{DatabaseGroup, GroupInstance};
use fulmarrill_runtime::PublishedCell;

/// A group with its version in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedGroup {
    /// Version in the store.
    pub version: u64,
    /// Description of the group.
    pub group: DatabaseGroup,
}

/// Control state that is needed for routing, as of one moment.
#[derive(Debug, Clone)]
pub struct ControlView {
    /// Versions of the configuration in force.
    pub versions: ControlVersions,
    /// Operators' document in force.
    pub document: Arc<OperatorDocument>,
    /// Text of that document.
    pub document_text: Arc<str>,
    /// Database groups, by database.
    pub groups: BTreeMap<DatabaseName, Arc<VersionedGroup>>,
    /// Hosts in the platform's list.
    pub listed_hosts: Arc<Vec<HostEntry>>,
    /// Listed hosts that are not suspected, and this host.
    pub hosts: HostTable,
}

impl ControlView {
    /// The view of a host that has no configuration yet.
    #[must_use]
    pub fn initial() -> Self {
        Self {
            versions: ControlVersions::default(),
            document: Arc::new(OperatorDocument::initial()),
            document_text: Arc::from(""),
            groups: BTreeMap::new(),
            listed_hosts: Arc::default(),
            hosts: HostTable::new(),
        }
    }

    /// The group of a database.
    #[must_use]
    pub fn group(&self, database: &str) -> Option<&Arc<VersionedGroup>> {
        self.groups.get(database)
    }

    /// The host that owns an instance, if there is any.
    #[must_use]
    pub fn owner_of(&self, instance: &GroupInstance) -> Option<&HostEntry> {
        self.hosts
            .owner_of(&instance.name, &instance.data_centre, &instance.region)
    }

    /// Finds an instance and its group by the instance's name.
    #[must_use]
    pub fn find_instance(&self, name: &str) -> Option<(&Arc<VersionedGroup>, &GroupInstance)> {
        for group in self.groups.values() {
            if let Some(instance) = group.group.instance(name) {
                return Some((group, instance));
            }
        }
        None
    }
}

/// The cell in which the control thread publishes views.
pub type ViewCell = PublishedCell<ControlView>;
