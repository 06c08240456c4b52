//! Starts and stops a host and its plug-ins.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fulmarrill_document::HostSettings;
use fulmarrill_objects::PlatformClient;
use smol::Timer;
use smol::net::TcpListener;

use crate::context::{HostAddresses, HostContext, HostListeners, SharedContext, make_run_name};
use crate::control;
use crate::entry::EntryState;
use crate::error::HostError;
use crate::lifecycle::HostLifecycle;
use crate::metrics::HostMetrics;
use crate::owner::OwnerTable;
use crate::peers::PeerPool;
use crate::records::RecordBuffer;
use crate::routes::AddressRoutes;
use crate::view::{ControlView, ViewCell};

/// Time that a leaving host waits for its callers to disconnect and for
/// requests in flight.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks whether the last caller has disconnected.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A component of a host, which registers itself with the kernel:
///
/// ```ignore
/// inventory::submit! { HostPlugin::new("entry", start) }
/// ```
#[derive(Debug, Clone, Copy)]
pub struct HostPlugin {
    name: &'static str,
    start: fn(SharedContext) -> Vec<smol::Task<()>>,
}

impl HostPlugin {
    /// A plug-in with the function that starts its tasks.
    #[must_use]
    pub const fn new(name: &'static str, start: fn(SharedContext) -> Vec<smol::Task<()>>) -> Self {
        Self { name, start }
    }
}

inventory::collect!(HostPlugin);

/// A running host. Dropping it aborts all of its tasks, as killing the process
/// would; [`HostProcess::leave`] shuts it down gracefully.
#[derive(Debug)]
pub struct HostProcess {
    context: SharedContext,
    tasks: Vec<smol::Task<()>>,
    control_thread: Option<JoinHandle<()>>,
}

impl HostProcess {
    /// Opens the listeners, then starts the control thread and every plug-in.
    ///
    /// # Errors
    ///
    /// If an address cannot be listened on or the control thread cannot be
    /// started.
    pub async fn start(settings: HostSettings) -> Result<Self, HostError> {
        let caller = listen("caller_listen", &settings.caller_listen).await?;
        let peer = listen("peer_listen", &settings.peer_listen).await?;
        let operator = listen("operator_listen", &settings.operator_listen).await?;
        let addresses = HostAddresses {
            caller: address_of(&caller),
            peer: address_of(&peer),
            operator: address_of(&operator),
        };
        let listeners = HostListeners {
            caller: Some(caller).into(),
            peer: Some(peer).into(),
            operator: Some(operator).into(),
        };
        let (control, events) = async_channel::unbounded();
        let routes = AddressRoutes::new(settings.routes.clone());
        let context = Arc::new(HostContext {
            run_name: make_run_name(&settings.host),
            platform: PlatformClient::new(&routes.route(&settings.platform)),
            peers: PeerPool::new(&settings.host, routes.clone()),
            routes,
            records: RecordBuffer::new(),
            settings,
            addresses,
            listeners,
            view: ViewCell::new(ControlView::initial()),
            control,
            owners: OwnerTable::new(),
            entry: EntryState::new(),
            metrics: HostMetrics::new(),
            lifecycle: HostLifecycle::new(),
        });
        let control_thread = control::start_thread(context.clone(), events)?;
        let mut tasks = Vec::new();
        for plugin in inventory::iter::<HostPlugin> {
            log::debug!("starting plug-in {}", plugin.name);
            tasks.extend((plugin.start)(context.clone()));
        }
        Ok(Self {
            context,
            tasks,
            control_thread: Some(control_thread),
        })
    }

    /// Addresses on which the host listens.
    #[must_use]
    pub fn addresses(&self) -> &HostAddresses {
        &self.context.addresses
    }

    /// The state shared by the plug-ins.
    #[must_use]
    pub fn context(&self) -> &SharedContext {
        &self.context
    }

    /// From now on connects to `through` instead of `address`.
    pub fn add_route(&self, address: &str, through: &str) {
        self.context.routes.add(address, through);
    }

    /// Shuts the host down gracefully: announces that it leaves, waits until
    /// callers have disconnected and requests in flight are done, up to a
    /// deadline, and writes the remaining records to the store.
    pub async fn leave(self) {
        let deadline = Instant::now() + LEAVE_TIMEOUT;
        let context = &self.context;
        context.lifecycle.leave();
        crate::peers::announce_leaving(context).await;
        crate::platform::announce(context).await.ok();
        while context.entry.session_count() > 0 && Instant::now() < deadline {
            Timer::after(LEAVE_CHECK_INTERVAL).await;
        }
        context.lifecycle.wait_idle(deadline).await;
        crate::records::flush_all(context).await;
        log::info!("host {} has left", context.settings.host);
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.tasks.clear();
        self.context.control.close();
        if let Some(thread) = self.control_thread.take() {
            thread.join().ok();
        }
    }
}

async fn listen(field: &'static str, address: &str) -> Result<TcpListener, HostError> {
    let failed = |source| HostError::Listen {
        field,
        address: address.into(),
        source,
    };
    TcpListener::bind(address).await.map_err(failed)
}

fn address_of(listener: &TcpListener) -> compact_str::CompactString {
    listener
        .local_addr()
        .map(|address| address.to_string().into())
        .unwrap_or_default()
}
