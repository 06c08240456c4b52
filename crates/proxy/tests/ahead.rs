//! Utilization of the slots of a saturated instance, by a simulation of its queue.

use std::collections::VecDeque;

use fulmarrill_proxy::owner::instance::QUEUED_AHEAD;

/// Slots of the instance.
const SLOTS: usize = 2;
/// Time that a statement takes at the instance, in microseconds.
const STATEMENT_US: u64 = 14_000;
/// Time from an instance's answer until the next statement reaches it, in
/// microseconds: a network round trip, and two scheduling delays of a busy
/// processor.
const TURNAROUND_US: u64 = 2_500;
/// Simulated time, in microseconds.
const RUN_US: u64 = 10_000_000;

/// Counts the statements that an instance finishes while its owner always has
/// work queued and keeps `in_flight` statements at the instance.
fn count_finished(in_flight: usize) -> usize {
    // When each slot becomes free, and when each statement in flight arrives.
    let mut slots = [0_u64; SLOTS];
    let mut arrivals: VecDeque<u64> = (0..in_flight).map(|_| TURNAROUND_US).collect();
    let mut count = 0;
    while let Some(arrives_at) = arrivals.pop_front() {
        let slot = slots.iter_mut().min().expect("there are slots");
        let ends_at = arrives_at.max(*slot) + STATEMENT_US;
        if ends_at > RUN_US {
            return count;
        }
        *slot = ends_at;
        count += 1;
        arrivals.push_back(ends_at + TURNAROUND_US);
        arrivals.make_contiguous().sort_unstable();
    }
    count
}

#[test]
fn slots_of_saturated_instance_stay_busy() {
    let capacity = usize::try_from(RUN_US / STATEMENT_US).unwrap() * SLOTS;
    let served = count_finished(SLOTS + QUEUED_AHEAD);
    assert!(served * 100 >= capacity * 98, "{served} of {capacity}");
    assert!(
        count_finished(SLOTS) * 100 < capacity * 90,
        "slots stay busy without statements sent ahead"
    );
}
