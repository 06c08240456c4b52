//! Database groups: their instances, term and primary.

use compact_str::CompactString;
use fulmarrill_position::{DatabaseName, InstanceName, Term};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An instance of a group, as described by the platform's object.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct GroupInstance {
    /// Name, unique in the fleet.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: CompactString,
    /// Region of that data centre.
    pub region: CompactString,
    /// Address of the PostgreSQL port, `IP:PORT`.
    pub address: CompactString,
    /// Number of statements that the instance runs concurrently.
    pub slots: usize,
    /// Number of connections that the instance accepts from all clients together.
    pub connection_limit: usize,
    /// Whether the instance is about to be removed and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

impl GroupInstance {
    /// Creates an instance with one slot, two connections and no address.
    #[must_use]
    pub fn new(name: &str, data_centre: &str, region: &str) -> Self {
        Self {
            name: name.into(),
            data_centre: data_centre.into(),
            region: region.into(),
            address: CompactString::default(),
            slots: 1,
            connection_limit: 2,
            leaving: false,
        }
    }

    /// Sets the address of the PostgreSQL port.
    #[must_use]
    pub fn with_address(mut self, address: &str) -> Self {
        self.address = address.into();
        self
    }

    /// Sets the number of slots and the connection limit.
    #[must_use]
    pub fn with_limits(mut self, slots: usize, connection_limit: usize) -> Self {
        self.slots = slots;
        self.connection_limit = connection_limit;
        self
    }
}

/// A database group as kept in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct DatabaseGroup {
    /// Name of the database.
    pub database: DatabaseName,
    /// Highest reserved term.
    pub term: Term,
    /// Primary of `term`; `None` while a promotion is in progress.
    pub primary: Option<InstanceName>,
    /// All instances, in the stored order.
    pub instances: Vec<GroupInstance>,
    /// Unique id of the last change. After a lost response, the writer uses it to
    /// determine whether the change took effect.
    #[serde(default)]
    pub change_id: CompactString,
}

/// Why a change of a group's instances is rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum GroupError {
    /// The instance to add is already in the group.
    #[error("instance {0:?} is already in the group")]
    Present(InstanceName),
    /// The instance to remove is not in the group.
    #[error("instance {0:?} is not in the group")]
    Absent(InstanceName),
    /// The instance to remove is the primary, which must be replaced first.
    #[error("instance {0:?} is the primary; change the primary first")]
    IsPrimary(InstanceName),
    /// A promotion is in progress; instances may change only between promotions.
    #[error("a change of primary is under way at term {0}")]
    Promoting(Term),
}

impl DatabaseGroup {
    /// Creates a group with a named primary but no instances yet.
    #[must_use]
    pub fn new(database: &str, term: Term, primary: &str) -> Self {
        Self {
            database: database.into(),
            term,
            primary: Some(primary.into()),
            instances: Vec::new(),
            change_id: CompactString::default(),
        }
    }

    /// Adds an instance during construction, without checks.
    #[must_use]
    pub fn with_instance(mut self, instance: GroupInstance) -> Self {
        self.instances.push(instance);
        self
    }

    /// Number of instances that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.instances.len() / 2 + 1
    }

    /// Looks an instance up by its name.
    #[must_use]
    pub fn instance(&self, name: &str) -> Option<&GroupInstance> {
        self.instances.iter().find(|instance| instance.name == name)
    }

    /// The instance that is the primary, if the group has one.
    #[must_use]
    pub fn primary_instance(&self) -> Option<&GroupInstance> {
        self.primary.as_ref().and_then(|name| self.instance(name))
    }

    /// Adds one instance. Because only one instance changes at a time, any majority
    /// before the change overlaps any majority after it.
    ///
    /// # Errors
    ///
    /// Returns a [`GroupError`] if the instance is already in the group or a
    /// promotion is in progress.
    pub fn add_instance(&mut self, instance: GroupInstance) -> Result<(), GroupError> {
        self.check_not_promoting()?;
        if self.instance(&instance.name).is_some() {
            return Err(GroupError::Present(instance.name));
        }
        self.instances.push(instance);
        Ok(())
    }

    /// Removes one instance that is not the primary.
    ///
    /// # Errors
    ///
    /// Returns a [`GroupError`] if the instance is not in the group or is the
    /// primary, or if a promotion is in progress.
    pub fn remove_instance(&mut self, name: &str) -> Result<(), GroupError> {
        self.check_not_promoting()?;
        if self.primary.as_deref() == Some(name) {
            return Err(GroupError::IsPrimary(name.into()));
        }
        let before = self.instances.len();
        self.instances.retain(|instance| instance.name != name);
        if self.instances.len() == before {
            return Err(GroupError::Absent(name.into()));
        }
        Ok(())
    }

    fn check_not_promoting(&self) -> Result<(), GroupError> {
        if self.primary.is_none() {
            return Err(GroupError::Promoting(self.term));
        }
        Ok(())
    }
}
