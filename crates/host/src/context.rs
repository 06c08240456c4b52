//! What all plug-ins of a host share.

use std::sync::{Arc, Mutex, PoisonError};

use async_channel::Sender;
use compact_str::{CompactString, format_compact};
use fulmarrill_document::HostSettings;
use fulmarrill_objects::PlatformClient;
use fulmarrill_ownership::{HostEntry, HostState};
use serde::Serialize;
use smol::net::TcpListener;

use crate::control::ControlEvent;
use crate::entry::EntryState;
use crate::lifecycle::HostLifecycle;
use crate::metrics::{HostMetrics, ReadCounts};
use crate::owner::OwnerTable;
use crate::peers::PeerPool;
use crate::records::RecordBuffer;
use crate::routes::AddressRoutes;
use crate::view::{ControlView, ViewCell};

/// Addresses on which a host listens, `IP:PORT`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HostAddresses {
    /// For callers.
    pub caller: CompactString,
    /// For other hosts.
    pub peer: CompactString,
    /// For operators.
    pub operator: CompactString,
}

/// Listeners that were opened at the start and wait for their plug-ins.
#[derive(Debug, Default)]
pub struct HostListeners {
    /// For callers.
    pub caller: Mutex<Option<TcpListener>>,
    /// For other hosts.
    pub peer: Mutex<Option<TcpListener>>,
    /// For operators.
    pub operator: Mutex<Option<TcpListener>>,
}

/// Takes a listener out of its place.
pub(crate) fn take_listener(cell: &Mutex<Option<TcpListener>>) -> Option<TcpListener> {
    cell.lock().unwrap_or_else(PoisonError::into_inner).take()
}

/// The shared state of one host.
#[derive(Debug)]
pub struct HostContext {
    /// Settings.
    pub settings: HostSettings,
    /// Name of this run of the host, unique among all runs.
    pub run_name: CompactString,
    /// Addresses that are reached by way of another.
    pub(crate) routes: AddressRoutes,
    /// Where it listens.
    pub addresses: HostAddresses,
    /// Listeners that wait for their plug-ins.
    pub(crate) listeners: HostListeners,
    /// The view in force.
    pub(crate) view: ViewCell,
    /// Events for the control thread.
    pub(crate) control: Sender<ControlEvent>,
    /// The platform.
    pub(crate) platform: PlatformClient,
    /// Links to other hosts.
    pub(crate) peers: PeerPool,
    /// Instances owned.
    pub(crate) owners: OwnerTable,
    /// State of the entry.
    pub(crate) entry: EntryState,
    /// Customers' records.
    pub(crate) records: RecordBuffer,
    /// Metrics.
    pub(crate) metrics: HostMetrics,
    /// Whether the host is leaving.
    pub(crate) lifecycle: HostLifecycle,
}

impl HostContext {
    /// The view in force.
    #[must_use]
    pub fn view(&self) -> Arc<ControlView> {
        self.view.load()
    }

    /// Reads served by this host's sessions.
    #[must_use]
    pub fn read_counts(&self) -> ReadCounts {
        self.metrics.read_counts()
    }

    /// This host as the platform should list it.
    #[must_use]
    pub fn host_entry(&self) -> HostEntry {
        let settings = &self.settings;
        let mut entry = HostEntry::new(&settings.host, &settings.data_centre, &settings.region)
            .with_addresses(&self.addresses.peer, &self.addresses.operator);
        if self.lifecycle.is_leaving() {
            entry.state = HostState::Leaving;
        }
        entry
    }

    /// Tells the control thread something. It never waits for traffic.
    pub(crate) fn send_control_event(&self, event: ControlEvent) {
        self.control.try_send(event).ok();
    }
}

/// A name for one run of a host.
pub(crate) fn make_run_name(host: &str) -> CompactString {
    format_compact!("{host}~{:012x}", fastrand::u64(..) >> 16)
}

/// Shared handle of a context.
pub type SharedContext = Arc<HostContext>;
