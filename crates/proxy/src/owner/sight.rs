//! The last position of a primary that its owner has seen.

use std::time::Instant;

use fulmarrill_position::LogPoint;

/// What an owner knows of a primary's position.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrimarySight {
    latest: Option<(Instant, LogPoint)>,
}

impl PrimarySight {
    /// Notes the position in the answer to a command sent at `sent_at`.
    pub fn record(&mut self, sent_at: Instant, point: LogPoint) {
        let (known_at, known) = self.latest.unwrap_or((sent_at, point));
        // Answers on several connections cross; the log itself never shrinks
        // within a term, and a later term replaces an earlier one.
        self.latest = Some((known_at.max(sent_at), known.max(point)));
    }

    /// The highest position seen, which covers every commit acknowledged until
    /// the moment beside it.
    #[must_use]
    pub fn latest(&self) -> Option<(Instant, LogPoint)> {
        self.latest
    }
}
