//! Applies events to the decision logic and checks expected outcomes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use fulmarrill_idempotency::{
    AttemptResult, ClaimDecision, RecoveryDecision, RetrySafety, StoredClaim, decide_claim,
    decide_recovery,
};
use fulmarrill_position::{FreshnessLog, InstanceStatus, SessionPosition};
use fulmarrill_replication::{
    ConfirmTracker, DatabaseGroup, GroupInstance, GroupMonitor, MonitorVerdict, PromotionAction,
    PromotionEvent, PromotionOutcome, PromotionPlan,
};
use fulmarrill_schedule::{RankPolicy, RankQueue, WorkItem};

use crate::line::{TraceEvent, TraceOutcome};

/// Silence limit of the monitor: how long a failure lasts until it is reported.
const SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// Name of the database in the group of a trace.
const DATABASE: &str = "db";

/// A promotion plan and the actions that it requested after its last event.
#[derive(Debug)]
struct TracedPlan {
    plan: PromotionPlan,
    actions: Vec<PromotionAction>,
}

/// The state of a replay, which events change and outcomes are checked against.
#[derive(Debug)]
pub struct TraceMachine {
    start: Instant,
    tracker: Option<ConfirmTracker>,
    monitor: GroupMonitor,
    verdict: Option<MonitorVerdict>,
    statuses: BTreeMap<CompactString, InstanceStatus>,
    plans: BTreeMap<CompactString, TracedPlan>,
    session: SessionPosition,
    freshness: FreshnessLog,
    decision: CompactString,
    queue: Option<RankQueue>,
    refused: bool,
}

impl Default for TraceMachine {
    fn default() -> Self {
        Self::new()
    }
}

/// The expected and the found value, in text form.
type OutcomeMismatch = (String, String);

impl TraceMachine {
    /// Creates a machine to which no event was applied.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            tracker: None,
            monitor: GroupMonitor::new(SILENCE_LIMIT),
            verdict: None,
            statuses: BTreeMap::new(),
            plans: BTreeMap::new(),
            session: SessionPosition::new(),
            freshness: FreshnessLog::new(),
            decision: CompactString::default(),
            queue: None,
            refused: false,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Applies an event.
    ///
    /// # Errors
    ///
    /// If the event has an invalid value, or an event that it depends on does not
    /// precede it.
    pub fn apply(&mut self, event: TraceEvent) -> Result<(), String> {
        match event {
            TraceEvent::Group {
                instances,
                primary,
                term,
            } => {
                self.set_group(&instances, primary, term);
            }
            TraceEvent::Status {
                instance,
                role,
                fence,
                received,
                applied,
                streaming,
                at_ms,
            } => {
                let status = InstanceStatus {
                    role,
                    fence_term: fence,
                    received: received.0,
                    applied: applied.unwrap_or(received).0,
                    streaming,
                    matched: true,
                };
                self.record_status(&instance, status, at_ms);
            }
            TraceEvent::Check { at_ms } => {
                let now = self.at(at_ms);
                let tracker = self
                    .tracker
                    .as_ref()
                    .ok_or("no group event precedes this event")?;
                self.verdict = Some(self.monitor.check(now, tracker.group()));
            }
            TraceEvent::Plan { change } => self.start_plan(change)?,
            TraceEvent::Reserved { change } => self.advance(&change, PromotionEvent::Reserved)?,
            TraceEvent::StoreRefused { change } => {
                self.advance(&change, PromotionEvent::StoreRefused)?;
            }
            TraceEvent::Fenced {
                change,
                instance,
                fence,
                received,
            } => {
                let status = InstanceStatus {
                    role: fulmarrill_position::InstanceRole::Replica,
                    fence_term: fence,
                    received: received.0,
                    applied: received.0,
                    streaming: false,
                    matched: true,
                };
                self.advance(&change, PromotionEvent::Fenced(instance, status))?;
            }
            TraceEvent::FenceFailed { change, instance } => {
                self.advance(&change, PromotionEvent::FenceFailed(instance))?;
            }
            TraceEvent::Promoted { change, instance } => {
                self.advance(&change, PromotionEvent::Promoted(instance))?;
            }
            TraceEvent::Published { change } => {
                self.advance(&change, PromotionEvent::Published)?;
            }
            other => return self.apply_request(other),
        }
        Ok(())
    }

    /// Applies an event of a session, a request key or a queue.
    fn apply_request(&mut self, event: TraceEvent) -> Result<(), String> {
        match event {
            TraceEvent::Session { token } => {
                let position: SessionPosition = token
                    .parse()
                    .map_err(|error| format!("invalid position token: {error}"))?;
                self.session.merge(&position);
            }
            TraceEvent::ForgetSession => self.session = SessionPosition::new(),
            TraceEvent::Sample { asked_ms, point } => {
                let asked_at = self.at(asked_ms);
                self.freshness.record(asked_at, point.0);
            }
            TraceEvent::Claim { hash, held, answer } => {
                let stored = held.map(|stored_hash| StoredClaim {
                    request_hash: stored_hash.to_string(),
                    answer: answer.map(|answer| answer.as_bytes().to_vec()),
                });
                self.decision = format_claim(&decide_claim(stored.as_ref(), &hash));
            }
            TraceEvent::Attempt {
                result,
                safety,
                allowed,
                at_ms,
                deadline_ms,
            } => {
                let (now, deadline) = (self.at(at_ms), self.at(deadline_ms));
                let (result, safety) = (parse_result(&result)?, parse_safety(&safety)?);
                let decision = decide_recovery(result, safety, allowed, now, deadline);
                self.decision = format_recovery(decision).into();
            }
            TraceEvent::Queue { slots, floors } => {
                let mut policies = Vec::new();
                for (index, floor) in floors.iter().enumerate() {
                    let name = format!("rank-{index}");
                    policies.push(RankPolicy::new(&name, f64::from(*floor) / 100.0));
                }
                self.queue = Some(RankQueue::new(policies, slots, self.start));
            }
            TraceEvent::Offer {
                at_ms,
                id,
                rank,
                flow,
                deadline_ms,
                continues,
            } => {
                let (now, deadline) = (self.at(at_ms), self.at(deadline_ms));
                let item = WorkItem::new(id, rank, &flow, deadline).with_in_transaction(continues);
                let queue = self
                    .queue
                    .as_mut()
                    .ok_or("no queue event precedes this event")?;
                self.refused = queue.offer(now, item).is_err();
            }
            TraceEvent::Finish {
                at_ms,
                rank,
                took_ms,
            } => {
                let now = self.at(at_ms);
                let queue = self
                    .queue
                    .as_mut()
                    .ok_or("no queue event precedes this event")?;
                queue.finish(now, rank, Duration::from_millis(took_ms));
            }
            _ => {}
        }
        Ok(())
    }

    fn set_group(
        &mut self,
        instances: &[CompactString],
        primary: Option<CompactString>,
        term: u64,
    ) {
        let mut group = DatabaseGroup::new(DATABASE, term, "");
        group.primary = primary;
        for name in instances {
            group = group.with_instance(GroupInstance::new(name, "site", "region"));
        }
        match &mut self.tracker {
            Some(tracker) => tracker.set_group(group),
            None => self.tracker = Some(ConfirmTracker::new(group)),
        }
    }

    fn record_status(&mut self, instance: &str, status: InstanceStatus, at_ms: u64) {
        let now = self.at(at_ms);
        self.monitor.observe(now, instance, status);
        self.statuses.insert(instance.into(), status);
        if let Some(tracker) = &mut self.tracker {
            tracker.observe(instance, status);
        }
    }

    fn start_plan(&mut self, change: CompactString) -> Result<(), String> {
        let tracker = self
            .tracker
            .as_ref()
            .ok_or("no group event precedes this event")?;
        let plan = PromotionPlan::new(tracker.group().clone(), &change);
        let actions = vec![plan.start()];
        self.plans.insert(change, TracedPlan { plan, actions });
        Ok(())
    }

    fn advance(&mut self, change: &str, event: PromotionEvent) -> Result<(), String> {
        let traced = self
            .plans
            .get_mut(change)
            .ok_or("no plan event with this change id precedes this event")?;
        traced.actions = traced.plan.handle(event);
        Ok(())
    }

    /// Checks an expected outcome.
    ///
    /// # Errors
    ///
    /// The expected and the found value if they differ.
    pub fn check(&mut self, outcome: &TraceOutcome) -> Result<(), OutcomeMismatch> {
        match outcome {
            TraceOutcome::Confirmed { point } => {
                let found = self.tracker.as_ref().and_then(ConfirmTracker::confirmed);
                compare(&point.map(|point| point.0), &found)
            }
            TraceOutcome::Acknowledged { point, holds } => {
                let found = self
                    .tracker
                    .as_ref()
                    .is_some_and(|t| t.is_confirmed(point.0));
                compare(holds, &found)
            }
            TraceOutcome::Verdict { verdict } => {
                let found = self.verdict.map_or("none", format_verdict);
                compare(&verdict.as_str(), &found)
            }
            TraceOutcome::Actions { change, actions } => {
                let traced = self.plans.get(change);
                let found: Vec<_> = traced
                    .iter()
                    .flat_map(|t| &t.actions)
                    .map(format_action)
                    .collect();
                compare(actions, &found)
            }
            TraceOutcome::Ended { change, outcome } => {
                let found = self.plans.get(change).and_then(|t| t.plan.outcome());
                compare(outcome, &found.map(format_outcome))
            }
            TraceOutcome::Readable {
                database,
                instance,
                holds,
            } => {
                let floor = self.session.floor(database);
                let found = self
                    .statuses
                    .get(instance)
                    .is_some_and(|s| s.applied >= floor);
                compare(holds, &found)
            }
            TraceOutcome::Fresh {
                instance,
                at_ms,
                age_ms,
                holds,
            } => {
                let oldest = self.at(at_ms.saturating_sub(*age_ms));
                let status = self.statuses.get(instance);
                let complete = status.and_then(|s| self.freshness.complete_as_of(s.applied));
                compare(holds, &complete.is_some_and(|at| at >= oldest))
            }
            TraceOutcome::Decision { decision } => compare(decision, &self.decision),
            TraceOutcome::Next { at_ms, id } => {
                let now = self.at(*at_ms);
                let found = self.queue.as_mut().and_then(|queue| queue.next(now));
                compare(id, &found.map(|item| item.id))
            }
            TraceOutcome::Refused { holds } => compare(holds, &self.refused),
        }
    }
}

fn compare<T: PartialEq + std::fmt::Debug>(expected: &T, found: &T) -> Result<(), OutcomeMismatch> {
    if expected == found {
        return Ok(());
    }
    Err((format!("{expected:?}"), format!("{found:?}")))
}

fn parse_result(text: &str) -> Result<AttemptResult, String> {
    match text {
        "not_run" => Ok(AttemptResult::NotRun),
        "unknown" => Ok(AttemptResult::Unknown),
        other => Err(format!("unknown attempt result {other:?}")),
    }
}

fn parse_safety(text: &str) -> Result<RetrySafety, String> {
    match text {
        "read" => Ok(RetrySafety::Read),
        "keyed" => Ok(RetrySafety::Keyed),
        "unsafe" => Ok(RetrySafety::Unsafe),
        other => Err(format!("unknown retry safety {other:?}")),
    }
}

fn format_claim(decision: &ClaimDecision) -> CompactString {
    match decision {
        ClaimDecision::Run => "run".into(),
        ClaimDecision::Replay(answer) => {
            format_compact!("replay {}", String::from_utf8_lossy(answer))
        }
        ClaimDecision::Void => "void".into(),
        ClaimDecision::Mismatch => "mismatch".into(),
    }
}

fn format_recovery(decision: RecoveryDecision) -> &'static str {
    match decision {
        RecoveryDecision::Retry => "retry",
        RecoveryDecision::ReportNotRun => "report_not_run",
        RecoveryDecision::ClaimVoid => "claim_void",
        RecoveryDecision::ReportUnknown => "report_unknown",
    }
}

fn format_verdict(verdict: MonitorVerdict) -> &'static str {
    match verdict {
        MonitorVerdict::Healthy => "healthy",
        MonitorVerdict::PrimarySilent => "primary_silent",
        MonitorVerdict::PrimaryIsolated => "primary_isolated",
        MonitorVerdict::PromotionAbandoned => "promotion_abandoned",
        MonitorVerdict::NoMajority => "no_majority",
    }
}

fn format_action(action: &PromotionAction) -> CompactString {
    match action {
        PromotionAction::Reserve(group) => format_compact!("reserve {}", group.term),
        PromotionAction::Fence(name, term) => format_compact!("fence {name} {term}"),
        PromotionAction::Promote(name, term) => format_compact!("promote {name} {term}"),
        PromotionAction::Publish(group) => {
            format_compact!("publish {}", group.primary.as_deref().unwrap_or("none"))
        }
    }
}

fn format_outcome(outcome: &PromotionOutcome) -> CompactString {
    match outcome {
        PromotionOutcome::Done(name, term) => format_compact!("done {name} {term}"),
        PromotionOutcome::Superseded => "superseded".into(),
        PromotionOutcome::NoMajority => "no_majority".into(),
        PromotionOutcome::NoCandidate => "no_candidate".into(),
    }
}
