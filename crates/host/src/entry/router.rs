//! Sends requests to the owners of instances and records how they answer.

use std::time::Instant;

use compact_str::{CompactString, format_compact};
use fulmarrill_document::RequestPolicy;
use fulmarrill_ownership::HostEntry;
use fulmarrill_peer::{
    NotRunReason, PeerCall, PeerReply, PinId, PreparedParse, WorkAnswer, WorkKind, WorkRequest,
};
use fulmarrill_position::{DatabaseName, InstanceName, LogPoint, Term};
use fulmarrill_replication::GroupInstance;

use crate::context::SharedContext;
use crate::view::ControlView;

/// A request of a session, before an instance is chosen for it.
#[derive(Debug, Clone)]
pub struct EntryRequest {
    /// Database.
    pub database: DatabaseName,
    /// Rank, time and age that the operators' document allows the session.
    pub policy: RequestPolicy,
    /// Service and customer; the queue is fair between the flows of a rank.
    pub flow: CompactString,
    /// Customer.
    pub customer: CompactString,
    /// Request key.
    pub key: Option<CompactString>,
    /// The point that the session must see; `None` if it has no position for
    /// the database.
    pub floor: Option<LogPoint>,
    /// When the answer is no longer useful to the caller.
    pub deadline: Instant,
    /// Prepared statements that the payload refers to.
    pub prepared: Vec<PreparedParse>,
    /// Encoded messages from the caller.
    pub payload: Vec<u8>,
}

/// Location of an open transaction: the connection to which it is pinned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransactionLocation {
    /// Host that owns the pinned connection.
    pub host: HostEntry,
    /// Instance that the connection goes to.
    pub instance: InstanceName,
    /// Term of the group when the transaction began.
    pub term: Term,
    /// Id of the pinned connection.
    pub pin: PinId,
}

/// An answer, with the transaction that it left open.
#[derive(Debug)]
pub struct RoutedAnswer {
    /// Answer of the owner, or a refusal by this entry.
    pub answer: WorkAnswer,
    /// Location of the transaction that the request left open, if any.
    pub location: Option<TransactionLocation>,
    /// Whether the request was sent as a read to a replica.
    pub by_replica: bool,
}

impl RoutedAnswer {
    /// An answer that leaves no transaction open.
    #[must_use]
    pub fn new(answer: WorkAnswer) -> Self {
        Self {
            answer,
            location: None,
            by_replica: false,
        }
    }
}

impl EntryRequest {
    /// Converts the request to the form that an owner takes.
    #[must_use]
    pub fn to_work(
        &self,
        instance: &str,
        term: Term,
        kind: WorkKind,
        deadline: Instant,
    ) -> WorkRequest {
        WorkRequest {
            database: self.database.clone(),
            instance: instance.into(),
            term,
            kind,
            rank: self.policy.rank,
            flow: self.flow.clone(),
            customer: self.customer.clone(),
            key: self.key.clone(),
            deadline,
            prepared: self.prepared.clone(),
            payload: self.payload.clone(),
        }
    }
}

/// Sends work to the host that owns the instance.
pub async fn send_to_owner(
    context: &SharedContext,
    view: &ControlView,
    instance: &GroupInstance,
    work: WorkRequest,
) -> RoutedAnswer {
    let Some(host) = view.owner_of(instance) else {
        let text = "no live host owns the instance";
        return RoutedAnswer::new(WorkAnswer::not_run(NotRunReason::Unavailable, text));
    };
    let term = work.term;
    let answer = send_to_host(context, host, work).await;
    let location = match &answer {
        WorkAnswer::Served { pin: Some(pin), .. } => Some(TransactionLocation {
            host: host.clone(),
            instance: instance.name.clone(),
            term,
            pin: *pin,
        }),
        _ => None,
    };
    RoutedAnswer {
        answer,
        location,
        by_replica: false,
    }
}

/// Sends work to a host, or runs it here if the host is this one.
pub async fn send_to_host(
    context: &SharedContext,
    host: &HostEntry,
    work: WorkRequest,
) -> WorkAnswer {
    let instance = work.instance.clone();
    let sent_at = Instant::now();
    context.entry.record_sent(&instance);
    let answer = if host.name == context.settings.host {
        Box::pin(crate::owner::run_work(context, &host.name, work)).await
    } else {
        call_host(context, host, work).await
    };
    let applied = match &answer {
        WorkAnswer::Served { point, .. } => Some(*point),
        _ => None,
    };
    context
        .entry
        .record_answer(&instance, sent_at.elapsed(), applied);
    answer
}

async fn call_host(context: &SharedContext, host: &HostEntry, work: WorkRequest) -> WorkAnswer {
    let deadline = work.deadline;
    let call = PeerCall::Work(Box::new(work));
    match context.peers.call(&host.peer_address, call, deadline).await {
        Ok(PeerReply::Work(answer)) => answer,
        Ok(_) => WorkAnswer::unknown("owner sent a reply of another kind"),
        Err(error) if error.may_have_arrived() => WorkAnswer::unknown(format_compact!(
            "owner {} did not answer: {error}",
            host.name
        )),
        Err(error) => {
            let text = format_compact!("owner {} cannot be reached: {error}", host.name);
            WorkAnswer::not_run(NotRunReason::Unavailable, text)
        }
    }
}
