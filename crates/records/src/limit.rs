//! Limit on the records that a host holds while the store is unavailable.

/// Share of the limit from which requests of the lowest rank are refused.
const LOWEST_RANK_SHARE: f64 = 0.5;

/// Limit on the bytes of records that a host holds until the store has them.
///
/// As the held records approach the limit during a long outage of the store,
/// requests of the lowest rank are refused first and those of the most urgent
/// rank last. At the limit all are refused, so that no request is served without
/// a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLimit {
    bytes: usize,
}

impl RecordLimit {
    /// Creates a limit of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self { bytes }
    }

    /// Whether to refuse a request of `rank` while `held` bytes are held. Rank 0
    /// is the most urgent of `ranks` ranks.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn refuses(&self, held: usize, rank: usize, ranks: usize) -> bool {
        let lowest_rank = ranks.saturating_sub(1).max(1) as f64;
        let rank_fraction = (rank as f64 / lowest_rank).min(1.0);
        let share = 1.0 - (1.0 - LOWEST_RANK_SHARE) * rank_fraction;
        held as f64 >= share * self.bytes as f64
    }
}
