//! Monitors database groups and replaces their primaries.
//!
//! A few hosts, in different data centres if possible, coordinate each group.
//! The first acts at once when the primary must be replaced; each further one
//! waits a little longer, in case those before it cannot act. Concurrent
//! attempts are resolved by the conditional update in the store and by the
//! fences, not by timing.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use fulmarrill_objects::ObjectKey;
use fulmarrill_peer::{ControlGroup, ControlUpdate, PeerCall};
use fulmarrill_pg::{DatabaseConnection, PgError};
use fulmarrill_position::{DatabaseName, InstanceName, InstanceRole, InstanceStatus, LogPoint};
use fulmarrill_replication::{
    DatabaseGroup, GroupInstance, GroupMonitor, MonitorVerdict, PromotionAction, PromotionEvent,
    PromotionOutcome, PromotionPlan,
};
use serde_json::Value;
use smol::{LocalExecutor, Task, Timer};

use crate::context::SharedContext;
use crate::control::ControlEvent;
use crate::owner::DatabaseAdapter;
use crate::platform::{GROUP_KIND, UpdateOutcome, compare_and_set};
use crate::view::VersionedGroup;

/// Number of hosts that coordinate one group.
const COORDINATORS_PER_GROUP: usize = 3;
/// Time between two checks of a group.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two status queries to an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(80);
/// Timeout for a command or a status query to an instance.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without an answer after which a primary is replaced.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(500);
/// Additional delay of each further coordinator, in the order of the
/// coordinators.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(500);
/// Timeout for a whole change of primary.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout for one update in the store, including reading it back.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay after a change of primary that did not complete.
const FAILURE_BACKOFF: Duration = Duration::from_millis(200);
/// Time for which writes are held back for a planned switchover.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1500);

/// The coordinator tasks of the groups that this host coordinates.
#[derive(Debug, Default)]
pub struct CoordinatorSet {
    tasks: BTreeMap<DatabaseName, Task<()>>,
}

impl CoordinatorSet {
    /// A set without coordinators.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Stops every coordinator, until the next call of [`Self::reconcile`].
    pub fn clear(&mut self) {
        self.tasks.clear();
    }

    /// Starts and stops coordinators so that they match the view in force.
    pub fn reconcile(&mut self, context: &SharedContext, executor: &Rc<LocalExecutor<'static>>) {
        let view = context.view.load();
        let is_coordinator = |database: &str| {
            let hosts = view.hosts.coordinators_of(database, COORDINATORS_PER_GROUP);
            hosts.iter().any(|host| host.name == context.settings.host)
        };
        self.tasks
            .retain(|database, _| view.group(database).is_some() && is_coordinator(database));
        for database in view.groups.keys() {
            if self.tasks.contains_key(database) || !is_coordinator(database) {
                continue;
            }
            let coordinator = GroupCoordinator::new(context.clone(), database.clone());
            let task = executor.spawn(coordinator.run(executor.clone()));
            self.tasks.insert(database.clone(), task);
        }
    }
}

/// A client for the commands and status queries of this host's coordinator to
/// one instance. It connects on demand.
#[derive(Debug)]
struct InstanceClient {
    address: CompactString,
    database: DatabaseName,
    connection: smol::lock::Mutex<Option<DatabaseConnection>>,
}

impl InstanceClient {
    /// A client of the same instance that has no connection yet.
    fn without_connection(&self) -> Self {
        Self {
            address: self.address.clone(),
            database: self.database.clone(),
            connection: smol::lock::Mutex::new(None),
        }
    }

    /// Runs one of the adapter's statements, on a new connection if there is
    /// none.
    async fn run(&self, sql: &str, timeout: Duration) -> Result<InstanceStatus, PgError> {
        let deadline = Instant::now() + timeout;
        let mut held = self.connection.lock().await;
        let mut kept = held.take();
        if let Some(connection) = &mut kept
            && !connection.is_reusable().await
        {
            kept = None;
        }
        let mut connection = if let Some(connection) = kept {
            connection
        } else {
            let target = DatabaseAdapter::target(&self.address, &self.database);
            DatabaseConnection::connect(&target, deadline).await?
        };
        let result = DatabaseAdapter::run(&mut connection, sql, deadline).await;
        let usable = match &result {
            Ok(_) => true,
            Err(error) => matches!(error, PgError::Server { .. }) && connection.is_drained(),
        };
        if usable {
            *held = Some(connection);
        }
        result
    }
}

/// Observations of a group, shared by its tasks on the control thread.
#[derive(Debug)]
struct GroupObservations {
    monitor: GroupMonitor,
    statuses: BTreeMap<InstanceName, InstanceStatus>,
}

/// Monitors one group and replaces its primary.
struct GroupCoordinator {
    context: SharedContext,
    database: DatabaseName,
    observations: Rc<RefCell<GroupObservations>>,
    clients: BTreeMap<InstanceName, Rc<InstanceClient>>,
    pollers: BTreeMap<InstanceName, Task<()>>,
    unhealthy_since: Option<Instant>,
}

impl GroupCoordinator {
    fn new(context: SharedContext, database: DatabaseName) -> Self {
        let monitor = GroupMonitor::new(FAILURE_TIMEOUT);
        let observations = GroupObservations {
            monitor,
            statuses: BTreeMap::new(),
        };
        Self {
            context,
            database,
            observations: Rc::new(RefCell::new(observations)),
            clients: BTreeMap::new(),
            pollers: BTreeMap::new(),
            unhealthy_since: None,
        }
    }

    async fn run(mut self, executor: Rc<LocalExecutor<'static>>) {
        loop {
            let view = self.context.view.load();
            if let Some(versioned) = view.group(&self.database) {
                let versioned = versioned.clone();
                self.reconcile_clients(&versioned.group, &executor);
                self.check(&versioned).await;
            }
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    fn reconcile_clients(&mut self, group: &DatabaseGroup, executor: &Rc<LocalExecutor<'static>>) {
        self.clients
            .retain(|name, _| group.instance(name).is_some());
        self.pollers
            .retain(|name, _| group.instance(name).is_some());
        for instance in &group.instances {
            if self.clients.contains_key(&instance.name) {
                continue;
            }
            let client = Rc::new(InstanceClient {
                address: self.context.routes.route(&instance.address),
                database: self.database.clone(),
                connection: smol::lock::Mutex::new(None),
            });
            let poller = poll_instance(
                instance.name.clone(),
                client.clone(),
                self.observations.clone(),
            );
            self.pollers
                .insert(instance.name.clone(), executor.spawn(poller));
            self.clients.insert(instance.name.clone(), client);
        }
    }

    /// Delay before this host acts, by its position among the coordinators.
    fn takeover_delay(&self) -> Duration {
        let view = self.context.view.load();
        let hosts = view
            .hosts
            .coordinators_of(&self.database, COORDINATORS_PER_GROUP);
        let index = hosts
            .iter()
            .position(|host| host.name == self.context.settings.host);
        TAKEOVER_STAGGER
            * u32::try_from(index.unwrap_or(COORDINATORS_PER_GROUP)).unwrap_or(u32::MAX)
    }

    async fn check(&mut self, versioned: &VersionedGroup) {
        let now = Instant::now();
        let verdict = self
            .observations
            .borrow_mut()
            .monitor
            .check(now, &versioned.group);
        match verdict {
            MonitorVerdict::Healthy | MonitorVerdict::NoMajority => {
                self.unhealthy_since = None;
                self.maintain(versioned).await;
            }
            _ => {
                let since = *self.unhealthy_since.get_or_insert(now);
                if now.saturating_duration_since(since) < self.takeover_delay() {
                    return;
                }
                log::warn!(
                    "{}: replacing the primary, cause {verdict:?}",
                    self.database
                );
                self.change_primary(versioned).await;
                self.unhealthy_since = None;
            }
        }
    }

    /// Maintains a healthy group: makes replicas follow the primary, and
    /// switches over from a primary that is leaving. Only the first coordinator
    /// does so.
    async fn maintain(&mut self, versioned: &VersionedGroup) {
        if !self.takeover_delay().is_zero() {
            return;
        }
        let group = &versioned.group;
        let Some(primary) = group.primary_instance() else {
            return;
        };
        if primary.leaving && self.successor_ready(group, primary) {
            self.switch_over(versioned, primary).await;
            return;
        }
        for instance in &group.instances {
            if instance.name == primary.name {
                continue;
            }
            let status = self
                .observations
                .borrow()
                .statuses
                .get(&instance.name)
                .copied();
            if status.is_some_and(|status| follows(&status, group)) {
                continue;
            }
            self.send_follow(group, instance, primary).await;
        }
    }

    async fn send_follow(
        &self,
        group: &DatabaseGroup,
        instance: &GroupInstance,
        primary: &GroupInstance,
    ) {
        let Some(client) = self.clients.get(&instance.name) else {
            return;
        };
        let sql = DatabaseAdapter::follow(group.term, &primary.address);
        if let Err(error) = client.run(&sql, ANSWER_TIMEOUT).await {
            log::debug!(
                "cannot make {} follow {}: {error}",
                instance.name,
                primary.name
            );
        }
    }

    /// Whether some instance that is not leaving streams from the primary with
    /// a matching log.
    fn successor_ready(&self, group: &DatabaseGroup, primary: &GroupInstance) -> bool {
        let observations = self.observations.borrow();
        let now = Instant::now();
        let ready = |instance: &GroupInstance| {
            let status = observations.monitor.recent_status(now, &instance.name);
            let streams = status.is_some_and(|status| status.streaming && status.matched);
            instance.name != primary.name && !instance.leaving && streams
        };
        group.instances.iter().any(ready)
    }

    /// Runs a planned switchover: lets writes in flight finish while new ones
    /// wait at their entries, so that none fails.
    async fn switch_over(&mut self, versioned: &VersionedGroup, primary: &GroupInstance) {
        log::info!(
            "{}: switching over because primary {} is leaving",
            self.database,
            primary.name
        );
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        let view = self.context.view.load();
        if let Some(host) = view.owner_of(primary) {
            let host = host.clone();
            if host.name == self.context.settings.host {
                crate::owner::drain(&self.context, &self.database, deadline).await;
            } else {
                let call = PeerCall::Drain(self.database.clone(), deadline);
                self.context
                    .peers
                    .call(&host.peer_address, call, deadline)
                    .await
                    .ok();
            }
        }
        self.wait_caught_up(&versioned.group, primary, deadline)
            .await;
        self.change_primary(versioned).await;
    }

    /// Waits until an instance that is not leaving has received the whole log
    /// of the leaving primary, since the instance with the newest log is
    /// promoted. The primary takes no writes meanwhile, so one status query to
    /// it is enough.
    async fn wait_caught_up(&self, group: &DatabaseGroup, primary: &GroupInstance, until: Instant) {
        let Some(client) = self.clients.get(&primary.name) else {
            return;
        };
        let Ok(status) = client.run(DatabaseAdapter::STATUS, ANSWER_TIMEOUT).await else {
            return;
        };
        let mut waits = Vec::new();
        for instance in &group.instances {
            if instance.name == primary.name || instance.leaving {
                continue;
            }
            if let Some(client) = self.clients.get(&instance.name) {
                waits.push(Box::pin(wait_received(client, status.received)));
            }
        }
        // The first instance to catch up is enough, so that distant ones add no
        // delay.
        let first = std::future::poll_fn(|context| {
            for wait in &mut waits {
                if wait.as_mut().poll(context).is_ready() {
                    return std::task::Poll::Ready(());
                }
            }
            std::task::Poll::Pending
        });
        fulmarrill_runtime::timeout_at(until, first).await.ok();
    }

    /// Makes the other instances follow a new primary without waiting for the
    /// next check: no write can be confirmed before one of them does.
    fn redirect_replicas(&self, group: Option<&DatabaseGroup>) {
        let Some((group, primary)) = group.and_then(|g| Some((g, g.primary_instance()?))) else {
            return;
        };
        // Without a receiver, since nothing waits for the results.
        let (sender, _) = async_channel::unbounded();
        for instance in &group.instances {
            if instance.name == primary.name {
                continue;
            }
            let sql = DatabaseAdapter::follow(group.term, &primary.address);
            let to_event = |name, _| PromotionEvent::Promoted(name);
            self.command(instance.name.clone(), sql, &sender, to_event);
        }
    }

    /// Runs a promotion plan from the reservation to the publication.
    async fn change_primary(&mut self, versioned: &VersionedGroup) {
        let started_at = Instant::now();
        let change_id = format_compact!("{}-{:016x}", self.context.run_name, fastrand::u64(..));
        let plan = PromotionPlan::new(versioned.group.clone(), &change_id);
        let deadline = started_at + PROMOTION_TIMEOUT;
        let ended = self.run_plan(plan, versioned.version, deadline).await;
        let took = started_at.elapsed();
        match ended.as_ref().and_then(PromotionPlan::outcome) {
            Some(PromotionOutcome::Done(name, term)) => {
                self.redirect_replicas(ended.as_ref().map(PromotionPlan::group));
                log::info!(
                    "{}: promoted {name} to primary of term {term} in {took:?}",
                    self.database
                );
            }
            other => {
                log::warn!(
                    "{}: change of primary did not complete: {other:?}",
                    self.database
                );
                Timer::after(FAILURE_BACKOFF).await;
            }
        }
    }

    async fn run_plan(
        &self,
        mut plan: PromotionPlan,
        mut version: u64,
        deadline: Instant,
    ) -> Option<PromotionPlan> {
        let (sender, events) = async_channel::unbounded();
        let mut actions = vec![plan.start()];
        loop {
            for action in std::mem::take(&mut actions) {
                match action {
                    PromotionAction::Reserve(group) => {
                        let written = self.write_group(&group, &mut version).await;
                        sender
                            .try_send(store_event(written, PromotionEvent::Reserved))
                            .ok();
                    }
                    PromotionAction::Publish(group) => {
                        let written = self.write_group(&group, &mut version).await;
                        sender
                            .try_send(store_event(written, PromotionEvent::Published))
                            .ok();
                    }
                    PromotionAction::Fence(name, term) => {
                        let sql = DatabaseAdapter::fence(term);
                        self.command(name, sql, &sender, |name, result| match result {
                            Ok(status) => PromotionEvent::Fenced(name, status),
                            Err(_) => PromotionEvent::FenceFailed(name),
                        });
                    }
                    PromotionAction::Promote(name, term) => {
                        let sql = DatabaseAdapter::promote(term);
                        self.command(name, sql, &sender, |name, result| match result {
                            Ok(_) => PromotionEvent::Promoted(name),
                            Err(_) => PromotionEvent::PromoteFailed(name),
                        });
                    }
                }
            }
            if plan.outcome().is_some() {
                return Some(plan);
            }
            let event = fulmarrill_runtime::timeout_at(deadline, events.recv())
                .await
                .ok()?
                .ok()?;
            actions = plan.handle(event);
        }
    }

    /// Sends a command to an instance in the background; its result becomes an
    /// event.
    fn command(
        &self,
        name: InstanceName,
        sql: String,
        sender: &async_channel::Sender<PromotionEvent>,
        to_event: fn(InstanceName, Result<InstanceStatus, PgError>) -> PromotionEvent,
    ) {
        let Some(client) = self.clients.get(&name) else {
            sender.try_send(PromotionEvent::FenceFailed(name)).ok();
            return;
        };
        let fresh = client.without_connection();
        let open = client
            .connection
            .try_lock()
            .and_then(|mut held| held.take());
        let used = InstanceClient {
            connection: smol::lock::Mutex::new(open),
            ..client.without_connection()
        };
        let sender = sender.clone();
        // The command is sent on the open connection, since a new one takes
        // several round trips, and at the same time on a new one, since the
        // open one may have gone silent. Commands are idempotent, and the first
        // success counts.
        fulmarrill_runtime::spawn(async move {
            let result = first_success(
                used.run(&sql, ANSWER_TIMEOUT),
                fresh.run(&sql, ANSWER_TIMEOUT),
            );
            sender.try_send(to_event(name, result.await)).ok();
        })
        .detach();
    }

    /// Writes the group to the store and sends it to every host. If the answer
    /// of the store is lost, the change id shows whether the write took effect.
    async fn write_group(&self, group: &DatabaseGroup, version: &mut u64) -> bool {
        let Ok(value) = serde_json::to_value(group) else {
            return false;
        };
        let key = ObjectKey::new(GROUP_KIND, &group.database);
        let is_ours = |held: &Value| {
            held["change_id"] == group.change_id.as_str() && held["primary"] == value["primary"]
        };
        let deadline = Instant::now() + STORE_TIMEOUT;
        let update = compare_and_set(
            &self.context.platform,
            &key,
            *version,
            &value,
            is_ours,
            deadline,
        );
        match update.await {
            Ok(UpdateOutcome::Written(written)) => {
                *version = written;
                let news = ControlGroup {
                    version: written,
                    group: group.clone(),
                };
                let news = ControlUpdate {
                    groups: vec![news],
                    ..ControlUpdate::default()
                };
                self.context
                    .send_control_event(ControlEvent::News(news.clone()));
                crate::peers::broadcast_news(&self.context, &news);
                true
            }
            Ok(UpdateOutcome::Conflict(held)) => {
                log::info!(
                    "{}: conflicting update of the group, version {held} is in the store",
                    self.database
                );
                false
            }
            Err(error) => {
                log::warn!(
                    "{}: cannot write the group to the store: {error}",
                    self.database
                );
                false
            }
        }
    }
}

/// Returns once an instance has received everything up to `point`.
async fn wait_received(client: &InstanceClient, point: LogPoint) {
    loop {
        let status = client.run(DatabaseAdapter::STATUS, ANSWER_TIMEOUT).await;
        if status.is_ok_and(|status| status.received >= point) {
            return;
        }
        Timer::after(Duration::from_millis(1)).await;
    }
}

/// Returns the first success of two futures, or [`PgError::Silent`] if there is
/// none within `ANSWER_TIMEOUT`.
async fn first_success<T>(
    a: impl Future<Output = Result<T, PgError>>,
    b: impl Future<Output = Result<T, PgError>>,
) -> Result<T, PgError> {
    let a = async { success_or_pending(a.await).await };
    let b = async { success_or_pending(b.await).await };
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        Err(PgError::TimedOut)
    };
    smol::future::or(smol::future::or(a, b), timeout).await
}

/// Returns a success; after a failure it stays pending, so that the other
/// future can win.
async fn success_or_pending<T>(result: Result<T, PgError>) -> Result<T, PgError> {
    match result {
        Ok(value) => Ok(value),
        Err(_) => std::future::pending().await,
    }
}

fn store_event(written: bool, event: PromotionEvent) -> PromotionEvent {
    if written {
        event
    } else {
        PromotionEvent::StoreRefused
    }
}

/// Whether an instance streams as a replica at its group's term.
fn follows(status: &InstanceStatus, group: &DatabaseGroup) -> bool {
    status.role == InstanceRole::Replica && status.fence_term == group.term && status.streaming
}

async fn poll_instance(
    name: InstanceName,
    client: Rc<InstanceClient>,
    observations: Rc<RefCell<GroupObservations>>,
) {
    loop {
        if let Ok(status) = client.run(DatabaseAdapter::STATUS, ANSWER_TIMEOUT).await {
            let mut observations = observations.borrow_mut();
            observations.monitor.observe(Instant::now(), &name, status);
            observations.statuses.insert(name.clone(), status);
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
