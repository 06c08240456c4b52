//! Chooses the instance for a read. Pure: no I/O and no clock of its own.
//!
//! A read goes to the instance with the lowest expected latency; the rule is the
//! same when reads overload the instances. Added penalties keep it off the link
//! between regions unless waiting would cost more.

use std::time::{Duration, Instant};

use crate::catalogue::InstanceEntry;
use crate::codec::DatabaseRole;

/// Weight of the newest sample in an instance's moving mean latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Latency assumed before any was measured, in seconds.
const INITIAL_LATENCY_S: f64 = 0.02;
/// Penalty of an instance in another data centre of the region, in seconds: a
/// round trip, of about a millisecond each way, and the cost of the bytes.
const OTHER_CENTRE_PENALTY_S: f64 = 0.004;
/// Penalty of an instance in another region, in seconds: a round trip, of 20 ms
/// each way, and bytes that cost four times as much as those between data centres.
const OTHER_REGION_PENALTY_S: f64 = 0.080;
/// Penalty of the primary, in seconds, because only it can serve writes.
const PRIMARY_PENALTY_S: f64 = 0.030;

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

/// Returns the time in which a candidate is expected to answer, with its
/// penalties, in seconds.
#[must_use]
pub fn expected_latency_s(candidate: &ReadCandidate<'_>, place: EntryPlace<'_>) -> f64 {
    let stats = &candidate.stats;
    let slots = u32::try_from(candidate.instance.slots.max(1)).unwrap_or(1);
    let queue = f64::from(stats.outstanding) / f64::from(slots);
    let mut time = stats.mean_latency_s * (1.0 + queue);
    if candidate
        .region
        .is_some_and(|region| region != place.region)
    {
        time += OTHER_REGION_PENALTY_S;
    } else if candidate.instance.data_centre != place.data_centre {
        time += OTHER_CENTRE_PENALTY_S;
    }
    if candidate.instance.role == DatabaseRole::Primary {
        time += PRIMARY_PENALTY_S;
    }
    time
}

/// Returns the candidate that is expected to answer first, an avoided one only if
/// there is no other.
#[must_use]
pub fn choose_instance<'a>(
    candidates: &[ReadCandidate<'a>],
    place: EntryPlace<'_>,
    now: Instant,
) -> Option<&'a InstanceEntry> {
    let mut best: Option<(bool, f64, &InstanceEntry)> = None;
    for candidate in candidates {
        let avoided = candidate.stats.avoid_until.is_some_and(|until| now < until);
        let time = expected_latency_s(candidate, place);
        let better = best.is_none_or(|(other_avoided, other_time, _)| {
            (avoided, time) < (other_avoided, other_time)
        });
        if better {
            best = Some((avoided, time, candidate.instance));
        }
    }
    best.map(|(_, _, instance)| instance)
}
