//! Chooses the instance to promote. Performs no I/O.

use fulmarrill_position::LogPoint;

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

/// What is known of the commits that the new primary must have.
#[derive(Debug, Clone, Copy)]
pub struct CommitBounds {
    /// Position of the old primary when it stepped down, if it did.
    pub floor: Option<LogPoint>,
    /// Instances other than the old primary that may hold an acknowledged commit.
    pub replicas: usize,
    /// Replicas that have received a commit when it is acknowledged.
    pub sync_replicas: usize,
}

impl CommitBounds {
    /// Whether the newest of `count` replicas has every acknowledged commit. Each
    /// commit is on `sync_replicas` of them, so one of any `required` has it.
    fn is_covered_by(&self, count: usize) -> bool {
        let required = (self.replicas + 1).saturating_sub(self.sync_replicas);
        self.sync_replicas > 0 && count >= required.max(1)
    }

    /// Whether the candidate chosen among `count` may be promoted. If the old primary
    /// stepped down, `may_wait` says whether replicas have time to receive its log.
    #[must_use]
    pub fn allow(&self, chosen: &ChangeCandidate<'_>, count: usize, may_wait: bool) -> bool {
        if self
            .floor
            .is_some_and(|floor| chosen.status.received >= floor)
        {
            return true;
        }
        !may_wait && (self.sync_replicas == 0 || self.is_covered_by(count))
    }
}

/// The candidate with the newest received position, by term first and position
/// second. Among equals one that is not leaving is preferred, and then the one with
/// the highest instance id.
#[must_use]
pub fn choose_candidate<'a, 'b>(
    candidates: &'b [ChangeCandidate<'a>],
) -> Option<&'b ChangeCandidate<'a>> {
    candidates.iter().max_by_key(|candidate| {
        let instance = candidate.instance;
        (candidate.status.received, !instance.leaving, &instance.id)
    })
}
