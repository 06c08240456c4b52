//! Changes of primary.
//!
//! What must be exclusive is the term. A change first reserves it in the store,
//! which also gives the fence number. Then nobody may use the old primary any
//! more: it steps down, or every holder of the term has given it up, is proved
//! to have ended, or has let its lease run out. Only then is the instance with
//! the newest log promoted.
//!
//! A host that the store does not let reserve the term hands its turn to the
//! next one in line and goes on trying: whoever is first, one reservation stands.

pub mod candidate;
pub mod reach;
mod turn;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use fulmarrill_link::LinkError;
use fulmarrill_position::{LogPoint, Term};
use futures_util::future::join_all;
use smol::Timer;

use crate::catalogue::{HostEntry, InstanceEntry, InstanceId, ObjectVersion, RunName, TermRecord};
use crate::change::candidate::{ChangeCandidate, choose_candidate};
use crate::change::reach::is_reached_by_others;
use crate::change::turn::hand_change;
use crate::clock::BootTime;
use crate::codec::{DatabaseCommand, DatabaseRole, DatabaseStatus};
use crate::context::SharedContext;
use crate::control::plan::{ChangeReason, HOLDERS_AHEAD};
use crate::control::{ControlEvent, LEASE_TIME};
use crate::peers::ProxyCall;
use crate::peers::ProxyReply;
use crate::port::{ControlPort, PromoteOrder, PromoteOutcome};
use crate::relay::line::tell_heads;
use crate::server::{ControlMessage, ControlSender, release_term};
use crate::view::TrafficView;

/// Longest time that a change may take from its reservation until its last
/// order: the wait for a lease, and some seconds for the rest.
pub const CHANGE_LIMIT: Duration = Duration::from_secs(18);
/// Added to the wait for a lease, for clocks that do not run alike.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Time for writing a record, a lost answer included.
const WRITE_TIME: Duration = Duration::from_secs(3);
/// Versions of a record that are tried: hosts that join its holders come one at a
/// time, and at most a few within the time of a write.
const RESERVE_TRIES: usize = 4;
/// Time for one question to a host or an instance.
const ASK_TIME: Duration = Duration::from_millis(500);
/// Time between two rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(60);
/// Time for a replica to receive what a primary that stepped down has.
const CATCH_UP_TIME: Duration = Duration::from_millis(1500);
/// Time after an order within which the instance must lead; the platform needs
/// up to a second.
const PROMOTE_TIME: Duration = Duration::from_millis(2500);

/// A change under way.
struct PrimaryChange<'a> {
    context: &'a SharedContext,
    port: &'a ControlPort,
    control: &'a ControlSender,
    record: TermRecord,
    version: ObjectVersion,
    begun_at: BootTime,
}

/// Replaces the primary of a record, if it still has `version`. Returns once
/// another instance leads, or when somebody else does it, or it cannot be done.
pub async fn change_primary(
    context: &SharedContext,
    port: &ControlPort,
    control: &ControlSender,
    database: &str,
    version: ObjectVersion,
    reason: ChangeReason,
) {
    let view = context.view.load();
    let Some(term) = view.terms.get(database).filter(|t| t.version == version) else {
        return;
    };
    let record = &term.record;
    if matches!(reason, ChangeReason::Down | ChangeReason::Gone)
        && is_reached_by_others(context, &view, &record.primary).await
    {
        log::info!("{database}: another host reaches the primary, it stays");
        return;
    }
    log::warn!(
        "{database}: primary {} of term {} is to be replaced: {reason:?}",
        record.primary,
        record.term
    );
    let begun_at = BootTime::now();
    let Some((reserved, version)) = reserve(context, port, record.clone(), version).await else {
        log::info!("{database}: the change is left to others");
        return;
    };
    let mut change = PrimaryChange {
        context,
        port,
        control,
        record: reserved,
        version,
        begun_at,
    };
    change.tell_record();
    match change.run().await {
        Some(primary) => log::warn!("{database}: {primary} leads term {}", change.record.term),
        None => log::error!("{database}: the primary could not be replaced"),
    }
}

/// Reserves the next change of a record. If the record was written meanwhile
/// and its term still stands, as when a host joins the holders, it is reserved as
/// it is now.
async fn reserve(
    context: &SharedContext,
    port: &ControlPort,
    mut record: TermRecord,
    mut version: ObjectVersion,
) -> Option<(TermRecord, ObjectVersion)> {
    let deadline = Instant::now() + WRITE_TIME;
    let (database, old_term) = (record.database.clone(), record.term);
    let mut has_handed = false;
    for _ in 0..RESERVE_TRIES {
        let mut reserved = record.clone();
        reserved.fence += 1;
        reserved.changed_by = Some(context.place.run.clone());
        let on_failure = || {
            if !std::mem::replace(&mut has_handed, true) {
                let handing = hand_change(context.clone(), database.clone(), old_term);
                fulmarrill_runtime::spawn(handing).detach();
            }
        };
        let reserving = port.write_settled(&reserved, version, deadline, on_failure);
        if let Some(version) = reserving.await {
            return Some((reserved, version));
        }
        let held = (port.read_term)(database.clone()).await;
        let (held, held_version) = held.flatten()?;
        let stands = held.term == old_term && held.changed_by.is_none();
        if !stands || held_version == version {
            return None;
        }
        (record, version) = (held, held_version);
    }
    None
}

impl PrimaryChange<'_> {
    fn tell_record(&self) {
        let event = ControlEvent::Term {
            as_of: self.begun_at,
            record: self.record.clone(),
            version: self.version,
        };
        // Fails only while the process ends.
        self.control.send(ControlMessage::Event(event)).ok();
        let database = self.record.database.clone();
        let telling = tell_heads(self.context.clone(), database, self.version);
        fulmarrill_runtime::spawn(telling).detach();
    }

    /// Whether the reservation still stands, so that orders may be given.
    fn is_in_time(&self) -> bool {
        BootTime::now().since(self.begun_at) < CHANGE_LIMIT
    }

    async fn run(&mut self) -> Option<InstanceId> {
        let old_term = self.record.term;
        if let Some((primary, term)) = self.find_successor(old_term).await {
            // Whoever began this change had it done and did not publish it.
            self.publish(&primary, term).await;
            return Some(primary.id);
        }
        let stepped_down = self.end_term(old_term).await;
        let floor = stepped_down.map(|status| status.received);
        while self.is_in_time() {
            let Some(chosen) = self.choose(old_term + 1, floor).await else {
                Timer::after(ROUND_INTERVAL).await;
                continue;
            };
            if let Some(term) = self.promote(&chosen, old_term).await {
                self.publish(&chosen, term).await;
                return Some(chosen.id.clone());
            }
        }
        None
    }

    /// An instance that leads a later term already.
    async fn find_successor(&self, old_term: Term) -> Option<(InstanceEntry, Term)> {
        let view = self.context.view.load();
        for instance in view.members(&self.record.database) {
            if instance.id == self.record.primary || instance.role != DatabaseRole::Primary {
                continue;
            }
            if let Some(status) = self.command(instance, DatabaseCommand::Status).await
                && status.role == DatabaseRole::Primary
                && status.term > old_term
            {
                return Some((instance.clone(), status.term));
            }
        }
        None
    }

    async fn command(
        &self,
        instance: &InstanceEntry,
        command: DatabaseCommand,
    ) -> Option<DatabaseStatus> {
        let view = self.context.view.load();
        let owner = self.context.owners.owner(&view, instance);
        let deadline = Instant::now() + ASK_TIME;
        let (_, answer) = owner.run_command(command, deadline).await?;
        self.context.owners.read_status(&answer)
    }

    /// Whether this host failed to reach the old primary a moment ago.
    fn is_out_of_reach(&self) -> bool {
        let view = self.context.view.load();
        let Some(instance) = view.instances.get(&self.record.primary) else {
            return true;
        };
        let owner = self.context.owners.owner(&view, instance);
        owner.monitor().health().is_failing()
    }

    /// Ends the term at the old primary itself, if it can be reached.
    async fn step_down(&self, term: Term) -> Option<DatabaseStatus> {
        let view = self.context.view.load();
        let instance = view.instances.get(&self.record.primary)?;
        let status = self
            .command(instance, DatabaseCommand::StepDown(term))
            .await?;
        (status.role == DatabaseRole::Replica).then_some(status)
    }

    /// Waits until nobody can use the old primary any more. Returns its status
    /// if it stepped down, which ends the term whoever holds it.
    async fn end_term(&self, term: Term) -> Option<DatabaseStatus> {
        let database = &self.record.database;
        let mut holding: BTreeSet<RunName> = self.record.holders.iter().cloned().collect();
        let lapsed_at = BootTime::now().after(LEASE_TIME + LEASE_MARGIN);
        // One that does not answer would hold the holders' answers up.
        let mut asks_primary = !self.is_out_of_reach();
        loop {
            if asks_primary && let Some(status) = self.step_down(term + 1).await {
                log::info!("{database}: stepped down at {}", status.received);
                return Some(status);
            }
            asks_primary = true;
            holding = self.still_holding(holding, term).await;
            if holding.is_empty() || BootTime::now() >= lapsed_at {
                break;
            }
            Timer::after(ROUND_INTERVAL).await;
        }
        log::info!(
            "{database}: term {term} has ended, leases waited for: {}",
            holding.len()
        );
        None
    }

    /// Those of some runs that have neither given the term up nor ended, all
    /// asked at the same time.
    async fn still_holding(&self, holding: BTreeSet<RunName>, term: Term) -> BTreeSet<RunName> {
        let asking = holding.into_iter().map(|run| async move {
            let given_up = self.has_given_up(&run, term).await;
            (!given_up).then_some(run)
        });
        join_all(asking).await.into_iter().flatten().collect()
    }

    /// Whether a run has given the term up, or has ended.
    async fn has_given_up(&self, run: &RunName, term: Term) -> bool {
        let database = self.record.database.clone();
        if *run == self.context.place.run {
            release_term(self.control, database, term, run.clone()).await;
            return true;
        }
        let view = self.context.view.load();
        let Some(host) = host_of(&view, run) else {
            return false;
        };
        if host.run != *run {
            // The host has started again since.
            return true;
        }
        let call = ProxyCall::Release {
            database,
            term,
            run: run.clone(),
        };
        let deadline = Instant::now() + ASK_TIME;
        match self.context.peers.call(&host.address, call, deadline).await {
            Ok(ProxyReply::Released) | Err(LinkError::ConnectionRefused(_)) => true,
            Ok(_) | Err(_) => false,
        }
    }

    /// The instance with the newest log, all of them asked and held.
    async fn choose(&self, term: Term, floor: Option<LogPoint>) -> Option<InstanceEntry> {
        let until = Instant::now() + CATCH_UP_TIME;
        loop {
            let view = self.context.view.load();
            let others = view
                .members(&self.record.database)
                .filter(|instance| !instance.leaving && instance.id != self.record.primary);
            let asking = others.map(|instance| async move {
                // A replica that still receives from a primary which stepped
                // down must not be stopped before it has everything.
                let command = match floor {
                    Some(_) => DatabaseCommand::Status,
                    None => DatabaseCommand::Pause(term),
                };
                let status = self.command(instance, command).await?;
                Some(ChangeCandidate { instance, status })
            });
            let answers = join_all(asking).await;
            let candidates: Vec<ChangeCandidate> = answers.into_iter().flatten().collect();
            let chosen = choose_candidate(&candidates)?;
            let complete = floor.is_none_or(|floor| chosen.status.received >= floor);
            if complete || Instant::now() >= until {
                return Some(chosen.instance.clone());
            }
            Timer::after(ROUND_INTERVAL / 3).await;
        }
    }

    /// Orders a promotion and waits until the instance leads. Returns its term.
    async fn promote(&self, chosen: &InstanceEntry, old_term: Term) -> Option<Term> {
        let order = PromoteOrder {
            database: self.record.database.clone(),
            instance: chosen.id.clone(),
            holder: self.context.place.host.clone(),
            fence: self.record.fence,
        };
        if !self.is_in_time() {
            return None;
        }
        let outcome = (self.port.promote)(order).await;
        log::info!(
            "{}: order to promote {}: {outcome:?}",
            self.record.database,
            chosen.id
        );
        if outcome == PromoteOutcome::Refused {
            return None;
        }
        let until = Instant::now() + PROMOTE_TIME;
        while Instant::now() < until {
            if let Some(status) = self.command(chosen, DatabaseCommand::Status).await
                && status.role == DatabaseRole::Primary
                && status.term > old_term
            {
                return Some(status.term);
            }
            Timer::after(ROUND_INTERVAL).await;
        }
        None
    }

    /// Puts the new term in force.
    async fn publish(&mut self, chosen: &InstanceEntry, term: Term) {
        let view = self.context.view.load();
        let region = self.context.region_of(&chosen.data_centre);
        let mut holders = Vec::new();
        for host in view
            .owners_of(chosen, region)
            .into_iter()
            .take(HOLDERS_AHEAD)
        {
            holders.push(host.run.clone());
        }
        self.record.term = term;
        self.record.primary.clone_from(&chosen.id);
        self.record.holders = holders;
        self.record.changed_by = None;
        let as_of = BootTime::now();
        let deadline = Instant::now() + CHANGE_LIMIT;
        let written = self
            .port
            .write_settled(&self.record, self.version, deadline, || ())
            .await;
        if let Some(version) = written {
            self.version = version;
            self.begun_at = as_of;
            self.tell_record();
        }
    }
}

/// The host of a run, by the name that the run was made from.
fn host_of<'a>(view: &'a TrafficView, run: &str) -> Option<&'a HostEntry> {
    let (name, _) = run.rsplit_once('~')?;
    view.host(name)
}
