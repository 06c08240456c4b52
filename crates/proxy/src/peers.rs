//! Calls between hosts, and the links that carry them.

pub mod pool;
pub mod wire;

use std::time::Duration;

use fulmarrill_link::{LinkProtocol, LinkTiming};
use fulmarrill_position::{DatabaseName, LogPoint, Term};
use fulmarrill_records::JournalRecord;

use crate::catalogue::{HostName, InstanceId, RunName};
use crate::limits::{SpendReport, Verdicts};
use crate::relay::update::{ViewRequest, ViewUpdate};
use crate::work::{OwnerHint, WorkAnswer, WorkRequest};

/// Timing of the links. An entry of a large fleet has a link to each owner and uses
/// it every few seconds, so most links are idle most of the time: they are pinged
/// every two seconds, and closed after two lost pings. While a call waits, 600 ms of
/// silence close it: less than the shortest statement timeout, and many round trips.
pub const LINK_TIMING: LinkTiming =
    LinkTiming::new(Duration::from_secs(2), Duration::from_millis(4400))
        .with_call_receive_timeout(Duration::from_millis(600));

/// A call to another host.
#[derive(Debug, Clone)]
pub enum ProxyCall {
    /// Runs work at an instance that the called host owns.
    Run(Box<WorkRequest>),
    /// Asks for a position of the database's primary that covers every commit
    /// acknowledged until a known moment.
    Position(DatabaseName),
    /// Long-polls the called host for changes of its view.
    RequestUpdate(ViewRequest),
    /// Notice that the calling host has written a term. The called host should
    /// fetch the terms from it.
    TermWritten,
    /// Copies records of requests, which the called host holds for a while.
    Copy(Vec<JournalRecord>),
    /// Reports operations of customers to the host that lends to them.
    Spend(SpendReport),
    /// Asks whether the called host reaches an instance.
    Reach(InstanceId),
    /// Asks whether the called host is this one, or reaches it.
    Probe(HostName),
    /// Hands a change of primary over to the called host, because the calling host
    /// could not reserve it in the store.
    HandChange {
        /// The database.
        database: DatabaseName,
        /// The term whose primary is to be replaced.
        term: Term,
    },
    /// Asks a run of the called host to release its lease on a term for good.
    Release {
        /// The database.
        database: DatabaseName,
        /// The term.
        term: Term,
        /// The run that holds it.
        run: RunName,
    },
}

/// The reply to a call.
#[derive(Debug, Clone)]
pub enum ProxyReply {
    /// The outcome of the work.
    Work(WorkAnswer),
    /// The outcome of work that asked for a hint. Work for
    /// an instance that the called host does not own is answered without one.
    HintedWork(WorkAnswer, OwnerHint),
    /// A position that covers every commit acknowledged until some time before
    /// this reply, and that time. The calling host subtracts it from the moment of
    /// its call.
    Position(Option<(Duration, LogPoint)>),
    /// The answer to a long poll.
    Update(Box<ViewUpdate>),
    /// Whether the called host reaches the instance, or the host.
    Reaches(bool),
    /// The customers that are over their limits.
    Verdicts(Verdicts),
    /// The notice was received.
    Noted,
    /// The copies were received.
    Copied,
    /// The called host tries to make the change.
    Handed,
    /// The lease is released, or the run that held it has ended.
    Released,
}

/// Link protocol between hosts of the proxy.
#[derive(Debug)]
pub struct ProxyProtocol;

impl LinkProtocol for ProxyProtocol {
    const VERSION: u16 = 5;
    type Call = ProxyCall;
    type Reply = ProxyReply;
    type WireCall = wire::WireCall;
    type WireReply = wire::WireReply;
}
