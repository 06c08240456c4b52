//! What the parts of a proxy host share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use compact_str::CompactString;
use event_listener::Event;

use fulmarrill_runtime::PublishedCell;

use crate::catalogue::{HostName, RunName};
use crate::clock::BootTime;
use crate::codec::CallerCodec;
use crate::entry::EntryState;
use crate::owner::OwnerTable;
use crate::peers::pool::PeerPool;
use crate::records::RecordKeeper;
use crate::relay::monitor::StoreMonitor;
use crate::report::StatementLog;
use crate::view::{TrafficView, ViewCell};

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
    pub peers: Arc<PeerPool>,
    /// Instances served.
    pub owners: OwnerTable,
    /// What the entry knows.
    pub entry: EntryState,
    /// Addresses of other hosts, to ask while the store does not answer.
    pub seeds: PublishedCell<Vec<CompactString>>,
    /// Counts and reports statements.
    pub statements: StatementLog,
    /// Customers' records of requests.
    pub records: RecordKeeper,
    /// When the store was heard of last.
    pub store: StoreMonitor,
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
        let view = Arc::new(ViewCell::new(TrafficView::default()));
        Arc::new(Self {
            callers,
            peers: PeerPool::new(&place.host),
            owners: OwnerTable::new(databases, view.clone()),
            entry: EntryState::new(),
            seeds: PublishedCell::new(Vec::new()),
            statements: StatementLog::new(),
            records: RecordKeeper::new(&place.run),
            store: StoreMonitor::new(Instant::now()),
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

    /// The state of the host, for the dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let view = self.view.load();
        let now = BootTime::now();
        let mut terms = Vec::new();
        for term in view.terms.values() {
            terms.push(serde_json::json!({
                "record": term.record,
                "version": term.version,
                "is_holder": term.is_holder,
                "lease_left_ms": term.lease_until.since(now).as_millis().to_string(),
            }));
        }
        serde_json::json!({
            "host": self.place.host,
            "run": self.place.run,
            "configuration": view.endpoints.as_ref().map(|table| table.version),
            "is_ready": self.is_ready(),
            "watches_store": self.store.is_watching(),
            "store_overdue": self.store.is_overdue(Instant::now()),
            "hosts": &*view.hosts,
            "leaving": &*view.leaving,
            "instances": &*view.instances,
            "terms": terms,
            "sessions": self.entry.session_count(),
            "owned": self.owners.dump(),
            "records": self.records.dump(),
        })
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
