//! When a primary has to be replaced.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fulmarrill_position::{InstanceName, InstanceRole, InstanceStatus, Term};

use crate::group::DatabaseGroup;

/// What the monitor makes of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MonitorVerdict {
    /// The primary answers and a replica follows it, or too little is known.
    Healthy,
    /// The primary has been silent for too long.
    PrimarySilent,
    /// The primary answers, but no replica has heard from it for too long, so
    /// that it can confirm nothing.
    PrimaryIsolated,
    /// The store has reserved a term whose promotion nobody finished.
    PromotionAbandoned,
    /// The primary must go, but too few instances answer for a promotion.
    NoMajority,
}

/// What was last heard of one instance.
#[derive(Debug, Clone, Copy)]
struct InstanceView {
    heard_at: Instant,
    status: InstanceStatus,
}

/// Watches one group from one host.
///
/// The monitor counts time only between observations, so that a host that was
/// itself stopped for a while does not take its own silence for the primary's:
/// see [`GroupMonitor::reset`].
#[derive(Debug, Clone)]
pub struct GroupMonitor {
    silence_limit: Duration,
    views: BTreeMap<InstanceName, InstanceView>,
    primary_lost_since: Option<Instant>,
    isolated_since: Option<Instant>,
    unled_since: Option<Instant>,
    last_check_at: Option<Instant>,
    /// The primary and term that the times above are about.
    judged: Option<(InstanceName, Term)>,
}

impl GroupMonitor {
    /// A monitor that calls a primary lost after `silence_limit`.
    #[must_use]
    pub fn new(silence_limit: Duration) -> Self {
        Self {
            silence_limit,
            views: BTreeMap::new(),
            primary_lost_since: None,
            isolated_since: None,
            unled_since: None,
            last_check_at: None,
            judged: None,
        }
    }

    /// Takes an instance's report into account.
    pub fn observe(&mut self, now: Instant, instance: &str, status: InstanceStatus) {
        self.views.insert(
            instance.into(),
            InstanceView {
                heard_at: now,
                status,
            },
        );
    }

    /// Forgets everything heard, after the host itself was stopped: what it
    /// missed meanwhile says nothing about the instances.
    pub fn reset(&mut self) {
        self.views.clear();
        self.primary_lost_since = None;
        self.isolated_since = None;
        self.unled_since = None;
    }

    /// The last report of an instance, if it is recent.
    #[must_use]
    pub fn recent_status(&self, now: Instant, instance: &str) -> Option<InstanceStatus> {
        let view = self.views.get(instance)?;
        let recent = now.saturating_duration_since(view.heard_at) < self.silence_limit;
        recent.then_some(view.status)
    }

    /// Judges the group at `now`. To be called several times per silence limit.
    pub fn check(&mut self, now: Instant, group: &DatabaseGroup) -> MonitorVerdict {
        self.notice_pause(now);
        let Some(primary) = group.primary.as_deref() else {
            return self.check_unled(now, group);
        };
        self.unled_since = None;
        self.notice_change(primary, group.term);
        // An instance that lost the role, as one that was set up anew, is no
        // better than a silent one.
        let leads = |status: &InstanceStatus| {
            status.role == InstanceRole::Primary && status.fence_term >= group.term
        };
        let verdict = match self.recent_status(now, primary).filter(leads) {
            None => self.check_silent(now, primary),
            Some(_) => self.check_isolated(now, group, primary),
        };
        if verdict == MonitorVerdict::Healthy || self.majority_answers(now, group) {
            return verdict;
        }
        MonitorVerdict::NoMajority
    }

    fn notice_pause(&mut self, now: Instant) {
        let paused = self
            .last_check_at
            .is_some_and(|last| now.saturating_duration_since(last) > self.silence_limit);
        if paused {
            self.reset();
        }
        self.last_check_at = Some(now);
    }

    /// A new primary is judged from now on: what was heard of it before, as a
    /// replica, and how long its predecessor was silent, say nothing about it.
    fn notice_change(&mut self, primary: &str, term: Term) {
        let same = |(name, judged): &(InstanceName, Term)| name == primary && *judged == term;
        if self.judged.as_ref().is_some_and(same) {
            return;
        }
        self.judged = Some((primary.into(), term));
        self.views.remove(primary);
        self.primary_lost_since = None;
        self.isolated_since = None;
    }

    fn check_unled(&mut self, now: Instant, group: &DatabaseGroup) -> MonitorVerdict {
        let since = *self.unled_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.silence_limit {
            return MonitorVerdict::Healthy;
        }
        if self.majority_answers(now, group) {
            return MonitorVerdict::PromotionAbandoned;
        }
        MonitorVerdict::NoMajority
    }

    /// `recent_status` has already waited for one silence limit after a report, so
    /// two checks in a row are enough; a primary that was never heard gets the
    /// whole limit from the first check.
    fn check_silent(&mut self, now: Instant, primary: &str) -> MonitorVerdict {
        self.isolated_since = None;
        let since = *self.primary_lost_since.get_or_insert(now);
        let waited = now.saturating_duration_since(since);
        let needed = if self.views.contains_key(primary) {
            Duration::ZERO
        } else {
            self.silence_limit
        };
        let enough = waited > Duration::ZERO && waited >= needed;
        if enough {
            return MonitorVerdict::PrimarySilent;
        }
        MonitorVerdict::Healthy
    }

    fn check_isolated(
        &mut self,
        now: Instant,
        group: &DatabaseGroup,
        primary: &str,
    ) -> MonitorVerdict {
        self.primary_lost_since = None;
        let mut replicas_heard = 0;
        let mut replicas_streaming = 0;
        for instance in &group.instances {
            if instance.name == primary {
                continue;
            }
            let Some(status) = self.recent_status(now, &instance.name) else {
                continue;
            };
            replicas_heard += 1;
            replicas_streaming += usize::from(status.streaming);
        }
        if replicas_heard + 1 < group.majority() || replicas_streaming > 0 {
            self.isolated_since = None;
            return MonitorVerdict::Healthy;
        }
        let since = *self.isolated_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.silence_limit {
            return MonitorVerdict::Healthy;
        }
        MonitorVerdict::PrimaryIsolated
    }

    /// Whether enough instances answer that a promotion could succeed.
    fn majority_answers(&self, now: Instant, group: &DatabaseGroup) -> bool {
        let mut heard = 0;
        for instance in &group.instances {
            heard += usize::from(self.recent_status(now, &instance.name).is_some());
        }
        heard >= group.majority()
    }
}
