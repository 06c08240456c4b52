//! Sessions of an unmodified PostgreSQL driver.

use compact_str::CompactString;
use fulmarrill_fleet::LocalFleet;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, NoTls};

use crate::util::{DATABASE, small_layout};

/// Starts a fleet and runs `work` with the addresses of its hosts for callers.
fn with_fleet(work: impl AsyncFnOnce(&LocalFleet, Vec<CompactString>)) {
    let _fleet_lock = crate::util::lock_fleet();
    let fleet = smol::block_on(LocalFleet::start(small_layout())).expect("the fleet starts");
    let callers = crate::util::caller_addresses(&fleet);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(work(&fleet, callers));
}

async fn connect(address: &str, options: &str) -> Client {
    let (host, port) = address.split_once(':').expect("IP:PORT");
    let mut config = tokio_postgres::Config::new();
    config.host(host).port(port.parse().expect("a port"));
    config.user("city").dbname(DATABASE).options(options);
    let (client, connection) = config.connect(NoTls).await.expect("the host accepts");
    tokio::spawn(async move {
        connection.await.ok();
    });
    client
}

#[test]
fn parameters_prepared_statements_and_transactions_work() {
    with_fleet(async |_, callers| {
        let mut client = connect(&callers[0], "-c fulmarrill.service=renewals").await;
        let insert = "INSERT INTO badges (id, holder) VALUES ($1, $2)";
        let insert = client.prepare(insert).await.expect("prepared");
        for id in 0..5_i64 {
            let holder = format!("stall {id}");
            let count = client
                .execute(&insert, &[&id, &holder])
                .await
                .expect("inserted");
            assert_eq!(count, 1);
        }
        let select = "SELECT holder FROM badges WHERE id = $1";
        let row = client.query_one(select, &[&3_i64]).await.expect("a row");
        assert_eq!(row.get::<_, String>(0), "stall 3");

        let transaction = client.transaction().await.expect("begun");
        let update = "UPDATE badges SET renewals = renewals + $1 WHERE id = $2";
        transaction
            .execute(update, &[&2_i64, &3_i64])
            .await
            .expect("updated");
        let own = transaction
            .query_one("SELECT renewals FROM badges WHERE id = 3", &[])
            .await;
        assert_eq!(own.expect("a row").get::<_, i64>(0), 2);
        transaction.rollback().await.expect("rolled back");
        let row = client
            .query_one("SELECT renewals FROM badges WHERE id = 3", &[])
            .await;
        assert_eq!(row.expect("a row").get::<_, i64>(0), 0);

        let transaction = client.transaction().await.expect("begun");
        transaction
            .execute(update, &[&7_i64, &3_i64])
            .await
            .expect("updated");
        transaction.commit().await.expect("committed");
        let row = client
            .query_one("SELECT renewals FROM badges WHERE id = 3", &[])
            .await;
        assert_eq!(row.expect("a row").get::<_, i64>(0), 7);
    });
}

#[test]
fn large_results_and_errors_arrive_whole() {
    with_fleet(async |_, callers| {
        let client = connect(&callers[1], "-c fulmarrill.service=counter").await;
        let text = "x".repeat(1000);
        let mut values = Vec::new();
        for id in 0..3000 {
            values.push(format!("({id}, '{text}')"));
        }
        let insert = format!(
            "INSERT INTO badges (id, holder) VALUES {}",
            values.join(", ")
        );
        client.batch_execute(&insert).await.expect("inserted");
        let rows = client
            .query("SELECT id, holder FROM badges ORDER BY id", &[])
            .await;
        let rows = rows.expect("rows");
        assert_eq!(rows.len(), 3000);
        assert!(rows.iter().all(|row| row.get::<_, String>(1) == text));

        let error = client
            .execute("INSERT INTO badges (id, holder) VALUES (1, 'x')", &[])
            .await;
        assert_eq!(
            error.expect_err("a duplicate").code(),
            Some(&SqlState::UNIQUE_VIOLATION)
        );
        let error = client.query("SELECT missing FROM badges", &[]).await;
        assert_eq!(
            error.expect_err("no column").code(),
            Some(&SqlState::UNDEFINED_COLUMN)
        );
        // The session goes on after an error.
        client
            .query_one("SELECT count(*) FROM badges", &[])
            .await
            .expect("a row");
    });
}

#[test]
fn session_position_carries_over_to_another_host() {
    with_fleet(async |_, callers| {
        let first = connect(&callers[0], "-c fulmarrill.service=renewals").await;
        for id in 0..20_i64 {
            let insert = "INSERT INTO badges (id, holder) VALUES ($1, 'x')";
            first.execute(insert, &[&id]).await.expect("inserted");
            let row = first
                .query_one("SHOW fulmarrill.position", &[])
                .await
                .expect("a row");
            let options = format!("-c fulmarrill.position={}", row.get::<_, String>(0));
            let moved = connect(&callers[2], &options).await;
            let row = moved
                .query_one("SELECT count(*) FROM badges", &[])
                .await
                .expect("a row");
            assert_eq!(row.get::<_, i64>(0), id + 1);
            // A session without a position also sees the acknowledged write.
            let without_position = connect(&callers[1], "").await;
            let row = without_position
                .query_one("SELECT count(*) FROM badges", &[])
                .await
                .expect("a row");
            assert_eq!(row.get::<_, i64>(0), id + 1);
        }
    });
}

#[test]
fn request_key_repeats_the_first_answer() {
    with_fleet(async |_, callers| {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let key = format!("{}-badge", now.expect("a time").as_millis());
        let insert = "INSERT INTO badges (id, holder) VALUES (1, 'x')";
        for address in [&callers[0], &callers[1], &callers[0]] {
            let client = connect(address, "-c fulmarrill.service=renewals").await;
            client
                .batch_execute(&format!("SET fulmarrill.request_key = '{key}'"))
                .await
                .expect("set");
            assert_eq!(
                client.execute(insert, &[]).await.expect("the first answer"),
                1
            );
        }
        let client = connect(&callers[2], "").await;
        client
            .batch_execute(&format!("SET fulmarrill.request_key = '{key}'"))
            .await
            .expect("set");
        let other = client
            .execute("INSERT INTO badges (id, holder) VALUES (2, 'x')", &[])
            .await;
        let error = other.expect_err("the key belongs to another request");
        assert_eq!(error.code(), Some(&SqlState::INVALID_PARAMETER_VALUE));
        let old = client
            .batch_execute("SET fulmarrill.request_key = '1000-old'")
            .await;
        assert!(old.expect_err("too old").to_string().contains("db error"));
        let row = client
            .query_one("SELECT count(*) FROM badges", &[])
            .await
            .expect("a row");
        assert_eq!(row.get::<_, i64>(0), 1);
    });
}

#[test]
fn failed_transaction_is_reported_until_rollback() {
    with_fleet(async |_, callers| {
        let client = connect(&callers[0], "-c fulmarrill.service=counter").await;
        client.batch_execute("BEGIN").await.expect("begun");
        client
            .batch_execute("SELECT wrong FROM badges")
            .await
            .expect_err("no column");
        let error = client
            .batch_execute("SELECT 1")
            .await
            .expect_err("still failed");
        assert_eq!(error.code(), Some(&SqlState::IN_FAILED_SQL_TRANSACTION));
        client.batch_execute("ROLLBACK").await.expect("ended");
        client
            .query_one("SELECT count(*) FROM badges", &[])
            .await
            .expect("a row");
    });
}
