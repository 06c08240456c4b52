//! Calls between hosts.

pub mod pool;
pub mod wire;

use std::time::Duration;

use fulmarrill_link::{LinkProtocol, LinkTiming};
use fulmarrill_position::{DatabaseName, LogPoint, Term};
use fulmarrill_records::JournalRecord;

use crate::catalogue::{InstanceId, RunName};
use crate::relay::knowledge::{HostKnowledge, LearnQuestion};
use crate::work::{WorkAnswer, WorkRequest};

/// A quiet link is probed each second, which costs little, and given up after
/// three lost probes. While a call waits, 600 ms without a sign are enough: that
/// is below the least time of a statement, and many times a round trip.
pub const LINK_TIMING: LinkTiming =
    LinkTiming::new(Duration::from_secs(1), Duration::from_millis(3200))
        .with_call_receive_timeout(Duration::from_millis(600));

/// A call to another host.
#[derive(Debug, Clone)]
pub enum ProxyCall {
    /// Runs work at an instance.
    Run(Box<WorkRequest>),
    /// Asks for a position that covers every commit acknowledged until now.
    Position(DatabaseName),
    /// Asks for what the host knows of the store.
    Learn(LearnQuestion),
    /// Says that this host has written a term; the host should ask it.
    TermWritten,
    /// Gives the host copies of records, to keep for a while.
    Copy(Vec<JournalRecord>),
    /// Asks whether the host reaches an instance.
    Reach(InstanceId),
    /// Leaves a change of primary to the host, because the store does not let
    /// this one begin it.
    HandChange {
        /// The database.
        database: DatabaseName,
        /// The term whose primary is to be replaced.
        term: Term,
    },
    /// Asks a run of the host to give a term up for good.
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
    /// What became of the work.
    Work(WorkAnswer),
    /// A position, and how long before this reply it covered every commit. The
    /// caller counts back from the moment at which it asked.
    Position(Option<(Duration, LogPoint)>),
    /// What the host knows.
    Knowledge(Box<HostKnowledge>),
    /// Whether the host reaches the instance.
    Reaches(bool),
    /// The host asks for the term.
    Noted,
    /// The copies are kept.
    Copied,
    /// The host tries to make the change.
    Handed,
    /// The term is given up, or the run that held it has ended.
    Released,
}

/// Calls and replies between hosts.
#[derive(Debug)]
pub struct ProxyProtocol;

impl LinkProtocol for ProxyProtocol {
    const VERSION: u16 = 1;
    type Call = ProxyCall;
    type Reply = ProxyReply;
    type WireCall = wire::WireCall;
    type WireReply = wire::WireReply;
}
