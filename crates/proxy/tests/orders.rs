//! Model check of the orders of a change of primary: orders that are held up on their way or
//! by the platform, answers that are lost, and a candidate that leaves meanwhile. The model
//! runs [`OrderLog`]. Without any one of the guards the search finds a fault.

#[path = "support/reachability.rs"]
mod reachability;

use std::time::{Duration, Instant};

use fulmarrill_position::Term;
use fulmarrill_proxy::catalogue::InstanceId;
use fulmarrill_proxy::change::orders::{ORDER_SETTLE_TIME, OrderLog, OrderStep};
use fulmarrill_proxy::port::PromoteOutcome;
use reachability::{STUCK, StateChecks, search};
use rstest::rstest;

/// Instances that may be promoted. The first one may leave.
const CANDIDATES: [&str; 2] = ["a", "b"];
/// Term of the primary that is being replaced.
const OLD_TERM: Term = 1;
/// Orders of one change.
const ORDERS_MAX: usize = 3;
/// Steps of the clock of a schedule.
const TICKS_MAX: u8 = 7;
/// Time of one step of the clock; an order settles in two of them.
const TICK: Duration = ORDER_SETTLE_TIME.checked_div(2).unwrap();

/// Last step of the clock by which a change has time left to end.
const LAST_JUDGED_TICK: u8 = 1;

const TOKEN_REPEATED: &str = "an order has no higher token than the one before it";
const REPLACED: &str = "hosts use an instance that was replaced";

/// What keeps orders from taking effect in the wrong order, or mends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderGuard {
    /// The connection of an order that is given up is reset.
    Reset,
    /// No other instance is ordered before an order has settled.
    Settle,
    /// Each order has a fencing token of its own.
    TokenPerOrder,
    /// A database whose record names an instance that does not lead is changed again.
    Superseded,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum OrderPath {
    /// Held up on its way to the platform.
    Held,
    /// The platform has received it.
    Received,
    /// It has taken effect, or never will.
    Done,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelOrder {
    instance: usize,
    token: u8,
    path: OrderPath,
    /// When the host received the answer or gave the order up, and which it was.
    ended: Option<(u8, bool)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct ChangeState {
    tick: u8,
    token: u8,
    /// Orders of the present change and of the one before it.
    orders: Vec<ModelOrder>,
    /// Index of the first order of the present change.
    first_order: usize,
    is_leaving: bool,
    /// Instance that leads, and its term.
    leader: Option<(usize, Term)>,
    highest_token: u8,
    is_token_repeated: bool,
    published: Option<(usize, Term)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangeStep {
    /// The change takes its next step.
    Proceed,
    /// The platform receives an order.
    Receive(usize),
    /// An order takes effect; the flag tells whether its answer is lost.
    Execute(usize, bool),
    GiveUp(usize),
    /// The first candidate reports that it is leaving.
    Leave,
    /// Hosts find that the record contradicts the instances.
    Repair,
    Tick,
}

#[derive(Debug, Clone, Copy)]
struct OrderModel {
    without: &'static [OrderGuard],
}

impl OrderModel {
    fn has(self, guard: OrderGuard) -> bool {
        !self.without.contains(&guard)
    }

    fn log(self, state: &ChangeState, base: Instant) -> OrderLog {
        let mut log = OrderLog::default();
        for order in &state.orders[state.first_order..] {
            let Some((tick, is_accepted)) = order.ended else {
                continue;
            };
            let outcome = if is_accepted {
                PromoteOutcome::Accepted
            } else {
                PromoteOutcome::Unknown
            };
            let ended_at = if self.has(OrderGuard::Settle) {
                base + TICK * u32::from(tick)
            } else {
                base
            };
            let instance = InstanceId::from(CANDIDATES[order.instance]);
            log.record(&instance, outcome, ended_at);
        }
        log
    }

    fn proceed(self, state: &ChangeState) -> Option<ChangeState> {
        if state.published.is_some() || state.orders.iter().any(|order| order.ended.is_none()) {
            return None;
        }
        let base = Instant::now();
        // Without the guard every order counts as one that ended long ago.
        let now = base + TICK * u32::from(state.tick);
        let now = if self.has(OrderGuard::Settle) {
            now
        } else {
            now + ORDER_SETTLE_TIME
        };
        let log = self.log(state, base);
        let index_of = |id: &InstanceId| CANDIDATES.iter().position(|name| name == id);
        let leader = state.leader.map(|(index, term)| (CANDIDATES[index], term));
        let leader_id = leader.map(|(name, term)| (InstanceId::from(name), term));
        let leading = leader_id.as_ref().map(|(id, term)| (id, *term));
        let chosen = InstanceId::from(CANDIDATES[usize::from(state.is_leaving)]);
        let mut next = state.clone();
        match log.next_step(now, leading, Some(&chosen)) {
            OrderStep::Publish(id, term) => next.published = Some((index_of(&id)?, term)),
            OrderStep::Order(id) => {
                let ordered = state.orders.len() - state.first_order;
                if ordered == ORDERS_MAX {
                    return None;
                }
                if ordered == 0 || (log.needs_token() && self.has(OrderGuard::TokenPerOrder)) {
                    next.token += 1;
                }
                next.orders.push(ModelOrder {
                    instance: index_of(&id)?,
                    token: next.token,
                    path: OrderPath::Held,
                    ended: None,
                });
            }
            OrderStep::Wait => return None,
        }
        Some(next)
    }

    /// Whether the platform must execute an order before the clock goes on: what it has
    /// received takes effect before the order has settled.
    fn is_due(state: &ChangeState, order: &ModelOrder) -> bool {
        let settles = |(tick, _): (u8, bool)| tick < state.tick;
        order.path == OrderPath::Received && order.ended.is_some_and(settles)
    }

    fn next(self, state: &ChangeState, step: ChangeStep) -> Option<ChangeState> {
        let mut next = state.clone();
        match step {
            ChangeStep::Proceed => return self.proceed(state),
            ChangeStep::Receive(index) => {
                let order = &mut next.orders[index];
                if order.path != OrderPath::Held {
                    return None;
                }
                order.path = OrderPath::Received;
                next.is_token_repeated |= order.token <= state.highest_token;
                next.highest_token = order.token.max(state.highest_token);
            }
            ChangeStep::Execute(index, is_answer_lost) => {
                let order = &mut next.orders[index];
                if order.path != OrderPath::Received {
                    return None;
                }
                order.path = OrderPath::Done;
                if order.ended.is_none() && !is_answer_lost {
                    order.ended = Some((state.tick, true));
                }
                let instance = order.instance;
                let term = state.leader.map_or(OLD_TERM, |(_, term)| term);
                if state.leader.is_none_or(|(leader, _)| leader != instance) {
                    next.leader = Some((instance, term + 1));
                }
            }
            ChangeStep::GiveUp(index) => {
                let order = &mut next.orders[index];
                if order.ended.is_some() {
                    return None;
                }
                order.ended = Some((state.tick, false));
                if order.path == OrderPath::Held && self.has(OrderGuard::Reset) {
                    order.path = OrderPath::Done;
                }
            }
            ChangeStep::Leave => {
                if state.is_leaving || state.orders.is_empty() {
                    return None;
                }
                next.is_leaving = true;
            }
            ChangeStep::Repair => {
                let contradicts = state.published.is_some() && state.published != state.leader;
                if !contradicts || !self.has(OrderGuard::Superseded) {
                    return None;
                }
                // The change ends the term of the record and publishes the instance that leads.
                next.published = state.leader;
                next.first_order = state.orders.len();
            }
            ChangeStep::Tick => {
                let is_overdue = state.orders.iter().any(|order| Self::is_due(state, order));
                if state.tick == TICKS_MAX || is_overdue {
                    return None;
                }
                next.tick += 1;
            }
        }
        Some(next)
    }

    fn steps(state: &ChangeState) -> Vec<ChangeStep> {
        let mut steps = vec![
            ChangeStep::Proceed,
            ChangeStep::Leave,
            ChangeStep::Repair,
            ChangeStep::Tick,
        ];
        for index in 0..state.orders.len() {
            steps.extend([
                ChangeStep::Receive(index),
                ChangeStep::Execute(index, false),
                ChangeStep::Execute(index, true),
                ChangeStep::GiveUp(index),
            ]);
        }
        steps
    }

    /// Visits every state. Returns the first fault.
    fn search(self, checks_safety: bool) -> Option<&'static str> {
        let next_states = |state: &ChangeState| {
            let steps = Self::steps(state).into_iter();
            steps.filter_map(|step| self.next(state, step)).collect()
        };
        let is_served =
            |state: &ChangeState| state.published.is_some() && state.published == state.leader;
        let checks = StateChecks {
            broken: if checks_safety {
                broken_property
            } else {
                |_| None
            },
            is_served,
            // The bounds of a schedule end changes that began late in it.
            is_judged: |state| state.published.is_some() || state.tick <= LAST_JUDGED_TICK,
        };
        search(ChangeState::default(), next_states, &checks).0
    }
}

fn broken_property(state: &ChangeState) -> Option<&'static str> {
    if state.is_token_repeated {
        return Some(TOKEN_REPEATED);
    }
    let is_replaced = state.published.is_some() && state.published != state.leader;
    is_replaced.then_some(REPLACED)
}

#[test]
fn orders_take_effect_in_turn_and_some_instance_is_used() {
    assert_eq!(OrderModel { without: &[] }.search(true), None);
}

#[rstest]
#[case::reset(&[OrderGuard::Reset], TOKEN_REPEATED)]
#[case::settle(&[OrderGuard::Settle], REPLACED)]
#[case::token(&[OrderGuard::TokenPerOrder], TOKEN_REPEATED)]
fn search_finds_fault_without_guard(
    #[case] without: &'static [OrderGuard],
    #[case] fault: &'static str,
) {
    assert_eq!(OrderModel { without }.search(true), Some(fault));
}

/// Guards against a database that is not served after an order took effect late, which a
/// host cannot rule out if the platform is slow.
#[rstest]
#[case::repaired(&[OrderGuard::Reset], None)]
#[case::left_alone(&[OrderGuard::Reset, OrderGuard::Superseded], Some(STUCK))]
fn database_of_a_late_order_is_served_again(
    #[case] without: &'static [OrderGuard],
    #[case] fault: Option<&'static str>,
) {
    assert_eq!(OrderModel { without }.search(false), fault);
}
