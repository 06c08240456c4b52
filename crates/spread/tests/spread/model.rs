//! A fleet of state machines with an injected clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use fulmarrill_spread::order::watch_order;
use fulmarrill_spread::{
    FEED_COUNT, FeedKind, SourceAges, SpreadHost, SpreadState, is_source_news,
};

const DATA_CENTRES: usize = 6;
const REGIONS: usize = 2;
/// One-way latency in a region, and between two.
const NEAR_LATENCY: Duration = Duration::from_micros(500);
const FAR_LATENCY: Duration = Duration::from_millis(21);
/// Time for which a host is busy before it handles a message.
const HANDLING_TIME_MAX: Duration = Duration::from_millis(8);
/// Time beyond its wait within which a poll must be answered.
const POLL_SLACK: Duration = Duration::from_millis(500);
const SERIAL_WAIT: Duration = Duration::from_secs(1);
/// Random hosts that a host polls in a round if the store does not answer it.
const SERIAL_RANDOM_HOSTS: usize = 4;
const WATCH_WAIT: Duration = Duration::from_millis(1200);
const WATCH_TIMEOUT: Duration = Duration::from_millis(1900);
/// Time between two decisions whether to watch, and before a poll that failed is
/// tried again.
const ROUND: Duration = Duration::from_millis(250);
/// Age of the store's last answer after which a host that polls serially does not
/// count as current, and the steps in which hosts behind it watch.
const SERIAL_OVERDUE: Duration = Duration::from_millis(3100);
const SERIAL_STEP: Duration = Duration::from_millis(1500);

/// The rule by which hosts learn of each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpreadRule {
    /// Earlier rule: a watcher in each data centre, one poll after the other.
    SerialPolls,
    /// The rule of the crate.
    Feeds,
}

/// Faults that begin before a configuration is published.
#[derive(Debug, Clone, Default)]
pub struct FleetFaults {
    /// Share of the hosts that the store does not answer.
    pub silent_share: f64,
    /// Whether one host that watches is spared.
    pub keep_one_watcher: bool,
    /// Whether the store falls silent for all hosts that watch it.
    pub silence_watchers: bool,
    /// Whether the store falls silent for a data centre.
    pub silent_centre: bool,
    /// Share of the messages that are lost.
    pub lost_share: f64,
    /// Share of the hosts that start again.
    pub restart_share: f64,
    /// Time between the faults and the new configuration.
    pub lead_time: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    /// A host decides whether to watch.
    Decide(usize),
    /// A feed of a host, in one run of it, starts a poll.
    Poll(usize, usize, u64),
    /// A poll arrives: asking host, feed, number of the poll, target host.
    Asked(usize, usize, u64, usize),
    /// A waiting poll ends.
    WaitOver(usize, usize, u64, usize),
    /// An answer arrives: asking host, feed, poll, version, answering host.
    Answered(usize, usize, u64, u64, usize),
    /// A poll that was not answered ends.
    PollTimeout(usize, usize, u64),
    /// The store answers a watch of a host.
    StoreAnswered(usize, u64, Duration),
    /// A watch call ends: host and number of the call.
    WatchOver(usize, u64),
}

struct WaitingPoll {
    asker: usize,
    feed: usize,
    number: u64,
    version: u64,
    source_ages: SourceAges,
    asked_at: Duration,
}

struct ModelHost {
    spread: SpreadState,
    version: u64,
    is_silent: bool,
    is_watching: bool,
    watch_number: u64,
    polls: [u64; FEED_COUNT],
    attempts: [usize; FEED_COUNT],
    waiting: Vec<WaitingPoll>,
    answered_at: Option<Duration>,
    no_upstream_since: Option<Duration>,
    preceding: Vec<usize>,
}

/// A fleet with its clock.
pub struct FleetModel {
    rule: SpreadRule,
    random: fastrand::Rng,
    start: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, FleetEvent)>>,
    event_count: u64,
    hosts: Vec<ModelHost>,
    version: u64,
    lost_share: f64,
    /// Messages between hosts so far.
    pub messages: u32,
    /// Watch calls to the store so far.
    pub watch_calls: u32,
}

fn spread_hosts(count: usize) -> Vec<SpreadHost> {
    let mut hosts = Vec::new();
    for index in 0..count {
        let centre = index % DATA_CENTRES.min(count.div_ceil(3));
        let data_centre = format_compact!("dc-{centre}");
        let region = format_compact!("region-{}", centre % REGIONS);
        let name = format_compact!("h{index}");
        hosts.push(SpreadHost::new(&name, &name, &data_centre, &region));
    }
    hosts
}

fn index_of(address: &CompactString) -> usize {
    address[1..].parse().unwrap()
}

impl FleetModel {
    /// A fleet whose hosts all start now, with a configuration of version 1.
    pub fn new(rule: SpreadRule, count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            rule,
            random: fastrand::Rng::with_seed(seed),
            start: Instant::now() + Duration::from_hours(1),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            event_count: 0,
            hosts: Vec::new(),
            version: 1,
            lost_share: 0.0,
            messages: 0,
            watch_calls: 0,
        };
        let hosts = spread_hosts(count);
        let order = watch_order(hosts.clone());
        for own in &hosts {
            let centre = order
                .iter()
                .filter(|host| host.data_centre == own.data_centre);
            let preceding = centre
                .take_while(|host| host.name != own.name)
                .map(|host| index_of(&host.name))
                .collect();
            let host = fleet.new_host(own.clone(), hosts.clone(), preceding);
            fleet.hosts.push(host);
        }
        for index in 0..count {
            fleet.start_host(index);
        }
        fleet
    }

    fn new_host(
        &mut self,
        own: SpreadHost,
        hosts: Vec<SpreadHost>,
        preceding: Vec<usize>,
    ) -> ModelHost {
        let choices = std::array::from_fn(|_| self.random.usize(..));
        let mut spread = SpreadState::new(own, choices);
        spread.set_hosts(hosts);
        ModelHost {
            spread,
            version: 0,
            is_silent: false,
            is_watching: false,
            watch_number: 0,
            polls: [0; FEED_COUNT],
            attempts: [0; FEED_COUNT],
            waiting: Vec::new(),
            answered_at: None,
            no_upstream_since: None,
            preceding,
        }
    }

    fn start_host(&mut self, index: usize) {
        let jitter = self.random.u64(0..200);
        let at = self.now + Duration::from_millis(jitter);
        self.schedule(at, FleetEvent::Decide(index));
        let feeds = match self.rule {
            SpreadRule::SerialPolls => 1,
            SpreadRule::Feeds => FEED_COUNT,
        };
        for feed in 0..feeds {
            let number = self.hosts[index].polls[feed];
            self.schedule(at, FleetEvent::Poll(index, feed, number));
        }
    }

    fn schedule(&mut self, at: Duration, event: FleetEvent) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    /// Number of hosts that watch the store.
    pub fn watching_hosts(&self) -> usize {
        self.hosts.iter().filter(|host| host.is_watching).count()
    }

    /// Starts faults.
    pub fn inject(&mut self, faults: &FleetFaults) {
        self.lost_share = faults.lost_share;
        let spared = self.hosts.iter().position(|host| host.is_watching);
        let spared = spared.filter(|_| faults.keep_one_watcher);
        for index in 0..self.hosts.len() {
            let is_chosen = self.random.f64() < faults.silent_share;
            let host = &mut self.hosts[index];
            let in_centre = faults.silent_centre && index % DATA_CENTRES == 0;
            let is_watcher = faults.silence_watchers && host.is_watching;
            host.is_silent |= (is_chosen || in_centre || is_watcher) && spared != Some(index);
        }
        for index in 0..self.hosts.len() {
            if self.random.f64() < faults.restart_share {
                self.restart(index);
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let hosts = spread_hosts(self.hosts.len());
        let preceding = self.hosts[index].preceding.clone();
        let mut host = self.new_host(hosts[index].clone(), hosts, preceding);
        host.polls = self.hosts[index].polls.map(|number| number + 1);
        host.watch_number = self.hosts[index].watch_number + 1;
        self.hosts[index] = host;
        self.start_host(index);
    }

    /// Publishes a configuration and returns the times after which hosts knew it;
    /// a host that does not know it within `limit` counts with that time.
    pub fn publish_and_measure(&mut self, limit: Duration) -> Vec<Duration> {
        self.version += 1;
        let published_at = self.now;
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.is_watching && !host.is_silent {
                self.schedule_store_answer(index, Duration::from_millis(2));
            }
        }
        let mut times = vec![limit; self.hosts.len()];
        while self.now < published_at + limit {
            self.step(published_at + limit);
            for (time, host) in times.iter_mut().zip(&self.hosts) {
                if host.version == self.version {
                    *time = (*time).min(self.now.saturating_sub(published_at));
                }
            }
        }
        times
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step(until);
        }
    }

    fn step(&mut self, until: Duration) {
        match self.events.peek() {
            Some(Reverse((at, _, _))) if *at <= until => {}
            _ => {
                self.now = until;
                return;
            }
        }
        let Some(Reverse((at, _, event))) = self.events.pop() else {
            return;
        };
        self.now = at;
        self.handle(event);
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Decide(host) => self.decide(host),
            FleetEvent::Poll(host, feed, number) => self.poll(host, feed, number),
            FleetEvent::Asked(asker, feed, number, target) => {
                self.receive_poll(asker, feed, number, target);
            }
            FleetEvent::WaitOver(asker, feed, number, target) => {
                let waiting = &self.hosts[target].waiting;
                let is_waiting = |poll: &WaitingPoll| {
                    (poll.asker, poll.feed, poll.number) == (asker, feed, number)
                };
                if waiting.iter().any(is_waiting) {
                    self.hosts[target].waiting.retain(|poll| !is_waiting(poll));
                    self.answer(asker, feed, number, target);
                }
            }
            FleetEvent::Answered(asker, feed, number, version, from) => {
                self.receive_answer(asker, feed, number, version, from);
            }
            FleetEvent::PollTimeout(host, feed, number) => {
                if self.hosts[host].polls[feed] == number {
                    self.hosts[host].polls[feed] += 1;
                    self.hosts[host].attempts[feed] += 1;
                    self.schedule(self.now, FleetEvent::Poll(host, feed, number + 1));
                }
            }
            FleetEvent::StoreAnswered(host, number, _) => self.store_answered(host, number),
            FleetEvent::WatchOver(host, number) => {
                if self.hosts[host].watch_number == number {
                    self.hosts[host].watch_number += 1;
                    self.watch(host);
                }
            }
        }
    }

    fn decide(&mut self, index: usize) {
        let now = self.instant();
        let should_watch = match self.rule {
            SpreadRule::Feeds => self.hosts[index].spread.should_watch(now),
            SpreadRule::SerialPolls => {
                let host = &self.hosts[index];
                let step = u32::try_from(host.preceding.len() / 3).unwrap().min(4);
                let delay = SERIAL_STEP * step;
                let since = host.no_upstream_since;
                host.preceding.is_empty() || since.is_some_and(|since| self.now >= since + delay)
            }
        };
        let host = &mut self.hosts[index];
        let starts = should_watch && !host.is_watching;
        host.is_watching = should_watch;
        if starts {
            host.watch_number += 1;
            self.watch(index);
        }
        self.schedule(self.now + ROUND, FleetEvent::Decide(index));
    }

    /// Starts a watch call of a host.
    fn watch(&mut self, index: usize) {
        let host = &self.hosts[index];
        if !host.is_watching {
            return;
        }
        let (number, is_silent, has_version) = (host.watch_number, host.is_silent, host.version);
        self.watch_calls += 1;
        let timeout = self.now + WATCH_TIMEOUT;
        self.schedule(timeout, FleetEvent::WatchOver(index, number));
        if !is_silent {
            let is_behind = has_version < self.version;
            let wait = if is_behind {
                Duration::ZERO
            } else {
                WATCH_WAIT
            };
            self.schedule_store_answer(index, wait + Duration::from_millis(4));
        }
    }

    fn schedule_store_answer(&mut self, index: usize, wait: Duration) {
        let number = self.hosts[index].watch_number;
        let at = self.now + wait + self.handling_time();
        self.schedule(at, FleetEvent::StoreAnswered(index, number, wait));
    }

    fn store_answered(&mut self, index: usize, number: u64) {
        let host = &mut self.hosts[index];
        if host.watch_number != number || host.is_silent || !host.is_watching {
            return;
        }
        host.watch_number += 1;
        host.version = self.version;
        host.answered_at = Some(self.now);
        let now = self.start + self.now;
        host.spread.record_own_answer(now);
        self.answer_waiting(index);
        self.watch(index);
    }

    fn poll(&mut self, index: usize, feed: usize, number: u64) {
        if self.hosts[index].polls[feed] != number {
            return;
        }
        let Some(target) = self.chosen_host(index, feed) else {
            self.schedule(self.now + ROUND, FleetEvent::Poll(index, feed, number));
            return;
        };
        let timeout = self.now + self.poll_wait(feed) + POLL_SLACK;
        self.schedule(timeout, FleetEvent::PollTimeout(index, feed, number));
        self.send(
            index,
            target,
            FleetEvent::Asked(index, feed, number, target),
        );
    }

    fn poll_wait(&self, feed: usize) -> Duration {
        match self.rule {
            SpreadRule::SerialPolls => SERIAL_WAIT,
            SpreadRule::Feeds => FeedKind::ALL[feed].longest_wait(),
        }
    }

    fn chosen_host(&mut self, index: usize, feed: usize) -> Option<usize> {
        let host = &self.hosts[index];
        let attempt = host.attempts[feed];
        match self.rule {
            SpreadRule::Feeds => {
                let addresses = host.spread.feed_addresses(FeedKind::ALL[feed]);
                let chosen = addresses.get(attempt % addresses.len().max(1))?;
                Some(index_of(chosen))
            }
            SpreadRule::SerialPolls => {
                let preceding = host.preceding.clone();
                let upstreams = preceding.len().min(3);
                let random_hosts = if self.is_current(index) {
                    0
                } else {
                    SERIAL_RANDOM_HOSTS
                };
                let step = attempt.checked_rem(upstreams + random_hosts)?;
                if step < upstreams.min(2) {
                    Some(preceding[step])
                } else if step < upstreams {
                    Some(preceding[self.random.usize(..preceding.len())])
                } else {
                    Some(self.random.usize(..self.hosts.len()))
                }
            }
        }
    }

    fn receive_poll(&mut self, asker: usize, feed: usize, number: u64, target: usize) {
        let now = self.instant();
        let version = self.hosts[asker].version;
        let source_ages = self.hosts[asker].spread.source_ages(now);
        self.hosts[target].waiting.push(WaitingPoll {
            asker,
            feed,
            number,
            version,
            source_ages,
            asked_at: self.now,
        });
        let over = FleetEvent::WaitOver(asker, feed, number, target);
        self.schedule(self.now + self.poll_wait(feed), over);
        self.answer_waiting(target);
    }

    /// Answers the waiting polls for which a host has news.
    fn answer_waiting(&mut self, index: usize) {
        let own_ages = self.hosts[index].spread.source_ages(self.instant());
        let now = self.now;
        let is_current = self.is_current(index);
        let is_serial = self.rule == SpreadRule::SerialPolls;
        let host = &mut self.hosts[index];
        let version = host.version;
        let mut due = Vec::new();
        host.waiting.retain(|poll| {
            let is_news = version > poll.version
                || (is_serial && !is_current)
                || (!is_serial
                    && FeedKind::ALL[poll.feed].brings_state()
                    && is_source_news(
                        own_ages,
                        poll.source_ages,
                        now.saturating_sub(poll.asked_at),
                    ));
            if is_news {
                due.push((poll.asker, poll.feed, poll.number));
            }
            !is_news
        });
        for (asker, feed, number) in due {
            self.answer(asker, feed, number, index);
        }
    }

    fn is_current(&self, index: usize) -> bool {
        let answered_at = self.hosts[index].answered_at;
        answered_at.is_some_and(|at| self.now.saturating_sub(at) < SERIAL_OVERDUE)
    }

    fn answer(&mut self, asker: usize, feed: usize, number: u64, from: usize) {
        let version = self.hosts[from].version;
        let event = FleetEvent::Answered(asker, feed, number, version, from);
        self.send(from, asker, event);
    }

    fn receive_answer(
        &mut self,
        asker: usize,
        feed: usize,
        number: u64,
        version: u64,
        from: usize,
    ) {
        if self.hosts[asker].polls[feed] != number {
            return;
        }
        let now = self.instant();
        let is_current = self.is_current(from);
        let sources = self.hosts[from].spread.sources(now);
        let host = &mut self.hosts[asker];
        host.polls[feed] += 1;
        let mut next_at = self.now + Duration::from_millis(30);
        match self.rule {
            SpreadRule::Feeds => {
                host.version = host.version.max(version);
                host.spread.add_sources(now, &sources);
            }
            SpreadRule::SerialPolls if is_current => {
                host.version = host.version.max(version);
                host.no_upstream_since = None;
                host.attempts[feed] = 0;
            }
            SpreadRule::SerialPolls => {
                host.attempts[feed] += 1;
                let upstreams = host.preceding.len().min(3);
                let round = upstreams + SERIAL_RANDOM_HOSTS;
                if host.attempts[feed] % round >= upstreams {
                    host.no_upstream_since.get_or_insert(self.now);
                }
                if host.attempts[feed].is_multiple_of(round) {
                    next_at = self.now + ROUND;
                }
            }
        }
        self.schedule(next_at, FleetEvent::Poll(asker, feed, number + 1));
        self.answer_waiting(asker);
    }

    fn handling_time(&mut self) -> Duration {
        HANDLING_TIME_MAX.mul_f64(self.random.f64())
    }

    fn send(&mut self, from: usize, to: usize, event: FleetEvent) {
        self.messages += 1;
        if self.random.f64() < self.lost_share {
            return;
        }
        let latency = if from % REGIONS == to % REGIONS {
            NEAR_LATENCY
        } else {
            FAR_LATENCY
        };
        let at = self.now + latency + self.handling_time();
        self.schedule(at, event);
    }
}
