//! The load of a saturated instance: how full its slots are kept.

use std::collections::VecDeque;

use fulmarrill_proxy::owner::instance::QUEUED_AHEAD;

/// Slots of the instance.
const SLOTS: usize = 2;
/// Time of a statement at the instance, in microseconds.
const SERVICE: u64 = 14_000;
/// Time from an instance's answer until the next statement reaches it, in
/// microseconds: both ways, and two turns of a busy processor.
const TRAVEL: u64 = 2_500;
/// Length of the run, in microseconds.
const LENGTH: u64 = 10_000_000;

/// Statements that an instance finishes while its owner, who always has work
/// waiting, keeps `in_flight` statements there.
fn finished(in_flight: usize) -> usize {
    // When each slot is free, and when each statement in flight arrives.
    let mut slots = [0_u64; SLOTS];
    let mut arrivals: VecDeque<u64> = (0..in_flight).map(|_| TRAVEL).collect();
    let mut count = 0;
    while let Some(arrives_at) = arrivals.pop_front() {
        let slot = slots.iter_mut().min().expect("there are slots");
        let ends_at = arrives_at.max(*slot) + SERVICE;
        if ends_at > LENGTH {
            return count;
        }
        *slot = ends_at;
        count += 1;
        arrivals.push_back(ends_at + TRAVEL);
        arrivals.make_contiguous().sort_unstable();
    }
    count
}

#[test]
fn slots_of_a_saturated_instance_stay_full() {
    let most = usize::try_from(LENGTH / SERVICE).unwrap() * SLOTS;
    let served = finished(SLOTS + QUEUED_AHEAD);
    assert!(served * 100 >= most * 98, "{served} of {most}");
    assert!(
        finished(SLOTS) * 100 < most * 90,
        "the naive way does as well"
    );
}
