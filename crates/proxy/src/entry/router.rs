//! Sends work to the owner of an instance.

use std::time::{Duration, Instant};

use fulmarrill_link::LinkError;
use fulmarrill_position::{DatabaseName, LogPoint, Term};

use crate::catalogue::{HostName, InstanceEntry, InstanceId};
use crate::clock::BootTime;
use crate::context::SharedContext;
use crate::entry::reads::run_owned;
use crate::entry::shares::observe;
use crate::peers::{ProxyCall, ProxyReply};
use crate::view::TrafficView;
use crate::work::{NotRunReason, WorkAnswer, WorkRequest, WorkStep};

/// Owners tried for one instance before the work is given up.
const MAX_OWNERS_TRIED: usize = 3;

/// Part of the time to the deadline that is reserved for the answer's way back
/// from the owner: the one-way latency between regions, and a scheduling delay.
const REPLY_MARGIN: Duration = Duration::from_millis(30);

/// An answer and the host that gave it.
#[derive(Debug)]
pub struct RoutedAnswer {
    /// The answer.
    pub answer: WorkAnswer,
    /// Host that ran or refused the work as the owner, empty if none was reached
    /// that could reach the instance. It holds the transaction if one is open.
    pub owner: HostName,
    /// Database that the work was for.
    pub database: DatabaseName,
    /// Instance that it was sent to.
    pub instance: InstanceId,
    /// Term of which the instance had to be the primary, if any.
    pub primary_term: Option<Term>,
    /// Position that the instance had to have reached, if any.
    pub floor: Option<LogPoint>,
}

impl RoutedAnswer {
    /// Creates the answer to work that was sent to no instance.
    #[must_use]
    pub fn not_run(reason: NotRunReason) -> Self {
        Self {
            answer: WorkAnswer::NotRun(reason),
            owner: HostName::default(),
            database: DatabaseName::default(),
            instance: InstanceId::default(),
            primary_term: None,
            floor: None,
        }
    }

    /// Returns the answer to work that an earlier attempt may have run. It is not said
    /// to have not run because a later attempt was refused.
    #[must_use]
    pub fn after_attempt(mut self, may_have_run: bool) -> Self {
        if may_have_run && matches!(self.answer, WorkAnswer::NotRun(_)) {
            self.answer = WorkAnswer::Unknown;
        }
        self
    }
}

/// Sends work to the owner of `instance`, or to the next host in the order of
/// owners if that one cannot be reached or cannot reach the instance.
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
        if tried == MAX_OWNERS_TRIED || Instant::now() >= request.deadline {
            break;
        }
        tried += 1;
        result = send_to_host(context, &host.name, &host.address, request.clone(), true).await;
        let should_try_next = matches!(
            result,
            WorkAnswer::NotRun(NotRunReason::NoOwner | NotRunReason::Unreachable)
        );
        if !should_try_next {
            return RoutedAnswer {
                answer: result,
                owner: host.name.clone(),
                database: request.database,
                instance: request.instance,
                primary_term: request.primary_term,
                floor: request.after,
            };
        }
    }
    RoutedAnswer {
        answer: result,
        database: request.database,
        instance: request.instance,
        primary_term: request.primary_term,
        floor: request.after,
        owner: HostName::default(),
    }
}

/// Sends work to one host. `shows_lead` says whether only an instance that leads serves
/// it at the primary: one that stepped down still commits a transaction that wrote
/// nothing.
pub async fn send_to_host(
    context: &SharedContext,
    host: &str,
    address: &str,
    mut request: WorkRequest,
    shows_lead: bool,
) -> WorkAnswer {
    let instance = request.instance.clone();
    let database = request.database.clone();
    let primary_term = request.primary_term;
    let step = request.step;
    let deadline = request.deadline;
    let rank = request.rank;
    let sent_at = BootTime::now();
    let now = Instant::now();
    request.wants_hint = context.byte_costs.load().is_some();
    let wants_hint = request.wants_hint;
    context.entry.record_work_sent(&instance);
    let mut hint = None;
    let mut is_unanswered = false;
    let answer = if host == context.place.host {
        // Boxed, so that the future of a session that waits for another host
        // stays small.
        let answer = Box::pin(run_owned(context, host, request)).await;
        if wants_hint {
            hint = context.owners.hint(&instance, rank, now);
        }
        answer
    } else {
        // A refusal by the owner must arrive before the caller's deadline.
        request.deadline = deadline.checked_sub(REPLY_MARGIN).unwrap_or(deadline);
        let call = ProxyCall::Run(Box::new(request));
        match context.peers.call(address, call, deadline).await {
            Ok(ProxyReply::Work(answer)) => answer,
            Ok(ProxyReply::HintedWork(answer, owner_hint)) => {
                hint = Some(owner_hint);
                answer
            }
            Ok(_) => WorkAnswer::Unknown,
            Err(error) => {
                // A deadline that passed may be due to the instance, and a refused
                // connection to the host.
                let is_refused = matches!(error, LinkError::ConnectionRefused(_));
                is_unanswered = !is_refused && context.peers.is_avoided(address);
                if error.may_have_arrived() {
                    WorkAnswer::Unknown
                } else if matches!(step, WorkStep::Continue(_)) {
                    WorkAnswer::NotRun(NotRunReason::TransactionLost)
                } else {
                    WorkAnswer::NotRun(NotRunReason::NoOwner)
                }
            }
        }
    };
    let served = match &answer {
        WorkAnswer::Served { point, pin, .. } => {
            // Inside a transaction the position may be that of its snapshot.
            if let (Some(_), Some(point), None, true) = (primary_term, point, pin, shows_lead) {
                // The instance answered after `sent_at`, so the position covers
                // every commit acknowledged up to `sent_at`.
                context.entry.record_position(&database, sent_at, *point);
            }
            Some(BootTime::now().since(sent_at))
        }
        _ => None,
    };
    context.entry.record_work_ended(&instance, served);
    if wants_hint && (hint.is_some() || is_unanswered) {
        observe(
            context,
            host,
            (&instance, rank),
            now.elapsed(),
            hint,
            &answer,
        );
    }
    answer
}
