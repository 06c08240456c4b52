//! Runs a deployment on loopback and injects failures into it.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use fulmarrill_document::HostSettings;
use fulmarrill_host::{HostError, HostProcess};
use fulmarrill_objects::ObjectKey;
use fulmarrill_replication::{DatabaseGroup, GroupInstance};
use fulmarrill_standin::{
    DatabaseError, DatabaseStandin, ForwarderFaults, InstanceFaults, InstanceOptions,
    NetworkForwarder, PlatformStandin,
};
use serde_json::Value;
use smol::Timer;
use thiserror::Error;

use crate::layout::{FleetLayout, HostLayout, InstanceLayout};

/// Interval at which readiness is polled.
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// Why a fleet cannot start or does not become ready.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A port cannot be opened, or an address is not valid.
    #[error("fleet: {0}")]
    Io(#[from] io::Error),
    /// A host cannot start.
    #[error("fleet: {0}")]
    Host(#[from] HostError),
    /// A database stand-in cannot start.
    #[error("fleet: {0}")]
    Database(#[from] DatabaseError),
    /// The fleet was not ready before the deadline.
    #[error("fleet: not ready in time: {0}")]
    NotReady(String),
}

/// Names of the two ends of a network path, `from` and `to`.
type PathKey = (CompactString, CompactString);

/// A fleet that runs in this process until it is dropped.
#[derive(Debug)]
pub struct LocalFleet {
    layout: FleetLayout,
    platform: PlatformStandin,
    instances: BTreeMap<CompactString, DatabaseStandin>,
    instance_addresses: BTreeMap<CompactString, SocketAddr>,
    hosts: BTreeMap<CompactString, HostProcess>,
    /// Names of the hosts in the order of their latest start.
    start_order: Vec<CompactString>,
    paths: BTreeMap<PathKey, NetworkForwarder>,
}

impl LocalFleet {
    /// Starts the platform, the databases and the hosts, and waits until they are
    /// ready.
    ///
    /// # Errors
    ///
    /// When a port cannot be opened or the fleet is not ready in time.
    pub async fn start(layout: FleetLayout) -> Result<Self, FleetError> {
        let platform = PlatformStandin::start("127.0.0.1:0").await?;
        let mut fleet = Self {
            layout: layout.clone(),
            platform,
            instances: BTreeMap::new(),
            instance_addresses: BTreeMap::new(),
            hosts: BTreeMap::new(),
            start_order: Vec::new(),
            paths: BTreeMap::new(),
        };
        fleet.start_databases().await?;
        let document = ObjectKey::new("document", "operators");
        fleet
            .platform
            .set_object(&document, Value::String(layout.document.clone()));
        for host in &layout.hosts {
            fleet.start_host(host).await?;
        }
        if layout.hosts.is_empty() {
            fleet.follow_initial_primaries();
        }
        fleet.wait_ready(Duration::from_secs(30)).await?;
        Ok(fleet)
    }

    /// Makes the replicas follow their initial primaries in a fleet without hosts,
    /// where nothing else does.
    fn follow_initial_primaries(&self) {
        for database in &self.layout.databases {
            let primary = self.instance_addresses[&database.instances[0].name].to_string();
            for instance in &database.instances[1..] {
                self.instances[&instance.name].follow(1, &primary);
            }
        }
    }

    /// Returns the layout that the fleet was started with.
    #[must_use]
    pub fn layout(&self) -> &FleetLayout {
        &self.layout
    }

    /// Returns the platform stand-in.
    #[must_use]
    pub fn platform(&self) -> &PlatformStandin {
        &self.platform
    }

    async fn start_databases(&mut self) -> Result<(), FleetError> {
        let layout = self.layout.clone();
        for database in &layout.databases {
            for (index, instance) in database.instances.iter().enumerate() {
                let schema: Vec<&str> = layout.schema.iter().map(String::as_str).collect();
                let mut options = InstanceOptions::new(&instance.name)
                    .with_limits(layout.slots, layout.connection_limit)
                    .with_statement_time(Duration::from_micros(layout.statement_us))
                    .with_schema(&schema);
                if index == 0 {
                    options = options.with_primary(1);
                }
                let standin = DatabaseStandin::start(options).await?;
                self.instance_addresses
                    .insert(instance.name.clone(), standin.address());
                self.instances.insert(instance.name.clone(), standin);
            }
            self.connect_instances(&database.instances).await?;
            let group = self.group_object(&database.name, &database.instances);
            let key = ObjectKey::new("group", &database.name);
            self.platform
                .set_object(&key, serde_json::to_value(group).unwrap_or_default());
        }
        Ok(())
    }

    /// Opens the paths over which the instances of a group pull the log from each
    /// other.
    async fn connect_instances(&mut self, instances: &[InstanceLayout]) -> Result<(), FleetError> {
        for from in instances {
            for to in instances {
                if from.name == to.name {
                    continue;
                }
                let target = self.instance_addresses[&to.name];
                let ends = (&*from.name, &*from.data_centre, &*to.name, &*to.data_centre);
                let forwarder_address = self.open_path(ends, target).await?;
                let (target, forwarder_address) =
                    (target.to_string(), forwarder_address.to_string());
                self.instances[&from.name].add_route(&target, &forwarder_address);
            }
        }
        Ok(())
    }

    fn group_object(&self, database: &str, instances: &[InstanceLayout]) -> DatabaseGroup {
        let mut group = DatabaseGroup::new(database, 1, &instances[0].name);
        for instance in instances {
            let region = self.layout.region_of(&instance.data_centre);
            let address = self.instance_addresses[&instance.name].to_string();
            group = group.with_instance(
                GroupInstance::new(&instance.name, &instance.data_centre, &region)
                    .with_address(&address)
                    .with_limits(self.layout.slots, self.layout.connection_limit),
            );
        }
        group
    }

    /// Opens a path to `target` with the latency between the data centres of its
    /// two ends. `ends` holds the name and the data centre of the calling end, then
    /// those of the called end.
    async fn open_path(
        &mut self,
        ends: (&str, &str, &str, &str),
        target: SocketAddr,
    ) -> Result<SocketAddr, FleetError> {
        let (from, from_site, to, to_site) = ends;
        let delay = self.layout.latency(from_site, to_site);
        let faults = ForwarderFaults {
            delay,
            ..ForwarderFaults::default()
        };
        let forwarder = NetworkForwarder::start(target, faults).await?;
        let address = forwarder.address();
        self.paths.insert((from.into(), to.into()), forwarder);
        Ok(address)
    }

    /// Opens paths from an end called `name` in a data centre to every instance of
    /// the first database, in the order of the layout, which starts with the initial
    /// primary.
    ///
    /// # Errors
    ///
    /// When a port cannot be opened.
    pub async fn open_instance_paths(
        &mut self,
        name: &str,
        data_centre: &str,
    ) -> Result<Vec<SocketAddr>, FleetError> {
        let mut paths = Vec::new();
        for instance in self.layout.databases[0].instances.clone() {
            let target = self.instance_addresses[&instance.name];
            let ends = (name, data_centre, &*instance.name, &*instance.data_centre);
            paths.push(self.open_path(ends, target).await?);
        }
        Ok(paths)
    }

    /// Starts a host, or restarts one that was killed or has left.
    ///
    /// # Errors
    ///
    /// When a port cannot be opened.
    pub async fn start_host(&mut self, host: &HostLayout) -> Result<(), FleetError> {
        let region = self.layout.region_of(&host.data_centre);
        let site = self.layout.platform_data_centre.clone();
        let target = self.platform.address();
        let ends = (
            host.name.as_str(),
            host.data_centre.as_str(),
            "platform",
            site.as_str(),
        );
        let platform = self.open_path(ends, target).await?;
        let platform = platform.to_string();
        let mut settings = HostSettings::new(&host.name, &host.data_centre, &region, &platform);
        for database in self.layout.databases.clone() {
            for instance in &database.instances {
                let target = self.instance_addresses[&instance.name];
                let ends = (
                    &*host.name,
                    &*host.data_centre,
                    &*instance.name,
                    &*instance.data_centre,
                );
                let forwarder_address = self.open_path(ends, target).await?;
                settings = settings.with_route(&target.to_string(), &forwarder_address.to_string());
            }
        }
        for other in self.hosts.values() {
            settings = settings.with_peer(&other.addresses().peer);
        }
        let process = HostProcess::start(settings).await?;
        self.connect_host(host, &process).await?;
        self.hosts.insert(host.name.clone(), process);
        self.start_order.retain(|name| *name != host.name);
        self.start_order.push(host.name.clone());
        Ok(())
    }

    /// Opens the paths between a new host and every other running host, both ways.
    async fn connect_host(
        &mut self,
        host: &HostLayout,
        new: &HostProcess,
    ) -> Result<(), FleetError> {
        let new_address = new.addresses().peer.clone();
        let mut others = Vec::new();
        for other in &self.layout.hosts {
            if let Some(process) = self.hosts.get(&other.name) {
                others.push((other.clone(), process.addresses().peer.clone()));
            }
        }
        for (other, address) in others {
            let target = parse_address(&address)?;
            let ends = (
                &*host.name,
                &*host.data_centre,
                &*other.name,
                &*other.data_centre,
            );
            let forwarder_address = self.open_path(ends, target).await?;
            new.add_route(&address, &forwarder_address.to_string());
            let target = parse_address(&new_address)?;
            let ends = (
                &*other.name,
                &*other.data_centre,
                &*host.name,
                &*host.data_centre,
            );
            let forwarder_address = self.open_path(ends, target).await?;
            if let Some(process) = self.hosts.get(&other.name) {
                process.add_route(&new_address, &forwarder_address.to_string());
            }
        }
        Ok(())
    }

    /// Waits until every host knows the document, all groups and all hosts, and
    /// every instance follows its primary.
    ///
    /// # Errors
    ///
    /// When a condition is still not met after `time`; the error names it.
    pub async fn wait_ready(&self, time: Duration) -> Result<(), FleetError> {
        let deadline = Instant::now() + time;
        loop {
            let Some(missing) = self.first_missing() else {
                return Ok(());
            };
            if Instant::now() > deadline {
                return Err(FleetError::NotReady(missing));
            }
            Timer::after(READY_INTERVAL).await;
        }
    }

    /// Describes the first condition of readiness that is not met.
    fn first_missing(&self) -> Option<String> {
        for (name, host) in &self.hosts {
            let view = host.context().view();
            if view.groups.len() < self.layout.databases.len() || view.versions.document == 0 {
                return Some(format!("{name} does not know the configuration"));
            }
            if view.hosts.len() < self.hosts.len() {
                return Some(format!("{name} does not know all hosts"));
            }
        }
        for (name, instance) in &self.instances {
            let status = instance.status();
            if !status.matched || status.received.position == 0 {
                return Some(format!("{name} does not follow its primary"));
            }
        }
        None
    }

    /// Returns the address at which a host accepts callers.
    ///
    /// # Panics
    ///
    /// If no host of that name is running.
    #[must_use]
    pub fn caller_address(&self, host: &str) -> CompactString {
        self.hosts[host].addresses().caller.clone()
    }

    /// Returns a running host by its name.
    #[must_use]
    pub fn host(&self, name: &str) -> Option<&HostProcess> {
        self.hosts.get(name)
    }

    /// Returns the names of the running hosts.
    #[must_use]
    pub fn host_names(&self) -> Vec<CompactString> {
        self.hosts.keys().cloned().collect()
    }

    /// Returns the host that has been running for the longest time.
    #[must_use]
    pub fn oldest_host(&self) -> Option<CompactString> {
        self.start_order
            .iter()
            .find(|name| self.hosts.contains_key(*name))
            .cloned()
    }

    /// Returns a running instance by its name.
    #[must_use]
    pub fn instance(&self, name: &str) -> Option<&DatabaseStandin> {
        self.instances.get(name)
    }

    /// Returns the current primary of a database according to the store.
    #[must_use]
    pub fn primary_of(&self, database: &str) -> Option<CompactString> {
        self.group(database)?.primary
    }

    /// Returns a database group as the store holds it.
    #[must_use]
    pub fn group(&self, database: &str) -> Option<DatabaseGroup> {
        let object = self.platform.object(&ObjectKey::new("group", database))?;
        serde_json::from_value(object.value).ok()
    }

    /// Changes a group in the store, as an operator would.
    pub fn change_group(&self, database: &str, change: impl FnOnce(&mut DatabaseGroup)) {
        let Some(mut group) = self.group(database) else {
            return;
        };
        change(&mut group);
        group.change_id = format_compact!("operators-{:x}", group.term);
        if let Ok(value) = serde_json::to_value(&group) {
            self.platform
                .set_object(&ObjectKey::new("group", database), value);
        }
    }

    /// Kills a host without an orderly end, like a failure of its machine.
    pub fn kill_host(&mut self, name: &str) {
        self.hosts.remove(name);
    }

    /// Removes a host from the fleet and returns it still running, so that the
    /// caller can tell it to leave.
    pub fn take_host(&mut self, name: &str) -> Option<HostProcess> {
        self.hosts.remove(name)
    }

    /// Kills a database instance.
    pub fn kill_instance(&mut self, name: &str) {
        self.instances.remove(name);
    }

    /// Sets the injected faults of an instance.
    pub fn set_instance_faults(&self, name: &str, faults: InstanceFaults) {
        if let Some(instance) = self.instances.get(name) {
            instance.set_faults(faults);
        }
    }

    /// Resets the injected faults of every path that `is_selected` accepts by the
    /// names of its ends, then applies `change`. The latency of the path stays
    /// unless `change` sets it.
    pub fn set_path_faults(
        &self,
        is_selected: impl Fn(&str, &str) -> bool,
        change: impl Fn(&mut ForwarderFaults),
    ) {
        for ((from, to), forwarder) in &self.paths {
            if !is_selected(from, to) {
                continue;
            }
            let delay = self.layout.latency(&self.site_of(from), &self.site_of(to));
            let mut faults = ForwarderFaults {
                delay,
                ..ForwarderFaults::default()
            };
            change(&mut faults);
            forwarder.set_faults(faults);
        }
    }

    /// Returns the data centre of a host or an instance; the platform's for any
    /// other name.
    #[must_use]
    pub fn site_of(&self, name: &str) -> CompactString {
        let hosts = self
            .layout
            .hosts
            .iter()
            .map(|host| (&host.name, &host.data_centre));
        let instances = self
            .layout
            .databases
            .iter()
            .flat_map(|database| &database.instances);
        let instances = instances.map(|instance| (&instance.name, &instance.data_centre));
        for (known, site) in hosts.chain(instances) {
            if known == name {
                return site.clone();
            }
        }
        self.layout.platform_data_centre.clone()
    }

    /// Returns the fraction of the reads served so far that replicas served.
    #[must_use]
    pub fn replica_share(&self) -> f64 {
        let (mut by_replica, mut all) = (0.0, 0.0);
        for host in self.hosts.values() {
            let counts = host.context().read_counts();
            by_replica += counts.by_replica;
            all += counts.total;
        }
        if all > 0.0 { by_replica / all } else { 0.0 }
    }

    /// Returns the bytes passed so far on the paths that `is_selected` accepts.
    #[must_use]
    pub fn bytes_on_paths(&self, is_selected: impl Fn(&str, &str) -> bool) -> u64 {
        let paths = self
            .paths
            .iter()
            .filter(|((from, to), _)| is_selected(from, to));
        paths
            .map(|(_, forwarder)| forwarder.bytes_forwarded())
            .sum()
    }

    /// Returns the bytes passed so far on paths between regions.
    #[must_use]
    pub fn bytes_between_regions(&self) -> u64 {
        let mut bytes = 0;
        for ((from, to), forwarder) in &self.paths {
            let (from, to) = (self.site_of(from), self.site_of(to));
            if self.layout.region_of(&from) != self.layout.region_of(&to) {
                bytes += forwarder.bytes_forwarded();
            }
        }
        bytes
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, FleetError> {
    text.parse()
        .map_err(|error| FleetError::Io(io::Error::other(error)))
}
