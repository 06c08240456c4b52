//! Which hosts the store has answered lately.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::state::WATCHERS;

/// Time after its last answer from the store for which a host counts as a source.
/// A watching host is answered at least every 1.2 s, and hosts tell each other of
/// answers that are newer by a second; the rest is for hosts that are slow.
pub const SOURCE_LIFETIME: Duration = Duration::from_secs(3);
/// Sources that a host tells others about, the latest first.
const SOURCES_TOLD_MAX: usize = 8;
/// Difference between the ages of sources of two hosts from which on one tells the
/// other at once, rather than when its poll has waited long enough.
const SOURCE_NEWS_STEP: Duration = Duration::from_secs(1);

/// Ages of the latest sources that a host knows, ascending; [`SOURCE_LIFETIME`]
/// where there is none.
pub type SourceAges = [Duration; WATCHERS];

/// Times at which the store answered hosts, as far as this host knows.
#[derive(Debug, Clone, Default)]
pub struct SourceTable {
    answered_at: BTreeMap<CompactString, Instant>,
}

impl SourceTable {
    /// Records that the store answered `host` at `at`.
    pub fn record(&mut self, host: &str, at: Instant) {
        let known = self.answered_at.get(host);
        if known.is_none_or(|known| *known < at) {
            self.answered_at.insert(host.into(), at);
        }
    }

    /// Forgets hosts that are no longer sources.
    pub fn expire(&mut self, now: Instant) {
        self.answered_at
            .retain(|_, at| now.saturating_duration_since(*at) < SOURCE_LIFETIME);
    }

    /// Whether the store has answered `host` lately.
    #[must_use]
    pub fn is_source(&self, host: &str, now: Instant) -> bool {
        let answered_at = self.answered_at.get(host);
        answered_at.is_some_and(|at| now.saturating_duration_since(*at) < SOURCE_LIFETIME)
    }

    /// The latest sources, with the time since the store answered each of them.
    #[must_use]
    pub fn latest(&self, now: Instant) -> Vec<(CompactString, Duration)> {
        let mut sources = Vec::new();
        for (host, at) in &self.answered_at {
            let age = now.saturating_duration_since(*at);
            if age < SOURCE_LIFETIME {
                sources.push((age, host.clone()));
            }
        }
        sources.sort_unstable();
        sources.truncate(SOURCES_TOLD_MAX);
        sources.into_iter().map(|(age, host)| (host, age)).collect()
    }

    /// Ages of the latest sources.
    #[must_use]
    pub fn ages(&self, now: Instant) -> SourceAges {
        let mut ages = [SOURCE_LIFETIME; WATCHERS];
        for (age, (_, latest)) in ages.iter_mut().zip(self.latest(now)) {
            *age = latest;
        }
        ages
    }
}

/// Whether a host whose latest sources have the ages `own` should at once tell
/// another host, whose latest sources had the ages `held` when it asked `waited`
/// ago.
#[must_use]
pub fn is_source_news(own: SourceAges, held: SourceAges, waited: Duration) -> bool {
    let mut ages = own.into_iter().zip(held);
    ages.any(|(own, held)| {
        own < SOURCE_LIFETIME && own + SOURCE_NEWS_STEP <= (held + waited).min(SOURCE_LIFETIME)
    })
}
