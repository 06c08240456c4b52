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
/// Time between the mark of an entry and its removal. It is shorter than the
/// proxy's two minutes, so that schedules come close to what must not happen.
const REMOVAL_TIME: Duration = LEASE_TIME;
/// Steps of one schedule.
const STEPS: usize = 60;
/// Longest time between two steps, in milliseconds.
const STEP_MS_MAX: u64 = 4000;
/// A wait in which leases run out and marked entries may be removed.
const LONG_WAIT_MS: u64 = 12_500;

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
    /// A host joins the holders; runs that are not listed are dropped.
    Join(usize),
    /// A host's entry is marked by others, which do not reach it.
    Mark(usize),
    /// A host's entry is removed, if it has been marked for long enough.
    Remove(usize),
    /// A host lists itself again.
    Announce(usize),
    /// A host's control thread looks what has lapsed.
    Expire(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        6 => host.clone().prop_map(Step::Ask),
        6 => host.clone().prop_map(Step::Deliver),
        5 => (1..STEP_MS_MAX).prop_map(Step::Wait),
        1 => Just(Step::Wait(LONG_WAIT_MS)),
        3 => Just(Step::Reserve),
        6 => (host.clone(), prop::bool::weighted(0.7)).prop_map(|(who, told)| Step::Release(who, told)),
        5 => Just(Step::Promote),
        5 => host.clone().prop_map(Step::Join),
        2 => host.clone().prop_map(Step::Mark),
        6 => host.clone().prop_map(Step::Remove),
        2 => host.clone().prop_map(Step::Expire),
        1 => host.prop_map(Step::Announce),
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
    /// Entries are removed as soon as they are marked.
    RemovesAtOnce,
    /// Hosts do not hear how they are listed.
    HearsNoMarks,
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
type LateAnswer = (BootTime, Vec<HostEntry>, TermRecord, ObjectVersion);

struct World {
    guard: Guard,
    now: BootTime,
    record: TermRecord,
    version: ObjectVersion,
    hosts: Vec<ControlState>,
    answers: Vec<VecDeque<LateAnswer>>,
    /// Entries of hosts, and since when they are marked.
    listed: BTreeMap<usize, Option<BootTime>>,
    waiting: BTreeSet<RunName>,
    lapsed_at: BootTime,
    promotions: usize,
    started_at: (BootTime, Instant),
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
            listed: (0..HOSTS).map(|index| (index, None)).collect(),
            waiting: BTreeSet::new(),
            lapsed_at: now,
            promotions: 0,
            started_at: (now, Instant::now()),
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Ask(host) => {
                let answer = (self.now, self.list(), self.record.clone(), self.version);
                self.answers[host].push_back(answer);
            }
            Step::Mark(host) => {
                if let Some(marked) = self.listed.get_mut(&host) {
                    marked.get_or_insert(self.now);
                }
            }
            Step::Remove(host) => self.remove(host),
            Step::Announce(host) => {
                self.listed.insert(host, None);
            }
            Step::Expire(host) => {
                let now = self.instant();
                self.hosts[host].expire(now);
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

    /// The present moment by the clock of control threads.
    fn instant(&self) -> Instant {
        self.started_at.1 + self.now.since(self.started_at.0)
    }

    /// The hosts as the store lists them.
    fn list(&self) -> Vec<HostEntry> {
        let mut list = Vec::new();
        for (index, marked) in &self.listed {
            let mut entry = host(*index);
            entry.leaving = marked.is_some();
            list.push(entry);
        }
        list
    }

    fn remove(&mut self, host: usize) {
        let Some(Some(marked_at)) = self.listed.get(&host) else {
            return;
        };
        if self.now.since(*marked_at) >= REMOVAL_TIME || self.guard == Guard::RemovesAtOnce {
            self.listed.remove(&host);
        }
    }

    fn join(&mut self, host: usize) {
        let listed: Vec<RunName> = self.listed.keys().map(|index| run_of(*index)).collect();
        let run = run_of(host);
        if self.record.holders.contains(&run) || self.listed.get(&host) != Some(&None) {
            return;
        }
        self.record.holders.retain(|run| listed.contains(run));
        self.record.holders.push(run);
        self.version += 1;
    }

    fn deliver(&mut self, host: usize) {
        let Some((asked_at, list, record, version)) = self.answers[host].pop_front() else {
            return;
        };
        let as_of = if self.guard == Guard::FromAnswer {
            self.now
        } else {
            asked_at
        };
        let now = self.instant();
        if self.guard != Guard::HearsNoMarks {
            self.hosts[host].handle(now, ControlEvent::Hosts(list));
        }
        let records = vec![(record, version)];
        self.hosts[host].handle(now, ControlEvent::Terms { as_of, records });
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
        // Whoever changes a primary names holders that take new work.
        let fresh = (0..HOSTS).map(|step| (self.promotions + step) % HOSTS);
        let mut fresh = fresh.filter(|host| self.listed.get(host) == Some(&None));
        self.record.holders = fresh.next().map(run_of).into_iter().collect();
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
                if held.may_use_primary(term, self.now) {
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

/// What follows once an entry is removed: its run is dropped from the holders, and
/// a change does not wait for it.
const CHANGE_WITHOUT_IT: [Step; 6] = [
    Step::Remove(0),
    Step::Join(2),
    Step::Reserve,
    Step::Release(1, true),
    Step::Release(2, true),
    Step::Promote,
];

/// A host that has just heard of the store is marked and removed.
const REMOVED_WITH_A_LEASE: [Step; 3] = [Step::Ask(0), Step::Deliver(0), Step::Mark(0)];
/// A host stands still after it was marked, and wakes just before its removal.
const WOKEN_BEFORE_ITS_REMOVAL: [Step; 4] = [
    Step::Mark(0),
    Step::Wait(LONG_WAIT_MS),
    Step::Ask(0),
    Step::Deliver(0),
];

/// Random schedules seldom bring these steps in this order.
#[rstest::rstest]
#[case::removed_with_a_lease(&REMOVED_WITH_A_LEASE, Guard::RemovesAtOnce)]
#[case::woken_before_its_removal(&WOKEN_BEFORE_ITS_REMOVAL, Guard::HearsNoMarks)]
fn host_that_is_not_listed_holds_nothing(#[case] before: &[Step], #[case] missing: Guard) {
    let steps: Vec<Step> = before.iter().chain(&CHANGE_WITHOUT_IT).copied().collect();
    assert_eq!(play(Guard::Whole, &steps).0, None);
    assert!(play(missing, &steps).0.is_some());
}
