//! The steps of a promotion.

use fulmarrill_position::{InstanceRole, InstanceStatus, LogPoint};
use fulmarrill_replication::{
    DatabaseGroup, GroupError, GroupInstance, PromotionAction, PromotionEvent, PromotionOutcome,
    PromotionPlan,
};

fn group() -> DatabaseGroup {
    let mut group = DatabaseGroup::new("registry-1", 1, "a");
    for name in ["a", "b", "c"] {
        group = group.with_instance(GroupInstance::new(name, "kosice-a", "vychod"));
    }
    group
}

fn fenced(name: &str, term: u64, received: LogPoint) -> PromotionEvent {
    let status = InstanceStatus {
        role: InstanceRole::Replica,
        fence_term: term,
        received,
        applied: received,
        streaming: false,
        matched: true,
    };
    PromotionEvent::Fenced(name.into(), status)
}

fn promote(name: &str, term: u64) -> Vec<PromotionAction> {
    vec![PromotionAction::Promote(name.into(), term)]
}

fn reserved_plan() -> PromotionPlan {
    let mut plan = PromotionPlan::new(group(), "change-1");
    let PromotionAction::Reserve(reserved) = plan.start() else {
        panic!("the first action is not a reservation");
    };
    assert_eq!((reserved.term, reserved.primary), (2, None));
    assert_eq!(plan.handle(PromotionEvent::Reserved).len(), 3);
    plan
}

#[test]
fn newest_log_in_a_majority_is_promoted() {
    let mut plan = reserved_plan();
    assert!(plan.handle(fenced("b", 2, LogPoint::new(1, 4))).is_empty());
    let actions = plan.handle(fenced("c", 2, LogPoint::new(1, 5)));
    assert_eq!(actions, promote("c", 2));
    let actions = plan.handle(PromotionEvent::Promoted("c".into()));
    let [PromotionAction::Publish(published)] = actions.as_slice() else {
        panic!("the new primary is not published");
    };
    assert_eq!(published.primary.as_deref(), Some("c"));
    plan.handle(PromotionEvent::Published);
    assert_eq!(plan.outcome(), Some(&PromotionOutcome::Done("c".into(), 2)));
}

/// Guards against comparing logs by position alone: `b` was promoted at term 2
/// and failed before it replicated, so its log ends in a later term at a lower
/// position.
#[test]
fn logs_are_compared_by_term_before_position() {
    let mut plan = reserved_plan();
    plan.handle(fenced("b", 2, LogPoint::new(2, 4)));
    let actions = plan.handle(fenced("c", 2, LogPoint::new(1, 9)));
    assert_eq!(actions, promote("b", 2));
}

/// Guards against promoting a partitioned primary again and again: it is fenced
/// with the others and has the newest log (issue 4).
#[test]
fn previous_primary_is_excluded_if_the_others_are_a_majority() {
    let mut plan = reserved_plan();
    assert!(plan.handle(fenced("a", 2, LogPoint::new(1, 28))).is_empty());
    assert!(plan.handle(fenced("b", 2, LogPoint::new(1, 26))).is_empty());
    let actions = plan.handle(fenced("c", 2, LogPoint::new(1, 24)));
    assert_eq!(actions, promote("b", 2));
}

#[test]
fn previous_primary_is_promoted_if_there_is_no_other_majority() {
    let mut plan = reserved_plan();
    plan.handle(fenced("a", 2, LogPoint::new(1, 28)));
    plan.handle(fenced("b", 2, LogPoint::new(1, 26)));
    let actions = plan.handle(PromotionEvent::FenceFailed("c".into()));
    assert_eq!(actions, promote("a", 2));
}

#[test]
fn plan_without_a_majority_ends() {
    let mut plan = reserved_plan();
    plan.handle(PromotionEvent::FenceFailed("a".into()));
    plan.handle(PromotionEvent::FenceFailed("b".into()));
    assert_eq!(plan.outcome(), Some(&PromotionOutcome::NoMajority));
    assert!(plan.handle(fenced("c", 2, LogPoint::new(1, 5))).is_empty());
}

#[test]
fn instance_fenced_at_a_later_term_ends_the_plan() {
    let mut plan = reserved_plan();
    plan.handle(fenced("b", 3, LogPoint::new(1, 4)));
    assert_eq!(plan.outcome(), Some(&PromotionOutcome::Superseded));
}

#[test]
fn invalid_instance_changes_are_rejected() {
    let mut group = group();
    let fourth = GroupInstance::new("d", "kosice-a", "vychod");
    assert_eq!(
        group.remove_instance("a"),
        Err(GroupError::IsPrimary("a".into()))
    );
    group.add_instance(fourth.clone()).expect("added");
    assert_eq!(group.majority(), 3);
    assert_eq!(
        group.add_instance(fourth),
        Err(GroupError::Present("d".into()))
    );
    group.remove_instance("c").expect("removed");
    group.primary = None;
    assert_eq!(group.remove_instance("b"), Err(GroupError::Promoting(1)));
}

/// In a planned change the successor has the same log as the previous primary, so
/// the promotion need not wait for an instance in a remote region.
#[test]
fn successor_with_the_log_of_the_previous_primary_is_promoted_at_once() {
    let mut plan = reserved_plan();
    plan.handle(fenced("a", 2, LogPoint::new(1, 28)));
    assert_eq!(
        plan.handle(fenced("b", 2, LogPoint::new(1, 28))),
        promote("b", 2)
    );
}
