//! Wire format of calls and replies.
//!
//! A deadline is sent as the milliseconds left when it is sent, since the clocks
//! of hosts are not compared. Names are short because they are sent with each
//! statement, also between regions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_limits::{SpendLine, Verdict};
use fulmarrill_position::{DatabaseName, LogPoint, Term};
use fulmarrill_records::WireRecord;
use serde::{Deserialize, Serialize};

use crate::catalogue::RunName;
use crate::catalogue::customers::CustomerName;
use crate::codec::ErrorKind;
use crate::limits::SpendReport;
use crate::peers::{ProxyCall, ProxyReply};
use crate::relay::update::{ViewRequest, ViewUpdate};
use crate::statement::PreparedShape;
use crate::work::{
    NotRunReason, OwnerHint, PinId, WorkAnswer, WorkRequest, WorkStatement, WorkStep,
};

/// Upper bound of received times, so that adding them to a moment cannot overflow.
const WIRE_TIME_MAX: Duration = Duration::from_hours(1);

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn from_millis(time: u64) -> Duration {
    Duration::from_millis(time).min(WIRE_TIME_MAX)
}

fn tenths(time: Duration) -> u64 {
    u64::try_from(time.as_micros() / 100).unwrap_or(u64::MAX)
}

fn from_tenths(time: u64) -> Duration {
    Duration::from_micros(time.saturating_mul(100)).min(WIRE_TIME_MAX)
}

/// [`LogPoint`] on the wire: term and position.
type WirePoint = (u64, u64);

fn to_wire(point: LogPoint) -> WirePoint {
    (point.term, point.position)
}

fn from_wire(point: WirePoint) -> LogPoint {
    LogPoint::new(point.0, point.1)
}

/// [`WorkStep`] on the wire.
#[derive(Debug, Serialize, Deserialize)]
enum WireStep {
    #[serde(rename = "s")]
    Single,
    #[serde(rename = "b")]
    Begin(bool),
    #[serde(rename = "c")]
    Continue(PinId),
}

/// [`WorkStatement`] on the wire.
#[derive(Debug, Serialize, Deserialize)]
enum WireStatement {
    #[serde(rename = "t")]
    Text(CompactString, bool, CompactString),
    #[serde(rename = "p")]
    Prepared(CompactString, bool, CompactString, CompactString),
    #[serde(rename = "c")]
    Commit(CompactString),
    #[serde(rename = "r")]
    Rollback,
}

/// [`WorkRequest`] on the wire.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireWork {
    #[serde(rename = "d")]
    database: DatabaseName,
    #[serde(rename = "i")]
    instance: CompactString,
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    primary_term: Option<Term>,
    #[serde(rename = "r")]
    rank: usize,
    #[serde(rename = "w")]
    time_left: u64,
    #[serde(rename = "v", default, skip_serializing_if = "BTreeMap::is_empty")]
    values: BTreeMap<CompactString, CompactString>,
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    after: Option<WirePoint>,
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    max_age: Option<u64>,
    #[serde(rename = "u", default)]
    customer: CompactString,
    #[serde(rename = "k", default, skip_serializing_if = "std::ops::Not::not")]
    is_signed_in: bool,
    #[serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")]
    wants_hint: bool,
    #[serde(rename = "s")]
    step: WireStep,
    #[serde(rename = "q")]
    statement: WireStatement,
}

impl From<WorkRequest> for WireWork {
    fn from(request: WorkRequest) -> Self {
        Self {
            database: request.database,
            instance: request.instance,
            primary_term: request.primary_term,
            rank: request.rank,
            time_left: millis(request.deadline.saturating_duration_since(Instant::now())),
            values: Arc::unwrap_or_clone(request.values),
            after: request.after.map(to_wire),
            max_age: request.max_age.map(millis),
            customer: request.customer,
            is_signed_in: request.is_signed_in,
            wants_hint: request.wants_hint,
            step: match request.step {
                WorkStep::Single => WireStep::Single,
                WorkStep::Begin { reads_only } => WireStep::Begin(reads_only),
                WorkStep::Continue(pin) => WireStep::Continue(pin),
            },
            statement: match request.statement {
                WorkStatement::Text { id, writes, text } => WireStatement::Text(id, writes, text),
                WorkStatement::Prepared {
                    id,
                    shape,
                    arguments,
                } => WireStatement::Prepared(id, shape.writes, shape.text, arguments),
                WorkStatement::Commit(id) => WireStatement::Commit(id),
                WorkStatement::Rollback => WireStatement::Rollback,
            },
        }
    }
}

impl From<WireWork> for WorkRequest {
    fn from(wire: WireWork) -> Self {
        Self {
            database: wire.database,
            instance: wire.instance,
            primary_term: wire.primary_term,
            rank: wire.rank,
            deadline: Instant::now() + from_millis(wire.time_left),
            values: Arc::new(wire.values),
            after: wire.after.map(from_wire),
            max_age: wire.max_age.map(from_millis),
            customer: wire.customer,
            is_signed_in: wire.is_signed_in,
            wants_hint: wire.wants_hint,
            step: match wire.step {
                WireStep::Single => WorkStep::Single,
                WireStep::Begin(reads_only) => WorkStep::Begin { reads_only },
                WireStep::Continue(pin) => WorkStep::Continue(pin),
            },
            statement: match wire.statement {
                WireStatement::Text(id, writes, text) => WorkStatement::Text { id, writes, text },
                WireStatement::Prepared(id, writes, text, arguments) => WorkStatement::Prepared {
                    id,
                    shape: PreparedShape { writes, text },
                    arguments,
                },
                WireStatement::Commit(id) => WorkStatement::Commit(id),
                WireStatement::Rollback => WorkStatement::Rollback,
            },
        }
    }
}

/// A [`SpendLine`] with its customer on the wire: run, number, epoch, admitted and
/// refunded operations, whether it is the last.
type WireSpend = (CompactString, u64, u64, u64, u64, u64, u64, bool);

fn to_wire_spend((customer, line): (CustomerName, SpendLine)) -> WireSpend {
    (
        customer,
        line.run,
        line.sequence,
        line.epoch,
        line.admitted,
        line.refunded,
        line.waiting,
        line.is_last,
    )
}

fn from_wire_spend(wire: WireSpend) -> (CustomerName, SpendLine) {
    let (customer, run, sequence, epoch, admitted, refunded, waiting, is_last) = wire;
    let line = SpendLine {
        run,
        sequence,
        epoch,
        admitted,
        refunded,
        waiting,
        is_last,
    };
    (customer, line)
}

/// A [`Verdict`] with its customer on the wire: epoch, operations above the limit, and
/// milliseconds until the customer is below it.
type WireVerdict = (CompactString, u64, u64, u64);

fn to_wire_verdict((customer, verdict): (CustomerName, Verdict)) -> WireVerdict {
    let retry_after = millis(verdict.retry_after);
    (customer, verdict.epoch, verdict.over_by, retry_after)
}

fn from_wire_verdict((customer, epoch, over_by, time): WireVerdict) -> (CustomerName, Verdict) {
    let verdict = Verdict {
        epoch,
        over_by,
        retry_after: from_millis(time),
    };
    (customer, verdict)
}

/// [`ProxyCall`] on the wire.
#[derive(Debug, Serialize, Deserialize)]
pub enum WireCall {
    /// Runs work.
    #[serde(rename = "w")]
    Run(Box<WireWork>),
    /// Asks for a position.
    #[serde(rename = "p")]
    Position(DatabaseName),
    /// Long-polls for changes of the view.
    #[serde(rename = "k")]
    RequestUpdate(ViewRequest),
    /// Notice of a written term.
    #[serde(rename = "n")]
    TermWritten,
    /// Copies records.
    #[serde(rename = "c")]
    Copy(Vec<WireRecord>),
    /// Reports operations of customers.
    #[serde(rename = "o")]
    Spend(Vec<WireSpend>),
    /// Asks whether an instance is reached.
    #[serde(rename = "h")]
    Reach(CompactString),
    /// Asks whether a host is reached.
    #[serde(rename = "b")]
    Probe(CompactString),
    /// Hands over a change of primary, with the term that ends.
    #[serde(rename = "t")]
    HandChange(DatabaseName, Term),
    /// Asks to release a term.
    #[serde(rename = "r")]
    Release(DatabaseName, Term, RunName),
}

impl From<ProxyCall> for WireCall {
    fn from(call: ProxyCall) -> Self {
        match call {
            ProxyCall::Run(request) => Self::Run(Box::new((*request).into())),
            ProxyCall::Position(database) => Self::Position(database),
            ProxyCall::Copy(records) => Self::Copy(records.into_iter().map(Into::into).collect()),
            ProxyCall::Spend(report) => {
                Self::Spend(report.lines.into_iter().map(to_wire_spend).collect())
            }
            ProxyCall::Reach(instance) => Self::Reach(instance),
            ProxyCall::Probe(host) => Self::Probe(host),
            ProxyCall::RequestUpdate(request) => Self::RequestUpdate(request),
            ProxyCall::TermWritten => Self::TermWritten,
            ProxyCall::HandChange { database, term } => Self::HandChange(database, term),
            ProxyCall::Release {
                database,
                term,
                run,
            } => Self::Release(database, term, run),
        }
    }
}

impl From<WireCall> for ProxyCall {
    fn from(wire: WireCall) -> Self {
        match wire {
            WireCall::Run(request) => Self::Run(Box::new((*request).into())),
            WireCall::Position(database) => Self::Position(database),
            WireCall::Copy(records) => Self::Copy(records.into_iter().map(Into::into).collect()),
            WireCall::Spend(lines) => Self::Spend(SpendReport {
                lines: lines.into_iter().map(from_wire_spend).collect(),
            }),
            WireCall::Reach(instance) => Self::Reach(instance),
            WireCall::Probe(host) => Self::Probe(host),
            WireCall::RequestUpdate(request) => Self::RequestUpdate(request),
            WireCall::TermWritten => Self::TermWritten,
            WireCall::HandChange(database, term) => Self::HandChange { database, term },
            WireCall::Release(database, term, run) => Self::Release {
                database,
                term,
                run,
            },
        }
    }
}

/// [`ProxyReply`] on the wire.
#[derive(Debug, Serialize, Deserialize)]
pub enum WireReply {
    /// Work that was served: rows, proof, position, open transaction.
    #[serde(rename = "s")]
    Served(
        Vec<CompactString>,
        CompactString,
        Option<WirePoint>,
        Option<PinId>,
    ),
    /// Work that failed, with the error of the instance.
    #[serde(rename = "f")]
    Failed(ErrorKind, CompactString),
    /// Work that did not run.
    #[serde(rename = "n")]
    NotRun(NotRunReason),
    /// Work without a whole answer.
    #[serde(rename = "u")]
    Unknown,
    /// The outcome of work, after the expected time of the next request and the time
    /// spent at the owner, in tenths of a millisecond.
    #[serde(rename = "i")]
    Hinted(u64, u64, Box<WireReply>),
    /// A position and its age in milliseconds.
    #[serde(rename = "p")]
    Position(Option<(u64, WirePoint)>),
    /// The answer to a long poll.
    #[serde(rename = "k")]
    Update(Box<ViewUpdate>),
    /// Whether an instance is reached.
    #[serde(rename = "h")]
    Reaches(bool),
    /// The customers that are over their limits.
    #[serde(rename = "v")]
    Verdicts(Vec<WireVerdict>),
    /// The notice was received.
    #[serde(rename = "o")]
    Noted,
    /// Copies were received.
    #[serde(rename = "c")]
    Copied,
    /// The host tries to make the change.
    #[serde(rename = "t")]
    Handed,
    /// A term was released.
    #[serde(rename = "r")]
    Released,
}

impl From<ProxyReply> for WireReply {
    fn from(reply: ProxyReply) -> Self {
        match reply {
            ProxyReply::Work(WorkAnswer::Served {
                rows,
                proof,
                point,
                pin,
            }) => Self::Served(rows, proof, point.map(to_wire), pin),
            ProxyReply::Work(WorkAnswer::Failed { kind, text }) => Self::Failed(kind, text),
            ProxyReply::Work(WorkAnswer::NotRun(reason)) => Self::NotRun(reason),
            ProxyReply::Work(WorkAnswer::Unknown) => Self::Unknown,
            ProxyReply::HintedWork(answer, hint) => Self::Hinted(
                tenths(hint.next),
                tenths(hint.spent),
                Box::new(ProxyReply::Work(answer).into()),
            ),
            ProxyReply::Position(position) => {
                // Rounded up, so that the receiver computes no later moment.
                Self::Position(position.map(|(age, point)| (millis(age) + 1, to_wire(point))))
            }
            ProxyReply::Update(update) => Self::Update(update),
            ProxyReply::Reaches(reaches) => Self::Reaches(reaches),
            ProxyReply::Verdicts(verdicts) => {
                Self::Verdicts(verdicts.into_iter().map(to_wire_verdict).collect())
            }
            ProxyReply::Noted => Self::Noted,
            ProxyReply::Copied => Self::Copied,
            ProxyReply::Handed => Self::Handed,
            ProxyReply::Released => Self::Released,
        }
    }
}

impl From<WireReply> for ProxyReply {
    fn from(wire: WireReply) -> Self {
        match wire {
            WireReply::Served(rows, proof, point, pin) => Self::Work(WorkAnswer::Served {
                rows,
                proof,
                point: point.map(from_wire),
                pin,
            }),
            WireReply::Failed(kind, text) => Self::Work(WorkAnswer::Failed { kind, text }),
            WireReply::NotRun(reason) => Self::Work(WorkAnswer::NotRun(reason)),
            WireReply::Unknown => Self::Work(WorkAnswer::Unknown),
            WireReply::Hinted(next, spent, reply) => match (*reply).into() {
                Self::Work(answer) => Self::HintedWork(
                    answer,
                    OwnerHint {
                        next: from_tenths(next),
                        spent: from_tenths(spent),
                    },
                ),
                other => other,
            },
            WireReply::Position(position) => {
                Self::Position(position.map(|(age, point)| (from_millis(age), from_wire(point))))
            }
            WireReply::Update(update) => Self::Update(update),
            WireReply::Reaches(reaches) => Self::Reaches(reaches),
            WireReply::Verdicts(verdicts) => {
                Self::Verdicts(verdicts.into_iter().map(from_wire_verdict).collect())
            }
            WireReply::Noted => Self::Noted,
            WireReply::Copied => Self::Copied,
            WireReply::Handed => Self::Handed,
            WireReply::Released => Self::Released,
        }
    }
}
