//! The cases.

mod copies_away;
mod late_order;
mod lender_lost;
mod long_records;
mod zone_lost;

use std::error::Error;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::callers::Crowd;
use crate::record::RunRecord;
use crate::site::DATABASE;

/// `RecoverS` of haskell-signs.
const RECOVER: Duration = Duration::from_secs(12);
/// Share of the requests that must be served, before the final fault and after it.
const QUARTER: f64 = 0.25;
/// Routes of the configuration, one of each type.
const ROUTES: [&str; 3] = ["order-entry", "ticket-read", "dealer-status"];

/// Runs a case; returns whether the rule was broken.
pub fn run(case: &str, folder: &Path, with_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let record = Arc::new(RunRecord::create(folder)?);
    match case {
        "late-order" => late_order::run(&record, with_trouble),
        "zone-lost" => zone_lost::run(&record, with_trouble),
        "lender-lost" => lender_lost::run(&record, with_trouble),
        "long-records" => long_records::run(&record, with_trouble),
        "copies-away" => copies_away::run(&record, with_trouble),
        _ => Err(format!("no case {case}").into()),
    }
}

/// A configuration with the routes of the site.
fn configuration() -> Value {
    let route = |host, kind, rank, timeout| {
        json!({
            "Host": host, "Service": DATABASE, "Type": kind, "TimeoutMs": timeout,
            "TargetLatencyMs": 500, "Priority": rank, "MaxStaleMs": 2500,
        })
    };
    json!({
        "Version": 3,
        "Routes": [
            route(ROUTES[0], "primary", 0, 800),
            route(ROUTES[1], "bounded_staleness", 1, 1500),
            route(ROUTES[2], "read_your_writes", 2, 800),
        ],
        "Services": [{"Name": DATABASE, "MaxConns": 46, "SyncReplicas": 0}],
        "Limits": {"TxIdleMs": 5000},
    })
}

fn sleep_until(record: &RunRecord, time: Duration) {
    std::thread::sleep(time.saturating_sub(record.time()));
}

/// Checks RECOVER: whether less than a quarter was served from `from` to `to` although a
/// quarter or more was in `before`.
fn breaks_recover(
    record: &RunRecord,
    crowd: &Crowd,
    before: (Duration, Duration),
    after: (Duration, Duration),
) -> Result<bool, Box<dyn Error>> {
    let (sent_before, share_before) = crowd.share(before.0, before.1);
    let (sent, share) = crowd.share(after.0, after.1);
    record.say(&format!(
        "before the final fault: {sent_before} requests, served {share_before:.3}"
    ));
    record.say(&format!(
        "later than RecoverS after the machines are back: {sent} requests, served {share:.3}"
    ));
    if share_before < QUARTER || sent == 0 {
        return Err("less than a quarter was served before the final fault".into());
    }
    let is_broken = share < QUARTER;
    record.say(if is_broken {
        "RECOVER is broken"
    } else {
        "RECOVER holds"
    });
    Ok(is_broken)
}
