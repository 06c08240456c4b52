//! Decides which order of a change of primary comes next. Performs no I/O.
//!
//! An order whose answer did not arrive may still take effect. Until that is ruled out no
//! other instance is ordered, since the platform would promote the first one after the
//! second, and its writes would be lost.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fulmarrill_position::Term;

use crate::catalogue::InstanceId;
use crate::port::PromoteOutcome;

/// Time after the end of an order within which it may take effect. The connection of an
/// order without an answer is reset, so that the platform receives nothing of it later.
pub const ORDER_SETTLE_TIME: Duration = Duration::from_millis(2500);
/// Time after an order of unknown outcome until the same instance is ordered again.
pub const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Last order for an instance.
#[derive(Debug, Clone, Copy)]
struct GivenOrder {
    outcome: PromoteOutcome,
    ended_at: Instant,
}

impl GivenOrder {
    fn is_open(&self, now: Instant) -> bool {
        let may_take_effect = match self.outcome {
            PromoteOutcome::Accepted | PromoteOutcome::Unknown => true,
            PromoteOutcome::Refused | PromoteOutcome::NotSent => false,
        };
        may_take_effect && now.saturating_duration_since(self.ended_at) < ORDER_SETTLE_TIME
    }
}

/// Next step of a change of primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderStep {
    /// Publish that this instance leads this term.
    Publish(InstanceId, Term),
    /// Order the promotion of this instance.
    Order(InstanceId),
    /// Ask the instances again.
    Wait,
}

/// Orders that a change of primary has given.
#[derive(Debug, Default)]
pub struct OrderLog {
    orders: BTreeMap<InstanceId, GivenOrder>,
    /// Whether the platform may have seen the present fencing token.
    is_token_used: bool,
}

impl OrderLog {
    /// Records the outcome of an order that ended at `now`.
    pub fn record(&mut self, instance: &InstanceId, outcome: PromoteOutcome, now: Instant) {
        if outcome == PromoteOutcome::NotSent {
            return;
        }
        self.is_token_used = true;
        let ended_at = now;
        let order = GivenOrder { outcome, ended_at };
        // A refusal says nothing about an earlier order for the same instance.
        if let Some(earlier) = self.orders.get(instance)
            && earlier.is_open(now)
            && !order.is_open(now)
        {
            return;
        }
        self.orders.insert(instance.clone(), order);
    }

    /// Records that the next order has a fencing token of its own.
    pub fn renew_token(&mut self) {
        self.is_token_used = false;
    }

    /// Whether the next order needs another fencing token.
    #[must_use]
    pub fn needs_token(&self) -> bool {
        self.is_token_used
    }

    /// Instances that may have been promoted by these orders.
    pub fn ordered(&self) -> impl Iterator<Item = &InstanceId> {
        self.orders.keys()
    }

    /// Whether an order may still take effect.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        self.orders.values().any(|order| order.is_open(now))
    }

    /// Whether an instance may be ordered now. While an order was accepted, and for a moment
    /// after one of unknown outcome, the instances are only asked.
    #[must_use]
    pub fn may_order(&self, now: Instant) -> bool {
        self.orders.values().all(|order| {
            let waited = now.saturating_duration_since(order.ended_at);
            let may_repeat = order.outcome == PromoteOutcome::Unknown;
            !order.is_open(now) || (may_repeat && waited >= ORDER_RETRY_INTERVAL)
        })
    }

    /// Returns the next step. `leading` is the instance that reports to lead the latest term
    /// after the one that is being replaced, and `chosen` the one to promote.
    #[must_use]
    pub fn next_step(
        &self,
        now: Instant,
        leading: Option<(&InstanceId, Term)>,
        chosen: Option<&InstanceId>,
    ) -> OrderStep {
        let is_other_open = |instance: &InstanceId| {
            let mut orders = self.orders.iter();
            orders.any(|(other, order)| other != instance && order.is_open(now))
        };
        if let Some((instance, term)) = leading {
            if is_other_open(instance) {
                return OrderStep::Wait;
            }
            return OrderStep::Publish(instance.clone(), term);
        }
        match chosen {
            Some(chosen) if self.may_order(now) && !is_other_open(chosen) => {
                OrderStep::Order(chosen.clone())
            }
            _ => OrderStep::Wait,
        }
    }
}
