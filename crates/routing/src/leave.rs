//! When a read leaves the data centre: expected time, measured way, cost of bytes and
//! state of the link decide on a share per database and destination.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::fixed::{Candidate, Distance, FixedPenalties, least};
use crate::observed::{Hint, Link, Way};
use crate::share::{Share, TRIAL_PROBABILITY};

/// Weight of the newest answer in the mean size of a database's answers.
const SIZE_WEIGHT: f64 = 0.1;

/// Gain below which a read stays at home, in seconds, if it would go to another data
/// centre of the region: observations vary by as much.
const CENTRE_MARGIN_S: f64 = 0.010;
/// The same for another region. With 20 ms, the replay crosses a fifth more bytes without
/// more reads in time, and serves fewer in time when the link slows.
const REGION_MARGIN_S: f64 = 0.060;

fn margin_s(distance: Distance) -> f64 {
    match distance {
        Distance::OtherRegion => REGION_MARGIN_S,
        _ => CENTRE_MARGIN_S,
    }
}

/// Milliseconds of a caller's time that are worth a kilobyte.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ByteCosts {
    /// To another data centre of the region.
    pub data_centre: f64,
    /// To another region.
    pub region: f64,
}

/// A candidate with the names by which observations of it are kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Place<'a> {
    /// The candidate; its expected time is the entry's own mean, used without hints.
    pub candidate: Candidate,
    /// Name of the instance.
    pub instance: &'a str,
    /// Rank of the read; each rank waits in a queue of its own.
    pub rank: usize,
    /// Host that owns it.
    pub host: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its region, or its data centre if the region is that of the entry.
    pub link: &'a str,
    /// Work that the entry sent there and that is not answered yet, per slot.
    pub queue: f64,
    /// Decides between equal distances. It differs between entries, so that they spread.
    pub preference: u64,
}

/// What an answer showed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// Time from the request to the answer.
    pub time: Duration,
    /// Part of it that was spent at the owner.
    pub at_owner: Duration,
    /// Expected time of the next request at the instance.
    pub next: Duration,
    /// Size of the answer, if it was served.
    pub bytes: Option<usize>,
}

/// Instance and rank of a hint.
type HintKey = (CompactString, usize);
/// Database and data centre of a share.
type ShareKey = (CompactString, CompactString);

/// Everything that one entry observed, and its shares.
#[derive(Debug, Clone)]
pub struct LeaveState {
    fixed: FixedPenalties,
    hints: BTreeMap<HintKey, Hint>,
    ways: BTreeMap<CompactString, Way>,
    links: BTreeMap<CompactString, Link>,
    kilobytes: BTreeMap<CompactString, f64>,
    shares: BTreeMap<ShareKey, Share>,
}

impl LeaveState {
    /// Creates a state without observations. `fixed` stands for ways that were not
    /// measured yet, and decides which data centre is home.
    #[must_use]
    pub fn new(fixed: FixedPenalties) -> Self {
        Self {
            fixed,
            hints: BTreeMap::new(),
            ways: BTreeMap::new(),
            links: BTreeMap::new(),
            kilobytes: BTreeMap::new(),
            shares: BTreeMap::new(),
        }
    }

    /// Records what an answer from `place` showed.
    pub fn record(&mut self, database: &str, place: &Place<'_>, seen: Observation, now: Instant) {
        let new_way = seen.time.saturating_sub(seen.at_owner);
        let way = self
            .ways
            .entry(place.host.into())
            .and_modify(|way| way.record(new_way))
            .or_insert_with(|| Way::new(new_way));
        self.links
            .entry(place.link.into())
            .or_default()
            .record(way, new_way, now);
        let hint = Hint::new(seen.next, now);
        self.hints.insert((place.instance.into(), place.rank), hint);
        if let Some(bytes) = seen.bytes {
            // Answers are at most a few megabytes.
            let size = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / 1024.0;
            let mean = self.kilobytes.entry(database.into()).or_insert(size);
            *mean += SIZE_WEIGHT * (size - *mean);
        }
    }

    /// Records that a call over a link was not answered.
    pub fn record_failure(&mut self, link: &str, now: Instant) {
        self.links
            .entry(link.into())
            .or_default()
            .record_failure(now);
    }

    /// Forgets the instances, hosts and databases that are not known any more.
    pub fn retain(
        &mut self,
        is_instance: impl Fn(&str) -> bool,
        is_host: impl Fn(&str) -> bool,
        is_database: impl Fn(&str) -> bool,
    ) {
        self.hints.retain(|(instance, _), _| is_instance(instance));
        self.ways.retain(|host, _| is_host(host));
        self.kilobytes.retain(|database, _| is_database(database));
        self.shares.retain(|(database, _), _| is_database(database));
    }

    /// Hints by instance and rank: the reported time, in seconds, and its weight.
    pub fn hints(&self, now: Instant) -> impl Iterator<Item = (&str, usize, (f64, f64))> {
        let hints = self.hints.iter();
        hints.map(move |((instance, rank), hint)| (instance.as_str(), *rank, hint.weighted(now)))
    }

    /// Measured ways, by host.
    pub fn ways(&self) -> impl Iterator<Item = (&str, Way)> {
        self.ways.iter().map(|(host, way)| (host.as_str(), *way))
    }

    /// Shares, by database and data centre.
    pub fn shares(&self) -> impl Iterator<Item = (&str, &str, f64)> {
        self.shares
            .iter()
            .map(|((database, to), share)| (database.as_str(), to.as_str(), share.value()))
    }

    /// The expected time until an answer from a place, with the cost of its bytes and
    /// the penalty of a primary, in seconds.
    #[must_use]
    pub fn cost_s(&self, database: &str, place: &Place<'_>, costs: ByteCosts, now: Instant) -> f64 {
        let candidate = &place.candidate;
        let kilobytes = self.kilobytes.get(database).copied().unwrap_or_default();
        let milliseconds = match candidate.distance {
            Distance::SameCentre => 0.0,
            Distance::SameRegion => costs.data_centre * kilobytes,
            Distance::OtherRegion => costs.region * kilobytes,
        };
        let mut time_s = candidate.time_s;
        let key = (place.instance.into(), place.rank);
        if let (Some(hint), Some(way)) = (self.hints.get(&key), self.ways.get(place.host)) {
            let (at_instance_s, weight) = hint.weighted(now);
            let hinted_s = (at_instance_s + way.mean_s) * (1.0 + place.queue);
            time_s += weight * (hinted_s - time_s);
        }
        time_s + milliseconds / 1000.0 + self.fixed.primary_s(candidate.is_primary)
    }

    /// Chooses the place for a read, and moves the shares of its database. `draw` is a
    /// random number from 0 to 1.
    #[must_use]
    pub fn choose(
        &mut self,
        database: &str,
        places: &[Place<'_>],
        costs: ByteCosts,
        draw: f64,
        now: Instant,
    ) -> Option<usize> {
        let mut cost = Vec::new();
        for place in places {
            cost.push(self.cost_s(database, place, costs, now));
        }
        let home = least(places.iter().map(|place| {
            let candidate = &place.candidate;
            let fixed_s = self.fixed.distance_s(candidate.distance)
                + self.fixed.primary_s(candidate.is_primary);
            (fixed_s, place.preference)
        }))?;
        let any = least((0..places.len()).map(|index| {
            let candidate = &places[index].candidate;
            (candidate.is_avoided, cost[index])
        }))?;
        if places[home].candidate.is_avoided {
            return Some(any);
        }
        let mut best: BTreeMap<&str, usize> = BTreeMap::new();
        for (index, place) in places.iter().enumerate() {
            if place.candidate.is_avoided {
                continue;
            }
            let chosen = best.entry(place.data_centre).or_insert(index);
            if cost[index] < cost[*chosen] {
                *chosen = index;
            }
        }
        let home = best.remove(places[home].data_centre).unwrap_or(any);
        let is_held = |index: usize| {
            let link = self.links.get(places[index].link);
            link.is_some_and(|link| link.is_held(now))
        };
        let usable = best.values().filter(|index| !is_held(**index));
        let mut target = home;
        for &index in usable {
            if cost[index] + margin_s(places[index].candidate.distance) < cost[target] {
                target = index;
            }
        }
        let mut leaving = Vec::new();
        let mut total = 0.0;
        for index in best.into_values() {
            let is_held = is_held(index);
            let link = self.links.get(places[index].link);
            let is_on_trial = link.is_some_and(Link::is_on_trial);
            let key = (database.into(), places[index].data_centre.into());
            let share = self.shares.entry(key).or_insert_with(|| Share::new(now));
            let probability = if !is_held && !is_on_trial {
                share.follow(index == target, places[index].candidate.distance, now)
            } else if is_held || index != target {
                share.withdraw(now)
            } else {
                share.withdraw(now).max(TRIAL_PROBABILITY)
            };
            total += probability;
            leaving.push((index, probability));
        }
        let mut left = draw * f64::max(total, 1.0);
        for (index, probability) in leaving {
            if left < probability {
                return Some(index);
            }
            left -= probability;
        }
        Some(home)
    }
}
