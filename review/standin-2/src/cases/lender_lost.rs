//! The host that counts the operations of a tenant is removed for good; then all
//! processes that are left are killed and start again.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use super::{ROUTES, breaks_recover, configuration, sleep_until};
use crate::callers::Crowd;
use crate::record::RunRecord;
use crate::site::{Host, Place, Site};

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
/// `RecoverS` of the site.
const RECOVER: Duration = Duration::from_secs(15);
const TENANT: &str = "acme";
const KEY: &str = "key-5c0e7a21";

/// The host that lends to the tenant, as the hosts see it.
fn lender(site: &Site) -> Option<String> {
    for host in &site.hosts {
        let state = host.state()?;
        for used in state["limits"]["used"].as_array()? {
            if used["customer"] == TENANT {
                return used["lender"].as_str().map(str::to_owned);
            }
        }
    }
    None
}

pub fn run(record: &Arc<RunRecord>, with_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let mut configuration = configuration();
    // Several times what the tenant sends.
    configuration["Tenants"] =
        json!([{"Name": TENANT, "ApiKeys": [KEY], "RatePerS": 251, "Burst": 251}]);
    let mut site = Site::new(&INSTANCES, INSTANCES.len(), &HOSTS, &configuration)?;
    site.start_all(record)?;
    std::thread::sleep(Duration::from_secs(3));
    let addresses = |site: &Site, is_left: &dyn Fn(&Host) -> bool| {
        let hosts = site.hosts.iter().filter(|host| is_left(host));
        hosts.map(|host| host.callers.clone()).collect::<Vec<_>>()
    };
    let crowd = Crowd::new(record.clone(), addresses(&site, &|_| true));
    let begun = record.time();
    let threads = crowd.start(&ROUTES, KEY, 4);
    sleep_until(record, begun + Duration::from_secs(8));
    let removal = record.time();
    let lost = lender(&site).ok_or("no host says which one counts the tenant's operations")?;
    let is_left = |name: &str| !with_trouble || name != lost;
    if with_trouble {
        record.say(&format!("{lost} is removed for good"));
        crowd.set_targets(addresses(&site, &|host| is_left(host.place.name)));
        site.host_mut(&lost).kill();
    }
    sleep_until(record, removal + Duration::from_secs(8));
    record.say("final fault: all processes are killed");
    for host in site
        .hosts
        .iter_mut()
        .filter(|host| is_left(host.place.name))
    {
        host.kill();
    }
    std::thread::sleep(Duration::from_secs(1));
    for host in site
        .hosts
        .iter_mut()
        .filter(|host| is_left(host.place.name))
    {
        host.start(false)?;
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
