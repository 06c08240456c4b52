//! Callers write and read values of 5,000 bytes. The primary is replaced as planned by an
//! instance of another data centre; then all processes of hosts are killed and start again.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fulmarrill_platform_standin::{StandinDatabase, StandinStore};
use review_standin_3::{
    BROKEN, Host, NOT_RUN, Record, arguments, has_trouble, primary_configuration, served_share,
    start_counted_callers, temporary_folder, wait_until_ready,
};
use serde_json::json;
use smol::Timer;

/// Instances with their data centres; the first is the primary at the start.
const INSTANCES: [(&str, &str); 3] = [("i-a", "north-2"), ("i-b", "north-1"), ("i-c", "north-1")];
/// The callers are in the data centre of the first host, and connect to it.
const HOSTS: [&str; 5] = ["north-2", "north-1", "north-1", "north-1", "north-1"];
const RECOVER: Duration = Duration::from_secs(12);
const DOWN: Duration = Duration::from_millis(1100);
const DRAIN: Duration = Duration::from_millis(7000);
const BEAT: Duration = Duration::from_millis(1200);
const WINDOW: Duration = Duration::from_secs(12);
const DEFAULT_VALUE_BYTES: usize = 5000;

/// What the instances report: about every `BeatMs`, and at each change.
struct Reports {
    store: Arc<StandinStore>,
    database: Arc<StandinDatabase>,
    /// Since when i-a drains.
    draining_since: Arc<Mutex<Option<Instant>>>,
}

impl Reports {
    fn write(&self, seq: u64) {
        let draining_since = self.draining_since.lock().map_or(None, |since| *since);
        let has_left = draining_since.is_some_and(|since| since.elapsed() > DRAIN + BEAT);
        for (index, (id, data_centre)) in INSTANCES.into_iter().enumerate() {
            if index == 0 && has_left {
                self.database.kill(id);
                self.store.remove("servers", id);
                continue;
            }
            let is_draining = index == 0 && draining_since.is_some();
            let role = if self.database.is_primary(id) {
                "primary"
            } else {
                "replica"
            };
            let entry = json!({
                "Service": "orders", "Addr": self.database.addresses[id], "Zone": data_centre,
                "Version": "v1", "Capacity": 3, "ColdLeftMs": 0, "Seq": seq, "DbRole": role,
                "State": if is_draining { "draining" } else { "ready" },
            });
            self.store.put("servers", id, &entry);
        }
    }

    async fn run(self) {
        let mut written_at = Instant::now();
        let mut last = (String::new(), false);
        for seq in 2.. {
            loop {
                Timer::after(Duration::from_millis(20)).await;
                let is_draining = self
                    .draining_since
                    .lock()
                    .is_ok_and(|since| since.is_some());
                let now = (self.database.primary(), is_draining);
                if now != last || written_at.elapsed() >= BEAT {
                    last = now;
                    break;
                }
            }
            self.write(seq);
            written_at = Instant::now();
        }
    }
}

fn main() {
    let (program, folder) = arguments();
    let record = Record::new(&folder.join("record.txt"));
    fulmarrill_runtime::start_threads(2);
    let code = smol::block_on(run(&record, &program));
    std::process::exit(code);
}

async fn run(record: &Arc<Record>, program: &Path) -> i32 {
    let ids = INSTANCES.map(|(id, _)| id);
    let (database, _tasks) = StandinDatabase::start("orders", &ids).await;
    database.set_delays(
        Duration::from_millis(8),
        Duration::from_millis(6),
        Duration::from_millis(300),
    );
    let promoted = database.clone();
    let (store, _store_task) = StandinStore::start(move |id| {
        if !promoted.addresses.contains_key(id) || !promoted.answers(id) {
            return false;
        }
        let (database, id) = (promoted.clone(), id.to_owned());
        fulmarrill_runtime::spawn(async move {
            Timer::after(database.promotion_time()).await;
            database.promote(&id);
        })
        .detach();
        true
    })
    .await;
    store.put("config", "main", &primary_configuration());
    let draining_since = Arc::new(Mutex::new(None));
    let reports = Reports {
        store: store.clone(),
        database: database.clone(),
        draining_since: draining_since.clone(),
    };
    reports.write(1);
    let _reports = fulmarrill_runtime::spawn(reports.run());
    let temporary = temporary_folder("large");
    let mut hosts = Host::start_all(program, &temporary, &HOSTS, &store.address);
    if !wait_until_ready(&hosts, Duration::from_secs(15)) {
        record.say("the hosts were not ready in time");
        return NOT_RUN;
    }
    Timer::after(Duration::from_secs(2)).await;
    let started_at = Instant::now();
    let stop: Arc<AtomicBool> = Arc::default();
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let bytes = std::env::var("VALUE_BYTES").ok();
    let bytes = bytes.and_then(|bytes| bytes.parse().ok());
    let value = "x".repeat(bytes.unwrap_or(DEFAULT_VALUE_BYTES));
    let callers = start_counted_callers(record, &hosts[0].callers, &value, &outcomes, &stop);
    Timer::after(Duration::from_secs(12)).await;
    if has_trouble() {
        if let Ok(mut since) = draining_since.lock() {
            *since = Some(Instant::now());
        }
        record.say("i-a reports that it drains");
        Timer::after(Duration::from_secs(3)).await;
        record.say(&format!("{} leads", database.primary()));
    }
    let fault_at = Instant::now();
    if has_trouble() {
        record.say("all processes are killed");
        hosts.iter_mut().for_each(Host::kill);
        Timer::after(DOWN).await;
        Host::restart_all(&mut hosts, &store.address);
    }
    let back_at = Instant::now();
    record.say("the machines are back");
    Timer::after(RECOVER + WINDOW).await;
    let are_running = hosts.iter_mut().all(Host::is_running);
    let are_ready = hosts.iter().all(Host::is_ready);
    stop.store(true, Ordering::SeqCst);
    let ended_at = Instant::now();
    for caller in callers {
        caller.join().ok();
    }
    for run in database.runs() {
        let text: String = run.text.chars().take(20).collect();
        let result = run.answer.as_ref().map(|result| &result.proof);
        let line = format!("ran {} {text} at {}: {result:?}", run.id, run.instance);
        record.line_at(run.received_at, &line);
    }
    drop(hosts);
    if std::env::var("REVIEW_LOGS").is_err() {
        std::fs::remove_dir_all(&temporary).ok();
    }
    if !are_running || !are_ready {
        record.say("a host has ended, or is not ready");
        return NOT_RUN;
    }
    let outcomes = outcomes.lock().map(|list| list.clone()).unwrap_or_default();
    let (before, sent_before) = served_share(&outcomes, started_at, fault_at);
    let (after, sent_after) = served_share(&outcomes, back_at + RECOVER, ended_at);
    record.say(&format!(
        "served before the fault: {before} of {sent_before}"
    ));
    record.say(&format!(
        "served of those sent later than 12 s after the machines were back: {after} of {sent_after}"
    ));
    if before * 4 < sent_before || sent_after == 0 {
        record.say("too little was served before");
        return NOT_RUN;
    }
    if after * 4 < sent_after {
        record.say("RECOVER broken");
        return BROKEN;
    }
    record.say("RECOVER held");
    0
}
