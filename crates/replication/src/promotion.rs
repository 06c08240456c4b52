//! The steps of a promotion.
//!
//! A plan reserves the next term in the store, fences a majority at that term,
//! promotes the fenced instance with the newest log, and publishes it. Each step
//! may fail and its response may be lost. A plan that stops half way is
//! harmless, because a later plan reserves a later term and fences again.

use std::collections::BTreeMap;

use fulmarrill_position::{InstanceName, InstanceStatus, LogPoint, Term};

use crate::group::DatabaseGroup;

/// An action that the plan requests. Every action is idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionAction {
    /// Write the group with the next term and without a primary to the store, on
    /// condition that it has not changed.
    Reserve(DatabaseGroup),
    /// Fence one instance at the term.
    Fence(InstanceName, Term),
    /// Promote the instance to primary of the term.
    Promote(InstanceName, Term),
    /// Write the group with its new primary to the store, on condition that it has
    /// not changed.
    Publish(DatabaseGroup),
}

/// The result of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionEvent {
    /// The reservation took effect.
    Reserved,
    /// The group was changed concurrently, or the store cannot be reached.
    StoreRefused,
    /// An instance was fenced and reported its status.
    Fenced(InstanceName, InstanceStatus),
    /// An instance did not respond, or was already fenced at a later term.
    FenceFailed(InstanceName),
    /// The chosen instance is now the primary.
    Promoted(InstanceName),
    /// The chosen instance did not become the primary.
    PromoteFailed(InstanceName),
    /// The publication took effect.
    Published,
}

/// The final outcome of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The instance is the primary of the term and has been published.
    Done(InstanceName, Term),
    /// The group was changed concurrently, the store refused a write, or an instance
    /// is fenced at a later term.
    Superseded,
    /// A majority could not be fenced.
    NoMajority,
    /// No fenced instance was eligible, or the chosen one was not promoted.
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

/// One attempt at a promotion.
#[derive(Debug, Clone)]
pub struct PromotionPlan {
    group: DatabaseGroup,
    step: PlanStep,
    fenced: BTreeMap<InstanceName, InstanceStatus>,
    failed: Vec<InstanceName>,
    previous_primary: Option<InstanceName>,
    outcome: Option<PromotionOutcome>,
}

impl PromotionPlan {
    /// Creates a plan for the term after the group's, with a unique change id.
    ///
    /// The current primary is promoted again only if no majority can be fenced
    /// without it: a partitioned primary often has the newest log, with
    /// unconfirmed entries, and promoting it again would not help.
    #[must_use]
    pub fn new(mut group: DatabaseGroup, change_id: &str) -> Self {
        group.term += 1;
        let previous_primary = group.primary.take();
        group.change_id = change_id.into();
        Self {
            group,
            step: PlanStep::Reserving,
            fenced: BTreeMap::new(),
            failed: Vec::new(),
            previous_primary,
            outcome: None,
        }
    }

    /// The first action.
    #[must_use]
    pub fn start(&self) -> PromotionAction {
        PromotionAction::Reserve(self.group.clone())
    }

    /// The group as this plan changes it.
    #[must_use]
    pub fn group(&self) -> &DatabaseGroup {
        &self.group
    }

    /// The outcome of the plan once it has ended.
    #[must_use]
    pub fn outcome(&self) -> Option<&PromotionOutcome> {
        self.outcome.as_ref()
    }

    /// Processes an event and returns the next actions. Events that do not belong
    /// to the current step are late responses and are ignored.
    pub fn handle(&mut self, event: PromotionEvent) -> Vec<PromotionAction> {
        match (self.step, event) {
            (PlanStep::Reserving, PromotionEvent::Reserved) => self.fence_all(),
            (PlanStep::Reserving | PlanStep::Publishing, PromotionEvent::StoreRefused) => {
                self.end(PromotionOutcome::Superseded)
            }
            (PlanStep::Fencing, PromotionEvent::Fenced(name, status)) => {
                self.record_fence(name, status)
            }
            (PlanStep::Fencing, PromotionEvent::FenceFailed(name)) => {
                self.failed.push(name);
                self.check_majority_possible()
            }
            (PlanStep::Promoting, PromotionEvent::Promoted(name)) => self.publish(name),
            // Another instance may lack an acknowledged commit, so a new plan
            // has to choose.
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

    fn record_fence(&mut self, name: InstanceName, status: InstanceStatus) -> Vec<PromotionAction> {
        if status.fence_term > self.group.term {
            return self.end(PromotionOutcome::Superseded);
        }
        if status.fence_term < self.group.term {
            self.failed.push(name);
            return self.check_majority_possible();
        }
        self.fenced.insert(name, status);
        self.try_promote()
    }

    fn check_majority_possible(&mut self) -> Vec<PromotionAction> {
        let possible = self.group.instances.len() - self.failed.len();
        if possible < self.group.majority() {
            return self.end(PromotionOutcome::NoMajority);
        }
        self.try_promote()
    }

    /// Promotes an instance once the fenced ones allow it: as soon as a majority is
    /// fenced and an instance other than the previous primary has its newest log,
    /// or once the instances other than the previous primary form a majority.
    /// The previous primary itself is eligible only after every instance has
    /// responded or failed.
    fn try_promote(&mut self) -> Vec<PromotionAction> {
        let newest = self.fenced.values().map(|status| status.received).max();
        let has_majority = self.fenced.len() >= self.group.majority();
        if has_majority && newest.is_some_and(|newest| self.candidate_at(newest, false).is_some()) {
            return self.promote_newest(false);
        }
        let others = self
            .fenced
            .keys()
            .filter(|name| !self.is_previous_primary(name))
            .count();
        if others >= self.group.majority() {
            return self.promote_newest(false);
        }
        let all_answered = self.fenced.len() + self.failed.len() >= self.group.instances.len();
        if all_answered && self.fenced.len() >= self.group.majority() {
            return self.promote_newest(true);
        }
        Vec::new()
    }

    fn is_previous_primary(&self, name: &str) -> bool {
        self.previous_primary.as_deref() == Some(name)
    }

    /// Promotes the eligible instance with the newest log, given a fenced majority.
    /// Logs are compared by the term of their last entry, then by position.
    fn promote_newest(&mut self, include_previous: bool) -> Vec<PromotionAction> {
        self.step = PlanStep::Promoting;
        let is_eligible = |name: &InstanceName| include_previous || !self.is_previous_primary(name);
        let statuses = self.fenced.iter().filter(|(name, _)| is_eligible(name));
        let Some(newest) = statuses.map(|(_, status)| status.received).max() else {
            return self.end(PromotionOutcome::NoCandidate);
        };
        let Some(name) = self.candidate_at(newest, include_previous) else {
            return self.end(PromotionOutcome::NoCandidate);
        };
        vec![PromotionAction::Promote(name, self.group.term)]
    }

    /// The first instance of the group at the `newest` point that is not leaving;
    /// if all of them are leaving, the last one.
    fn candidate_at(&self, newest: LogPoint, include_previous: bool) -> Option<InstanceName> {
        let mut fallback = None;
        for instance in &self.group.instances {
            let Some(status) = self.fenced.get(&instance.name) else {
                continue;
            };
            let is_excluded = self.is_previous_primary(&instance.name) && !include_previous;
            if is_excluded || status.received != newest {
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
