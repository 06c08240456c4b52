//! Runs the parts of a host: listeners, periodic upkeep and the control thread.

use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_link::serve_links;
use fulmarrill_position::{DatabaseName, Term};
use fulmarrill_runtime::spawn_supervised;
use fulmarrill_spread::FeedKind;
use futures_lite::FutureExt;
use smol::net::TcpListener;
use smol::{Executor, Task, Timer};

use crate::catalogue::RunName;
use crate::clock::BootTime;
use crate::context::SharedContext;
use crate::control::plan::ControlAction;
use crate::control::{ControlEvent, ControlState};
use crate::entry::clients::{CallerAdmission, CallerSlot, ClientControl, ClientFault};
use crate::entry::reads::run_owned;
use crate::entry::session::serve_caller;
use crate::leaving::LeaveStage;
use crate::limits::run_reports;
use crate::members::reaches_host;
use crate::peers::{LINK_TIMING, ProxyCall, ProxyProtocol, ProxyReply};
use crate::records::{RequestCopy, run_record_copies};
use crate::relay::update::answer_request;
use crate::relay::{fetch_state, run_feed, run_watch_decisions};
use crate::work::{NotRunReason, WorkAnswer};

/// Time between two rounds of upkeep; idle transactions may end this much late.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the place of a connection that is being closed is looked for.
const CLOSING_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Time after which an action that is still planned is sent out again.
const ACTION_RETRY_INTERVAL: Duration = Duration::from_millis(800);
/// Longest time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// An event for the control state.
    Event(ControlEvent),
    /// Events that are applied in one step.
    Events(Vec<ControlEvent>),
    /// A request to release a term for good.
    Release {
        /// The database.
        database: DatabaseName,
        /// The term.
        term: Term,
        /// The run that is to release it.
        run: RunName,
        /// Notified once the published view shows the release.
        done: async_channel::Sender<()>,
    },
}

/// Sends messages to the control thread.
pub type ControlSender = Sender<ControlMessage>;

/// Starts the control thread. It publishes views and sends out actions until
/// every sender of messages is dropped.
///
/// # Errors
///
/// When the thread cannot be started.
pub fn start_control(
    context: SharedContext,
    state: ControlState,
    messages: Receiver<ControlMessage>,
    actions: async_channel::Sender<ControlAction>,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || run_control(&context, state, &messages, &actions))
}

fn run_control(
    context: &SharedContext,
    mut state: ControlState,
    messages: &Receiver<ControlMessage>,
    actions: &async_channel::Sender<ControlAction>,
) {
    let mut issued: Vec<(ControlAction, Instant)> = Vec::new();
    loop {
        match messages.recv_timeout(PLAN_INTERVAL) {
            Ok(message) => {
                // An event that control cannot handle must not end all others.
                let applying = AssertUnwindSafe(|| apply_message(&mut state, message));
                match catch_unwind(applying) {
                    Ok(answer) => {
                        publish_view(context, &state);
                        if let Some(answer) = answer {
                            answer.try_send(()).ok();
                        }
                    }
                    Err(_) => log::error!("an event of control panicked and was left out"),
                }
            }
            Err(RecvTimeoutError::Timeout) => {
                if state.expire(Instant::now()) {
                    publish_view(context, &state);
                }
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        if state.learn_era(now, context.era.get()) {
            publish_view(context, &state);
        }
        issued.retain(|(_, retry_at)| now < *retry_at);
        for action in state.plan(now) {
            if issued.iter().any(|(other, _)| *other == action) {
                continue;
            }
            issued.push((action.clone(), now + ACTION_RETRY_INTERVAL));
            actions.try_send(action).ok();
        }
    }
}

fn publish_view(context: &SharedContext, state: &ControlState) {
    let view = state.view();
    context.era.raise(view.versions.era);
    let held = context.view.load();
    if view.versions.hosts.digest != held.versions.hosts.digest
        || view.lost_hosts != held.lost_hosts
    {
        let hosts = view.listed_hosts.iter().chain(view.lost_hosts.iter());
        context.spreading.set_hosts(hosts);
    }
    context.owners.apply_view(&view);
    context.entry.placement().apply_view(&view);
    context.view.publish(view);
}

fn apply_message(
    state: &mut ControlState,
    message: ControlMessage,
) -> Option<async_channel::Sender<()>> {
    match message {
        ControlMessage::Event(event) => {
            state.handle(Instant::now(), event);
            None
        }
        ControlMessage::Events(events) => {
            for event in events {
                state.handle(Instant::now(), event);
            }
            None
        }
        ControlMessage::Release {
            database,
            term,
            run,
            done,
        } => {
            let is_own_run = state.release(&database, term, &run);
            log::info!("{database}: term {term} is released, held by this run: {is_own_run}");
            Some(done)
        }
    }
}

/// Accepts callers on `listener` until the host closes its sessions, and serves them until the task
/// is dropped.
pub async fn accept_callers(context: SharedContext, listener: TcpListener) {
    let executor = Executor::new();
    let serving = async {
        let closing = async {
            let progress = &context.leave_progress;
            progress.wait_for(LeaveStage::Closing).await;
        };
        accept_until_dropped(&context, &listener, &executor)
            .or(closing)
            .await;
        // A closed port refuses callers at once, and they go elsewhere.
        drop(listener);
        std::future::pending::<()>().await;
    };
    executor.run(serving).await;
}

/// Takes a place for a caller, after an older connection that has not opened a session
/// has given up its own; `None` if there is none.
async fn admit_caller(clients: &Arc<ClientControl>) -> Option<CallerSlot> {
    loop {
        match clients.admit() {
            CallerAdmission::Taken(slot) => return Some(slot),
            CallerAdmission::Refused => return None,
            CallerAdmission::Wait => {
                Timer::after(CLOSING_POLL_INTERVAL).await;
            }
        }
    }
}

async fn accept_until_dropped(
    context: &SharedContext,
    listener: &TcpListener,
    executor: &Executor<'_>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(slot) = admit_caller(&context.clients).await {
                    executor
                        .spawn(serve_caller(context.clone(), stream, slot))
                        .detach();
                } else {
                    context.clients.report(ClientFault::TooManyCallers);
                }
            }
            Err(error) => {
                // For example because the process has too many open files.
                log::debug!("a caller cannot be accepted: {error}");
                context.clients.report(ClientFault::TooManyCallers);
                Timer::after(UPKEEP_INTERVAL).await;
            }
        }
    }
}

/// Answers calls of other hosts on `listener` until the task is dropped.
pub async fn serve_peers(context: SharedContext, listener: TcpListener, control: ControlSender) {
    let close_context = context.clone();
    let on_close = move |host: CompactString| {
        close_context.owners.drop_pins_of(&host);
        close_context
            .records
            .handle_link_closed(&host, Instant::now());
    };
    let handler = move |from: CompactString, call: ProxyCall| {
        let (context, control) = (context.clone(), control.clone());
        async move { answer_call(&context, &control, &from, call).await }
    };
    serve_links::<ProxyProtocol, _, _>(
        listener,
        LINK_TIMING,
        Arc::new(handler),
        Arc::new(on_close),
    )
    .await;
}

async fn answer_call(
    context: &SharedContext,
    control: &ControlSender,
    from: &str,
    call: ProxyCall,
) -> ProxyReply {
    match call {
        ProxyCall::Run(request) => {
            let Some(_held) = context.clients.hold_peer_work(&request).await else {
                return ProxyReply::Work(WorkAnswer::NotRun(NotRunReason::Overload));
            };
            let copy = RequestCopy::new(&request);
            let hinted = request
                .wants_hint
                .then(|| (request.instance.clone(), request.rank, Instant::now()));
            let answer = run_owned(context, from, *request).await;
            // For a host that is not listed yet no copy of its records is kept here.
            if let Some(host) = context.view.load().host(from) {
                context
                    .records
                    .hold_copy(host, Instant::now(), copy, &answer);
            }
            let hint = hinted.and_then(|(instance, rank, arrived_at)| {
                context.owners.hint(&instance, rank, arrived_at)
            });
            match hint {
                Some(hint) => ProxyReply::HintedWork(answer, hint),
                None => ProxyReply::Work(answer),
            }
        }
        ProxyCall::Copy(records) => {
            if let Some(host) = context.view.load().host(from) {
                context.records.hold_copies(host, Instant::now(), records);
            }
            ProxyReply::Copied
        }
        ProxyCall::Position(database) => {
            let known = context.owners.primary_position(&database).await;
            ProxyReply::Position(known.map(|(as_of, point)| (BootTime::now().since(as_of), point)))
        }
        ProxyCall::RequestUpdate(request) => {
            if let Some(host) = context.view.load().host(from) {
                context.peers.record_heard(&host.address);
            }
            ProxyReply::Update(Box::new(answer_request(context, request).await))
        }
        ProxyCall::TermWritten => {
            fetch_state_from(context, control, from);
            ProxyReply::Noted
        }
        ProxyCall::Spend(report) => ProxyReply::Verdicts(context.limits.count(from, report)),
        ProxyCall::Reach(instance) => {
            ProxyReply::Reaches(context.owners.can_reach(&instance).await)
        }
        ProxyCall::Probe(host) => ProxyReply::Reaches(reaches_host(context, &host).await),
        ProxyCall::HandChange { database, term } => {
            log::info!("{database}: {from} handed over the change of primary");
            let event = ControlEvent::ChangeHandedOver { database, term };
            // Fails only while the process ends.
            control.send(ControlMessage::Event(event)).ok();
            // The upstreams of this host may not have that term's record yet.
            fetch_state_from(context, control, from);
            ProxyReply::Handed
        }
        ProxyCall::Release {
            database,
            term,
            run,
        } => {
            release_term(control, database, term, run).await;
            ProxyReply::Released
        }
    }
}

/// Starts a task that fetches what the calling host knows.
fn fetch_state_from(context: &SharedContext, control: &ControlSender, from: &str) {
    let view = context.view.load();
    let Some(host) = view.host(from) else {
        return;
    };
    let (context, control, address) = (context.clone(), control.clone(), host.address.clone());
    let fetching = async move { fetch_state(&context, &control, &address).await };
    fulmarrill_runtime::spawn(fetching).detach();
}

/// Releases a term for good if `run` is this run. Returns once the published
/// view shows the release.
pub async fn release_term(
    control: &ControlSender,
    database: DatabaseName,
    term: Term,
    run: RunName,
) {
    let (done, released) = async_channel::bounded(1);
    let message = ControlMessage::Release {
        database,
        term,
        run,
        done,
    };
    // Both fail only while the process ends.
    control.send(message).ok();
    released.recv().await.ok();
}

/// Runs the upkeep of owners and records, and reports unreachable instances to
/// control, until the task is dropped.
pub async fn run_upkeep(context: SharedContext, control: ControlSender) {
    let mut known_down = BTreeSet::new();
    loop {
        Timer::after(UPKEEP_INTERVAL).await;
        let now = Instant::now();
        context.owners.upkeep(now);
        context.limits.upkeep();
        context.records.expire_copies(now);
        for (instance, count) in context.owners.take_copied_answers() {
            context.statements.record_copied(&instance, count);
        }
        let down = context.owners.unreachable_instances(now);
        if down != known_down {
            log::warn!("unreachable instances: {down:?}");
            known_down.clone_from(&down);
            // Fails only while the process ends.
            control
                .send(ControlMessage::Event(ControlEvent::InstancesDown(down)))
                .ok();
        }
    }
}

/// Starts the listeners, upkeep, record copies and feeds of a host.
#[must_use]
pub fn start_traffic(
    context: &SharedContext,
    callers: TcpListener,
    peers: TcpListener,
    control: &ControlSender,
) -> Vec<Task<()>> {
    let mut tasks = vec![
        fulmarrill_runtime::spawn(accept_callers(context.clone(), callers)),
        fulmarrill_runtime::spawn(serve_peers(context.clone(), peers, control.clone())),
    ];
    let (own, sender) = (context.clone(), control.clone());
    tasks.push(spawn_supervised("upkeep", move || {
        run_upkeep(own.clone(), sender.clone())
    }));
    let own = context.clone();
    tasks.push(spawn_supervised("copying of records", move || {
        run_record_copies(own.clone())
    }));
    let own = context.clone();
    tasks.push(spawn_supervised("reports of operations", move || {
        run_reports(own.clone())
    }));
    let own = context.clone();
    tasks.push(spawn_supervised("decision to watch", move || {
        run_watch_decisions(own.clone())
    }));
    for kind in FeedKind::ALL {
        let (own, sender) = (context.clone(), control.clone());
        tasks.push(spawn_supervised("feed", move || {
            run_feed(own.clone(), sender.clone(), kind)
        }));
    }
    tasks
}
