//! Whether a host is at work, leaving, or was stopped for a while.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use event_listener::Event;
use fulmarrill_runtime::timeout_at;

/// A gap between two turns of the clock after which the host counts as having
/// been stopped.
const PAUSE_LIMIT: Duration = Duration::from_millis(700);
/// Time between two turns.
pub const TURN_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a host's life.
#[derive(Debug)]
pub struct HostLife {
    leaving: AtomicBool,
    in_flight: AtomicUsize,
    changed: Event,
    last_turn_at: Mutex<Instant>,
}

impl HostLife {
    /// A host at work.
    #[must_use]
    pub fn new() -> Self {
        Self {
            leaving: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            changed: Event::new(),
            last_turn_at: Mutex::new(Instant::now()),
        }
    }

    /// Whether the host was told to leave.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Begins to leave.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Counts something in flight until the guard is dropped.
    #[must_use]
    pub fn enter(&self) -> InFlightGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard { life: self }
    }

    /// Number of things in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until nothing is in flight, or the deadline.
    pub async fn wait_idle(&self, deadline: Instant) {
        while self.in_flight() > 0 && Instant::now() < deadline {
            let listener = self.changed.listen();
            if self.in_flight() == 0 {
                return;
            }
            timeout_at(deadline, listener).await.ok();
        }
    }

    /// Notes a turn of the clock. Says whether the host had been stopped, so
    /// that everything it knows may be out of date.
    pub fn note_turn(&self, now: Instant) -> bool {
        let mut last = self
            .last_turn_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let paused = now.saturating_duration_since(*last) > PAUSE_LIMIT;
        *last = now;
        paused
    }

    /// Whether the clock has not turned for so long that the host has just
    /// been woken and has not noticed yet.
    #[must_use]
    pub fn is_stale(&self, now: Instant) -> bool {
        let last = self
            .last_turn_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        now.saturating_duration_since(*last) > PAUSE_LIMIT
    }
}

/// Something in flight.
#[derive(Debug)]
pub struct InFlightGuard<'a> {
    life: &'a HostLife,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if self.life.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.life.changed.notify(usize::MAX);
        }
    }
}
