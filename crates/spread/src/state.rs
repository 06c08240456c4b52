//! Whether a host watches the store, and which feeds it polls.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::order::{SpreadHost, tree_ancestors, watch_order};
use crate::source::{SourceAges, SourceTable};

/// Hosts of a fleet that watch the store while it answers them.
pub const WATCHERS: usize = 3;
/// Feeds that a host polls at the same time.
pub const FEED_COUNT: usize = 3;
/// Hosts of each data centre whose far feed may poll another region. The link
/// between regions is narrow, so the others stay in theirs if they can.
const INTERREGIONAL_HOSTS: usize = 8;
/// Hosts that a random feed may fall back to while its first choice cannot be
/// reached, the first choice included.
const ALTERNATIVES_MAX: usize = 4;
/// Delay before the hosts right behind the watchers replace watchers that the store
/// does not answer.
const FIRST_WATCH_DELAY: Duration = Duration::from_millis(300);
/// Further delay of each group of hosts behind them: time to list the store and to
/// spread the result, several times over. Each group has twice as many hosts as the
/// one before it, so an outage of the store for all hosts makes few of them call it.
const WATCH_DELAY_STEP: Duration = Duration::from_millis(1500);
/// Longest delay: after it every host tries, in case the store answers only the last
/// ones of the order.
const WATCH_DELAY_MAX: Duration = Duration::from_secs(6);

/// Which host a feed polls, and what it asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedKind {
    /// The parent in the tree of the data centre, which sends new state at once.
    Parent,
    /// A random host of the data centre, which sends versions only.
    Near,
    /// A random host outside the data centre, which sends versions only.
    Far,
}

impl FeedKind {
    /// All feeds of a host.
    pub const ALL: [Self; FEED_COUNT] = [Self::Parent, Self::Near, Self::Far];

    /// How long an answer may wait for news.
    #[must_use]
    pub const fn longest_wait(self) -> Duration {
        match self {
            Self::Parent => Duration::from_secs(1),
            Self::Near | Self::Far => Duration::from_secs(2),
        }
    }

    /// Whether the polled host sends new state with its answer, and answers as soon
    /// as it knows a later source. The hosts of the other feeds tell their versions,
    /// and their state is fetched only if it does not arrive otherwise.
    #[must_use]
    pub const fn brings_state(self) -> bool {
        matches!(self, Self::Parent)
    }
}

/// A host's part in spreading the state of the store.
#[derive(Debug, Clone)]
pub struct SpreadState {
    own: SpreadHost,
    /// All listed hosts in watch order.
    order: Vec<SpreadHost>,
    own_index: Option<usize>,
    /// Hosts of the own data centre in watch order, without this one.
    near: Vec<SpreadHost>,
    ancestors: Vec<SpreadHost>,
    far: Vec<SpreadHost>,
    sources: SourceTable,
    lacks_watchers_since: Option<Instant>,
    /// Random numbers that select the hosts of the near and the far feed, and those
    /// that either falls back to outside of its kind.
    choices: [usize; FEED_COUNT],
}

impl SpreadState {
    /// Creates the state of a host that knows no other host. `choices` are random
    /// numbers that select its feeds.
    #[must_use]
    pub fn new(own: SpreadHost, choices: [usize; FEED_COUNT]) -> Self {
        Self {
            own,
            order: Vec::new(),
            own_index: None,
            near: Vec::new(),
            ancestors: Vec::new(),
            far: Vec::new(),
            sources: SourceTable::default(),
            lacks_watchers_since: None,
            choices,
        }
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&mut self, hosts: Vec<SpreadHost>) {
        self.order = watch_order(hosts);
        self.own_index = self
            .order
            .iter()
            .position(|host| host.name == self.own.name);
        let own_centre = &self.own.data_centre;
        let (near, far): (Vec<_>, Vec<_>) = self
            .order
            .iter()
            .cloned()
            .partition(|host| host.data_centre == *own_centre);
        let near_index = near.iter().position(|host| host.name == self.own.name);
        let near_index = near_index.unwrap_or(near.len());
        self.ancestors = tree_ancestors(near_index)
            .filter_map(|index| near.get(index).cloned())
            .collect();
        self.near = near;
        self.near.retain(|host| host.name != self.own.name);
        self.far = far;
        let own_region = &self.own.region;
        let has_regional = self.far.iter().any(|host| host.region == *own_region);
        if near_index >= INTERREGIONAL_HOSTS && has_regional {
            self.far.retain(|host| host.region == *own_region);
        }
    }

    /// Records that the store answered this host at `now`.
    pub fn record_own_answer(&mut self, now: Instant) {
        self.sources.record(&self.own.name, now);
    }

    /// Adds sources that another host told of, with the time since the store
    /// answered each of them.
    pub fn add_sources(&mut self, now: Instant, sources: &[(CompactString, Duration)]) {
        self.sources.expire(now);
        for (host, age) in sources {
            if let Some(at) = now.checked_sub(*age) {
                self.sources.record(host, at);
            }
        }
        self.sources.expire(now);
    }

    /// The latest sources, for other hosts.
    #[must_use]
    pub fn sources(&self, now: Instant) -> Vec<(CompactString, Duration)> {
        self.sources.latest(now)
    }

    /// Ages of the latest sources that this host has heard of.
    #[must_use]
    pub fn source_ages(&self, now: Instant) -> SourceAges {
        self.sources.ages(now)
    }

    /// Whether this host should watch the store: it is one of the first
    /// [`WATCHERS`] in the order, or has waited long enough for as many sources
    /// before it.
    pub fn should_watch(&mut self, now: Instant) -> bool {
        let index = self.own_index.unwrap_or(self.order.len());
        if index < WATCHERS {
            return true;
        }
        let mut preceding = 0;
        for host in &self.order[..index] {
            preceding += usize::from(self.sources.is_source(&host.name, now));
            if preceding == WATCHERS {
                self.lacks_watchers_since = None;
                return false;
            }
        }
        let since = *self.lacks_watchers_since.get_or_insert(now);
        now.saturating_duration_since(since) >= watch_delay(index)
    }

    /// Addresses that a feed may poll, the preferred one first.
    #[must_use]
    pub fn feed_addresses(&self, kind: FeedKind) -> Vec<CompactString> {
        let mut hosts: Vec<&SpreadHost> = Vec::new();
        match kind {
            FeedKind::Parent => {
                hosts.extend(&self.ancestors);
                // Watchers poll each other in a ring, so that each learns of all.
                let watchers = &self.order[..self.order.len().min(WATCHERS)];
                let next = self.own_index.map_or(0, |index| index + 1);
                let others = rotated(watchers, next);
                hosts.extend(others.filter(|host| host.name != self.own.name));
            }
            FeedKind::Near => {
                hosts.extend(rotated(&self.near, self.choices[0]));
                hosts.extend(rotated(&self.far, self.choices[2]));
            }
            FeedKind::Far => {
                hosts.extend(rotated(&self.far, self.choices[1]));
                hosts.extend(rotated(&self.near, self.choices[2]));
            }
        }
        let addresses = hosts.into_iter().map(|host| host.address.clone());
        addresses.collect()
    }
}

/// The first few hosts from the one that `choice` selects.
fn rotated(hosts: &[SpreadHost], choice: usize) -> impl Iterator<Item = &SpreadHost> {
    let start = choice.checked_rem(hosts.len()).unwrap_or_default();
    let (before, after) = hosts.split_at(start);
    after.iter().chain(before).take(ALTERNATIVES_MAX)
}

/// How long the host at `index` of the watch order waits for sources before it.
#[must_use]
pub fn watch_delay(index: usize) -> Duration {
    let group = (index / WATCHERS + 1).ilog2();
    match group {
        0 => Duration::ZERO,
        _ => (FIRST_WATCH_DELAY + WATCH_DELAY_STEP * (group - 1)).min(WATCH_DELAY_MAX),
    }
}
