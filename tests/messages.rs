//! Messages of callers that unmodified drivers do not send, and their answers.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use fulmarrill_fleet::LocalFleet;
use fulmarrill_pg::{ConnectTarget, DatabaseConnection};

use crate::util::{DATABASE, caller_addresses, lock_fleet, small_layout};

/// Timeout for the next byte of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A caller that sends and receives single messages.
struct RawCaller {
    stream: TcpStream,
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).expect("a short body");
    [&[kind], &length.to_be_bytes()[..], body].concat()
}

fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

fn parse(name: &str, text: &str) -> Vec<u8> {
    let body = [name.as_bytes(), b"\0", text.as_bytes(), b"\0\0\0"].concat();
    message(b'P', &body)
}

fn bind(name: &str) -> Vec<u8> {
    message(b'B', &[b"\0", name.as_bytes(), b"\0\0\0\0\0\0\0"].concat())
}

fn execute() -> Vec<u8> {
    message(b'E', b"\0\0\0\0\0")
}

fn describe(name: &str) -> Vec<u8> {
    message(b'D', &[b"S", name.as_bytes(), b"\0"].concat())
}

fn sync() -> Vec<u8> {
    message(b'S', b"")
}

fn flush() -> Vec<u8> {
    message(b'H', b"")
}

impl RawCaller {
    fn connect(address: &str) -> Self {
        let stream = TcpStream::connect(address).expect("the host accepts");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a timeout");
        let mut caller = Self { stream };
        let parameters = format!("\0\x03\0\0user\0city\0database\0{DATABASE}\0\0");
        let length = u32::try_from(parameters.len() + 4).expect("a short body");
        caller.send(&[&length.to_be_bytes()[..], parameters.as_bytes()].concat());
        caller.read_until_ready();
        caller
    }

    fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("sent");
    }

    /// Reads one message: its type and the text of its body.
    fn read_message(&mut self) -> (char, String) {
        let mut header = [0; 5];
        self.stream.read_exact(&mut header).expect("a message");
        let length = u32::from_be_bytes(header[1..].try_into().expect("four bytes"));
        let mut body = vec![0; length as usize - 4];
        self.stream.read_exact(&mut body).expect("its body");
        (
            header[0].into(),
            String::from_utf8_lossy(&body).into_owned(),
        )
    }

    /// Reads one message after another, and returns the types of the first `count`
    /// that are not `ParameterStatus`.
    fn read_types(&mut self, count: usize) -> String {
        let mut types = String::new();
        while types.len() < count {
            let (kind, _) = self.read_message();
            if kind != 'S' {
                types.push(kind);
            }
        }
        types
    }

    /// Reads messages up to `ReadyForQuery` and returns their types, without
    /// `ParameterStatus`.
    fn read_until_ready(&mut self) -> String {
        let mut types = String::new();
        while !types.ends_with('Z') {
            types.push_str(&self.read_types(1));
        }
        types
    }

    /// Reads messages up to `ReadyForQuery` and returns the texts of the rows.
    fn read_rows(&mut self) -> Vec<String> {
        let mut rows = Vec::new();
        loop {
            match self.read_message() {
                ('D', body) => rows.push(body[6..].to_owned()),
                ('Z', _) => return rows,
                _ => {}
            }
        }
    }

    /// Runs a query and returns the text of its first row.
    fn first_row(&mut self, text: &str) -> String {
        self.send(&query(text));
        self.read_rows().swap_remove(0)
    }
}

fn with_fleet(work: impl FnOnce(&LocalFleet, &mut RawCaller)) {
    let _fleet_lock = lock_fleet();
    let fleet = smol::block_on(LocalFleet::start(small_layout())).expect("the fleet starts");
    let mut caller = RawCaller::connect(&caller_addresses(&fleet)[0]);
    work(&fleet, &mut caller);
}

fn with_caller(work: impl FnOnce(&mut RawCaller)) {
    with_fleet(|_, caller| work(caller));
}

/// Ends the sessions of the primary.
async fn terminate_sessions(fleet: &LocalFleet) {
    let group = fleet.group(DATABASE).expect("a group");
    let primary = group.primary_instance().expect("a primary");
    let target = ConnectTarget::new(&primary.address, "city", DATABASE);
    let deadline = Instant::now() + READ_TIMEOUT;
    let connection = DatabaseConnection::connect(&target, deadline);
    let mut connection = connection.await.expect("connected");
    for id in 1..connection.process_id() {
        let sql = format!("SELECT pg_terminate_backend({id})");
        connection.query(&sql, deadline).await.expect("terminated");
    }
}

/// A statement cut at a zero byte would have deleted every row.
#[test]
fn statement_with_a_zero_byte_is_refused_and_not_cut() {
    with_caller(|caller| {
        caller.send(&query(
            "INSERT INTO badges (id, holder) VALUES (1, 'a'), (2, 'b')",
        ));
        assert_eq!(caller.read_until_ready(), "CZ");
        caller.send(&query("DELETE FROM badges\0 WHERE id = 1"));
        assert_eq!(caller.read_until_ready(), "EZ");
        caller.send(&parse("", "DELETE FROM badges\0 WHERE id = 1"));
        caller.send(&[bind(""), execute(), sync()].concat());
        assert_eq!(caller.read_until_ready(), "EZ");
        assert_eq!(caller.first_row("SELECT count(*) FROM badges"), "2");
    });
}

/// A server ignores everything between an error in a batch and the `Sync`.
#[test]
fn messages_after_a_failed_one_are_ignored_until_the_sync() {
    with_caller(|caller| {
        caller.send(&query("INSERT INTO badges (id, holder) VALUES (1, 'a')"));
        assert_eq!(caller.read_until_ready(), "CZ");
        caller.send(&message(b'P', b"cut"));
        caller.send(&query("DELETE FROM badges"));
        caller.send(&sync());
        assert_eq!(caller.read_until_ready(), "EZ");
        assert_eq!(caller.first_row("SELECT count(*) FROM badges"), "1");
    });
}

#[test]
fn query_behind_a_batch_without_sync_is_answered_after_it() {
    with_caller(|caller| {
        caller.send(&parse("", "SELECT 'batch'"));
        caller.send(&[bind(""), execute(), query("SELECT 'query'")].concat());
        assert_eq!(caller.read_rows(), ["batch", "query"]);
    });
}

/// A second `ReadyForQuery` for one `Sync` shifts all later answers by one.
#[test]
fn flush_after_an_error_brings_no_ready_for_query() {
    with_caller(|caller| {
        let refused = parse("", "LISTEN jobs");
        let failed = parse("", "SELECT nothing FROM nowhere");
        for statement in [refused, failed] {
            caller.send(&[statement, bind(""), execute(), flush()].concat());
            caller.send(&parse("", "SELECT 'ignored'"));
            caller.send(&[bind(""), execute(), sync()].concat());
            assert_eq!(caller.read_until_ready(), "EZ");
            assert_eq!(caller.first_row("SELECT 'next'"), "next");
        }
    });
}

#[test]
fn failed_setting_ends_its_batch() {
    with_caller(|caller| {
        caller.send(&parse("", "SHOW fulmarrill.nothing"));
        caller.send(&[bind(""), execute()].concat());
        caller.send(&parse("", "SHOW fulmarrill.service"));
        caller.send(&[bind(""), execute(), sync()].concat());
        assert_eq!(caller.read_until_ready(), "12EZ");
        assert_eq!(caller.first_row("SELECT 'next'"), "next");
    });
}

/// Each message of a batch has its own reply, also where the entry ends a
/// transaction that was lost.
#[test]
fn end_of_a_lost_transaction_is_answered_message_by_message() {
    with_fleet(|fleet, caller| {
        caller.send(&[parse("end", "ROLLBACK"), parse("read", "SELECT 1"), sync()].concat());
        assert_eq!(caller.read_until_ready(), "11Z");
        caller.send(&query("BEGIN"));
        assert_eq!(caller.read_until_ready(), "CZ");
        smol::block_on(terminate_sessions(fleet));
        caller.send(&query("SELECT 1"));
        assert_eq!(caller.read_until_ready(), "EZ");
        caller.send(&[describe("read"), bind("read"), execute(), sync()].concat());
        assert_eq!(caller.read_until_ready(), "EZ");
        caller.send(&[bind("end"), describe("end"), execute(), sync()].concat());
        assert_eq!(caller.read_until_ready(), "2tnCZ");
        assert_eq!(caller.first_row("SELECT 'next'"), "next");
    });
}

#[test]
fn settings_of_one_batch_are_answered_each_by_its_own_value() {
    with_caller(|caller| {
        let set = |name: &str| parse("", &format!("SET fulmarrill.{name} = '{name} 1'"));
        caller.send(&[set("service"), bind(""), execute()].concat());
        caller.send(&[set("customer"), bind(""), execute(), sync()].concat());
        assert_eq!(caller.read_until_ready(), "12C12CZ");
        let show = |name: &str| parse("", &format!("SHOW fulmarrill.{name}"));
        caller.send(&[show("service"), bind(""), execute()].concat());
        caller.send(&[show("customer"), bind(""), execute(), sync()].concat());
        assert_eq!(caller.read_rows(), ["service 1", "customer 1"]);
    });
}

/// Transactions run on shared connections.
#[test]
fn setting_made_in_a_transaction_does_not_reach_other_sessions() {
    with_fleet(|fleet, caller| {
        let mut other = RawCaller::connect(&caller_addresses(fleet)[0]);
        for text in ["BEGIN", "SET search_path = own", "COMMIT"] {
            caller.send(&query(text));
            assert_eq!(caller.read_until_ready(), "CZ", "{text}");
        }
        for _ in 0..5 {
            other.send(&query("BEGIN"));
            assert_eq!(other.read_until_ready(), "CZ");
            assert_eq!(other.first_row("SHOW search_path"), "");
            other.send(&query("COMMIT"));
            assert_eq!(other.read_until_ready(), "CZ");
        }
    });
}
