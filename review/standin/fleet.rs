//! A small deployment: the platform, one service of three instances, and one host in
//! each of three zones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::TemporaryFolder;
use crate::database::Database;
use crate::hosts::{Caller, Host, wait_until};
use crate::platform::Store;
use crate::record::Record;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const SERVICE: &str = "orders";
/// Longest time until a caller gives up.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(2);

pub struct Fleet {
    pub database: Arc<Database>,
    pub hosts: Vec<Host>,
    pub addresses: Vec<SocketAddr>,
    pub record: Arc<Record>,
    _store: Arc<Store>,
    _folder: TemporaryFolder,
}

fn configuration(sync_replicas: usize) -> String {
    let mut routes = Vec::new();
    for (host, kind) in [("latest", "primary"), ("aged", "bounded_staleness")] {
        routes.push(format!(
            r#"{{"Name":"{host}","Host":"{host}","PathPrefix":"/","Type":"{kind}","TimeoutMs":800,"TargetLatencyMs":500,"Priority":0,"Service":"{SERVICE}","MaxAttempts":2,"MaxStaleMs":2500}}"#
        ));
    }
    format!(
        r#"{{"Version":3,"Routes":[{}],"Services":[{{"Name":"{SERVICE}","MaxConns":16,"SyncReplicas":{sync_replicas}}}],"Limits":{{"TxIdleMs":5000}}}}"#,
        routes.join(",")
    )
}

impl Fleet {
    /// Starts everything, and waits until each host serves.
    pub fn start(record: &Arc<Record>, sync_replicas: usize) -> Result<Self, String> {
        let folder = TemporaryFolder::create().map_err(|error| error.to_string())?;
        let database = Database::start(SERVICE, &ZONES, sync_replicas, record.clone());
        let promoted = database.clone();
        let promote =
            move |_: &str, id: &str, holder: &str, fence| promoted.promote(id, holder, fence);
        let store = Store::start(Box::new(promote));
        store.put("config", "main", &configuration(sync_replicas));
        database.register(&store);
        let hosts = Host::create(&folder.0, &ZONES, store.address);
        let mut fleet = Self {
            addresses: hosts.iter().map(|host| host.callers).collect(),
            database,
            hosts,
            record: record.clone(),
            _store: store,
            _folder: folder,
        };
        fleet.start_hosts()?;
        let serves = wait_until(Duration::from_secs(20), || {
            fleet.is_ready() && (900..903).all(|number| fleet.write(number).is_ok())
        });
        if serves {
            Ok(fleet)
        } else {
            Err("the hosts do not serve".into())
        }
    }

    pub fn start_hosts(&mut self) -> Result<(), String> {
        for host in &mut self.hosts {
            host.start()
                .map_err(|error| format!("{}: {error}", host.name))?;
        }
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        self.hosts.iter().all(Host::is_ready)
    }

    /// Runs one statement in a session of its own at one of the hosts.
    pub fn run(
        &self,
        number: u64,
        id: &str,
        database: &str,
        text: &str,
    ) -> Result<Vec<String>, String> {
        let address = self.addresses[number as usize % self.addresses.len()];
        self.record
            .line(&format!("caller sends {id} {text} to {database}"));
        let answer = Caller::connect(address, database, CALLER_TIMEOUT)
            .and_then(|mut caller| caller.query(id, text))
            .map_err(|error| error.to_string())
            .and_then(|answer| answer);
        self.record
            .line(&format!("caller gets for {id}: {answer:?}"));
        answer
    }

    pub fn write(&self, number: u64) -> Result<Vec<String>, String> {
        let text = format!("WRITE w{number} d{number}");
        self.run(number, &format!("w-{number}"), "latest", &text)
    }

    /// Adds what the hosts logged about changes of primary to the record.
    pub fn record_changes(&self) {
        for host in &self.hosts {
            for line in host.log_lines(&["proxy::change", "host front"]) {
                self.record.line(&format!("{}: {line}", host.name));
            }
        }
    }
}
