//! The store comes back from a copy some seconds old. When it has been stable again for
//! `StableMs`, the primary reports that it drains.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fulmarrill_platform_standin::{StandinDatabase, StandinStore};
use review_standin_3::{
    BROKEN, Host, NOT_RUN, PLACES, Record, arguments, has_trouble, primary_configuration,
    start_callers, temporary_folder, wait_until_ready,
};
use serde_json::json;
use smol::Timer;

const IDS: [&str; 3] = ["i-a", "i-b", "i-c"];
const STABLE: Duration = Duration::from_millis(5000);
const DRAIN: Duration = Duration::from_millis(7000);
/// Time between the copy and the drill, and time for which the store is away.
const COPY_AGE: Duration = Duration::from_secs(3);
const AWAY: Duration = Duration::from_secs(1);
const BEAT: Duration = Duration::from_millis(1200);

fn write_entries(store: &StandinStore, database: &StandinDatabase, leaving: &str, seq: u64) {
    for (index, id) in IDS.into_iter().enumerate() {
        let role = if database.is_primary(id) {
            "primary"
        } else {
            "replica"
        };
        let state = if id == leaving { "draining" } else { "ready" };
        let entry = json!({
            "Service": "orders", "Addr": database.addresses[id], "Zone": PLACES[index].0,
            "Version": "v1", "Capacity": 3, "State": state, "ColdLeftMs": 0, "Seq": seq,
            "DbRole": role,
        });
        store.put("servers", id, &entry);
    }
}

/// Reports of the instances, as each sends one about every `BeatMs` and at each change.
struct Reports {
    store: Arc<StandinStore>,
    database: Arc<StandinDatabase>,
    is_draining: Arc<AtomicBool>,
}

impl Reports {
    async fn run(self) {
        let (mut seq, mut primary, mut written_at) = (2, String::new(), Instant::now());
        loop {
            Timer::after(Duration::from_millis(20)).await;
            let now = self.database.primary();
            if now == primary && written_at.elapsed() < BEAT {
                continue;
            }
            let leaving = if self.is_draining.load(Ordering::SeqCst) {
                IDS[0]
            } else {
                ""
            };
            write_entries(&self.store, &self.database, leaving, seq);
            (seq, primary, written_at) = (seq + 1, now, Instant::now());
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

async fn run(record: &Arc<Record>, program: &std::path::Path) -> i32 {
    let (database, _tasks) = StandinDatabase::start("orders", &IDS).await;
    database.set_delays(
        Duration::from_millis(8),
        Duration::from_millis(6),
        Duration::from_millis(300),
    );
    let promoted = database.clone();
    let (store, _store_task) = StandinStore::start(move |id| {
        if !IDS.contains(&id) {
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
    store.set_era(1);
    store.put("config", "main", &primary_configuration());
    write_entries(&store, &database, "", 1);
    let is_draining: Arc<AtomicBool> = Arc::default();
    let reports = Reports {
        store: store.clone(),
        database: database.clone(),
        is_draining: is_draining.clone(),
    };
    let _reports = fulmarrill_runtime::spawn(reports.run());

    let temporary = temporary_folder("drain");
    let data_centres = PLACES.map(|(data_centre, _)| data_centre);
    let mut hosts = Host::start_all(program, &temporary, &data_centres, &store.address);
    if !wait_until_ready(&hosts, Duration::from_secs(15)) {
        record.say("the hosts were not ready in time");
        return NOT_RUN;
    }
    let stop: Arc<AtomicBool> = Arc::default();
    let load = ("latest", 6, Duration::from_millis(40));
    let callers = start_callers(record, &hosts, load, &stop, |caller, number| {
        if number % 2 == 0 {
            format!("WRITE k{caller} v{number}")
        } else {
            format!("READ k{caller}")
        }
    });
    Timer::after(Duration::from_secs(15)).await;
    if has_trouble() {
        let copy = store.take_copy();
        record.say("the store is copied");
        Timer::after(COPY_AGE).await;
        record.say("the store is away");
        store.drill(&copy, AWAY).await;
        store.write_again();
        record.say("the store is back from the copy");
    }
    // The store was without disturbance for `StableMs`.
    Timer::after(STABLE + Duration::from_millis(100)).await;
    let before = database.runs().len();
    is_draining.store(true, Ordering::SeqCst);
    write_entries(&store, &database, IDS[0], 1000);
    let reported_at = Instant::now();
    record.say("the store has accepted that i-a drains");
    Timer::after(DRAIN + Duration::from_secs(8)).await;
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().ok();
    }
    let alive = hosts.iter_mut().all(Host::is_running);
    let mut late = 0;
    let mut last = Duration::ZERO;
    for run in database.runs().into_iter().skip(before) {
        let age = run.received_at.saturating_duration_since(reported_at);
        record.line_at(
            run.received_at,
            &format!(
                "ran {} {} at {}: {:?}",
                run.id, run.text, run.instance, run.answer
            ),
        );
        if run.instance == IDS[0] && age > DRAIN {
            late += 1;
            last = last.max(age);
        }
    }
    std::fs::remove_dir_all(&temporary).ok();
    drop(hosts);
    if !alive {
        record.say("a host has ended");
        return NOT_RUN;
    }
    if late > 0 {
        record.say(&format!(
            "DRAIN broken: {late} requests reached i-a later than 7000 ms after its report, the \
             last after {} ms",
            last.as_millis()
        ));
        return BROKEN;
    }
    record.say("DRAIN held");
    0
}
