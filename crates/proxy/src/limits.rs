//! Rate limits of customers: admission at owners, reports to lenders, and the lender's
//! part. The decisions are those of [`fulmarrill_limits`].

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;
pub use fulmarrill_limits::Tolerance;
use fulmarrill_limits::{
    Decision, LendTerms, LenderState, Limit, Moment, REPLY_TIME_MAX, RETRY_DELAY, SpendLine,
    SpenderState, Terms, Ticket, Verdict,
};
use fulmarrill_metrics::{KeyValue, MetricRegistry};
use fulmarrill_ownership::rendezvous_weight;
use fulmarrill_runtime::timeout_at;
use futures_lite::FutureExt;
use smol::Timer;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalogue::customers::{CustomerName, RateLimit};
use crate::catalogue::{HostName, RunName};
use crate::clock::BootTime;
use crate::context::{HostPlace, SharedContext};
use crate::peers::{ProxyCall, ProxyReply};
use crate::view::routes::RouteIndex;
use crate::view::{TrafficView, ViewCell};
use crate::work::{NotRunReason, WorkAnswer, WorkRequest, WorkStep};

/// Time over which operations of one lender's customers are collected into one report.
const REPORT_BATCH: Duration = Duration::from_millis(50);
/// Interval at which reports that are due are looked for.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time without a refusal after which a customer counts as no longer refused.
const REFUSING_TIME: Duration = Duration::from_secs(5);
/// Customers whose operations are shown by name in the metrics.
const NAMED_CUSTOMERS_MAX: usize = 16;
/// Name under which the operations of all other customers are shown.
const OTHER_CUSTOMERS: &str = "other";
/// Interval at which what is no longer needed is dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// A report on several customers of one lender.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpendReport {
    /// The customers with their counts.
    pub lines: Vec<(CustomerName, SpendLine)>,
}

/// The lender's answer on those customers whose lender it is.
pub type Verdicts = Vec<(CustomerName, Verdict)>;

fn to_limit(limit: RateLimit) -> Limit {
    Limit {
        per_second: limit.per_second,
        burst: limit.burst,
    }
}

fn now() -> Moment {
    BootTime::now().since_boot()
}

/// Number of a run of a host in reports.
fn run_number(run: &RunName) -> u64 {
    xxh3_64(run.as_bytes())
}

/// The limit of a customer in the configuration in force.
fn limit_of(view: &TrafficView, customer: &str) -> Option<Limit> {
    let table = view.endpoints.as_ref()?;
    table.limit_of(customer).map(to_limit)
}

/// Operations of a customer that this host decided on.
#[derive(Debug, Default)]
struct OperationCounts {
    admitted: u64,
    refused: u64,
    /// Refusals since the first one that was logged, and when the last one was.
    refusing: Option<(u64, Moment)>,
}

#[derive(Debug)]
struct LimitState {
    tolerance: Tolerance,
    /// The routes that `owners` were taken from.
    routes: Arc<RouteIndex>,
    /// The preferred owners.
    owners: Vec<HostName>,
    is_owner: bool,
    /// Lender of each customer that was looked up since the owners changed.
    lenders: HashMap<CustomerName, HostName>,
    lender: LenderState,
    spender: SpenderState,
    /// Number of the last report.
    sequence: u64,
    counts: HashMap<CustomerName, OperationCounts>,
    cleaned_at: Moment,
}

impl LimitState {
    /// Applies a change of the hosts or instances.
    fn follow(&mut self, place: &HostPlace, view: &TrafficView, now: Moment) {
        if Arc::ptr_eq(&self.routes, &view.routes) {
            return;
        }
        self.routes = view.routes.clone();
        let owners = view.routes.first_owners(&view.instances, &place.regions);
        if *owners == *self.owners {
            return;
        }
        self.owners = owners.to_vec();
        self.is_owner = self.owners.contains(&place.host);
        self.lenders.clear();
        let owners = &self.owners;
        let lends_to = |customer: &str| lender_of(customer, owners) == Some(&place.host);
        self.lender.retain(now, lends_to);
        let mut customers = Vec::new();
        for (customer, _) in self.spender.customers() {
            customers.push(customer.clone());
        }
        for customer in customers {
            let lender = self.lender_of(&customer);
            self.spender.set_lender(&customer, &lender);
        }
    }

    fn counts_of(&mut self, customer: &str) -> &mut OperationCounts {
        self.counts.entry(customer.into()).or_default()
    }

    /// Counts a refusal, and logs the first of several.
    fn record_refusal(&mut self, customer: &str, reason: NotRunReason, now: Moment) {
        let counts = self.counts_of(customer);
        counts.refused += 1;
        let (refused, last) = counts.refusing.get_or_insert_with(|| {
            log::info!("operations of customer {customer} are refused: {reason:?}");
            (0, now)
        });
        *refused += 1;
        *last = now;
    }

    /// Logs which customers are no longer refused.
    fn end_refusals(&mut self, now: Moment) {
        for (customer, counts) in &mut self.counts {
            let ended = |(_, last): &mut (u64, Moment)| now > *last + REFUSING_TIME;
            if let Some((refused, _)) = counts.refusing.take_if(ended) {
                log::info!(
                    "operations of customer {customer} are admitted again, {refused} were refused"
                );
            }
        }
    }

    /// The host that lends to a customer; empty if no host takes new work.
    fn lender_of(&mut self, customer: &str) -> HostName {
        if let Some(lender) = self.lenders.get(customer) {
            return lender.clone();
        }
        let lender = lender_of(customer, &self.owners)
            .cloned()
            .unwrap_or_default();
        self.lenders.insert(customer.into(), lender.clone());
        lender
    }

    /// Terms of a customer on a host whose operations are counted by `lender`.
    fn terms(&self, own: &str, lender: &str, limit: Limit) -> Terms {
        // A lender asks itself, which needs no message.
        if !self.is_owner || own == lender {
            return Terms::asking(limit);
        }
        Terms::new(limit, self.tolerance, self.owners.len())
    }

    /// The outcome of an operation that waits for its lender, once it is known.
    fn take_outcome(
        &mut self,
        customer: &str,
        ticket: Ticket,
        now: Moment,
    ) -> Option<Result<(), NotRunReason>> {
        if self.spender.outcome(now, customer, ticket)? {
            self.counts_of(customer).admitted += 1;
            return Some(Ok(()));
        }
        let reason = match self.spender.over_for(now, customer) {
            Some(retry_after) => over_limit(retry_after),
            None => limit_unknown(Duration::ZERO),
        };
        self.record_refusal(customer, reason, now);
        Some(Err(reason))
    }

    fn next_line(&mut self, customer: &str, run: u64, now: Moment) -> Option<SpendLine> {
        self.sequence += 1;
        let line = self.spender.report(customer, now, self.sequence)?;
        Some(SpendLine { run, ..line })
    }

    fn lend_terms(&self, limit: Limit) -> LendTerms {
        LendTerms {
            limit,
            tolerance: self.tolerance,
            owners: self.owners.len(),
        }
    }

    /// Counts operations of this host as their lender.
    fn count_own(&mut self, place: &HostPlace, customer: &str, limit: Limit, now: Moment) {
        let run = run_number(&place.run);
        // The first line to a new bucket only learns its epoch.
        for _ in 0..2 {
            let Some(line) = self.next_line(customer, run, now) else {
                return;
            };
            let terms = self.lend_terms(limit);
            let verdict = self.lender.count(now, customer, &place.host, line, terms);
            let is_counted = verdict.epoch == line.epoch;
            self.spender.apply(customer, now, line.sequence, verdict);
            if is_counted {
                return;
            }
        }
    }
}

/// The preferred owner that lends to a customer.
fn lender_of<'a>(customer: &str, owners: &'a [HostName]) -> Option<&'a HostName> {
    owners
        .iter()
        .max_by_key(|&owner| (rendezvous_weight(customer, owner), owner))
}

/// An operation that counts towards its customer's limit. It is given back if it is dropped
/// before it is sent.
#[derive(Debug)]
pub struct Admission<'a> {
    limits: &'a RateLimits,
    customer: CustomerName,
    ticket: Ticket,
    is_asking: bool,
    /// Whether it was sent, or given back.
    is_settled: AtomicBool,
}

impl Admission<'_> {
    /// Whether the operation may run only after [`Admission::wait_for_lender`].
    #[must_use]
    pub fn is_asking(&self) -> bool {
        self.is_asking
    }

    /// Waits until the lender has counted the operation.
    ///
    /// # Errors
    ///
    /// When it may not run, or the lender does not answer.
    pub async fn wait_for_lender(&self, deadline: Instant) -> Result<(), NotRunReason> {
        let limits = self.limits;
        let until = deadline.min(Instant::now() + REPLY_TIME_MAX);
        loop {
            let listener = limits.answered.listen();
            let outcome = limits
                .state()
                .take_outcome(&self.customer, self.ticket, now());
            if let Some(outcome) = outcome {
                // A refusal has given it back.
                self.is_settled.store(outcome.is_err(), Ordering::Relaxed);
                return outcome;
            }
            if timeout_at(until, listener).await.is_err() {
                let reason = limit_unknown(RETRY_DELAY);
                let mut state = limits.state();
                state.record_refusal(&self.customer, reason, now());
                return Err(reason);
            }
        }
    }

    /// Notes that the operation is sent to its instance now.
    pub fn note_sent(&self) {
        if !self.is_settled.swap(true, Ordering::Relaxed) {
            self.limits.state().spender.note_sent(&self.customer);
        }
    }

    /// Gives the operation back, because it certainly did not run.
    pub fn refund(&self) {
        let was_sent = self.is_settled.swap(true, Ordering::Relaxed);
        let mut state = self.limits.state();
        if !was_sent {
            state.spender.note_sent(&self.customer);
        }
        state.spender.refund(now(), &self.customer, self.ticket);
    }
}

impl Drop for Admission<'_> {
    fn drop(&mut self) {
        if !self.is_settled.load(Ordering::Relaxed) {
            self.refund();
        }
    }
}

/// Rate limits on one host.
#[derive(Debug)]
pub struct RateLimits {
    place: HostPlace,
    view: Arc<ViewCell>,
    state: Mutex<LimitState>,
    /// Notified when a report is due at once.
    due: Event,
    /// Notified when a lender has answered.
    answered: Event,
    /// Customers that the entry knows to be over their limit, and until when.
    refused_until: Mutex<HashMap<CustomerName, Instant>>,
}

fn over_limit(retry_after: Duration) -> NotRunReason {
    let retry_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
    NotRunReason::OverLimit {
        retry_ms: retry_ms.saturating_add(1),
    }
}

fn limit_unknown(retry_after: Duration) -> NotRunReason {
    let retry_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
    NotRunReason::LimitUnknown {
        retry_ms: retry_ms.saturating_add(1),
    }
}

impl RateLimits {
    /// Creates the limits of a host that has just started.
    #[must_use]
    pub fn new(place: &HostPlace, view: Arc<ViewCell>) -> Arc<Self> {
        // Half of the range is left for the epochs that follow in this run.
        let seed = fastrand::u64(..) >> 1;
        let state = LimitState {
            tolerance: Tolerance::default(),
            routes: Arc::default(),
            owners: Vec::new(),
            is_owner: false,
            lenders: HashMap::new(),
            lender: LenderState::new(seed, now()),
            spender: SpenderState::new(),
            sequence: 0,
            counts: HashMap::new(),
            cleaned_at: now(),
        };
        Arc::new(Self {
            place: place.clone(),
            view,
            state: Mutex::new(state),
            due: Event::new(),
            answered: Event::new(),
            refused_until: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn refused_until(&self) -> MutexGuard<'_, HashMap<CustomerName, Instant>> {
        self.refused_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how far customers may exceed their limits.
    pub fn set_tolerance(&self, tolerance: Tolerance) {
        self.state().tolerance = tolerance;
    }

    /// Decides whether the owner on this host may run a request. Returns `None` for a
    /// request that no limit applies to.
    ///
    /// # Errors
    ///
    /// When it may not run.
    pub fn admit(&self, request: &WorkRequest) -> Result<Option<Admission<'_>>, NotRunReason> {
        let is_counted = request.is_signed_in && !matches!(request.step, WorkStep::Continue(_));
        if !is_counted {
            return Ok(None);
        }
        let customer = &request.customer;
        let view = self.view.load();
        let Some(limit) = limit_of(&view, customer) else {
            return Ok(None);
        };
        let (ticket, is_asking) = self.decide(&view, customer, limit)?;
        Ok(Some(Admission {
            limits: self,
            customer: customer.clone(),
            ticket,
            is_asking,
            is_settled: AtomicBool::new(false),
        }))
    }

    /// Returns the ticket of an operation, and whether it has to wait for the lender.
    fn decide(
        &self,
        view: &TrafficView,
        customer: &str,
        limit: Limit,
    ) -> Result<(Ticket, bool), NotRunReason> {
        let now = now();
        let mut guard = self.state();
        let state = &mut *guard;
        state.follow(&self.place, view, now);
        let lender = state.lender_of(customer);
        let terms = state.terms(&self.place.host, &lender, limit);
        let decision = state.spender.admit(now, customer, &lender, terms);
        if lender == self.place.host {
            state.count_own(&self.place, customer, limit, now);
        } else if state
            .spender
            .is_report_due(customer, now, terms.float, REPORT_BATCH)
        {
            self.due.notify(1);
        }
        let refusal = match decision {
            Decision::Admitted(ticket) => {
                state.counts_of(customer).admitted += 1;
                return Ok((ticket, false));
            }
            Decision::Ask(ticket) => match state.take_outcome(customer, ticket, now) {
                None => return Ok((ticket, true)),
                Some(Ok(())) => return Ok((ticket, false)),
                Some(Err(reason)) => return Err(reason),
            },
            Decision::Refused(retry_after) => over_limit(retry_after),
            Decision::CutOff(retry_after) => limit_unknown(retry_after),
        };
        state.record_refusal(customer, refusal, now);
        Err(refusal)
    }

    /// Counts what the host `from` reports of customers, as far as this host lends to
    /// them.
    pub fn count(&self, from: &str, report: SpendReport) -> Verdicts {
        let view = self.view.load();
        let now = now();
        let mut guard = self.state();
        let state = &mut *guard;
        state.follow(&self.place, &view, now);
        let mut verdicts = Verdicts::new();
        for (customer, line) in report.lines {
            let Some(limit) = limit_of(&view, &customer) else {
                continue;
            };
            if state.lender_of(&customer) != self.place.host {
                continue;
            }
            let terms = state.lend_terms(limit);
            let verdict = state.lender.count(now, &customer, from, line, terms);
            verdicts.push((customer, verdict));
        }
        verdicts
    }

    fn apply(&self, report: &[(CustomerName, SpendLine)], verdicts: &Verdicts) {
        let now = now();
        let mut state = self.state();
        for (customer, verdict) in verdicts {
            let line = report.iter().find(|(name, _)| name == customer);
            if let Some((_, line)) = line {
                state.spender.apply(customer, now, line.sequence, *verdict);
            }
        }
        drop(state);
        self.answered.notify(usize::MAX);
        // A bucket whose epoch was not known has counted nothing yet.
        self.due.notify(1);
    }

    /// Takes the reports that are due, by lender.
    fn take_due(&self) -> HashMap<HostName, Vec<(CustomerName, SpendLine)>> {
        let view = self.view.load();
        let now = now();
        let mut guard = self.state();
        let state = &mut *guard;
        state.follow(&self.place, &view, now);
        let mut due = Vec::new();
        for (customer, lender) in state.spender.customers() {
            let Some(limit) = limit_of(&view, customer) else {
                continue;
            };
            let float = state.terms(&self.place.host, lender, limit).float;
            let spender = &state.spender;
            if spender.is_report_due(customer, now, float, REPORT_BATCH) {
                due.push((customer.clone(), lender.clone(), limit));
            }
        }
        let run = run_number(&self.place.run);
        let mut reports: HashMap<HostName, Vec<(CustomerName, SpendLine)>> = HashMap::new();
        for (customer, lender, limit) in due {
            if lender == self.place.host {
                state.count_own(&self.place, &customer, limit, now);
            } else if let Some(line) = state.next_line(&customer, run, now) {
                reports.entry(lender).or_default().push((customer, line));
            }
        }
        reports
    }

    /// Follows changes of the hosts, so that a new lender gains tokens from then on, and
    /// drops what is no longer needed.
    pub fn upkeep(&self) {
        let view = self.view.load();
        let table = view.endpoints.as_ref();
        if table.is_none_or(|table| table.customers.is_none()) {
            return;
        }
        let now = now();
        let mut state = self.state();
        state.follow(&self.place, &view, now);
        state.end_refusals(now);
        if now < state.cleaned_at + CLEANUP_INTERVAL {
            return;
        }
        state.cleaned_at = now;
        let runs_now = |host: &str, run: u64| {
            let host = view.host(host);
            host.is_some_and(|host| run_number(&host.run) == run)
        };
        state.lender.forget_spenders(now, runs_now);
        let has_limit = |customer: &str| limit_of(&view, customer).is_some();
        state.spender.retain(has_limit);
        state.counts.retain(|customer, _| has_limit(customer));
        let now = Instant::now();
        self.refused_until().retain(|_, until| now < *until);
    }

    /// Returns the refusal of a customer that the entry knows to be over its limit.
    #[must_use]
    pub fn known_refusal(&self, customer: &str) -> Option<NotRunReason> {
        let until = *self.refused_until().get(customer)?;
        let time_left = until.checked_duration_since(Instant::now())?;
        limit_of(&self.view.load(), customer)?;
        let reason = over_limit(time_left);
        self.state().record_refusal(customer, reason, now());
        Some(reason)
    }

    /// Renders the operations of the busiest customers as Prometheus text.
    #[must_use]
    pub fn render_metrics(&self) -> String {
        let mut counts = Vec::new();
        for (customer, count) in &self.state().counts {
            counts.push((count.admitted, count.refused, customer.clone()));
        }
        if counts.is_empty() {
            return String::new();
        }
        counts.sort_by_key(|(admitted, refused, _)| Reverse(admitted + refused));
        // Which customers are named changes, and a registry never drops a label.
        let registry = MetricRegistry::new();
        let operations = registry.counter(
            "fulmarrill_limited_operations",
            "Operations of customers with a rate limit, by decision",
        );
        for (index, (admitted, refused, customer)) in counts.into_iter().enumerate() {
            let name = if index < NAMED_CUSTOMERS_MAX {
                customer.to_string()
            } else {
                OTHER_CUSTOMERS.to_owned()
            };
            for (decision, count) in [("admitted", admitted), ("refused", refused)] {
                let labels = [
                    KeyValue::new("customer", name.clone()),
                    KeyValue::new("decision", decision),
                ];
                operations.add(count, &labels);
            }
        }
        let mut text = String::new();
        for line in registry.render().lines() {
            // The other registry of the host describes the process.
            if line.contains("fulmarrill_limited_operations") {
                text.push_str(line);
                text.push('\n');
            }
        }
        text
    }

    /// The limits that are in use, for diagnostics.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let view = self.view.load();
        let now = now();
        let state = self.state();
        let limit = |customer: &str| {
            let limit = limit_of(&view, customer);
            limit.map(|limit| (limit.per_second, limit.burst))
        };
        let mut used = Vec::new();
        for (customer, account) in state.spender.accounts(now) {
            used.push(serde_json::json!({
                "customer": customer,
                "limit": limit(customer),
                "lender": account.lender,
                "uncounted": account.uncounted,
                "is_cut_off": account.is_cut_off,
                "over_for_ms": account.over_for.as_millis().to_string(),
            }));
        }
        let mut lent = Vec::new();
        for (customer, bucket) in state.lender.buckets(now) {
            lent.push(serde_json::json!({
                "customer": customer,
                "limit": limit(customer),
                "tokens": bucket.tokens,
                "silent": bucket.silent,
            }));
        }
        serde_json::json!({"owners": state.owners, "used": used, "lent": lent})
    }

    /// Remembers an owner's refusal of a customer that is over its limit.
    pub fn note_answer(&self, customer: &CustomerName, answer: &WorkAnswer) {
        if let WorkAnswer::NotRun(NotRunReason::OverLimit { retry_ms }) = answer {
            let time = Duration::from_millis(u64::from(*retry_ms)).min(KNOWN_REFUSAL_MAX);
            let until = Instant::now() + time;
            self.refused_until().insert(customer.clone(), until);
        }
    }
}

/// Longest time for which an entry refuses a customer without asking the owner.
const KNOWN_REFUSAL_MAX: Duration = Duration::from_secs(2);

/// Sends reports to lenders until the task is dropped.
pub async fn run_reports(context: SharedContext) {
    let limits = &context.limits;
    loop {
        let listener = limits.due.listen();
        for (lender, lines) in limits.take_due() {
            let context = context.clone();
            fulmarrill_runtime::spawn(async move { report(&context, &lender, lines).await })
                .detach();
        }
        let is_active = limits.state().spender.is_active();
        let waiting = async {
            if is_active {
                Timer::after(REPORT_POLL_INTERVAL).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        listener.or(waiting).await;
    }
}

/// Sends one report. One that is not answered is followed by a later one with the same
/// counts, so a failure needs no further steps.
async fn report(context: &SharedContext, lender: &str, lines: Vec<(CustomerName, SpendLine)>) {
    let view = context.view.load();
    let Some(host) = view.host(lender) else {
        return;
    };
    let call = ProxyCall::Spend(SpendReport {
        lines: lines.clone(),
    });
    let deadline = Instant::now() + REPLY_TIME_MAX;
    match context.peers.call(&host.address, call, deadline).await {
        Ok(ProxyReply::Verdicts(verdicts)) => context.limits.apply(&lines, &verdicts),
        Ok(_) => log::warn!("{lender} did not understand a report of operations"),
        Err(error) => log::debug!("{lender} did not answer a report of operations: {error}"),
    }
}
