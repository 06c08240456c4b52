//! Changes of primary.
//!
//! The term is the exclusive resource. A change first reserves the term record
//! in the store, which also yields the fencing token. It then waits until
//! no host can use the old primary: the primary has stepped down, or every
//! holder of the term has released it, has provably ended, or can no longer have
//! a valid lease. Only then is the instance with the newest log promoted. While hosts may
//! have leases of an earlier era of the store of which this host knows nothing, only a
//! primary that leads its term when it is told to step down ends it sooner.
//!
//! Each order to promote has a fencing token of its own, and no instance is ordered while an
//! order for another one may still take effect (see [`orders`]). If one takes effect all the
//! same, the instance that the record names no longer leads; a change then publishes the one
//! that does.
//!
//! A host that cannot reserve a change in the store hands the change over to the
//! next host in the election order and keeps trying. Conditional writes let only
//! one reservation succeed.

pub mod candidate;
mod choose;
pub mod copies;
mod forget;
mod handover;
pub mod orders;
pub mod reach;

pub use crate::change::forget::forget_copies;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use fulmarrill_position::Term;
use futures_util::future::join_all;
use smol::Timer;

use crate::catalogue::{HostEntry, InstanceEntry, InstanceId, ObjectVersion, RunName, TermRecord};
use crate::change::copies::copies_of_next_term;
use crate::change::handover::hand_over_change;
use crate::change::orders::{OrderLog, OrderStep};
use crate::change::reach::is_reachable_from_others;
use crate::clock::BootTime;
use crate::codec::{DatabaseCommand, DatabaseRole, DatabaseStatus, ErrorKind};
use crate::context::SharedContext;
use crate::control::plan::{ChangeReason, PREFERRED_HOLDERS};
use crate::control::{ControlEvent, LEASE_TIME};
use crate::peers::ProxyCall;
use crate::peers::ProxyReply;
use crate::port::{ControlPort, PromoteOrder, PromoteOutcome};
use crate::relay::notice::notify_term_written;
use crate::server::{ControlMessage, ControlSender, release_term};
use crate::view::TrafficView;

/// Longest time from the start of a change until its last promotion order: the
/// wait for a lease, and some seconds for the other steps.
pub const CHANGE_TIMEOUT: Duration = Duration::from_secs(18);
/// Added to the wait for a lease, since clocks of hosts may run at different rates.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Timeout of a reservation, lost answers included.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Versions of a record that a reservation tries. Hosts that join the holders
/// change the version one at a time, a few at most within the timeout.
const RESERVE_ATTEMPTS: usize = 4;
/// Timeout of one request to a host or an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two rounds of requests.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two requests to an instance that has no slot free.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for a replica to receive the log of a primary that stepped down, and for a
/// primary without a free slot to step down after all hosts have released its term.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after the start of a call to the store that showed the reservation, within which
/// an order may be sent. With the time of an order it is shorter than
/// [`crate::control::QUIET_TIME`], so that no order of a reservation that the store has
/// lost arrives after the term is in use again, or after an order of a later era.
const ORDER_TIME: Duration = Duration::from_millis(1500);
/// Time between two attempts to read a reservation.
const RESERVATION_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Bits of a fencing token that count the changes within an era of the store; the bits
/// above them are the era. So no two eras have a token in common.
const ERA_FENCE_BITS: u32 = 20;

/// Answer of an instance to a command of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommandAnswer {
    /// Its status after the command.
    Status(DatabaseStatus),
    /// It has no slot free and did nothing.
    Busy,
    /// No answer came, or none that can be used.
    Nothing,
}

impl CommandAnswer {
    fn status(self) -> Option<DatabaseStatus> {
        match self {
            Self::Status(status) => Some(status),
            Self::Busy | Self::Nothing => None,
        }
    }
}

/// What [`change_primary`] is to do.
#[derive(Debug, Clone, Copy)]
pub struct RequestedChange {
    /// Version of the term record for which the reason was found.
    pub version: ObjectVersion,
    /// The reason.
    pub reason: ChangeReason,
    /// See [`crate::control::plan::ControlAction::ChangePrimary`].
    pub unsettled_until: Option<Instant>,
}

/// A change in progress, with the record as this host wrote it last.
struct PrimaryChange<'a> {
    context: &'a SharedContext,
    port: &'a ControlPort,
    control: &'a ControlSender,
    record: TermRecord,
    version: ObjectVersion,
    begun_at: BootTime,
    /// Start of the last call to the store that showed the reservation; none once it has
    /// shown that the reservation is lost.
    shown_at: Option<BootTime>,
    /// Whether the change continues one that ended the term, so that an instance that leads
    /// a later term is published at once.
    continues_change: bool,
    /// Whether an instance that leads a later term is published once the present term has
    /// ended. Not before the term is settled: that term may have holders that its record
    /// would not name.
    adopts_leader: bool,
    /// Until when hosts may hold terms or leases of an earlier era of the store of which
    /// this host knows nothing.
    unsettled_until: Option<Instant>,
}

/// Replaces the primary of a database, if its term record still has `version`.
/// Returns once another instance leads, once the change is left to another host,
/// or when it has failed.
pub async fn change_primary(
    context: &SharedContext,
    port: &ControlPort,
    control: &ControlSender,
    database: &str,
    requested: RequestedChange,
) {
    let RequestedChange {
        version,
        reason,
        unsettled_until,
    } = requested;
    let view = context.view.load();
    let Some(term) = view.terms.get(database).filter(|t| t.version == version) else {
        return;
    };
    let record = &term.record;
    if matches!(reason, ChangeReason::Down | ChangeReason::Gone)
        && is_reachable_from_others(context, &view, &record.primary).await
    {
        log::info!("{database}: another host reaches the primary, it is not replaced");
        return;
    }
    if reason == ChangeReason::Superseded && !is_superseded(context, &view, record).await {
        return;
    }
    log::warn!(
        "{database}: primary {} of term {} is to be replaced: {reason:?}",
        record.primary,
        record.term
    );
    let begun_at = BootTime::now();
    let is_lost = reason == ChangeReason::Unconfirmed;
    let mut record = record.clone();
    if is_lost {
        // Leases of earlier eras have expired.
        record.holders.clear();
        if let Some(displacing) = &term.displacing {
            record.add_displaced(displacing);
        }
    }
    record.is_settled = !is_lost && unsettled_until.is_none() && view.versions.era > 0;
    let continues_change = unsettled_until.is_none() && reason == ChangeReason::Abandoned;
    let adopts_leader = unsettled_until.is_none() && !is_lost;
    let reserving = reserve_change(context, port, record, term.stored);
    let Some((reserved, version)) = reserving.await else {
        log::info!("{database}: the change of primary was not reserved, it is left to other hosts");
        return;
    };
    let mut change = PrimaryChange {
        context,
        port,
        control,
        record: reserved,
        version,
        begun_at,
        shown_at: Some(begun_at),
        continues_change,
        adopts_leader,
        unsettled_until,
    };
    change.announce_record();
    match change.run().await {
        Some(primary) => log::warn!("{database}: {primary} leads term {}", change.record.term),
        None => log::error!("{database}: the primary was not replaced in time"),
    }
}

/// Whether the instance that a record names no longer leads its term: it reports to be a
/// replica, or another instance reports to lead a later term. Lists may be behind, so the
/// instances are asked.
async fn is_superseded(context: &SharedContext, view: &TrafficView, record: &TermRecord) -> bool {
    let asking = view.instances_of(&record.database).map(|instance| async {
        let owner = context.owners.owner(view, instance);
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let (_, answer) = owner.run_command(DatabaseCommand::Status, deadline).await?;
        let status = context.owners.read_status(&answer)?;
        Some(if instance.id == record.primary {
            status.role == DatabaseRole::Replica
        } else {
            status.role == DatabaseRole::Primary && status.term > record.term
        })
    });
    join_all(asking).await.contains(&Some(true))
}

/// Reserves a change of a record. If another host has written the record
/// meanwhile and its term is unchanged, as when that host joined the holders,
/// tries again with the new record.
async fn reserve_change(
    context: &SharedContext,
    port: &ControlPort,
    mut record: TermRecord,
    mut version: ObjectVersion,
) -> Option<(TermRecord, ObjectVersion)> {
    let deadline = Instant::now() + RESERVE_TIMEOUT;
    let (database, old_term) = (record.database.clone(), record.term);
    let era = version.era;
    let mut has_handed_over = false;
    for _ in 0..RESERVE_ATTEMPTS {
        let mut reserved = record.clone();
        reserved.fence = next_fence(reserved.fence, era);
        reserved.era = era;
        reserved.changed_by = Some(context.place.run.clone());
        let on_failure = || {
            if !std::mem::replace(&mut has_handed_over, true) {
                let handing_over = hand_over_change(context.clone(), database.clone(), old_term);
                fulmarrill_runtime::spawn(handing_over).detach();
            }
        };
        let reserving = port.write_confirmed(&reserved, version, deadline, on_failure);
        if let Some(version) = reserving.await {
            // A reservation that an older copy still shows counts for nobody else.
            return (version.era == era).then_some((reserved, version));
        }
        let held = (port.read_term)(database.clone()).await;
        let (held, held_version) = held.flatten()?;
        if held_version.era != era || held_version == version {
            return None;
        }
        if (held.term, held.fence) < (record.term, record.fence) {
            // The store has lost what this host knows, and shows an older record.
            if held.era == era {
                if held.changed_by.is_some() {
                    // A host that did not know this record changes the primary.
                    return None;
                }
                record.add_displaced(&held);
            }
            version = held_version;
            continue;
        }
        let is_same_primary = held.primary == record.primary;
        let is_reservable = held.term == old_term && is_same_primary && held.changed_by.is_none();
        if !is_reservable {
            return None;
        }
        (record, version) = (held, held_version);
    }
    None
}

/// The fencing token of the next reservation in an era of the store.
fn next_fence(known: u64, era: u64) -> u64 {
    known.max(era.saturating_mul(1 << ERA_FENCE_BITS)) + 1
}

impl PrimaryChange<'_> {
    fn announce_record(&self) {
        let event = ControlEvent::Term {
            as_of: self.begun_at,
            record: self.record.clone(),
            version: self.version,
        };
        // Fails only while the process ends.
        self.control.send(ControlMessage::Event(event)).ok();
        let database = self.record.database.clone();
        let announcing = notify_term_written(self.context.clone(), database, self.version);
        fulmarrill_runtime::spawn(announcing).detach();
    }

    /// Whether the change is within its timeout, so that orders may still be sent.
    fn is_in_time(&self) -> bool {
        BootTime::now().since(self.begun_at) < CHANGE_TIMEOUT
    }

    async fn run(&mut self) -> Option<InstanceId> {
        let mut old_term = self.record.term;
        let promoted = self.find_promoted_instance(old_term).await;
        if let Some((primary, term)) = &promoted
            && self.continues_change
        {
            // An earlier change promoted this instance but did not publish its term.
            self.publish_term(primary, *term).await;
            return Some(primary.id.clone());
        }
        if let Some((_, term)) = &promoted
            && !self.adopts_leader
        {
            // The store has lost the change that promoted it, and maybe later ones.
            old_term = *term;
        }
        let stepped_down = self.end_term(old_term).await;
        if self.adopts_leader
            && let Some((primary, term)) = self.find_promoted_instance(old_term).await
        {
            self.publish_term(&primary, term).await;
            return Some(primary.id);
        }
        let mut floor = stepped_down.map(|status| status.received);
        let catch_up_until = Instant::now() + CATCH_UP_TIMEOUT;
        let mut orders = OrderLog::default();
        while self.shown_at.is_some() && (self.is_in_time() || orders.is_open(Instant::now())) {
            let leading = self.leading_instance(&orders, old_term).await;
            let mut chosen = None;
            if leading.is_none() && self.is_in_time() && orders.may_order(Instant::now()) {
                let choosing = self.choose_instance(old_term + 1, &mut floor, catch_up_until);
                chosen = choosing.await;
            }
            let leader = leading.as_ref().map(|(leader, term)| (&leader.id, *term));
            let chosen_id = chosen.as_ref().map(|chosen| &chosen.id);
            match orders.next_step(Instant::now(), leader, chosen_id) {
                OrderStep::Publish(id, term) => {
                    let (primary, _) = leading?;
                    self.publish_term(&primary, term).await;
                    return Some(id);
                }
                OrderStep::Order(id) => self.order_promotion(&id, &mut orders).await,
                OrderStep::Wait if orders.is_open(Instant::now()) => {
                    Timer::after(POLL_INTERVAL).await;
                }
                OrderStep::Wait => {
                    Timer::after(BUSY_POLL_INTERVAL).await;
                }
            }
        }
        None
    }

    /// Of the instances that were ordered, the one that leads the latest term after
    /// `old_term`.
    async fn leading_instance(
        &self,
        orders: &OrderLog,
        old_term: Term,
    ) -> Option<(InstanceEntry, Term)> {
        let view = self.context.view.load();
        let asking = orders.ordered().map(|id| async {
            let instance = view.instances.get(id)?;
            let status = self.command(instance, DatabaseCommand::Status).await;
            let status = status.status()?;
            let leads = status.role == DatabaseRole::Primary && status.term > old_term;
            leads.then(|| (instance.clone(), status.term))
        });
        let answers = join_all(asking).await.into_iter().flatten();
        answers.max_by_key(|(_, term)| *term)
    }

    /// The instance that already leads the latest term after `old_term`.
    async fn find_promoted_instance(&self, old_term: Term) -> Option<(InstanceEntry, Term)> {
        let view = self.context.view.load();
        let mut promoted: Option<(InstanceEntry, Term)> = None;
        for instance in view.instances_of(&self.record.database) {
            // Only a change that had begun before can have promoted the old primary again.
            let is_asked = instance.id != self.record.primary || self.continues_change;
            if !is_asked || instance.role != DatabaseRole::Primary {
                continue;
            }
            let answer = self.command(instance, DatabaseCommand::Status).await;
            let known_term = promoted.as_ref().map_or(old_term, |(_, term)| *term);
            if let Some(status) = answer.status()
                && status.role == DatabaseRole::Primary
                && status.term > known_term
            {
                promoted = Some((instance.clone(), status.term));
            }
        }
        promoted
    }

    async fn command(&self, instance: &InstanceEntry, command: DatabaseCommand) -> CommandAnswer {
        let view = self.context.view.load();
        let owner = self.context.owners.owner(&view, instance);
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let Some((_, answer)) = owner.run_command(command, deadline).await else {
            return CommandAnswer::Nothing;
        };
        if matches!(answer.outcome, Err((ErrorKind::Busy, _))) {
            return CommandAnswer::Busy;
        }
        let status = self.context.owners.read_status(&answer);
        status.map_or(CommandAnswer::Nothing, CommandAnswer::Status)
    }

    /// Whether this host's last attempt to connect to the old primary failed, or
    /// the old primary is not known.
    fn is_primary_unreachable(&self) -> bool {
        let view = self.context.view.load();
        let Some(instance) = view.instances.get(&self.record.primary) else {
            return true;
        };
        let owner = self.context.owners.owner(&view, instance);
        owner.monitor().health().is_failing()
    }

    /// Tells the old primary to step down.
    async fn step_down(&self, term: Term) -> CommandAnswer {
        let view = self.context.view.load();
        let Some(instance) = view.instances.get(&self.record.primary) else {
            return CommandAnswer::Nothing;
        };
        self.command(instance, DatabaseCommand::StepDown(term))
            .await
    }

    /// Whether no host can hold a term or a lease of which this host knows nothing.
    fn is_settled(&self) -> bool {
        self.unsettled_until
            .is_none_or(|until| Instant::now() >= until)
    }

    /// Whether the old primary leads the term of the record; `None` if it does not tell.
    async fn leads_term(&self) -> Option<bool> {
        let view = self.context.view.load();
        let instance = view.instances.get(&self.record.primary)?;
        let status = self.command(instance, DatabaseCommand::Status).await;
        let status = status.status()?;
        Some(status.role == DatabaseRole::Primary && status.term == self.record.term)
    }

    /// Waits until no host can use the old primary. Returns its status if it
    /// stepped down, which ends the term for all holders at once.
    ///
    /// Until the term is settled only a primary that leads it is told to step down. Any
    /// other may have stepped down for a change that the store has lost, and a later term
    /// may be in use.
    async fn end_term(&self, term: Term) -> Option<DatabaseStatus> {
        let database = &self.record.database;
        let mut holding: BTreeSet<RunName> = self.record.holders.iter().cloned().collect();
        let leases_expire_at = BootTime::now().after(LEASE_TIME + LEASE_MARGIN);
        let busy_until = Instant::now() + CATCH_UP_TIMEOUT;
        // A primary that does not answer would delay the requests to the holders.
        let mut asks_primary = !self.is_primary_unreachable();
        let (mut has_led, mut has_logged) = (false, false);
        loop {
            let mut is_busy = false;
            if asks_primary && !has_led && !self.is_settled() {
                let leads = self.leads_term().await;
                has_led = leads == Some(true);
                if leads == Some(false) && !std::mem::replace(&mut has_logged, true) {
                    log::warn!(
                        "{database}: primary {} does not lead term {}, the change waits until \
                         no later term can be in use",
                        self.record.primary,
                        self.record.term
                    );
                }
            }
            if asks_primary && (has_led || self.is_settled()) {
                match self.step_down(term + 1).await {
                    CommandAnswer::Status(status) if status.role == DatabaseRole::Replica => {
                        log::info!(
                            "{database}: the old primary stepped down at {}",
                            status.received
                        );
                        return Some(status);
                    }
                    answer => is_busy = answer == CommandAnswer::Busy,
                }
            }
            asks_primary = true;
            holding = self.remaining_holders(holding, term).await;
            let is_released = holding.is_empty() && self.is_settled();
            let has_ended = is_released || BootTime::now() >= leases_expire_at;
            if !has_ended {
                Timer::after(POLL_INTERVAL).await;
                continue;
            }
            // Without new work a slot becomes free soon, and its log is complete.
            if !is_busy || Instant::now() >= busy_until {
                break;
            }
            Timer::after(BUSY_POLL_INTERVAL).await;
        }
        log::info!(
            "{database}: term {term} has ended, holders whose lease had to expire: {}",
            holding.len()
        );
        None
    }

    /// The runs in `holding` that have neither released the term nor ended. All
    /// are asked concurrently.
    async fn remaining_holders(&self, holding: BTreeSet<RunName>, term: Term) -> BTreeSet<RunName> {
        let asking = holding.into_iter().map(|run| async move {
            let no_longer_holds = self.no_longer_holds(&run, term).await;
            (!no_longer_holds).then_some(run)
        });
        join_all(asking).await.into_iter().flatten().collect()
    }

    /// Whether a run has released the term or has ended.
    async fn no_longer_holds(&self, run: &RunName, term: Term) -> bool {
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
            // The host has restarted since.
            return true;
        }
        let call = ProxyCall::Release {
            database,
            term,
            run: run.clone(),
        };
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        // A refused connection proves nothing: a partition may refuse it as well as the
        // host of a process that has ended. One that starts again answers for its
        // earlier runs.
        let reply = self.context.peers.call(&host.address, call, deadline).await;
        matches!(reply, Ok(ProxyReply::Released))
    }

    /// Whether the store has shown the reservation within [`ORDER_TIME`]. Asks it again if
    /// that is longer ago. A store that names no era does not lose reservations.
    async fn is_reservation_shown(&mut self) -> bool {
        let known_era = &self.context.era;
        if !known_era.is_named() {
            return true;
        }
        if known_era.get() != self.version.era {
            self.shown_at = None;
        }
        if self.shown_at.is_none() || self.is_recently_shown() {
            return self.shown_at.is_some();
        }
        let asked_at = BootTime::now();
        let Some(held) = (self.port.read_term)(self.record.database.clone()).await else {
            Timer::after(RESERVATION_RETRY_INTERVAL).await;
            return false;
        };
        let is_shown =
            held.is_some_and(|(held, version)| held == self.record && version == self.version);
        self.shown_at = is_shown.then_some(asked_at);
        if !is_shown {
            log::warn!(
                "{}: the store lost the reservation, the change ends",
                self.record.database
            );
        }
        self.is_recently_shown() && known_era.get() == self.version.era
    }

    fn is_recently_shown(&self) -> bool {
        let age = self.shown_at.map(|at| BootTime::now().since(at));
        age.is_some_and(|age| age < ORDER_TIME)
    }

    /// Sends an order to promote an instance, with a fencing token that no earlier order had.
    async fn order_promotion(&mut self, instance: &InstanceId, orders: &mut OrderLog) {
        if orders.needs_token() {
            if !self.renew_reservation().await {
                return;
            }
            orders.renew_token();
        }
        if !self.is_reservation_shown().await || !self.is_in_time() {
            return;
        }
        let order = PromoteOrder {
            database: self.record.database.clone(),
            instance: instance.clone(),
            holder: self.context.place.host.clone(),
            fence: self.record.fence,
        };
        let outcome = (self.port.promote)(order).await;
        log::info!(
            "{}: order {} to promote {instance}: {outcome:?}",
            self.record.database,
            self.record.fence,
        );
        orders.record(instance, outcome, Instant::now());
        if matches!(outcome, PromoteOutcome::Refused | PromoteOutcome::NotSent) {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Writes the reservation again with the next fencing token. Returns whether the store
    /// has confirmed it.
    async fn renew_reservation(&mut self) -> bool {
        let mut renewed = self.record.clone();
        renewed.fence = next_fence(renewed.fence, self.version.era);
        let asked_at = BootTime::now();
        let deadline = Instant::now() + RESERVE_TIMEOUT;
        let writing = self
            .port
            .write_confirmed(&renewed, self.version, deadline, || ());
        if let Some(version) = writing.await {
            if version.era != self.version.era {
                self.shown_at = None;
                return false;
            }
            (self.record, self.version) = (renewed, version);
            self.shown_at = Some(asked_at);
            self.announce_record();
            return true;
        }
        let held = (self.port.read_term)(self.record.database.clone()).await;
        let is_lost = held.is_some_and(|held| held.is_none_or(|held| held.1 != self.version));
        if is_lost {
            self.shown_at = None;
            log::warn!(
                "{}: another host has written the record, the change ends",
                self.record.database
            );
        }
        false
    }

    /// Writes the new term to the store and announces it.
    async fn publish_term(&mut self, chosen: &InstanceEntry, term: Term) {
        let view = self.context.view.load();
        let region = self.context.region_of(&chosen.data_centre);
        let mut holders = Vec::new();
        for host in view
            .owner_candidates(chosen, region)
            .take(PREFERRED_HOLDERS)
        {
            holders.push(host.run.clone());
        }
        let limits = view.endpoints.as_ref();
        let limits = limits.and_then(|table| table.databases.get(&self.record.database));
        self.record.copies = if limits.is_some_and(|limits| limits.sync_replicas > 0) {
            let listed = view.instances_of(&self.record.database);
            copies_of_next_term(&self.record, &chosen.id, listed)
        } else {
            Vec::new()
        };
        self.record.term = term;
        self.record.primary.clone_from(&chosen.id);
        self.record.holders = holders;
        self.record.changed_by = None;
        self.record.is_settled = self.version.era > 0;
        let as_of = BootTime::now();
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        let written = self
            .port
            .write_confirmed(&self.record, self.version, deadline, || ())
            .await;
        if let Some(version) = written {
            self.version = version;
            self.begun_at = as_of;
            self.announce_record();
        }
    }
}

/// The host of a run; the name of a run begins with the name of its host.
fn host_of<'a>(view: &'a TrafficView, run: &str) -> Option<&'a HostEntry> {
    let (name, _) = run.rsplit_once('~')?;
    view.host(name)
}
