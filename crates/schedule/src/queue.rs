//! The queue before an instance's slots.
//!
//! The most urgent rank goes first, but each rank that has work keeps its
//! floor: for every second of slot time given out, a waiting rank is owed its
//! floor's share, and a rank that is owed a whole statement goes before the
//! more urgent. What a rank does not use flows to whoever waits.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use thiserror::Error;

use crate::rank::{RankBacklog, RankIndex, RankPolicy};

/// Number of a work item, unique within a queue.
pub type WorkId = u64;

/// Items that may wait in one queue, so that a flood is refused and not kept.
const ITEMS_MAX: usize = 4096;

/// Time after urgent work for which a slot is kept for more of it.
const GUARD_TIME: Duration = Duration::from_millis(250);
/// Work that takes this many times as long as urgent work may not take the
/// last free slot.
const GUARD_FACTOR: f64 = 1.5;

/// Work is started only with this many times its rank's mean time left. Times
/// of statements spread widely; with the mean alone one in two would be cut off
/// at its deadline after it has begun, and its outcome would be unknown.
const TIME_FACTOR: f64 = 2.5;

/// The wait that was foreseen is taken this many times when work is admitted:
/// work that is refused at once can be sent again, work that was admitted in
/// vain has lost its time.
const WAIT_FACTOR: f64 = 1.2;

/// Something that needs a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkItem {
    /// Number given by whoever offers it.
    pub id: WorkId,
    /// Rank.
    pub rank: RankIndex,
    /// Service and customer, between which a rank is fair.
    pub flow: CompactString,
    /// When the answer is worth nothing any more.
    pub deadline: Instant,
    /// Whether it continues an open transaction, which holds locks that
    /// others wait for.
    pub in_transaction: bool,
}

impl WorkItem {
    /// An item that starts something new.
    #[must_use]
    pub fn new(id: WorkId, rank: RankIndex, flow: &str, deadline: Instant) -> Self {
        Self {
            id,
            rank,
            flow: flow.into(),
            deadline,
            in_transaction: false,
        }
    }

    /// Marks the item as a step of an open transaction.
    #[must_use]
    pub fn with_in_transaction(mut self, in_transaction: bool) -> Self {
        self.in_transaction = in_transaction;
        self
    }
}

/// Why an item was not taken, or dropped before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AdmissionRefusal {
    /// It would start too late to be finished by its deadline.
    #[error("would start in {0:?}, after its deadline allows")]
    TooLate(Duration),
    /// Too many items wait.
    #[error("too many requests are waiting")]
    Full,
    /// No such rank.
    #[error("rank {0} does not exist")]
    NoRank(RankIndex),
}

/// Ranked work before a number of slots.
#[derive(Debug)]
pub struct RankQueue {
    slots: usize,
    running: usize,
    ranks: Vec<RankBacklog>,
    continuing: VecDeque<WorkItem>,
    expired: Vec<WorkItem>,
    /// Until when the last free slot is kept for the most urgent rank.
    guarded_until: Instant,
}

impl RankQueue {
    /// An empty queue. `policies` are in the order of urgency.
    #[must_use]
    pub fn new(policies: Vec<RankPolicy>, slots: usize, now: Instant) -> Self {
        let mut ranks = Vec::new();
        for policy in policies {
            ranks.push(RankBacklog::new(policy, to_real(slots), now));
        }
        Self {
            slots,
            running: 0,
            ranks,
            continuing: VecDeque::new(),
            expired: Vec::new(),
            guarded_until: now,
        }
    }

    /// Changes policies and slots. Waiting work stays where it is; ranks that
    /// went away keep their place until they are empty.
    pub fn set_policies(&mut self, policies: Vec<RankPolicy>, slots: usize, now: Instant) {
        self.slots = slots;
        for (index, policy) in policies.into_iter().enumerate() {
            match self.ranks.get_mut(index) {
                Some(rank) => rank.policy = policy,
                None => self
                    .ranks
                    .push(RankBacklog::new(policy, to_real(slots), now)),
            }
        }
    }

    /// Takes an item, unless it cannot be answered in time.
    ///
    /// # Errors
    ///
    /// Why it was refused; it will not run.
    pub fn offer(&mut self, now: Instant, item: WorkItem) -> Result<(), AdmissionRefusal> {
        if item.rank >= self.ranks.len() {
            return Err(AdmissionRefusal::NoRank(item.rank));
        }
        if item.in_transaction {
            self.continuing.push_back(item);
            return Ok(());
        }
        if self.len() >= ITEMS_MAX {
            return Err(AdmissionRefusal::Full);
        }
        let wait = self.expected_wait(now, item.rank);
        if now + wait.mul_f64(WAIT_FACTOR) + self.time_needed(item.rank) > item.deadline {
            return Err(AdmissionRefusal::TooLate(wait));
        }
        if item.rank == 0 {
            self.guarded_until = now + GUARD_TIME;
        }
        self.ranks[item.rank].push(item);
        Ok(())
    }

    /// The next item to start: a step of an open transaction at once, anything
    /// else if a slot is free.
    pub fn next(&mut self, now: Instant) -> Option<WorkItem> {
        // The work in the slots may be waiting for a lock that an open
        // transaction holds, so its next step must not wait for a slot.
        if let Some(item) = self.continuing.pop_front() {
            self.start(item.rank);
            return Some(item);
        }
        if self.running >= self.slots {
            return None;
        }
        loop {
            let rank = self.choose_rank(now)?;
            let item = self.ranks[rank].pop()?;
            if now + self.time_needed(rank) > item.deadline {
                self.expired.push(item);
                continue;
            }
            self.start(rank);
            return Some(item);
        }
    }

    /// Until when work must have been started to be finished by `deadline`.
    #[must_use]
    pub fn latest_start(&self, rank: RankIndex, deadline: Instant) -> Instant {
        if rank >= self.ranks.len() {
            return deadline;
        }
        let latest = deadline.checked_sub(self.time_needed(rank));
        latest.unwrap_or(deadline)
    }

    /// Time that must be left when work of a rank is started.
    fn time_needed(&self, rank: RankIndex) -> Duration {
        Duration::from_secs_f64(TIME_FACTOR * self.ranks[rank].mean_cost())
    }

    /// Whether the last free slot is kept from work that would hold it for long
    /// while urgent work arrives: a slot cannot be taken back, so an urgent
    /// request would wait for the whole of it.
    fn keeps_slot_from(&self, rank: RankIndex, now: Instant) -> bool {
        let last_free = self.running + 1 >= self.slots;
        if rank == 0 || !last_free || self.slots < 2 || now >= self.guarded_until {
            return false;
        }
        let urgent = self.ranks[0].mean_cost();
        self.ranks[rank].mean_cost() > GUARD_FACTOR * urgent
    }

    /// The rank to start from: one that its floor owes a statement, else the
    /// most urgent that may take the slot. What a floor owes is not kept back,
    /// or the floor would not hold.
    fn choose_rank(&self, now: Instant) -> Option<RankIndex> {
        let mut owed: Option<RankIndex> = None;
        let mut first = None;
        for (index, rank) in self.ranks.iter().enumerate() {
            if rank.length == 0 {
                continue;
            }
            if first.is_none() && !self.keeps_slot_from(index, now) {
                first = Some(index);
            }
            let more = owed.is_none_or(|other| rank.credit > self.ranks[other].credit);
            if rank.is_owed() && more {
                owed = Some(index);
            }
        }
        owed.or(first)
    }

    fn start(&mut self, rank: RankIndex) {
        self.running += 1;
        let cost = self.ranks[rank].mean_cost();
        for other in &mut self.ranks {
            other.accrue(cost);
        }
        self.ranks[rank].note_start();
    }

    /// Gives a slot back after `elapsed` of use.
    pub fn finish(&mut self, now: Instant, rank: RankIndex, elapsed: Duration) {
        self.running = self.running.saturating_sub(1);
        if let Some(rank) = self.ranks.get_mut(rank) {
            rank.note_finish(elapsed.as_secs_f64());
        }
        let slots = to_real(self.slots);
        for rank in &mut self.ranks {
            rank.measure(now, slots);
        }
    }

    /// Removes an item that has not started. Says whether it was there.
    pub fn cancel(&mut self, rank: RankIndex, id: WorkId) -> bool {
        if let Some(index) = self.continuing.iter().position(|item| item.id == id) {
            self.continuing.remove(index);
            return true;
        }
        self.ranks
            .get_mut(rank)
            .is_some_and(|rank| rank.remove(id).is_some())
    }

    /// Items dropped because their deadline came before they could start.
    pub fn take_expired(&mut self) -> Vec<WorkItem> {
        std::mem::take(&mut self.expired)
    }

    /// Time until a new item of `rank` would start.
    #[must_use]
    pub fn expected_wait(&self, _now: Instant, rank: RankIndex) -> Duration {
        if self.running < self.slots {
            return Duration::ZERO;
        }
        self.ranks.get(rank).map_or(Duration::MAX, |rank| {
            rank.expected_wait(to_real(self.slots))
        })
    }

    /// Number of items that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        let waiting: usize = self.ranks.iter().map(|rank| rank.length).sum();
        waiting + self.continuing.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of items that wait in one rank.
    #[must_use]
    pub fn rank_len(&self, rank: RankIndex) -> usize {
        self.ranks.get(rank).map_or(0, |rank| rank.length)
    }

    /// Number of slots in use.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of ranks.
    #[must_use]
    pub fn rank_count(&self) -> usize {
        self.ranks.len()
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_real(count: usize) -> f64 {
    count as f64
}
