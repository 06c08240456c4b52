//! Tracks who is heard.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;

/// One run of a member's process.
pub type MemberRun = CompactString;

/// Time for which a member that was heard is not probed.
const QUIET_TIME: Duration = Duration::from_millis(1500);
/// Time between two probes of a member.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive probes that nobody's answer contradicted before a member is lost.
const MISSES_MIN: u32 = 2;
/// Time since a member was heard after which it is lost, if this one hears at least half of the
/// members that it watches.
const LOST_TIME: Duration = Duration::from_secs(3);
/// The same, if it hears fewer: it may itself be cut off, and cuts end within seconds more often
/// than most members are lost at once.
const LOST_TIME_ALONE: Duration = Duration::from_secs(6);
/// Delay of each watcher behind the one before it, since one mark is enough.
const PLACE_STEP: Duration = Duration::from_millis(300);
/// Time after a member took back its mark within which it is not lost again. It doubles with
/// each further one: a member that only some reach would be marked without end.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// Longest time within which such a member is not lost again.
const HOLD_TIME_MAX: Duration = Duration::from_mins(2);
/// Time between two calls after which this process itself was late, so that misses prove nothing.
const OWN_DELAY_MAX: Duration = Duration::from_millis(1500);

/// A member to watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchedMember {
    /// The run of its process.
    pub run: MemberRun,
    /// Place of this member among its watchers.
    pub place: usize,
    /// Whether its entry is marked.
    pub is_marked: bool,
}

impl WatchedMember {
    /// A member without a mark.
    #[must_use]
    pub fn new(run: &str, place: usize) -> Self {
        Self {
            run: run.into(),
            place,
            is_marked: false,
        }
    }

    /// Sets whether the entry of the member is marked.
    #[must_use]
    pub fn with_mark(mut self, is_marked: bool) -> Self {
        self.is_marked = is_marked;
        self
    }
}

#[derive(Debug)]
struct MemberState {
    place: usize,
    is_marked: bool,
    heard_at: Instant,
    probed_at: Option<Instant>,
    misses: u32,
    /// How often the member took back its mark.
    returns: u32,
    held_until: Option<Instant>,
}

/// What one member knows of those that it watches.
#[derive(Debug, Default)]
pub struct MemberMonitor {
    members: BTreeMap<MemberRun, MemberState>,
    called_at: Option<Instant>,
}

impl MemberMonitor {
    /// Creates a monitor that watches nobody.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the members to watch. A new one counts as heard now.
    pub fn set_members(&mut self, now: Instant, members: impl IntoIterator<Item = WatchedMember>) {
        let mut earlier = std::mem::take(&mut self.members);
        for member in members {
            let mut state = earlier.remove(&member.run).unwrap_or(MemberState {
                place: member.place,
                is_marked: member.is_marked,
                heard_at: now,
                probed_at: None,
                misses: 0,
                returns: 0,
                held_until: None,
            });
            if state.is_marked && !member.is_marked {
                let hold = HOLD_TIME * 2_u32.saturating_pow(state.returns.min(8));
                state.held_until = Some(now + hold.min(HOLD_TIME_MAX));
                state.returns += 1;
            }
            state.place = member.place;
            state.is_marked = member.is_marked;
            self.members.insert(member.run, state);
        }
    }

    /// Records that a member was heard.
    pub fn record_heard(&mut self, at: Instant, run: &str) {
        if let Some(state) = self.members.get_mut(run)
            && at > state.heard_at
        {
            state.heard_at = at;
            state.misses = 0;
        }
    }

    /// Records a probe without an answer; `is_reached` tells whether another member reaches the
    /// probed one.
    pub fn record_miss(&mut self, now: Instant, run: &str, is_reached: bool) {
        if is_reached {
            self.record_heard(now, run);
        } else if let Some(state) = self.members.get_mut(run) {
            state.misses = state.misses.saturating_add(1);
        }
    }

    /// The members to probe now. Call it at least each 500 ms.
    pub fn due_probes(&mut self, now: Instant) -> Vec<MemberRun> {
        let called_at = self.called_at.replace(now);
        let is_late = called_at.is_some_and(|at| now.saturating_duration_since(at) > OWN_DELAY_MAX);
        if is_late {
            for state in self.members.values_mut() {
                state.heard_at = now;
                state.misses = 0;
            }
        }
        let mut due = Vec::new();
        for (run, state) in &mut self.members {
            let is_quiet = now.saturating_duration_since(state.heard_at) >= QUIET_TIME;
            let is_due = state
                .probed_at
                .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL);
            if is_quiet && is_due && !state.is_marked {
                state.probed_at = Some(now);
                due.push(run.clone());
            }
        }
        due
    }

    /// Whether at least half of the members that are not marked were heard lately.
    fn hears_most(&self, now: Instant) -> bool {
        let watched = self.members.values().filter(|state| !state.is_marked);
        let (mut count, mut heard) = (0, 0);
        for state in watched {
            count += 1;
            heard += usize::from(now.saturating_duration_since(state.heard_at) < LOST_TIME);
        }
        heard * 2 >= count
    }

    /// The members that are lost, for as long as they are not marked.
    #[must_use]
    pub fn lost(&self, now: Instant) -> Vec<MemberRun> {
        let lost_time = if self.hears_most(now) {
            LOST_TIME
        } else {
            LOST_TIME_ALONE
        };
        let mut lost = Vec::new();
        for (run, state) in &self.members {
            let place = u32::try_from(state.place).unwrap_or(u32::MAX);
            let lost_at = state.heard_at + lost_time + PLACE_STEP * place;
            let is_held = state.held_until.is_some_and(|until| now < until);
            if !state.is_marked && !is_held && state.misses >= MISSES_MIN && now >= lost_at {
                lost.push(run.clone());
            }
        }
        lost
    }
}
