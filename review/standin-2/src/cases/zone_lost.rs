//! All hosts of the zone of a primary are removed for good, one after the other; then
//! all processes that are left are killed and start again.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use super::{RECOVER, ROUTES, breaks_recover, configuration, sleep_until};
use crate::callers::Crowd;
use crate::record::RunRecord;
use crate::site::{Place, Site};

const INSTANCES: [Place; 3] = [
    Place::new("i-7f3a91c2", "pawtucket"),
    Place::new("i-52e0c1d8", "worcester"),
    Place::new("i-9b64aa07", "hartford"),
];
const HOSTS: [Place; 5] = [
    Place::new("front-pawtucket-1", "pawtucket"),
    Place::new("front-pawtucket-2", "pawtucket"),
    Place::new("front-pawtucket-3", "pawtucket"),
    Place::new("front-worcester-1", "worcester"),
    Place::new("front-worcester-2", "worcester"),
];
/// Time between two removals.
const REMOVAL_GAP: Duration = Duration::from_secs(3);

pub fn run(record: &Arc<RunRecord>, with_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let mut site = Site::new(&INSTANCES, INSTANCES.len(), &HOSTS, &configuration())?;
    site.start_all(record)?;
    // Terms are written within two seconds of the first start.
    std::thread::sleep(Duration::from_secs(3));
    let survivors = |site: &Site| {
        let hosts = site.hosts.iter();
        let left = hosts.filter(|host| host.place.zone == "worcester");
        left.map(|host| host.callers.clone()).collect()
    };
    let crowd = Crowd::new(record.clone(), survivors(&site));
    let begun = record.time();
    let threads = crowd.start(&ROUTES, "u3f1", 4);
    sleep_until(record, begun + Duration::from_secs(8));
    let removal = record.time();
    for (index, place) in HOSTS.iter().take(3).enumerate() {
        #[allow(clippy::cast_possible_truncation)]
        sleep_until(record, removal + REMOVAL_GAP * index as u32);
        if with_trouble {
            record.say(&format!("{} is removed for good", place.name));
            site.host_mut(place.name).kill();
        }
    }
    sleep_until(record, removal + REMOVAL_GAP * 4);
    record.say("final fault: all processes are killed");
    let is_left = |place: &Place| !with_trouble || place.zone == "worcester";
    for place in HOSTS.iter().filter(|place| is_left(place)) {
        site.host_mut(place.name).kill();
    }
    std::thread::sleep(Duration::from_secs(1));
    for place in HOSTS.iter().filter(|place| is_left(place)) {
        site.host_mut(place.name).start(false)?;
    }
    let back = record.time();
    record.say("they have started again");
    let judged_from = back + RECOVER;
    let judged_to = judged_from + Duration::from_secs(40);
    sleep_until(record, judged_to);
    crowd.end();
    for thread in threads {
        thread.join().ok();
    }
    site.keep_logs();
    let before = (begun, removal);
    breaks_recover(record, &crowd, before, (judged_from, judged_to))
}
