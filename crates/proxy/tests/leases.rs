//! Random schedules of questions to the store, late answers, pauses, releases and
//! changes of primary. Hosts are the real [`ControlState`]; the change follows the
//! steps of `change.rs`. Once a primary is promoted nobody may use the one before
//! it, whatever came late. The same schedules find the fault when a guard is taken
//! out.
//!
//! More cases: `PROPTEST_CASES=20000 cargo test -p fulmarrill-proxy --test leases`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use fulmarrill_proxy::catalogue::{HostEntry, ObjectVersion, RunName, TermRecord};
use fulmarrill_proxy::clock::BootTime;
use fulmarrill_proxy::control::{ControlEvent, ControlState, LEASE_TIME};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const DATABASE: &str = "orders";
const HOSTS: usize = 3;
/// Steps of one schedule.
const STEPS: usize = 60;
/// Longest time between two steps, in milliseconds.
const STEP_MS_MAX: u64 = 4000;

/// One step of a schedule; numbers pick hosts.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A host asks the store; the answer arrives when it is delivered.
    Ask(usize),
    /// A host takes the oldest answer that is on its way to it.
    Deliver(usize),
    /// Time passes; hosts to which nothing is delivered stand still meanwhile.
    Wait(u64),
    /// Somebody reserves the next term.
    Reserve,
    /// A host is asked to give the term up; its word may be lost.
    Release(usize, bool),
    /// Whoever reserved the term has the next primary promoted, if it may.
    Promote,
    /// A host joins the holders.
    Join(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        6 => host.clone().prop_map(Step::Ask),
        6 => host.clone().prop_map(Step::Deliver),
        5 => (1..STEP_MS_MAX).prop_map(Step::Wait),
        2 => Just(Step::Reserve),
        4 => (host.clone(), prop::bool::weighted(0.7)).prop_map(|(who, told)| Step::Release(who, told)),
        3 => Just(Step::Promote),
        3 => host.prop_map(Step::Join),
    ]
}

/// What is left out of the argument.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Guard {
    /// Nothing.
    Whole,
    /// Leases are not waited for.
    NoWait,
    /// Leases count from the answer, not from the question.
    FromAnswer,
    /// A host that gave a term up takes it again from a late answer.
    ForgetsRelease,
}

fn run_of(host: usize) -> RunName {
    format!("h{host}~1").into()
}

fn host(index: usize) -> HostEntry {
    HostEntry {
        name: format!("h{index}").into(),
        run: run_of(index),
        address: "127.0.0.1:1".into(),
        data_centre: "north-1".into(),
        region: "north".into(),
        leaving: false,
    }
}

/// An answer of the store on its way.
type LateAnswer = (BootTime, TermRecord, ObjectVersion);

struct World {
    guard: Guard,
    now: BootTime,
    record: TermRecord,
    version: ObjectVersion,
    hosts: Vec<ControlState>,
    answers: Vec<VecDeque<LateAnswer>>,
    waiting: BTreeSet<RunName>,
    lapsed_at: BootTime,
    promotions: usize,
}

impl World {
    fn new(guard: Guard) -> Self {
        let regions = BTreeMap::from([("north-1".into(), "north".into())]);
        let hosts = (0..HOSTS).map(|index| ControlState::new(host(index), regions.clone()));
        let now = BootTime::now().after(Duration::from_hours(1));
        Self {
            guard,
            now,
            record: TermRecord {
                database: DATABASE.into(),
                term: 1,
                primary: "i-1".into(),
                fence: 0,
                holders: vec![run_of(0), run_of(1)],
                changed_by: None,
            },
            version: 1,
            hosts: hosts.collect(),
            answers: vec![VecDeque::new(); HOSTS],
            waiting: BTreeSet::new(),
            lapsed_at: now,
            promotions: 0,
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Ask(host) => {
                let answer = (self.now, self.record.clone(), self.version);
                self.answers[host].push_back(answer);
            }
            Step::Deliver(host) => self.deliver(host),
            Step::Wait(ms) => self.now = self.now.after(Duration::from_millis(ms)),
            Step::Reserve if self.record.changed_by.is_none() => {
                self.record.fence += 1;
                self.record.changed_by = Some("changer~1".into());
                self.version += 1;
                self.waiting = self.record.holders.iter().cloned().collect();
                self.lapsed_at = self.now.after(LEASE_TIME);
            }
            Step::Release(host, told) if self.record.changed_by.is_some() => {
                self.release(host, told);
            }
            Step::Promote if self.record.changed_by.is_some() => self.promote(),
            Step::Join(host) if self.record.changed_by.is_none() => self.join(host),
            _ => {}
        }
    }

    fn join(&mut self, host: usize) {
        let run = run_of(host);
        if self.record.holders.contains(&run) {
            return;
        }
        self.record.holders.push(run);
        self.version += 1;
    }

    fn deliver(&mut self, host: usize) {
        let Some((asked_at, record, version)) = self.answers[host].pop_front() else {
            return;
        };
        let as_of = if self.guard == Guard::FromAnswer {
            self.now
        } else {
            asked_at
        };
        let records = vec![(record, version)];
        self.hosts[host].handle(Instant::now(), ControlEvent::Terms { as_of, records });
    }

    fn release(&mut self, host: usize, told: bool) {
        let run = run_of(host);
        if self.guard != Guard::ForgetsRelease {
            self.hosts[host].release(&DATABASE.into(), self.record.term, &run);
        }
        if told {
            self.waiting.remove(&run);
        }
    }

    fn promote(&mut self) {
        let may = self.waiting.is_empty() || self.now >= self.lapsed_at;
        if !may && self.guard != Guard::NoWait {
            return;
        }
        self.promotions += 1;
        self.record.term += 1;
        self.record.primary = format!("i-{}", self.record.term).into();
        self.record.changed_by = None;
        self.record.holders = vec![run_of(self.promotions % HOSTS)];
        self.version += 1;
    }

    /// A host that may use a primary which has been replaced.
    fn offender(&self) -> Option<String> {
        for (index, host) in self.hosts.iter().enumerate() {
            let view = host.view();
            let Some(held) = view.terms.get(DATABASE) else {
                continue;
            };
            for term in 1..self.record.term {
                if held.may_use(term, self.now) {
                    return Some(format!("h{index} uses term {term} of {}", self.record.term));
                }
            }
        }
        None
    }
}

/// Plays a schedule; says what went wrong, and how many promotions there were.
fn play(guard: Guard, steps: &[Step]) -> (Option<String>, usize) {
    let mut world = World::new(guard);
    for step in steps {
        world.play(*step);
        if let Some(offence) = world.offender() {
            return (Some(offence), world.promotions);
        }
    }
    (None, world.promotions)
}

fn runner() -> TestRunner {
    let mut config = Config::default();
    config.cases = config.cases.max(2000);
    config.rng_seed = RngSeed::Fixed(20_261_204);
    config.failure_persistence = None;
    TestRunner::new(config)
}

#[test]
fn nobody_uses_a_primary_that_has_been_replaced() {
    let promotions = std::cell::Cell::new(0);
    let schedules = prop::collection::vec(step(), STEPS);
    runner()
        .run(&schedules, |steps| {
            let (offence, count) = play(Guard::Whole, &steps);
            promotions.set(promotions.get() + count);
            prop_assert_eq!(offence, None);
            Ok(())
        })
        .unwrap();
    // Schedules in which nothing is promoted prove nothing.
    assert!(promotions.get() > 1000, "{} promotions", promotions.get());
}

#[rstest::rstest]
#[case::leases_are_not_waited_for(Guard::NoWait)]
#[case::leases_count_from_the_answer(Guard::FromAnswer)]
#[case::a_release_is_forgotten(Guard::ForgetsRelease)]
fn fault_shows_without_a_guard(#[case] guard: Guard) {
    let schedules = prop::collection::vec(step(), STEPS);
    let found = runner().run(&schedules, |steps| {
        prop_assert_eq!(play(guard, &steps).0, None);
        Ok(())
    });
    assert!(found.is_err());
}
