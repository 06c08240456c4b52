//! When the store was heard of last.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;

/// Age of the last answer of the store after which it counts as away. The watch
/// over terms is answered each two seconds, and its answer may take one more.
const OVERDUE_TIME: Duration = Duration::from_millis(3100);
/// Time that a host which has just started gives the store for its first answer.
pub const START_TIME: Duration = Duration::from_millis(600);

/// What the store's answers say of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreVoice {
    /// It was not asked yet.
    Unheard,
    /// It has never answered.
    NeverAnswered,
    /// It answered the last call.
    Answers,
    /// It has answered, and the last call failed.
    Fails,
}

#[derive(Debug)]
struct SightState {
    overdue_at: Instant,
    voice: StoreVoice,
    wanted: bool,
}

/// When the store was heard of last, and whether this host should watch it.
#[derive(Debug)]
pub struct StoreSight {
    state: Mutex<SightState>,
    changed: Event,
}

impl StoreSight {
    /// The sight of a host that has just started.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            state: Mutex::new(SightState {
                overdue_at: now + START_TIME,
                voice: StoreVoice::Unheard,
                wanted: false,
            }),
            changed: Event::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, SightState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns once something holds.
    async fn until(&self, holds: impl Fn(&SightState) -> bool) {
        loop {
            let listener = self.changed.listen();
            if holds(&self.state()) {
                return;
            }
            listener.await;
        }
    }

    /// Notes an answer of the watch over terms.
    pub fn note_answer(&self, now: Instant) {
        let mut state = self.state();
        state.overdue_at = now + OVERDUE_TIME;
        let voice = std::mem::replace(&mut state.voice, StoreVoice::Answers);
        drop(state);
        if voice != StoreVoice::Answers {
            self.changed.notify(usize::MAX);
        }
    }

    /// Notes that the watch over terms failed.
    pub fn note_failure(&self) {
        let mut state = self.state();
        state.voice = match state.voice {
            StoreVoice::Unheard | StoreVoice::NeverAnswered => StoreVoice::NeverAnswered,
            StoreVoice::Answers | StoreVoice::Fails => StoreVoice::Fails,
        };
    }

    /// Returns once the store has answered for the first time.
    pub async fn heard(&self) {
        let has_answered = [StoreVoice::Answers, StoreVoice::Fails];
        self.until(|state| has_answered.contains(&state.voice))
            .await;
    }

    /// Returns unless the last call of the watch over terms failed, and then once
    /// one is answered.
    pub async fn answering(&self) {
        let failed = [StoreVoice::NeverAnswered, StoreVoice::Fails];
        self.until(|state| !failed.contains(&state.voice)).await;
    }

    /// Returns once this host should watch the store.
    pub async fn wanted(&self) {
        self.until(|state| state.wanted).await;
    }

    /// Whether the next answer is overdue.
    #[must_use]
    pub fn is_overdue(&self, now: Instant) -> bool {
        now >= self.state().overdue_at
    }

    /// Whether this host should watch the store.
    #[must_use]
    pub fn is_wanted(&self) -> bool {
        self.state().wanted
    }

    /// Says whether this host should watch the store.
    pub fn set_wanted(&self, wanted: bool) {
        let was_wanted = std::mem::replace(&mut self.state().wanted, wanted);
        if was_wanted != wanted {
            log::info!("this host watches the store: {wanted}");
            self.changed.notify(usize::MAX);
        }
    }
}
