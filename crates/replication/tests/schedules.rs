//! Random schedules of writes, failures, fences and promotions, run with the real
//! decision logic and with a naive baseline, which acknowledges at once and
//! promotes an instance regardless of its log. After every promotion, the new
//! primary must hold all acknowledged writes.
//!
//! To run more cases: `PROPTEST_CASES=20000 cargo test -p fulmarrill-replication`.

use fulmarrill_position::{InstanceRole, InstanceStatus, LogPoint};
use fulmarrill_replication::{
    ConfirmTracker, DatabaseGroup, GroupInstance, PromotionAction, PromotionEvent, PromotionPlan,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const NAMES: [&str; 3] = ["a", "b", "c"];
/// Number of coordinators that can run plans concurrently.
const COORDINATORS: usize = 2;

/// A step of a schedule; numbers select instances, coordinators and messages.
#[derive(Debug, Clone, Copy)]
enum ScheduleStep {
    Write(usize),
    Pull(usize, usize),
    Follow(usize),
    Report(usize),
    Deliver(usize),
    Begin(usize),
    Advance(usize, usize, bool),
    Abandon(usize),
    LearnGroup,
}

fn step() -> impl Strategy<Value = ScheduleStep> {
    let index = 0..NAMES.len();
    let coordinator = 0..COORDINATORS;
    prop_oneof![
        4 => index.clone().prop_map(ScheduleStep::Write),
        6 => (index.clone(), index.clone()).prop_map(|(to, from)| ScheduleStep::Pull(to, from)),
        3 => index.clone().prop_map(ScheduleStep::Follow),
        8 => index.prop_map(ScheduleStep::Report),
        8 => (0..8_usize).prop_map(ScheduleStep::Deliver),
        1 => coordinator.clone().prop_map(ScheduleStep::Begin),
        10 => (coordinator.clone(), 0..4_usize, prop::bool::weighted(0.85))
            .prop_map(|(who, which, succeeds)| ScheduleStep::Advance(who, which, succeeds)),
        1 => coordinator.prop_map(ScheduleStep::Abandon),
        3 => Just(ScheduleStep::LearnGroup),
    ]
}

/// A log entry: its term and the number of its write.
type LogEntry = (u64, u64);

#[derive(Debug, Clone, Default)]
struct ModelInstance {
    fence: u64,
    /// Term in which the instance is the primary.
    primary_term: Option<u64>,
    log: Vec<LogEntry>,
}

impl ModelInstance {
    fn received(&self) -> LogPoint {
        let term = self.log.last().map_or(0, |entry| entry.0);
        LogPoint::new(term, self.log.len() as u64)
    }

    fn status(&self) -> InstanceStatus {
        let role = match self.primary_term {
            Some(_) => InstanceRole::Primary,
            None => InstanceRole::Replica,
        };
        InstanceStatus {
            role,
            fence_term: self.fence,
            received: self.received(),
            applied: self.received(),
            streaming: false,
            matched: true,
        }
    }
}

/// A plan in progress, with its pending actions.
#[derive(Debug, Clone)]
struct RunningPlan {
    plan: PromotionPlan,
    version: u64,
    pending_actions: Vec<PromotionAction>,
}

struct GroupModel {
    naive: bool,
    instances: Vec<ModelInstance>,
    stored: DatabaseGroup,
    version: u64,
    tracker: ConfirmTracker,
    reports: Vec<(usize, InstanceStatus)>,
    plans: Vec<Option<RunningPlan>>,
    pending: Vec<(LogPoint, u64)>,
    acknowledged: Vec<u64>,
    next_write: u64,
    lost: usize,
    promotions: usize,
}

impl GroupModel {
    fn new(naive: bool) -> Self {
        let mut group = DatabaseGroup::new("db", 1, "a");
        let mut instances = Vec::new();
        for name in NAMES {
            group = group.with_instance(GroupInstance::new(name, "site", "region"));
            let log = vec![(1, 0)];
            instances.push(ModelInstance {
                fence: 1,
                primary_term: None,
                log,
            });
        }
        instances[0].primary_term = Some(1);
        Self {
            naive,
            instances,
            tracker: ConfirmTracker::new(group.clone()),
            stored: group,
            version: 1,
            reports: Vec::new(),
            plans: vec![None; COORDINATORS],
            pending: Vec::new(),
            acknowledged: Vec::new(),
            next_write: 1,
            lost: 0,
            promotions: 0,
        }
    }

    fn run(&mut self, step: ScheduleStep) {
        match step {
            ScheduleStep::Write(at) => self.write(at),
            ScheduleStep::Pull(to, from) => self.pull(to, from),
            ScheduleStep::Follow(who) => self.follow(who),
            ScheduleStep::Report(of) => self.reports.push((of, self.instances[of].status())),
            ScheduleStep::Deliver(which) if which < self.reports.len() => {
                let (of, status) = self.reports.swap_remove(which);
                self.tracker.observe(NAMES[of], status);
                self.acknowledge();
            }
            ScheduleStep::Deliver(_) => {}
            ScheduleStep::Begin(who) => self.begin(who),
            ScheduleStep::Advance(who, which, succeeds) => self.advance(who, which, succeeds),
            ScheduleStep::Abandon(who) => self.plans[who] = None,
            ScheduleStep::LearnGroup => self.tracker.set_group(self.stored.clone()),
        }
    }

    fn write(&mut self, at: usize) {
        // Clients write to any instance that has the role of primary.
        let is_primary = |i: &usize| self.instances[*i].primary_term.is_some();
        let Some(at) = (at..at + NAMES.len())
            .map(|i| i % NAMES.len())
            .find(is_primary)
        else {
            return;
        };
        let instance = &mut self.instances[at];
        let Some(term) = instance.primary_term else {
            return;
        };
        // The naive baseline ignores fences.
        if instance.fence > term && !self.naive {
            return;
        }
        let number = self.next_write;
        self.next_write += 1;
        instance.log.push((term, number));
        if self.naive {
            self.acknowledged.push(number);
        } else {
            self.pending.push((instance.received(), number));
        }
    }

    /// An instance learns from the store which primary to follow.
    fn follow(&mut self, who: usize) {
        let (term, published) = (self.stored.term, self.stored.primary.is_some());
        let instance = &mut self.instances[who];
        if published && term > instance.fence && !self.naive {
            instance.fence = term;
            instance.primary_term = None;
        }
    }

    /// `to` truncates its log where it differs from that of the primary it follows,
    /// and appends the next entry.
    fn pull(&mut self, to: usize, from: usize) {
        // Replicas pull from any instance that has the role of primary.
        let is_primary = |i: &usize| self.instances[*i].primary_term.is_some();
        let Some(from) = (from..from + NAMES.len())
            .map(|i| i % NAMES.len())
            .find(is_primary)
        else {
            return;
        };
        let Some(term) = self.instances[from].primary_term else {
            return;
        };
        let follows = self.instances[to].fence == term || self.naive;
        if to == from || !follows || self.instances[to].primary_term == Some(term) {
            return;
        }
        let source = self.instances[from].log.clone();
        let target = &mut self.instances[to];
        if target.primary_term.is_some_and(|own| own < term) {
            target.primary_term = None;
        }
        let shared = target
            .log
            .iter()
            .zip(&source)
            .take_while(|(a, b)| a == b)
            .count();
        target.log.truncate(shared);
        if let Some(entry) = source.get(shared) {
            target.log.push(*entry);
        }
    }

    /// Acknowledges the pending writes whose points are confirmed.
    fn acknowledge(&mut self) {
        let (tracker, acknowledged) = (&self.tracker, &mut self.acknowledged);
        self.pending.retain(|(point, number)| {
            let confirmed = tracker.is_confirmed(*point);
            if confirmed {
                acknowledged.push(*number);
            }
            !confirmed
        });
    }

    fn begin(&mut self, who: usize) {
        if self.naive {
            return self.promote_naively(who);
        }
        let change = format!("{who}-{}", self.version);
        let plan = PromotionPlan::new(self.stored.clone(), &change);
        let pending_actions = vec![plan.start()];
        self.plans[who] = Some(RunningPlan {
            plan,
            version: self.version,
            pending_actions,
        });
    }

    /// Makes an instance the primary of the next term, regardless of its log.
    fn promote_naively(&mut self, who: usize) {
        let chosen = (who + 1) % NAMES.len();
        self.stored.term += 1;
        self.instances[chosen].primary_term = Some(self.stored.term);
        self.instances[chosen].fence = self.stored.term;
        self.check_promoted(chosen);
    }

    /// Executes one pending action of a plan, or lets it fail.
    fn advance(&mut self, who: usize, which: usize, succeeds: bool) {
        let Some(mut running) = self.plans[who].take() else {
            return;
        };
        if running.pending_actions.is_empty() {
            return;
        }
        let action = running
            .pending_actions
            .remove(which % running.pending_actions.len());
        let event = match action {
            PromotionAction::Reserve(group) | PromotionAction::Publish(group) => {
                let publishes = group.primary.is_some();
                if succeeds && self.version == running.version {
                    self.version += 1;
                    running.version = self.version;
                    self.stored = group;
                    if publishes {
                        PromotionEvent::Published
                    } else {
                        PromotionEvent::Reserved
                    }
                } else {
                    PromotionEvent::StoreRefused
                }
            }
            PromotionAction::Fence(name, term) => {
                let instance = &mut self.instances[index_of(&name)];
                if succeeds {
                    instance.fence = instance.fence.max(term);
                    PromotionEvent::Fenced(name, instance.status())
                } else {
                    PromotionEvent::FenceFailed(name)
                }
            }
            PromotionAction::Promote(name, term) => self.promote(name, term, succeeds),
        };
        running.pending_actions.extend(running.plan.handle(event));
        self.plans[who] = Some(running);
    }

    fn promote(
        &mut self,
        name: fulmarrill_position::InstanceName,
        term: u64,
        succeeds: bool,
    ) -> PromotionEvent {
        let index = index_of(&name);
        let instance = &mut self.instances[index];
        if !succeeds || instance.fence != term {
            return PromotionEvent::PromoteFailed(name);
        }
        instance.primary_term = Some(term);
        instance.log.push((term, 0));
        self.check_promoted(index);
        PromotionEvent::Promoted(name)
    }

    fn check_promoted(&mut self, index: usize) {
        self.promotions += 1;
        let log = &self.instances[index].log;
        for number in &self.acknowledged {
            if !log.iter().any(|entry| entry.1 == *number) {
                self.lost += 1;
            }
        }
    }
}

fn index_of(name: &str) -> usize {
    NAMES
        .iter()
        .position(|known| *known == name)
        .expect("the name is one of NAMES")
}

fn run_model(steps: &[ScheduleStep], naive: bool) -> GroupModel {
    let mut model = GroupModel::new(naive);
    for step in steps {
        model.run(*step);
    }
    model
}

#[test]
fn acknowledged_writes_are_lost_only_by_the_naive_baseline() {
    let config = Config {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    };
    let (mut promotions, mut acknowledged, mut naive_lost) = (0, 0, 0);
    let counts = std::cell::RefCell::new((&mut promotions, &mut acknowledged, &mut naive_lost));
    let mut runner = TestRunner::new(config);
    let schedule = prop::collection::vec(step(), 100..600);
    let result = runner.run(&schedule, |steps| {
        let real = run_model(&steps, false);
        prop_assert_eq!(
            real.lost,
            0,
            "acknowledged writes are missing in a new primary"
        );
        let naive = run_model(&steps, true);
        let mut counts = counts.borrow_mut();
        *counts.0 += real.promotions;
        *counts.1 += real.acknowledged.len();
        *counts.2 += usize::from(naive.lost > 0);
        Ok(())
    });
    result.expect("no schedule loses an acknowledged write");
    assert!(promotions > 50, "only {promotions} promotions took place");
    assert!(
        acknowledged > 500,
        "only {acknowledged} writes were acknowledged"
    );
    assert!(
        naive_lost > 10,
        "the naive baseline lost writes in only {naive_lost} schedules"
    );
}
