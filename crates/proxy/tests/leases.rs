//! Property tests of leases: random schedules of requests to the store, late
//! answers, pauses, releases and changes of primary. Hosts are real
//! [`ControlState`]s; a change follows the steps of `change.rs`. Once a primary is
//! promoted no host may use the previous one, whatever arrives late. The same
//! schedules must find a violation when a fault is injected.
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
/// Time between the mark of an entry and its removal. It is shorter than the two
/// minutes of the proxy, so that schedules come close to a violation.
const REMOVAL_TIME: Duration = LEASE_TIME;
/// Steps in one schedule.
const STEPS_PER_SCHEDULE: usize = 60;
/// Longest time between two steps, in milliseconds.
const STEP_MS_MAX: u64 = 4000;
/// A wait in which leases expire and after which marked entries may be removed.
const LONG_WAIT_MS: u64 = 12_500;

/// One step of a schedule; the numbers are indexes of hosts.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A host asks the store; the answer arrives at a later `Deliver`.
    Ask(usize),
    /// A host receives its oldest pending answer.
    Deliver(usize),
    /// Time passes; hosts that receive nothing are paused meanwhile.
    Wait(u64),
    /// A host reserves a change of primary.
    Reserve,
    /// A host is asked to release the term; its reply may be lost.
    Release(usize, bool),
    /// The host that reserved the change promotes the next primary, if it may.
    Promote,
    /// A host joins the holders and drops runs that are not listed.
    Join(usize),
    /// A host's entry is marked by others that do not reach it.
    Mark(usize),
    /// A host's entry is removed, if it has been marked for long enough.
    Remove(usize),
    /// A host registers itself in the store again.
    Register(usize),
    /// A host's control thread drops what has expired.
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
        6 => (host.clone(), prop::bool::weighted(0.7)).prop_map(|(who, is_delivered)| Step::Release(who, is_delivered)),
        5 => Just(Step::Promote),
        5 => host.clone().prop_map(Step::Join),
        2 => host.clone().prop_map(Step::Mark),
        6 => host.clone().prop_map(Step::Remove),
        2 => host.clone().prop_map(Step::Expire),
        1 => host.prop_map(Step::Register),
    ]
}

/// Part of the protocol that a schedule leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedFault {
    /// No part is left out.
    Nothing,
    /// Promotion does not wait for leases to expire.
    SkipsLeaseWait,
    /// Leases count from the answer and not from the request.
    LeaseFromAnswer,
    /// A host confirms the release of a term without recording it.
    ForgetsRelease,
    /// Entries are removed as soon as they are marked.
    RemovesAtOnce,
    /// Hosts do not learn how they are listed.
    IgnoresHostList,
    /// An entry is removed by the age of an earlier mark, which its host took back.
    CountsEarlierMark,
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
        tier: 0,
        mark: 0,
    }
}

/// An answer of the store that is not delivered yet: moment of the request,
/// revision, hosts, record and its version.
type PendingAnswer = (BootTime, u64, Vec<HostEntry>, TermRecord, ObjectVersion);

struct ClusterModel {
    fault: InjectedFault,
    now: BootTime,
    record: TermRecord,
    version: ObjectVersion,
    hosts: Vec<ControlState>,
    answers: Vec<VecDeque<PendingAnswer>>,
    /// Listed hosts, each with the moment of its mark, if any.
    listed: BTreeMap<usize, Option<BootTime>>,
    /// Moment of the first mark of each host.
    first_marks: BTreeMap<usize, BootTime>,
    /// Holders that have not confirmed the release of the term that ends.
    awaited_holders: BTreeSet<RunName>,
    /// When every lease on that term has expired.
    leases_expire_at: BootTime,
    promotions: usize,
    /// Revision of the store at the last answer.
    revision: u64,
    started_at: (BootTime, Instant),
}

impl ClusterModel {
    fn new(fault: InjectedFault) -> Self {
        let regions = BTreeMap::from([("north-1".into(), "north".into())]);
        let hosts = (0..HOSTS).map(|index| ControlState::new(host(index), regions.clone()));
        let now = BootTime::now().after(Duration::from_hours(1));
        Self {
            fault,
            now,
            record: TermRecord {
                database: DATABASE.into(),
                term: 1,
                primary: "i-1".into(),
                fence: 0,
                holders: vec![run_of(0), run_of(1)],
                changed_by: None,
                copies: Vec::new(),
                era: 0,
                is_settled: false,
            },
            version: 1.into(),
            hosts: hosts.collect(),
            answers: vec![VecDeque::new(); HOSTS],
            listed: (0..HOSTS).map(|index| (index, None)).collect(),
            first_marks: BTreeMap::new(),
            awaited_holders: BTreeSet::new(),
            leases_expire_at: now,
            promotions: 0,
            revision: 0,
            started_at: (now, Instant::now()),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Ask(host) => {
                self.revision += 1;
                let (list, record) = (self.list(), self.record.clone());
                let answer = (self.now, self.revision, list, record, self.version);
                self.answers[host].push_back(answer);
            }
            Step::Mark(host) => {
                if let Some(marked) = self.listed.get_mut(&host) {
                    marked.get_or_insert(self.now);
                    self.first_marks.entry(host).or_insert(self.now);
                }
            }
            Step::Remove(host) => self.remove(host),
            Step::Register(host) => {
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
                self.version.revision += 1;
                self.awaited_holders = self.record.holders.iter().cloned().collect();
                self.leases_expire_at = self.now.after(LEASE_TIME);
            }
            Step::Release(host, is_delivered) if self.record.changed_by.is_some() => {
                self.release(host, is_delivered);
            }
            Step::Promote if self.record.changed_by.is_some() => self.promote(),
            Step::Join(host) if self.record.changed_by.is_none() => self.join(host),
            _ => {}
        }
    }

    /// The current moment by the clock of control threads.
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
        let mut marked_at = *marked_at;
        if self.fault == InjectedFault::CountsEarlierMark {
            marked_at = self.first_marks[&host];
        }
        if self.now.since(marked_at) >= REMOVAL_TIME || self.fault == InjectedFault::RemovesAtOnce {
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
        self.version.revision += 1;
    }

    fn deliver(&mut self, host: usize) {
        let Some((asked_at, revision, list, record, version)) = self.answers[host].pop_front()
        else {
            return;
        };
        let as_of = if self.fault == InjectedFault::LeaseFromAnswer {
            self.now
        } else {
            asked_at
        };
        let (now, revision) = (self.instant(), revision.into());
        if self.fault != InjectedFault::IgnoresHostList {
            self.hosts[host].handle(now, ControlEvent::Hosts { revision, list });
        }
        let records = vec![(record, version)];
        self.hosts[host].handle(
            now,
            ControlEvent::Terms {
                as_of,
                revision,
                records,
            },
        );
    }

    fn release(&mut self, host: usize, is_delivered: bool) {
        let run = run_of(host);
        if self.fault != InjectedFault::ForgetsRelease {
            self.hosts[host].release(&DATABASE.into(), self.record.term, &run);
        }
        if is_delivered {
            self.awaited_holders.remove(&run);
        }
    }

    fn promote(&mut self) {
        let may_promote = self.awaited_holders.is_empty() || self.now >= self.leases_expire_at;
        if !may_promote && self.fault != InjectedFault::SkipsLeaseWait {
            return;
        }
        self.promotions += 1;
        self.record.term += 1;
        self.record.primary = format!("i-{}", self.record.term).into();
        self.record.changed_by = None;
        // The holders of a new term are hosts that take new work.
        let candidates = (0..HOSTS).map(|step| (self.promotions + step) % HOSTS);
        let mut candidates = candidates.filter(|host| self.listed.get(host) == Some(&None));
        self.record.holders = candidates.next().map(run_of).into_iter().collect();
        self.version.revision += 1;
    }

    /// Describes a host that may use a replaced primary, if there is one.
    fn find_violation(&self) -> Option<String> {
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

/// Runs a schedule. Returns the first violation, and the number of promotions.
fn run_schedule(fault: InjectedFault, steps: &[Step]) -> (Option<String>, usize) {
    let mut model = ClusterModel::new(fault);
    for step in steps {
        model.apply(*step);
        if let Some(violation) = model.find_violation() {
            return (Some(violation), model.promotions);
        }
    }
    (None, model.promotions)
}

fn runner() -> TestRunner {
    let mut config = Config::default();
    config.cases = config.cases.max(2000);
    config.rng_seed = RngSeed::Fixed(20_261_204);
    config.failure_persistence = None;
    TestRunner::new(config)
}

#[test]
fn no_host_uses_replaced_primary() {
    let promotions = std::cell::Cell::new(0);
    let schedules = prop::collection::vec(step(), STEPS_PER_SCHEDULE);
    runner()
        .run(&schedules, |steps| {
            let (violation, count) = run_schedule(InjectedFault::Nothing, &steps);
            promotions.set(promotions.get() + count);
            prop_assert_eq!(violation, None);
            Ok(())
        })
        .unwrap();
    // Schedules without promotions cannot violate anything.
    assert!(promotions.get() > 1000, "{} promotions", promotions.get());
}

#[rstest::rstest]
#[case::promotion_skips_lease_wait(InjectedFault::SkipsLeaseWait)]
#[case::lease_counts_from_answer(InjectedFault::LeaseFromAnswer)]
#[case::release_is_forgotten(InjectedFault::ForgetsRelease)]
fn schedules_find_injected_fault(#[case] fault: InjectedFault) {
    let schedules = prop::collection::vec(step(), STEPS_PER_SCHEDULE);
    let found = runner().run(&schedules, |steps| {
        prop_assert_eq!(run_schedule(fault, &steps).0, None);
        Ok(())
    });
    assert!(found.is_err());
}

/// Steps after which a removed host's run is dropped from the holders, and a change
/// of primary does not wait for it.
const REMOVE_AND_PROMOTE: [Step; 6] = [
    Step::Remove(0),
    Step::Join(2),
    Step::Reserve,
    Step::Release(1, true),
    Step::Release(2, true),
    Step::Promote,
];

/// A host that has just extended its lease is marked and removed.
const REMOVED_WITH_LEASE: [Step; 3] = [Step::Ask(0), Step::Deliver(0), Step::Mark(0)];
/// A host is paused after it was marked, and resumes just before its removal.
const RESUMED_BEFORE_REMOVAL: [Step; 4] = [
    Step::Mark(0),
    Step::Wait(LONG_WAIT_MS),
    Step::Ask(0),
    Step::Deliver(0),
];

/// A host took its mark back, extended its lease, and is marked again.
const MARKED_AGAIN: [Step; 6] = [
    Step::Mark(0),
    Step::Wait(LONG_WAIT_MS),
    Step::Register(0),
    Step::Ask(0),
    Step::Deliver(0),
    Step::Mark(0),
];

/// Random schedules rarely contain these steps in this order.
#[rstest::rstest]
#[case::removed_with_lease(&REMOVED_WITH_LEASE, InjectedFault::RemovesAtOnce)]
#[case::resumed_before_removal(&RESUMED_BEFORE_REMOVAL, InjectedFault::IgnoresHostList)]
#[case::marked_again(&MARKED_AGAIN, InjectedFault::CountsEarlierMark)]
fn unlisted_host_may_not_use_primary(#[case] before: &[Step], #[case] fault: InjectedFault) {
    let steps: Vec<Step> = before.iter().chain(&REMOVE_AND_PROMOTE).copied().collect();
    assert_eq!(run_schedule(InjectedFault::Nothing, &steps).0, None);
    assert!(run_schedule(fault, &steps).0.is_some());
}
