//! Detects stalled and unreachable instances from unanswered commands and
//! failed connection attempts.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;

use crate::owner::health::InstanceHealth;

/// An instance is probed when a command has been unanswered for this long and
/// nothing was answered since it was sent. Nearly all statements take less.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);
/// An instance with unanswered commands counts as stalled after this time without
/// any answer. A slow instance that runs several statements at a time answers
/// one of them much sooner.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Tracks an instance's unanswered commands and its reachability.
#[derive(Debug, Default)]
pub struct InstanceMonitor {
    health: Mutex<InstanceHealth>,
    /// Notified of each failure to set up a connection.
    failed: Event,
    probing: AtomicBool,
    /// When each command that is still unanswered was sent.
    sent: Mutex<Vec<Instant>>,
}

impl InstanceMonitor {
    /// Creates a monitor without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a copy of the instance's health.
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

    /// Records an answer of any kind.
    pub fn record_answer(&self) {
        self.health_mut().record_answer(Instant::now());
    }

    /// Records a failure to set up a connection, and wakes those that wait for the
    /// instance to be down.
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

    /// Whether a command has been unanswered for a while in which the instance
    /// answered nothing at all, so that work waiting for a slot would not be
    /// served.
    #[must_use]
    pub fn is_stalled(&self, now: Instant) -> bool {
        let Some(since) = now.checked_sub(STALL_TIMEOUT) else {
            return false;
        };
        let is_overdue = self.sent().iter().any(|at| *at <= since);
        is_overdue && !self.health().answered_since(since)
    }

    /// Whether the caller should probe the instance now: the last connection
    /// attempt failed, nothing was answered since a command that has been waiting
    /// for longer than a statement takes, or the instance is stalled. Returns
    /// `true` to one caller at a time, who has to probe and to call
    /// [`InstanceMonitor::end_probe`] afterwards.
    #[must_use]
    pub fn begin_probe(&self, now: Instant) -> bool {
        let health = self.health();
        let silent = self.sent().iter().any(|at| {
            now.saturating_duration_since(*at) >= SILENCE_TIMEOUT && !health.answered_since(*at)
        });
        // Once every slot is taken nothing more is sent, so the last answer may
        // be newer than every unanswered command. Only `is_stalled` sees that.
        let is_wanted = silent || self.is_stalled(now) || health.is_failing();
        is_wanted && !self.probing.swap(true, Ordering::Relaxed)
    }

    /// Allows the next probe.
    pub fn end_probe(&self) {
        self.probing.store(false, Ordering::Relaxed);
    }
}

/// Counts one command as unanswered until it is dropped.
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
