//! Both replicas of a service are lost for good. Then the primary is dark for three seconds, and
//! later all processes of hosts are killed and start again.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fulmarrill_platform_standin::{StandinDatabase, StandinStore};
use review_standin_3::{
    BROKEN, Host, NOT_RUN, PLACES, Record, arguments, has_trouble, primary_configuration,
    served_share, shorten, start_counted_callers, temporary_folder, wait_until_ready,
};
use serde_json::json;
use smol::Timer;

const IDS: [&str; 3] = ["i-a", "i-b", "i-c"];
const RECOVER: Duration = Duration::from_secs(12);
const DOWN: Duration = Duration::from_millis(1100);
const DARK: Duration = Duration::from_secs(3);
const BEAT: Duration = Duration::from_millis(1200);
const WINDOW: Duration = Duration::from_secs(12);

/// What the instances report: about every `BeatMs`, and at each change. The entry of one that
/// is silent is removed after three of these intervals.
async fn report(store: Arc<StandinStore>, database: Arc<StandinDatabase>) {
    let mut heard: BTreeMap<&str, (Instant, bool)> = BTreeMap::new();
    for seq in 2_u64.. {
        Timer::after(Duration::from_millis(20)).await;
        for (index, id) in IDS.into_iter().enumerate() {
            let last = heard.get(id).copied();
            if !database.answers(id) {
                if last.is_some_and(|(at, _)| at.elapsed() > 3 * BEAT) {
                    store.remove("servers", id);
                    heard.remove(id);
                }
                continue;
            }
            let is_primary = database.is_primary(id);
            let is_due = last.is_none_or(|(at, role)| role != is_primary || at.elapsed() >= BEAT);
            if !is_due {
                continue;
            }
            heard.insert(id, (Instant::now(), is_primary));
            let entry = json!({
                "Service": "orders", "Addr": database.addresses[id], "Zone": PLACES[index].0,
                "Version": "v1", "Capacity": 3, "State": "ready", "ColdLeftMs": 0, "Seq": seq,
                "DbRole": if is_primary { "primary" } else { "replica" },
            });
            store.put("servers", id, &entry);
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
    let (database, _tasks) = StandinDatabase::start("orders", &IDS).await;
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
    let _reports = fulmarrill_runtime::spawn(report(store.clone(), database.clone()));
    Timer::after(Duration::from_millis(200)).await;
    let temporary = temporary_folder("last");
    let data_centres = PLACES.map(|(data_centre, _)| data_centre);
    let mut hosts = Host::start_all(program, &temporary, &data_centres, &store.address);
    if !wait_until_ready(&hosts, Duration::from_secs(15)) {
        record.say("the hosts were not ready in time");
        return NOT_RUN;
    }
    Timer::after(Duration::from_secs(2)).await;
    let started_at = Instant::now();
    let stop: Arc<AtomicBool> = Arc::default();
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let callers = start_counted_callers(record, &hosts[0].callers, "v", &outcomes, &stop);
    for id in ["i-b", "i-c"] {
        Timer::after(Duration::from_secs(3)).await;
        database.kill(id);
        record.say(&format!("{id} is lost for good"));
    }
    Timer::after(Duration::from_secs(10)).await;
    if has_trouble() {
        database.silence("i-a");
        record.say("i-a, the primary, is dark");
        Timer::after(DARK).await;
        database.restore("i-a");
        record.say("i-a answers again");
        Timer::after(Duration::from_secs(3)).await;
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
    stop.store(true, Ordering::SeqCst);
    let ended_at = Instant::now();
    for caller in callers {
        caller.join().ok();
    }
    for run in database.runs() {
        let result = run.answer.as_ref().map(|result| &result.proof);
        let text = shorten(&run.text, 20);
        let line = format!("ran {} {text} at {}: {result:?}", run.id, run.instance);
        record.line_at(run.received_at, &line);
    }
    record.say(&format!("i-a leads: {}", database.is_primary("i-a")));
    drop(hosts);
    if std::env::var("REVIEW_LOGS").is_err() {
        std::fs::remove_dir_all(&temporary).ok();
    } else {
        println!("{}", temporary.display());
    }
    if !are_running {
        record.say("a host has ended");
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
