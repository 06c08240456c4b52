//! A database group: its instances, its term and its primary.

use compact_str::CompactString;
use fulmarrill_position::{DatabaseName, InstanceName, Term};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One instance of a group, as the platform's object describes it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct GroupInstance {
    /// Name, unique in the fleet.
    pub name: InstanceName,
    /// Data centre that it stands in.
    pub data_centre: CompactString,
    /// Region of that data centre.
    pub region: CompactString,
    /// Address of its PostgreSQL port, `IP:PORT`.
    pub address: CompactString,
    /// Statements that it runs at the same time.
    pub slots: usize,
    /// Connections that it accepts from everybody together.
    pub connection_limit: usize,
    /// Whether it is about to be taken away: it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

impl GroupInstance {
    /// An instance with one slot and two connections at no address yet.
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

    /// Sets the number of slots and of connections.
    #[must_use]
    pub fn with_limits(mut self, slots: usize, connection_limit: usize) -> Self {
        self.slots = slots;
        self.connection_limit = connection_limit;
        self
    }
}

/// A database group as it is kept in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct DatabaseGroup {
    /// Name of the database.
    pub database: DatabaseName,
    /// Highest term that was reserved.
    pub term: Term,
    /// Primary of `term`; none while a promotion is under way.
    pub primary: Option<InstanceName>,
    /// All instances, in the order of the store.
    pub instances: Vec<GroupInstance>,
    /// Unique id of the last change, by which its writer finds out whether a
    /// change with a lost answer took effect.
    #[serde(default)]
    pub change_id: CompactString,
}

/// Why a group cannot be changed as asked.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum GroupError {
    /// The instance to add is already there.
    #[error("instance {0:?} is already in the group")]
    Present(InstanceName),
    /// The instance to remove is not there.
    #[error("instance {0:?} is not in the group")]
    Absent(InstanceName),
    /// The primary cannot be removed before a change of primary.
    #[error("instance {0:?} is the primary; change the primary first")]
    IsPrimary(InstanceName),
    /// Members are changed only between two changes of primary.
    #[error("a change of primary is under way at term {0}")]
    Promoting(Term),
}

impl DatabaseGroup {
    /// A group without instances whose primary will be `primary`.
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

    /// Adds an instance while the group is being built.
    #[must_use]
    pub fn with_instance(mut self, instance: GroupInstance) -> Self {
        self.instances.push(instance);
        self
    }

    /// Number of instances that make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.instances.len() / 2 + 1
    }

    /// Looks an instance up by its name.
    #[must_use]
    pub fn instance(&self, name: &str) -> Option<&GroupInstance> {
        self.instances.iter().find(|instance| instance.name == name)
    }

    /// The primary's entry, if there is a primary.
    #[must_use]
    pub fn primary_instance(&self) -> Option<&GroupInstance> {
        self.primary.as_ref().and_then(|name| self.instance(name))
    }

    /// Adds one instance. Majorities before and after overlap, since only one
    /// instance changes at a time.
    ///
    /// # Errors
    ///
    /// When the instance is there already or a promotion is under way.
    pub fn add_instance(&mut self, instance: GroupInstance) -> Result<(), GroupError> {
        self.check_settled()?;
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
    /// When it is absent, is the primary, or a promotion is under way.
    pub fn remove_instance(&mut self, name: &str) -> Result<(), GroupError> {
        self.check_settled()?;
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

    fn check_settled(&self) -> Result<(), GroupError> {
        if self.primary.is_none() {
            return Err(GroupError::Promoting(self.term));
        }
        Ok(())
    }
}
