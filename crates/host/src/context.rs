//! The state that the plug-ins of a host share.

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

/// Listeners that the kernel has opened, until their plug-ins take them.
#[derive(Debug, Default)]
pub struct HostListeners {
    /// For callers.
    pub caller: Mutex<Option<TcpListener>>,
    /// For other hosts.
    pub peer: Mutex<Option<TcpListener>>,
    /// For operators.
    pub operator: Mutex<Option<TcpListener>>,
}

/// Takes the listener out of `cell`; `None` if it was taken before.
pub(crate) fn take_listener(cell: &Mutex<Option<TcpListener>>) -> Option<TcpListener> {
    cell.lock().unwrap_or_else(PoisonError::into_inner).take()
}

/// The shared state of one host.
#[derive(Debug)]
pub struct HostContext {
    /// Settings of the host, as read from its file.
    pub settings: HostSettings,
    /// Name of this run of the host, unique among all runs.
    pub run_name: CompactString,
    /// Addresses to connect to in place of others.
    pub(crate) routes: AddressRoutes,
    /// Addresses on which the host listens.
    pub addresses: HostAddresses,
    /// Listeners that their plug-ins have not taken yet.
    pub(crate) listeners: HostListeners,
    /// The control view in force.
    pub(crate) view: ViewCell,
    /// Queue of events for the control thread.
    pub(crate) control: Sender<ControlEvent>,
    /// Client of the platform's store.
    pub(crate) platform: PlatformClient,
    /// Links to other hosts, by peer address.
    pub(crate) peers: PeerPool,
    /// Owners of the instances that this host has connections to.
    pub(crate) owners: OwnerTable,
    /// State that the sessions of the entry share.
    pub(crate) entry: EntryState,
    /// Records of requests that are not all in the store yet.
    pub(crate) records: RecordBuffer,
    /// Request metrics.
    pub(crate) metrics: HostMetrics,
    /// Whether the host is leaving, and what it has in flight.
    pub(crate) lifecycle: HostLifecycle,
}

impl HostContext {
    /// The control view in force.
    #[must_use]
    pub fn view(&self) -> Arc<ControlView> {
        self.view.load()
    }

    /// Counts of the reads that this host's sessions were served.
    #[must_use]
    pub fn read_counts(&self) -> ReadCounts {
        self.metrics.read_counts()
    }

    /// The entry for this host in the platform's list of hosts.
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

    /// Sends an event to the control thread, without blocking.
    pub(crate) fn send_control_event(&self, event: ControlEvent) {
        self.control.try_send(event).ok();
    }
}

/// Makes the name of one run of a host, with a random suffix.
pub(crate) fn make_run_name(host: &str) -> CompactString {
    format_compact!("{host}~{:012x}", fastrand::u64(..) >> 16)
}

/// Shared handle of a context.
pub type SharedContext = Arc<HostContext>;
