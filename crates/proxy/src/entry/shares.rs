//! Keeps what answers show of instances and links, and lets it decide where reads go if
//! the operator states what bytes cost.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_routing::{Distance, LeaveState, Observation, Place};
use fulmarrill_schedule::RankIndex;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalogue::InstanceEntry;
use crate::context::ProxyContext;
use crate::entry::placement::{EntryPlace, FIXED_PENALTIES, ReadCandidate, choose_instance};
use crate::view::TrafficView;
use crate::work::{OwnerHint, WorkAnswer};

/// Hints, ways and shares of an entry.
#[derive(Debug)]
pub struct PlacementState {
    leave: LeaveState,
}

impl Default for PlacementState {
    fn default() -> Self {
        Self {
            leave: LeaveState::new(FIXED_PENALTIES),
        }
    }
}

impl PlacementState {
    /// The shares, by database and data centre.
    pub fn shares(&self) -> impl Iterator<Item = (&str, &str, f64)> {
        self.leave.shares()
    }

    /// Forgets what is not in the view.
    pub fn apply_view(&mut self, view: &TrafficView) {
        let is_database = |name: &str| view.instances_of(name).next().is_some();
        self.leave.retain(
            |name| view.instances.contains_key(name),
            |name| view.host(name).is_some(),
            is_database,
        );
    }

    /// The state for the state dump.
    #[must_use]
    pub fn dump(&self, now: Instant) -> serde_json::Value {
        let mut hints = Vec::new();
        for (instance, rank, (time_s, weight)) in self.leave.hints(now) {
            let time_ms = time_s * 1000.0;
            hints.push(serde_json::json!({
                "instance": instance, "rank": rank, "time_ms": time_ms, "weight": weight,
            }));
        }
        let mut ways = Vec::new();
        for (host, way) in self.leave.ways() {
            let (mean_ms, floor_ms) = (way.mean_s * 1000.0, way.floor_s * 1000.0);
            ways.push(serde_json::json!({
                "host": host, "mean_ms": mean_ms, "floor_ms": floor_ms,
            }));
        }
        let mut shares = Vec::new();
        for (database, data_centre, share) in self.leave.shares() {
            shares.push(serde_json::json!({
                "database": database, "destination": data_centre, "share": share,
            }));
        }
        serde_json::json!({"hints": hints, "ways": ways, "shares": shares})
    }
}

/// Describes a candidate whose owner is `host` to [`LeaveState`].
fn place_of<'a>(
    candidate: &ReadCandidate<'a>,
    host: &'a str,
    rank: RankIndex,
    (own_host, place): (&str, EntryPlace<'_>),
    now: Instant,
) -> Place<'a> {
    let instance = candidate.instance;
    let data_centre = instance.data_centre.as_str();
    let seen = candidate.at(place, now);
    let link = match (seen.distance, candidate.region) {
        (Distance::OtherRegion, Some(region)) => region,
        _ => data_centre,
    };
    let slots = u32::try_from(instance.slots.max(1)).unwrap_or(1);
    Place {
        candidate: seen,
        instance: &instance.id,
        rank,
        host,
        data_centre,
        link,
        queue: f64::from(candidate.stats.outstanding) / f64::from(slots),
        preference: xxh3_64(format!("{own_host} {data_centre}").as_bytes()),
    }
}

fn entry_place(context: &ProxyContext) -> (&str, EntryPlace<'_>) {
    let place = EntryPlace {
        data_centre: &context.place.data_centre,
        region: &context.place.region,
    };
    (&context.place.host, place)
}

/// Chooses the instance for a read, by shares if the operator states what bytes cost, and
/// by fixed penalties otherwise.
pub fn choose<'a>(
    context: &ProxyContext,
    view: &TrafficView,
    candidates: &[ReadCandidate<'a>],
    rank: RankIndex,
) -> Option<&'a InstanceEntry> {
    let (own_host, place) = entry_place(context);
    let now = Instant::now();
    let byte_costs = context.byte_costs.load();
    let chosen = if let Some(costs) = *byte_costs {
        let mut hosts = Vec::new();
        for candidate in candidates {
            hosts.push(owner_of(context, view, candidate).unwrap_or_default());
        }
        let mut places = Vec::new();
        for (candidate, host) in candidates.iter().zip(&hosts) {
            places.push(place_of(candidate, host, rank, (own_host, place), now));
        }
        let database = &candidates.first()?.instance.database;
        let mut state = context.entry.placement();
        let index = state
            .leave
            .choose(database, &places, costs, fastrand::f64(), now)?;
        candidates[index].instance
    } else {
        choose_instance(candidates, place, now)?
    };
    let seen = candidates
        .iter()
        .find(|candidate| candidate.instance.id == chosen.id)?;
    context.statements.record_read(seen.at(place, now).distance);
    Some(chosen)
}

/// The host that an entry would ask for an instance.
fn owner_of(
    context: &ProxyContext,
    view: &TrafficView,
    candidate: &ReadCandidate<'_>,
) -> Option<CompactString> {
    view.owner_candidates(candidate.instance, candidate.region)
        .find(|host| host.name == context.place.host || !context.peers.is_avoided(&host.address))
        .map(|host| host.name.clone())
}

/// Records what an answer of `host` showed after `time`, or that none came.
pub fn observe(
    context: &ProxyContext,
    host: &str,
    (instance, rank): (&str, RankIndex),
    time: Duration,
    hint: Option<OwnerHint>,
    answer: &WorkAnswer,
) {
    let view = context.view.load();
    let Some(instance) = view.instances.get(instance) else {
        return;
    };
    let now = Instant::now();
    let candidate = ReadCandidate {
        instance,
        region: context.region_of(&instance.data_centre),
        stats: context.entry.instance_stats(&instance.id),
    };
    let place = place_of(&candidate, host, rank, entry_place(context), now);
    let bytes = match answer {
        WorkAnswer::Served { rows, .. } => Some(rows.iter().map(CompactString::len).sum()),
        _ => None,
    };
    let mut state = context.entry.placement();
    match hint {
        Some(hint) => {
            let seen = Observation {
                time,
                at_owner: hint.spent,
                next: hint.next,
                bytes,
            };
            state.leave.record(&instance.database, &place, seen, now);
        }
        None => state.leave.record_failure(place.link, now),
    }
}
