//! The rank queue against a naive first-come queue, on the same arrivals.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fulmarrill_schedule::{RankPolicy, RankQueue, WorkItem};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const SLOTS: usize = 2;
/// The same as a real number.
const SLOTS_REAL: f64 = 2.0;
const SERVICE: Duration = Duration::from_millis(4);
const DEADLINE: Duration = Duration::from_millis(400);
const FLOORS: [f64; 3] = [0.3, 0.25, 0.1];

/// An arrival: its time from the start and its rank.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Duration,
    rank: usize,
}

/// What a simulated run did for each rank.
#[derive(Debug, Default)]
struct Tally {
    in_time: [u32; 3],
    refused: [u32; 3],
    waits: [Vec<Duration>; 3],
    busy: [Duration; 3],
}

/// A scheduler as two closures: offer an item, take the next.
struct Scheduler<'a> {
    offer: Box<dyn FnMut(Instant, WorkItem) -> bool + 'a>,
    next: Box<dyn FnMut(Instant) -> Option<WorkItem> + 'a>,
    finish: Box<dyn FnMut(Instant, usize) + 'a>,
}

fn simulate(arrivals: &[Arrival], mut scheduler: Scheduler<'_>) -> Tally {
    let start = Instant::now();
    let mut tally = Tally::default();
    let mut running: VecDeque<(Duration, usize, usize)> = VecDeque::new();
    let mut next_arrival = 0;
    loop {
        let arrival_at = arrivals.get(next_arrival).map(|arrival| arrival.at);
        let finish_at = running.front().map(|(at, _, _)| *at);
        let (now, finishes) = match (arrival_at, finish_at) {
            (None, None) => return tally,
            (Some(a), Some(f)) if f <= a => (f, true),
            (None, Some(f)) => (f, true),
            (Some(a), _) => (a, false),
        };
        if finishes {
            let (_, rank, index) = running.pop_front().expect("something runs");
            (scheduler.finish)(start + now, rank);
            tally.busy[rank] += SERVICE;
            let wait = now.saturating_sub(arrivals[index].at);
            tally.waits[rank].push(wait);
            tally.in_time[rank] += u32::from(wait <= DEADLINE);
        } else {
            let arrival = arrivals[next_arrival];
            let item = WorkItem::new(
                next_arrival as u64,
                arrival.rank,
                "flow",
                start + arrival.at + DEADLINE,
            );
            next_arrival += 1;
            if !(scheduler.offer)(start + now, item) {
                tally.refused[arrival.rank] += 1;
            }
        }
        while running.len() < SLOTS {
            let Some(item) = (scheduler.next)(start + now) else {
                break;
            };
            let index = usize::try_from(item.id).expect("a small number");
            running.push_back((now + SERVICE, item.rank, index));
        }
    }
}

fn run_ranked(arrivals: &[Arrival]) -> Tally {
    let policies = FLOORS
        .iter()
        .map(|floor| RankPolicy::new("rank", *floor))
        .collect();
    let queue = RankQueue::new(policies, SLOTS, Instant::now());
    let queue = std::cell::RefCell::new(queue);
    simulate(
        arrivals,
        Scheduler {
            offer: Box::new(|now, item| queue.borrow_mut().offer(now, item).is_ok()),
            next: Box::new(|now| queue.borrow_mut().next(now)),
            finish: Box::new(|now, rank| queue.borrow_mut().finish(now, rank, SERVICE)),
        },
    )
}

fn run_first_come(arrivals: &[Arrival]) -> Tally {
    let queue = std::cell::RefCell::new(VecDeque::new());
    simulate(
        arrivals,
        Scheduler {
            offer: Box::new(|_, item| {
                queue.borrow_mut().push_back(item);
                true
            }),
            next: Box::new(|_| queue.borrow_mut().pop_front()),
            finish: Box::new(|_, _| {}),
        },
    )
}

/// Arrivals at even distances: `rates` a second for each rank.
fn arrivals(rates: [f64; 3], seconds: f64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (rank, rate) in rates.iter().enumerate() {
        // No two ranks arrive at the same moment.
        let mut at = [0.000_1, 0.000_2, 0.000_3][rank];
        while at < seconds {
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at),
                rank,
            });
            at += 1.0 / rate;
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Requests a second that the slots can do.
const CAPACITY: f64 = 500.0;

#[test]
fn flood_of_the_lowest_rank_leaves_the_urgent_alone() {
    let flood = arrivals([100.0, 50.0, 10.0 * CAPACITY], 5.0);
    let ranked = run_ranked(&flood);
    let naive = run_first_come(&flood);
    assert_eq!(ranked.refused[0], 0);
    assert_eq!(ranked.in_time[0], 500, "every urgent request is in time");
    assert!(
        naive.in_time[0] < 100,
        "first-come starves the urgent: {}",
        naive.in_time[0]
    );
    let worst = ranked.waits[0].iter().max().copied().unwrap_or_default();
    assert!(
        worst <= 4 * SERVICE,
        "urgent requests wait for {worst:?} at most"
    );
}

#[test]
fn flood_of_the_urgent_leaves_each_rank_its_floor() {
    let seconds = 5.0;
    let ranked = run_ranked(&arrivals([10.0 * CAPACITY, 400.0, 400.0], seconds));
    for (rank, floor) in FLOORS.iter().enumerate().skip(1) {
        let share = ranked.busy[rank].as_secs_f64() / (seconds * SLOTS_REAL);
        assert!(
            share >= 0.9 * floor,
            "rank {rank} keeps {share:.3} of a floor of {floor}"
        );
    }
}

#[test]
fn ten_times_the_load_does_no_less_useful_work() {
    let useful = |rates| {
        let tally = run_ranked(&arrivals(rates, 5.0));
        let worths = [100, 10, 1];
        (0..3)
            .map(|rank| tally.in_time[rank] * worths[rank])
            .sum::<u32>()
    };
    let once = useful([150.0, 200.0, 150.0]);
    let ten_times = useful([1500.0, 2000.0, 1500.0]);
    assert!(
        ten_times >= once,
        "{ten_times} at ten times the load, {once} at once"
    );
}

#[test]
fn what_a_rank_does_not_use_goes_to_the_others() {
    let ranked = run_ranked(&arrivals([1.0, 1.0, 10.0 * CAPACITY], 5.0));
    let share = ranked.busy[2].as_secs_f64() / (5.0 * SLOTS_REAL);
    assert!(
        share > 0.95,
        "the lowest rank gets {share:.3} of idle slots"
    );
}

#[test]
fn flows_of_one_rank_are_served_in_turn() {
    let now = Instant::now();
    let mut queue = RankQueue::new(vec![RankPolicy::new("only", 1.0)], 1, now);
    let deadline = now + Duration::from_secs(100);
    for id in 0..100 {
        queue
            .offer(now, WorkItem::new(id, 0, "flood", deadline))
            .expect("taken");
    }
    for id in 100..105 {
        queue
            .offer(now, WorkItem::new(id, 0, "quiet", deadline))
            .expect("taken");
    }
    let mut quiet = 0;
    for _ in 0..12 {
        let item = queue.next(now).expect("an item");
        quiet += u32::from(item.id >= 100);
        queue.finish(now, 0, SERVICE);
    }
    assert_eq!(quiet, 5, "the quiet flow is not behind the flood");
}

#[test]
fn random_arrivals_never_serve_the_urgent_worse_than_first_come() {
    let config = Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    };
    let arrival = (0..3000_u64, 0..3_usize).prop_map(|(ms, rank)| Arrival {
        at: Duration::from_millis(ms),
        rank,
    });
    let all = prop::collection::vec(arrival, 200..3000);
    TestRunner::new(config)
        .run(&all, |mut arrivals| {
            arrivals.sort_by_key(|arrival| arrival.at);
            let (ranked, naive) = (run_ranked(&arrivals), run_first_come(&arrivals));
            prop_assert!(ranked.in_time[0] >= naive.in_time[0]);
            let offered = arrivals.len();
            let done: usize = ranked.waits.iter().map(Vec::len).sum();
            let refused: u32 = ranked.refused.iter().sum();
            prop_assert!(done + refused as usize <= offered);
            Ok(())
        })
        .expect("no arrivals break the promise");
}

/// Issue 5: long work that its floor was owed was kept from the last slot, and
/// urgent work that waited behind it was not started either.
#[test]
fn slot_never_idles_while_urgent_work_waits() {
    let now = Instant::now();
    let policies = vec![
        RankPolicy::new("urgent", 0.3),
        RankPolicy::new("report", 0.5),
    ];
    let mut queue = RankQueue::new(policies, 2, now);
    let deadline = now + Duration::from_secs(1000);
    for id in 0..100 {
        queue
            .offer(now, WorkItem::new(id, 1, "report", deadline))
            .expect("taken");
    }
    // One slot is held all the time, so that the other is the last free one.
    queue.next(now).expect("a slot is free");
    let mut reports = 0;
    for id in 100..4000 {
        queue
            .offer(now, WorkItem::new(id, 0, "scan", deadline))
            .expect("taken");
        let item = queue
            .next(now)
            .expect("urgent work waits beside a free slot");
        reports += usize::from(item.rank == 1);
        let took = if item.rank == 1 { 50 } else { 2 };
        queue.finish(now, item.rank, Duration::from_millis(took));
    }
    assert!(reports > 20, "the floor of the reports holds: {reports}");
}

/// Answers a flood in which work waits until just before its deadline: whatever
/// is started then is cut off, and nobody knows whether it ran.
#[test]
fn work_that_would_be_cut_off_at_its_deadline_is_not_started() {
    let now = Instant::now();
    let cost = Duration::from_millis(14);
    let mut queue = RankQueue::new(vec![RankPolicy::new("reports", 0.0)], 1, now);
    let far = now + Duration::from_mins(1);
    for id in 0..200 {
        queue.offer(now, WorkItem::new(id, 0, "", far)).unwrap();
        queue.next(now).unwrap();
        queue.finish(now, 0, cost);
    }
    queue.offer(now, WorkItem::new(900, 0, "", far)).unwrap();
    assert_eq!(queue.next(now).unwrap().id, 900);
    let late = now + Duration::from_millis(380);
    let deadline = late + Duration::from_millis(20);
    queue
        .offer(now, WorkItem::new(901, 0, "", deadline))
        .unwrap();
    queue.finish(late, 0, cost);
    assert!(queue.next(late).is_none());
    assert_eq!(queue.take_expired()[0].id, 901);
}
