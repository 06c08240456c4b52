//! Which instance takes over. Pure.

use crate::catalogue::InstanceEntry;
use crate::codec::DatabaseStatus;

/// An instance that could take over, and what it says of itself.
#[derive(Debug, Clone, Copy)]
pub struct ChangeCandidate<'a> {
    /// The instance.
    pub instance: &'a InstanceEntry,
    /// Its status.
    pub status: DatabaseStatus,
}

/// The candidate with the newest log, by term first and number second.
#[must_use]
pub fn choose_candidate<'a, 'b>(
    candidates: &'b [ChangeCandidate<'a>],
) -> Option<&'b ChangeCandidate<'a>> {
    candidates
        .iter()
        .max_by_key(|candidate| (candidate.status.received, &candidate.instance.id))
}
