//! Starts a deployment on loopback and fails parts of it.

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

/// Time between two looks whether the fleet is ready.
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// Why a fleet cannot start.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A port cannot be had.
    #[error("fleet: {0}")]
    Io(#[from] io::Error),
    /// A host cannot start.
    #[error("fleet: {0}")]
    Host(#[from] HostError),
    /// A database stand-in cannot start.
    #[error("fleet: {0}")]
    Database(#[from] DatabaseError),
    /// The fleet was not ready in time.
    #[error("fleet: not ready in time: {0}")]
    NotReady(String),
}

/// Two ends of a path, `from` and `to`, by their names.
type PathKey = (CompactString, CompactString);

/// A fleet in this process. Dropping it ends everything.
#[derive(Debug)]
pub struct LocalFleet {
    layout: FleetLayout,
    platform: PlatformStandin,
    instances: BTreeMap<CompactString, DatabaseStandin>,
    instance_addresses: BTreeMap<CompactString, SocketAddr>,
    hosts: BTreeMap<CompactString, HostProcess>,
    /// Names of the running hosts in the order of their starts.
    started: Vec<CompactString>,
    paths: BTreeMap<PathKey, NetworkForwarder>,
}

impl LocalFleet {
    /// Starts platform, databases and hosts, and waits until they are ready.
    ///
    /// # Errors
    ///
    /// When a port cannot be had or the fleet is not ready in time.
    pub async fn start(layout: FleetLayout) -> Result<Self, FleetError> {
        let platform = PlatformStandin::start("127.0.0.1:0").await?;
        let mut fleet = Self {
            layout: layout.clone(),
            platform,
            instances: BTreeMap::new(),
            instance_addresses: BTreeMap::new(),
            hosts: BTreeMap::new(),
            started: Vec::new(),
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
            fleet.follow_first_primaries();
        }
        fleet.wait_ready(Duration::from_secs(30)).await?;
        Ok(fleet)
    }

    /// Makes replicas follow where no host does.
    fn follow_first_primaries(&self) {
        for database in &self.layout.databases {
            let primary = self.instance_addresses[&database.instances[0].name].to_string();
            for instance in &database.instances[1..] {
                self.instances[&instance.name].follow(1, &primary);
            }
        }
    }

    /// The layout that the fleet was started with.
    #[must_use]
    pub fn layout(&self) -> &FleetLayout {
        &self.layout
    }

    /// The platform.
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
            self.join_instances(&database.instances).await?;
            let group = self.group_object(&database.name, &database.instances);
            let key = ObjectKey::new("group", &database.name);
            self.platform
                .set_object(&key, serde_json::to_value(group).unwrap_or_default());
        }
        Ok(())
    }

    /// Makes the paths by which the instances of a group pull from each other.
    async fn join_instances(&mut self, instances: &[InstanceLayout]) -> Result<(), FleetError> {
        for from in instances {
            for to in instances {
                if from.name == to.name {
                    continue;
                }
                let target = self.instance_addresses[&to.name];
                let ends = (&*from.name, &*from.data_centre, &*to.name, &*to.data_centre);
                let through = self.open_path(ends, target).await?;
                let (target, through) = (target.to_string(), through.to_string());
                self.instances[&from.name].add_route(&target, &through);
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

    /// Opens the path between two ends, with the latency of their sites.
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

    /// Opens paths from something at a data centre to every instance of the
    /// first database, the primary's first.
    ///
    /// # Errors
    ///
    /// When a port cannot be had.
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

    /// Starts a host, again after it was killed or has left.
    ///
    /// # Errors
    ///
    /// When a port cannot be had.
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
                let through = self.open_path(ends, target).await?;
                settings = settings.with_route(&target.to_string(), &through.to_string());
            }
        }
        for other in self.hosts.values() {
            settings = settings.with_peer(&other.addresses().peer);
        }
        let process = HostProcess::start(settings).await?;
        self.join_host(host, &process).await?;
        self.hosts.insert(host.name.clone(), process);
        self.started.retain(|name| *name != host.name);
        self.started.push(host.name.clone());
        Ok(())
    }

    /// Makes the paths between a new host and every other.
    async fn join_host(&mut self, host: &HostLayout, new: &HostProcess) -> Result<(), FleetError> {
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
            let through = self.open_path(ends, target).await?;
            new.add_route(&address, &through.to_string());
            let target = parse_address(&new_address)?;
            let ends = (
                &*other.name,
                &*other.data_centre,
                &*host.name,
                &*host.data_centre,
            );
            let through = self.open_path(ends, target).await?;
            if let Some(process) = self.hosts.get(&other.name) {
                process.add_route(&new_address, &through.to_string());
            }
        }
        Ok(())
    }

    /// Waits until every host knows all groups and hosts and every primary has
    /// a replica that follows it.
    ///
    /// # Errors
    ///
    /// What is missing, after `time`.
    pub async fn wait_ready(&self, time: Duration) -> Result<(), FleetError> {
        let deadline = Instant::now() + time;
        loop {
            let Some(missing) = self.missing() else {
                return Ok(());
            };
            if Instant::now() > deadline {
                return Err(FleetError::NotReady(missing));
            }
            Timer::after(READY_INTERVAL).await;
        }
    }

    fn missing(&self) -> Option<String> {
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

    /// Address for callers of a host.
    ///
    /// # Panics
    ///
    /// When there is no such host.
    #[must_use]
    pub fn caller_address(&self, host: &str) -> CompactString {
        self.hosts[host].addresses().caller.clone()
    }

    /// A running host.
    #[must_use]
    pub fn host(&self, name: &str) -> Option<&HostProcess> {
        self.hosts.get(name)
    }

    /// Names of the running hosts.
    #[must_use]
    pub fn host_names(&self) -> Vec<CompactString> {
        self.hosts.keys().cloned().collect()
    }

    /// The host that has been running for the longest.
    #[must_use]
    pub fn oldest_host(&self) -> Option<CompactString> {
        self.started
            .iter()
            .find(|name| self.hosts.contains_key(*name))
            .cloned()
    }

    /// A running instance.
    #[must_use]
    pub fn instance(&self, name: &str) -> Option<&DatabaseStandin> {
        self.instances.get(name)
    }

    /// The present primary of a database, by the store.
    #[must_use]
    pub fn primary_of(&self, database: &str) -> Option<CompactString> {
        self.group(database)?.primary
    }

    /// A database group, as the store has it.
    #[must_use]
    pub fn group(&self, database: &str) -> Option<DatabaseGroup> {
        let object = self.platform.object(&ObjectKey::new("group", database))?;
        serde_json::from_value(object.value).ok()
    }

    /// Changes a group in the store, as its operators would.
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

    /// Kills a host, as a failure of its machine would.
    pub fn kill_host(&mut self, name: &str) {
        self.hosts.remove(name);
    }

    /// Takes a host out, to be told to leave.
    pub fn take_host(&mut self, name: &str) -> Option<HostProcess> {
        self.hosts.remove(name)
    }

    /// Kills an instance.
    pub fn kill_instance(&mut self, name: &str) {
        self.instances.remove(name);
    }

    /// Changes the faults of an instance.
    pub fn set_instance_faults(&self, name: &str, faults: InstanceFaults) {
        if let Some(instance) = self.instances.get(name) {
            instance.set_faults(faults);
        }
    }

    /// Changes what happens on every path that `chosen` picks by the names of
    /// its ends. The latency of the path stays.
    pub fn set_path_faults(
        &self,
        chosen: impl Fn(&str, &str) -> bool,
        change: impl Fn(&mut ForwarderFaults),
    ) {
        for ((from, to), forwarder) in &self.paths {
            if !chosen(from, to) {
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

    /// Data centre of a host, an instance or the platform.
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

    /// Share of the reads served so far that replicas served.
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

    /// Bytes that have passed so far on the paths that `chosen` picks.
    #[must_use]
    pub fn bytes_on_paths(&self, chosen: impl Fn(&str, &str) -> bool) -> u64 {
        let paths = self.paths.iter().filter(|((from, to), _)| chosen(from, to));
        paths.map(|(_, forwarder)| forwarder.bytes_passed()).sum()
    }

    /// Bytes that have passed between regions so far.
    #[must_use]
    pub fn bytes_between_regions(&self) -> u64 {
        let mut bytes = 0;
        for ((from, to), forwarder) in &self.paths {
            let (from, to) = (self.site_of(from), self.site_of(to));
            if self.layout.region_of(&from) != self.layout.region_of(&to) {
                bytes += forwarder.bytes_passed();
            }
        }
        bytes
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, FleetError> {
    text.parse()
        .map_err(|error| FleetError::Io(io::Error::other(error)))
}
