//! The lines of a trace.

use compact_str::CompactString;
use fulmarrill_position::{InstanceRole, LogPoint, parse_lsn};
use serde::{Deserialize, Deserializer};

/// One line: an event or an outcome.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum TraceLine {
    /// Something that happens.
    Event(TraceEvent),
    /// Something that must hold now.
    Outcome(TraceOutcome),
}

/// A log point in the form `TERM:LSN`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TracePoint(pub LogPoint);

impl<'de> Deserialize<'de> for TracePoint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let wrong = || serde::de::Error::custom(format!("{text:?} is not of the form TERM:LSN"));
        let (term, lsn) = text.split_once(':').ok_or_else(wrong)?;
        let term = term.parse().map_err(|_| wrong())?;
        let position = parse_lsn(lsn).map_err(|_| wrong())?;
        Ok(Self(LogPoint::new(term, position)))
    }
}

/// Something that happens. Times are milliseconds from the trace's start.
#[derive(Debug, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceEvent {
    /// The group is described, first or anew.
    Group {
        /// Names of its instances.
        instances: Vec<CompactString>,
        /// Its primary.
        primary: Option<CompactString>,
        /// Its term.
        term: u64,
    },
    /// An instance reports to the owner of the primary and to the monitor.
    Status {
        /// Instance.
        instance: CompactString,
        /// Role that it believes it has.
        role: InstanceRole,
        /// Term that it is fenced at.
        fence: u64,
        /// Last entry received.
        received: TracePoint,
        /// Last entry applied; the same if it is left out.
        applied: Option<TracePoint>,
        /// Whether it hears its primary.
        #[serde(default)]
        streaming: bool,
        /// When it reports.
        #[serde(default)]
        at_ms: u64,
    },
    /// The monitor looks at the group.
    Check {
        /// When.
        at_ms: u64,
    },
    /// A change of primary begins.
    Plan {
        /// Its change id.
        change: CompactString,
    },
    /// The reservation took effect.
    Reserved {
        /// Which plan.
        change: CompactString,
    },
    /// The store refused or could not be reached.
    StoreRefused {
        /// Which plan.
        change: CompactString,
    },
    /// An instance was fenced for a plan.
    Fenced {
        /// Which plan.
        change: CompactString,
        /// Instance.
        instance: CompactString,
        /// Term that it is fenced at now.
        fence: u64,
        /// Last entry of its log.
        received: TracePoint,
    },
    /// An instance could not be fenced.
    FenceFailed {
        /// Which plan.
        change: CompactString,
        /// Instance.
        instance: CompactString,
    },
    /// The chosen instance took the role.
    Promoted {
        /// Which plan.
        change: CompactString,
        /// Instance.
        instance: CompactString,
    },
    /// The publication took effect.
    Published {
        /// Which plan.
        change: CompactString,
    },
    /// A session is given a position, by an answer or by its caller.
    Session {
        /// Token, `NAME=TERM:LSN`.
        token: CompactString,
    },
    /// A session goes to another host without its position.
    ForgetSession,
    /// The primary's owner answered a question for the position.
    Sample {
        /// When it was asked.
        asked_ms: u64,
        /// Its answer.
        point: TracePoint,
    },
    /// An attempt to claim a key found this in its row.
    Claim {
        /// Hash of the request that asks.
        hash: CompactString,
        /// Hash in the row; none if the claim made the row.
        held: Option<CompactString>,
        /// Answer in the row.
        answer: Option<CompactString>,
    },
    /// An attempt brought no answer.
    Attempt {
        /// `not_run` or `unknown`.
        result: CompactString,
        /// `read`, `keyed` or `unsafe`.
        safety: CompactString,
        /// Whether the retry budget allows another.
        allowed: bool,
        /// When.
        at_ms: u64,
        /// Deadline of the request.
        deadline_ms: u64,
    },
    /// A queue before slots is set up.
    Queue {
        /// Number of slots.
        slots: usize,
        /// Floors of the ranks in percent, the most urgent first.
        floors: Vec<u32>,
    },
    /// Work arrives.
    Offer {
        /// When.
        at_ms: u64,
        /// Number.
        id: u64,
        /// Rank.
        rank: usize,
        /// Service and customer.
        flow: CompactString,
        /// Its deadline.
        deadline_ms: u64,
        /// Whether it continues a transaction.
        #[serde(default)]
        continues: bool,
    },
    /// A slot is given back.
    Finish {
        /// When.
        at_ms: u64,
        /// Rank of the work.
        rank: usize,
        /// How long it took.
        took_ms: u64,
    },
}

/// Something that must hold.
#[derive(Debug, Deserialize)]
#[serde(tag = "expect", rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceOutcome {
    /// The last point confirmed.
    Confirmed {
        /// The point; null for none.
        point: Option<TracePoint>,
    },
    /// Whether a commit may be acknowledged.
    Acknowledged {
        /// Its point.
        point: TracePoint,
        /// Whether it may.
        holds: bool,
    },
    /// The monitor's last verdict.
    Verdict {
        /// Its name.
        verdict: CompactString,
    },
    /// What a plan wants done after its last event, in words: `fence a 2`.
    Actions {
        /// Which plan.
        change: CompactString,
        /// Its actions.
        actions: Vec<CompactString>,
    },
    /// How a plan ended, in words: `done b 2`; null while it runs.
    Ended {
        /// Which plan.
        change: CompactString,
        /// Its outcome.
        outcome: Option<CompactString>,
    },
    /// Whether a read of the session may be served by an instance.
    Readable {
        /// Database.
        database: CompactString,
        /// Instance.
        instance: CompactString,
        /// Whether it may.
        holds: bool,
    },
    /// Whether an instance's data is proved to be no older than an age.
    Fresh {
        /// Instance.
        instance: CompactString,
        /// When.
        at_ms: u64,
        /// The age.
        age_ms: u64,
        /// Whether it is.
        holds: bool,
    },
    /// The last decision about a key or an attempt, in words.
    Decision {
        /// Its name.
        decision: CompactString,
    },
    /// The next work to start.
    Next {
        /// When.
        at_ms: u64,
        /// Its number; null for none.
        id: Option<u64>,
    },
    /// Whether the last offer was refused.
    Refused {
        /// Whether it was.
        holds: bool,
    },
}
