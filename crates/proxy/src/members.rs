//! Finds out which other hosts are still there.
//!
//! `fulmarrill-membership` decides whom to probe and who is lost; this module carries its
//! messages. What a host receives from others anyway counts as hearing them, so a busy fleet
//! needs few probes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use fulmarrill_membership::{MemberMonitor, MemberPlace, WatchedMember, watch_place};
use fulmarrill_spread::UNREAD_DIGEST;
use futures_util::future::join_all;

use crate::catalogue::{HostEntry, HostName, RunName};
use crate::context::SharedContext;
use crate::peers::{ProxyCall, ProxyReply};
use crate::view::TrafficView;

/// Time between two rounds of [`MemberWatch::round`].
pub const MEMBER_ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a probe, and of the question to other hosts whether they reach one.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of a probe on behalf of another host; it fits into [`PROBE_TIMEOUT`].
const RELAYED_PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a host that was heard need not be probed on behalf of another one.
const HEARD_TIME: Duration = Duration::from_secs(1);
/// Hosts that are asked whether they reach one that does not answer.
const HELPERS: usize = 3;

/// Outcome of a probe: the probed run, and what was learnt.
type ProbeOutcome = (RunName, ProbeResult);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    /// It answered.
    Answered,
    /// It did not, but another host reaches it.
    ReachedByOthers,
    /// Neither.
    Missed,
}

/// The hosts that this one watches.
#[derive(Debug)]
pub struct MemberWatch {
    monitor: MemberMonitor,
    /// Digest of the list of hosts from which `watched` was computed.
    digest: u64,
    watched: BTreeMap<RunName, HostEntry>,
    outcomes: (Sender<ProbeOutcome>, Receiver<ProbeOutcome>),
}

impl Default for MemberWatch {
    fn default() -> Self {
        Self {
            monitor: MemberMonitor::new(),
            digest: UNREAD_DIGEST,
            watched: BTreeMap::new(),
            outcomes: async_channel::unbounded(),
        }
    }
}

impl MemberWatch {
    /// Takes note of what was heard, starts the probes that are due, and returns the entries of
    /// the hosts that are lost.
    pub fn round(&mut self, context: &SharedContext) -> Vec<HostEntry> {
        let view = context.view.load();
        let now = Instant::now();
        if view.versions.hosts.digest != self.digest {
            self.digest = view.versions.hosts.digest;
            self.follow(context, &view, now);
        }
        while let Ok((run, result)) = self.outcomes.1.try_recv() {
            match result {
                ProbeResult::Answered => self.monitor.record_heard(now, &run),
                ProbeResult::ReachedByOthers => self.monitor.record_miss(now, &run, true),
                ProbeResult::Missed => self.monitor.record_miss(now, &run, false),
            }
        }
        for (run, entry) in &self.watched {
            // An address may have been taken over by another host.
            let mut others = self.watched.values();
            let is_shared = others.any(|o| o.address == entry.address && o.name != entry.name);
            if let Some(heard_at) = context.peers.heard_at(&entry.address)
                && !is_shared
            {
                self.monitor.record_heard(heard_at, run);
            }
        }
        for run in self.monitor.due_probes(now) {
            let Some(target) = self.watched.get(&run) else {
                continue;
            };
            let probing = probe(
                context.clone(),
                target.clone(),
                self.helpers(context, target),
            );
            let outcomes = self.outcomes.0.clone();
            fulmarrill_runtime::spawn(async move {
                let result = probing.await;
                // Fails only once the watch has ended.
                outcomes.try_send((run, result)).ok();
            })
            .detach();
        }
        let lost = self.monitor.lost(now).into_iter();
        lost.filter_map(|run| self.watched.get(&run).cloned())
            .collect()
    }

    /// Takes over a list of hosts.
    fn follow(&mut self, context: &SharedContext, view: &TrafficView, now: Instant) {
        let own = MemberPlace {
            name: &context.place.host,
            data_centre: &context.place.data_centre,
        };
        let members = || view.hosts.values().map(place_of);
        let mut watched = Vec::new();
        self.watched.clear();
        for entry in view.listed_hosts.iter() {
            if let Some(place) = watch_place(place_of(entry), own, members()) {
                watched.push(WatchedMember::new(&entry.run, place).with_mark(entry.leaving));
                self.watched.insert(entry.run.clone(), entry.clone());
            }
        }
        self.monitor.set_members(now, watched);
        let addresses: BTreeSet<_> = view.listed_hosts.iter().map(|host| &host.address).collect();
        let is_listed = |address: &_| addresses.contains(address);
        context.peers.retain_heard(is_listed);
    }

    /// Other hosts that were heard lately, some at random.
    fn helpers(&self, context: &SharedContext, target: &HostEntry) -> Vec<HostEntry> {
        let now = Instant::now();
        let is_heard = |entry: &&HostEntry| {
            let heard_at = context.peers.heard_at(&entry.address);
            let age = heard_at.map(|at| now.saturating_duration_since(at));
            entry.name != target.name && age.is_some_and(|age| age < HEARD_TIME * 2)
        };
        let mut helpers: Vec<HostEntry> = self.watched.values().filter(is_heard).cloned().collect();
        fastrand::shuffle(&mut helpers);
        helpers.truncate(HELPERS);
        helpers
    }
}

fn place_of(entry: &HostEntry) -> MemberPlace<'_> {
    MemberPlace {
        name: &entry.name,
        data_centre: &entry.data_centre,
    }
}

/// Probes a host, and asks others if it does not answer.
async fn probe(context: SharedContext, target: HostEntry, helpers: Vec<HostEntry>) -> ProbeResult {
    if call_probe(&context, &target, &target.name, PROBE_TIMEOUT).await {
        return ProbeResult::Answered;
    }
    let asking = helpers
        .iter()
        .map(|helper| call_probe(&context, helper, &target.name, PROBE_TIMEOUT));
    if join_all(asking).await.contains(&true) {
        return ProbeResult::ReachedByOthers;
    }
    ProbeResult::Missed
}

async fn call_probe(
    context: &SharedContext,
    host: &HostEntry,
    probed: &HostName,
    timeout: Duration,
) -> bool {
    let deadline = Instant::now() + timeout;
    let call = ProxyCall::Probe(probed.clone());
    let reply = context.peers.call(&host.address, call, deadline).await;
    matches!(reply, Ok(ProxyReply::Reaches(true)))
}

/// Whether this host is `name`, or reaches the host of that name.
pub async fn reaches_host(context: &SharedContext, name: &HostName) -> bool {
    if *name == context.place.host {
        return true;
    }
    let view = context.view.load();
    let Some(host) = view.host(name) else {
        return false;
    };
    if host.address == context.place.address {
        return false;
    }
    let heard_at = context.peers.heard_at(&host.address);
    if heard_at.is_some_and(|at| at.elapsed() < HEARD_TIME) {
        return true;
    }
    // Boxed, since the called host may be asked in turn.
    Box::pin(call_probe(context, host, name, RELAYED_PROBE_TIMEOUT)).await
}
