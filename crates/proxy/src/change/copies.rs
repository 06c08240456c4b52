//! Which instances may hold acknowledged commits that a new primary must have. Performs no I/O.
//!
//! With synchronous replicas a commit is acknowledged once enough replicas have it, whichever
//! these are. An instance that is no longer listed may hold one all the same, so the term record
//! names every instance that may. One is left out only once the primary's log is known to be
//! on enough of the others.

use fulmarrill_position::LogPoint;

use crate::catalogue::{CopyId, InstanceEntry, InstanceId, TermRecord};

/// The copies after an instance took the lead: those of the term before, its primary, and the
/// listed instances.
#[must_use]
pub fn copies_of_next_term<'a>(
    record: &TermRecord,
    primary: &InstanceId,
    listed: impl Iterator<Item = &'a InstanceEntry>,
) -> Vec<CopyId> {
    let mut copies = record.copies.clone();
    for instance in listed {
        add_copy(&mut copies, CopyId::from(instance));
    }
    let has_old_primary = copies.iter().any(|copy| copy.id == record.primary);
    if !has_old_primary {
        copies.push(CopyId {
            id: record.primary.clone(),
            started_ms: 0,
        });
    }
    copies.retain(|copy| copy.id != *primary);
    copies
}

fn add_copy(copies: &mut Vec<CopyId>, copy: CopyId) {
    if !copies.contains(&copy) {
        copies.push(copy);
    }
}

/// The copies of a record with the listed instances that it lacks; `None` if it lacks none.
#[must_use]
pub fn with_listed<'a>(
    record: &TermRecord,
    listed: impl Iterator<Item = &'a InstanceEntry>,
) -> Option<Vec<CopyId>> {
    let mut copies = record.copies.clone();
    for instance in listed.filter(|instance| instance.id != record.primary) {
        add_copy(&mut copies, CopyId::from(instance));
    }
    (copies.len() > record.copies.len()).then_some(copies)
}

/// Whether every commit up to `primary`, the position of the primary, is on enough of the
/// replicas at `received` that no other copy is needed.
#[must_use]
pub fn is_covered_by_rest(primary: LogPoint, received: &[LogPoint], sync_replicas: usize) -> bool {
    let covering = received.iter().filter(|point| **point >= primary).count();
    covering >= sync_replicas.min(received.len()) && !received.is_empty()
}
