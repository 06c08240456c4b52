//! The messages as they go over a link.
//!
//! Wire types are apart from the types that the rest of the code uses, so that
//! either may change without the other. Times go as milliseconds from the
//! moment of sending, since clocks of hosts are not compared.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_link::LinkProtocol;
use fulmarrill_ownership::HostEntry;
use fulmarrill_position::{LogPoint, Term};
use fulmarrill_replication::DatabaseGroup;
use serde::{Deserialize, Serialize};

use crate::message::{
    ControlDocument, ControlGroup, ControlHosts, ControlUpdate, ControlVersions, NotRunReason,
    PeerCall, PeerReply, PreparedParse, RecordBatch, WaitHint, WorkAnswer, WorkKind, WorkRequest,
};

/// Version of the wire format. A host refuses frames of another one.
pub const WIRE_VERSION: u16 = 1;

/// The calls and replies between hosts.
#[derive(Debug)]
pub struct HostProtocol;

impl LinkProtocol for HostProtocol {
    const VERSION: u16 = WIRE_VERSION;
    type Call = PeerCall;
    type Reply = PeerReply;
    type WireCall = WireCall;
    type WireReply = WireReply;
}

/// Milliseconds from now on.
type WireDelay = u64;

fn delay_until(deadline: Instant) -> WireDelay {
    let delay = deadline.saturating_duration_since(Instant::now());
    u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
}

/// Longest delay that is believed, so that no sum overflows.
const DELAY_MAX: Duration = Duration::from_hours(24);

fn deadline_after(delay: WireDelay) -> Instant {
    Instant::now() + Duration::from_millis(delay).min(DELAY_MAX)
}

/// [`WorkKind`] on the wire.
#[derive(Debug, Deserialize, Serialize)]
pub enum WireKind {
    /// A read.
    Read(LogPoint),
    /// A write.
    Write,
    /// A step of a transaction.
    Step(u64),
    /// The end of a transaction.
    Abandon(u64),
}

/// [`PreparedParse`] on the wire.
#[derive(Debug, Deserialize, Serialize)]
pub struct WirePrepared {
    name: CompactString,
    #[serde(with = "serde_bytes")]
    parse: Vec<u8>,
}

/// [`WorkRequest`] on the wire.
#[derive(Debug, Deserialize, Serialize)]
pub struct WireRequest {
    database: CompactString,
    instance: CompactString,
    term: Term,
    kind: WireKind,
    rank: usize,
    flow: CompactString,
    customer: CompactString,
    key: Option<CompactString>,
    time_left: WireDelay,
    prepared: Vec<WirePrepared>,
    #[serde(with = "serde_bytes")]
    payload: Vec<u8>,
}

/// [`NotRunReason`] on the wire.
#[derive(Debug, Deserialize, Serialize)]
pub enum WireReason {
    /// See [`NotRunReason::NotOwner`].
    NotOwner,
    /// See [`NotRunReason::NotPrimary`].
    NotPrimary,
    /// See [`NotRunReason::Behind`].
    Behind,
    /// See [`NotRunReason::ReadOnly`].
    ReadOnly,
    /// See [`NotRunReason::Deadline`].
    Deadline,
    /// See [`NotRunReason::Overload`].
    Overload,
    /// See [`NotRunReason::Unavailable`].
    Unavailable,
    /// See [`NotRunReason::TransactionLost`].
    TransactionLost,
    /// See [`NotRunReason::KeyMismatch`].
    KeyMismatch,
    /// See [`NotRunReason::KeyRefused`].
    KeyRefused,
}

/// [`WorkAnswer`] on the wire.
#[derive(Debug, Deserialize, Serialize)]
pub enum WireAnswer {
    /// Served.
    Served {
        /// Messages for the caller.
        #[serde(with = "serde_bytes")]
        payload: Vec<u8>,
        /// Transaction status.
        status: u8,
        /// Point seen.
        point: LogPoint,
        /// Pin.
        pin: Option<u64>,
        /// SQLSTATE.
        sqlstate: Option<CompactString>,
    },
    /// Not run.
    NotRun {
        /// Why.
        reason: WireReason,
        /// For the caller.
        message: CompactString,
    },
    /// Unknown.
    Unknown {
        /// For the caller.
        message: CompactString,
    },
}

/// [`ControlUpdate`] on the wire.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct WireNews {
    document: Option<(u64, String)>,
    groups: Vec<(u64, DatabaseGroup)>,
    hosts: Option<(u64, Vec<HostEntry>)>,
}

/// [`ControlVersions`] on the wire.
#[derive(Debug, Deserialize, Serialize)]
pub struct WireVersions {
    document: u64,
    groups: u64,
    hosts: u64,
}

/// [`PeerCall`] on the wire.
#[derive(Debug, Deserialize, Serialize)]
pub enum WireCall {
    /// Probe.
    Probe,
    /// Work.
    Work(Box<WireRequest>),
    /// Position.
    Position(CompactString),
    /// Control.
    Control(WireVersions),
    /// News.
    News(WireNews),
    /// Drain.
    Drain(CompactString, WireDelay),
    /// Records.
    Records {
        /// Packed segments.
        segments: Vec<serde_bytes::ByteBuf>,
        /// What the store holds.
        stored: Vec<(CompactString, CompactString, u64)>,
    },
    /// Leaving.
    Leaving,
}

/// [`PeerReply`] on the wire.
#[derive(Debug, Deserialize, Serialize)]
pub enum WireReply {
    /// Done.
    Done,
    /// Refused.
    Refused(CompactString),
    /// State.
    State {
        /// Versions in force.
        versions: WireVersions,
        /// Leaving.
        leaving: bool,
        /// Instance, rank and wait.
        hints: Vec<(CompactString, usize, WireDelay)>,
    },
    /// Work.
    Work(WireAnswer),
    /// Position.
    Position(LogPoint),
    /// News.
    News(WireNews),
}

impl From<WorkKind> for WireKind {
    fn from(kind: WorkKind) -> Self {
        match kind {
            WorkKind::Read(floor) => Self::Read(floor),
            WorkKind::Write => Self::Write,
            WorkKind::Step(pin) => Self::Step(pin),
            WorkKind::Abandon(pin) => Self::Abandon(pin),
        }
    }
}

impl From<WireKind> for WorkKind {
    fn from(kind: WireKind) -> Self {
        match kind {
            WireKind::Read(floor) => Self::Read(floor),
            WireKind::Write => Self::Write,
            WireKind::Step(pin) => Self::Step(pin),
            WireKind::Abandon(pin) => Self::Abandon(pin),
        }
    }
}

impl From<WorkRequest> for WireRequest {
    fn from(request: WorkRequest) -> Self {
        let mut prepared = Vec::new();
        for PreparedParse { name, parse } in request.prepared {
            prepared.push(WirePrepared { name, parse });
        }
        Self {
            database: request.database,
            instance: request.instance,
            term: request.term,
            kind: request.kind.into(),
            rank: request.rank,
            flow: request.flow,
            customer: request.customer,
            key: request.key,
            time_left: delay_until(request.deadline),
            prepared,
            payload: request.payload,
        }
    }
}

impl From<WireRequest> for WorkRequest {
    fn from(request: WireRequest) -> Self {
        let mut prepared = Vec::new();
        for WirePrepared { name, parse } in request.prepared {
            prepared.push(PreparedParse { name, parse });
        }
        Self {
            database: request.database,
            instance: request.instance,
            term: request.term,
            kind: request.kind.into(),
            rank: request.rank,
            flow: request.flow,
            customer: request.customer,
            key: request.key,
            deadline: deadline_after(request.time_left),
            prepared,
            payload: request.payload,
        }
    }
}

/// Writes both directions of a one-to-one mapping of reasons.
macro_rules! map_reasons {
    ($($name:ident),+ $(,)?) => {
        impl From<NotRunReason> for WireReason {
            fn from(reason: NotRunReason) -> Self {
                match reason { $(NotRunReason::$name => Self::$name,)+ }
            }
        }

        impl From<WireReason> for NotRunReason {
            fn from(reason: WireReason) -> Self {
                match reason { $(WireReason::$name => Self::$name,)+ }
            }
        }
    };
}

map_reasons!(
    NotOwner,
    NotPrimary,
    Behind,
    ReadOnly,
    Deadline,
    Overload,
    Unavailable,
    TransactionLost,
    KeyMismatch,
    KeyRefused,
);

impl From<WorkAnswer> for WireAnswer {
    fn from(answer: WorkAnswer) -> Self {
        match answer {
            WorkAnswer::Served {
                payload,
                status,
                point,
                pin,
                sqlstate,
            } => Self::Served {
                payload,
                status,
                point,
                pin,
                sqlstate,
            },
            WorkAnswer::NotRun { reason, message } => Self::NotRun {
                reason: reason.into(),
                message,
            },
            WorkAnswer::Unknown { message } => Self::Unknown { message },
        }
    }
}

impl From<WireAnswer> for WorkAnswer {
    fn from(answer: WireAnswer) -> Self {
        match answer {
            WireAnswer::Served {
                payload,
                status,
                point,
                pin,
                sqlstate,
            } => Self::Served {
                payload,
                status,
                point,
                pin,
                sqlstate,
            },
            WireAnswer::NotRun { reason, message } => Self::NotRun {
                reason: reason.into(),
                message,
            },
            WireAnswer::Unknown { message } => Self::Unknown { message },
        }
    }
}

impl From<ControlUpdate> for WireNews {
    fn from(news: ControlUpdate) -> Self {
        let document = news
            .document
            .map(|document| (document.version, document.text));
        let mut groups = Vec::new();
        for ControlGroup { version, group } in news.groups {
            groups.push((version, group));
        }
        let hosts = news.hosts.map(|list| (list.version, list.hosts));
        Self {
            document,
            groups,
            hosts,
        }
    }
}

impl From<WireNews> for ControlUpdate {
    fn from(news: WireNews) -> Self {
        let document = news
            .document
            .map(|(version, text)| ControlDocument { version, text });
        let mut groups = Vec::new();
        for (version, group) in news.groups {
            groups.push(ControlGroup { version, group });
        }
        let hosts = news
            .hosts
            .map(|(version, hosts)| ControlHosts { version, hosts });
        Self {
            document,
            groups,
            hosts,
        }
    }
}

impl From<ControlVersions> for WireVersions {
    fn from(versions: ControlVersions) -> Self {
        Self {
            document: versions.document,
            groups: versions.groups,
            hosts: versions.hosts,
        }
    }
}

impl From<WireVersions> for ControlVersions {
    fn from(versions: WireVersions) -> Self {
        Self {
            document: versions.document,
            groups: versions.groups,
            hosts: versions.hosts,
        }
    }
}

impl From<PeerCall> for WireCall {
    fn from(call: PeerCall) -> Self {
        match call {
            PeerCall::Probe => Self::Probe,
            PeerCall::Work(request) => Self::Work(Box::new((*request).into())),
            PeerCall::Position(database) => Self::Position(database),
            PeerCall::Control(versions) => Self::Control(versions.into()),
            PeerCall::Update(update) => Self::News(update.into()),
            PeerCall::Drain(database, deadline) => Self::Drain(database, delay_until(deadline)),
            PeerCall::Records(batch) => {
                let mut segments = Vec::new();
                for segment in batch.segments {
                    segments.push(serde_bytes::ByteBuf::from(segment));
                }
                Self::Records {
                    segments,
                    stored: batch.stored,
                }
            }
            PeerCall::Leaving => Self::Leaving,
        }
    }
}

impl From<WireCall> for PeerCall {
    fn from(call: WireCall) -> Self {
        match call {
            WireCall::Probe => Self::Probe,
            WireCall::Work(request) => Self::Work(Box::new((*request).into())),
            WireCall::Position(database) => Self::Position(database),
            WireCall::Control(versions) => Self::Control(versions.into()),
            WireCall::News(update) => Self::Update(update.into()),
            WireCall::Drain(database, delay) => Self::Drain(database, deadline_after(delay)),
            WireCall::Records { segments, stored } => {
                let mut plain = Vec::new();
                for segment in segments {
                    plain.push(segment.into_vec());
                }
                Self::Records(RecordBatch {
                    segments: plain,
                    stored,
                })
            }
            WireCall::Leaving => Self::Leaving,
        }
    }
}

impl From<PeerReply> for WireReply {
    fn from(reply: PeerReply) -> Self {
        match reply {
            PeerReply::Done => Self::Done,
            PeerReply::Refused(why) => Self::Refused(why),
            PeerReply::State {
                versions,
                leaving,
                hints,
            } => {
                let mut wire = Vec::new();
                for hint in hints {
                    wire.push((hint.instance, hint.rank, delay_until(hint.start_at)));
                }
                Self::State {
                    versions: versions.into(),
                    leaving,
                    hints: wire,
                }
            }
            PeerReply::Work(answer) => Self::Work(answer.into()),
            PeerReply::Position(point) => Self::Position(point),
            PeerReply::Update(update) => Self::News(update.into()),
        }
    }
}

impl From<WireReply> for PeerReply {
    fn from(reply: WireReply) -> Self {
        match reply {
            WireReply::Done => Self::Done,
            WireReply::Refused(why) => Self::Refused(why),
            WireReply::State {
                versions,
                leaving,
                hints,
            } => {
                let mut plain = Vec::new();
                for (instance, rank, delay) in hints {
                    plain.push(WaitHint {
                        instance,
                        rank,
                        start_at: deadline_after(delay),
                    });
                }
                Self::State {
                    versions: versions.into(),
                    leaving,
                    hints: plain,
                }
            }
            WireReply::Work(answer) => Self::Work(answer.into()),
            WireReply::Position(point) => Self::Position(point),
            WireReply::News(update) => Self::Update(update.into()),
        }
    }
}
