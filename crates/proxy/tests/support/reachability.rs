//! Search over all states of a model, for faults and for states without a way out.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::Hash;

/// What a search asks of the states of a model.
pub struct StateChecks<S> {
    /// The property that a state breaks, if it breaks one.
    pub broken: fn(&S) -> Option<&'static str>,
    /// Whether a database is served in a state.
    pub is_served: fn(&S) -> bool,
    /// Whether a served state must be reachable from a state.
    pub is_judged: fn(&S) -> bool,
}

/// Fault of a state from which no served one can be reached.
pub const STUCK: &str = "a database is not served again";

/// Visits every state that can be reached from `initial`. Returns the first fault, and the
/// number of states.
pub fn search<S: Clone + Eq + Hash>(
    initial: S,
    next_states: impl Fn(&S) -> Vec<S>,
    checks: &StateChecks<S>,
) -> (Option<&'static str>, usize) {
    let mut predecessors: HashMap<S, Vec<S>> = HashMap::from([(initial.clone(), Vec::new())]);
    let mut queue = VecDeque::from([initial]);
    let mut served = Vec::new();
    while let Some(state) = queue.pop_front() {
        if let Some(fault) = (checks.broken)(&state) {
            return (Some(fault), predecessors.len());
        }
        if (checks.is_served)(&state) {
            served.push(state.clone());
        }
        for next in next_states(&state) {
            let is_known = predecessors.contains_key(&next);
            let earlier = predecessors.entry(next.clone()).or_default();
            earlier.push(state.clone());
            if !is_known {
                queue.push_back(next);
            }
        }
    }
    let mut can_be_served: HashSet<S> = served.iter().cloned().collect();
    while let Some(state) = served.pop() {
        for earlier in &predecessors[&state] {
            if can_be_served.insert(earlier.clone()) {
                served.push(earlier.clone());
            }
        }
    }
    let is_stuck = |state: &S| (checks.is_judged)(state) && !can_be_served.contains(state);
    let fault = predecessors.keys().any(is_stuck).then_some(STUCK);
    (fault, predecessors.len())
}
