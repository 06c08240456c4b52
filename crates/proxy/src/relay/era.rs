//! The latest era of the store that a host knows.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Latest known era, shared by the clients of the store and the control thread.
#[derive(Debug, Default)]
pub struct KnownEra {
    era: AtomicU64,
    is_named: AtomicBool,
}

impl KnownEra {
    /// The latest era, zero if none is known.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.era.load(Ordering::SeqCst)
    }

    /// Whether the store names its era.
    #[must_use]
    pub fn is_named(&self) -> bool {
        self.is_named.load(Ordering::SeqCst)
    }

    /// Takes note that the store named its era.
    pub fn note_named(&self) {
        self.is_named.store(true, Ordering::SeqCst);
    }

    /// Takes note of an era.
    pub fn raise(&self, era: u64) {
        self.era.fetch_max(era, Ordering::SeqCst);
    }
}
