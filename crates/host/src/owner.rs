//! The plug-in that owns instances: holds their connections and queues, and
//! confirms their commits.

mod adapter;
mod instance;
mod keyed;
mod pool;
mod replies;
mod watch;
mod work;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fulmarrill_peer::WaitHint;
use fulmarrill_position::{DatabaseName, InstanceName, LogPoint};
use fulmarrill_replication::{DatabaseGroup, GroupInstance};
use smol::Timer;

use crate::context::SharedContext;
use crate::kernel::HostPlugin;
use crate::owner::watch::GroupWatch;
use crate::view::ControlView;

pub(crate) use crate::owner::adapter::DatabaseAdapter;
pub(crate) use crate::owner::instance::InstanceOwner;
pub(crate) use crate::owner::work::run_work;

/// Time between two maintenance rounds.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for establishing a fresh position.
const POSITION_TIMEOUT: Duration = Duration::from_secs(1);

inventory::submit! { HostPlugin::new("owner", start) }

fn start(context: SharedContext) -> Vec<smol::Task<()>> {
    vec![fulmarrill_runtime::spawn(maintenance_loop(context))]
}

/// Runs the maintenance of every owned instance at regular intervals.
async fn maintenance_loop(context: SharedContext) {
    loop {
        for owner in context.owners.all() {
            fulmarrill_runtime::spawn(async move { owner.run_maintenance().await }).detach();
        }
        Timer::after(MAINTENANCE_INTERVAL).await;
    }
}

/// Owners of the instances that this host has connections to, and the watches
/// over their groups.
#[derive(Debug, Default)]
pub struct OwnerTable {
    owners: Mutex<HashMap<InstanceName, Arc<InstanceOwner>>>,
    watches: Mutex<HashMap<DatabaseName, Arc<GroupWatch>>>,
}

impl OwnerTable {
    /// A table without owners.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn owners(&self) -> MutexGuard<'_, HashMap<InstanceName, Arc<InstanceOwner>>> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn watches(&self) -> MutexGuard<'_, HashMap<DatabaseName, Arc<GroupWatch>>> {
        self.watches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn all(&self) -> Vec<Arc<InstanceOwner>> {
        self.owners().values().cloned().collect()
    }

    /// Applies a new view: creates owners for the instances that this host owns
    /// now, and drops those that are neither owned nor in use.
    pub(crate) fn apply_view(&self, context: &SharedContext, view: &ControlView) {
        for group in view.groups.values() {
            for instance in &group.group.instances {
                if is_owned(context, view, instance) {
                    self.owner(context, view, &group.group, instance);
                    // Started early, since any instance may become the primary
                    // and its owner must then be able to confirm commits at
                    // once.
                    self.watch(context, &group.group);
                }
            }
        }
        for owner in self.all() {
            owner.apply_view(view);
        }
        self.owners().retain(|_, owner| {
            let owned = view
                .find_instance(owner.name())
                .is_some_and(|(_, instance)| is_owned(context, view, instance));
            owned || owner.is_in_use()
        });
        self.watches().retain(|database, watch| {
            let Some(group) = view.group(database) else {
                return false;
            };
            watch.set_group(&group.group);
            let owners = self.owners();
            let mut members = group.group.instances.iter();
            members.any(|instance| owners.contains_key(&instance.name))
        });
    }

    /// The owner of an instance on this host, created if there is none.
    fn owner(
        &self,
        context: &SharedContext,
        view: &ControlView,
        group: &DatabaseGroup,
        instance: &GroupInstance,
    ) -> Arc<InstanceOwner> {
        let mut owners = self.owners();
        let make = || Arc::new(InstanceOwner::new(context, view, &group.database, instance));
        owners
            .entry(instance.name.clone())
            .or_insert_with(make)
            .clone()
    }

    /// The watch over a group's positions on this host, created if there is
    /// none.
    fn watch(&self, context: &SharedContext, group: &DatabaseGroup) -> Arc<GroupWatch> {
        let mut watches = self.watches();
        let watch = watches
            .entry(group.database.clone())
            .or_insert_with(|| GroupWatch::start(context.routes.clone(), group));
        watch.set_group(group);
        watch.clone()
    }

    /// Expected waits of new work, by instance and rank.
    pub(crate) fn hints(&self) -> Vec<WaitHint> {
        let mut hints = Vec::new();
        for owner in self.all() {
            owner.add_hints(&mut hints);
        }
        hints
    }

    /// Rolls back the idle open transactions of callers at the host `host`, after
    /// its link has ended.
    pub(crate) fn drop_pins_of(&self, host: &str) {
        for owner in self.all() {
            owner.drop_pins_of(host);
        }
    }

    /// State of all owners and watches, for the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let mut list = Vec::new();
        for owner in self.all() {
            list.push(owner.dump());
        }
        let watches: Vec<_> = self.watches().values().map(|watch| watch.dump()).collect();
        serde_json::json!({ "instances": list, "groups": watches })
    }
}

/// Whether this host owns an instance according to a view.
fn is_owned(context: &SharedContext, view: &ControlView, instance: &GroupInstance) -> bool {
    view.owner_of(instance)
        .is_some_and(|host| host.name == context.settings.host)
}

/// A point that covers every commit of `database` acknowledged before the call;
/// `None` if that cannot be established in time, as when the primary may have
/// been replaced.
pub(crate) async fn fresh_position(context: &SharedContext, database: &str) -> Option<LogPoint> {
    let view = context.view.load();
    let group = view.group(database)?;
    let watch = context.owners.watch(context, &group.group);
    watch
        .fresh_position(Instant::now() + POSITION_TIMEOUT)
        .await
}

/// Holds new writes back until `deadline` and waits for those in flight.
pub(crate) async fn drain(context: &SharedContext, database: &str, deadline: Instant) {
    let view = context.view.load();
    let Some(group) = view.group(database) else {
        return;
    };
    let Some(primary) = group.group.primary_instance() else {
        return;
    };
    let owner = context.owners.owner(context, &view, &group.group, primary);
    owner.drain(deadline).await;
}
