//! The part of this host in spreading the state of the store, shared by its tasks.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_spread::{FeedKind, SourceAges, SpreadHost, SpreadState};

use crate::catalogue::HostEntry;
use crate::context::HostPlace;

/// Shared [`SpreadState`] of a host.
#[derive(Debug)]
pub struct SharedSpread {
    state: Mutex<SpreadState>,
}

impl From<&HostEntry> for SpreadHost {
    fn from(host: &HostEntry) -> Self {
        Self::new(&host.name, &host.address, &host.data_centre, &host.region).with_tier(host.tier)
    }
}

impl SharedSpread {
    /// The part of the host at `place`, with randomly selected feeds.
    #[must_use]
    pub fn new(place: &HostPlace) -> Self {
        let own = SpreadHost::new(
            &place.host,
            &place.address,
            &place.data_centre,
            &place.region,
        );
        let choices = std::array::from_fn(|_| fastrand::usize(..));
        Self {
            state: Mutex::new(SpreadState::new(own, choices)),
        }
    }

    fn state(&self) -> MutexGuard<'_, SpreadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the list of hosts; those that are leaving are left out.
    pub fn set_hosts<'a>(&self, hosts: impl IntoIterator<Item = &'a HostEntry>) {
        let hosts = hosts.into_iter().filter(|host| !host.leaving);
        self.state().set_hosts(hosts.map(Into::into).collect());
    }

    /// Records that the store answered this host at `now`.
    pub fn record_own_answer(&self, now: Instant) {
        self.state().record_own_answer(now);
    }

    /// Adds sources that another host told of.
    pub fn add_sources(&self, now: Instant, sources: &[(CompactString, Duration)]) {
        self.state().add_sources(now, sources);
    }

    /// The hosts that the store answered last, with the time since then.
    #[must_use]
    pub fn sources(&self, now: Instant) -> Vec<(CompactString, Duration)> {
        self.state().sources(now)
    }

    /// Ages of the latest of these.
    #[must_use]
    pub fn source_ages(&self, now: Instant) -> SourceAges {
        self.state().source_ages(now)
    }

    /// Whether this host should watch the store.
    #[must_use]
    pub fn should_watch(&self, now: Instant) -> bool {
        self.state().should_watch(now)
    }

    /// Addresses that a feed may poll.
    #[must_use]
    pub fn feed_addresses(&self, kind: FeedKind) -> Vec<CompactString> {
        self.state().feed_addresses(kind)
    }
}
