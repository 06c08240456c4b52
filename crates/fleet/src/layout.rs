//! Layouts: the data centres, hosts, databases and latencies of a deployment.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A data centre, also called a site, and its region.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct SiteLayout {
    /// Name of the data centre.
    pub data_centre: CompactString,
    /// Region that the data centre belongs to.
    pub region: CompactString,
}

/// A host and its location.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct HostLayout {
    /// Name of the host, unique in the layout.
    pub name: CompactString,
    /// Data centre in which the host runs.
    pub data_centre: CompactString,
}

/// A database instance and its location.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct InstanceLayout {
    /// Name of the instance, unique in the layout.
    pub name: CompactString,
    /// Data centre in which the instance runs.
    pub data_centre: CompactString,
}

/// A database and the instances that replicate it.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct DatabaseLayout {
    /// Name that callers connect to.
    pub name: CompactString,
    /// Instances of the group, the initial primary first.
    pub instances: Vec<InstanceLayout>,
}

/// A complete deployment.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct FleetLayout {
    /// Data centres that hosts, instances and the platform refer to by name.
    pub sites: Vec<SiteLayout>,
    /// Hosts in the order in which they start.
    pub hosts: Vec<HostLayout>,
    /// Databases and their instances.
    pub databases: Vec<DatabaseLayout>,
    /// Data centre in which the platform runs.
    pub platform_data_centre: CompactString,
    /// Number of statements that each instance runs concurrently.
    pub slots: usize,
    /// Connections that each instance accepts.
    pub connection_limit: usize,
    /// One-way latency between data centres of the same region, in microseconds.
    pub site_latency_us: u64,
    /// One-way latency between regions, in microseconds.
    pub region_latency_us: u64,
    /// Time that a statement occupies its slot, in microseconds.
    pub statement_us: u64,
    /// Text of the operators' document, written to the store at the start.
    pub document: String,
    /// SQL statements that create the schema of each database.
    pub schema: Vec<String>,
}

impl FleetLayout {
    /// The built-in layout of Odznak Labs' deployment.
    ///
    /// # Panics
    ///
    /// If the embedded layout file cannot be parsed.
    #[must_use]
    pub fn odznak() -> Self {
        serde_json::from_str(include_str!("../layouts/odznak.json"))
            .expect("the embedded layout is valid")
    }

    /// The built-in layout of Haskell Sign Works' deployment.
    ///
    /// # Panics
    ///
    /// If the embedded layout file cannot be parsed.
    #[must_use]
    pub fn haskell() -> Self {
        serde_json::from_str(include_str!("../layouts/haskell.json"))
            .expect("the embedded layout is valid")
    }

    /// Keeps only the first `count` databases.
    #[must_use]
    pub fn with_databases(mut self, count: usize) -> Self {
        self.databases.truncate(count);
        self
    }

    /// Keeps only the first host of each data centre.
    #[must_use]
    pub fn with_one_host_per_site(mut self) -> Self {
        let mut kept: Vec<HostLayout> = Vec::new();
        for host in &self.hosts {
            if kept
                .iter()
                .any(|other| other.data_centre == host.data_centre)
            {
                continue;
            }
            kept.push(host.clone());
        }
        self.hosts = kept;
        self
    }

    /// Sets the time that a statement occupies its slot.
    #[must_use]
    pub fn with_statement_us(mut self, time_us: u64) -> Self {
        self.statement_us = time_us;
        self
    }

    /// Sets the one-way latencies between data centres of a region and between
    /// regions.
    #[must_use]
    pub fn with_latencies_us(mut self, site_us: u64, region_us: u64) -> Self {
        self.site_latency_us = site_us;
        self.region_latency_us = region_us;
        self
    }

    /// Returns the region of a data centre, empty if the layout does not have it.
    #[must_use]
    pub fn region_of(&self, data_centre: &str) -> CompactString {
        let site = self
            .sites
            .iter()
            .find(|site| site.data_centre == data_centre);
        site.map(|site| site.region.clone()).unwrap_or_default()
    }

    /// Returns the one-way latency between two data centres.
    #[must_use]
    pub fn latency(&self, from: &str, to: &str) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        if self.region_of(from) == self.region_of(to) {
            return Duration::from_micros(self.site_latency_us);
        }
        Duration::from_micros(self.region_latency_us)
    }
}
