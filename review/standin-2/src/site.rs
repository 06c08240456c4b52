//! A small deployment on loopback: a store, one database and hosts as processes.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fulmarrill_platform_standin::{StandinDatabase, StandinStore};
use serde_json::{Value, json};

use crate::record::RunRecord;

/// Command of the deploy file.
const PROGRAM: &str = "target/release/fulmarrill";
/// Service of the only database.
pub const DATABASE: &str = "orders-db-1";
/// `GraceS` of the settings.
const GRACE_S: f64 = 6.0;

/// Where an instance or a host stands.
#[derive(Clone, Copy)]
pub struct Place {
    pub name: &'static str,
    pub zone: &'static str,
}

impl Place {
    pub const fn new(name: &'static str, zone: &'static str) -> Self {
        Self { name, zone }
    }
}

/// One host: its settings, and its process while it runs.
pub struct Host {
    pub place: Place,
    pub callers: String,
    pub ready: String,
    pub operators: String,
    settings_path: PathBuf,
    settings: Value,
    log_path: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Starts the process, for the first time or again.
    pub fn start(&mut self, is_first_start: bool) -> std::io::Result<()> {
        self.settings["is_first_start"] = is_first_start.into();
        fs::write(&self.settings_path, self.settings.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path)?;
        let child = Command::new(PROGRAM)
            .arg("front")
            .env("FULMARRILL_BOOT", &self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    pub fn is_ready(&self) -> bool {
        get(&self.ready, "/ready").is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// The state dump of the host.
    pub fn state(&self) -> Option<Value> {
        let answer = get(&self.operators, "/state")?;
        serde_json::from_str(answer.split_once("\r\n\r\n")?.1).ok()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn get(address: &str, path: &str) -> Option<String> {
    let address = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n"
    )
    .ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    String::from_utf8(answer).ok()
}

/// A loopback address for the hosts of this run, so that nothing else takes a port of
/// theirs between its choice and their start.
fn own_address() -> String {
    let id = std::process::id();
    format!(
        "127.{}.{}.{}",
        1 + (id >> 16) % 250,
        (id >> 8) % 256,
        1 + id % 254
    )
}

/// A deployment. Dropping it ends all processes and removes the temporary folder.
pub struct Site {
    pub store: Arc<StandinStore>,
    pub database: Arc<StandinDatabase>,
    pub hosts: Vec<Host>,
    /// Instances that became primary, and when.
    pub promotions: Arc<Mutex<Vec<(Instant, String)>>>,
    folder: PathBuf,
    _tasks: Vec<smol::Task<()>>,
}

impl Site {
    /// Prepares a site; the first instance is the primary, and only the first `listed`
    /// ones have an entry. No host runs yet.
    pub fn new(
        instances: &[Place],
        listed: usize,
        hosts: &[Place],
        configuration: &Value,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let ids: Vec<&str> = instances.iter().map(|place| place.name).collect();
        let (database, mut tasks) = smol::block_on(StandinDatabase::start(DATABASE, &ids));
        database.set_delays(
            Duration::from_millis(8),
            Duration::from_millis(6),
            Duration::from_millis(300),
        );
        let promotions: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let (promoting, known) = (database.clone(), promotions.clone());
        let (store, task) = smol::block_on(StandinStore::start(move |id| {
            let is_new = promoting.primary() != id;
            let is_accepted = promoting.promote(id);
            if is_accepted && is_new {
                let mut promotions = known.lock().expect("no thread panics");
                promotions.push((Instant::now(), id.to_owned()));
            }
            is_accepted
        }));
        tasks.push(task);
        store.put("config", "main", configuration);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut site = Self {
            store,
            database,
            hosts: Vec::new(),
            promotions,
            folder,
            _tasks: tasks,
        };
        for (index, place) in instances.iter().take(listed).enumerate() {
            let role = if index == 0 { "primary" } else { "replica" };
            site.put_instance(*place, "ready", role, 1);
        }
        site.add_hosts(hosts)?;
        Ok(site)
    }

    fn add_hosts(&mut self, places: &[Place]) -> std::io::Result<()> {
        // Bound at the same time, so that no port is given out twice.
        let mut bound = Vec::new();
        for _ in 0..places.len() * 4 {
            bound.push(TcpListener::bind(format!("{}:0", own_address()))?);
        }
        let mut addresses = Vec::new();
        for listener in &bound {
            addresses.push(listener.local_addr()?.to_string());
        }
        drop(bound);
        let peers: Vec<&String> = addresses.chunks(4).map(|own| &own[2]).collect();
        for (place, own) in places.iter().zip(addresses.chunks(4)) {
            let settings = json!({
                "host": place.name,
                "data_centre": place.zone,
                "region": "new-england",
                "regions": {"pawtucket": "new-england", "worcester": "new-england",
                    "hartford": "new-england"},
                "caller_listen": own[0], "ready_listen": own[1],
                "peer_listen": own[2], "operator_listen": own[3],
                "seeds": peers[..peers.len().min(3)],
                "store": self.store.address, "orders": self.store.address,
                "is_first_start": true, "is_baseline": false,
                "cpu_cores": 0.25, "memory_mb": 260, "descriptors": 4200,
                "grace_s": GRACE_S,
                "rate_limits": {"window_s": 5, "excess": 0.1, "slack": 20},
                "log_level": "info",
            });
            self.hosts.push(Host {
                place: *place,
                callers: own[0].clone(),
                ready: own[1].clone(),
                operators: own[3].clone(),
                settings_path: self.folder.join(format!("{}.json", place.name)),
                settings,
                log_path: self.folder.join(format!("{}.log", place.name)),
                child: None,
            });
        }
        Ok(())
    }

    /// Sends the hosts' orders to another address. Takes effect when they start.
    pub fn set_orders(&mut self, address: &str) {
        for host in &mut self.hosts {
            host.settings["orders"] = address.into();
        }
    }

    /// Sends the hosts' calls to the store, orders too, to another address. Takes effect
    /// when they start.
    pub fn set_store(&mut self, address: &str) {
        for host in &mut self.hosts {
            host.settings["store"] = address.into();
        }
        self.set_orders(address);
    }

    /// Names the region of a zone that has instances only. Takes effect when the hosts
    /// start.
    pub fn add_region(&mut self, zone: &str, region: &str) {
        for host in &mut self.hosts {
            host.settings["regions"][zone] = region.into();
        }
    }

    /// Writes the entry of an instance.
    pub fn put_instance(&self, place: Place, state: &str, role: &str, number: u64) {
        self.store.put(
            "servers",
            place.name,
            &json!({
                "Service": DATABASE, "Addr": self.database.addresses[place.name],
                "Zone": place.zone, "Version": "1", "Capacity": 3, "State": state,
                "ColdLeftMs": 0, "Seq": number, "DbRole": role,
            }),
        );
    }

    /// Starts all hosts and waits until they are ready.
    pub fn start_all(&mut self, record: &RunRecord) -> Result<(), Box<dyn std::error::Error>> {
        for host in &mut self.hosts {
            host.start(true)?;
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self.hosts.iter().all(Host::is_ready) {
            if Instant::now() > deadline {
                return Err("the hosts do not become ready".into());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        record.say("all hosts are ready");
        Ok(())
    }

    pub fn host_mut(&mut self, name: &str) -> &mut Host {
        self.hosts
            .iter_mut()
            .find(|host| host.place.name == name)
            .expect("a case names its own hosts")
    }

    /// Copies the logs of the hosts into `folder` if `REVIEW_LOGS` asks for it.
    pub fn keep_logs(&self) {
        if let Ok(target) = std::env::var("REVIEW_LOGS") {
            fs::create_dir_all(&target).ok();
            for host in &self.hosts {
                let name = format!("{}.log", host.place.name);
                fs::copy(&host.log_path, PathBuf::from(&target).join(name)).ok();
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.hosts.clear();
        fs::remove_dir_all(&self.folder).ok();
    }
}
