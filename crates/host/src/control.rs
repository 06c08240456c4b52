//! The control thread: takes events, keeps control state, publishes views.

mod coordinator;
mod state;

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;

use async_channel::Receiver;
use fulmarrill_ownership::HostName;
use fulmarrill_peer::ControlUpdate;
use smol::{LocalExecutor, Timer};

use crate::context::SharedContext;
use crate::control::coordinator::CoordinatorSet;
use crate::control::state::ControlState;
use crate::error::HostError;
use crate::life::TURN_INTERVAL;

/// Something that the control thread should know.
#[derive(Debug)]
pub enum ControlEvent {
    /// Configuration from the store or from another host.
    News(ControlUpdate),
    /// Another host answered a probe.
    PeerAnswered {
        /// Name of the host.
        host: HostName,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// Another host does not answer.
    PeerSilent(HostName),
    /// Another host said that it leaves.
    PeerLeaving(HostName),
}

/// Starts the control thread. It ends when the event channel is closed.
pub(crate) fn start_thread(
    context: SharedContext,
    events: Receiver<ControlEvent>,
) -> Result<JoinHandle<()>, HostError> {
    let name = format!("control-{}", context.settings.host);
    let run = move || {
        let executor = std::rc::Rc::new(LocalExecutor::new());
        let control = run_control(context, events, executor.clone());
        smol::block_on(executor.run(control));
        // Cancelled tasks are dropped by their next turn, and with them all
        // that they hold.
        while executor.try_tick() {}
    };
    std::thread::Builder::new()
        .name(name)
        .spawn(run)
        .map_err(HostError::Thread)
}

async fn run_control(
    context: SharedContext,
    events: Receiver<ControlEvent>,
    executor: std::rc::Rc<LocalExecutor<'static>>,
) {
    let mut state = ControlState::new(context.host_entry());
    let mut coordinators = CoordinatorSet::new();
    context.view.publish(state.view());
    loop {
        let event = async { Some(events.recv().await) };
        let turn = async {
            Timer::after(TURN_INTERVAL).await;
            None
        };
        match smol::future::or(event, turn).await {
            Some(Err(_)) => return,
            Some(Ok(event)) => {
                let changed = state.handle(event);
                if changed {
                    publish(&context, &state);
                }
            }
            None => {}
        }
        let now = Instant::now();
        if context.life.note_turn(now) {
            log::warn!("host was stopped for a while; control state is read again");
            coordinators.clear();
            context.peers.forget_all();
            crate::platform::refresh(Arc::clone(&context));
        }
        if state.set_own(context.host_entry()) {
            publish(&context, &state);
        }
        coordinators.adjust(&context, &executor);
    }
}

fn publish(context: &SharedContext, state: &ControlState) {
    let view = state.view();
    context.owners.apply_view(context, &view);
    context.view.publish(view);
}
