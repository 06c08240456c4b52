//! The instances of a database are replaced one after the other while the platform's
//! calls for duties are cut off for some seconds. An order that was held up takes effect
//! after a later one.

use std::collections::HashSet;
use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{ROUTES, configuration, sleep_until};
use crate::callers::Crowd;
use crate::link::Link;
use crate::record::RunRecord;
use crate::site::{Place, Site};

/// The service, and the instances that replace it one by one. The first is the primary.
const INSTANCES: [Place; 6] = [
    Place::new("i-7f3a91c2", "pawtucket"),
    Place::new("i-9b64aa07", "worcester"),
    Place::new("i-c81d5e3b", "hartford"),
    Place::new("i-1e0c52d8", "pawtucket"),
    Place::new("i-20b7f964", "worcester"),
    Place::new("i-3d9a08e1", "hartford"),
];
/// Instances of the service at a time.
const SERVICE: usize = 3;
const HOSTS: [Place; 3] = [
    Place::new("front-pawtucket-1", "pawtucket"),
    Place::new("front-worcester-1", "worcester"),
    Place::new("front-hartford-1", "hartford"),
];
/// For how long the platform's calls for duties are cut off.
const CUT: Duration = Duration::from_secs(4);
/// Time between two instances that report to be leaving.
const RELEASE_GAP: Duration = Duration::from_secs(2);
/// `DrainMs` of the site.
const DRAIN: Duration = Duration::from_secs(7);
/// How much longer an instance serves before it exits.
const EXIT_DELAY: Duration = Duration::from_secs(1);

fn place(id: &str) -> Place {
    let found = INSTANCES.iter().find(|place| place.name == id);
    *found.expect("the database has no other instances")
}

/// The instances as they describe themselves to the platform's store.
struct Listing<'a> {
    site: &'a Site,
    record: &'a RunRecord,
    listed: Vec<&'static str>,
    /// Instances that leave, and when they exit.
    leaving: Vec<(String, Duration)>,
    known: Vec<(String, bool)>,
}

impl Listing<'_> {
    fn write(&mut self, id: &str) {
        let is_primary = self.site.database.is_primary(id);
        self.known.retain(|(other, _)| other != id);
        self.known.push((id.to_owned(), is_primary));
        let is_leaving = self.leaving.iter().any(|(other, _)| other == id);
        let state = if is_leaving { "draining" } else { "ready" };
        let role = if is_primary { "primary" } else { "replica" };
        self.site.put_instance(place(id), state, role, 2);
    }

    /// Replaces an instance: the new one starts first, then the old one reports that it
    /// is leaving.
    fn release(&mut self, id: &str) {
        let next = INSTANCES[self.leaving.len() + SERVICE].name;
        self.listed.push(next);
        self.write(next);
        self.record
            .say(&format!("{id} is leaving, {next} has started"));
        let exits_at = self.record.time() + DRAIN + EXIT_DELAY;
        self.leaving.push((id.to_owned(), exits_at));
        self.write(id);
    }

    /// Reports changes of roles, and ends the instances that have drained.
    fn follow_until(&mut self, until: Duration) {
        while self.record.time() < until {
            for id in self.listed.clone() {
                let report = (id.to_owned(), self.site.database.is_primary(id));
                if !self.known.contains(&report) {
                    self.write(id);
                }
            }
            let now = self.record.time();
            for (id, exits_at) in &self.leaving {
                if now >= *exits_at && self.listed.contains(&id.as_str()) {
                    self.record.say(&format!("{id} has drained and exits"));
                    self.listed.retain(|other| other != id);
                    self.site.database.kill(id);
                    self.site.store.remove("servers", id);
                }
            }
            sleep_until(self.record, now + Duration::from_millis(50));
        }
    }
}

pub fn run(record: &Arc<RunRecord>, with_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let mut site = Site::new(&INSTANCES, SERVICE, &HOSTS, &configuration())?;
    let link = Link::open(&site.store.address, record.clone())?;
    site.set_orders(&link.address);
    site.start_all(record)?;
    std::thread::sleep(Duration::from_secs(3));
    let targets = site.hosts.iter().map(|host| host.callers.clone()).collect();
    let crowd = Crowd::new(record.clone(), targets);
    let begun = record.time();
    let threads = crowd.start(&ROUTES, "u3f1", 4);
    let mut listing = Listing {
        site: &site,
        record,
        listed: INSTANCES[..SERVICE]
            .iter()
            .map(|place| place.name)
            .collect(),
        leaving: Vec::new(),
        known: Vec::new(),
    };
    // The first primary is replaced in calm.
    listing.follow_until(begun + Duration::from_secs(3));
    listing.release(INSTANCES[0].name);
    listing.follow_until(begun + Duration::from_secs(6));
    // Two more follow, one after the other, and the platform's calls for duties are cut off.
    let second = site.database.primary();
    if with_trouble {
        record.say("the platform's calls for duties are cut off");
        link.cut(CUT);
    }
    let released_at = record.time();
    listing.release(&second);
    listing.follow_until(released_at + RELEASE_GAP);
    // The one that is to become primary, or is it by now.
    let mut third = site.database.primary();
    if let Some(order) = link.held().last() {
        let named = INSTANCES.iter().find(|place| order.contains(place.name));
        third = named.map_or(third, |place| place.name.to_owned());
    }
    listing.release(&third);
    listing.follow_until(released_at + Duration::from_secs(40));
    crowd.end();
    for thread in threads {
        thread.join().ok();
    }
    site.keep_logs();
    check(record, &site, &crowd)
}

/// Checks ONE: whether a write ran at a primary after a promote of another instance had
/// taken effect, and was acknowledged.
fn check(record: &RunRecord, site: &Site, crowd: &Crowd) -> Result<bool, Box<dyn Error>> {
    for order in site.store.orders() {
        record.say(&format!("the platform executed the order {order}"));
    }
    let started = Instant::now()
        .checked_sub(record.time())
        .ok_or("no start")?;
    let promotions = site.promotions.lock().expect("no thread panics").clone();
    for (at, id) in &promotions {
        let at = at.saturating_duration_since(started).as_secs_f64();
        record.say(&format!("{at:.3}: {id} became the primary"));
    }
    let acknowledged: HashSet<String> = crowd.acknowledged().into_iter().collect();
    let mut broken = 0;
    for run in site.database.runs() {
        if !run.text.starts_with("WRITE") || !acknowledged.contains(&run.id) {
            continue;
        }
        let latest = promotions
            .iter()
            .rev()
            .find(|(at, _)| *at <= run.received_at);
        let primary = latest.map_or(INSTANCES[0].name, |(_, id)| id);
        if primary != run.instance {
            broken += 1;
            let at = run
                .received_at
                .saturating_duration_since(started)
                .as_secs_f64();
            record.say(&format!(
                "{at:.3}: {} {} ran at {} and was acknowledged",
                run.id, run.text, run.instance
            ));
        }
    }
    let last = record.time();
    let (sent, share) = crowd.share(
        last - Duration::from_secs(20),
        last - Duration::from_secs(7),
    );
    record.say(&format!(
        "of {sent} requests in the last seconds, served {share:.3}"
    ));
    record.say(if broken > 0 {
        "ONE is broken"
    } else {
        "ONE holds"
    });
    Ok(broken > 0)
}
