//! State shared by the parts of a proxy host.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use compact_str::CompactString;
use fulmarrill_routing::ByteCosts;
use fulmarrill_runtime::PublishedCell;

use crate::catalogue::{HostName, RunName};
use crate::clock::BootTime;
use crate::codec::CallerCodec;
use crate::entry::EntryState;
use crate::entry::clients::{ClientControl, ClientLimits};
use crate::leaving::LeaveProgress;
use crate::limits::RateLimits;
use crate::owner::OwnerTable;
use crate::peers::pool::PeerPool;
use crate::records::RecordKeeper;
use crate::relay::era::KnownEra;
use crate::relay::monitor::StoreMonitor;
use crate::relay::spreading::SharedSpread;
use crate::relay::staleness::list_ages;
use crate::report::StatementLog;
use crate::view::{TrafficView, ViewCell};

/// Name, address and location of a host.
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
    /// Name, address and location of the host.
    pub place: HostPlace,
    /// Protocol of the callers.
    pub callers: CallerCodec,
    /// The view that traffic is routed by.
    pub view: Arc<ViewCell>,
    /// Links to other hosts.
    pub peers: Arc<PeerPool>,
    /// Owners of the instances that this host serves.
    pub owners: OwnerTable,
    /// Rate limits of customers.
    pub limits: Arc<RateLimits>,
    /// State of the entry, shared by its sessions.
    pub entry: EntryState,
    /// Limits on what clients hold.
    pub clients: Arc<ClientControl>,
    /// Addresses of other hosts to ask while the store does not answer.
    pub seeds: PublishedCell<Vec<CompactString>>,
    /// What bytes cost that leave the data centre; `None` if the fixed penalties apply.
    pub byte_costs: PublishedCell<Option<ByteCosts>>,
    /// Counts statements and writes log lines about them.
    pub statements: StatementLog,
    /// Customers' records of requests.
    pub records: RecordKeeper,
    /// Whether the store answers this host, and whether it should watch it.
    pub store: StoreMonitor,
    /// Latest era of the store that this host knows.
    pub era: Arc<KnownEra>,
    /// Which hosts the store answers, and whom to poll.
    pub spreading: SharedSpread,
    /// How far this host has got in leaving.
    pub leave_progress: LeaveProgress,
}

/// Shared handle of a context.
pub type SharedContext = Arc<ProxyContext>;

impl ProxyContext {
    /// The context of a host that has just started, with an empty view.
    #[must_use]
    pub fn new(
        place: HostPlace,
        callers: CallerCodec,
        databases: crate::codec::DatabaseCodec,
        limits: ClientLimits,
    ) -> SharedContext {
        let view = Arc::new(ViewCell::new(TrafficView::default()));
        let rate_limits = RateLimits::new(&place, view.clone());
        let statements = StatementLog::new();
        let clients = ClientControl::new(limits, statements.registry());
        let owners = OwnerTable::new(databases, view.clone())
            .with_limits(rate_limits.clone())
            .with_budget(clients.budget());
        Arc::new(Self {
            callers,
            peers: PeerPool::new(&place.host),
            owners,
            limits: rate_limits,
            entry: EntryState::new(),
            clients,
            seeds: PublishedCell::new(Vec::new()),
            byte_costs: PublishedCell::new(None),
            statements,
            records: RecordKeeper::new(&place.run).with_memory(limits.record_bytes()),
            store: StoreMonitor::default(),
            era: Arc::default(),
            spreading: SharedSpread::new(&place),
            leave_progress: LeaveProgress::default(),
            view,
            place,
        })
    }

    /// The region of a data centre, if it is known.
    #[must_use]
    pub fn region_of(&self, data_centre: &str) -> Option<&str> {
        self.place
            .regions
            .get(data_centre)
            .map(CompactString::as_str)
    }

    /// The metrics of the host as Prometheus text.
    #[must_use]
    pub fn render_metrics(&self) -> String {
        let view = self.view.load();
        self.clients.record_gauges();
        self.statements.record_store_era(view.versions.era);
        for (list, age) in list_ages(&view.confirmed, BootTime::now()) {
            if let Some(age) = age {
                self.statements.record_list_age(list, age);
            }
        }
        for (database, data_centre, share) in self.entry.placement().shares() {
            self.statements.record_share(database, data_centre, share);
        }
        self.statements.render() + &self.limits.render_metrics()
    }

    /// The state of the host as JSON, for diagnostics.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let view = self.view.load();
        let now = BootTime::now();
        let mut ages = BTreeMap::new();
        for (list, age) in list_ages(&view.confirmed, now) {
            ages.insert(list, age.map(|age| age.as_millis().to_string()));
        }
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
            "store_era": view.versions.era,
            "watches_store": self.store.is_watching(),
            "store_overdue": self.spreading.sources(Instant::now()).is_empty(),
            "age_ms": ages,
            "hosts": &*view.hosts,
            "leaving": &*view.leaving,
            "instances": &*view.instances,
            "terms": terms,
            "sessions": self.entry.session_count(),
            "placement": self.entry.placement().dump(Instant::now()),
            "owned": self.owners.dump(),
            "limits": self.limits.dump(),
            "records": self.records.dump(),
        })
    }

    /// Whether the host was told to leave.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leave_progress.is_leaving()
    }

    /// Starts leaving: the host no longer counts as ready, closes connections to
    /// instances as soon as they are free, and gives its last answers at
    /// `answers_due_at`.
    pub fn leave(&self, answers_due_at: Instant) {
        self.leave_progress.begin(answers_due_at);
        self.owners.retire();
    }

    /// Whether the host can serve: it knows a configuration and at least one
    /// instance, and is not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        !self.is_leaving() && view.endpoints.is_some() && !view.instances.is_empty()
    }
}
