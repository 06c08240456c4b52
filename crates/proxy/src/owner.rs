//! The owner's side: all connections to the instances that this host serves.

pub mod commands;
pub mod connection;
pub mod health;
pub mod instance;
pub mod monitor;
pub mod pool;
pub mod sight;

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fulmarrill_position::{DatabaseName, LogPoint, Term};

use crate::catalogue::{InstanceEntry, InstanceId};
use crate::clock::BootTime;
use crate::codec::{DatabaseCodec, DatabaseStatus};
use crate::owner::connection::DatabaseAnswer;
use crate::owner::instance::InstanceOwner;
use crate::owner::sight::PrimarySight;
use crate::view::{TrafficView, ViewCell};
use crate::work::{NotRunReason, WorkAnswer, WorkRequest};

/// Share of an instance's connections that one owner may open: the rest is for
/// its successor, while connections of a dead owner are still counted.
const CONNECTION_SHARE: f64 = 0.75;
/// Connections assumed where operators declare none.
const CONNECTIONS_DEFAULT: usize = 16;
/// An answer of the primary older than this does not answer the question for
/// its position; the oldest declared age of data is several times as long.
const SIGHT_AGE_MAX: Duration = Duration::from_millis(300);

/// The instances that this host has connections to.
#[derive(Debug)]
pub struct OwnerTable {
    codec: DatabaseCodec,
    view: Arc<ViewCell>,
    owners: Mutex<HashMap<InstanceId, Arc<InstanceOwner>>>,
    sights: Mutex<HashMap<DatabaseName, PrimarySight>>,
}

impl OwnerTable {
    /// An empty table.
    #[must_use]
    pub fn new(codec: DatabaseCodec, view: Arc<ViewCell>) -> Self {
        Self {
            codec,
            view,
            owners: Mutex::default(),
            sights: Mutex::default(),
        }
    }

    fn owners(&self) -> MutexGuard<'_, HashMap<InstanceId, Arc<InstanceOwner>>> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sights(&self) -> MutexGuard<'_, HashMap<DatabaseName, PrimarySight>> {
        self.sights.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All owners on this host.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<InstanceOwner>> {
        self.owners().values().cloned().collect()
    }

    /// The owner of an instance on this host, made if there is none.
    #[must_use]
    pub fn owner(&self, view: &TrafficView, instance: &InstanceEntry) -> Arc<InstanceOwner> {
        let mut owners = self.owners();
        if let Some(owner) = owners.get(&instance.id)
            && owner.is_same(instance)
        {
            return owner.clone();
        }
        let connections = view
            .endpoints
            .as_ref()
            .and_then(|table| table.databases.get(&instance.database))
            .map_or(CONNECTIONS_DEFAULT, |limits| limits.connections);
        let owner = Arc::new(InstanceOwner::new(
            self.codec,
            instance.clone(),
            share_of(connections),
        ));
        owners.insert(instance.id.clone(), owner.clone());
        owner
    }

    /// Forgets instances that are gone from the view.
    pub fn apply_view(&self, view: &TrafficView) {
        self.owners()
            .retain(|id, owner| view.instances.contains_key(id) || owner.is_used());
    }

    /// Whether this host may use the primary of `term` now.
    fn may_lead(&self, database: &str, term: Term) -> bool {
        let view = self.view.load();
        view.terms
            .get(database)
            .is_some_and(|held| held.may_use_primary(term, BootTime::now()))
    }

    /// Runs work at an instance.
    pub async fn run(&self, from: &str, request: WorkRequest) -> WorkAnswer {
        let view = self.view.load();
        let Some(instance) = view.instances.get(&request.instance) else {
            return WorkAnswer::NotRun(NotRunReason::Unreachable);
        };
        let lead = request.lead;
        let database = request.database.clone();
        let may_lead = || lead.is_none_or(|term| self.may_lead(&database, term));
        let owner = self.owner(&view, instance);
        let report = owner.run(from, request, &may_lead).await;
        // An answer that came after the lease had run out may be that of a
        // replaced primary.
        if lead.is_some() && !may_lead() {
            return match report.answer {
                WorkAnswer::Served { .. } => WorkAnswer::Unknown,
                other => other,
            };
        }
        if let (Some(term), Some(sent_at), WorkAnswer::Served { point, pin, .. }) =
            (lead, report.sent_at, &report.answer)
            // Inside a transaction the position may be that of its snapshot.
            && pin.is_none()
            && let Some(point) = point
        {
            self.sights()
                .entry(database)
                .or_default()
                .record(term, sent_at, *point);
        }
        report.answer
    }

    /// A position that covers every commit acknowledged until the moment that
    /// comes with it; none if this host may not use the primary.
    pub async fn primary_position(&self, database: &str) -> Option<(BootTime, LogPoint)> {
        let view = self.view.load();
        let (instance, term) = view.primary(database)?;
        if !self.may_lead(database, term) {
            return None;
        }
        let known = self.sights().get(database).and_then(|s| s.latest(term));
        let now = BootTime::now();
        let fresh = known.filter(|(sent_at, _)| now.since(*sent_at) <= SIGHT_AGE_MAX);
        if fresh.is_some() {
            return fresh;
        }
        let owner = self.owner(&view, instance);
        let found = owner.ask_position(term).await?;
        if !self.may_lead(database, term) {
            return None;
        }
        self.sights()
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

    /// Ends transactions that have been idle for too long, probes instances that
    /// seem to be down, and refuses what waits for one that does not answer.
    pub fn upkeep(&self, now: Instant) {
        let view = self.view.load();
        let Some(table) = &view.endpoints else {
            return;
        };
        for owner in self.all() {
            owner.drop_pins(|pinned| now >= pinned.kept_at + table.transaction_idle_time);
            owner.trim(now);
            owner.shed(now);
            if owner.monitor().begin_probe(now) {
                fulmarrill_runtime::spawn(async move { owner.probe().await }).detach();
            }
        }
    }

    /// The instances that this host cannot reach.
    #[must_use]
    pub fn down(&self, now: Instant) -> BTreeSet<InstanceId> {
        let mut down = BTreeSet::new();
        for owner in self.all() {
            if owner.monitor().health().is_down(now) {
                down.insert(owner.id().clone());
            }
        }
        down
    }

    /// Whether this host reaches an instance: it heard of it a moment ago, or
    /// it does when it tries.
    pub async fn reaches(&self, id: &InstanceId) -> bool {
        let view = self.view.load();
        let Some(instance) = view.instances.get(id) else {
            return false;
        };
        let owner = self.owner(&view, instance);
        let since = Instant::now().checked_sub(SIGHT_AGE_MAX);
        let heard = since.is_some_and(|since| owner.monitor().health().heard_since(since));
        heard || owner.probe().await
    }

    /// Reads the status in the answer to a command.
    #[must_use]
    pub fn read_status(&self, answer: &DatabaseAnswer) -> Option<DatabaseStatus> {
        let row = answer.rows.first()?;
        match (self.codec.read_status)(row) {
            Ok(status) => Some(status),
            Err(error) => {
                log::warn!("{error}");
                None
            }
        }
    }

    /// Gives connections up as soon as they are free, for a successor.
    pub fn retire(&self) {
        for owner in self.all() {
            owner.retire();
        }
    }

    /// Whether no work is left on this host.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.all().iter().all(|owner| owner.is_idle())
    }

    /// The state of all owners, for the dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let mut list = Vec::new();
        for owner in self.all() {
            list.push(owner.dump());
        }
        list.into()
    }
}

/// The connections that one owner may open.
fn share_of(connections: usize) -> usize {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    let share = (connections as f64 * CONNECTION_SHARE) as usize;
    share.max(1)
}
