//! When the store was heard of last.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;

/// Age of the last answer of the store after which it counts as away. The watch
/// over terms is answered each two seconds, and its answer may take one more.
const OVERDUE_TIME: Duration = Duration::from_millis(3100);
/// Time that a host which has just started gives the store for its first answer.
pub const FIRST_ANSWER_TIME: Duration = Duration::from_millis(600);

/// What the store's answers say of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreHealth {
    /// It was not asked yet.
    Unknown,
    /// It has never answered.
    NeverAnswered,
    /// It answered the last call.
    Answering,
    /// It has answered, and the last call failed.
    Failing,
}

#[derive(Debug)]
struct MonitorState {
    overdue_at: Instant,
    health: StoreHealth,
    should_watch: bool,
}

/// When the store was heard of last, and whether this host should watch it.
#[derive(Debug)]
pub struct StoreMonitor {
    state: Mutex<MonitorState>,
    changed: Event,
}

impl StoreMonitor {
    /// The sight of a host that has just started.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            state: Mutex::new(MonitorState {
                overdue_at: now + FIRST_ANSWER_TIME,
                health: StoreHealth::Unknown,
                should_watch: false,
            }),
            changed: Event::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, MonitorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns once the state meets `condition`.
    async fn wait_until(&self, condition: impl Fn(&MonitorState) -> bool) {
        loop {
            let listener = self.changed.listen();
            if condition(&self.state()) {
                return;
            }
            listener.await;
        }
    }

    /// Notes an answer of the watch over terms.
    pub fn record_answer(&self, now: Instant) {
        let mut state = self.state();
        state.overdue_at = now + OVERDUE_TIME;
        let health = std::mem::replace(&mut state.health, StoreHealth::Answering);
        drop(state);
        if health != StoreHealth::Answering {
            self.changed.notify(usize::MAX);
        }
    }

    /// Notes that the watch over terms failed.
    pub fn record_failure(&self) {
        let mut state = self.state();
        state.health = match state.health {
            StoreHealth::Unknown | StoreHealth::NeverAnswered => StoreHealth::NeverAnswered,
            StoreHealth::Answering | StoreHealth::Failing => StoreHealth::Failing,
        };
    }

    /// Returns once the store has answered for the first time.
    pub async fn first_answer(&self) {
        let has_answered = [StoreHealth::Answering, StoreHealth::Failing];
        self.wait_until(|state| has_answered.contains(&state.health))
            .await;
    }

    /// Returns unless the last call of the watch over terms failed, and then once
    /// one is answered.
    pub async fn answering(&self) {
        let failed = [StoreHealth::NeverAnswered, StoreHealth::Failing];
        self.wait_until(|state| !failed.contains(&state.health))
            .await;
    }

    /// Returns once this host should watch the store.
    pub async fn watch_enabled(&self) {
        self.wait_until(|state| state.should_watch).await;
    }

    /// Whether the next answer is overdue.
    #[must_use]
    pub fn is_overdue(&self, now: Instant) -> bool {
        now >= self.state().overdue_at
    }

    /// Whether this host should watch the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.state().should_watch
    }

    /// Says whether this host should watch the store.
    pub fn set_watching(&self, should_watch: bool) {
        let was_watching = std::mem::replace(&mut self.state().should_watch, should_watch);
        if was_watching != should_watch {
            log::info!("this host watches the store: {should_watch}");
            self.changed.notify(usize::MAX);
        }
    }
}
