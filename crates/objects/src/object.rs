//! Types in the requests and responses of the platform's object API.

use std::fmt;

use compact_str::CompactString;
use fulmarrill_ownership::HostEntry;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Version of an object or a list. The store increases it with every change.
pub type ObjectVersion = u64;

/// Kind and name of an object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey {
    /// Kind, such as `group`.
    pub kind: CompactString,
    /// Name within the kind.
    pub name: CompactString,
}

impl ObjectKey {
    /// Creates a key. Neither part may contain a slash; this is not checked.
    #[must_use]
    pub fn new(kind: &str, name: &str) -> Self {
        Self {
            kind: kind.into(),
            name: name.into(),
        }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An object as it is stored, with its version.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct StoredObject {
    /// Name within the kind.
    pub name: CompactString,
    /// Version of the last change.
    pub version: ObjectVersion,
    /// JSON value of the object.
    pub value: Value,
}

/// Objects of one kind.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct ObjectList {
    /// Highest version among all objects of the kind.
    pub version: ObjectVersion,
    /// Objects that changed after the requested version.
    pub objects: Vec<StoredObject>,
}

/// Body of a conditional update.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct PutRequest {
    /// Version that the object must have; 0 when it must not exist.
    pub if_version: ObjectVersion,
    /// New JSON value of the object.
    pub value: Value,
}

/// Outcome of a conditional update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum PutResult {
    /// The update was applied and created this version.
    #[serde(rename = "version")]
    Written(ObjectVersion),
    /// The object is at this version instead; nothing was changed.
    #[serde(rename = "conflict")]
    Conflict(ObjectVersion),
}

/// The platform's list of hosts.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
pub struct HostList {
    /// Version of the list.
    pub version: ObjectVersion,
    /// Hosts that are live or leaving.
    pub hosts: Vec<HostEntry>,
}
