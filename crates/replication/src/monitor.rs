//! Failure detection for the primary of a group.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fulmarrill_position::{InstanceName, InstanceRole, InstanceStatus, Term};

use crate::group::DatabaseGroup;

/// Verdict of the monitor about a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MonitorVerdict {
    /// No failure has lasted long enough to act on, or too little is known.
    Healthy,
    /// The primary has not reported itself as the primary for too long.
    PrimarySilent,
    /// The primary responds, but no replica has been streaming from it for too
    /// long, so it cannot confirm any commit.
    PrimaryIsolated,
    /// The store holds a reserved term whose promotion has not been completed.
    PromotionAbandoned,
    /// A promotion is needed, but no majority of instances responds.
    NoMajority,
}

/// The last status reported by an instance.
#[derive(Debug, Clone, Copy)]
struct InstanceReport {
    reported_at: Instant,
    status: InstanceStatus,
}

/// Monitors a group from one host.
///
/// If the time between two checks exceeds the silence limit, the monitor assumes
/// that its own host was paused and discards its state, so that the pause is not
/// mistaken for silence of the primary; see [`GroupMonitor::reset`].
#[derive(Debug, Clone)]
pub struct GroupMonitor {
    silence_limit: Duration,
    reports: BTreeMap<InstanceName, InstanceReport>,
    primary_silent_since: Option<Instant>,
    isolated_since: Option<Instant>,
    no_primary_since: Option<Instant>,
    last_check_at: Option<Instant>,
    /// The primary and term to which the times above apply.
    monitored_primary: Option<(InstanceName, Term)>,
}

impl GroupMonitor {
    /// Creates a monitor that reports a primary as failed after `silence_limit`.
    #[must_use]
    pub fn new(silence_limit: Duration) -> Self {
        Self {
            silence_limit,
            reports: BTreeMap::new(),
            primary_silent_since: None,
            isolated_since: None,
            no_primary_since: None,
            last_check_at: None,
            monitored_primary: None,
        }
    }

    /// Records the status reported by an instance.
    pub fn observe(&mut self, now: Instant, instance: &str, status: InstanceStatus) {
        self.reports.insert(
            instance.into(),
            InstanceReport {
                reported_at: now,
                status,
            },
        );
    }

    /// Discards all reports and timers. This is needed after a pause of the host
    /// itself: reports missed during it say nothing about the instances.
    pub fn reset(&mut self) {
        self.reports.clear();
        self.primary_silent_since = None;
        self.isolated_since = None;
        self.no_primary_since = None;
    }

    /// The last reported status of an instance, if newer than the silence limit.
    #[must_use]
    pub fn recent_status(&self, now: Instant, instance: &str) -> Option<InstanceStatus> {
        let report = self.reports.get(instance)?;
        let recent = now.saturating_duration_since(report.reported_at) < self.silence_limit;
        recent.then_some(report.status)
    }

    /// Evaluates the group at `now`. Must be called several times per silence limit.
    pub fn check(&mut self, now: Instant, group: &DatabaseGroup) -> MonitorVerdict {
        self.detect_pause(now);
        let Some(primary) = group.primary.as_deref() else {
            return self.check_no_primary(now, group);
        };
        self.no_primary_since = None;
        self.detect_primary_change(primary, group.term);
        // An instance that has lost the role, for example one that was
        // recreated, is treated like a silent one.
        let is_primary = |status: &InstanceStatus| {
            status.role == InstanceRole::Primary && status.fence_term >= group.term
        };
        let verdict = match self.recent_status(now, primary).filter(is_primary) {
            None => self.check_silent(now, primary),
            Some(_) => self.check_isolated(now, group, primary),
        };
        if verdict == MonitorVerdict::Healthy || self.majority_reports(now, group) {
            return verdict;
        }
        MonitorVerdict::NoMajority
    }

    fn detect_pause(&mut self, now: Instant) {
        let paused = self
            .last_check_at
            .is_some_and(|last| now.saturating_duration_since(last) > self.silence_limit);
        if paused {
            self.reset();
        }
        self.last_check_at = Some(now);
    }

    /// Restarts detection when the primary or the term changes: earlier reports of
    /// the new primary as a replica and the silence of its predecessor do not
    /// count against it.
    fn detect_primary_change(&mut self, primary: &str, term: Term) {
        let same = |(name, monitored): &(InstanceName, Term)| name == primary && *monitored == term;
        if self.monitored_primary.as_ref().is_some_and(same) {
            return;
        }
        self.monitored_primary = Some((primary.into(), term));
        self.reports.remove(primary);
        self.primary_silent_since = None;
        self.isolated_since = None;
    }

    fn check_no_primary(&mut self, now: Instant, group: &DatabaseGroup) -> MonitorVerdict {
        let since = *self.no_primary_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.silence_limit {
            return MonitorVerdict::Healthy;
        }
        if self.majority_reports(now, group) {
            return MonitorVerdict::PromotionAbandoned;
        }
        MonitorVerdict::NoMajority
    }

    /// After a report, `recent_status` has already waited for one silence limit, so
    /// two consecutive checks are enough. A primary that has never reported gets
    /// the whole limit from the first check.
    fn check_silent(&mut self, now: Instant, primary: &str) -> MonitorVerdict {
        self.isolated_since = None;
        let since = *self.primary_silent_since.get_or_insert(now);
        let elapsed = now.saturating_duration_since(since);
        let required = if self.reports.contains_key(primary) {
            Duration::ZERO
        } else {
            self.silence_limit
        };
        let is_silent = elapsed > Duration::ZERO && elapsed >= required;
        if is_silent {
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
        self.primary_silent_since = None;
        let mut replicas_reporting = 0;
        let mut replicas_streaming = 0;
        for instance in &group.instances {
            if instance.name == primary {
                continue;
            }
            let Some(status) = self.recent_status(now, &instance.name) else {
                continue;
            };
            replicas_reporting += 1;
            replicas_streaming += usize::from(status.streaming);
        }
        if replicas_reporting + 1 < group.majority() || replicas_streaming > 0 {
            self.isolated_since = None;
            return MonitorVerdict::Healthy;
        }
        let since = *self.isolated_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.silence_limit {
            return MonitorVerdict::Healthy;
        }
        MonitorVerdict::PrimaryIsolated
    }

    /// Whether a majority has reported recently, as a promotion needs.
    fn majority_reports(&self, now: Instant, group: &DatabaseGroup) -> bool {
        let mut reporting = 0;
        for instance in &group.instances {
            reporting += usize::from(self.recent_status(now, &instance.name).is_some());
        }
        reporting >= group.majority()
    }
}
