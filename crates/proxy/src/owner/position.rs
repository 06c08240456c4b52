//! The last position of a primary that its owner has seen.

use fulmarrill_position::{LogPoint, Term};

use crate::clock::BootTime;

/// What an owner knows of a primary's position.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrimaryPosition {
    term: Term,
    latest: Option<(BootTime, LogPoint)>,
}

impl PrimaryPosition {
    /// Notes the position in the answer of the primary of `term` to a command
    /// sent at `sent_at`.
    pub fn record(&mut self, term: Term, sent_at: BootTime, point: LogPoint) {
        if term > self.term {
            *self = Self { term, latest: None };
        }
        if term < self.term {
            return;
        }
        // Answers on several connections cross; the log itself never shrinks
        // within a term.
        let (known_at, known) = self.latest.unwrap_or((sent_at, point));
        self.latest = Some((known_at.max(sent_at), known.max(point)));
    }

    /// The highest position seen in a term, which covers every commit
    /// acknowledged until the moment beside it.
    #[must_use]
    pub fn latest(&self, term: Term) -> Option<(BootTime, LogPoint)> {
        self.latest.filter(|_| self.term == term)
    }
}
