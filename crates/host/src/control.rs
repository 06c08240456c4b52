//! The control thread: handles events, holds the control state and publishes
//! views of it.

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
use crate::lifecycle::TICK_INTERVAL;

/// An event for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// Documents, groups or hosts from the store or from another host.
    News(ControlUpdate),
    /// Another host answered a probe.
    PeerAlive {
        /// Name of the host that answered.
        host: HostName,
        /// Whether that host is leaving.
        leaving: bool,
    },
    /// Another host has failed several probes in a row.
    PeerSuspected(HostName),
    /// Another host announced that it is leaving.
    PeerLeaving(HostName),
}

/// Starts the control thread, which ends when the event channel is closed.
pub(crate) fn start_thread(
    context: SharedContext,
    events: Receiver<ControlEvent>,
) -> Result<JoinHandle<()>, HostError> {
    let name = format!("control-{}", context.settings.host);
    let run = move || {
        let executor = std::rc::Rc::new(LocalExecutor::new());
        let control = run_control(context, events, executor.clone());
        smol::block_on(executor.run(control));
        // A cancelled task, and what it holds, is dropped the next time the
        // executor polls it.
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
        let tick = async {
            Timer::after(TICK_INTERVAL).await;
            None
        };
        match smol::future::or(event, tick).await {
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
        if context.lifecycle.record_tick(now) {
            log::warn!("host was paused; refreshing the control state");
            coordinators.clear();
            context.peers.drop_all_links();
            crate::platform::refresh(Arc::clone(&context));
        }
        if state.set_own(context.host_entry()) {
            publish(&context, &state);
        }
        coordinators.reconcile(&context, &executor);
    }
}

fn publish(context: &SharedContext, state: &ControlState) {
    let view = state.view();
    context.owners.apply_view(context, &view);
    context.view.publish(view);
}
