//! The plug-in that watches the platform's store and announces this host there.
//!
//! Whole kinds are watched, not single objects, so that a host has three
//! waiting calls at the store. A watch without an answer by its deadline is
//! made again; it continues from the last version, so that this costs little.

use std::time::{Duration, Instant};

use fulmarrill_objects::{
    HostList, ObjectKey, ObjectList, PlatformClient, PlatformError, PutResult, StoredObject,
};
use fulmarrill_peer::{ControlDocument, ControlGroup, ControlHosts, ControlUpdate};
use fulmarrill_schedule::backoff_delay;
use serde_json::Value;
use smol::Timer;

use crate::context::SharedContext;
use crate::control::ControlEvent;
use crate::kernel::HostPlugin;

/// Kind of the objects that describe database groups.
pub const GROUP_KIND: &str = "group";
/// Kind of the operators' document.
pub const DOCUMENT_KIND: &str = "document";
/// Name of the operators' document.
pub const DOCUMENT_NAME: &str = "operators";
/// Maximum time for which the store holds a watch open, before jitter.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Timeout for an answer, in addition to the time for which the store holds a
/// watch open.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Backoff while the store does not answer.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);
/// Timeout for one attempt at an update, and for reading the object back after
/// it.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(700);

inventory::submit! { HostPlugin::new("platform", start) }

fn start(context: SharedContext) -> Vec<smol::Task<()>> {
    vec![
        fulmarrill_runtime::spawn(watch(context.clone(), WatchTarget::Objects(GROUP_KIND))),
        fulmarrill_runtime::spawn(watch(context.clone(), WatchTarget::Objects(DOCUMENT_KIND))),
        fulmarrill_runtime::spawn(watch(context.clone(), WatchTarget::Hosts)),
        fulmarrill_runtime::spawn(announce_until_done(context)),
    ]
}

async fn announce_until_done(context: SharedContext) {
    for attempt in 1.. {
        match announce(&context).await {
            Ok(()) => return,
            Err(error) => log::warn!("cannot announce this host to the platform: {error}"),
        }
        Timer::after(backoff_delay(
            attempt,
            RETRY_DELAY_MIN,
            RETRY_DELAY_MAX,
            fastrand::f64(),
        ))
        .await;
    }
}

/// Announces to the platform where this host listens and whether it is leaving.
pub(crate) async fn announce(context: &SharedContext) -> Result<(), PlatformError> {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    context
        .platform
        .announce(&context.host_entry(), deadline)
        .await
}

/// What a watch covers.
#[derive(Debug, Clone, Copy)]
enum WatchTarget {
    /// All objects of a kind.
    Objects(&'static str),
    /// The list of hosts.
    Hosts,
}

impl WatchTarget {
    /// Waits for a version after `after`; returns it with the changes.
    async fn fetch(
        self,
        client: &PlatformClient,
        after: u64,
        wait: Duration,
        deadline: Instant,
    ) -> Result<(u64, ControlUpdate), PlatformError> {
        match self {
            Self::Objects(kind) => {
                let list = client.watch(kind, after, wait, deadline).await?;
                Ok((list.version, news_of(kind, list)))
            }
            Self::Hosts => {
                let HostList { version, hosts } = client.watch_hosts(after, wait, deadline).await?;
                let hosts = Some(ControlHosts { version, hosts });
                Ok((
                    version,
                    ControlUpdate {
                        hosts,
                        ..ControlUpdate::default()
                    },
                ))
            }
        }
    }
}

/// Watches a target until the task is dropped.
async fn watch(context: SharedContext, target: WatchTarget) {
    let mut version = 0;
    let mut failures = 0;
    loop {
        let wait = if version == 0 {
            Duration::ZERO
        } else {
            jitter(WATCH_WAIT)
        };
        let deadline = Instant::now() + wait + ANSWER_TIMEOUT;
        match target
            .fetch(&context.platform, version, wait, deadline)
            .await
        {
            Ok((found, news)) => {
                failures = 0;
                // The version never goes back, even if the store reports an
                // older one.
                let unchanged = found <= version;
                version = version.max(found);
                context.send_control_event(ControlEvent::News(news));
                if unchanged && wait.is_zero() {
                    Timer::after(RETRY_DELAY_MIN).await;
                }
            }
            Err(error) => {
                failures += 1;
                log::debug!("watch of {target:?} failed: {error}");
                let delay =
                    backoff_delay(failures, RETRY_DELAY_MIN, RETRY_DELAY_MAX, fastrand::f64());
                Timer::after(delay).await;
            }
        }
    }
}

/// Shortens a wait at random, so that the watches of many hosts do not end
/// together.
fn jitter(wait: Duration) -> Duration {
    wait.mul_f64(0.5 + 0.5 * fastrand::f64())
}

fn news_of(kind: &str, list: ObjectList) -> ControlUpdate {
    let mut news = ControlUpdate::default();
    for object in list.objects {
        if kind == GROUP_KIND {
            news.groups.extend(group_of(object));
        } else if object.name == DOCUMENT_NAME {
            news.document = Some(document_of(&object));
        }
    }
    news
}

fn group_of(object: StoredObject) -> Option<ControlGroup> {
    match serde_json::from_value(object.value) {
        Ok(group) => Some(ControlGroup {
            version: object.version,
            group,
        }),
        Err(error) => {
            log::error!("cannot parse group {}: {error}", object.name);
            None
        }
    }
}

fn document_of(object: &StoredObject) -> ControlDocument {
    // The document is stored as its text, including comments.
    let text = match &object.value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    ControlDocument {
        version: object.version,
        text,
    }
}

/// Reads groups and documents again in the background, after the host was
/// paused.
pub(crate) fn refresh(context: SharedContext) {
    let task = fulmarrill_runtime::spawn(async move {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        for kind in [GROUP_KIND, DOCUMENT_KIND] {
            match context
                .platform
                .watch(kind, 0, Duration::ZERO, deadline)
                .await
            {
                Ok(list) => context.send_control_event(ControlEvent::News(news_of(kind, list))),
                Err(error) => log::warn!("cannot refresh objects of kind {kind}: {error}"),
            }
        }
    });
    task.detach();
}

/// Outcome of a conditional update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update took effect as this version.
    Written(u64),
    /// The condition did not hold, and the object has this version; zero if it
    /// does not exist.
    Conflict(u64),
}

/// Writes an object if its version in the store is `if_version`. After a lost
/// answer or a conflict it reads the object back; `is_ours` recognizes a value
/// that this update wrote, by its change id.
///
/// # Errors
///
/// If the outcome is still unknown at `deadline`.
pub async fn compare_and_set(
    client: &PlatformClient,
    key: &ObjectKey,
    if_version: u64,
    value: &Value,
    is_ours: impl Fn(&Value) -> bool,
    deadline: Instant,
) -> Result<UpdateOutcome, PlatformError> {
    loop {
        let try_until = deadline.min(Instant::now() + UPDATE_TIMEOUT);
        let error = match client.put(key, if_version, value.clone(), try_until).await {
            Ok(PutResult::Written(version)) => return Ok(UpdateOutcome::Written(version)),
            // An earlier attempt of this update may have taken effect, with its
            // answer lost.
            Ok(PutResult::Conflict(_)) => None,
            Err(error) => Some(error),
        };
        let read_until = deadline.min(Instant::now() + UPDATE_TIMEOUT);
        match client.get(key, read_until).await {
            Ok(Some(object)) if is_ours(&object.value) => {
                return Ok(UpdateOutcome::Written(object.version));
            }
            Ok(Some(object)) if object.version != if_version => {
                return Ok(UpdateOutcome::Conflict(object.version));
            }
            Ok(None) if if_version != 0 => return Ok(UpdateOutcome::Conflict(0)),
            _ => {}
        }
        if Instant::now() >= deadline {
            let path = key.to_string();
            let text = "cannot determine whether the update took effect".to_owned();
            return Err(error.unwrap_or(PlatformError::Status {
                path,
                status: 0,
                text,
            }));
        }
        Timer::after(RETRY_DELAY_MIN.min(deadline.saturating_duration_since(Instant::now()))).await;
    }
}
