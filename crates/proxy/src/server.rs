//! Runs the parts of a host: listeners, upkeep and the control thread.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_link::serve_links;
use fulmarrill_position::{DatabaseName, Term};
use smol::net::TcpListener;
use smol::{Executor, Task, Timer};

use crate::catalogue::RunName;
use crate::clock::BootTime;
use crate::context::SharedContext;
use crate::control::plan::ControlAction;
use crate::control::{ControlEvent, ControlState};
use crate::entry::session::serve_caller;
use crate::peers::{LINK_TIMING, ProxyCall, ProxyProtocol, ProxyReply};
use crate::records::{RequestCopy, run_record_copies};
use crate::relay::order::fetch_terms;
use crate::relay::run_relay;
use crate::relay::update::answer_request;

/// Time between two rounds of upkeep; idle transactions end that much late.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an action that had no effect is planned again.
const ACTION_INTERVAL: Duration = Duration::from_millis(800);
/// Longest time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// Something happened.
    Event(ControlEvent),
    /// Another host asks for a term to be given up.
    Release {
        /// The database.
        database: DatabaseName,
        /// The term.
        term: Term,
        /// The run that held it.
        run: RunName,
        /// Answered once the view says so.
        done: async_channel::Sender<()>,
    },
}

/// Where the control thread takes messages.
pub type ControlSender = Sender<ControlMessage>;

/// Starts the control thread. It publishes views and sends out actions until
/// every sender is gone.
///
/// # Errors
///
/// When the system refuses a thread.
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
                let answer = take_message(&mut state, message);
                let view = state.view();
                context.owners.apply_view(&view);
                context.view.publish(view);
                if let Some(answer) = answer {
                    answer.try_send(()).ok();
                }
            }
            Err(RecvTimeoutError::Timeout) => {
                if state.expire(Instant::now()) {
                    let view = state.view();
                    context.owners.apply_view(&view);
                    context.view.publish(view);
                }
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        issued.retain(|(_, again_at)| now < *again_at);
        for action in state.plan(now) {
            if issued.iter().any(|(other, _)| *other == action) {
                continue;
            }
            issued.push((action.clone(), now + ACTION_INTERVAL));
            actions.try_send(action).ok();
        }
    }
}

fn take_message(
    state: &mut ControlState,
    message: ControlMessage,
) -> Option<async_channel::Sender<()>> {
    match message {
        ControlMessage::Event(event) => {
            state.handle(Instant::now(), event);
            None
        }
        ControlMessage::Release {
            database,
            term,
            run,
            done,
        } => {
            let held = state.release(&database, term, &run);
            log::info!("term {term} of {database} is given up, held here: {held}");
            Some(done)
        }
    }
}

/// Takes callers on `listener` until the task is dropped.
pub async fn accept_callers(context: SharedContext, listener: TcpListener) {
    let executor = Executor::new();
    executor
        .run(async {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        executor
                            .spawn(serve_caller(context.clone(), stream))
                            .detach();
                    }
                    Err(error) => {
                        log::warn!("caller cannot be accepted: {error}");
                        Timer::after(UPKEEP_INTERVAL).await;
                    }
                }
            }
        })
        .await;
}

/// Answers other hosts on `listener` until the task is dropped.
pub async fn answer_peers(context: SharedContext, listener: TcpListener, control: ControlSender) {
    let for_close = context.clone();
    let on_close = move |host: CompactString| {
        for_close.owners.drop_pins_of(&host);
        for_close.records.handle_link_closed(&host, Instant::now());
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
            let copy = RequestCopy::new(&request);
            let answer = context.owners.run(from, *request).await;
            // A host that is not listed yet keeps its records alone.
            if let Some(host) = context.view.load().host(from) {
                context
                    .records
                    .hold_copy(host, Instant::now(), copy, &answer);
            }
            ProxyReply::Work(answer)
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
            ProxyReply::Update(Box::new(answer_request(context, request).await))
        }
        ProxyCall::TermWritten => {
            ask_back(context, control, from);
            ProxyReply::Noted
        }
        ProxyCall::Reach(instance) => ProxyReply::Reaches(context.owners.reaches(&instance).await),
        ProxyCall::HandChange { database, term } => {
            log::info!("{database}: {from} hands its turn to change the primary on");
            let event = ControlEvent::Handed { database, term };
            // Fails only while the process ends.
            control.send(ControlMessage::Event(event)).ok();
            // This host may follow others that have not heard of the record.
            ask_back(context, control, from);
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

/// Asks the host that has just called for the terms that it knows.
fn ask_back(context: &SharedContext, control: &ControlSender, from: &str) {
    let view = context.view.load();
    let Some(host) = view.host(from) else {
        return;
    };
    let (context, control, address) = (context.clone(), control.clone(), host.address.clone());
    let asking = async move { fetch_terms(&context, &control, &address).await };
    fulmarrill_runtime::spawn(asking).detach();
}

/// Gives a term up for good, if `run` is this run; returns once traffic knows.
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

/// Ends idle transactions and watches over instances, for as long as the task
/// lives.
pub async fn run_upkeep(context: SharedContext, control: ControlSender) {
    let mut known = BTreeSet::new();
    loop {
        Timer::after(UPKEEP_INTERVAL).await;
        let now = Instant::now();
        context.owners.upkeep(now);
        context.records.expire_copies(now);
        let down = context.owners.down(now);
        if down != known {
            log::warn!("instances that cannot be reached: {down:?}");
            known.clone_from(&down);
            // Fails only while the process ends.
            control
                .send(ControlMessage::Event(ControlEvent::Down(down)))
                .ok();
        }
    }
}

/// Starts the tasks of a host.
#[must_use]
pub fn start_traffic(
    context: &SharedContext,
    callers: TcpListener,
    peers: TcpListener,
    control: ControlSender,
) -> Vec<Task<()>> {
    vec![
        fulmarrill_runtime::spawn(accept_callers(context.clone(), callers)),
        fulmarrill_runtime::spawn(answer_peers(context.clone(), peers, control.clone())),
        fulmarrill_runtime::spawn(run_upkeep(context.clone(), control.clone())),
        fulmarrill_runtime::spawn(run_record_copies(context.clone())),
        fulmarrill_runtime::spawn(run_relay(context.clone(), control)),
    ]
}
