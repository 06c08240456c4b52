//! Chooses the instance to promote. Performs no I/O.

use crate::catalogue::InstanceEntry;
use crate::codec::DatabaseStatus;

/// An instance that could be promoted, with the status that it reported.
#[derive(Debug, Clone, Copy)]
pub struct ChangeCandidate<'a> {
    /// The instance.
    pub instance: &'a InstanceEntry,
    /// Status that it reported.
    pub status: DatabaseStatus,
}

/// The candidate with the newest received position, by term first and position
/// second. Among equals the highest instance id wins.
#[must_use]
pub fn choose_candidate<'a, 'b>(
    candidates: &'b [ChangeCandidate<'a>],
) -> Option<&'b ChangeCandidate<'a>> {
    candidates
        .iter()
        .max_by_key(|candidate| (candidate.status.received, &candidate.instance.id))
}
