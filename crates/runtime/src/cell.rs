//! A value that one thread replaces and many read.

use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use event_listener::{Event, EventListener};

use crate::deadline::timeout_at;

/// Holds the value in force; readers never wait for whoever replaces it.
#[derive(Debug)]
pub struct PublishedCell<T> {
    value: ArcSwap<T>,
    changed: Event,
}

impl<T> PublishedCell<T> {
    /// A cell with its first value.
    #[must_use]
    pub fn new(value: T) -> Self {
        Self {
            value: ArcSwap::from_pointee(value),
            changed: Event::new(),
        }
    }

    /// The value in force.
    #[must_use]
    pub fn load(&self) -> Arc<T> {
        self.value.load_full()
    }

    /// Puts a new value in force.
    pub fn publish(&self, value: T) {
        self.value.store(Arc::new(value));
        self.changed.notify(usize::MAX);
    }

    /// A listener for the next value.
    #[must_use]
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Waits for a value published after `listener` was made, or the deadline.
    pub async fn wait(&self, listener: EventListener, deadline: Instant) {
        // Both ends mean the same to the caller, who looks at the value again.
        timeout_at(deadline, listener).await.ok();
    }
}
