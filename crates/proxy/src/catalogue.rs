//! What operators and the platform declare: endpoints, customers, instances, hosts and
//! terms.

pub mod customers;

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use fulmarrill_position::{DatabaseName, Term};
use fulmarrill_schedule::RankIndex;
use fulmarrill_spread::StoreRevision;
use serde::{Deserialize, Serialize};

use crate::catalogue::customers::{CallerKey, CustomerName, CustomerTable};
use crate::codec::{DatabaseRole, ErrorKind};
use crate::history::ListEntry;

/// Name of the endpoint that a caller asks for.
pub type EndpointName = CompactString;
/// Identity of one instance; a replacement gets a new one.
pub type InstanceId = CompactString;
/// Name of a host.
pub type HostName = CompactString;
/// Name of one run of a host's process.
pub type RunName = CompactString;
/// Version of an object in the store: the store's revision at its last change.
pub type ObjectVersion = StoreRevision;

/// How fresh the data of an endpoint's reads must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadFreshness {
    /// Reads see every acknowledged commit.
    Latest,
    /// Reads see every commit that was acknowledged longer ago than this.
    Aged(Duration),
    /// As `Aged`, and reads see every commit of their own session.
    AgedWithOwn(Duration),
}

/// An endpoint: a name under which callers reach a database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Name.
    pub name: EndpointName,
    /// Database that it leads to.
    pub database: DatabaseName,
    /// How fresh reads must be.
    pub freshness: ReadFreshness,
    /// Time that one statement may take.
    pub statement_time: Duration,
    /// Rank of its work, 0 for the most urgent.
    pub rank: RankIndex,
    /// Whether it serves callers without a valid key.
    #[serde(default)]
    pub is_public: bool,
}

/// Limits of one database.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseLimits {
    /// Connections that each of its instances accepts in total.
    pub connections: usize,
    /// Replicas that have received a commit when it is acknowledged.
    #[serde(default)]
    pub sync_replicas: usize,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointTable {
    /// Version; later versions are higher.
    pub version: u64,
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointName, EndpointEntry>,
    /// Databases by name.
    pub databases: BTreeMap<DatabaseName, DatabaseLimits>,
    /// Time without a statement after which a transaction may be ended.
    pub transaction_idle_time: Duration,
    /// Customers; `None` if the operators declare none and every caller is served.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customers: Option<CustomerTable>,
}

/// Whom a session works for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Customer in whose record its requests are kept.
    pub customer: CompactString,
    /// Whether a key identified the customer. Instances are told its name then.
    pub is_signed_in: bool,
}

impl EndpointTable {
    /// The same endpoints without any policy: all reads go to the primary and
    /// all work has one rank. Measurements compare the proxy with this baseline.
    #[must_use]
    pub fn into_baseline(mut self) -> Self {
        for endpoint in self.endpoints.values_mut() {
            endpoint.freshness = ReadFreshness::Latest;
            endpoint.rank = 0;
        }
        self
    }

    /// Identifies the caller that presents `key` at an endpoint. If no customers are
    /// declared, the key is the name of the caller.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unauthorized`] if the key is not known and the endpoint is not public.
    pub fn identify(
        &self,
        endpoint: &EndpointEntry,
        key: &CallerKey,
    ) -> Result<CallerIdentity, ErrorKind> {
        let Some(customers) = &self.customers else {
            return Ok(CallerIdentity {
                customer: key.reveal().clone(),
                is_signed_in: false,
            });
        };
        match customers.customer_of(key) {
            Some(customer) => Ok(CallerIdentity {
                customer: customer.clone(),
                is_signed_in: true,
            }),
            None if endpoint.is_public => Ok(CallerIdentity {
                customer: PUBLIC_CUSTOMER,
                is_signed_in: false,
            }),
            None => Err(ErrorKind::Unauthorized),
        }
    }

    /// Returns the limit of a customer's operations, if one is declared.
    #[must_use]
    pub fn limit_of(&self, customer: &str) -> Option<customers::RateLimit> {
        self.customers.as_ref()?.limit_of(customer)
    }
}

/// Record that holds the requests of callers at public endpoints without a valid key.
const PUBLIC_CUSTOMER: CustomerName = CompactString::const_new("public");

/// One instance, as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Identity.
    pub id: InstanceId,
    /// Database that it belongs to.
    pub database: DatabaseName,
    /// Address, `IP:PORT`.
    pub address: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Number of statements that it runs concurrently.
    pub slots: usize,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// Role that it reports.
    pub role: DatabaseRole,
    /// When it started, in milliseconds since 1970 by its own clock.
    pub started_ms: u64,
}

/// One host, as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name.
    pub name: HostName,
    /// This run of its process.
    pub run: RunName,
    /// Address for other hosts, `IP:PORT`.
    pub address: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Region.
    pub region: CompactString,
    /// Whether it takes no new work: it was told to leave, or other hosts could
    /// not reach it for some minutes.
    #[serde(default)]
    pub leaving: bool,
    /// Class of its processor share.
    #[serde(default)]
    pub tier: HostTier,
    /// Number of the mark that another host made, different for each; zero if there is none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub mark: u64,
}

/// Class of a host's processor share: each is twice as large as the one below it.
pub type HostTier = u8;

/// Processor share of the lowest class, in cores. Smaller ones belong to it, too.
const LOWEST_TIER_CORES: f64 = 0.1;
/// The highest class.
const HIGHEST_TIER: HostTier = 15;

/// The class of a processor share in cores; the lowest if the share is unknown.
#[must_use]
pub fn host_tier(cores: f64) -> HostTier {
    let mut tier = 0;
    let mut next = LOWEST_TIER_CORES * 2.0;
    while cores >= next && tier < HIGHEST_TIER {
        tier += 1;
        next *= 2.0;
    }
    tier
}

/// An instance since one of its starts: it may start again under the id that it had, without
/// the log of before.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CopyId {
    /// Identity.
    pub id: InstanceId,
    /// When it started, in milliseconds since 1970 by its own clock; zero if unknown.
    pub started_ms: u64,
}

impl From<&InstanceEntry> for CopyId {
    fn from(instance: &InstanceEntry) -> Self {
        Self {
            id: instance.id.clone(),
            started_ms: instance.started_ms,
        }
    }
}

/// Which instance leads a database, and which runs may use it, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The database.
    pub database: DatabaseName,
    /// Current term, or the last one while it is being changed.
    pub term: Term,
    /// Primary of this term.
    pub primary: InstanceId,
    /// Number of the last change of primary that was reserved; the fencing token
    /// of orders to the platform.
    pub fence: u64,
    /// Runs of hosts that may use the primary in this term.
    pub holders: Vec<RunName>,
    /// Run that is changing the term; no host may use the primary meanwhile.
    pub changed_by: Option<RunName>,
    /// Instances other than the primary that may hold an acknowledged commit which others
    /// lack; empty unless the database has synchronous replicas.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub copies: Vec<CopyId>,
    /// Era of the store in which the record was written. A store that came back from
    /// an older copy shows records of earlier eras, which may be out of date.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u64,
    /// Whether every lease of an earlier era had expired when the record was written.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_settled: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl TermRecord {
    /// Adds the holders and copies of a record that this one is written over, and raises the
    /// fencing token to that of it.
    pub fn add_displaced(&mut self, displaced: &Self) {
        self.fence = self.fence.max(displaced.fence);
        for run in &displaced.holders {
            if !self.holders.contains(run) {
                self.holders.push(run.clone());
            }
        }
        for copy in &displaced.copies {
            if !self.copies.contains(copy) && copy.id != self.primary {
                self.copies.push(copy.clone());
            }
        }
    }
}

/// A term record with its version, as hosts send it to each other.
pub type VersionedTerm = (TermRecord, ObjectVersion);

impl ListEntry for EndpointEntry {
    fn key(&self) -> &CompactString {
        &self.name
    }
}

impl ListEntry for InstanceEntry {
    fn key(&self) -> &CompactString {
        &self.id
    }
}

impl ListEntry for HostEntry {
    fn key(&self) -> &CompactString {
        &self.name
    }
}

impl ListEntry for VersionedTerm {
    fn key(&self) -> &CompactString {
        &self.0.database
    }
}
