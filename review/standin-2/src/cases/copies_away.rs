//! Two of the three instances of a database crash at the same moment, and come back with
//! their logs some seconds later. The third one lacks the newest commits.

use std::collections::HashSet;
use std::error::Error;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fulmarrill_platform_standin::StandinDatabase;

use super::{ROUTES, configuration, sleep_until};
use crate::callers::Crowd;
use crate::record::RunRecord;
use crate::site::{Place, Site};

/// The primary, the replica in its region, and the one in the other region.
const INSTANCES: [Place; 3] = [
    Place::new("i-7f3a91c2", "pawtucket"),
    Place::new("i-9b64aa07", "worcester"),
    Place::new("i-52e0c1d8", "trenton"),
];
const HOSTS: [Place; 3] = [
    Place::new("front-pawtucket-1", "pawtucket"),
    Place::new("front-worcester-1", "worcester"),
    Place::new("front-hartford-1", "hartford"),
];
/// How far the distant replica is behind: the one-way time between regions.
const DISTANCE: Duration = Duration::from_millis(20);
/// The most that a replica of the site is behind.
const LAG_MAX: Duration = Duration::from_millis(48);
/// How far the replica in the region is behind. It has each commit before the primary
/// acknowledges it, after `STATEMENT_TIME`.
const NEAR_DELAY: Duration = Duration::from_millis(1);
const STATEMENT_TIME: Duration = Duration::from_millis(6);
const PROMOTE_TIME: Duration = Duration::from_millis(300);
/// For how long the two instances are down.
const CRASH: Duration = Duration::from_secs(7);
/// Their entries are removed after three intervals of 1.2 s since their last ping, which
/// was 0.6 s before the crash.
const LAPSE: Duration = Duration::from_secs(3);

/// Lets the distant replica receive commits in steps of `DISTANCE`. Returns when it last
/// did; it receives nothing while that is locked.
fn keep_behind(database: &Arc<StandinDatabase>, is_over: &Arc<AtomicBool>) -> Arc<Mutex<Instant>> {
    let received_at = Arc::new(Mutex::new(Instant::now()));
    let last = received_at.clone();
    let (database, is_over) = (database.clone(), is_over.clone());
    std::thread::spawn(move || {
        let id = INSTANCES[2].name;
        while !is_over.load(Ordering::SeqCst) {
            let mut last = last.lock().expect("no thread panics");
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            database.set_replication_link(id, true);
            // Receives what the primary has committed until now.
            let _ = database.log_of(id);
            database.set_replication_link(id, false);
            *last = Instant::now();
            drop(last);
            std::thread::sleep(DISTANCE);
        }
    });
    received_at
}

/// Acknowledged writes, as the instances ran them, that the log of `id` lacks.
fn missing(site: &Site, crowd: &Crowd, id: &str) -> Vec<String> {
    let acknowledged: HashSet<String> = crowd.acknowledged().into_iter().collect();
    let mut held = HashSet::new();
    for entry in site.database.log_of(id) {
        held.insert(format!("WRITE {} {}", entry.item, entry.data));
    }
    let mut missing = Vec::new();
    for run in site.database.runs() {
        if acknowledged.contains(&run.id) && !held.contains(&run.text) {
            missing.push(run.text);
        }
    }
    missing
}

/// Writes the entries of instances, as they describe themselves.
fn report(site: &Site, places: &[Place], number: u64) {
    for place in places {
        let is_primary = site.database.is_primary(place.name);
        let role = if is_primary { "primary" } else { "replica" };
        site.put_instance(*place, "ready", role, number);
    }
}

pub fn run(record: &Arc<RunRecord>, with_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let mut configuration = configuration();
    configuration["Services"][0]["SyncReplicas"] = 1.into();
    let mut site = Site::new(&INSTANCES, INSTANCES.len(), &HOSTS, &configuration)?;
    site.add_region("trenton", "mid-atlantic");
    site.database
        .set_delays(NEAR_DELAY, STATEMENT_TIME, PROMOTE_TIME);
    let has_crashed = Arc::new(AtomicBool::new(false));
    let received_at = keep_behind(&site.database, &has_crashed);
    site.start_all(record)?;
    std::thread::sleep(Duration::from_secs(3));
    let targets = site.hosts.iter().map(|host| host.callers.clone()).collect();
    let crowd = Crowd::new(record.clone(), targets);
    let begun = record.time();
    let threads = crowd.start(&ROUTES, "u3f1", 8);
    sleep_until(record, begun + Duration::from_secs(10));
    if with_trouble {
        crash(record, &site, &crowd, &received_at, &has_crashed)?;
    }
    sleep_until(record, begun + Duration::from_secs(40));
    has_crashed.store(true, Ordering::SeqCst);
    site.database.set_replication_link(INSTANCES[2].name, true);
    crowd.end();
    for thread in threads {
        thread.join().ok();
    }
    site.keep_logs();
    let primary = site.database.primary();
    let lost = missing(&site, &crowd, &primary);
    for text in &lost {
        record.say(&format!(
            "{text} was acknowledged and is not in the log of {primary}"
        ));
    }
    let count = crowd.acknowledged().len();
    record.say(&format!(
        "{count} writes were acknowledged, {} of them are lost",
        lost.len()
    ));
    record.say(if lost.is_empty() {
        "LOST holds"
    } else {
        "LOST is broken"
    });
    Ok(!lost.is_empty())
}

/// Crashes the primary and the replica near it, and brings them back.
fn crash(
    record: &RunRecord,
    site: &Site,
    crowd: &Crowd,
    received_at: &Mutex<Instant>,
    has_crashed: &AtomicBool,
) -> Result<(), Box<dyn Error>> {
    let crashing = &INSTANCES[..2];
    let distant = INSTANCES[2];
    // At a moment at which the distant replica is behind, as it is most of the time.
    let deadline = record.time() + Duration::from_secs(5);
    let lag = loop {
        let received_at = received_at.lock().map_err(|_| "a thread has panicked")?;
        if !missing(site, crowd, distant.name).is_empty() {
            for place in crashing {
                site.database.kill(place.name);
            }
            has_crashed.store(true, Ordering::SeqCst);
            break received_at.elapsed();
        }
        drop(received_at);
        if record.time() > deadline {
            return Err("the distant replica is never behind".into());
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    let crashed_at = record.time();
    if lag > LAG_MAX {
        return Err(format!("the distant replica was {lag:?} behind").into());
    }
    for place in crashing {
        record.say(&format!("{} in {} has crashed", place.name, place.zone));
    }
    std::thread::sleep(Duration::from_millis(100));
    site.database.set_replication_link(distant.name, true);
    let behind = missing(site, crowd, distant.name).len();
    record.say(&format!(
        "{}, {lag:?} behind, lacks {behind} acknowledged writes",
        distant.name
    ));
    if !missing(site, crowd, INSTANCES[1].name).is_empty() {
        return Err("a write was acknowledged before a replica had it".into());
    }
    sleep_until(record, crashed_at + LAPSE);
    for place in crashing {
        site.store.remove("servers", place.name);
    }
    record.say("their entries have lapsed");
    let mut is_promoted = false;
    while record.time() < crashed_at + CRASH {
        if !is_promoted && site.database.is_primary(distant.name) {
            is_promoted = true;
            record.say(&format!("{} was promoted", distant.name));
            report(site, &[distant], 2);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    for place in crashing {
        // A primary that crashed comes back as a replica if another one was promoted.
        if is_promoted {
            site.database.step_down(place.name);
        }
        site.database.restore(place.name);
    }
    report(site, crashing, 2);
    record.say("both are back with their logs");
    Ok(())
}
