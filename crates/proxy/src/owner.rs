//! The instances that this host owns: their connections, and the work run on them.

pub mod commands;
pub mod connection;
pub mod health;
pub mod instance;
pub mod lead;
pub mod monitor;
pub mod pairing;
pub mod pool;
pub mod position;
pub mod progress;
pub mod refusals;

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fulmarrill_budget::MemoryBudget;
use fulmarrill_position::{DatabaseName, LogPoint, Term};
use fulmarrill_schedule::RankIndex;

use crate::catalogue::{EndpointTable, InstanceEntry, InstanceId};
use crate::clock::BootTime;
use crate::codec::{DatabaseCodec, DatabaseStatus};
use crate::limits::{Admission, RateLimits};
use crate::owner::connection::DatabaseAnswer;
use crate::owner::instance::InstanceOwner;
use crate::owner::position::PrimaryPosition;
use crate::view::{TermView, TrafficView, ViewCell};
use crate::work::{NotRunReason, OwnerHint, WorkAnswer, WorkRequest};

/// Fraction of an instance's connection limit that one owner may open. The rest
/// is left to its successor, because the instance still counts the connections
/// of a dead owner.
const CONNECTION_SHARE: f64 = 0.75;
/// The same share where connections belong to customers: an owner then uses all that it
/// may open, and its successor needs as many at once, while the instance still counts
/// those of an owner that lost power.
const CUSTOMER_CONNECTION_SHARE: f64 = 0.45;
/// Connection limit of an instance for which the configuration declares none.
const DEFAULT_CONNECTION_LIMIT: usize = 16;
/// Maximum age of an observation that is used instead of asking the instance
/// again. The largest maximum age of data that endpoints declare is several
/// times as long.
const OBSERVATION_AGE_MAX: Duration = Duration::from_millis(300);

/// The owners of all instances that this host has connections to.
#[derive(Debug)]
pub struct OwnerTable {
    codec: DatabaseCodec,
    /// Bounds the rows that are read from instances; none where nothing is bounded.
    budget: Option<Arc<MemoryBudget>>,
    view: Arc<ViewCell>,
    limits: Option<Arc<RateLimits>>,
    owners: Mutex<HashMap<InstanceId, Arc<InstanceOwner>>>,
    positions: Mutex<HashMap<DatabaseName, PrimaryPosition>>,
    /// The last term of each database whose primary was found to have stepped
    /// down, which may precede the news of its successor.
    lost_terms: Mutex<HashMap<DatabaseName, Term>>,
}

impl OwnerTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(codec: DatabaseCodec, view: Arc<ViewCell>) -> Self {
        Self {
            codec,
            budget: None,
            view,
            limits: None,
            owners: Mutex::default(),
            positions: Mutex::default(),
            lost_terms: Mutex::default(),
        }
    }

    /// Applies customers' rate limits to the work.
    #[must_use]
    pub fn with_limits(mut self, limits: Arc<RateLimits>) -> Self {
        self.limits = Some(limits);
        self
    }

    /// Counts the rows that are read from instances against a budget.
    #[must_use]
    pub fn with_budget(mut self, budget: &Arc<MemoryBudget>) -> Self {
        self.budget = Some(budget.clone());
        self
    }

    fn owners(&self) -> MutexGuard<'_, HashMap<InstanceId, Arc<InstanceOwner>>> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn positions(&self) -> MutexGuard<'_, HashMap<DatabaseName, PrimaryPosition>> {
        self.positions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lost_terms(&self) -> MutexGuard<'_, HashMap<DatabaseName, Term>> {
        self.lost_terms
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the primary of `term` was found to have stepped down.
    fn has_stepped_down(&self, database: &str, term: Term) -> bool {
        let lost = self.lost_terms().get(database).copied();
        lost.is_some_and(|lost| lost >= term)
    }

    /// Returns all owners on this host.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<InstanceOwner>> {
        self.owners().values().cloned().collect()
    }

    /// Returns the owner of an instance on this host. Creates one if there is none,
    /// or if the instance restarted or changed its address.
    #[must_use]
    pub fn owner(&self, view: &TrafficView, instance: &InstanceEntry) -> Arc<InstanceOwner> {
        let mut owners = self.owners();
        if let Some(owner) = owners.get(&instance.id)
            && owner.is_same_run(instance)
        {
            owner.set_slots(instance.slots);
            return owner.clone();
        }
        let connections = owner_connection_limit(view.endpoints.as_deref(), &instance.database);
        let owner = InstanceOwner::new(self.codec, instance.clone(), connections);
        let owner = Arc::new(owner.with_budget(self.budget.clone()));
        owners.insert(instance.id.clone(), owner.clone());
        owner
    }

    /// Drops the owners of instances that left the view, unless they are in use. The
    /// others leave a slot to a change of primary that has to hear every replica.
    pub fn apply_view(&self, view: &TrafficView) {
        let mut owners = self.owners();
        owners.retain(|id, owner| view.instances.contains_key(id) || owner.is_used());
        for owner in owners.values() {
            owner.reserve_slot(must_hear_replicas(view, owner.database()));
        }
    }

    /// Whether this host may use the primary of `term` now.
    fn may_use_primary(&self, database: &str, term: Term) -> bool {
        let view = self.view.load();
        view.terms
            .get(database)
            .is_some_and(|held| held.may_use_primary(term, BootTime::now()))
    }

    /// Counts a request towards its customer's limit, if it has one.
    fn admit(&self, request: &WorkRequest) -> Result<Option<Admission<'_>>, NotRunReason> {
        match &self.limits {
            Some(limits) => limits.admit(request),
            None => Ok(None),
        }
    }

    /// Runs work of the host `from` on an instance, if its customer's rate limit admits
    /// it.
    pub async fn run(&self, from: &str, request: WorkRequest) -> WorkAnswer {
        let view = self.view.load();
        let Some(instance) = view.instances.get(&request.instance) else {
            return WorkAnswer::NotRun(NotRunReason::Unreachable);
        };
        let admission = match self.admit(&request) {
            Ok(admission) => admission,
            Err(reason) => return WorkAnswer::NotRun(reason),
        };
        if let Some(admission) = &admission
            && admission.is_asking()
        {
            // Boxed, because most requests do not wait.
            let waiting = Box::pin(admission.wait_for_lender(request.deadline));
            if let Err(reason) = waiting.await {
                return WorkAnswer::NotRun(reason);
            }
        }
        let primary_term = request.primary_term;
        let database = request.database.clone();
        let may_use_primary =
            || primary_term.is_none_or(|term| self.may_use_primary(&database, term));
        let may_send = || {
            let stepped_down = |term| self.has_stepped_down(&database, term);
            let may_send = may_use_primary() && !primary_term.is_some_and(stepped_down);
            if let (true, Some(admission)) = (may_send, &admission) {
                admission.note_sent();
            }
            may_send
        };
        let owner = self.owner(&view, instance);
        let report = owner.run(from, request, &may_send).await;
        if let (Some(admission), WorkAnswer::NotRun(_)) = (&admission, &report.answer) {
            admission.refund();
        }
        if let (Some(term), true) = (primary_term, report.lost_lead) {
            let mut lost_terms = self.lost_terms();
            let lost = lost_terms.entry(database.clone()).or_default();
            *lost = term.max(*lost);
        }
        // An answer that came after the lease had run out may be that of a
        // replaced primary.
        if primary_term.is_some() && !may_use_primary() {
            return match report.answer {
                WorkAnswer::Served { .. } => WorkAnswer::Unknown,
                other => other,
            };
        }
        if let (Some(term), Some(as_of), WorkAnswer::Served { point, .. }) =
            (primary_term, report.covers_until, &report.answer)
            && let Some(point) = point
        {
            self.positions()
                .entry(database)
                .or_default()
                .record(term, as_of, *point);
        }
        report.answer
    }

    /// Returns the hint for an answer to work of a rank that arrived at `arrived_at`;
    /// `None` if this host does not own the instance.
    #[must_use]
    pub fn hint(&self, instance: &str, rank: RankIndex, arrived_at: Instant) -> Option<OwnerHint> {
        let owner = self.owners().get(instance)?.clone();
        Some(OwnerHint {
            next: owner.expected_time(rank),
            spent: arrived_at.elapsed(),
        })
    }

    /// Returns a position of the primary and the moment up to which it covers every
    /// acknowledged commit; `None` if this host may not use the primary or gets no
    /// answer from it.
    pub async fn primary_position(&self, database: &str) -> Option<(BootTime, LogPoint)> {
        let view = self.view.load();
        let (instance, term) = view.primary(database)?;
        if !self.may_use_primary(database, term) {
            return None;
        }
        let known = self
            .positions()
            .get(database)
            .and_then(|position| position.latest(term));
        let now = BootTime::now();
        let fresh = known.filter(|(sent_at, _)| now.since(*sent_at) <= OBSERVATION_AGE_MAX);
        if fresh.is_some() {
            return fresh;
        }
        let owner = self.owner(&view, instance);
        let found = owner.query_position(term).await?;
        if !self.may_use_primary(database, term) {
            return None;
        }
        self.positions()
            .entry(database.into())
            .or_default()
            .record(term, found.0, found.1);
        Some(found)
    }

    /// Rolls back the open transactions of a host whose link ended.
    pub fn drop_pins_of(&self, host: &str) {
        for owner in self.all() {
            owner.drop_pins(|pinned| pinned.entry == host);
        }
    }

    /// Rolls back transactions that have been idle for too long, closes unused
    /// connections, sheds work that waits for a stalled instance, and probes
    /// instances that seem to be down.
    pub fn upkeep(&self, now: Instant) {
        let view = self.view.load();
        let Some(table) = &view.endpoints else {
            return;
        };
        for owner in self.all() {
            owner.drop_pins(|pinned| now >= pinned.idle_since + table.transaction_idle_time);
            owner.trim(now);
            owner.shed(now);
            if let Some(counts) = owner.refusals().take_due(now) {
                log::info!(
                    "instance {} refused to run or answered twice: {counts:?}",
                    owner.id()
                );
            }
            if owner.monitor().begin_probe(now) {
                fulmarrill_runtime::spawn(async move { owner.probe().await }).detach();
            }
        }
    }

    /// Returns how many answers each instance gave twice since the last call.
    #[must_use]
    pub fn take_copied_answers(&self) -> Vec<(InstanceId, u64)> {
        let mut counts = Vec::new();
        for owner in self.all() {
            let copied = owner.take_copied_answers();
            if copied > 0 {
                counts.push((owner.id().clone(), copied));
            }
        }
        counts
    }

    /// Returns the instances that this host cannot reach.
    #[must_use]
    pub fn unreachable_instances(&self, now: Instant) -> BTreeSet<InstanceId> {
        let mut down = BTreeSet::new();
        for owner in self.all() {
            if owner.monitor().health().is_down(now) {
                down.insert(owner.id().clone());
            }
        }
        down
    }

    /// Whether this host can reach an instance: it got an answer a moment ago, or
    /// gets one to a probe.
    pub async fn can_reach(&self, id: &InstanceId) -> bool {
        let view = self.view.load();
        let Some(instance) = view.instances.get(id) else {
            return false;
        };
        let owner = self.owner(&view, instance);
        let since = Instant::now().checked_sub(OBSERVATION_AGE_MAX);
        let has_answered =
            since.is_some_and(|since| owner.monitor().health().answered_since(since));
        has_answered || owner.probe().await
    }

    /// Decodes the status in the first row of an answer.
    #[must_use]
    pub fn read_status(&self, answer: &DatabaseAnswer) -> Option<DatabaseStatus> {
        answer.read_status(&self.codec)
    }

    /// Closes all connections as soon as they are free, so that a successor can
    /// open its own.
    pub fn retire(&self) {
        for owner in self.all() {
            owner.retire();
        }
    }

    /// Whether no owner has work or an open transaction.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.all().iter().all(|owner| owner.is_idle())
    }

    /// Returns the state of all owners for the state dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let mut list = Vec::new();
        for owner in self.all() {
            list.push(owner.dump());
        }
        list.into()
    }
}

/// Whether the primary of a database with synchronous replicas is being changed.
fn must_hear_replicas(view: &TrafficView, database: &str) -> bool {
    let is_changing = |term: &TermView| term.record.changed_by.is_some();
    let limits = view
        .endpoints
        .as_ref()
        .and_then(|table| table.databases.get(database));
    limits.is_some_and(|limits| limits.sync_replicas > 0)
        && view.terms.get(database).is_some_and(is_changing)
}

/// Returns how many connections to an instance of `database` one owner may open.
fn owner_connection_limit(table: Option<&EndpointTable>, database: &str) -> usize {
    let connections = table
        .and_then(|table| table.databases.get(database))
        .map_or(DEFAULT_CONNECTION_LIMIT, |limits| limits.connections);
    let has_customers = table.is_some_and(|table| table.customers.is_some());
    let share = if has_customers {
        CUSTOMER_CONNECTION_SHARE
    } else {
        CONNECTION_SHARE
    };
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    let limit = (connections as f64 * share) as usize;
    limit.max(1)
}
