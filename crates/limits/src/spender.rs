//! Admission of operations at a host that sends them to instances.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use compact_str::CompactString;

use crate::terms::{Guards, Moment, SpendLine, Terms, Verdict};
use crate::{ACTIVE_TIME, REPLY_TIME_MAX, REPORT_INTERVAL, SILENCE};

/// Number of an operation of one customer at one host.
pub type Ticket = u64;

/// Operations that a host which is cut off may run at once.
const SHARE_BURST: f64 = 1.0;
/// Longest time named to a customer for its next share, in seconds.
const SHARE_WAIT_MAX: f64 = 5.0;
/// Time after which an operation is to be tried again that was refused because the lender
/// did not answer.
pub const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Decision on an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may run.
    Admitted(Ticket),
    /// It may run once the lender has counted it, see [`SpenderState::outcome`].
    Ask(Ticket),
    /// It may not run: the customer is over its limit for this time.
    Refused(Duration),
    /// It may not run, because the lender does not answer. The customer should come back
    /// after this time.
    CutOff(Duration),
}

/// Cumulative counts.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    admitted: u64,
    refunded: u64,
    /// Those of `admitted` that may run before they are counted.
    floated: u64,
}

/// A report that the lender may answer.
#[derive(Debug, Clone, Copy)]
struct SentReport {
    sequence: u64,
    sent_at: Moment,
    counts: Counts,
    is_last: bool,
    is_answered: bool,
}

/// What one host has admitted for one customer.
#[derive(Debug, Clone)]
struct Account {
    lender: CompactString,
    epoch: u64,
    /// Counts so far.
    counts: Counts,
    /// Counts that the lender of this epoch need not know.
    base: Counts,
    /// Counts that the lender has confirmed.
    confirmed: Counts,
    /// The last report.
    sent: Option<SentReport>,
    /// Operations that are not sent yet, also those that wait for the lender.
    waiting: u64,
    /// Outcome of operations that wait for the lender, once it is known.
    asks: BTreeMap<Ticket, Option<bool>>,
    over_until: Moment,
    used_at: Moment,
    /// Since when operations wait for an answer of the lender.
    unanswered_since: Option<Moment>,
    /// Whether the lender sets a share aside for this host.
    is_registered: bool,
    /// Whether the lender knows that no more reports follow.
    is_closed: bool,
    share_tokens: f64,
    share_at: Moment,
}

impl Account {
    fn new(now: Moment, lender: &str) -> Self {
        Self {
            lender: lender.into(),
            epoch: 0,
            counts: Counts::default(),
            base: Counts::default(),
            confirmed: Counts::default(),
            sent: None,
            waiting: 0,
            asks: BTreeMap::new(),
            over_until: Moment::ZERO,
            used_at: now,
            unanswered_since: None,
            is_registered: false,
            is_closed: false,
            share_tokens: 0.0,
            share_at: now,
        }
    }

    /// Starts to count for another bucket, with what the last one has not confirmed.
    fn rebase(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.base = self.confirmed;
        // What is given back may have been counted by the last bucket.
        self.base.refunded = self.counts.refunded;
        self.confirmed = self.base;
        self.sent = None;
        self.is_registered = false;
    }

    fn uncounted(&self) -> u64 {
        self.counts.floated - self.confirmed.floated
    }

    fn is_unreported(&self) -> bool {
        self.counts.admitted > self.confirmed.admitted
            || self.counts.refunded > self.confirmed.refunded
    }

    fn is_cut_off(&self, now: Moment) -> bool {
        self.unanswered_since
            .is_some_and(|since| now >= since + SILENCE)
    }

    fn note_use(&mut self, now: Moment) {
        self.used_at = now;
        self.is_closed = false;
        self.unanswered_since.get_or_insert(now);
    }

    fn take(&mut self, now: Moment, is_floated: bool) -> Ticket {
        self.note_use(now);
        self.counts.admitted += 1;
        self.waiting += 1;
        self.counts.floated += u64::from(is_floated);
        self.counts.admitted
    }

    /// Decides while the lender does not answer.
    fn take_share(&mut self, now: Moment, share: f64, guards: Guards) -> Decision {
        if !guards.share {
            return Decision::Admitted(self.take(now, true));
        }
        if guards.registration && !self.is_registered || share <= 0.0 {
            self.note_use(now);
            return Decision::CutOff(RETRY_DELAY);
        }
        let started_at = self.unanswered_since.unwrap_or(now) + SILENCE;
        let from = self.share_at.max(started_at);
        let gained = share * now.saturating_sub(from).as_secs_f64();
        let held = if self.share_at < started_at {
            0.0
        } else {
            self.share_tokens
        };
        self.share_tokens = (held + gained).min(SHARE_BURST);
        self.share_at = now;
        if self.share_tokens < 1.0 {
            let seconds = (1.0 - self.share_tokens) / share;
            return Decision::CutOff(Duration::from_secs_f64(seconds.min(SHARE_WAIT_MAX)));
        }
        self.share_tokens -= 1.0;
        Decision::Admitted(self.take(now, true))
    }

    fn refund(&mut self, now: Moment, ticket: Ticket) {
        // The bucket of an earlier epoch counted it.
        if ticket <= self.base.admitted {
            return;
        }
        self.note_use(now);
        self.counts.refunded += 1;
    }
}

/// State of one account, for diagnostics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountState {
    /// Host that lends.
    pub lender: CompactString,
    /// Operations that the lender has not counted.
    pub uncounted: u64,
    /// Whether the lender does not answer.
    pub is_cut_off: bool,
    /// Remaining time for which the customer is over its limit.
    pub over_for: Duration,
}

/// What one host has admitted for all customers with a limit.
#[derive(Debug, Clone, Default)]
pub struct SpenderState {
    guards: Guards,
    accounts: HashMap<CompactString, Account>,
}

impl SpenderState {
    /// Creates a state in which nothing was admitted.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Switches guards off, for tests.
    #[must_use]
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Decides on an operation of a customer whose operations `lender` counts.
    pub fn admit(&mut self, now: Moment, customer: &str, lender: &str, terms: Terms) -> Decision {
        let guards = self.guards;
        let account = self.accounts.entry(customer.into());
        let account = account.or_insert_with(|| Account::new(now, lender));
        if account.lender != lender {
            account.lender = lender.into();
            account.rebase(0);
        }
        if guards.verdict && now < account.over_until {
            return Decision::Refused(account.over_until.saturating_sub(now));
        }
        if account.is_cut_off(now) {
            return account.take_share(now, terms.share, guards);
        }
        if account.uncounted() < terms.float || !guards.float {
            return Decision::Admitted(account.take(now, true));
        }
        let ticket = account.take(now, false);
        account.asks.insert(ticket, None);
        Decision::Ask(ticket)
    }

    /// Whether an operation that waits for the lender may run; `None` as long as it is
    /// not known. One that may not run is given back.
    pub fn outcome(&mut self, now: Moment, customer: &str, ticket: Ticket) -> Option<bool> {
        let account = self.accounts.get_mut(customer)?;
        let may_run = (*account.asks.get(&ticket)?)?;
        account.asks.remove(&ticket);
        if !may_run {
            account.waiting = account.waiting.saturating_sub(1);
            account.refund(now, ticket);
        }
        Some(may_run)
    }

    /// Remaining time for which a customer is over its limit, if it is.
    #[must_use]
    pub fn over_for(&self, now: Moment, customer: &str) -> Option<Duration> {
        let over_until = self.accounts.get(customer)?.over_until;
        (now < over_until).then(|| over_until.saturating_sub(now))
    }

    /// Gives back an operation that certainly did not run. One that was not sent yet is no
    /// longer waiting, see [`SpenderState::note_sent`].
    pub fn refund(&mut self, now: Moment, customer: &str, ticket: Ticket) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.asks.remove(&ticket);
            account.refund(now, ticket);
        }
    }

    /// Notes that an admitted operation is sent.
    pub fn note_sent(&mut self, customer: &str) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Whether a report on a customer is due: at once while operations wait for it or
    /// half of the float is used, after `batch` if there is something to report, and
    /// after [`REPORT_INTERVAL`] otherwise or if the last one was not answered.
    #[must_use]
    pub fn is_report_due(&self, customer: &str, now: Moment, float: u64, batch: Duration) -> bool {
        let Some(account) = self.accounts.get(customer) else {
            return false;
        };
        if account.is_closed && !account.is_unreported() {
            return false;
        }
        let Some(sent) = account.sent else {
            return true;
        };
        let elapsed = now.saturating_sub(sent.sent_at);
        if !sent.is_answered {
            return elapsed >= REPORT_INTERVAL;
        }
        let waits = !account.asks.is_empty() || account.uncounted() * 2 >= float.max(1);
        elapsed >= REPORT_INTERVAL || account.is_unreported() && (waits || elapsed >= batch)
    }

    /// The customers of this host, with their lenders.
    pub fn customers(&self) -> impl Iterator<Item = (&CompactString, &CompactString)> {
        let accounts = self.accounts.iter();
        accounts.map(|(customer, account)| (customer, &account.lender))
    }

    /// Whether any reports are still to follow.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.accounts.values().any(|account| !account.is_closed)
    }

    /// Drops the accounts of customers without a limit.
    pub fn retain(&mut self, has_limit: impl Fn(&str) -> bool) {
        self.accounts.retain(|customer, _| has_limit(customer));
    }

    /// Changes the lender of a customer without an operation.
    pub fn set_lender(&mut self, customer: &str, lender: &str) {
        if let Some(account) = self.accounts.get_mut(customer)
            && account.lender != lender
        {
            account.lender = lender.into();
            account.rebase(0);
        }
    }

    /// The report on a customer, as number `sequence` of all reports of this run. The
    /// field `run` is left to the caller.
    pub fn report(&mut self, customer: &str, now: Moment, sequence: u64) -> Option<SpendLine> {
        let account = self.accounts.get_mut(customer)?;
        let is_last = account.epoch != 0
            && !account.is_unreported()
            && account.waiting == 0
            && now.saturating_sub(account.used_at) > ACTIVE_TIME;
        if is_last {
            account.is_registered = false;
        }
        account.sent = Some(SentReport {
            sequence,
            sent_at: now,
            counts: account.counts,
            is_last,
            is_answered: false,
        });
        Some(SpendLine {
            run: 0,
            sequence,
            epoch: account.epoch,
            admitted: account.counts.admitted - account.base.admitted,
            refunded: account.counts.refunded - account.base.refunded,
            waiting: account.waiting,
            is_last,
        })
    }

    /// Applies the lender's answer to report number `sequence`.
    pub fn apply(&mut self, customer: &str, now: Moment, sequence: u64, verdict: Verdict) {
        let guards = self.guards;
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        let Some(sent) = &mut account.sent else {
            return;
        };
        let is_late = now.saturating_sub(sent.sent_at) > REPLY_TIME_MAX;
        if is_late || sent.sequence != sequence {
            return;
        }
        sent.is_answered = true;
        let sent = *sent;
        if verdict.epoch != account.epoch && guards.epoch {
            account.rebase(verdict.epoch);
            return;
        }
        account.epoch = verdict.epoch;
        let counts = sent.counts;
        account.confirmed = counts;
        account.unanswered_since = account.is_unreported().then_some(now);
        account.is_registered = !sent.is_last;
        account.is_closed = sent.is_last && account.used_at <= sent.sent_at;
        account.over_until = now + verdict.retry_after;
        // The last of the operations that the report counted are those above the limit.
        let passed = counts.admitted.saturating_sub(verdict.over_by);
        for (ticket, outcome) in account.asks.range_mut(..=counts.admitted) {
            outcome.get_or_insert(*ticket <= passed);
        }
    }

    /// The state of each account, by customer.
    pub fn accounts(&self, now: Moment) -> impl Iterator<Item = (&CompactString, AccountState)> {
        self.accounts.iter().map(move |(customer, account)| {
            let state = AccountState {
                lender: account.lender.clone(),
                uncounted: account.uncounted(),
                is_cut_off: account.is_cut_off(now),
                over_for: account.over_until.saturating_sub(now),
            };
            (customer, state)
        })
    }
}
