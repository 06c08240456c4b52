//! Lifecycle of a host: running, leaving, or resumed after a pause of the
//! process.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use event_listener::Event;
use fulmarrill_runtime::timeout_at;

/// Gap between two ticks after which the process counts as having been paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(700);
/// Time between two ticks of the control thread.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Lifecycle state of one host.
#[derive(Debug)]
pub struct HostLifecycle {
    leaving: AtomicBool,
    in_flight: AtomicUsize,
    changed: Event,
    last_tick_at: Mutex<Instant>,
}

impl HostLifecycle {
    /// A running host with nothing in flight.
    #[must_use]
    pub fn new() -> Self {
        Self {
            leaving: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            changed: Event::new(),
            last_tick_at: Mutex::new(Instant::now()),
        }
    }

    /// Whether the host was told to leave.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Marks the host as leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Counts a message or request as in flight until the guard is dropped.
    #[must_use]
    pub fn track_in_flight(&self) -> InFlightGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard { lifecycle: self }
    }

    /// Number of messages and requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until nothing is in flight, or until `deadline`.
    pub async fn wait_idle(&self, deadline: Instant) {
        while self.in_flight() > 0 && Instant::now() < deadline {
            let listener = self.changed.listen();
            if self.in_flight() == 0 {
                return;
            }
            timeout_at(deadline, listener).await.ok();
        }
    }

    /// Records a tick and returns whether the process was paused since the last
    /// one, in which case its control state may be out of date.
    pub fn record_tick(&self, now: Instant) -> bool {
        let mut last = self
            .last_tick_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let paused = now.saturating_duration_since(*last) > PAUSE_LIMIT;
        *last = now;
        paused
    }

    /// Whether the last tick is so old that the process was paused and the
    /// control thread has not noticed it yet.
    #[must_use]
    pub fn is_stale(&self, now: Instant) -> bool {
        let last = self
            .last_tick_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        now.saturating_duration_since(*last) > PAUSE_LIMIT
    }
}

/// Counts one message or request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard<'a> {
    lifecycle: &'a HostLifecycle,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if self.lifecycle.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.lifecycle.changed.notify(usize::MAX);
        }
    }
}
