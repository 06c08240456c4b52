//! Fleets of state machines in one thread: how soon a new configuration reaches
//! every host while the store does not answer part of them, links lose messages, or
//! hosts restart.

#[path = "spread/model.rs"]
mod model;

use std::time::Duration;

use model::{FleetFaults, FleetModel, SpreadRule};
use rstest::rstest;

/// When a new configuration must be known to the last host, if the store answers
/// at least one watching host.
const SPREAD_TIME_MAX: Duration = Duration::from_secs(1);
/// The same if all hosts that watched the store have just fallen silent.
const SILENT_WATCHERS_TIME_MAX: Duration = Duration::from_secs(6);
/// Time in which a fleet settles before the configuration changes.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Schedules of each case.
const SEEDS: u64 = 3;
/// Schedules of each row of the table of both rules.
const TABLE_SEEDS: u64 = 12;

/// Times from the store's acknowledgement of a configuration until hosts knew it:
/// median, 99th percentile, last; and messages per host and second.
#[derive(Debug)]
struct SpreadFigures {
    median: Duration,
    p99: Duration,
    last: Duration,
    messages: f64,
    watches: f64,
}

fn figures(rule: SpreadRule, hosts: usize, faults: &FleetFaults, seeds: u64) -> SpreadFigures {
    let (mut times, mut messages, mut watches) = (Vec::new(), 0.0, 0.0);
    for seed in 0..seeds {
        let mut fleet = FleetModel::new(rule, hosts, seed);
        fleet.run_for(SETTLE_TIME);
        fleet.inject(faults);
        fleet.run_for(faults.lead_time);
        let (messages_before, watches_before) = (fleet.messages, fleet.watch_calls);
        times.extend(fleet.publish_and_measure(Duration::from_secs(12)));
        let seconds = 12.0 * f64::from(u32::try_from(hosts).unwrap());
        messages += f64::from(fleet.messages - messages_before) / seconds;
        watches += f64::from(fleet.watch_calls - watches_before) / 12.0;
    }
    times.sort_unstable();
    let runs = f64::from(u32::try_from(seeds).unwrap());
    SpreadFigures {
        median: times[times.len() / 2],
        p99: times[times.len() * 99 / 100],
        last: times[times.len() - 1],
        messages: messages / runs,
        watches: watches / runs,
    }
}

fn report(name: &str, hosts: usize, rule: SpreadRule, found: &SpreadFigures) {
    println!(
        "{name}, {hosts} hosts, {rule:?}: median {:.3} s, p99 {:.3} s, last {:.3} s, \
         {:.2} messages a host and second, {:.2} watch calls a second",
        found.median.as_secs_f64(),
        found.p99.as_secs_f64(),
        found.last.as_secs_f64(),
        found.messages,
        found.watches,
    );
}

fn spread_figures(hosts: usize, faults: &FleetFaults) -> SpreadFigures {
    figures(SpreadRule::Feeds, hosts, faults, SEEDS)
}

/// Prints a table of both rules: `cargo test --release -p fulmarrill-spread -- --ignored
/// --nocapture`. It checks nothing.
#[test]
#[ignore = "prints a table for docs/MEASUREMENTS.md"]
fn table_of_both_rules() {
    for hosts in [8, 79, 295] {
        for (name, faults) in named_faults() {
            for rule in [SpreadRule::SerialPolls, SpreadRule::Feeds] {
                report(
                    name,
                    hosts,
                    rule,
                    &figures(rule, hosts, &faults, TABLE_SEEDS),
                );
            }
        }
    }
}

fn named_faults() -> [(&'static str, FleetFaults); 6] {
    let none = FleetFaults::default();
    [
        ("calm", none.clone()),
        ("silent for 35%", silent_for_many()),
        (
            "silent for all watchers",
            FleetFaults {
                silence_watchers: true,
                ..none.clone()
            },
        ),
        (
            "silent for a data centre",
            FleetFaults {
                silent_centre: true,
                ..none.clone()
            },
        ),
        (
            "one message in ten lost",
            FleetFaults {
                lost_share: 0.1,
                ..none.clone()
            },
        ),
        ("55% restarted", restarted()),
    ]
}

fn silent_for_many() -> FleetFaults {
    FleetFaults {
        silent_share: 0.35,
        keep_one_watcher: true,
        ..FleetFaults::default()
    }
}

fn restarted() -> FleetFaults {
    FleetFaults {
        restart_share: 0.55,
        lead_time: Duration::from_secs(2),
        ..FleetFaults::default()
    }
}

#[rstest]
#[case::small(8)]
#[case::grown(79)]
#[case::large(295)]
fn configuration_reaches_every_host_while_all_is_well(#[case] hosts: usize) {
    let found = spread_figures(hosts, &FleetFaults::default());
    assert!(found.last <= SPREAD_TIME_MAX, "{found:?}");
}

/// Seen on a day of 79 hosts: the store was silent for 35% of them, watching ones
/// among these, and a configuration took 5.95 s to reach the last host.
#[rstest]
#[case::grown(79)]
#[case::large(295)]
fn configuration_spreads_while_the_store_is_silent_for_many(#[case] hosts: usize) {
    let found = spread_figures(hosts, &silent_for_many());
    assert!(found.last <= SPREAD_TIME_MAX, "{found:?}");
}

#[rstest]
#[case::grown(79)]
#[case::large(295)]
fn other_hosts_watch_when_the_store_is_silent_for_all_watchers(#[case] hosts: usize) {
    let faults = FleetFaults {
        silence_watchers: true,
        ..FleetFaults::default()
    };
    let found = spread_figures(hosts, &faults);
    assert!(found.last <= SILENT_WATCHERS_TIME_MAX, "{found:?}");
}

#[rstest]
#[case::grown(79)]
#[case::large(295)]
fn configuration_spreads_while_messages_are_lost(#[case] hosts: usize) {
    let faults = FleetFaults {
        lost_share: 0.1,
        ..FleetFaults::default()
    };
    let found = spread_figures(hosts, &faults);
    assert!(found.last <= SILENT_WATCHERS_TIME_MAX, "{found:?}");
    assert!(found.p99 <= SPREAD_TIME_MAX, "{found:?}");
}

/// A host cannot be told less than it knew, and one that starts again learns
/// everything anew.
#[rstest]
#[case::grown(79)]
#[case::large(295)]
fn restarted_hosts_learn_the_configuration(#[case] hosts: usize) {
    let found = spread_figures(hosts, &restarted());
    assert!(found.last <= SPREAD_TIME_MAX, "{found:?}");
}

/// The hosts of a data centre that is cut off from the store, but not from other
/// data centres, learn everything from those.
#[rstest]
#[case::grown(79)]
#[case::large(295)]
fn data_centre_that_the_store_does_not_answer_learns_from_others(#[case] hosts: usize) {
    let faults = FleetFaults {
        silent_centre: true,
        ..FleetFaults::default()
    };
    let found = spread_figures(hosts, &faults);
    assert!(found.last <= SPREAD_TIME_MAX, "{found:?}");
}

/// An idle fleet of thousands of hosts costs each host no more than a small one.
#[test]
fn idle_messages_per_host_do_not_grow_with_the_fleet() {
    let small = spread_figures(30, &FleetFaults::default());
    let large = spread_figures(600, &FleetFaults::default());
    assert!(
        large.messages <= small.messages * 1.2,
        "{small:?} {large:?}"
    );
    assert!(large.watches <= small.watches * 1.2, "{small:?} {large:?}");
}

/// An outage of the store for all hosts must not make all of them call it at once.
#[test]
fn few_hosts_call_a_store_that_answers_nobody() {
    let faults = FleetFaults {
        silent_share: 1.0,
        ..FleetFaults::default()
    };
    let mut fleet = FleetModel::new(SpreadRule::Feeds, 295, 1);
    fleet.run_for(SETTLE_TIME);
    fleet.inject(&faults);
    fleet.run_for(Duration::from_millis(4500));
    assert!(fleet.watching_hosts() <= 30, "{}", fleet.watching_hosts());
}
