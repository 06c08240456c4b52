//! A value that one thread replaces and many read.

use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use event_listener::{Event, EventListener};

use crate::deadline::timeout_at;

/// Holds the current value. Readers never wait for a thread that replaces it.
#[derive(Debug)]
pub struct PublishedCell<T> {
    value: ArcSwap<T>,
    changed: Event,
}

impl<T> PublishedCell<T> {
    /// Creates a cell that holds `value`.
    #[must_use]
    pub fn new(value: T) -> Self {
        Self {
            value: ArcSwap::from_pointee(value),
            changed: Event::new(),
        }
    }

    /// Returns the current value.
    #[must_use]
    pub fn load(&self) -> Arc<T> {
        self.value.load_full()
    }

    /// Replaces the value and notifies every listener.
    pub fn publish(&self, value: T) {
        self.value.store(Arc::new(value));
        self.changed.notify(usize::MAX);
    }

    /// Returns a listener for the next value that is published.
    #[must_use]
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Waits until a value is published after `listener` was created, or until
    /// the deadline.
    pub async fn wait(&self, listener: EventListener, deadline: Instant) {
        // The caller loads the value again after a change and after a timeout.
        timeout_at(deadline, listener).await.ok();
    }
}
