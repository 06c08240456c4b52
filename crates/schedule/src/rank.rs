//! A rank: its policy and its waiting work.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::queue::WorkItem;

/// Index of a rank, 0 for the most urgent.
pub type RankIndex = usize;

/// Weight of the newest sample in a moving mean.
const MEAN_WEIGHT: f64 = 0.1;
/// Assumed mean time of a statement before the first measurement, in seconds.
const INITIAL_COST_SECONDS: f64 = 0.002;
/// Maximum credit of a waiting rank, in statements of mean time.
const CREDIT_STATEMENTS_MAX: f64 = 4.0;
/// Minimum length of a window over which a rank's rate is measured.
const RATE_WINDOW: Duration = Duration::from_millis(100);

/// Policy that operators configure for a rank.
#[derive(Debug, Clone, PartialEq)]
pub struct RankPolicy {
    /// Name of the rank.
    pub name: CompactString,
    /// Share of the slots, from 0 to 1, guaranteed to the rank while it has work.
    pub floor: f64,
}

impl RankPolicy {
    /// Creates a policy from a name and a floor.
    #[must_use]
    pub fn new(name: &str, floor: f64) -> Self {
        Self {
            name: name.into(),
            floor,
        }
    }
}

/// Waiting work of one service and customer.
#[derive(Debug, Default)]
struct FlowQueue {
    items: VecDeque<WorkItem>,
    /// Virtual time for fair queuing between the flows of the rank: the slot
    /// time charged so far, in seconds, raised to that of the rank after the
    /// flow was idle.
    virtual_time: f64,
}

/// The waiting work of one rank.
#[derive(Debug)]
pub(crate) struct RankBacklog {
    pub(crate) policy: RankPolicy,
    flows: BTreeMap<CompactString, FlowQueue>,
    /// Virtual time of the flow that was served last, before it was charged.
    virtual_now: f64,
    pub(crate) length: usize,
    /// Slot time, in seconds, that the floor grants the rank and that it has not
    /// used yet; negative if it has used more.
    pub(crate) credit: f64,
    /// Moving mean of the slot time of a statement, in seconds.
    mean_cost: f64,
    /// Moving mean of the number of slots that the rank got while it had work.
    rate: f64,
    window_start: Instant,
    window_cost: f64,
    window_was_idle: bool,
}

impl RankBacklog {
    pub(crate) fn new(policy: RankPolicy, slots: f64, now: Instant) -> Self {
        Self {
            policy,
            flows: BTreeMap::new(),
            virtual_now: 0.0,
            length: 0,
            credit: 0.0,
            mean_cost: INITIAL_COST_SECONDS,
            rate: slots,
            window_start: now,
            window_cost: 0.0,
            window_was_idle: true,
        }
    }

    pub(crate) fn mean_cost(&self) -> f64 {
        self.mean_cost
    }

    pub(crate) fn push(&mut self, item: WorkItem) {
        let flow = self.flows.entry(item.flow.clone()).or_default();
        if flow.items.is_empty() {
            // A flow gains no advantage from the time in which it was idle.
            flow.virtual_time = flow.virtual_time.max(self.virtual_now);
        }
        flow.items.push_back(item);
        self.length += 1;
    }

    /// Takes the oldest item of the flow with the least virtual time.
    pub(crate) fn pop(&mut self) -> Option<WorkItem> {
        let mut chosen: Option<(&CompactString, f64)> = None;
        for (name, flow) in &self.flows {
            if flow.items.is_empty() {
                continue;
            }
            if chosen.is_none_or(|(_, time)| flow.virtual_time < time) {
                chosen = Some((name, flow.virtual_time));
            }
        }
        let name = chosen?.0.clone();
        let flow = self.flows.get_mut(&name)?;
        let item = flow.items.pop_front()?;
        self.virtual_now = flow.virtual_time;
        flow.virtual_time += self.mean_cost;
        if flow.items.is_empty() && self.flows.len() > FLOWS_KEPT {
            self.flows.remove(&name);
        }
        self.length -= 1;
        Some(item)
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<WorkItem> {
        for flow in self.flows.values_mut() {
            let Some(index) = flow.items.iter().position(|item| item.id == id) else {
                continue;
            };
            self.length -= 1;
            return flow.items.remove(index);
        }
        None
    }

    /// Adds the floor's share of `cost` seconds of slot time to the credit. A rank
    /// without waiting work loses the credit that it has saved up.
    pub(crate) fn accrue(&mut self, cost: f64) {
        if self.length == 0 {
            self.credit = self.credit.min(0.0);
            return;
        }
        let max = CREDIT_STATEMENTS_MAX * self.mean_cost;
        self.credit = (self.credit + self.policy.floor * cost).min(max);
    }

    /// Whether the credit covers a statement of mean time.
    pub(crate) fn has_credit(&self) -> bool {
        self.length > 0 && self.credit >= self.mean_cost
    }

    pub(crate) fn record_start(&mut self) {
        self.credit -= self.mean_cost;
    }

    pub(crate) fn record_finish(&mut self, cost: f64) {
        // The start was charged with the mean cost; charge the difference.
        self.credit -= cost - self.mean_cost;
        self.mean_cost += MEAN_WEIGHT * (cost - self.mean_cost);
        self.window_cost += cost;
    }

    /// Lowers the mean as much as a statement that takes no time does.
    pub(crate) fn record_refusal(&mut self) {
        self.mean_cost -= MEAN_WEIGHT * self.mean_cost;
    }

    /// Updates the rank's rate at the end of a window. A window in which the rank
    /// was out of work counts as if it had got all slots.
    pub(crate) fn update_rate(&mut self, now: Instant, slots: f64) {
        self.window_was_idle |= self.length == 0;
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed < RATE_WINDOW {
            return;
        }
        let sample = if self.window_was_idle {
            slots
        } else {
            self.window_cost / elapsed.as_secs_f64()
        };
        self.rate = 0.5 * self.rate + 0.5 * sample;
        self.window_start = now;
        self.window_cost = 0.0;
        self.window_was_idle = self.length == 0;
    }

    /// Expected time until a new item starts, from the work that waits ahead of
    /// it and the rate at which the rank has been served.
    pub(crate) fn expected_wait(&self, slots: f64) -> Duration {
        let min_rate = (self.policy.floor * slots).max(0.01);
        let rate = self.rate.clamp(min_rate, slots.max(min_rate));
        #[allow(clippy::cast_precision_loss)]
        let cost_ahead = self.length as f64 * self.mean_cost;
        Duration::from_secs_f64(cost_ahead / rate)
    }
}

/// Number of flows up to which a flow is kept when it runs out of work.
const FLOWS_KEPT: usize = 256;
