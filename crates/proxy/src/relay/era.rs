//! The latest era of the store that a host knows.

use std::sync::atomic::{AtomicU64, Ordering};

/// Latest known era, shared by the clients of the store and the control thread.
#[derive(Debug, Default)]
pub struct KnownEra {
    era: AtomicU64,
}

impl KnownEra {
    /// The latest era, zero if none is known.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.era.load(Ordering::SeqCst)
    }

    /// Takes note of an era.
    pub fn raise(&self, era: u64) {
        self.era.fetch_max(era, Ordering::SeqCst);
    }
}
