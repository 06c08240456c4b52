//! Failures of connections, hosts and the store, with the fleet in one process.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_fleet::LocalFleet;
use fulmarrill_http::{HttpClient, Method};
use fulmarrill_load::{
    CallerPool, LoadKind, LoadPlan, LoadReport, LoadStream, RequestOutcome, run_load,
};
use fulmarrill_pg::{ConnectTarget, DatabaseConnection};
use fulmarrill_standin::{InstanceFaults, PlatformFaults, PlatformMode};
use serde_json::json;

use crate::util::{
    DATABASE, WAIT_TIMEOUT, caller_addresses, ledger_faults, lock_fleet, read_json, small_layout,
    wait_until,
};

/// Rounds of a caller that checks its own answers.
const OWN_ROUNDS: usize = 50;

async fn start() -> LocalFleet {
    LocalFleet::start(small_layout())
        .await
        .expect("the fleet starts")
}

/// Runs a load and calls `fail` after one second. Asserts that the ledger agrees with
/// the database and that no session read stale data.
async fn load_while(
    fleet: &mut LocalFleet,
    seed: u64,
    fail: impl AsyncFnOnce(&mut LocalFleet),
) -> LoadReport {
    let plan = LoadPlan::new(DATABASE, caller_addresses(fleet), seed)
        .with_time(Duration::from_secs(4))
        .with_stream(LoadStream::new("renewals", LoadKind::WriteThenRead, 20.0))
        .with_stream(LoadStream::new("counter", LoadKind::Transaction, 5.0))
        .with_stream(LoadStream::new("scans", LoadKind::Read, 40.0));
    let load = smol::spawn({
        let plan = plan.clone();
        async move { run_load(&plan).await }
    });
    smol::Timer::after(Duration::from_secs(1)).await;
    fail(fleet).await;
    let report = load.await;
    assert_eq!(report.streams["renewals"].stale, 0);
    assert_eq!(
        ledger_faults(&plan, &caller_addresses(fleet)).await,
        Vec::new()
    );
    report
}

fn is_host(name: &str) -> bool {
    name.starts_with('h')
}

fn is_instance(name: &str) -> bool {
    name.starts_with(DATABASE)
}

#[test]
fn silent_database_connections_are_replaced() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        let report = load_while(&mut fleet, 61, async |fleet| {
            fleet.set_path_faults(
                |from, to| is_host(from) && is_instance(to),
                |faults| faults.stall_open = true,
            );
        })
        .await;
        assert!(report.streams["renewals"].served > 0);
        assert!(report.streams["scans"].served > 0);
    });
}

/// Runs statements of a caller with texts of their own, and returns the number that
/// were served. Asserts that each answer is that of its statement.
async fn run_own_statements(address: CompactString, caller: usize) -> usize {
    let target = ConnectTarget::new(&address, "city", DATABASE);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let connection = DatabaseConnection::connect(&target, deadline);
    let mut connection = connection.await.expect("the host accepts");
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let started = started.expect("a time").as_millis();
    let mut served = 0;
    for index in 0..OWN_ROUNDS {
        let own = format!("{caller}-{index}");
        let id = (caller * OWN_ROUNDS + index) * 2;
        let insert = |id: usize| {
            format!("INSERT INTO badges (id, holder) VALUES ({id}, '{own}') RETURNING holder")
        };
        let set_key = format!("SET fulmarrill.request_key = '{started}-{own}'");
        let read = format!("SELECT '{own}', {index}");
        for sql in [insert(id), read, set_key, insert(id + 1)] {
            let Ok(rows) = connection.query(&sql, deadline).await else {
                continue;
            };
            if sql.starts_with("SET") {
                continue;
            }
            assert_eq!(rows.len(), 1, "{sql}");
            assert_eq!(rows[0].text(0), Some(own.as_str()), "{sql}");
            served += 1;
        }
    }
    served
}

/// The connections of the hosts are shared, so that an answer sent twice would be
/// taken for that of a statement of another session.
#[test]
fn answers_that_an_instance_sends_twice_reach_no_other_statement() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let fleet = start().await;
        let group = fleet.group(DATABASE).expect("a group");
        for instance in &group.instances {
            let faults = InstanceFaults {
                repeat_interval: 20,
                ..InstanceFaults::default()
            };
            fleet.set_instance_faults(&instance.name, faults);
        }
        let mut callers = Vec::new();
        for address in caller_addresses(&fleet) {
            for _ in 0..2 {
                callers.push(smol::spawn(run_own_statements(
                    address.clone(),
                    callers.len(),
                )));
            }
        }
        let all = callers.len() * OWN_ROUNDS * 3;
        let mut served = 0;
        for caller in callers {
            served += caller.await;
        }
        assert!(served > all / 2, "{served} of {all} statements were served");
    });
}

#[test]
fn silent_peer_links_are_replaced() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        let report = load_while(&mut fleet, 62, async |fleet| {
            fleet.set_path_faults(
                |from, to| is_host(from) && is_host(to),
                |faults| faults.stall_open = true,
            );
        })
        .await;
        assert!(report.streams["scans"].served > 0);
    });
}

#[test]
fn silent_store_watches_are_reopened() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let fleet = start().await;
        fleet.set_path_faults(|_, to| to == "platform", |faults| faults.stall_open = true);
        let host = fleet
            .host("h1")
            .expect("a host")
            .addresses()
            .operator
            .clone();
        let version = apply(&host, held_version(&host).await, "watch").await;
        assert!(version.is_ok());
        wait_in_force(&fleet, version.unwrap_or_default()).await;
    });
}

#[test]
fn healed_partition_between_regions_loses_no_write() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        load_while(&mut fleet, 63, async |fleet| {
            let is_in_zapad = |fleet: &LocalFleet, name: &str| {
                fleet.layout().region_of(&fleet.site_of(name)) == "zapad"
            };
            fleet.set_path_faults(
                |from, to| is_in_zapad(fleet, from) != is_in_zapad(fleet, to),
                |faults| faults.stalled = true,
            );
            smol::Timer::after(Duration::from_secs(2)).await;
            fleet.set_path_faults(|_, _| true, |_| {});
        })
        .await;
    });
}

#[test]
fn killed_host_leaves_no_open_transaction_and_loses_no_write() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        let open = CallerPool::new(&[fleet.caller_address("h4")], DATABASE, "counter", "city");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let steps = [
            "BEGIN".into(),
            "INSERT INTO renewals (id, badge) VALUES ('open', 1)".into(),
        ];
        let outcome = open.run(&steps, None, deadline).await;
        assert_eq!(outcome, RequestOutcome::Served(Vec::new()));
        let report = load_while(&mut fleet, 64, async |fleet| {
            fleet.kill_host("h4");
        })
        .await;
        assert!(
            report.streams["renewals"].served > 0,
            "the lock of the open transaction is released"
        );
        let held = crate::util::read_back(&caller_addresses(&fleet)).await;
        assert!(!held.contains(&CompactString::from("open")));
    });
}

#[test]
fn store_outage_stops_neither_requests_nor_a_new_host() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        let down = PlatformFaults {
            mode: PlatformMode::Refusing,
            ..PlatformFaults::default()
        };
        let report = load_while(&mut fleet, 65, async |fleet| {
            fleet.platform().set_faults(down);
        })
        .await;
        for service in ["renewals", "scans"] {
            let stream = &report.streams[service];
            assert_eq!(
                stream.served,
                stream.offered(),
                "{service}: {:?}",
                stream.messages
            );
        }
        // A host that starts during the outage learns its configuration from its peers.
        fleet.kill_host("h1");
        let layout = fleet.layout().hosts[0].clone();
        fleet.start_host(&layout).await.expect("the host starts");
        let address = fleet
            .host("h1")
            .expect("a host")
            .addresses()
            .operator
            .clone();
        wait_until(async || {
            let state = read_json(&address, "/state").await;
            state["versions"]["document"] != 0 && state["versions"]["groups"] != 0
        })
        .await;
        let pool = CallerPool::new(&[fleet.caller_address("h1")], DATABASE, "renewals", "city");
        let insert = "INSERT INTO renewals (id, badge) VALUES ('outage', 1)".into();
        let outcome = pool
            .run(&[insert], None, Instant::now() + WAIT_TIMEOUT)
            .await;
        assert_eq!(outcome, RequestOutcome::Served(Vec::new()));
    });
}

#[test]
fn primary_lost_during_a_store_outage_is_replaced_afterwards() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        let old = fleet.primary_of(DATABASE).expect("a primary");
        let down = PlatformFaults {
            mode: PlatformMode::Refusing,
            ..PlatformFaults::default()
        };
        load_while(&mut fleet, 66, async |fleet| {
            fleet.platform().set_faults(down);
            fleet.set_path_faults(
                |from, to| from == old || to == old,
                |faults| faults.disconnected = true,
            );
            smol::Timer::after(Duration::from_secs(2)).await;
            assert_eq!(
                fleet.primary_of(DATABASE),
                Some(old.clone()),
                "no promotion may happen without the store"
            );
            fleet.platform().set_faults(PlatformFaults::default());
        })
        .await;
        assert_ne!(fleet.primary_of(DATABASE), Some(old));
    });
}

#[test]
fn change_of_primary_survives_lost_store_answers() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        let old = fleet.primary_of(DATABASE).expect("a primary");
        load_while(&mut fleet, 67, async |fleet| {
            // The reservation and the publication take effect, but their answers are lost.
            let faults = PlatformFaults {
                lose_answers: 2,
                ..PlatformFaults::default()
            };
            fleet.platform().set_faults(faults);
            fleet.kill_instance(&old);
        })
        .await;
        assert_ne!(fleet.primary_of(DATABASE), Some(old));
    });
}

#[test]
fn leaving_replica_gets_no_new_work() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        let leaving = "registry-1-b";
        load_while(&mut fleet, 68, async |fleet| {
            fleet.change_group(DATABASE, |group| {
                for instance in &mut group.instances {
                    instance.leaving = instance.name == leaving;
                }
            });
            smol::Timer::after(Duration::from_secs(1)).await;
            let before = served_at(fleet, leaving).await;
            smol::Timer::after(Duration::from_secs(1)).await;
            assert_eq!(served_at(fleet, leaving).await, before);
        })
        .await;
    });
}

/// Returns the number of requests that all owners have served at an instance.
async fn served_at(fleet: &LocalFleet, instance: &str) -> u64 {
    let mut served = 0;
    for name in fleet.host_names() {
        let address = fleet
            .host(&name)
            .expect("a host")
            .addresses()
            .operator
            .clone();
        let state = read_json(&address, "/state").await;
        for owner in state["owners"]["instances"]
            .as_array()
            .into_iter()
            .flatten()
        {
            if owner["instance"] == instance {
                served += owner["served"].as_u64().unwrap_or(0);
            }
        }
    }
    served
}

/// Returns the version of the document that a host holds.
async fn held_version(host: &str) -> u64 {
    read_json(host, "/document").await["version"]
        .as_u64()
        .unwrap_or(0)
}

/// Submits a document with one rank named `change`. Returns the new version, or the
/// HTTP status of the refusal.
async fn apply(host: &str, version: u64, change: &str) -> Result<u64, u16> {
    let text = json!({ "ranks": [{ "name": change }] }).to_string();
    let body = json!({ "version": version, "text": text, "change_id": change }).to_string();
    let client = HttpClient::new(host);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let answer = client
        .request(Method::POST, "/apply", body.into_bytes(), deadline)
        .await;
    let answer = answer.expect("the host answers");
    let value: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    match answer.status {
        200 => Ok(value["version"].as_u64().unwrap_or(0)),
        status => Err(status),
    }
}

/// Waits until every host holds at least `version` of the document.
async fn wait_in_force(fleet: &LocalFleet, version: u64) {
    for name in fleet.host_names() {
        let host = fleet
            .host(&name)
            .expect("a host")
            .addresses()
            .operator
            .clone();
        wait_until(async || held_version(&host).await >= version).await;
    }
}

#[test]
fn one_of_concurrent_applies_is_accepted_and_in_force_everywhere() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let fleet = start().await;
        let addresses: Vec<CompactString> = fleet
            .host_names()
            .iter()
            .map(|name| {
                fleet
                    .host(name)
                    .expect("a host")
                    .addresses()
                    .operator
                    .clone()
            })
            .collect();
        for round in 0..5 {
            wait_in_force(&fleet, held_version(&addresses[0]).await).await;
            let version = held_version(&addresses[0]).await;
            let mut applies = Vec::new();
            for (index, address) in addresses.iter().enumerate() {
                let (address, change) = (address.clone(), format!("race-{round}-{index}"));
                applies.push(smol::spawn(async move {
                    apply(&address, version, &change).await
                }));
            }
            let mut accepted = Vec::new();
            for pending_apply in applies {
                match pending_apply.await {
                    Ok(version) => accepted.push(version),
                    Err(status) => assert_eq!(status, 409, "the others conflict"),
                }
            }
            assert_eq!(accepted.len(), 1);
            wait_in_force(&fleet, accepted[0]).await;
        }
    });
}

#[test]
fn apply_succeeds_when_a_store_answer_is_lost() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let fleet = start().await;
        let host = fleet
            .host("h1")
            .expect("a host")
            .addresses()
            .operator
            .clone();
        let faults = PlatformFaults {
            lose_answers: 1,
            ..PlatformFaults::default()
        };
        fleet.platform().set_faults(faults);
        let version = apply(&host, held_version(&host).await, "lost").await;
        assert!(version.is_ok(), "{version:?}");
        wait_in_force(&fleet, version.unwrap_or_default()).await;
    });
}

#[test]
fn stale_store_reads_do_not_roll_the_document_back() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let fleet = start().await;
        let host = fleet
            .host("h4")
            .expect("a host")
            .addresses()
            .operator
            .clone();
        let version = apply(&host, held_version(&host).await, "newer")
            .await
            .expect("accepted");
        wait_in_force(&fleet, version).await;
        let faults = PlatformFaults {
            stale_reads: true,
            ..PlatformFaults::default()
        };
        fleet.platform().set_faults(faults);
        for _ in 0..20 {
            smol::Timer::after(Duration::from_millis(50)).await;
            for name in fleet.host_names() {
                let host = fleet
                    .host(&name)
                    .expect("a host")
                    .addresses()
                    .operator
                    .clone();
                assert!(
                    held_version(&host).await >= version,
                    "{name} went back to an older version"
                );
            }
        }
    });
}

#[test]
fn gracefully_restarted_hosts_leave_no_unknown_outcome() {
    let _fleet_lock = lock_fleet();
    smol::block_on(async {
        let mut fleet = start().await;
        let report = load_while(&mut fleet, 69, async |fleet| {
            for host in fleet.layout().hosts.clone() {
                let process = fleet.take_host(&host.name).expect("a running host");
                process.leave().await;
                fleet.start_host(&host).await.expect("the host starts");
            }
        })
        .await;
        let counter = &report.streams["counter"];
        assert_eq!(counter.unknown, 0, "{:?}", counter.messages);
    });
}
