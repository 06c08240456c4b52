//! Watches over database groups and changes their primaries.
//!
//! A few hosts, in different data centres if possible, watch each group. The
//! first acts at once when the primary must go, the others a little later
//! each, in case the first cannot. Which of them wins is decided by the
//! store's conditional update and by the fences, never by who was first.

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
use crate::platform::{GROUP_KIND, SettledUpdate, put_settled};
use crate::view::VersionedGroup;

/// Hosts that watch over one group.
const COORDINATORS: usize = 3;
/// Time between two looks at a group.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two questions to an instance.
const ASK_INTERVAL: Duration = Duration::from_millis(80);
/// Time within which an instance must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Silence after which a primary is replaced.
const SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// Additional wait of each further coordinator.
const RANK_DELAY: Duration = Duration::from_millis(500);
/// Time for a whole change of primary.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for settling an update in the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Wait after a change of primary that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// Time for which writes are held back for a planned change.
const DRAIN_TIME: Duration = Duration::from_millis(1500);

/// The groups that this host watches over.
#[derive(Debug, Default)]
pub struct CoordinatorSet {
    tasks: BTreeMap<DatabaseName, Task<()>>,
}

impl CoordinatorSet {
    /// No groups.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Stops watching everything, until the next adjustment.
    pub fn clear(&mut self) {
        self.tasks.clear();
    }

    /// Starts and stops watching as the view in force demands.
    pub fn adjust(&mut self, context: &SharedContext, executor: &Rc<LocalExecutor<'static>>) {
        let view = context.view.load();
        let mine = |database: &str| {
            let hosts = view.hosts.coordinators_of(database, COORDINATORS);
            hosts.iter().any(|host| host.name == context.settings.host)
        };
        self.tasks
            .retain(|database, _| view.group(database).is_some() && mine(database));
        for database in view.groups.keys() {
            if self.tasks.contains_key(database) || !mine(database) {
                continue;
            }
            let coordinator = GroupCoordinator::new(context.clone(), database.clone());
            let task = executor.spawn(coordinator.run(executor.clone()));
            self.tasks.insert(database.clone(), task);
        }
    }
}

/// Connection to an instance, for this host's commands and questions.
#[derive(Debug)]
struct InstanceLine {
    address: CompactString,
    database: DatabaseName,
    connection: smol::lock::Mutex<Option<DatabaseConnection>>,
}

impl InstanceLine {
    /// A line to the same instance without a connection.
    fn like(&self) -> Self {
        Self {
            address: self.address.clone(),
            database: self.database.clone(),
            connection: smol::lock::Mutex::new(None),
        }
    }

    /// Runs one of the adapter's statements, connecting anew if need be.
    async fn run(&self, sql: &str, timeout: Duration) -> Result<InstanceStatus, PgError> {
        let deadline = Instant::now() + timeout;
        let mut place = self.connection.lock().await;
        let mut connection = if let Some(connection) = place.take() {
            connection
        } else {
            let target = DatabaseAdapter::target(&self.address, &self.database);
            DatabaseConnection::connect(&target, deadline).await?
        };
        let result = DatabaseAdapter::run(&mut connection, sql, deadline).await;
        let usable = match &result {
            Ok(_) => true,
            Err(error) => matches!(error, PgError::Server { .. }) && connection.is_settled(),
        };
        if usable {
            *place = Some(connection);
        }
        result
    }
}

/// What is known of a group, shared by its tasks on the control thread.
#[derive(Debug)]
struct GroupSight {
    monitor: GroupMonitor,
    statuses: BTreeMap<InstanceName, InstanceStatus>,
}

/// Watches over one group.
struct GroupCoordinator {
    context: SharedContext,
    database: DatabaseName,
    sight: Rc<RefCell<GroupSight>>,
    lines: BTreeMap<InstanceName, Rc<InstanceLine>>,
    pollers: BTreeMap<InstanceName, Task<()>>,
    bad_since: Option<Instant>,
}

impl GroupCoordinator {
    fn new(context: SharedContext, database: DatabaseName) -> Self {
        let monitor = GroupMonitor::new(SILENCE_LIMIT);
        let sight = GroupSight {
            monitor,
            statuses: BTreeMap::new(),
        };
        Self {
            context,
            database,
            sight: Rc::new(RefCell::new(sight)),
            lines: BTreeMap::new(),
            pollers: BTreeMap::new(),
            bad_since: None,
        }
    }

    async fn run(mut self, executor: Rc<LocalExecutor<'static>>) {
        loop {
            let view = self.context.view.load();
            if let Some(held) = view.group(&self.database) {
                let held = held.clone();
                self.adjust_lines(&held.group, &executor);
                self.look(&held).await;
            }
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    fn adjust_lines(&mut self, group: &DatabaseGroup, executor: &Rc<LocalExecutor<'static>>) {
        self.lines.retain(|name, _| group.instance(name).is_some());
        self.pollers
            .retain(|name, _| group.instance(name).is_some());
        for instance in &group.instances {
            if self.lines.contains_key(&instance.name) {
                continue;
            }
            let line = Rc::new(InstanceLine {
                address: self.context.routes.route(&instance.address),
                database: self.database.clone(),
                connection: smol::lock::Mutex::new(None),
            });
            let poller = poll_instance(instance.name.clone(), line.clone(), self.sight.clone());
            self.pollers
                .insert(instance.name.clone(), executor.spawn(poller));
            self.lines.insert(instance.name.clone(), line);
        }
    }

    /// How long this host waits before it acts, by its place among the
    /// coordinators.
    fn act_delay(&self) -> Duration {
        let view = self.context.view.load();
        let hosts = view.hosts.coordinators_of(&self.database, COORDINATORS);
        let place = hosts
            .iter()
            .position(|host| host.name == self.context.settings.host);
        RANK_DELAY * u32::try_from(place.unwrap_or(COORDINATORS)).unwrap_or(u32::MAX)
    }

    async fn look(&mut self, held: &VersionedGroup) {
        let now = Instant::now();
        let verdict = self.sight.borrow_mut().monitor.check(now, &held.group);
        match verdict {
            MonitorVerdict::Healthy | MonitorVerdict::NoMajority => {
                self.bad_since = None;
                self.tend(held).await;
            }
            _ => {
                let since = *self.bad_since.get_or_insert(now);
                if now.saturating_duration_since(since) < self.act_delay() {
                    return;
                }
                log::warn!("{}: change of primary, cause {verdict:?}", self.database);
                self.change_primary(held).await;
                self.bad_since = None;
            }
        }
    }

    /// Keeps a healthy group in order: everybody follows the primary, and a
    /// primary that is leaving hands over.
    async fn tend(&mut self, held: &VersionedGroup) {
        if !self.act_delay().is_zero() {
            return;
        }
        let group = &held.group;
        let Some(primary) = group.primary_instance() else {
            return;
        };
        if primary.leaving && self.successor_ready(group, primary) {
            self.hand_over(held, primary).await;
            return;
        }
        for instance in &group.instances {
            if instance.name == primary.name {
                continue;
            }
            let status = self.sight.borrow().statuses.get(&instance.name).copied();
            if status.is_some_and(|status| follows(&status, group)) {
                continue;
            }
            self.make_follow(group, instance, primary).await;
        }
    }

    async fn make_follow(
        &self,
        group: &DatabaseGroup,
        instance: &GroupInstance,
        primary: &GroupInstance,
    ) {
        let Some(line) = self.lines.get(&instance.name) else {
            return;
        };
        let sql = DatabaseAdapter::follow(group.term, &primary.address);
        if let Err(error) = line.run(&sql, ANSWER_TIMEOUT).await {
            log::debug!(
                "{} does not follow {}: {error}",
                instance.name,
                primary.name
            );
        }
    }

    /// Whether some instance that stays is close enough behind a primary that
    /// leaves.
    fn successor_ready(&self, group: &DatabaseGroup, primary: &GroupInstance) -> bool {
        let sight = self.sight.borrow();
        let now = Instant::now();
        let ready = |instance: &GroupInstance| {
            let status = sight.monitor.recent(now, &instance.name);
            let streams = status.is_some_and(|status| status.streaming && status.matched);
            instance.name != primary.name && !instance.leaving && streams
        };
        group.instances.iter().any(ready)
    }

    /// Changes the primary in order: writes in flight finish and new ones wait
    /// at their entries, so that none fails.
    async fn hand_over(&mut self, held: &VersionedGroup, primary: &GroupInstance) {
        log::info!(
            "{}: {} is leaving and hands over",
            self.database,
            primary.name
        );
        let deadline = Instant::now() + DRAIN_TIME;
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
        self.wait_level(&held.group, primary, deadline).await;
        self.change_primary(held).await;
    }

    /// Waits until an instance that stays has received all that the leaving
    /// primary has: the one with the newest log is promoted. The primary takes
    /// no writes meanwhile, so one question to it is enough.
    async fn wait_level(&self, group: &DatabaseGroup, primary: &GroupInstance, until: Instant) {
        let Some(line) = self.lines.get(&primary.name) else {
            return;
        };
        let Ok(status) = line.run(DatabaseAdapter::STATUS, ANSWER_TIMEOUT).await else {
            return;
        };
        let mut waits = Vec::new();
        for instance in &group.instances {
            if instance.name == primary.name || instance.leaving {
                continue;
            }
            if let Some(line) = self.lines.get(&instance.name) {
                waits.push(Box::pin(wait_received(line, status.received)));
            }
        }
        // Whoever is level first is enough; a far instance is not waited for.
        let first = std::future::poll_fn(|context| {
            for wait in &mut waits {
                if wait.as_mut().poll(context).is_ready() {
                    return std::task::Poll::Ready(());
                }
            }
            std::task::Poll::Pending
        });
        fulmarrill_runtime::before(until, first).await.ok();
    }

    /// Makes everybody follow a new primary at once, without waiting for the
    /// next look: until one does, nothing can be confirmed.
    fn lead_followers(&self, group: Option<&DatabaseGroup>) {
        let Some((group, primary)) = group.and_then(|g| Some((g, g.primary_instance()?))) else {
            return;
        };
        let (sender, _) = async_channel::unbounded();
        for instance in &group.instances {
            if instance.name == primary.name {
                continue;
            }
            let sql = DatabaseAdapter::follow(group.term, &primary.address);
            let ignored = |name, _| PromotionEvent::Promoted(name);
            self.command(instance.name.clone(), sql, &sender, ignored);
        }
    }

    /// Runs one plan from the reservation to the publication.
    async fn change_primary(&mut self, held: &VersionedGroup) {
        let started_at = Instant::now();
        let change_id = format_compact!("{}-{:016x}", self.context.run_name, fastrand::u64(..));
        let plan = PromotionPlan::new(held.group.clone(), &change_id);
        let deadline = started_at + PROMOTION_TIMEOUT;
        let ended = self.run_plan(plan, held.version, deadline).await;
        let took = started_at.elapsed();
        match ended.as_ref().and_then(PromotionPlan::outcome) {
            Some(PromotionOutcome::Done(name, term)) => {
                self.lead_followers(ended.as_ref().map(PromotionPlan::group));
                log::info!(
                    "{}: {name} is primary of term {term} after {took:?}",
                    self.database
                );
            }
            other => {
                log::warn!("{}: change of primary ended with {other:?}", self.database);
                Timer::after(FAILURE_PAUSE).await;
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
            let event = fulmarrill_runtime::before(deadline, events.recv())
                .await
                .ok()?
                .ok()?;
            actions = plan.handle(event);
        }
    }

    /// Runs a command at an instance beside the plan; its event comes later.
    fn command(
        &self,
        name: InstanceName,
        sql: String,
        sender: &async_channel::Sender<PromotionEvent>,
        to_event: fn(InstanceName, Result<InstanceStatus, PgError>) -> PromotionEvent,
    ) {
        let Some(line) = self.lines.get(&name) else {
            sender.try_send(PromotionEvent::FenceFailed(name)).ok();
            return;
        };
        let fresh = line.like();
        let open = line
            .connection
            .try_lock()
            .and_then(|mut place| place.take());
        let used = InstanceLine {
            connection: smol::lock::Mutex::new(open),
            ..line.like()
        };
        let sender = sender.clone();
        // On the open connection, since a new one takes several round trips,
        // and on a new one beside it, since the open one may have gone silent.
        // Commands are idempotent; the first success counts.
        fulmarrill_runtime::spawn(async move {
            let result = first_success(
                used.run(&sql, ANSWER_TIMEOUT),
                fresh.run(&sql, ANSWER_TIMEOUT),
            );
            sender.try_send(to_event(name, result.await)).ok();
        })
        .detach();
    }

    /// Writes the group to the store and tells everybody. A lost answer is
    /// settled by the change id.
    async fn write_group(&self, group: &DatabaseGroup, version: &mut u64) -> bool {
        let Ok(value) = serde_json::to_value(group) else {
            return false;
        };
        let key = ObjectKey::new(GROUP_KIND, &group.database);
        let is_ours = |held: &Value| {
            held["change_id"] == group.change_id.as_str() && held["primary"] == value["primary"]
        };
        let deadline = Instant::now() + STORE_TIMEOUT;
        let update = put_settled(
            &self.context.platform,
            &key,
            *version,
            &value,
            is_ours,
            deadline,
        );
        match update.await {
            Ok(SettledUpdate::Written(written)) => {
                *version = written;
                let news = ControlGroup {
                    version: written,
                    group: group.clone(),
                };
                let news = ControlUpdate {
                    groups: vec![news],
                    ..ControlUpdate::default()
                };
                self.context.tell_control(ControlEvent::News(news.clone()));
                crate::peers::spread_news(&self.context, &news);
                true
            }
            Ok(SettledUpdate::Conflict(held)) => {
                log::info!(
                    "{}: somebody else changed the group to {held}",
                    self.database
                );
                false
            }
            Err(error) => {
                log::warn!("{}: group cannot be written: {error}", self.database);
                false
            }
        }
    }
}

/// Returns once an instance has received everything up to `point`.
async fn wait_received(line: &InstanceLine, point: LogPoint) {
    loop {
        let status = line.run(DatabaseAdapter::STATUS, ANSWER_TIMEOUT).await;
        if status.is_ok_and(|status| status.received >= point) {
            return;
        }
        Timer::after(Duration::from_millis(1)).await;
    }
}

/// The first success of two futures, or silence once both have had their time.
async fn first_success<T>(
    a: impl Future<Output = Result<T, PgError>>,
    b: impl Future<Output = Result<T, PgError>>,
) -> Result<T, PgError> {
    let a = async { success_or_nothing(a.await).await };
    let b = async { success_or_nothing(b.await).await };
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        Err(PgError::Silent)
    };
    smol::future::or(smol::future::or(a, b), timeout).await
}

/// Gives a success on; after a failure there is nothing to wait for.
async fn success_or_nothing<T>(result: Result<T, PgError>) -> Result<T, PgError> {
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

/// Whether an instance follows its group's primary as it should.
fn follows(status: &InstanceStatus, group: &DatabaseGroup) -> bool {
    status.role == InstanceRole::Replica && status.fence_term == group.term && status.streaming
}

async fn poll_instance(name: InstanceName, line: Rc<InstanceLine>, sight: Rc<RefCell<GroupSight>>) {
    loop {
        if let Ok(status) = line.run(DatabaseAdapter::STATUS, ANSWER_TIMEOUT).await {
            let mut sight = sight.borrow_mut();
            sight.monitor.observe(Instant::now(), &name, status);
            sight.statuses.insert(name.clone(), status);
        }
        Timer::after(ASK_INTERVAL).await;
    }
}
