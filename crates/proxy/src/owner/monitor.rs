//! Watches whether an instance answers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;

use crate::owner::health::InstanceHealth;

/// Time without an answer after which an instance is probed: longer than nearly
/// all statements take.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without any answer of an instance that owes some, after which it counts
/// as stalled. With several statements at a time on a slow instance some answer
/// comes much sooner.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);

/// What is known of an instance's answers.
#[derive(Debug, Default)]
pub struct InstanceMonitor {
    health: Mutex<InstanceHealth>,
    /// Notified when the instance may have gone down.
    failed: Event,
    probing: AtomicBool,
    /// When each command that is still unanswered was sent.
    sent: Mutex<Vec<Instant>>,
}

impl InstanceMonitor {
    /// A monitor that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the instance can be reached.
    #[must_use]
    pub fn health(&self) -> InstanceHealth {
        *self.health_mut()
    }

    fn health_mut(&self) -> MutexGuard<'_, InstanceHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sent(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes an answer, whatever it says.
    pub fn record_answer(&self) {
        self.health_mut().record_answer(Instant::now());
    }

    /// Notes that a connection could not be set up.
    pub fn record_connect_failure(&self) {
        self.health_mut().record_connect_failure(Instant::now());
        self.failed.notify(usize::MAX);
    }

    /// Counts a command as unanswered until the guard is dropped.
    #[must_use]
    pub fn track_command(&self) -> CommandGuard<'_> {
        let at = Instant::now();
        self.sent().push(at);
        CommandGuard { monitor: self, at }
    }

    /// Returns once the instance counts as down.
    pub async fn wait_until_down(&self) {
        loop {
            let listener = self.failed.listen();
            if self.health().is_down(Instant::now()) {
                return;
            }
            listener.await;
        }
    }

    /// Whether the instance owes answers and has given none for a while, so
    /// that whatever waits would wait in vain.
    #[must_use]
    pub fn is_stalled(&self, now: Instant) -> bool {
        let Some(since) = now.checked_sub(STALL_TIMEOUT) else {
            return false;
        };
        let is_overdue = self.sent().iter().any(|at| *at <= since);
        is_overdue && !self.health().answered_since(since)
    }

    /// Whether the instance should be probed now: it failed, has been silent
    /// since some command for longer than a statement takes, or is stalled.
    /// Whoever gets a yes has to probe and to say so by
    /// [`InstanceMonitor::end_probe`].
    #[must_use]
    pub fn begin_probe(&self, now: Instant) -> bool {
        let health = self.health();
        let silent = self.sent().iter().any(|at| {
            now.saturating_duration_since(*at) >= SILENCE_TIMEOUT && !health.answered_since(*at)
        });
        // With every slot taken nothing more is sent, so that an answer may have
        // come after all of what is owed.
        let is_wanted = silent || self.is_stalled(now) || health.is_failing();
        is_wanted && !self.probing.swap(true, Ordering::Relaxed)
    }

    /// Ends a probe.
    pub fn end_probe(&self) {
        self.probing.store(false, Ordering::Relaxed);
    }
}

/// A command that is not answered yet.
#[derive(Debug)]
pub struct CommandGuard<'a> {
    monitor: &'a InstanceMonitor,
    at: Instant,
}

impl Drop for CommandGuard<'_> {
    fn drop(&mut self) {
        let mut sent = self.monitor.sent();
        if let Some(index) = sent.iter().position(|at| *at == self.at) {
            sent.swap_remove(index);
        }
    }
}
