//! How much a host may hold while the store does not take its records.

/// Share of the limit at which the lowest rank is refused.
const LOWEST_RANK_SHARE: f64 = 0.5;

/// A bound on the bytes of records that a host holds.
///
/// While a long outage of the store fills it, the lowest rank is refused first
/// and the most urgent last: a request is never served unrecorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLimit {
    bytes: usize,
}

impl RecordLimit {
    /// A bound of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self { bytes }
    }

    /// Whether a request of `rank`, 0 the most urgent of `ranks`, is to be
    /// refused while `held` bytes are held.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn refuses(&self, held: usize, rank: usize, ranks: usize) -> bool {
        let below = ranks.saturating_sub(1).max(1) as f64;
        let lowness = (rank as f64 / below).min(1.0);
        let share = 1.0 - (1.0 - LOWEST_RANK_SHARE) * lowness;
        held as f64 >= share * self.bytes as f64
    }
}
