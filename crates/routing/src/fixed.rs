//! Selection by expected time and fixed penalties.

use std::time::Duration;

/// How far an instance is from the entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same data centre.
    SameCentre,
    /// Another data centre of the region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

/// When a primary serves a read that a replica may serve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PrimaryUse {
    /// When it is expected to answer earlier by more than this.
    Penalty(Duration),
    /// When no replica is usable.
    LastResort,
}

/// An instance that a read could go to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Its distance.
    pub distance: Distance,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Whether it is chosen only if there is no other.
    pub is_avoided: bool,
    /// Expected time to an answer, in seconds.
    pub time_s: f64,
}

/// Penalties that are added to the expected time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FixedPenalties {
    /// For another data centre of the region.
    pub data_centre: Duration,
    /// For another region.
    pub region: Duration,
    /// For the primary, because only it can serve writes.
    pub primary: PrimaryUse,
}

impl FixedPenalties {
    /// The penalty of a distance, in seconds.
    #[must_use]
    pub fn distance_s(&self, distance: Distance) -> f64 {
        match distance {
            Distance::SameCentre => 0.0,
            Distance::SameRegion => self.data_centre.as_secs_f64(),
            Distance::OtherRegion => self.region.as_secs_f64(),
        }
    }

    /// The penalty of a primary, in seconds.
    #[must_use]
    pub fn primary_s(&self, is_primary: bool) -> f64 {
        match self.primary {
            PrimaryUse::Penalty(penalty) if is_primary => penalty.as_secs_f64(),
            _ => 0.0,
        }
    }

    /// The expected time of a candidate with its penalties, in seconds.
    #[must_use]
    pub fn cost_s(&self, candidate: &Candidate) -> f64 {
        let time = candidate.time_s + self.distance_s(candidate.distance);
        time + self.primary_s(candidate.is_primary)
    }

    /// Returns the index of the candidate with the least cost, the first of equals. An
    /// avoided candidate is chosen only if there is no other.
    #[must_use]
    pub fn choose(&self, candidates: &[Candidate]) -> Option<usize> {
        least(candidates.iter().map(|candidate| {
            let is_last_resort =
                candidate.is_primary && matches!(self.primary, PrimaryUse::LastResort);
            let cost = self.cost_s(candidate);
            (candidate.is_avoided, is_last_resort, cost)
        }))
    }
}

/// Returns the index of the least value, the first of equals.
pub(crate) fn least<T: PartialOrd>(values: impl Iterator<Item = T>) -> Option<usize> {
    let mut best: Option<(usize, T)> = None;
    for (index, value) in values.enumerate() {
        if best.as_ref().is_none_or(|(_, other)| value < *other) {
            best = Some((index, value));
        }
    }
    best.map(|(index, _)| index)
}
