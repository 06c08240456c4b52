//! Model check of the copies of a term: instances that crash together, entries that lapse,
//! instances that return, but for one at most, with one synchronous replica. The model runs the choice of the
//! instance to promote. Without any one of the guards the search finds a fault.

#[path = "support/reachability.rs"]
mod reachability;

use std::collections::BTreeSet;

use fulmarrill_position::{LogPoint, Term};
use fulmarrill_proxy::catalogue::{CopyId, InstanceEntry, TermRecord};
use fulmarrill_proxy::change::candidate::{ChangeCandidate, CommitBounds, choose_candidate};
use fulmarrill_proxy::change::copies::{copies_of_next_term, is_covered_by_rest, with_listed};
use fulmarrill_proxy::codec::{DatabaseRole, DatabaseStatus};
use reachability::{STUCK, StateChecks, search};
use rstest::rstest;

const IDS: [&str; 3] = ["a", "b", "c"];
const COMMITS_MAX: u8 = 2;
const CRASHES_MAX: u8 = 4;
const LOST: &str = "an acknowledged commit is not at the primary";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyGuard {
    /// Copies that are no longer listed are counted.
    CopiesKept,
    /// A copy is taken out once the primary confirms that the others have everything.
    Confirmed,
    /// The copies of a term go over to the next one, with its primary.
    CarriedOver,
    /// The old primary is used again if it comes back.
    OldPrimary,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelInstance {
    is_up: bool,
    is_listed: bool,
    /// Term of each commit in its log.
    log: Vec<(Term, u8)>,
}

impl ModelInstance {
    fn point(&self) -> LogPoint {
        let term = self.log.last().map_or(0, |(term, _)| *term);
        LogPoint::new(term, self.log.len() as u64)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DatabaseModel {
    instances: [ModelInstance; 3],
    term: Term,
    primary: usize,
    copies: Vec<CopyId>,
    is_changing: bool,
    commits: u8,
    crashes: u8,
    /// Instance that never comes back.
    destroyed: Option<usize>,
}

fn entry(index: usize) -> InstanceEntry {
    InstanceEntry {
        id: IDS[index].into(),
        database: "orders".into(),
        address: "127.0.0.1:1".into(),
        data_centre: "north-1".into(),
        slots: 2,
        leaving: false,
        role: DatabaseRole::Replica,
        started_ms: 0,
    }
}

impl DatabaseModel {
    fn new() -> Self {
        let instance = ModelInstance {
            is_up: true,
            is_listed: true,
            log: Vec::new(),
        };
        Self {
            instances: [instance.clone(), instance.clone(), instance],
            term: 1,
            primary: 0,
            copies: vec![CopyId::from(&entry(1)), CopyId::from(&entry(2))],
            is_changing: false,
            commits: 0,
            crashes: 0,
            destroyed: None,
        }
    }

    fn record(&self) -> TermRecord {
        TermRecord {
            database: "orders".into(),
            term: self.term,
            primary: IDS[self.primary].into(),
            fence: 1,
            holders: Vec::new(),
            changed_by: None,
            copies: self.copies.clone(),
            era: 0,
            is_settled: false,
        }
    }

    fn listed(&self) -> Vec<InstanceEntry> {
        let listed = (0..IDS.len()).filter(|index| self.instances[*index].is_listed);
        listed.map(entry).collect()
    }

    fn is_leading(&self) -> bool {
        self.instances[self.primary].is_up && !self.is_changing
    }

    /// Whether hosts are about to enter a listed instance into the record. An entry lives for
    /// longer than that takes.
    fn is_entry_due(&self) -> bool {
        with_listed(&self.record(), self.listed().iter()).is_some()
    }

    fn lead(&mut self, index: usize, without: Option<CopyGuard>) {
        let listed = self.listed();
        let record = self.record();
        self.copies = copies_of_next_term(&record, &IDS[index].into(), listed.iter());
        if without == Some(CopyGuard::CarriedOver) {
            let mut fresh = record;
            fresh.copies.clear();
            fresh.primary = IDS[index].into();
            self.copies = with_listed(&fresh, listed.iter()).unwrap_or_default();
        }
        (self.primary, self.is_changing) = (index, false);
        self.term += 1;
    }

    /// The instance that a change promotes.
    fn chosen(&self, without: Option<CopyGuard>) -> Option<usize> {
        let answers =
            |index: &usize| self.instances[*index].is_up && self.instances[*index].is_listed;
        let others = (0..IDS.len()).filter(|index| *index != self.primary);
        let entries: Vec<InstanceEntry> = others.clone().filter(answers).map(entry).collect();
        let mut candidates = Vec::new();
        for instance in &entries {
            let index = IDS.iter().position(|id| *id == instance.id)?;
            candidates.push(ChangeCandidate {
                instance,
                status: DatabaseStatus {
                    role: DatabaseRole::Replica,
                    term: self.term,
                    received: self.instances[index].point(),
                    fence_term: self.term + 1,
                },
            });
        }
        let listed = others.filter(|index| self.instances[*index].is_listed);
        let mut copies: BTreeSet<CopyId> =
            listed.map(|index| CopyId::from(&entry(index))).collect();
        if without != Some(CopyGuard::CopiesKept) {
            copies.extend(self.copies.iter().cloned());
        }
        let bounds = CommitBounds {
            floor: None,
            replicas: copies.len(),
            sync_replicas: 1,
        };
        if let Some(chosen) = choose_candidate(&candidates)
            && bounds.allow(chosen, candidates.len(), false)
        {
            return IDS.iter().position(|id| *id == chosen.instance.id);
        }
        let own = self.instances[self.primary].point();
        let is_newest = candidates.iter().all(|other| own >= other.status.received);
        let is_usable = answers(&self.primary) && is_newest;
        (is_usable && without != Some(CopyGuard::OldPrimary)).then_some(self.primary)
    }

    /// Whether a copy that is not listed may be taken out of the record.
    fn may_forget(&self, index: usize, without: Option<CopyGuard>) -> bool {
        let copy = CopyId::from(&entry(index));
        let is_gone = !self.instances[index].is_listed && self.copies.contains(&copy);
        if !is_gone || self.is_changing {
            return false;
        }
        if without == Some(CopyGuard::Confirmed) {
            return true;
        }
        let rest = (0..IDS.len()).filter(|other| {
            let other_copy = CopyId::from(&entry(*other));
            *other != index && self.copies.contains(&other_copy) && self.instances[*other].is_up
        });
        let received: Vec<LogPoint> = rest.map(|other| self.instances[other].point()).collect();
        let position = self.instances[self.primary].point();
        self.is_leading() && is_covered_by_rest(position, &received, 1)
    }

    fn next_states(&self, without: Option<CopyGuard>) -> Vec<Self> {
        let mut states = Vec::new();
        let mut push = |change: &dyn Fn(&mut Self)| {
            let mut next = self.clone();
            change(&mut next);
            states.push(next);
        };
        let log = self.instances[self.primary].log.clone();
        for (index, instance) in self.instances.iter().enumerate() {
            let receives = index != self.primary && instance.is_up && self.is_leading();
            if receives && self.commits < COMMITS_MAX {
                push(&|next| {
                    next.commits += 1;
                    let commit = (next.term, next.commits);
                    next.instances[next.primary].log.push(commit);
                    let log = next.instances[next.primary].log.clone();
                    next.instances[index].log = log;
                });
            }
            if receives && instance.log != log {
                push(&|next| next.instances[index].log.clone_from(&log));
            }
            if instance.is_up && self.crashes < CRASHES_MAX {
                push(&|next| {
                    next.crashes += 1;
                    next.instances[index].is_up = false;
                });
            }
            if !instance.is_up && self.destroyed.is_none() {
                push(&|next| next.destroyed = Some(index));
            }
            if !instance.is_up && self.destroyed != Some(index) {
                push(&|next| {
                    next.instances[index].is_up = true;
                    next.instances[index].is_listed = true;
                });
            }
            if !instance.is_up && instance.is_listed && !self.is_entry_due() {
                push(&|next| next.instances[index].is_listed = false);
            }
            if self.may_forget(index, without) {
                push(&|next| next.copies.retain(|copy| copy.id != IDS[index]));
            }
        }
        if !self.is_changing && self.is_entry_due() {
            let copies = with_listed(&self.record(), self.listed().iter()).unwrap_or_default();
            push(&|next| next.copies.clone_from(&copies));
        }
        if !self.is_changing && !self.instances[self.primary].is_up {
            push(&|next| next.is_changing = true);
        }
        if self.is_changing
            && let Some(index) = self.chosen(without)
        {
            push(&|next| next.lead(index, without));
        }
        states
    }

    fn has_lost(&self) -> bool {
        let log = &self.instances[self.primary].log;
        let has = |commit: u8| log.iter().any(|(_, number)| *number == commit);
        (1..=self.commits).any(|commit| !has(commit))
    }
}

fn fault_without(without: Option<CopyGuard>) -> Option<&'static str> {
    let checks = StateChecks {
        broken: |state: &DatabaseModel| state.has_lost().then_some(LOST),
        is_served: DatabaseModel::is_leading,
        is_judged: |_| true,
    };
    let next_states = |state: &DatabaseModel| state.next_states(without);
    search(DatabaseModel::new(), next_states, &checks).0
}

#[test]
fn no_acknowledged_commit_is_lost_and_the_database_is_served_again() {
    assert_eq!(fault_without(None), None);
}

#[rstest]
#[case::copies_kept(CopyGuard::CopiesKept, LOST)]
#[case::confirmed(CopyGuard::Confirmed, LOST)]
#[case::carried_over(CopyGuard::CarriedOver, LOST)]
#[case::old_primary(CopyGuard::OldPrimary, STUCK)]
fn search_finds_fault_without_guard(#[case] guard: CopyGuard, #[case] fault: &str) {
    assert_eq!(fault_without(Some(guard)), Some(fault));
}
