//! What the rules of `fulmarrill_routing` need to know of an instance. Pure: no I/O
//! and no clock of its own.
//!
//! A read goes to the instance with the lowest expected latency; the rule is the
//! same when reads overload the instances. Added penalties keep it off the link
//! between regions unless waiting would cost more.

use std::time::{Duration, Instant};

use fulmarrill_routing::{Candidate, Distance, FixedPenalties, PrimaryUse};

use crate::catalogue::InstanceEntry;
use crate::codec::DatabaseRole;

/// Weight of the newest sample in an instance's moving mean latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Latency assumed before any was measured, in seconds.
const INITIAL_LATENCY_S: f64 = 0.02;
/// Penalties of an instance that is not in the entry's data centre, or is the primary.
///
/// Another data centre: a round trip, of about a millisecond each way, and the cost of
/// the bytes. Another region: a round trip, of 20 ms each way, and bytes that cost four
/// times as much as those between data centres. The primary: only it can serve writes.
pub const FIXED_PENALTIES: FixedPenalties = FixedPenalties {
    data_centre: Duration::from_millis(4),
    region: Duration::from_millis(80),
    primary: PrimaryUse::Penalty(Duration::from_millis(30)),
};

/// Load and latency of one instance, as an entry observes them.
#[derive(Debug, Clone, Copy)]
pub struct InstanceStats {
    /// Moving mean of the time to an answer, in seconds.
    pub mean_latency_s: f64,
    /// Work sent and not yet answered.
    pub outstanding: u32,
    /// Until when the instance is avoided, after it did not run work or left its
    /// outcome unknown.
    pub avoid_until: Option<Instant>,
    /// How many times in a row the instance was behind.
    pub times_behind: u32,
}

impl Default for InstanceStats {
    fn default() -> Self {
        Self {
            mean_latency_s: INITIAL_LATENCY_S,
            outstanding: 0,
            avoid_until: None,
            times_behind: 0,
        }
    }
}

impl InstanceStats {
    /// Records the time to an answer.
    pub fn record_latency(&mut self, time: Duration) {
        self.mean_latency_s += LATENCY_WEIGHT * (time.as_secs_f64() - self.mean_latency_s);
    }
}

/// Location of the entry's host.
#[derive(Debug, Clone, Copy)]
pub struct EntryPlace<'a> {
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its region.
    pub region: &'a str,
}

/// An instance that a read could go to.
#[derive(Debug, Clone, Copy)]
pub struct ReadCandidate<'a> {
    /// The instance.
    pub instance: &'a InstanceEntry,
    /// Its region, if known.
    pub region: Option<&'a str>,
    /// What was observed of it.
    pub stats: InstanceStats,
}

impl ReadCandidate<'_> {
    /// The candidate as an entry at `place` sees it.
    #[must_use]
    pub fn at(&self, place: EntryPlace<'_>, now: Instant) -> Candidate {
        let stats = &self.stats;
        let slots = u32::try_from(self.instance.slots.max(1)).unwrap_or(1);
        let queue = f64::from(stats.outstanding) / f64::from(slots);
        let distance = if self.region.is_some_and(|region| region != place.region) {
            Distance::OtherRegion
        } else if self.instance.data_centre != place.data_centre {
            Distance::SameRegion
        } else {
            Distance::SameCentre
        };
        Candidate {
            distance,
            is_primary: self.instance.role == DatabaseRole::Primary,
            is_avoided: stats.avoid_until.is_some_and(|until| now < until),
            time_s: stats.mean_latency_s * (1.0 + queue),
        }
    }
}

/// Returns the candidate that is expected to answer first by [`FIXED_PENALTIES`], an
/// avoided one only if there is no other.
#[must_use]
pub fn choose_instance<'a>(
    candidates: &[ReadCandidate<'a>],
    place: EntryPlace<'_>,
    now: Instant,
) -> Option<&'a InstanceEntry> {
    let seen: Vec<Candidate> = candidates
        .iter()
        .map(|candidate| candidate.at(place, now))
        .collect();
    let chosen = FIXED_PENALTIES.choose(&seen)?;
    Some(candidates[chosen].instance)
}
