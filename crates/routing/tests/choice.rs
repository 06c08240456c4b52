//! Selection of an instance, also compared with round-robin.

use std::time::{Duration, Instant};

use fulmarrill_position::LogPoint;
use fulmarrill_routing::{InstanceView, ReadRequirement, choose_instance, choose_round_robin};

const FLOOR: LogPoint = LogPoint {
    term: 1,
    position: 10,
};

#[test]
fn primary_serves_reads_only_when_no_replica_can() {
    let now = Instant::now();
    let primary = InstanceView::new("a", FLOOR).with_primary(true);
    let replica = InstanceView::new("b", FLOOR);
    let requirement = ReadRequirement::new(FLOOR);
    let views = [primary.clone(), replica.clone()];
    assert_eq!(
        choose_instance(&views, &requirement, now).map(|view| &*view.name),
        Some("b")
    );
    let views = [primary, replica.with_unusable(true)];
    assert_eq!(
        choose_instance(&views, &requirement, now).map(|view| &*view.name),
        Some("a")
    );
}

#[test]
fn excluded_instances_are_not_chosen() {
    let now = Instant::now();
    let views = [InstanceView::new("a", FLOOR), InstanceView::new("b", FLOOR)];
    let requirement = ReadRequirement::new(FLOOR).with_excluded(vec!["a".into(), "b".into()]);
    assert_eq!(choose_instance(&views, &requirement, now), None);
}

/// With replicas of unequal speed, selection by expected time keeps the total
/// time below a third of that of round-robin.
#[test]
fn expected_time_beats_round_robin() {
    let now = Instant::now();
    let fast = Duration::from_millis(2);
    let slow = Duration::from_millis(20);
    let (mut chosen_time, mut round_robin_time) = (Duration::ZERO, Duration::ZERO);
    let mut queued = [0_u32; 2];
    for turn in 0..40_u32 {
        let views = [
            InstanceView::new("fast", FLOOR).with_answer_at(now + fast * (queued[0] + 1)),
            InstanceView::new("slow", FLOOR).with_answer_at(now + slow * (queued[1] + 1)),
        ];
        let chosen = choose_instance(&views, &ReadRequirement::new(FLOOR), now)
            .expect("an instance is usable");
        let index = usize::from(chosen.name == "slow");
        queued[index] += 1;
        chosen_time += [fast, slow][index] * queued[index];
        let round_robin = choose_round_robin(&views, turn as usize).expect("an instance is usable");
        round_robin_time += [fast, slow][usize::from(round_robin.name == "slow")] * (turn / 2 + 1);
    }
    assert!(
        chosen_time * 3 < round_robin_time,
        "{chosen_time:?} is not below a third of {round_robin_time:?}"
    );
}

#[test]
fn same_region_is_preferred_unless_far_slower() {
    let now = Instant::now();
    let far = InstanceView::new("far", FLOOR).with_same_region(false);
    let near = InstanceView::new("near", FLOOR).with_answer_at(now + Duration::from_millis(50));
    let requirement = ReadRequirement::new(FLOOR);
    let views = [far.clone(), near.clone()];
    assert_eq!(
        choose_instance(&views, &requirement, now).map(|view| &*view.name),
        Some("near")
    );
    let views = [far, near.with_answer_at(now + Duration::from_millis(500))];
    assert_eq!(
        choose_instance(&views, &requirement, now).map(|view| &*view.name),
        Some("far")
    );
}
