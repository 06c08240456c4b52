//! Tracks whether the store answers this host, and whether the host should watch
//! it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::Event;

/// Time after the start of a host within which the store should answer.
pub const FIRST_ANSWER_TIME: Duration = Duration::from_millis(600);

/// Outcome of the calls to the store so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreHealth {
    /// No call has ended yet.
    #[default]
    Unknown,
    /// All calls have failed.
    NeverAnswered,
    /// The last call was answered.
    Answering,
    /// An earlier call was answered, and the last one failed.
    Failing,
}

#[derive(Debug, Default)]
struct MonitorState {
    health: StoreHealth,
    should_watch: bool,
}

/// Failure detector for the store, and the flag that makes this host watch it.
#[derive(Debug, Default)]
pub struct StoreMonitor {
    state: Mutex<MonitorState>,
    changed: Event,
}

impl StoreMonitor {
    fn state(&self) -> MutexGuard<'_, MonitorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns once `condition` is met.
    async fn wait_until(&self, condition: impl Fn(&MonitorState) -> bool) {
        loop {
            let listener = self.changed.listen();
            if condition(&self.state()) {
                return;
            }
            listener.await;
        }
    }

    /// Records an answer to the watch of terms.
    pub fn record_answer(&self) {
        let mut state = self.state();
        let health = std::mem::replace(&mut state.health, StoreHealth::Answering);
        drop(state);
        if health != StoreHealth::Answering {
            self.changed.notify(usize::MAX);
        }
    }

    /// Records that the watch of terms failed.
    pub fn record_failure(&self) {
        let mut state = self.state();
        state.health = match state.health {
            StoreHealth::Unknown | StoreHealth::NeverAnswered => StoreHealth::NeverAnswered,
            StoreHealth::Answering | StoreHealth::Failing => StoreHealth::Failing,
        };
    }

    /// Returns once the store has answered for the first time.
    pub async fn wait_for_first_answer(&self) {
        let answered = [StoreHealth::Answering, StoreHealth::Failing];
        self.wait_until(|state| answered.contains(&state.health))
            .await;
    }

    /// Returns at once unless the last call of the watch of terms failed; then it
    /// returns when a call is answered.
    pub async fn wait_while_failing(&self) {
        let failed = [StoreHealth::NeverAnswered, StoreHealth::Failing];
        self.wait_until(|state| !failed.contains(&state.health))
            .await;
    }

    /// Returns once this host should watch the store.
    pub async fn wait_until_watching(&self) {
        self.wait_until(|state| state.should_watch).await;
    }

    /// Whether this host should watch the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.state().should_watch
    }

    /// Sets whether this host should watch the store.
    pub fn set_watching(&self, should_watch: bool) {
        let was_watching = std::mem::replace(&mut self.state().should_watch, should_watch);
        if was_watching != should_watch {
            log::info!("this host watches the store: {should_watch}");
            self.changed.notify(usize::MAX);
        }
    }
}
