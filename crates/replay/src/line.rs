//! The lines of a trace.

use compact_str::CompactString;
use fulmarrill_position::{InstanceRole, LogPoint, parse_lsn};
use serde::{Deserialize, Deserializer};

/// One line: an event or an outcome.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum TraceLine {
    /// An input of the decision logic.
    Event(TraceEvent),
    /// A check of the state after the events before it.
    Outcome(TraceOutcome),
}

/// A log point in the form `TERM:LSN`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TracePoint(pub LogPoint);

impl<'de> Deserialize<'de> for TracePoint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let invalid =
            || serde::de::Error::custom(format!("invalid log point {text:?}, expected TERM:LSN"));
        let (term, lsn) = text.split_once(':').ok_or_else(invalid)?;
        let term = term.parse().map_err(|_| invalid())?;
        let position = parse_lsn(lsn).map_err(|_| invalid())?;
        Ok(Self(LogPoint::new(term, position)))
    }
}

/// An input of the decision logic. Times are milliseconds since the start of the
/// trace.
#[derive(Debug, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceEvent {
    /// Sets or replaces the database group. A group of an older term is ignored.
    Group {
        /// Names of the instances.
        instances: Vec<CompactString>,
        /// Name of the primary, if there is one.
        primary: Option<CompactString>,
        /// Term of the group.
        term: u64,
    },
    /// An instance reports its status, which goes to the monitor and to the tracker
    /// of confirmed positions.
    Status {
        /// Name of the instance.
        instance: CompactString,
        /// Role that the instance reports.
        role: InstanceRole,
        /// Term at which the instance is fenced.
        fence: u64,
        /// Last log entry received.
        received: TracePoint,
        /// Last log entry applied; defaults to `received`.
        applied: Option<TracePoint>,
        /// Whether the instance heard from its primary recently.
        #[serde(default)]
        streaming: bool,
        /// Time of the report.
        #[serde(default)]
        at_ms: u64,
    },
    /// The monitor checks the group.
    Check {
        /// Time of the event.
        at_ms: u64,
    },
    /// A promotion plan is started for the group.
    Plan {
        /// Change id of the plan.
        change: CompactString,
    },
    /// The store accepted the plan's reservation of a term.
    Reserved {
        /// Change id of the plan.
        change: CompactString,
    },
    /// The store refused an update of the plan or could not be reached.
    StoreRefused {
        /// Change id of the plan.
        change: CompactString,
    },
    /// An instance was fenced for a plan.
    Fenced {
        /// Change id of the plan.
        change: CompactString,
        /// Name of the instance.
        instance: CompactString,
        /// Term at which the instance is now fenced.
        fence: u64,
        /// Last entry of the instance's log.
        received: TracePoint,
    },
    /// An instance could not be fenced.
    FenceFailed {
        /// Change id of the plan.
        change: CompactString,
        /// Name of the instance.
        instance: CompactString,
    },
    /// An instance accepted its promotion to primary.
    Promoted {
        /// Change id of the plan.
        change: CompactString,
        /// Name of the instance.
        instance: CompactString,
    },
    /// The store accepted the new group that the plan published.
    Published {
        /// Change id of the plan.
        change: CompactString,
    },
    /// The session receives a position, from a response or from its caller, and
    /// merges it into its own.
    Session {
        /// Position token: entries of the form `NAME=TERM:LSN`, separated by commas.
        token: CompactString,
    },
    /// The session loses its position, as on a reconnect to another host without
    /// the token.
    ForgetSession,
    /// The owner of the primary reported the current position.
    Sample {
        /// Time at which the position was requested.
        asked_ms: u64,
        /// Position in the response.
        point: TracePoint,
    },
    /// An attempt to claim a request key read the key's row.
    Claim {
        /// Hash of the request that claims the key.
        hash: CompactString,
        /// Hash in the row; null if the claim inserted the row.
        held: Option<CompactString>,
        /// Response stored in the row, if any.
        answer: Option<CompactString>,
    },
    /// An attempt ended without a response.
    Attempt {
        /// `not_run` or `unknown`.
        result: CompactString,
        /// Whether the request can be retried: `read`, `keyed` or `unsafe`.
        safety: CompactString,
        /// Whether the retry budget allows another attempt.
        allowed: bool,
        /// Time of the event.
        at_ms: u64,
        /// Deadline of the request.
        deadline_ms: u64,
    },
    /// Creates an empty queue of work items that wait for a slot.
    Queue {
        /// Number of slots.
        slots: usize,
        /// Floors of the ranks in percent, the most urgent first.
        floors: Vec<u32>,
    },
    /// A work item is offered to the queue.
    Offer {
        /// Time of the event.
        at_ms: u64,
        /// Id of the work item.
        id: u64,
        /// Index of the rank; 0 is the most urgent.
        rank: usize,
        /// Flow of the work item, that is its service and customer.
        flow: CompactString,
        /// Deadline of the work item.
        deadline_ms: u64,
        /// Whether the work item continues a transaction.
        #[serde(default)]
        continues: bool,
    },
    /// A work item is finished and its slot is free again.
    Finish {
        /// Time of the event.
        at_ms: u64,
        /// Index of the work item's rank.
        rank: usize,
        /// Run time of the work item.
        took_ms: u64,
    },
}

/// An expected outcome.
#[derive(Debug, Deserialize)]
#[serde(tag = "expect", rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceOutcome {
    /// The last confirmed log point.
    Confirmed {
        /// The log point; null for none.
        point: Option<TracePoint>,
    },
    /// Whether a commit may be acknowledged.
    Acknowledged {
        /// Log point of the commit.
        point: TracePoint,
        /// Expected result.
        holds: bool,
    },
    /// The verdict of the last check.
    Verdict {
        /// Name of the verdict, such as `primary_silent`; `none` before a check.
        verdict: CompactString,
    },
    /// The actions that a plan requests after its last event.
    Actions {
        /// Change id of the plan.
        change: CompactString,
        /// Actions in text form, such as `fence a 2`.
        actions: Vec<CompactString>,
    },
    /// The outcome of a plan.
    Ended {
        /// Change id of the plan.
        change: CompactString,
        /// Outcome in text form, such as `done b 2`; null while the plan runs.
        outcome: Option<CompactString>,
    },
    /// Whether an instance may serve a read of the session.
    Readable {
        /// Name of the database in the session's position.
        database: CompactString,
        /// Name of the instance.
        instance: CompactString,
        /// Expected result.
        holds: bool,
    },
    /// Whether an instance's data is known to be no older than a given age.
    Fresh {
        /// Name of the instance.
        instance: CompactString,
        /// Time of the check.
        at_ms: u64,
        /// Maximum age of the data.
        age_ms: u64,
        /// Expected result.
        holds: bool,
    },
    /// The decision after the last claim or attempt.
    Decision {
        /// Decision in text form, such as `retry`.
        decision: CompactString,
    },
    /// The next work item to start. The check takes it from the queue.
    Next {
        /// Time of the check.
        at_ms: u64,
        /// Id of the work item; null for none.
        id: Option<u64>,
    },
    /// Whether the last offer was refused.
    Refused {
        /// Expected result.
        holds: bool,
    },
}
