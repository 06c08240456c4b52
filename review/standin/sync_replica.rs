//! A primary with one synchronous replica dies while its other replica receives nothing,
//! and the one that has every commit is busy with reads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{CALLER_TIMEOUT, Fleet};
use crate::hosts::{Caller, wait_until};
use crate::record::Record;
use crate::{Outcome, has_trouble};

/// Time for which the second replica receives nothing before the primary dies.
const DEAF_TIME: Duration = Duration::from_millis(2500);
/// Sessions that read without a pause.
const READERS: usize = 6;
/// The longest time that the site states for one read.
const READ_TIME: Duration = Duration::from_millis(170);

pub fn run(record: &Arc<Record>) -> Outcome {
    let fleet = match Fleet::start(record, 1) {
        Ok(fleet) => fleet,
        Err(why) => return Outcome::CannotRun(why),
    };
    fleet.database.state().instances[1].work = READ_TIME;
    let stop = Arc::new(AtomicBool::new(false));
    let reads = Arc::new(AtomicU64::new(0));
    let mut readers = Vec::new();
    for reader in 0..READERS {
        let (stop, reads) = (stop.clone(), reads.clone());
        let address = fleet.addresses[reader % fleet.addresses.len()];
        readers.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Ok(mut caller) = Caller::connect(address, "aged", CALLER_TIMEOUT) else {
                    continue;
                };
                while !stop.load(Ordering::Relaxed) {
                    let number = reads.fetch_add(1, Ordering::Relaxed);
                    if caller.query(&format!("r-{number}"), "READ w900").is_err() {
                        break;
                    }
                }
            }
        }));
    }
    thread::sleep(Duration::from_millis(500));
    if has_trouble() {
        record.line("replica 2 receives nothing from here on");
        fleet.database.state().instances[2].deaf = true;
    }
    let mut acknowledged = Vec::new();
    let deaf_until = Instant::now() + DEAF_TIME;
    let mut number = 0;
    while Instant::now() < deaf_until {
        if fleet.write(number).is_ok() {
            acknowledged.push(format!("w{number}"));
        }
        number += 1;
        thread::sleep(Duration::from_millis(60));
    }
    if has_trouble() {
        fleet.database.kill(0);
    }
    let is_promoted = || !fleet.database.state().promotions.is_empty();
    wait_until(Duration::from_secs(20), is_promoted);
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    for reader in readers {
        reader.join().ok();
    }
    fleet.record_changes();
    record.line(&format!("writes acknowledged: {}", acknowledged.len()));
    if acknowledged.is_empty() {
        return Outcome::CannotRun("no write was acknowledged".into());
    }
    let state = fleet.database.state();
    let Some(promotion) = state.promotions.first() else {
        if has_trouble() {
            return Outcome::CannotRun("no instance was promoted".into());
        }
        return Outcome::Held;
    };
    acknowledged.retain(|item| !promotion.items.contains(item));
    record.line(&format!(
        "{} was promoted; acknowledged writes that its log lacks: {acknowledged:?}",
        promotion.id
    ));
    if acknowledged.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
