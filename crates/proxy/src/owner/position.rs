//! The highest log position of a primary that its owner knows of.

use fulmarrill_position::{LogPoint, Term};

use crate::clock::BootTime;

/// The highest known position in a primary's term, and as of when it is complete.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrimaryPosition {
    term: Term,
    latest: Option<(BootTime, LogPoint)>,
}

impl PrimaryPosition {
    /// Records the position in the answer of the primary of `term` to a command
    /// sent at `sent_at`. Positions of terms older than the last are ignored.
    pub fn record(&mut self, term: Term, sent_at: BootTime, point: LogPoint) {
        if term > self.term {
            *self = Self { term, latest: None };
        }
        if term < self.term {
            return;
        }
        // Answers on different connections may arrive out of order. The log
        // itself never shrinks within a term.
        let (known_at, known) = self.latest.unwrap_or((sent_at, point));
        self.latest = Some((known_at.max(sent_at), known.max(point)));
    }

    /// Returns the highest position known in `term` and the moment up to which it
    /// covers every acknowledged commit; `None` if another term is the last one.
    #[must_use]
    pub fn latest(&self, term: Term) -> Option<(BootTime, LogPoint)> {
        self.latest.filter(|_| self.term == term)
    }
}
