//! Versions of the lists that hosts spread.

use serde::{Deserialize, Serialize};

/// Digest of a list that was never read; it differs from that of an empty list.
pub const UNREAD_DIGEST: u64 = 0;

/// Position in the history of the store. The store may come back from an older copy:
/// then its era rises, and revisions are given out again.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Era of the store, zero if it names none.
    #[serde(rename = "e")]
    pub era: u64,
    /// Revision within the era.
    #[serde(rename = "r")]
    pub revision: u64,
}

impl StoreRevision {
    /// Creates a position.
    #[must_use]
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl From<u64> for StoreRevision {
    /// A revision of a store that names no era.
    fn from(revision: u64) -> Self {
        Self::new(0, revision)
    }
}

/// State of a list: a digest of its entries, and the store's revision at which it
/// is known to have been in this state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// Digest of the entries, [`UNREAD_DIGEST`] if the list was never read.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Revision of the store.
    #[serde(rename = "r")]
    pub revision: StoreRevision,
}

impl ListVersion {
    /// Creates a version.
    #[must_use]
    pub const fn new(digest: u64, revision: StoreRevision) -> Self {
        Self { digest, revision }
    }

    /// Whether this state should replace `held`: it differs and is newer.
    #[must_use]
    pub fn replaces(self, held: Self) -> bool {
        self.differs_from(held) && (self.revision > held.revision || held.digest == UNREAD_DIGEST)
    }

    /// Whether a list of records with versions of their own in this state may hold
    /// records that are newer than those of `held`. Such lists are merged, so
    /// states of the same revision may each have something that the other lacks.
    #[must_use]
    pub fn may_add_to(self, held: Self) -> bool {
        self.differs_from(held) && (self.revision >= held.revision || held.digest == UNREAD_DIGEST)
    }

    const fn differs_from(self, held: Self) -> bool {
        self.digest != UNREAD_DIGEST && self.digest != held.digest
    }

    /// Raises the revision to that of `other` if both are the same state. Returns
    /// whether they are.
    pub fn confirm(&mut self, other: Self) -> bool {
        let is_same = self.digest == other.digest && self.digest != UNREAD_DIGEST;
        if is_same {
            self.revision = self.revision.max(other.revision);
        }
        is_same
    }
}

/// Versions of everything that a host knows of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Latest era of the store that is known, zero if it names none.
    #[serde(rename = "e", default)]
    pub era: u64,
    /// Version of the configuration, zero if none is known.
    #[serde(rename = "c")]
    pub configuration: u64,
    /// The instances.
    #[serde(rename = "i")]
    pub instances: ListVersion,
    /// The hosts.
    #[serde(rename = "h")]
    pub hosts: ListVersion,
    /// The terms, merged record by record.
    #[serde(rename = "t")]
    pub terms: ListVersion,
}

impl KnownVersions {
    /// Whether a host that knows `held` lacks something of this.
    #[must_use]
    pub fn has_news_for(&self, held: &Self) -> bool {
        self.era > held.era
            || self.configuration > held.configuration
            || self.instances.replaces(held.instances)
            || self.hosts.replaces(held.hosts)
            || self.terms.may_add_to(held.terms)
    }
}
