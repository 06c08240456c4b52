//! The queue of work that waits for an instance's slots.
//!
//! The most urgent rank with work goes first, but every rank with work is
//! guaranteed its floor: for each second of slot time granted to any rank, a
//! waiting rank earns the share of its floor as credit, and a rank whose credit
//! covers a whole statement goes ahead of more urgent ranks. Capacity that a
//! rank does not use is available to all others.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use thiserror::Error;

use crate::rank::{RankBacklog, RankIndex, RankPolicy};

/// Id of a work item, unique within a queue.
pub type WorkId = u64;

/// Maximum number of waiting items, so that a flood is refused and not buffered.
const ITEMS_MAX: usize = 4096;

/// Time after the arrival of work of the most urgent rank for which long work of
/// other ranks may not take the last free slot.
const RESERVATION_TIME: Duration = Duration::from_millis(250);
/// Work whose mean time exceeds that of the most urgent rank by more than this
/// factor may not take a reserved slot.
const LONG_WORK_FACTOR: f64 = 1.5;

/// Work is started only if this many times its rank's mean time is left before
/// its deadline. Statement times vary widely: with the mean alone, one in two
/// would be cut off at its deadline while running, with an unknown outcome.
const TIME_NEEDED_FACTOR: f64 = 2.5;

/// Safety factor on the expected wait at admission: work that is refused at
/// once can be retried, while work that is admitted and then misses its
/// deadline has lost its time.
const WAIT_FACTOR: f64 = 1.2;

/// A unit of work that needs a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkItem {
    /// Id assigned by the caller that offers the item.
    pub id: WorkId,
    /// Rank of the item.
    pub rank: RankIndex,
    /// Service and customer; each rank queues fairly between its flows.
    pub flow: CompactString,
    /// Time after which the answer has no value.
    pub deadline: Instant,
    /// Whether the item continues an open transaction, which may hold locks that
    /// other work waits for.
    pub in_transaction: bool,
}

impl WorkItem {
    /// Creates an item outside of any open transaction.
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

    /// Sets whether the item continues an open transaction.
    #[must_use]
    pub fn with_in_transaction(mut self, in_transaction: bool) -> Self {
        self.in_transaction = in_transaction;
        self
    }
}

/// Why an item was not admitted, or was dropped before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AdmissionRefusal {
    /// The item would start too late to finish by its deadline.
    #[error("would start in {0:?}, after its deadline allows")]
    TooLate(Duration),
    /// The queue holds the maximum number of items.
    #[error("too many requests are waiting")]
    Full,
    /// The rank does not exist.
    #[error("rank {0} does not exist")]
    NoRank(RankIndex),
}

/// Queue of ranked work for a number of slots.
#[derive(Debug)]
pub struct RankQueue {
    slots: usize,
    running: usize,
    ranks: Vec<RankBacklog>,
    /// Waiting items of open transactions, in order of arrival.
    transaction_items: VecDeque<WorkItem>,
    expired: Vec<WorkItem>,
    /// Until when long work may not take the last free slot.
    reserved_until: Instant,
}

impl RankQueue {
    /// Creates an empty queue; `policies` are sorted by urgency, most urgent first.
    #[must_use]
    pub fn new(policies: Vec<RankPolicy>, slots: usize, now: Instant) -> Self {
        let mut ranks = Vec::new();
        for policy in policies {
            ranks.push(RankBacklog::new(policy, to_f64(slots), now));
        }
        Self {
            slots,
            running: 0,
            ranks,
            transaction_items: VecDeque::new(),
            expired: Vec::new(),
            reserved_until: now,
        }
    }

    /// Changes the policies and the number of slots. Waiting work keeps its rank,
    /// and ranks beyond the end of `policies` keep their last policy.
    pub fn set_policies(&mut self, policies: Vec<RankPolicy>, slots: usize, now: Instant) {
        self.slots = slots;
        for (index, policy) in policies.into_iter().enumerate() {
            match self.ranks.get_mut(index) {
                Some(rank) => rank.policy = policy,
                None => self
                    .ranks
                    .push(RankBacklog::new(policy, to_f64(slots), now)),
            }
        }
    }

    /// Admits an item to the queue unless it is unlikely to finish by its deadline.
    ///
    /// An item that continues an open transaction is always admitted.
    ///
    /// # Errors
    ///
    /// Returns an [`AdmissionRefusal`] if the item was not admitted; it will not
    /// run.
    pub fn offer(&mut self, now: Instant, item: WorkItem) -> Result<(), AdmissionRefusal> {
        if item.rank >= self.ranks.len() {
            return Err(AdmissionRefusal::NoRank(item.rank));
        }
        if item.in_transaction {
            self.transaction_items.push_back(item);
            return Ok(());
        }
        if self.len() >= ITEMS_MAX {
            return Err(AdmissionRefusal::Full);
        }
        let wait = self.expected_wait(now, item.rank);
        if now + wait.mul_f64(WAIT_FACTOR) + self.time_needed(item.rank) > item.deadline {
            if self.running == 0 && self.is_empty() {
                // No statement will correct a mean that refuses all work.
                self.ranks[item.rank].record_refusal();
            }
            return Err(AdmissionRefusal::TooLate(wait));
        }
        if item.rank == 0 {
            self.reserved_until = now + RESERVATION_TIME;
        }
        self.ranks[item.rank].push(item);
        Ok(())
    }

    /// Takes the next item to start. Items of open transactions start at once,
    /// all others only if a slot is free.
    pub fn next(&mut self, now: Instant) -> Option<WorkItem> {
        // Running work may be waiting for a lock that an open transaction
        // holds, so the transaction's next step must not wait for a slot.
        if let Some(item) = self.transaction_items.pop_front() {
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

    /// The latest time to start work of `rank` that is due by `deadline`; the
    /// deadline itself for an unknown rank.
    #[must_use]
    pub fn latest_start(&self, rank: RankIndex, deadline: Instant) -> Instant {
        if rank >= self.ranks.len() {
            return deadline;
        }
        let latest = deadline.checked_sub(self.time_needed(rank));
        latest.unwrap_or(deadline)
    }

    /// Time before the deadline that must be left when work of a rank is started.
    fn time_needed(&self, rank: RankIndex) -> Duration {
        Duration::from_secs_f64(TIME_NEEDED_FACTOR * self.ranks[rank].mean_cost())
    }

    /// Whether work of `rank` is long and may not take the last free slot, because
    /// work of the most urgent rank arrived recently. Running work is not
    /// preempted, so an urgent request would have to wait until the long one ends.
    fn withholds_last_slot(&self, rank: RankIndex, now: Instant) -> bool {
        let last_free = self.running + 1 >= self.slots;
        if rank == 0 || !last_free || self.slots < 2 || now >= self.reserved_until {
            return false;
        }
        let urgent_cost = self.ranks[0].mean_cost();
        self.ranks[rank].mean_cost() > LONG_WORK_FACTOR * urgent_cost
    }

    /// The rank to start next: the one with the most credit if it covers a
    /// statement, else the most urgent one that may take the slot. A rank
    /// chosen by its credit may take a reserved slot too, or its floor would not
    /// be guaranteed.
    fn choose_rank(&self, now: Instant) -> Option<RankIndex> {
        let mut credited: Option<RankIndex> = None;
        let mut most_urgent = None;
        for (index, rank) in self.ranks.iter().enumerate() {
            if rank.length == 0 {
                continue;
            }
            if most_urgent.is_none() && !self.withholds_last_slot(index, now) {
                most_urgent = Some(index);
            }
            let has_more_credit =
                credited.is_none_or(|other| rank.credit > self.ranks[other].credit);
            if rank.has_credit() && has_more_credit {
                credited = Some(index);
            }
        }
        credited.or(most_urgent)
    }

    fn start(&mut self, rank: RankIndex) {
        self.running += 1;
        let cost = self.ranks[rank].mean_cost();
        for other in &mut self.ranks {
            other.accrue(cost);
        }
        self.ranks[rank].record_start();
    }

    /// Releases a slot after it was used for `elapsed`.
    pub fn finish(&mut self, now: Instant, rank: RankIndex, elapsed: Duration) {
        self.running = self.running.saturating_sub(1);
        if let Some(rank) = self.ranks.get_mut(rank) {
            rank.record_finish(elapsed.as_secs_f64());
        }
        let slots = to_f64(self.slots);
        for rank in &mut self.ranks {
            rank.update_rate(now, slots);
        }
    }

    /// Removes an item that has not started; `false` if there is none.
    pub fn cancel(&mut self, rank: RankIndex, id: WorkId) -> bool {
        if let Some(index) = self.transaction_items.iter().position(|item| item.id == id) {
            self.transaction_items.remove(index);
            return true;
        }
        self.ranks
            .get_mut(rank)
            .is_some_and(|rank| rank.remove(id).is_some())
    }

    /// Takes the items dropped because too little time was left to start them.
    pub fn take_expired(&mut self) -> Vec<WorkItem> {
        std::mem::take(&mut self.expired)
    }

    /// Expected time until a new item of `rank` starts.
    #[must_use]
    pub fn expected_wait(&self, _now: Instant, rank: RankIndex) -> Duration {
        if self.running < self.slots {
            return Duration::ZERO;
        }
        self.ranks
            .get(rank)
            .map_or(Duration::MAX, |rank| rank.expected_wait(to_f64(self.slots)))
    }

    /// Expected time until a new item of `rank` has ended: its wait, and the mean time
    /// in a slot.
    #[must_use]
    pub fn expected_time(&self, now: Instant, rank: RankIndex) -> Duration {
        let in_slot = self.ranks.get(rank).map_or(0.0, RankBacklog::mean_cost);
        self.expected_wait(now, rank)
            .saturating_add(Duration::from_secs_f64(in_slot))
    }

    /// Number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        let waiting: usize = self.ranks.iter().map(|rank| rank.length).sum();
        waiting + self.transaction_items.len()
    }

    /// Whether no item waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of waiting items of one rank, without those of open transactions.
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
fn to_f64(count: usize) -> f64 {
    count as f64
}
