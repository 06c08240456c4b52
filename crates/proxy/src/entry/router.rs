//! Sends work to the owner of an instance.

use std::time::{Duration, Instant};

use fulmarrill_position::{DatabaseName, LogPoint, Term};

use crate::catalogue::{HostName, InstanceEntry, InstanceId};
use crate::clock::BootTime;
use crate::context::SharedContext;
use crate::peers::{ProxyCall, ProxyReply};
use crate::view::TrafficView;
use crate::work::{NotRunReason, WorkAnswer, WorkRequest, WorkStep};

/// Owners that are tried for one instance before the entry gives up.
const OWNERS_MAX: usize = 3;

/// Time for an answer on its way from an owner: one way between regions, and a
/// turn of the processor.
const REPLY_TIME: Duration = Duration::from_millis(30);

/// An answer and the host that gave it.
#[derive(Debug)]
pub struct RoutedAnswer {
    /// The answer.
    pub answer: WorkAnswer,
    /// Owner that has the transaction, if one goes on.
    pub owner: HostName,
    /// Database.
    pub database: DatabaseName,
    /// Instance that it was sent to.
    pub instance: InstanceId,
    /// Term that the instance was to lead, if it had to be the primary.
    pub lead: Option<Term>,
    /// Position that the instance had to have.
    pub floor: Option<LogPoint>,
}

impl RoutedAnswer {
    /// The answer to work that was sent nowhere.
    #[must_use]
    pub fn not_run(reason: NotRunReason) -> Self {
        Self {
            answer: WorkAnswer::NotRun(reason),
            owner: HostName::default(),
            database: DatabaseName::default(),
            instance: InstanceId::default(),
            lead: None,
            floor: None,
        }
    }
}

/// Sends work to the owner of `instance`, or to the next in line if the owner
/// cannot be reached or cannot reach the instance.
pub async fn send_work(
    context: &SharedContext,
    view: &TrafficView,
    instance: &InstanceEntry,
    request: WorkRequest,
) -> RoutedAnswer {
    let region = context.region_of(&instance.data_centre);
    let owners = view.owner_candidates(instance, region);
    let mut result = WorkAnswer::NotRun(NotRunReason::NoOwner);
    let mut tried = 0;
    for host in owners {
        let is_self = host.name == context.place.host;
        if !is_self && context.peers.is_avoided(&host.address) {
            continue;
        }
        if tried == OWNERS_MAX || Instant::now() >= request.deadline {
            break;
        }
        tried += 1;
        result = send_to_host(context, &host.name, &host.address, request.clone()).await;
        let pass_on = matches!(
            result,
            WorkAnswer::NotRun(NotRunReason::NoOwner | NotRunReason::Unreachable)
        );
        if !pass_on {
            return RoutedAnswer {
                answer: result,
                owner: host.name.clone(),
                database: request.database,
                instance: request.instance,
                lead: request.lead,
                floor: request.after,
            };
        }
    }
    RoutedAnswer {
        answer: result,
        database: request.database,
        instance: request.instance,
        lead: request.lead,
        floor: request.after,
        owner: HostName::default(),
    }
}

/// Sends work to one host.
pub async fn send_to_host(
    context: &SharedContext,
    host: &str,
    address: &str,
    mut request: WorkRequest,
) -> WorkAnswer {
    let instance = request.instance.clone();
    let database = request.database.clone();
    let lead = request.lead;
    let step = request.step;
    let deadline = request.deadline;
    let sent_at = BootTime::now();
    context.entry.note_sent(&instance);
    let answer = if host == context.place.host {
        // Boxed, so that a session which waits for another host stays small.
        Box::pin(context.owners.run(host, request)).await
    } else {
        // The owner's word that it did not run must arrive in time.
        request.deadline = deadline.checked_sub(REPLY_TIME).unwrap_or(deadline);
        let call = ProxyCall::Run(Box::new(request));
        match context.peers.call(address, call, deadline).await {
            Ok(ProxyReply::Work(answer)) => answer,
            Ok(_) => WorkAnswer::Unknown,
            Err(error) if error.may_have_arrived() => WorkAnswer::Unknown,
            Err(_) if matches!(step, WorkStep::Continue(_)) => {
                WorkAnswer::NotRun(NotRunReason::TransactionLost)
            }
            Err(_) => WorkAnswer::NotRun(NotRunReason::NoOwner),
        }
    };
    let served = match &answer {
        WorkAnswer::Served { point, pin, .. } => {
            // Inside a transaction the position may be that of its snapshot.
            if let (Some(_), Some(point), None) = (lead, point, pin) {
                // The answer was made after the work was sent.
                context.entry.note_position(&database, sent_at, *point);
            }
            Some(BootTime::now().since(sent_at))
        }
        _ => None,
    };
    context.entry.note_ended(&instance, served);
    answer
}
