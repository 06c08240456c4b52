//! Model check of terms, leases, fences and eras, and of lists: a store that comes back
//! from an older copy, hosts, the platform's orders and instances, late and lost
//! messages. The table of the guards stands in docs/PROOFS.md.
//!
//! The rules hold in every schedule within the bounds; without any one of them the
//! search finds a schedule that breaks a property. The bounds of the runs here are
//! small; `longer_search` has larger ones:
//! `DRILL_STATES=4000000 cargo test --release -p fulmarrill-proxy --test drills -- --ignored --nocapture`.

#[path = "drills/explorer.rs"]
mod explorer;
#[path = "drills/lists.rs"]
mod lists;
#[path = "drills/terms.rs"]
mod terms;

use explorer::{WalkOptions, run_schedule, search, walk};
use lists::{CONFIGURED_IN_NEW_ERA, LEFT_IN_NEW_ERA, ListGuard, ListModel, RETURN_IN_NEW_ERA};
use rstest::rstest;
use terms::TermStep::{
    Ask, AskLate, Deliver, Drill, End, Find, Join, JoinLate, Promote, Publish, Release, Reserve,
    Rewrite, StepDown, Tell, Tick,
};
use terms::{
    JOIN_IN_NEW_ERA, LEASE_IN_NEW_ERA, ORDER_IN_NEW_ERA, TERM_IN_NEW_ERA, TermGuard, TermModel,
    TermStep,
};

/// More states than any search of a small scope visits.
const STATES_MAX: usize = 700_000;
/// Random schedules of one run.
const WALKS: usize = 1500;
/// Steps of one random schedule.
const WALK_STEPS: usize = 40;
/// Seed of the first random schedule.
const WALK_SEED: u64 = 20_261_206;

const TWO_FENCES: &str = "two holders send orders with one fence";
const LOWER_FENCE: &str = "an order has a lower fence than an earlier one";
const REPLACED: &str = "a host uses a primary that was replaced";
const ENDED: &str = "a host goes back to a term that has ended";
const USED_AGAIN: &str = "a host uses an instance again that has left";
const BEHIND: &str = "a host was answered and does not have what the store holds";

const fn scope(hosts: u8, drills: u8, changes: u8, joins: u8, late: u8) -> TermModel {
    TermModel {
        without: None,
        hosts,
        drills,
        copies: 0,
        changes,
        joins,
        late,
        ends: 0,
    }
}

const LATE_ANSWER: TermModel = scope(2, 0, 1, 0, 1);
const TWO_CHANGES: TermModel = scope(2, 0, 2, 0, 0);
const DRILL_IN_CHANGE: TermModel = scope(2, 1, 1, 0, 0);
const DRILL_AFTER_JOIN: TermModel = scope(2, 1, 1, 1, 0);
const DRILL_BETWEEN_CHANGES: TermModel = scope(2, 1, 2, 0, 0);
const DRILL_JOIN_AND_CHANGES: TermModel = scope(2, 1, 2, 1, 0);
const THREE_HOSTS: TermModel = scope(3, 1, 2, 2, 1);
const DRILL_AND_END: TermModel = TermModel {
    ends: 1,
    ..scope(3, 1, 2, 1, 0)
};
const THREE_CHANGES: TermModel = scope(2, 1, 3, 0, 0);
const DRILL_WITH_ALL: TermModel = scope(2, 1, 2, 1, 1);

#[rstest]
#[case::two_changes(TWO_CHANGES, 0)]
#[case::drill_in_change(DRILL_IN_CHANGE, ORDER_IN_NEW_ERA | TERM_IN_NEW_ERA | LEASE_IN_NEW_ERA)]
fn no_schedule_breaks_a_property(#[case] model: TermModel, #[case] reached: u32) {
    let outcome = search(&model, STATES_MAX);
    assert_eq!(outcome.violation, None);
    assert!(outcome.is_complete, "{} states", outcome.states);
    assert_eq!(outcome.reached & reached, reached);
}

#[test]
fn random_schedules_break_no_property() {
    let model = TermModel {
        copies: 2,
        ends: 1,
        ..scope(3, 2, 3, 2, 2)
    };
    let options = WalkOptions {
        seed: WALK_SEED,
        walks: WALKS,
        steps: WALK_STEPS,
    };
    let outcome = walk(&model, options);
    assert_eq!(outcome.violation, None);
    let all = ORDER_IN_NEW_ERA | TERM_IN_NEW_ERA | LEASE_IN_NEW_ERA | JOIN_IN_NEW_ERA;
    assert_eq!(outcome.reached, all);
}

/// The search ends at a shortest schedule. The other guards need larger scopes, see
/// `longer_search`.
#[rstest]
#[case::conditional_write(TermGuard::ConditionalWrite, TWO_CHANGES, 5)]
#[case::lease_from_request(TermGuard::LeaseFromRequest, LATE_ANSWER, 8)]
#[case::lease_wait(TermGuard::LeaseWait, LATE_ANSWER, 2)]
#[case::release_kept(TermGuard::ReleaseKept, LATE_ANSWER, 3)]
#[case::change_timeout(TermGuard::ChangeTimeout, TWO_CHANGES, 10)]
#[case::rank_kept(TermGuard::RankKept, DRILL_IN_CHANGE, 5)]
#[case::answer_of_era(TermGuard::AnswerOfEra, DRILL_AFTER_JOIN, 4)]
#[case::confirmed_lease(TermGuard::ConfirmedLease, DRILL_IN_CHANGE, 8)]
#[case::quiet_time(TermGuard::QuietTime, DRILL_IN_CHANGE, 9)]
#[case::holders_kept(TermGuard::HoldersKept, DRILL_AFTER_JOIN, 11)]
#[case::settled_change(TermGuard::SettledChange, DRILL_AFTER_JOIN, 5)]
#[case::era_in_fence(TermGuard::EraInFence, DRILL_BETWEEN_CHANGES, 10)]
#[case::order_confirmed(TermGuard::OrderConfirmed, DRILL_IN_CHANGE, 8)]
#[case::rewrite_with_lease(TermGuard::RewriteWithLease, DRILL_IN_CHANGE, 10)]
fn search_finds_fault_without_guard(
    #[case] guard: TermGuard,
    #[case] scope: TermModel,
    #[case] length: usize,
) {
    let model = TermModel {
        without: Some(guard),
        ..scope
    };
    let (schedule, property) = search(&model, STATES_MAX).violation.unwrap();
    assert_eq!(schedule.len(), length, "{property}: {schedule:?}");
}

const ONE_HOST: ListModel = ListModel {
    without: None,
    hosts: 1,
    drills: 1,
    copies: 1,
    configurations: 1,
    expiries: 1,
    late: 1,
};
const TWO_HOSTS: ListModel = ListModel {
    hosts: 2,
    copies: 0,
    expiries: 0,
    late: 0,
    ..ONE_HOST
};

#[rstest]
#[case::one_host(ONE_HOST)]
#[case::two_hosts(TWO_HOSTS)]
fn no_schedule_of_lists_breaks_a_property(#[case] model: ListModel) {
    let outcome = search(&model, STATES_MAX);
    assert_eq!(outcome.violation, None);
    assert!(outcome.is_complete, "{} states", outcome.states);
    let expected = LEFT_IN_NEW_ERA | CONFIGURED_IN_NEW_ERA;
    assert_eq!(outcome.reached & expected, expected);
}

#[test]
fn random_schedules_of_lists_break_no_property() {
    let model = ListModel {
        hosts: 3,
        drills: 2,
        copies: 2,
        configurations: 3,
        expiries: 2,
        late: 3,
        ..ONE_HOST
    };
    let options = WalkOptions {
        seed: WALK_SEED,
        walks: WALKS,
        steps: WALK_STEPS,
    };
    let outcome = walk(&model, options);
    assert_eq!(outcome.violation, None);
    let all = RETURN_IN_NEW_ERA | LEFT_IN_NEW_ERA | CONFIGURED_IN_NEW_ERA;
    assert_eq!(outcome.reached, all);
}

/// The search ends at a shortest schedule.
#[rstest]
#[case::configuration_kept(
    ListGuard::ConfigurationKept,
    4,
    "a host goes back to an older configuration"
)]
#[case::old_revision_ignored(ListGuard::OldRevisionIgnored, 4, USED_AGAIN)]
#[case::old_era_ignored(ListGuard::OldEraIgnored, 6, USED_AGAIN)]
#[case::new_era_applied(ListGuard::NewEraApplied, 2, BEHIND)]
#[case::watch_of_era(ListGuard::WatchOfEra, 3, BEHIND)]
#[case::return_held(ListGuard::ReturnHeld, 4, USED_AGAIN)]
#[case::entry_kept(
    ListGuard::EntryKept,
    2,
    "a host gives up its terms though nobody removed its entry"
)]
fn search_of_lists_finds_fault_without_guard(
    #[case] guard: ListGuard,
    #[case] length: usize,
    #[case] property: &str,
) {
    let model = ListModel {
        without: Some(guard),
        ..ONE_HOST
    };
    let (schedule, broken) = search(&model, STATES_MAX).violation.unwrap();
    assert_eq!((schedule.len(), broken), (length, property), "{schedule:?}");
}

/// Guards that the others make needless for these properties, as far as was searched.
const UNNEEDED: [TermGuard; 2] = [TermGuard::OrderOfEra, TermGuard::HoldersUnited];

/// Schedules that are broken without a guard and not with all of them.
const SCHEDULES: [(TermGuard, TermModel, &str, &[TermStep]); 22] = [
    (
        TermGuard::ConditionalWrite,
        DRILL_WITH_ALL,
        REPLACED,
        &[Reserve(0), Promote(0), Join(1)],
    ),
    (
        TermGuard::LeaseFromRequest,
        LATE_ANSWER,
        REPLACED,
        &[
            AskLate(0),
            Reserve(1),
            Tick,
            Tick,
            Tick,
            Ask(1),
            Promote(1),
            Deliver(0),
        ],
    ),
    (
        TermGuard::LeaseWait,
        DRILL_IN_CHANGE,
        REPLACED,
        &[Reserve(1), Promote(1)],
    ),
    (
        TermGuard::ReleaseKept,
        DRILL_IN_CHANGE,
        REPLACED,
        &[Reserve(1), Release(1, 0), Promote(1)],
    ),
    (
        TermGuard::ChangeTimeout,
        TWO_CHANGES,
        LOWER_FENCE,
        &[
            Reserve(1),
            Ask(0),
            Tick,
            Tick,
            Tick,
            Tick,
            Ask(1),
            Reserve(0),
            Promote(0),
            Promote(1),
        ],
    ),
    (
        TermGuard::RankKept,
        DRILL_IN_CHANGE,
        ENDED,
        &[Reserve(0), Promote(0), Publish(0), Drill, Ask(0)],
    ),
    (
        TermGuard::OldAnswerIgnored,
        DRILL_WITH_ALL,
        TWO_FENCES,
        &[
            Join(1),
            AskLate(1),
            Drill,
            Ask(0),
            Tell(0, 1),
            Deliver(0),
            Tick,
            Tick,
            Tick,
            Reserve(0),
            Reserve(1),
            Release(1, 0),
            Promote(1),
            Promote(0),
        ],
    ),
    (
        TermGuard::ConditionOfEra,
        DRILL_JOIN_AND_CHANGES,
        TWO_FENCES,
        &[
            Join(1),
            Drill,
            Ask(0),
            Tell(0, 1),
            Tick,
            Tick,
            Tick,
            Reserve(0),
            Promote(0),
            Reserve(1),
            Release(1, 0),
            Promote(1),
        ],
    ),
    (
        TermGuard::AnswerOfEra,
        DRILL_AFTER_JOIN,
        REPLACED,
        &[Join(1), Drill, Reserve(0), Promote(0)],
    ),
    (
        TermGuard::ConfirmedLease,
        DRILL_IN_CHANGE,
        REPLACED,
        &[
            Reserve(1),
            Tick,
            Tick,
            Tick,
            Ask(1),
            Drill,
            Ask(0),
            Promote(1),
        ],
    ),
    (
        TermGuard::QuietTime,
        DRILL_IN_CHANGE,
        REPLACED,
        &[
            Reserve(1),
            Tick,
            Tick,
            Ask(1),
            Drill,
            Ask(0),
            Rewrite(0),
            Tick,
            Promote(1),
        ],
    ),
    (
        TermGuard::HoldersKept,
        DRILL_AFTER_JOIN,
        REPLACED,
        &[
            Drill,
            Ask(0),
            Tell(0, 1),
            Tick,
            Tick,
            Rewrite(0),
            Ask(1),
            Join(1),
            Tick,
            Reserve(1),
            Promote(1),
        ],
    ),
    (
        TermGuard::SettledChange,
        DRILL_AFTER_JOIN,
        REPLACED,
        &[Join(1), Drill, Ask(0), Reserve(0), Promote(0)],
    ),
    (
        TermGuard::LedTerm,
        DRILL_BETWEEN_CHANGES,
        REPLACED,
        &[
            Reserve(1),
            StepDown(1),
            Promote(1),
            Publish(1),
            Drill,
            Ask(0),
            Tick,
            Tick,
            Rewrite(0),
            Reserve(0),
            StepDown(0),
            Promote(0),
        ],
    ),
    (
        TermGuard::SettledFind,
        THREE_CHANGES,
        REPLACED,
        &[
            Reserve(1),
            StepDown(1),
            Promote(1),
            Publish(1),
            Drill,
            Ask(0),
            Tick,
            Tick,
            Rewrite(0),
            Reserve(0),
            Find(0),
            Publish(0),
            Reserve(0),
            Promote(0),
        ],
    ),
    (
        TermGuard::SettledAsKnown,
        DRILL_AND_END,
        REPLACED,
        &[
            Join(1),
            Drill,
            Ask(0),
            Tick,
            Tick,
            Rewrite(0),
            Ask(2),
            Reserve(0),
            End(0),
            Ask(2),
            Reserve(2),
            Release(2, 0),
            Promote(2),
        ],
    ),
    (
        TermGuard::EraInName,
        THREE_HOSTS,
        TWO_FENCES,
        &[
            Join(1),
            Ask(2),
            JoinLate(2),
            Drill,
            Ask(0),
            Tell(0, 1),
            Tick,
            Tick,
            Tick,
            Reserve(0),
            Deliver(0),
            Ask(1),
            Reserve(1),
            Release(1, 0),
            Release(1, 2),
            Promote(1),
            Promote(0),
        ],
    ),
    (
        TermGuard::EraInFence,
        DRILL_BETWEEN_CHANGES,
        TWO_FENCES,
        &[
            Reserve(0),
            Drill,
            Promote(0),
            Ask(1),
            Tick,
            Tick,
            Tick,
            Reserve(1),
            Release(1, 0),
            Promote(1),
        ],
    ),
    (
        TermGuard::FenceOfStored,
        THREE_CHANGES,
        TWO_FENCES,
        &[
            Reserve(0),
            Promote(0),
            Publish(0),
            Drill,
            Ask(0),
            Ask(1),
            Tick,
            Tick,
            Tick,
            Reserve(1),
            Release(1, 0),
            Promote(1),
            Ask(0),
            Tick,
            Tick,
            Tick,
            Tick,
            Reserve(0),
            Promote(0),
        ],
    ),
    (
        TermGuard::ReservationKept,
        THREE_CHANGES,
        LOWER_FENCE,
        &[
            Reserve(0),
            Promote(0),
            Publish(0),
            Drill,
            Ask(0),
            Ask(1),
            Tick,
            Tick,
            Tick,
            Reserve(1),
            Ask(0),
            Reserve(0),
            Promote(0),
            Release(1, 0),
            Promote(1),
        ],
    ),
    (
        TermGuard::OrderConfirmed,
        DRILL_IN_CHANGE,
        REPLACED,
        &[
            Reserve(1),
            Drill,
            Ask(0),
            Tick,
            Tick,
            Rewrite(0),
            Tick,
            Promote(1),
        ],
    ),
    (
        TermGuard::RewriteWithLease,
        DRILL_IN_CHANGE,
        REPLACED,
        &[
            Reserve(1),
            Tick,
            Tick,
            Ask(1),
            Drill,
            Ask(0),
            Tick,
            Promote(1),
            Tick,
            Rewrite(0),
        ],
    ),
];

#[test]
fn each_schedule_breaks_a_property_without_its_guard() {
    for (guard, scope, property, schedule) in SCHEDULES {
        let with_all = run_schedule(&scope, schedule);
        let holds = with_all.is_none_or(|(broken, _)| broken.is_none());
        assert!(holds, "{guard:?}: {with_all:?}");
        let model = TermModel {
            without: Some(guard),
            ..scope
        };
        let broken = run_schedule(&model, schedule);
        assert_eq!(broken, Some((Some(property), schedule.len())), "{guard:?}");
    }
}

/// Larger scopes than CI has time for, and the guards whose faults lie deep.
#[test]
#[ignore = "takes minutes"]
fn longer_search() {
    let number = |name: &str, default| std::env::var(name).map_or(default, |v| v.parse().unwrap());
    let states_max = number("DRILL_STATES", 1_000_000);
    let seed = u64::try_from(number("DRILL_SEED", 1)).unwrap();
    let scopes = [
        LATE_ANSWER,
        DRILL_AFTER_JOIN,
        DRILL_BETWEEN_CHANGES,
        DRILL_JOIN_AND_CHANGES,
        THREE_CHANGES,
        DRILL_WITH_ALL,
        scope(2, 2, 1, 0, 0),
        scope(2, 2, 2, 1, 1),
        scope(3, 1, 1, 1, 0),
        DRILL_AND_END,
    ];
    for model in scopes {
        let outcome = search(&model, states_max);
        let (states, depth) = (outcome.states, outcome.depth);
        println!(
            "{model:?}: {states} states, depth {depth}, complete: {}",
            outcome.is_complete
        );
        assert_eq!(outcome.violation, None);
        let options = WalkOptions {
            seed,
            walks: states_max / WALK_STEPS,
            steps: WALK_STEPS,
        };
        let model = TermModel { copies: 2, ..model };
        let outcome = walk(&model, options);
        println!(
            "{model:?}: {} random steps, reached {:b}",
            outcome.states, outcome.reached
        );
        assert_eq!(outcome.violation, None);
    }
    let lists = ListModel {
        hosts: 2,
        drills: 2,
        ..ONE_HOST
    };
    let outcome = search(&lists, states_max);
    let (states, depth) = (outcome.states, outcome.depth);
    println!(
        "{lists:?}: {states} states, depth {depth}, complete: {}",
        outcome.is_complete
    );
    assert_eq!(outcome.violation, None);
    for guard in UNNEEDED {
        let model = TermModel {
            without: Some(guard),
            ..DRILL_BETWEEN_CHANGES
        };
        let outcome = search(&model, states_max);
        let found = outcome.violation;
        println!("without {guard:?}: {} states, {found:?}", outcome.states);
    }
    for (guard, scope, _, given) in SCHEDULES {
        let model = TermModel {
            without: Some(guard),
            ..scope
        };
        let outcome = search(&model, states_max);
        let found = outcome.violation;
        println!(
            "without {guard:?}: {} states, {found:?}, given {}",
            outcome.states,
            given.len()
        );
    }
}
