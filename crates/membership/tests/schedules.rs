//! Random schedules of losses, freezes and cuts in fleets of several sizes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fulmarrill_membership::{MemberMonitor, MemberPlace, WatchedMember, watch_place};
use rstest::rstest;

/// Time between two rounds of a monitor.
const ROUND: Duration = Duration::from_millis(250);
/// Target: time after the loss of a member within which it is marked, while most are heard.
const MARK_TIME_MAX: Duration = Duration::from_secs(5);
/// The same while only a few are left, of which each hears less than half.
const MARK_TIME_ALONE_MAX: Duration = Duration::from_secs(9);
/// Time until a member that runs has seen its mark and taken it back.
const MARK_NOTICE_TIME: Duration = Duration::from_millis(500);
/// Seeds for small fleets, and for large ones, whose schedules take long.
const SEEDS: [u64; 2] = [20, 2];

struct SimulatedMember {
    name: String,
    data_centre: String,
    monitor: MemberMonitor,
    lost_at: Option<Instant>,
    frozen_until: Instant,
    cut_until: Instant,
    marked_at: Option<Instant>,
}

/// Members whose messages arrive at once; a round is the time of a probe.
struct SimulatedFleet {
    members: Vec<SimulatedMember>,
    start: Instant,
    now: Instant,
    /// Marks of members that were alive and not frozen or cut.
    false_marks: usize,
}

impl SimulatedFleet {
    fn new(count: usize, data_centres: usize) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            members: Vec::new(),
            start: now,
            now,
            false_marks: 0,
        };
        for index in 0..count {
            fleet.add(index, data_centres);
        }
        fleet
    }

    fn add(&mut self, index: usize, data_centres: usize) {
        self.members.push(SimulatedMember {
            name: format!("h{index}"),
            data_centre: format!("centre-{}", index % data_centres),
            monitor: MemberMonitor::new(),
            lost_at: None,
            frozen_until: self.now,
            cut_until: self.now,
            marked_at: None,
        });
    }

    fn runs(&self, index: usize) -> bool {
        let member = &self.members[index];
        member.lost_at.is_none() && self.now >= member.frozen_until
    }

    fn is_cut(&self, index: usize) -> bool {
        self.now < self.members[index].cut_until
    }

    /// Whether a message from one member to another and its answer arrive.
    fn reaches(&self, from: usize, to: usize) -> bool {
        self.runs(from) && self.runs(to) && self.is_cut(from) == self.is_cut(to)
    }

    fn watched_by(&self, own: usize) -> Vec<WatchedMember> {
        let place = |index: usize| MemberPlace {
            name: &self.members[index].name,
            data_centre: &self.members[index].data_centre,
        };
        let listed = || (0..self.members.len()).filter(|i| self.members[*i].marked_at.is_none());
        let mut watched = Vec::new();
        for index in 0..self.members.len() {
            let order = watch_place(place(index), place(own), listed().map(place));
            if let Some(order) = order {
                let is_marked = self.members[index].marked_at.is_some();
                let member = WatchedMember::new(&self.members[index].name, order);
                watched.push(member.with_mark(is_marked));
            }
        }
        watched
    }

    fn round(&mut self) {
        self.now += ROUND;
        let index_of: BTreeMap<String, usize> = self
            .members
            .iter()
            .enumerate()
            .map(|(i, m)| (m.name.clone(), i))
            .collect();
        for own in 0..self.members.len() {
            if !self.runs(own) {
                continue;
            }
            let watched = self.watched_by(own);
            let now = self.now;
            let mut monitor = std::mem::take(&mut self.members[own].monitor);
            monitor.set_members(now, watched.clone());
            for run in monitor.due_probes(now) {
                let target = index_of[run.as_str()];
                if self.reaches(own, target) {
                    monitor.record_heard(now, &run);
                    continue;
                }
                let mut helpers = watched.iter().map(|member| index_of[member.run.as_str()]);
                let is_reached =
                    helpers.any(|helper| self.reaches(own, helper) && self.reaches(helper, target));
                monitor.record_miss(now, &run, is_reached);
            }
            for run in monitor.lost(now) {
                let target = index_of[run.as_str()];
                self.false_marks += usize::from(self.runs(target) && !self.is_cut(target));
                self.members[target].marked_at.get_or_insert(now);
            }
            self.members[own].monitor = monitor;
        }
        // A member that runs takes its mark back, also one that is cut off from the others.
        for index in 0..self.members.len() {
            let marked_at = self.members[index].marked_at;
            let is_seen = marked_at.is_some_and(|at| self.now >= at + MARK_NOTICE_TIME);
            if self.runs(index) && is_seen {
                self.members[index].marked_at = None;
            }
        }
    }

    fn run_until(&mut self, at: Duration) {
        while self.now < self.start + at {
            self.round();
        }
    }

    fn lose(&mut self, index: usize) {
        self.members[index].lost_at = Some(self.now);
    }

    /// The longest time from the loss of a member to its mark, if all are marked.
    fn longest_mark_time(&self) -> Option<Duration> {
        let lost = self
            .members
            .iter()
            .filter_map(|m| m.lost_at.map(|at| (at, m.marked_at)));
        let mut longest = Duration::ZERO;
        for (lost_at, marked_at) in lost {
            longest = longest.max(marked_at?.saturating_duration_since(lost_at));
        }
        Some(longest)
    }
}

/// Guards against lost members that stay: whoever is to take their place waits behind them.
#[rstest]
#[case::small(9, 3, Duration::from_secs(4))]
#[case::one_data_centre(5, 1, Duration::from_secs(4))]
#[case::grown(60, 3, Duration::from_secs(2))]
fn members_lost_in_series_are_marked_in_time(
    #[case] count: usize,
    #[case] data_centres: usize,
    #[case] gap: Duration,
) {
    for seed in 0..SEEDS[usize::from(count > 20)] {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut fleet = SimulatedFleet::new(count, data_centres);
        fleet.run_until(Duration::from_secs(2));
        for loss in 0..10 {
            let alive: Vec<usize> = (0..fleet.members.len())
                .filter(|i| fleet.members[*i].lost_at.is_none())
                .collect();
            fleet.lose(alive[random.usize(..alive.len())]);
            // Each is replaced by a member of another name.
            fleet.add(count + loss, data_centres);
            let until = fleet.now - fleet.start + gap;
            fleet.run_until(until);
        }
        let until = fleet.now - fleet.start + MARK_TIME_MAX;
        fleet.run_until(until);
        let longest = fleet.longest_mark_time();
        assert!(
            longest.is_some_and(|time| time <= MARK_TIME_MAX),
            "seed {seed}: {longest:?}"
        );
        assert_eq!(fleet.false_marks, 0, "seed {seed}");
    }
}

/// Guards against the loss of many at once that nobody notices, since the watchers of each are
/// lost as well.
#[rstest]
#[case::all_but_one(9, 3, 8)]
#[case::three_of_five(5, 1, 3)]
#[case::half(60, 3, 30)]
fn members_lost_at_once_are_marked(
    #[case] count: usize,
    #[case] data_centres: usize,
    #[case] losses: usize,
) {
    for seed in 0..SEEDS[usize::from(count > 20)] {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut fleet = SimulatedFleet::new(count, data_centres);
        fleet.run_until(Duration::from_secs(2));
        let mut order: Vec<usize> = (0..count).collect();
        random.shuffle(&mut order);
        for index in order.into_iter().take(losses) {
            fleet.lose(index);
        }
        fleet.run_until(Duration::from_secs(2) + MARK_TIME_ALONE_MAX);
        assert!(fleet.longest_mark_time().is_some(), "seed {seed}");
        assert_eq!(fleet.false_marks, 0, "seed {seed}");
    }
}

/// Guards against a whole data centre that is lost and whose members only watched each other.
#[test]
fn members_of_a_lost_data_centre_are_marked() {
    let mut fleet = SimulatedFleet::new(60, 3);
    fleet.run_until(Duration::from_secs(2));
    for index in (0..60).step_by(3) {
        fleet.lose(index);
    }
    fleet.run_until(Duration::from_secs(2) + MARK_TIME_ALONE_MAX);
    assert!(fleet.longest_mark_time().is_some());
    assert_eq!(fleet.false_marks, 0);
}

/// Guards against a member that freezes or is cut off, and marks all others when it is back.
#[rstest]
#[case::frozen(true, Duration::from_secs(8))]
#[case::cut_off(false, Duration::from_millis(5500))]
fn member_that_was_away_marks_nobody(#[case] freezes: bool, #[case] away: Duration) {
    let mut fleet = SimulatedFleet::new(9, 3);
    fleet.run_until(Duration::from_secs(2));
    let until = fleet.now + away;
    if freezes {
        fleet.members[4].frozen_until = until;
    } else {
        fleet.members[4].cut_until = until;
    }
    fleet.run_until(Duration::from_secs(20));
    assert_eq!(fleet.false_marks, 0);
}

/// Guards against marks without end of a member that the others do not reach.
#[test]
fn member_that_takes_its_mark_back_is_marked_seldom() {
    let start = Instant::now();
    let mut monitor = MemberMonitor::new();
    let mut marks = 0;
    let mut is_marked = false;
    for round in 0..2400_u32 {
        let now = start + ROUND * round;
        monitor.set_members(now, [WatchedMember::new("h2~1", 0).with_mark(is_marked)]);
        is_marked = false;
        for run in monitor.due_probes(now) {
            monitor.record_miss(now, &run, false);
        }
        if !monitor.lost(now).is_empty() {
            marks += 1;
            is_marked = true;
        }
    }
    // Ten minutes: after 6, 10, 20, 40 and 80 s, and then each 120 s.
    assert!((5..=9).contains(&marks), "{marks}");
}

/// Guards against a member that is never lost because what was heard of it long ago is reported
/// again and again.
#[test]
fn old_report_does_not_undo_misses() {
    let start = Instant::now();
    let mut monitor = MemberMonitor::new();
    let member = || [WatchedMember::new("h2~1", 0), WatchedMember::new("h3~1", 0)];
    monitor.set_members(start, member());
    for round in 1..=20_u32 {
        let now = start + ROUND * round;
        monitor.record_heard(start + ROUND, "h2~1");
        monitor.record_heard(now, "h3~1");
        for run in monitor.due_probes(now) {
            monitor.record_miss(now, &run, false);
        }
    }
    assert_eq!(monitor.lost(start + ROUND * 20), ["h2~1"]);
}
