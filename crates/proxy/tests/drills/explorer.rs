//! Breadth-first search over the states of a model.

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::mem::discriminant;

/// A model: its states, and the steps that lead from one to the next.
pub trait StateModel {
    /// A state.
    type State: Clone + Hash;
    /// A step.
    type Step: Copy + Debug;

    /// The state in which every schedule begins.
    fn initial(&self) -> Self::State;
    /// The steps that are possible in a state.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;
    /// The state after a step.
    fn next(&self, state: &Self::State, step: Self::Step) -> Self::State;
    /// The property that a state breaks, if it breaks one.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
    /// What a state shows to have been reached, one bit each.
    fn reached(&self, state: &Self::State) -> u32;
}

/// Outcome of a search.
#[derive(Debug)]
pub struct SearchOutcome<S> {
    /// A shortest schedule that breaks a property, and the property.
    pub violation: Option<(Vec<S>, &'static str)>,
    /// Number of different states.
    pub states: usize,
    /// Number of steps of the longest schedule.
    pub depth: usize,
    /// Whether no state was left out.
    pub is_complete: bool,
    /// What any of the states has reached.
    pub reached: u32,
}

fn fingerprint(state: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Visits all states in the order of their distance from the initial one, until a
/// property is broken or `states_max` states are known.
pub fn search<M: StateModel>(model: &M, states_max: usize) -> SearchOutcome<M::Step> {
    let initial = model.initial();
    let mut known = HashSet::from([fingerprint(&initial)]);
    // Each state's predecessor and the step from it.
    let mut origins: Vec<Option<(usize, M::Step)>> = vec![None];
    let mut outcome = SearchOutcome {
        violation: None,
        states: 1,
        depth: 0,
        is_complete: true,
        reached: model.reached(&initial),
    };
    let mut level = vec![(0, initial)];
    while !level.is_empty() {
        let mut next_level = Vec::new();
        for (index, state) in level {
            for step in model.steps(&state) {
                let next = model.next(&state, step);
                if !known.insert(fingerprint(&next)) {
                    continue;
                }
                origins.push(Some((index, step)));
                let next_index = origins.len() - 1;
                outcome.states = origins.len();
                outcome.reached |= model.reached(&next);
                if let Some(property) = model.violation(&next) {
                    let schedule = schedule_to(&origins, next_index);
                    outcome.depth = schedule.len();
                    outcome.is_complete = false;
                    outcome.violation = Some((schedule, property));
                    return outcome;
                }
                if origins.len() >= states_max {
                    outcome.is_complete = false;
                    return outcome;
                }
                next_level.push((next_index, next));
            }
        }
        if !next_level.is_empty() {
            outcome.depth += 1;
        }
        level = next_level;
    }
    outcome
}

fn schedule_to<S: Copy>(origins: &[Option<(usize, S)>], last: usize) -> Vec<S> {
    let mut schedule = Vec::new();
    let mut index = last;
    while let Some((origin, step)) = origins[index] {
        schedule.push(step);
        index = origin;
    }
    schedule.reverse();
    schedule
}

/// Random schedules of one model.
#[derive(Debug, Clone, Copy)]
pub struct WalkOptions {
    /// Seed of the first schedule; the others have the seeds after it.
    pub seed: u64,
    /// Number of schedules.
    pub walks: usize,
    /// Steps of one schedule.
    pub steps: usize,
}

/// Runs random schedules until one breaks a property; that one is shortened.
pub fn walk<M: StateModel>(model: &M, options: WalkOptions) -> SearchOutcome<M::Step>
where
    M::Step: PartialEq,
{
    let mut outcome = SearchOutcome {
        violation: None,
        states: 0,
        depth: options.steps,
        is_complete: false,
        reached: 0,
    };
    for index in 0..options.walks {
        let mut random = fastrand::Rng::with_seed(options.seed + index as u64);
        let mut state = model.initial();
        let mut schedule = Vec::new();
        for _ in 0..options.steps {
            let steps = model.steps(&state);
            let step = draw(&mut random, &steps);
            state = model.next(&state, step);
            schedule.push(step);
            outcome.states += 1;
            outcome.reached |= model.reached(&state);
            if model.violation(&state).is_some() {
                outcome.violation = Some(shorten(model, schedule));
                return outcome;
            }
        }
    }
    outcome
}

/// Draws a kind of step first, so that kinds with many steps are not preferred.
fn draw<S: Copy>(random: &mut fastrand::Rng, steps: &[S]) -> S {
    let mut kinds = Vec::new();
    for step in steps {
        if !kinds.contains(&discriminant(step)) {
            kinds.push(discriminant(step));
        }
    }
    let kind = kinds[random.usize(..kinds.len())];
    let of_kind: Vec<S> = steps
        .iter()
        .copied()
        .filter(|step| discriminant(step) == kind)
        .collect();
    of_kind[random.usize(..of_kind.len())]
}

/// Runs a schedule. Returns the property that it breaks, if it breaks one, and the
/// number of steps until then; nothing if one of its steps is not possible.
pub fn run_schedule<M: StateModel>(
    model: &M,
    schedule: &[M::Step],
) -> Option<(Option<&'static str>, usize)>
where
    M::Step: PartialEq,
{
    let mut state = model.initial();
    for (index, step) in schedule.iter().enumerate() {
        if !model.steps(&state).contains(step) {
            return None;
        }
        state = model.next(&state, *step);
        if let Some(property) = model.violation(&state) {
            return Some((Some(property), index + 1));
        }
    }
    Some((None, schedule.len()))
}

/// Leaves out steps for as long as the rest still breaks a property.
fn shorten<M: StateModel>(model: &M, mut schedule: Vec<M::Step>) -> (Vec<M::Step>, &'static str)
where
    M::Step: PartialEq,
{
    let mut property = "";
    for width in [4, 3, 2, 1, 2, 1] {
        let mut index = 0;
        while index < schedule.len() {
            let mut shorter = schedule.clone();
            shorter.drain(index..(index + width).min(schedule.len()));
            match run_schedule(model, &shorter) {
                Some((Some(broken), length)) => {
                    shorter.truncate(length);
                    (schedule, property) = (shorter, broken);
                }
                _ => index += 1,
            }
        }
    }
    if property.is_empty()
        && let Some((Some(broken), _)) = run_schedule(model, &schedule)
    {
        property = broken;
    }
    (schedule, property)
}
