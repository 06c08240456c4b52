//! Wire types of the messages, and their conversions.
//!
//! Wire types are separate from the types that the rest of the code uses, so
//! that either can change without the other. Deadlines are sent as the
//! milliseconds left at sending, since hosts do not compare their clocks.

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

/// Version of the wire format. A host refuses links of another version.
pub const WIRE_VERSION: u16 = 1;

/// The link protocol between hosts.
#[derive(Debug)]
pub struct HostProtocol;

impl LinkProtocol for HostProtocol {
    const VERSION: u16 = WIRE_VERSION;
    type Call = PeerCall;
    type Reply = PeerReply;
    type WireCall = WireCall;
    type WireReply = WireReply;
}

/// Milliseconds from the time of sending.
type WireDelay = u64;

fn delay_until(deadline: Instant) -> WireDelay {
    let delay = deadline.saturating_duration_since(Instant::now());
    u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
}

/// Longest delay accepted, so that adding it to an instant cannot overflow.
const DELAY_MAX: Duration = Duration::from_hours(24);

fn deadline_after(delay: WireDelay) -> Instant {
    Instant::now() + Duration::from_millis(delay).min(DELAY_MAX)
}

/// [`WorkKind`] on the wire.
#[derive(Debug, Deserialize, Serialize)]
pub enum WireKind {
    /// See [`WorkKind::Read`].
    Read(LogPoint),
    /// See [`WorkKind::Write`].
    Write,
    /// See [`WorkKind::Step`].
    Step(u64),
    /// See [`WorkKind::Abandon`].
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
    /// See [`WorkAnswer::Served`].
    Served {
        /// Encoded messages for the caller.
        #[serde(with = "serde_bytes")]
        payload: Vec<u8>,
        /// Transaction status byte.
        status: u8,
        /// Log point that the session has observed.
        point: LogPoint,
        /// Identifier of the pinned connection.
        pin: Option<u64>,
        /// SQLSTATE of an error answer.
        sqlstate: Option<CompactString>,
    },
    /// See [`WorkAnswer::NotRun`].
    NotRun {
        /// Reason of the refusal.
        reason: WireReason,
        /// Error text for the caller.
        message: CompactString,
    },
    /// See [`WorkAnswer::Unknown`].
    Unknown {
        /// Error text for the caller.
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
    /// See [`PeerCall::Probe`].
    Probe,
    /// See [`PeerCall::Work`].
    Work(Box<WireRequest>),
    /// See [`PeerCall::Position`].
    Position(CompactString),
    /// See [`PeerCall::Control`].
    Control(WireVersions),
    /// See [`PeerCall::Update`].
    News(WireNews),
    /// See [`PeerCall::Drain`].
    Drain(CompactString, WireDelay),
    /// See [`PeerCall::Records`].
    Records {
        /// Serialized and compressed segments.
        segments: Vec<serde_bytes::ByteBuf>,
        /// Per chain, the number of the last record in the store.
        stored: Vec<(CompactString, CompactString, u64)>,
    },
    /// See [`PeerCall::Leaving`].
    Leaving,
}

/// [`PeerReply`] on the wire.
#[derive(Debug, Deserialize, Serialize)]
pub enum WireReply {
    /// See [`PeerReply::Done`].
    Done,
    /// See [`PeerReply::Refused`].
    Refused(CompactString),
    /// See [`PeerReply::State`].
    State {
        /// Versions of the configuration that the host applies.
        versions: WireVersions,
        /// Whether the host is leaving.
        leaving: bool,
        /// Instance, index of the rank, and queueing delay.
        hints: Vec<(CompactString, usize, WireDelay)>,
    },
    /// See [`PeerReply::Work`].
    Work(WireAnswer),
    /// See [`PeerReply::Position`].
    Position(LogPoint),
    /// See [`PeerReply::Update`].
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

/// Implements both conversions between reasons and wire reasons of the same name.
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
    fn from(update: ControlUpdate) -> Self {
        let document = update
            .document
            .map(|document| (document.version, document.text));
        let mut groups = Vec::new();
        for ControlGroup { version, group } in update.groups {
            groups.push((version, group));
        }
        let hosts = update.hosts.map(|list| (list.version, list.hosts));
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
                let mut packed_segments = Vec::new();
                for segment in segments {
                    packed_segments.push(segment.into_vec());
                }
                Self::Records(RecordBatch {
                    segments: packed_segments,
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
                let mut wire_hints = Vec::new();
                for hint in hints {
                    wire_hints.push((hint.instance, hint.rank, delay_until(hint.start_at)));
                }
                Self::State {
                    versions: versions.into(),
                    leaving,
                    hints: wire_hints,
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
                let mut wait_hints = Vec::new();
                for (instance, rank, delay) in hints {
                    wait_hints.push(WaitHint {
                        instance,
                        rank,
                        start_at: deadline_after(delay),
                    });
                }
                Self::State {
                    versions: versions.into(),
                    leaving,
                    hints: wait_hints,
                }
            }
            WireReply::Work(answer) => Self::Work(answer.into()),
            WireReply::Position(point) => Self::Position(point),
            WireReply::News(update) => Self::Update(update.into()),
        }
    }
}
