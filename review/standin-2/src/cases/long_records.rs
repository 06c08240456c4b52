//! Some consumers write documents of almost a mebibyte, until some time after all
//! processes were killed and have started again.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use super::{RECOVER, ROUTES, breaks_recover, configuration, sleep_until};
use crate::callers::Crowd;
use crate::gate::open_gate;
use crate::record::RunRecord;
use crate::site::{Place, Site};

const INSTANCES: [Place; 3] = [
    Place::new("i-7f3a91c2", "pawtucket"),
    Place::new("i-52e0c1d8", "worcester"),
    Place::new("i-9b64aa07", "hartford"),
];
const HOSTS: [Place; 3] = [
    Place::new("front-pawtucket-1", "pawtucket"),
    Place::new("front-worcester-1", "worcester"),
    Place::new("front-hartford-1", "hartford"),
];
/// Bytes of a document; a message may have 1 MiB.
const DOCUMENT_BYTES: usize = 900_000;
/// Sessions that write documents, each one a second.
const DOCUMENT_SESSIONS: usize = 9;
/// For how long after the final fault they are written.
const DOCUMENT_TIME: Duration = Duration::from_secs(45);
/// For how long requests are judged.
const JUDGED: Duration = Duration::from_secs(68);

/// Says how many bytes of records the hosts hold.
fn say_held(record: &RunRecord, site: &Site) {
    for host in &site.hosts {
        let state = host.state().unwrap_or_default();
        let held = &state["records"]["held_bytes"];
        record.say(&format!("{} holds {held} bytes", host.place.name));
    }
}

pub fn run(record: &Arc<RunRecord>, with_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let mut site = Site::new(&INSTANCES, INSTANCES.len(), &HOSTS, &configuration())?;
    let gate = open_gate(&site.store.address, record.clone())?;
    site.set_store(&gate);
    site.start_all(record)?;
    std::thread::sleep(Duration::from_secs(3));
    let targets = site.hosts.iter().map(|host| host.callers.clone()).collect();
    let crowd = Crowd::new(record.clone(), targets);
    let begun = record.time();
    let mut threads = crowd.start(&ROUTES, "u3f1", 4);
    if with_trouble {
        threads.extend(crowd.start_documents(ROUTES[0], "u3f1", DOCUMENT_SESSIONS, DOCUMENT_BYTES));
    }
    sleep_until(record, begun + Duration::from_secs(8));
    say_held(record, &site);
    let fault = record.time();
    record.say("final fault: all processes are killed");
    for place in &HOSTS {
        site.host_mut(place.name).kill();
    }
    std::thread::sleep(Duration::from_secs(1));
    for place in &HOSTS {
        site.host_mut(place.name).start(false)?;
    }
    let back = record.time();
    record.say("they have started again");
    let judged_from = back + RECOVER;
    let judged_to = judged_from + JUDGED;
    sleep_until(record, back + DOCUMENT_TIME);
    crowd.end_documents();
    record.say("from now on no documents are written");
    for _ in 0..3 {
        say_held(record, &site);
        std::thread::sleep(Duration::from_secs(10));
    }
    sleep_until(record, judged_to);
    say_held(record, &site);
    crowd.end();
    for thread in threads {
        thread.join().ok();
    }
    site.keep_logs();
    let last = crowd.share(judged_to - Duration::from_secs(30), judged_to);
    record.say(&format!(
        "in the last 30 s: {} requests, served {:.3}",
        last.0, last.1
    ));
    breaks_recover(record, &crowd, (begun, fault), (judged_from, judged_to))
}
