//! Random schedules of writes, cuts, fences and promotions, run by the real
//! decisions and by a naive version: acknowledge at once, promote whoever
//! answers. After every promotion the new primary must hold all that was
//! acknowledged.
//!
//! More cases: `PROPTEST_CASES=20000 cargo test -p fulmarrill-replication`.

use fulmarrill_position::{InstanceRole, InstanceStatus, LogPoint};
use fulmarrill_replication::{
    ConfirmTracker, DatabaseGroup, GroupInstance, PromotionAction, PromotionEvent, PromotionPlan,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const NAMES: [&str; 3] = ["a", "b", "c"];
/// Coordinators that may run a plan at the same time.
const COORDINATORS: usize = 2;

/// One step of a schedule; numbers pick instances and messages.
#[derive(Debug, Clone, Copy)]
enum Step {
    Write(usize),
    Pull(usize, usize),
    Follow(usize),
    Report(usize),
    Deliver(usize),
    Begin(usize),
    Advance(usize, usize, bool),
    GiveUp(usize),
    LearnGroup,
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..NAMES.len();
    let coordinator = 0..COORDINATORS;
    prop_oneof![
        4 => index.clone().prop_map(Step::Write),
        6 => (index.clone(), index.clone()).prop_map(|(to, from)| Step::Pull(to, from)),
        3 => index.clone().prop_map(Step::Follow),
        8 => index.prop_map(Step::Report),
        8 => (0..8_usize).prop_map(Step::Deliver),
        1 => coordinator.clone().prop_map(Step::Begin),
        10 => (coordinator.clone(), 0..4_usize, prop::bool::weighted(0.85))
            .prop_map(|(who, which, works)| Step::Advance(who, which, works)),
        1 => coordinator.prop_map(Step::GiveUp),
        3 => Just(Step::LearnGroup),
    ]
}

/// An entry: its term and the number of its write.
type Entry = (u64, u64);

#[derive(Debug, Clone, Default)]
struct ModelInstance {
    fence: u64,
    /// Term in which it serves as the primary.
    serving: Option<u64>,
    log: Vec<Entry>,
}

impl ModelInstance {
    fn received(&self) -> LogPoint {
        let term = self.log.last().map_or(0, |entry| entry.0);
        LogPoint::new(term, self.log.len() as u64)
    }

    fn status(&self) -> InstanceStatus {
        let role = match self.serving {
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

/// A plan under way, with the actions that nobody has carried out yet.
#[derive(Debug, Clone)]
struct RunningPlan {
    plan: PromotionPlan,
    version: u64,
    open: Vec<PromotionAction>,
}

struct Model {
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

impl Model {
    fn new(naive: bool) -> Self {
        let mut group = DatabaseGroup::new("db", 1, "a");
        let mut instances = Vec::new();
        for name in NAMES {
            group = group.with_instance(GroupInstance::new(name, "site", "region"));
            let log = vec![(1, 0)];
            instances.push(ModelInstance {
                fence: 1,
                serving: None,
                log,
            });
        }
        instances[0].serving = Some(1);
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

    fn run(&mut self, step: Step) {
        match step {
            Step::Write(at) => self.write(at),
            Step::Pull(to, from) => self.pull(to, from),
            Step::Follow(who) => self.follow(who),
            Step::Report(of) => self.reports.push((of, self.instances[of].status())),
            Step::Deliver(which) if which < self.reports.len() => {
                let (of, status) = self.reports.swap_remove(which);
                self.tracker.observe(NAMES[of], status);
                self.acknowledge();
            }
            Step::Deliver(_) => {}
            Step::Begin(who) => self.begin(who),
            Step::Advance(who, which, works) => self.advance(who, which, works),
            Step::GiveUp(who) => self.plans[who] = None,
            Step::LearnGroup => self.tracker.set_group(self.stored.clone()),
        }
    }

    fn write(&mut self, at: usize) {
        // Clients find whoever takes the role of a primary.
        let serving = |i: &usize| self.instances[*i].serving.is_some();
        let Some(at) = (at..at + NAMES.len())
            .map(|i| i % NAMES.len())
            .find(serving)
        else {
            return;
        };
        let instance = &mut self.instances[at];
        let Some(term) = instance.serving else {
            return;
        };
        // A naive primary does not know of fences.
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

    /// An instance learns from the store whom it follows.
    fn follow(&mut self, who: usize) {
        let (term, published) = (self.stored.term, self.stored.primary.is_some());
        let instance = &mut self.instances[who];
        if published && term > instance.fence && !self.naive {
            instance.fence = term;
            instance.serving = None;
        }
    }

    /// `to` takes the next entry of the primary that it follows, or cuts its
    /// log back where it differs.
    fn pull(&mut self, to: usize, from: usize) {
        // Whoever pulls looks for a primary first.
        let serving = |i: &usize| self.instances[*i].serving.is_some();
        let Some(from) = (from..from + NAMES.len())
            .map(|i| i % NAMES.len())
            .find(serving)
        else {
            return;
        };
        let Some(term) = self.instances[from].serving else {
            return;
        };
        let follows = self.instances[to].fence == term || self.naive;
        if to == from || !follows || self.instances[to].serving == Some(term) {
            return;
        }
        let source = self.instances[from].log.clone();
        let target = &mut self.instances[to];
        if target.serving.is_some_and(|own| own < term) {
            target.serving = None;
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

    /// Acknowledges what the owner of the primary may acknowledge.
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
        let open = vec![plan.start()];
        self.plans[who] = Some(RunningPlan {
            plan,
            version: self.version,
            open,
        });
    }

    /// Makes an instance the primary of the next term, whatever it holds.
    fn promote_naively(&mut self, who: usize) {
        let chosen = (who + 1) % NAMES.len();
        self.stored.term += 1;
        self.instances[chosen].serving = Some(self.stored.term);
        self.instances[chosen].fence = self.stored.term;
        self.check_promoted(chosen);
    }

    /// Carries one open action of a plan out, or lets it fail.
    fn advance(&mut self, who: usize, which: usize, works: bool) {
        let Some(mut running) = self.plans[who].take() else {
            return;
        };
        if running.open.is_empty() {
            return;
        }
        let action = running.open.remove(which % running.open.len());
        let event = match action {
            PromotionAction::Reserve(group) | PromotionAction::Publish(group) => {
                let publishes = group.primary.is_some();
                if works && self.version == running.version {
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
                let instance = &mut self.instances[position_of(&name)];
                if works {
                    instance.fence = instance.fence.max(term);
                    PromotionEvent::Fenced(name, instance.status())
                } else {
                    PromotionEvent::FenceFailed(name)
                }
            }
            PromotionAction::Promote(name, term) => self.promote(name, term, works),
        };
        running.open.extend(running.plan.handle(event));
        self.plans[who] = Some(running);
    }

    fn promote(
        &mut self,
        name: fulmarrill_position::InstanceName,
        term: u64,
        works: bool,
    ) -> PromotionEvent {
        let index = position_of(&name);
        let instance = &mut self.instances[index];
        if !works || instance.fence != term {
            return PromotionEvent::PromoteFailed(name);
        }
        instance.serving = Some(term);
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

fn position_of(name: &str) -> usize {
    NAMES
        .iter()
        .position(|known| *known == name)
        .expect("a known name")
}

fn run_model(steps: &[Step], naive: bool) -> Model {
    let mut model = Model::new(naive);
    for step in steps {
        model.run(*step);
    }
    model
}

#[test]
fn no_schedule_loses_an_acknowledged_write_and_the_naive_version_does() {
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
    result.expect("no schedule breaks the promise");
    assert!(promotions > 50, "the schedules promote: {promotions}");
    assert!(
        acknowledged > 500,
        "the schedules acknowledge: {acknowledged}"
    );
    assert!(
        naive_lost > 10,
        "the schedules are hard enough: {naive_lost}"
    );
}
