//! The primary goes dark for good, and all hosts lose power a moment later. The hosts are
//! back after 1.8 s, when the primary's entry has lapsed.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::hosts::wait_until;
use crate::record::Record;
use crate::{Outcome, has_trouble};

/// Time from the primary's loss to that of the hosts.
const DARK_TIME: Duration = Duration::from_millis(900);
/// Time without power, where the site states up to 1.82 s for all of them.
const DOWN_TIME: Duration = Duration::from_millis(1800);
/// The primary goes dark this long after its last ping, so that its entry lapses
/// while the hosts are down.
const SINCE_PING: Duration = Duration::from_millis(1050);
/// `RecoverS` of the deployments.
const RECOVER_TIME: Duration = Duration::from_secs(12);
const MEASURED_TIME: Duration = Duration::from_secs(6);

/// Sends writes and reads, as callers do; returns how many were sent and served.
fn measure(fleet: &Fleet, name: &str, time: Duration) -> (u32, u32) {
    let (mut sent, mut served) = (0, 0);
    let until = Instant::now() + time;
    while Instant::now() < until {
        let number = u64::from(sent);
        let id = format!("{name}-{number}");
        let (database, text) = match sent % 3 {
            0 => ("latest", format!("WRITE {name}{number} d")),
            1 => ("latest", "READ w900".to_owned()),
            _ => ("aged", "READ w900".to_owned()),
        };
        served += u32::from(fleet.run(number, &id, database, &text).is_ok());
        sent += 1;
        thread::sleep(Duration::from_millis(30));
    }
    (sent, served)
}

pub fn run(record: &Arc<Record>) -> Outcome {
    let mut fleet = match Fleet::start(record, 0) {
        Ok(fleet) => fleet,
        Err(why) => return Outcome::CannotRun(why),
    };
    let before = measure(&fleet, "before", Duration::from_secs(3));
    record.line(&format!("before: {} sent, {} served", before.0, before.1));
    if before.1 * 4 < before.0 {
        return Outcome::CannotRun("less than a quarter was served before".into());
    }
    if has_trouble() {
        // TROUBLE=hosts spares the primary, to show what the hosts alone do.
        if std::env::var("TROUBLE").as_deref() != Ok("hosts") {
            wait_until(Duration::from_secs(5), || {
                fleet.database.since_ping() >= SINCE_PING
            });
            fleet.database.darken(0);
            thread::sleep(DARK_TIME);
        }
        record.line("the hosts lose power");
        for host in &mut fleet.hosts {
            host.kill();
        }
        thread::sleep(DOWN_TIME);
        if let Err(why) = fleet.start_hosts() {
            return Outcome::CannotRun(why);
        }
        record.line("the hosts are back");
    }
    let back_at = Instant::now();
    if !wait_until(Duration::from_secs(10), || fleet.is_ready()) {
        record.line("not all hosts are ready 10 s after they were back");
    }
    thread::sleep(RECOVER_TIME.saturating_sub(back_at.elapsed()) + Duration::from_millis(200));
    let after = measure(&fleet, "after", MEASURED_TIME);
    fleet.record_changes();
    record.line(&format!("after: {} sent, {} served", after.0, after.1));
    if after.1 * 4 < after.0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
