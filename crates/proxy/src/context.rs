//! What the parts of a proxy host share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use compact_str::CompactString;
use event_listener::Event;

use crate::catalogue::{HostName, RunName};
use crate::codec::CallerCodec;
use crate::entry::EntryState;
use crate::owner::OwnerTable;
use crate::peers::pool::PeerPool;
use crate::relay::StoreSight;
use crate::view::ViewCell;

/// Where a host stands and what it is called.
#[derive(Debug, Clone)]
pub struct HostPlace {
    /// Name of the host.
    pub host: HostName,
    /// This run of its process.
    pub run: RunName,
    /// Address for other hosts, `IP:PORT`.
    pub address: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Region.
    pub region: CompactString,
    /// Region of each data centre.
    pub regions: BTreeMap<CompactString, CompactString>,
}

/// The shared state of one host.
#[derive(Debug)]
pub struct ProxyContext {
    /// Where it stands.
    pub place: HostPlace,
    /// Protocol of its callers.
    pub callers: CallerCodec,
    /// What traffic routes by.
    pub view: Arc<ViewCell>,
    /// Links to other hosts.
    pub peers: PeerPool,
    /// Instances served.
    pub owners: OwnerTable,
    /// What the entry knows.
    pub entry: EntryState,
    /// When the store was heard of last.
    pub store: StoreSight,
    leaving: AtomicBool,
    closing: AtomicBool,
    closes: Event,
}

/// Shared handle of a context.
pub type SharedContext = Arc<ProxyContext>;

impl ProxyContext {
    /// The context of a host that knows nothing yet.
    #[must_use]
    pub fn new(
        place: HostPlace,
        callers: CallerCodec,
        databases: crate::codec::DatabaseCodec,
    ) -> SharedContext {
        let view = Arc::new(ViewCell::new());
        Arc::new(Self {
            callers,
            peers: PeerPool::new(&place.host),
            owners: OwnerTable::new(databases, view.clone()),
            entry: EntryState::new(),
            store: StoreSight::new(Instant::now()),
            leaving: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            closes: Event::new(),
            view,
            place,
        })
    }

    /// The region of a data centre.
    #[must_use]
    pub fn region_of(&self, data_centre: &str) -> Option<&str> {
        self.place
            .regions
            .get(data_centre)
            .map(CompactString::as_str)
    }

    /// Whether the host was told to leave.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Begins to leave: the host no longer counts as ready, and gives up
    /// connections to instances as soon as they are free.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.owners.retire();
    }

    /// Ends sessions as soon as nothing is outstanding on them.
    pub fn close_sessions(&self) {
        self.closing.store(true, Ordering::SeqCst);
        self.closes.notify(usize::MAX);
    }

    /// Returns once sessions are to end.
    pub async fn closing(&self) {
        loop {
            let listener = self.closes.listen();
            if self.closing.load(Ordering::SeqCst) {
                return;
            }
            listener.await;
        }
    }

    /// Whether the host can serve: it knows what is in force, and is not
    /// leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        !self.is_leaving() && view.endpoints.is_some() && !view.instances.is_empty()
    }
}
