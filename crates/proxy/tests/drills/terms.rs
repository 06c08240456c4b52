//! Terms, leases, fences and eras: hosts, a store that comes back from an older
//! copy, the platform's orders and instances.
//!
//! Time is counted in ticks. A store call is one step, or two if its answer or its
//! execution is late. A message that is never delivered is a lost one. An old primary
//! that was not told to step down takes writes for ever, and an instance that does
//! not answer can always be the one that matters.

use crate::explorer::StateModel;

/// Ticks for which a lease lasts.
const LEASE_TICKS: u8 = 3;
/// Ticks after a request that confirmed its reservation until which a change may send
/// its order.
const ORDER_TICKS: u8 = 2;
/// Ticks after which a host that has learnt of a new era confirms terms in it.
const QUIET_TICKS: u8 = ORDER_TICKS;
/// Ticks after which an era is settled: leases of the earlier one have expired.
const SETTLE_TICKS: u8 = LEASE_TICKS;
/// Ticks after its begin until which a change may send orders.
const CHANGE_TICKS: u8 = 4;
/// Ticks after which a change counts as abandoned.
const ABANDONED_TICKS: u8 = 4;
/// Fences that one era may use, where a fence carries the era.
const FENCES_PER_ERA: u8 = 16;

/// A rule that the check takes out, one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TermGuard {
    /// A record is written only over the version that was read.
    ConditionalWrite,
    /// A lease counts from the request and not from the answer.
    LeaseFromRequest,
    /// A change waits for the leases of the holders that it cannot ask.
    LeaseWait,
    /// A run that has released a term does not use it again.
    ReleaseKept,
    /// A change stops its orders before others may take it over.
    ChangeTimeout,
    /// A record of a lower term or fence replaces none of a higher one.
    RankKept,
    /// An answer of an older era is not applied.
    OldAnswerIgnored,
    /// A condition of another era than the one known is not sent.
    ConditionOfEra,
    /// A write counts only if its answer is of the era of its condition.
    AnswerOfEra,
    /// A lease in an era is granted only by a record that was written in that era.
    ConfirmedLease,
    /// No term is confirmed in a new era before orders of the earlier one have ended.
    QuietTime,
    /// No holder is dropped before the era is settled.
    HoldersKept,
    /// Before the era is settled no record that is not confirmed is reserved, and no change
    /// takes the answers of the holders that it knows for the end of the term.
    SettledChange,
    /// Before the era is settled only a primary that leads its term ends it by stepping down.
    LedTerm,
    /// Before the era is settled no change publishes a term that it finds.
    SettledFind,
    /// A reservation says that the era is settled only if it is.
    SettledAsKnown,
    /// Each era has an object of its own for a term, so that a condition of an earlier
    /// era holds for none of a later one.
    EraInName,
    /// A fence is higher than any of an earlier era.
    EraInFence,
    /// A fence is higher than that of the record that its reservation overwrites.
    FenceOfStored,
    /// A reservation of the present era is not overwritten before it counts as
    /// abandoned, also by a host that knows a record of a higher rank.
    ReservationKept,
    /// An order follows a recent confirmation of its reservation.
    OrderConfirmed,
    /// No order is sent once a later era is known.
    OrderOfEra,
    /// A record is written again only by a run that has a lease on its term.
    RewriteWithLease,
    /// A record that is written again has the holders of both.
    HoldersUnited,
}

/// A term record. `changer` is the host that changes the term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ModelRecord {
    term: u8,
    fence: u8,
    /// One bit for each host.
    holders: u8,
    changer: Option<u8>,
    /// Era that its writer knew.
    era: u8,
    /// Whether leases of the earlier era had expired when it was written.
    is_settled: bool,
}

impl ModelRecord {
    /// What never decreases from one record of a database to the next.
    const fn rank(self) -> (u8, u8) {
        (self.term, self.fence)
    }

    const fn has_holder(self, host: usize) -> bool {
        self.holders & (1 << host) != 0
    }
}

/// What the store holds. The revision is the one of the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ModelContent {
    revision: u8,
    record: ModelRecord,
}

/// A change of primary that a host has reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ModelChange {
    record: ModelRecord,
    era: u8,
    version: u8,
    /// Ticks since it began.
    age: u8,
    /// Ticks since the last request that confirmed the reservation.
    confirm_age: u8,
    /// Ticks until the leases of all holders in the record have expired.
    lease_wait: u8,
    /// Holders that have not released the term.
    awaited: u8,
    /// Ticks until the era is settled.
    settle_wait: u8,
    /// Whether the primary has led the term of the record since the change began.
    has_led: bool,
    has_stepped_down: bool,
    /// Term of the promoted instance.
    promoted: Option<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ModelHost {
    era: u8,
    /// Ticks since it knows the era.
    era_age: u8,
    held: ModelRecord,
    /// Era and version of the held record.
    key: (u8, u8),
    /// Ticks since it holds a record of this rank.
    held_age: u8,
    /// Ticks that remain of its lease.
    lease: u8,
    /// Ticks that remain of a lease from the last confirmation, as others learn it.
    confirmed: u8,
    /// What the store showed last in the known era.
    shown: Option<ModelContent>,
    /// Ticks since it was shown that record.
    shown_age: u8,
    /// Highest term that it has released.
    released: u8,
    /// Highest term that it has known.
    top_term: u8,
    /// A reservation without an answer, its era and age.
    pending: Option<(ModelRecord, u8, u8)>,
    change: Option<ModelChange>,
    has_ended: bool,
}

/// A message that arrives late or never.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum LateMessage {
    /// An answer of the store.
    Answer {
        to: u8,
        era: u8,
        age: u8,
        content: ModelContent,
    },
    /// A write that the store executes if its condition holds.
    Write {
        era: u8,
        condition: u8,
        record: ModelRecord,
    },
    /// What another host knows.
    Word {
        to: u8,
        era: u8,
        key: (u8, u8),
        record: ModelRecord,
        confirmed: u8,
    },
}

/// A state of the whole.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TermState {
    era: u8,
    content: ModelContent,
    copy: ModelContent,
    copies_left: u8,
    changes_left: u8,
    joins_left: u8,
    late_left: u8,
    ends_left: u8,
    hosts: Vec<ModelHost>,
    late: Vec<LateMessage>,
    /// Term of the instance that was promoted last.
    leader_term: u8,
    /// One bit for each term whose primary has stepped down.
    stepped_down: u8,
    /// Fence and holder of the last order.
    last_order: (u8, u8),
    broken: Option<&'static str>,
}

/// One step; the numbers are indexes of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TermStep {
    /// Time passes for all.
    Tick,
    /// The store takes a copy.
    Copy,
    /// The store comes back from its copy.
    Drill,
    /// A host asks the store and is answered.
    Ask(u8),
    /// A host asks the store; the answer is late.
    AskLate(u8),
    /// A late message arrives, by its index.
    Deliver(u8),
    /// The second host learns what the first one knows.
    Tell(u8, u8),
    /// As `Tell`, late.
    TellLate(u8, u8),
    /// A host reserves a change.
    Reserve(u8),
    /// As `Reserve`, with the highest term that an instance reports.
    ReserveReported(u8),
    /// As `Reserve`; the store executes it late, and the answer is lost.
    ReserveLate(u8),
    /// The second host releases the term for the first one's change.
    Release(u8, u8),
    /// The primary of a change's record tells a host that it leads the term.
    Lead(u8),
    /// The primary of a change's record steps down.
    StepDown(u8),
    /// A host sends its order.
    Promote(u8),
    /// A host finds that an instance leads a later term than its change's record.
    Find(u8),
    /// A host writes the term of its promoted instance.
    Publish(u8),
    /// A host joins the holders.
    Join(u8),
    /// As `Join`; the store executes it late, and the answer is lost.
    JoinLate(u8),
    /// A host writes the record that it holds again.
    Rewrite(u8),
    /// A host marks the record of a settled era as such.
    Settle(u8),
    /// A host ends for good; others can tell.
    End(u8),
}

/// Bits of [`StateModel::reached`].
pub const ORDER_IN_NEW_ERA: u32 = 1;
pub const TERM_IN_NEW_ERA: u32 = 2;
pub const LEASE_IN_NEW_ERA: u32 = 4;
pub const JOIN_IN_NEW_ERA: u32 = 8;

/// Bounds of the search, and the guard that is taken out.
#[derive(Debug, Clone)]
pub struct TermModel {
    /// Guard that is taken out.
    pub without: Option<TermGuard>,
    /// Number of hosts.
    pub hosts: u8,
    /// Number of drills.
    pub drills: u8,
    /// Number of copies that the store takes.
    pub copies: u8,
    /// Number of reservations.
    pub changes: u8,
    /// Number of joins.
    pub joins: u8,
    /// Number of late messages.
    pub late: u8,
    /// Number of hosts that end.
    pub ends: u8,
}

impl TermModel {
    fn has(&self, guard: TermGuard) -> bool {
        self.without != Some(guard)
    }

    /// Writes to the store if the condition holds, as a host that knows this era.
    /// Returns the version.
    fn write(
        &self,
        state: &mut TermState,
        era: u8,
        condition: u8,
        record: ModelRecord,
    ) -> Option<u8> {
        if era != state.era && self.has(TermGuard::EraInName) {
            // The object of the earlier era is as it was in the copy.
            return (condition == state.copy.revision).then_some(condition + 1);
        }
        let content = &mut state.content;
        if content.revision != condition && self.has(TermGuard::ConditionalWrite) {
            return None;
        }
        content.revision += 1;
        content.record = record;
        Some(content.revision)
    }

    /// Whether a host knows that leases of earlier eras have expired.
    fn is_settled(host: &ModelHost) -> bool {
        let is_confirmed = host.held.era == host.era && host.key.0 == host.era;
        host.era == 0 || host.era_age >= SETTLE_TICKS || is_confirmed && host.held.is_settled
    }

    fn learn_era(&self, host: &mut ModelHost, era: u8) {
        if era > host.era {
            host.era = era;
            host.era_age = 0;
            if self.has(TermGuard::ConditionOfEra) {
                host.shown = None;
            }
        }
    }

    /// Whether a host uses the primary of the term that it holds.
    fn uses_term(host: &ModelHost, index: usize) -> Option<u8> {
        let record = &host.held;
        let may_use = record.has_holder(index)
            && record.changer.is_none()
            && record.term > host.released
            && host.lease > 0;
        may_use.then_some(record.term)
    }

    /// Whether a host may extend its lease on the record that it holds.
    fn may_extend(&self, host: &ModelHost) -> bool {
        if host.era == 0 || host.key.0 != host.era {
            // A record of an earlier era was confirmed in that era.
            return true;
        }
        host.held.era == host.era || !self.has(TermGuard::ConfirmedLease)
    }

    /// Applies a record that the store, or another host, had when `confirmed` ticks of
    /// a lease from then on remain.
    fn receive(
        &self,
        host: &mut ModelHost,
        index: usize,
        key: (u8, u8),
        record: ModelRecord,
        confirmed: u8,
    ) {
        if host.has_ended {
            return;
        }
        let running = Self::uses_term(host, index);
        let (held_rank, rank) = (host.held.rank(), record.rank());
        let replaces = if self.has(TermGuard::RankKept) && rank != held_rank {
            rank > held_rank
        } else {
            (record.era, key) > (host.held.era, host.key)
        };
        if key == host.key && record == host.held {
            host.confirmed = host.confirmed.max(confirmed);
        } else if replaces {
            if rank != held_rank {
                host.held_age = 0;
            }
            let lease = host.lease;
            host.held = record;
            host.key = key;
            host.confirmed = confirmed;
            host.lease = if running == Some(record.term) {
                lease
            } else {
                0
            };
            host.top_term = host.top_term.max(record.term);
        } else {
            return;
        }
        if self.may_extend(host) {
            host.lease = host.lease.max(confirmed);
        }
    }

    /// Applies an answer of the store.
    fn answer(&self, host: &mut ModelHost, index: usize, era: u8, age: u8, content: ModelContent) {
        if era < host.era && self.has(TermGuard::OldAnswerIgnored) {
            return;
        }
        self.learn_era(host, era);
        let age = if self.has(TermGuard::LeaseFromRequest) {
            age
        } else {
            0
        };
        let confirmed = LEASE_TICKS - age.min(LEASE_TICKS);
        if host
            .shown
            .is_none_or(|shown| shown.record != content.record)
        {
            host.shown_age = 0;
        }
        host.shown = Some(content);
        let key = (era, content.revision);
        self.receive(host, index, key, content.record, confirmed);
        self.confirm_change(host, index, era, age, (content.record, content.revision));
    }

    /// Notes that the store holds a host's reservation.
    fn confirm_change(
        &self,
        host: &mut ModelHost,
        index: usize,
        era: u8,
        age: u8,
        stored: (ModelRecord, u8),
    ) {
        if let Some(change) = &mut host.change
            && change.era == era
            && (change.record, change.version) == stored
        {
            change.confirm_age = change.confirm_age.min(age);
        }
        if let Some((record, pending_era, pending_age)) = host.pending
            && record == stored.0
            && host.change.is_none()
            && (pending_era == era || !self.has(TermGuard::AnswerOfEra))
        {
            host.pending = None;
            let is_settled = record.is_settled;
            Self::begin_change(host, index, era, stored, (pending_age, age), is_settled);
        }
    }

    fn begin_change(
        host: &mut ModelHost,
        index: usize,
        era: u8,
        (record, version): (ModelRecord, u8),
        (age, confirm_age): (u8, u8),
        is_settled: bool,
    ) {
        let settle_wait = SETTLE_TICKS.saturating_sub(host.era_age);
        host.released = host.released.max(record.term);
        host.change = Some(ModelChange {
            record,
            era,
            version,
            age,
            confirm_age,
            lease_wait: LEASE_TICKS,
            awaited: record.holders & !(1 << index),
            settle_wait: if is_settled { 0 } else { settle_wait },
            has_led: false,
            has_stepped_down: false,
            promoted: None,
        });
    }

    /// Whether the store shows another host's reservation in place of the record that a
    /// host holds.
    fn shows_reservation(&self, host: &ModelHost, index: u8) -> bool {
        let Some(shown) = host.shown.filter(|shown| shown.record.era == host.era) else {
            return false;
        };
        shown.record.rank() < host.held.rank()
            && shown.record.changer.is_some_and(|changer| changer != index)
            && host.shown_age < ABANDONED_TICKS
            && self.has(TermGuard::ReservationKept)
    }

    /// The record with which a host reserves a change, if it may.
    fn reservation(&self, state: &TermState, index: u8) -> Option<ModelRecord> {
        let host = &state.hosts[usize::from(index)];
        let may_reserve = match host.held.changer {
            None => true,
            Some(changer) => {
                let has_ended = state.hosts[usize::from(changer)].has_ended;
                changer != index && (has_ended || host.held_age >= ABANDONED_TICKS)
            }
        };
        let is_settled = Self::is_settled(host) || !self.has(TermGuard::SettledChange);
        let is_confirmed = host.held.era == host.era && host.key.0 == host.era;
        if !may_reserve
            || self.shows_reservation(host, index)
            || !is_settled && !is_confirmed
            || host.change.is_some()
            || host.pending.is_some()
        {
            return None;
        }
        let mut record = host.held;
        record.fence += 1;
        if self.has(TermGuard::EraInFence) {
            record.fence = record.fence.max(host.era * FENCES_PER_ERA + 1);
        }
        if let Some(shown) = host.shown {
            if self.has(TermGuard::HoldersUnited) {
                record.holders |= shown.record.holders;
            }
            if self.has(TermGuard::FenceOfStored) {
                record.fence = record.fence.max(shown.record.fence + 1);
            }
        }
        record.changer = Some(index);
        record.era = host.era;
        record.is_settled = is_settled || !self.has(TermGuard::SettledAsKnown);
        Some(record)
    }

    /// The record with which a host joins the holders, if it may.
    fn joined(&self, host: &ModelHost, index: u8) -> Option<ModelRecord> {
        let record = &host.held;
        let may_join = record.changer.is_none()
            && !record.has_holder(usize::from(index))
            && host.released < record.term
            && record.era == host.era
            && host.key.0 == host.era;
        let drops = !Self::is_settled(host) && !self.has(TermGuard::HoldersKept);
        let holders = if drops { 0 } else { record.holders };
        may_join.then(|| ModelRecord {
            holders: holders | 1 << index,
            ..*record
        })
    }

    /// The record that a host writes again, if it may.
    fn rewritten(&self, host: &ModelHost, index: usize) -> Option<ModelRecord> {
        let shown = host.shown?;
        if host.held.era >= host.era || shown.record.era >= host.era {
            return None;
        }
        let has_lease = Self::uses_term(host, index).is_some();
        if !has_lease && self.has(TermGuard::RewriteWithLease) {
            return None;
        }
        let mut record = host.held;
        if shown.record.term == record.term && self.has(TermGuard::HoldersUnited) {
            record.holders |= shown.record.holders;
        }
        record.era = host.era;
        record.is_settled = false;
        Some(record)
    }

    fn may_promote(&self, host: &ModelHost, change: &ModelChange) -> bool {
        if change.promoted.is_some() {
            return false;
        }
        let is_released = change.awaited == 0 && change.settle_wait == 0;
        let has_ended = change.has_stepped_down || is_released || change.lease_wait == 0;
        if !has_ended && self.has(TermGuard::LeaseWait) {
            return false;
        }
        let in_time = change.age < CHANGE_TICKS || !self.has(TermGuard::ChangeTimeout);
        let is_confirmed = change.confirm_age < ORDER_TICKS || !self.has(TermGuard::OrderConfirmed);
        let is_current = change.era == host.era || !self.has(TermGuard::OrderOfEra);
        in_time && is_confirmed && is_current
    }

    /// Sends a host's order to the platform, which executes it at once.
    fn promote(state: &mut TermState, index: u8) {
        let Some(change) = &mut state.hosts[usize::from(index)].change else {
            return;
        };
        let (last_fence, last_holder) = state.last_order;
        let fence = change.record.fence;
        if fence < last_fence {
            state.broken = Some("an order has a lower fence than an earlier one");
        } else if fence == last_fence && last_holder != index {
            state.broken = Some("two holders send orders with one fence");
        }
        state.last_order = (fence, index);
        state.leader_term += 1;
        change.promoted = Some(state.leader_term);
    }

    /// Writes a record for a host; its answer arrives at once. Returns whether it was
    /// written and the host may rely on it.
    fn write_as(
        &self,
        state: &mut TermState,
        index: u8,
        condition: u8,
        record: ModelRecord,
    ) -> bool {
        let era = state.hosts[usize::from(index)].era;
        let version = self.write(state, era, condition, record);
        // Written or not, the host reads what is stored now.
        self.ask(state, index);
        version.is_some() && (state.era == era || !self.has(TermGuard::AnswerOfEra))
    }

    /// Writes a record over what the store showed to a host.
    fn write_planned(&self, state: &mut TermState, index: u8, record: Option<ModelRecord>) {
        let shown = state.hosts[usize::from(index)].shown;
        if let (Some(shown), Some(record)) = (shown, record) {
            self.write_as(state, index, shown.revision, record);
        }
    }

    /// The record of a settled era, if a host is to mark it as such.
    fn settled(host: &ModelHost) -> Option<ModelRecord> {
        let is_stored =
            host.key.0 == host.era && host.shown.is_some_and(|shown| shown.record == host.held);
        let is_due = host.era_age >= SETTLE_TICKS && !host.held.is_settled;
        (is_stored && is_due && host.held.era == host.era).then_some(ModelRecord {
            is_settled: true,
            ..host.held
        })
    }

    fn reserve(&self, state: &mut TermState, index: u8, reported: u8) {
        state.changes_left -= 1;
        let host = state.hosts[usize::from(index)];
        let (Some(shown), Some(mut record)) = (host.shown, self.reservation(state, index)) else {
            return;
        };
        record.term = record.term.max(reported);
        let is_settled = Self::is_settled(&host) || !self.has(TermGuard::SettledChange);
        if self.write_as(state, index, shown.revision, record) {
            let version = state.content.revision;
            let host = &mut state.hosts[usize::from(index)];
            Self::begin_change(
                host,
                usize::from(index),
                host.era,
                (record, version),
                (0, 0),
                is_settled,
            );
        }
    }

    /// Applies a step that writes to the store; any other changes nothing.
    fn write_step(&self, state: &mut TermState, step: TermStep) {
        match step {
            TermStep::Reserve(index) => self.reserve(state, index, 0),
            TermStep::ReserveReported(index) => self.reserve(state, index, state.leader_term),
            TermStep::ReserveLate(index) => {
                state.changes_left -= 1;
                let record = self.reservation(state, index);
                let host = &mut state.hosts[usize::from(index)];
                host.pending = record.map(|record| (record, host.era, 0));
                Self::write_late(state, index, record);
            }
            TermStep::Publish(index) => self.publish(state, index),
            TermStep::Join(index) | TermStep::JoinLate(index) => {
                state.joins_left -= 1;
                let record = self.joined(&state.hosts[usize::from(index)], index);
                if matches!(step, TermStep::Join(_)) {
                    self.write_planned(state, index, record);
                } else {
                    Self::write_late(state, index, record);
                }
            }
            TermStep::Rewrite(index) => {
                let record = self.rewritten(&state.hosts[usize::from(index)], usize::from(index));
                self.write_planned(state, index, record);
            }
            TermStep::Settle(index) => {
                let record = Self::settled(&state.hosts[usize::from(index)]);
                self.write_planned(state, index, record);
            }
            _ => {}
        }
    }

    /// Sends a write that the store executes late and whose answer is lost.
    fn write_late(state: &mut TermState, index: u8, record: Option<ModelRecord>) {
        let host = &state.hosts[usize::from(index)];
        if let (Some(shown), Some(record)) = (host.shown, record) {
            let message = LateMessage::Write {
                era: host.era,
                condition: shown.revision,
                record,
            };
            Self::send_late(state, message);
        }
    }

    fn publish(&self, state: &mut TermState, index: u8) {
        let host = &mut state.hosts[usize::from(index)];
        let Some(change) = host.change.take() else {
            return;
        };
        let record = ModelRecord {
            term: change.promoted.unwrap_or_default(),
            holders: 1 << index,
            changer: None,
            is_settled: true,
            ..change.record
        };
        self.write_as(state, index, change.version, record);
    }

    fn ask(&self, state: &mut TermState, index: u8) {
        let (era, content) = (state.era, state.content);
        let host = &mut state.hosts[usize::from(index)];
        self.answer(host, usize::from(index), era, 0, content);
    }

    fn deliver(&self, state: &mut TermState, message: LateMessage) {
        match message {
            LateMessage::Answer {
                to,
                era,
                age,
                content,
            } => {
                let host = &mut state.hosts[usize::from(to)];
                self.answer(host, usize::from(to), era, age, content);
            }
            LateMessage::Write {
                era,
                condition,
                record,
            } => {
                self.write(state, era, condition, record);
            }
            LateMessage::Word {
                to,
                era,
                key,
                record,
                confirmed,
            } => {
                let host = &mut state.hosts[usize::from(to)];
                self.learn_era(host, era);
                self.receive(host, usize::from(to), key, record, confirmed);
            }
        }
    }

    fn tick(state: &mut TermState) {
        for host in &mut state.hosts {
            host.era_age = (host.era_age + 1).min(LEASE_TICKS);
            host.held_age = (host.held_age + 1).min(ABANDONED_TICKS);
            // It matters only for a reservation in place of the record that the host holds.
            let is_other = host.shown.is_some_and(|shown| {
                shown.record.changer.is_some() && shown.record.rank() < host.held.rank()
            });
            host.shown_age = if is_other {
                (host.shown_age + 1).min(ABANDONED_TICKS)
            } else {
                0
            };
            host.lease = host.lease.saturating_sub(1);
            host.confirmed = host.confirmed.saturating_sub(1);
            if let Some((_, _, age)) = &mut host.pending {
                *age = (*age + 1).min(CHANGE_TICKS);
            }
            if let Some(change) = &mut host.change {
                change.age = (change.age + 1).min(CHANGE_TICKS);
                change.confirm_age = (change.confirm_age + 1).min(ORDER_TICKS);
                change.lease_wait = change.lease_wait.saturating_sub(1);
                change.settle_wait = change.settle_wait.saturating_sub(1);
            }
        }
        for message in &mut state.late {
            match message {
                LateMessage::Answer { age, .. } => *age = (*age + 1).min(LEASE_TICKS),
                LateMessage::Word { confirmed, .. } => *confirmed = confirmed.saturating_sub(1),
                LateMessage::Write { .. } => {}
            }
        }
    }

    /// Steps that send a late message.
    fn send_late(state: &mut TermState, message: LateMessage) {
        state.late_left -= 1;
        state.late.push(message);
    }

    fn steps_of_host(&self, state: &TermState, index: u8, steps: &mut Vec<TermStep>) {
        let host = &state.hosts[usize::from(index)];
        if host.has_ended {
            return;
        }
        if state.ends_left > 0 {
            steps.push(TermStep::End(index));
        }
        let is_late_allowed = state.late_left > 0;
        steps.push(TermStep::Ask(index));
        if is_late_allowed {
            steps.push(TermStep::AskLate(index));
        }
        for other in 0..self.hosts {
            if other == index {
                continue;
            }
            steps.push(TermStep::Tell(index, other));
            if is_late_allowed {
                steps.push(TermStep::TellLate(index, other));
            }
            if let Some(change) = &host.change
                && change.awaited & (1 << other) != 0
            {
                steps.push(TermStep::Release(index, other));
            }
        }
        let knows_stored = host.shown.is_some();
        let can_reserve = knows_stored && self.reservation(state, index).is_some();
        if can_reserve && state.changes_left > 0 {
            steps.push(TermStep::Reserve(index));
            if host.era > 0 && state.leader_term > host.held.term {
                steps.push(TermStep::ReserveReported(index));
            }
            if is_late_allowed {
                steps.push(TermStep::ReserveLate(index));
            }
        }
        let can_join = knows_stored && self.joined(host, index).is_some();
        if can_join && state.joins_left > 0 {
            steps.push(TermStep::Join(index));
            if is_late_allowed {
                steps.push(TermStep::JoinLate(index));
            }
        }
        let is_quiet = host.era > 0 && host.era_age < QUIET_TICKS && self.has(TermGuard::QuietTime);
        if host.era > 0 && !is_quiet && self.rewritten(host, usize::from(index)).is_some() {
            steps.push(TermStep::Rewrite(index));
        }
        if host.era > 0 && Self::settled(host).is_some() {
            steps.push(TermStep::Settle(index));
        }
        let Some(change) = &host.change else {
            return;
        };
        if !change.has_stepped_down && change.promoted.is_none() {
            let has_led = change.has_led || !self.has(TermGuard::LedTerm);
            if has_led || change.settle_wait == 0 {
                steps.push(TermStep::StepDown(index));
            } else if state.stepped_down & (1 << change.record.term) == 0 {
                steps.push(TermStep::Lead(index));
            }
        }
        if self.may_promote(host, change) {
            steps.push(TermStep::Promote(index));
        }
        let may_find = change.settle_wait == 0 || !self.has(TermGuard::SettledFind);
        if may_find && change.promoted.is_none() && state.leader_term > change.record.term {
            steps.push(TermStep::Find(index));
        }
        if change.promoted.is_some() && change.era == host.era {
            steps.push(TermStep::Publish(index));
        }
    }
}

impl StateModel for TermModel {
    type State = TermState;
    type Step = TermStep;

    fn initial(&self) -> TermState {
        let record = ModelRecord {
            term: 1,
            fence: 0,
            holders: 1,
            changer: None,
            era: 0,
            is_settled: true,
        };
        let content = ModelContent {
            revision: 1,
            record,
        };
        let host = ModelHost {
            era: 0,
            era_age: SETTLE_TICKS,
            held: record,
            key: (0, 1),
            held_age: 0,
            lease: LEASE_TICKS,
            confirmed: LEASE_TICKS,
            shown: Some(content),
            shown_age: 0,
            released: 0,
            top_term: 1,
            pending: None,
            change: None,
            has_ended: false,
        };
        TermState {
            era: 0,
            content,
            copy: content,
            copies_left: self.copies,
            changes_left: self.changes,
            joins_left: self.joins,
            late_left: self.late,
            ends_left: self.ends,
            hosts: vec![host; usize::from(self.hosts)],
            late: Vec::new(),
            leader_term: 1,
            stepped_down: 0,
            last_order: (0, 0),
            broken: None,
        }
    }

    fn steps(&self, state: &TermState) -> Vec<TermStep> {
        let mut steps = vec![TermStep::Tick];
        if state.era < self.drills {
            steps.push(TermStep::Drill);
            if state.copies_left > 0 && state.copy != state.content {
                steps.push(TermStep::Copy);
            }
        }
        for index in 0..self.hosts {
            self.steps_of_host(state, index, &mut steps);
        }
        for (index, _) in state.late.iter().enumerate() {
            steps.push(TermStep::Deliver(u8::try_from(index).unwrap()));
        }
        steps
    }

    fn next(&self, state: &TermState, step: TermStep) -> TermState {
        let mut next = state.clone();
        match step {
            TermStep::Tick => Self::tick(&mut next),
            TermStep::Copy => {
                next.copies_left -= 1;
                next.copy = next.content;
            }
            TermStep::Drill => {
                next.era += 1;
                next.content = next.copy;
            }
            TermStep::Ask(index) => self.ask(&mut next, index),
            TermStep::AskLate(to) => {
                let (era, content) = (next.era, next.content);
                let age = 0;
                let message = LateMessage::Answer {
                    to,
                    era,
                    age,
                    content,
                };
                Self::send_late(&mut next, message);
            }
            TermStep::Deliver(index) => {
                let message = next.late.remove(usize::from(index));
                self.deliver(&mut next, message);
            }
            TermStep::Tell(from, to) | TermStep::TellLate(from, to) => {
                let host = next.hosts[usize::from(from)];
                let message = LateMessage::Word {
                    to,
                    era: host.era,
                    key: host.key,
                    record: host.held,
                    confirmed: host.confirmed,
                };
                if matches!(step, TermStep::Tell(..)) {
                    self.deliver(&mut next, message);
                } else {
                    Self::send_late(&mut next, message);
                }
            }
            TermStep::Release(changer, index) => {
                let host = &mut next.hosts[usize::from(changer)];
                if let Some(change) = &mut host.change {
                    change.awaited &= !(1 << index);
                    let term = change.record.term;
                    if self.has(TermGuard::ReleaseKept) {
                        let holder = &mut next.hosts[usize::from(index)];
                        holder.released = holder.released.max(term);
                    }
                }
            }
            TermStep::End(index) => {
                next.ends_left -= 1;
                let host = &mut next.hosts[usize::from(index)];
                host.has_ended = true;
                host.lease = 0;
                host.pending = None;
                host.change = None;
            }
            TermStep::Lead(index) => {
                if let Some(change) = &mut next.hosts[usize::from(index)].change {
                    change.has_led = true;
                }
            }
            TermStep::StepDown(index) => {
                if let Some(change) = &mut next.hosts[usize::from(index)].change {
                    change.has_stepped_down = true;
                    next.stepped_down |= 1 << change.record.term;
                }
            }
            TermStep::Promote(index) => Self::promote(&mut next, index),
            TermStep::Find(index) => {
                let leader_term = next.leader_term;
                if let Some(change) = &mut next.hosts[usize::from(index)].change {
                    change.promoted = Some(leader_term);
                }
            }
            _ => self.write_step(&mut next, step),
        }
        next
    }

    fn violation(&self, state: &TermState) -> Option<&'static str> {
        if state.broken.is_some() {
            return state.broken;
        }
        for (index, host) in state.hosts.iter().enumerate() {
            if host.held.term < host.top_term {
                return Some("a host goes back to a term that has ended");
            }
            let Some(term) = Self::uses_term(host, index) else {
                continue;
            };
            if term < state.leader_term && state.stepped_down & (1 << term) == 0 {
                return Some("a host uses a primary that was replaced");
            }
        }
        None
    }

    fn reached(&self, state: &TermState) -> u32 {
        let mut reached = 0;
        for (index, host) in state.hosts.iter().enumerate() {
            if host.era == 0 || host.key.0 == 0 {
                continue;
            }
            if host.change.is_some_and(|change| change.promoted.is_some()) {
                reached |= ORDER_IN_NEW_ERA;
            }
            if host.held.term > 1 && host.held.fence >= FENCES_PER_ERA {
                reached |= TERM_IN_NEW_ERA;
            }
            if Self::uses_term(host, index).is_some() && host.lease == LEASE_TICKS {
                reached |= LEASE_IN_NEW_ERA;
            }
            if index > 0 && host.held.term == 1 && host.held.has_holder(index) {
                reached |= JOIN_IN_NEW_ERA;
            }
        }
        reached
    }
}
