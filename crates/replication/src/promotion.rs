//! The steps of a change of primary.
//!
//! Reserve the next term in the store, fence a majority at it, promote the
//! fenced instance with the newest log, publish it. Each step may fail or its
//! answer may be lost; a plan that stops half way is harmless, since a later
//! plan reserves a later term and starts from the fences.

use std::collections::BTreeMap;

use fulmarrill_position::{InstanceName, InstanceStatus, LogPoint, Term};

use crate::group::DatabaseGroup;

/// What the plan wants done. Each is idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionAction {
    /// Write the group with the next term and no primary to the store, on the
    /// condition that nobody changed it.
    Reserve(DatabaseGroup),
    /// Fence one instance at the term.
    Fence(InstanceName, Term),
    /// Make the instance the primary of the term.
    Promote(InstanceName, Term),
    /// Write the group with its new primary to the store, on the condition
    /// that nobody changed it.
    Publish(DatabaseGroup),
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionEvent {
    /// The reservation took effect.
    Reserved,
    /// Somebody else changed the group first, or the store cannot be reached.
    StoreRefused,
    /// An instance was fenced and reports its log.
    Fenced(InstanceName, InstanceStatus),
    /// An instance did not answer, or was already fenced at a later term.
    FenceFailed(InstanceName),
    /// The chosen instance is the primary now.
    Promoted(InstanceName),
    /// The chosen instance did not take the role.
    PromoteFailed(InstanceName),
    /// The publication took effect.
    Published,
}

/// How a plan ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The instance is the primary of the term and the store says so.
    Done(InstanceName, Term),
    /// Somebody else changed the group.
    Superseded,
    /// Fewer than a majority could be fenced.
    NoMajority,
    /// None of the fenced instances took the role.
    NoCandidate,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlanStep {
    Reserving,
    Fencing,
    Promoting,
    Publishing,
    Ended,
}

/// One attempt at a change of primary.
#[derive(Debug, Clone)]
pub struct PromotionPlan {
    group: DatabaseGroup,
    step: PlanStep,
    fenced: BTreeMap<InstanceName, InstanceStatus>,
    failed: Vec<InstanceName>,
    replaced: Option<InstanceName>,
    outcome: Option<PromotionOutcome>,
}

impl PromotionPlan {
    /// A plan for the term after the group's, under a unique change id.
    ///
    /// The present primary is passed over if the others are a majority by
    /// themselves: a primary that was cut off often has the newest log, of
    /// entries that nobody confirmed, and promoting it again changes nothing.
    #[must_use]
    pub fn new(mut group: DatabaseGroup, change_id: &str) -> Self {
        group.term += 1;
        let replaced = group.primary.take();
        group.change_id = change_id.into();
        Self {
            group,
            step: PlanStep::Reserving,
            fenced: BTreeMap::new(),
            failed: Vec::new(),
            replaced,
            outcome: None,
        }
    }

    /// The first action.
    #[must_use]
    pub fn start(&self) -> PromotionAction {
        PromotionAction::Reserve(self.group.clone())
    }

    /// The group as this plan would have it.
    #[must_use]
    pub fn group(&self) -> &DatabaseGroup {
        &self.group
    }

    /// How the plan ended, once it has.
    #[must_use]
    pub fn outcome(&self) -> Option<&PromotionOutcome> {
        self.outcome.as_ref()
    }

    /// Takes an event and says what to do next. Events that do not belong to
    /// the present step are answers that came late and change nothing.
    pub fn handle(&mut self, event: PromotionEvent) -> Vec<PromotionAction> {
        match (self.step, event) {
            (PlanStep::Reserving, PromotionEvent::Reserved) => self.fence_all(),
            (PlanStep::Reserving | PlanStep::Publishing, PromotionEvent::StoreRefused) => {
                self.end(PromotionOutcome::Superseded)
            }
            (PlanStep::Fencing, PromotionEvent::Fenced(name, status)) => {
                self.take_fence(name, status)
            }
            (PlanStep::Fencing, PromotionEvent::FenceFailed(name)) => {
                self.failed.push(name);
                self.check_fences_left()
            }
            (PlanStep::Promoting, PromotionEvent::Promoted(name)) => self.publish(name),
            // Another one may lack an acknowledged commit; a new plan decides.
            (PlanStep::Promoting, PromotionEvent::PromoteFailed(_)) => {
                self.end(PromotionOutcome::NoCandidate)
            }
            (PlanStep::Publishing, PromotionEvent::Published) => self.finish(),
            _ => Vec::new(),
        }
    }

    fn end(&mut self, outcome: PromotionOutcome) -> Vec<PromotionAction> {
        self.step = PlanStep::Ended;
        self.outcome = Some(outcome);
        Vec::new()
    }

    fn fence_all(&mut self) -> Vec<PromotionAction> {
        self.step = PlanStep::Fencing;
        let mut actions = Vec::new();
        for instance in &self.group.instances {
            actions.push(PromotionAction::Fence(
                instance.name.clone(),
                self.group.term,
            ));
        }
        actions
    }

    fn take_fence(&mut self, name: InstanceName, status: InstanceStatus) -> Vec<PromotionAction> {
        if status.fence_term > self.group.term {
            return self.end(PromotionOutcome::Superseded);
        }
        if status.fence_term < self.group.term {
            self.failed.push(name);
            return self.check_fences_left();
        }
        self.fenced.insert(name, status);
        self.decide()
    }

    fn check_fences_left(&mut self) -> Vec<PromotionAction> {
        let possible = self.group.instances.len() - self.failed.len();
        if possible < self.group.majority() {
            return self.end(PromotionOutcome::NoMajority);
        }
        self.decide()
    }

    /// Promotes as soon as a majority is fenced and an instance that stays has
    /// the newest log of it; else once those that stay are a majority; with the
    /// replaced primary only when nothing else can still come.
    fn decide(&mut self) -> Vec<PromotionAction> {
        let newest = self.fenced.values().map(|status| status.received).max();
        let enough = self.fenced.len() >= self.group.majority();
        if enough && newest.is_some_and(|newest| self.candidate_at(newest, false).is_some()) {
            return self.promote_best(false);
        }
        let staying = self
            .fenced
            .keys()
            .filter(|name| !self.is_replaced(name))
            .count();
        if staying >= self.group.majority() {
            return self.promote_best(false);
        }
        let all_answered = self.fenced.len() + self.failed.len() >= self.group.instances.len();
        if all_answered && self.fenced.len() >= self.group.majority() {
            return self.promote_best(true);
        }
        Vec::new()
    }

    fn is_replaced(&self, name: &str) -> bool {
        self.replaced.as_deref() == Some(name)
    }

    /// Picks the newest log by the term of its last entry, then by position,
    /// of a majority that was fenced.
    fn promote_best(&mut self, with_replaced: bool) -> Vec<PromotionAction> {
        self.step = PlanStep::Promoting;
        let eligible = |name: &InstanceName| with_replaced || !self.is_replaced(name);
        let statuses = self.fenced.iter().filter(|(name, _)| eligible(name));
        let Some(newest) = statuses.map(|(_, status)| status.received).max() else {
            return self.end(PromotionOutcome::NoCandidate);
        };
        let Some(name) = self.candidate_at(newest, with_replaced) else {
            return self.end(PromotionOutcome::NoCandidate);
        };
        vec![PromotionAction::Promote(name, self.group.term)]
    }

    /// Of the instances at the newest point, one that is not leaving if
    /// possible, in the order of the group.
    fn candidate_at(&self, newest: LogPoint, with_replaced: bool) -> Option<InstanceName> {
        let mut fallback = None;
        for instance in &self.group.instances {
            let Some(status) = self.fenced.get(&instance.name) else {
                continue;
            };
            let passed_over = self.is_replaced(&instance.name) && !with_replaced;
            if passed_over || status.received != newest {
                continue;
            }
            if !instance.leaving {
                return Some(instance.name.clone());
            }
            fallback = Some(instance.name.clone());
        }
        fallback
    }

    fn publish(&mut self, name: InstanceName) -> Vec<PromotionAction> {
        self.step = PlanStep::Publishing;
        self.group.primary = Some(name);
        vec![PromotionAction::Publish(self.group.clone())]
    }

    fn finish(&mut self) -> Vec<PromotionAction> {
        let name = self.group.primary.clone().unwrap_or_default();
        self.end(PromotionOutcome::Done(name, self.group.term))
    }
}
