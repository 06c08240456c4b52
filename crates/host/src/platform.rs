//! The plug-in that watches the platform's store.
//!
//! Only kinds are watched, never single objects: three waiting calls per host
//! that watches. A watch that stays silent past its deadline is made anew, and
//! the version it starts from makes that cheap.

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
/// Longest wait of a watch, before jitter.
const WATCH_TIME: Duration = Duration::from_secs(5);
/// Time after the wait within which the answer must come.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// Waits between tries while the store is down.
const RETRY_BASE: Duration = Duration::from_millis(100);
const RETRY_MOST: Duration = Duration::from_secs(2);
/// Time for one try of an update, and for reading back after it.
const UPDATE_TIME: Duration = Duration::from_millis(700);

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
            Err(error) => log::warn!("host is not listed yet: {error}"),
        }
        Timer::after(backoff_delay(
            attempt,
            RETRY_BASE,
            RETRY_MOST,
            fastrand::f64(),
        ))
        .await;
    }
}

/// Tells the platform where this host listens and whether it is leaving.
pub(crate) async fn announce(context: &SharedContext) -> Result<(), PlatformError> {
    let deadline = Instant::now() + ANSWER_TIME;
    context
        .platform
        .announce(&context.host_entry(), deadline)
        .await
}

/// What a watch is about.
#[derive(Debug, Clone, Copy)]
enum WatchTarget {
    /// All objects of a kind.
    Objects(&'static str),
    /// The list of hosts.
    Hosts,
}

impl WatchTarget {
    /// Waits for something newer than `after`; returns its version, too.
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
                let HostList { version, hosts } = client.hosts(after, wait, deadline).await?;
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

/// Watches for as long as the host lives.
async fn watch(context: SharedContext, target: WatchTarget) {
    let mut version = 0;
    let mut failures = 0;
    loop {
        let wait = if version == 0 {
            Duration::ZERO
        } else {
            spread(WATCH_TIME)
        };
        let deadline = Instant::now() + wait + ANSWER_TIME;
        match target
            .fetch(&context.platform, version, wait, deadline)
            .await
        {
            Ok((found, news)) => {
                failures = 0;
                // A store that shows an older version is not followed back.
                let quiet = found <= version;
                version = version.max(found);
                context.tell_control(ControlEvent::News(news));
                if quiet && wait.is_zero() {
                    Timer::after(RETRY_BASE).await;
                }
            }
            Err(error) => {
                failures += 1;
                log::debug!("watch of {target:?} failed: {error}");
                let delay = backoff_delay(failures, RETRY_BASE, RETRY_MOST, fastrand::f64());
                Timer::after(delay).await;
            }
        }
    }
}

/// Shortens a wait at random, so that watches of many hosts do not end at once.
fn spread(wait: Duration) -> Duration {
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
            log::error!("group {} cannot be read: {error}", object.name);
            None
        }
    }
}

fn document_of(object: &StoredObject) -> ControlDocument {
    // The document is kept as its text, comments included.
    let text = match &object.value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    ControlDocument {
        version: object.version,
        text,
    }
}

/// Reads everything again, after the host was stopped for a while.
pub(crate) fn refresh(context: SharedContext) {
    let task = fulmarrill_runtime::spawn(async move {
        let deadline = Instant::now() + ANSWER_TIME;
        for kind in [GROUP_KIND, DOCUMENT_KIND] {
            match context
                .platform
                .watch(kind, 0, Duration::ZERO, deadline)
                .await
            {
                Ok(list) => context.tell_control(ControlEvent::News(news_of(kind, list))),
                Err(error) => log::warn!("{kind} cannot be read again: {error}"),
            }
        }
    });
    task.detach();
}

/// Outcome of an update that was settled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettledUpdate {
    /// It took effect as this version.
    Written(u64),
    /// Somebody else was first; the object has this version.
    Conflict(u64),
}

/// Writes an object on the condition of its version. A lost answer is settled
/// by reading the object back: `is_ours` tells our value by its change id.
///
/// # Errors
///
/// When nothing could be settled before `deadline`.
pub async fn put_settled(
    client: &PlatformClient,
    key: &ObjectKey,
    if_version: u64,
    value: &Value,
    is_ours: impl Fn(&Value) -> bool,
    deadline: Instant,
) -> Result<SettledUpdate, PlatformError> {
    loop {
        let try_until = deadline.min(Instant::now() + UPDATE_TIME);
        let error = match client.put(key, if_version, value.clone(), try_until).await {
            Ok(PutResult::Written(version)) => return Ok(SettledUpdate::Written(version)),
            // It may be our own update, whose answer was lost before.
            Ok(PutResult::Conflict(_)) => None,
            Err(error) => Some(error),
        };
        let read_until = deadline.min(Instant::now() + UPDATE_TIME);
        match client.get(key, read_until).await {
            Ok(Some(object)) if is_ours(&object.value) => {
                return Ok(SettledUpdate::Written(object.version));
            }
            Ok(Some(object)) if object.version != if_version => {
                return Ok(SettledUpdate::Conflict(object.version));
            }
            Ok(None) if if_version != 0 => return Ok(SettledUpdate::Conflict(0)),
            _ => {}
        }
        if Instant::now() >= deadline {
            let path = key.to_string();
            let text = "update could not be settled".to_owned();
            return Err(error.unwrap_or(PlatformError::Status {
                path,
                status: 0,
                text,
            }));
        }
        Timer::after(RETRY_BASE.min(deadline.saturating_duration_since(Instant::now()))).await;
    }
}
