//! Answers are paired with statements by their order, against scripted servers.

use std::time::{Duration, Instant};

use fulmarrill_pg::{ConnectTarget, DatabaseConnection, PgError};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

/// Time for bytes that were sent to arrive on the loopback interface.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// `AuthenticationOk` and `ReadyForQuery`.
const STARTUP_ANSWER: &[u8] = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";
const NOTICE: &[u8] = b"N\0\0\0\x0dSNOTICE\0\0";
const PARAMETER_STATUS: &[u8] = b"S\0\0\0\x14TimeZone\0Europe\0";
const NOTIFICATION: &[u8] = b"A\0\0\0\x0e\0\0\0\x01jobs\0\0";

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    let length = u32::try_from(body.len() + 4).unwrap();
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// An answer with one row of one column, and the transaction status after it.
fn answer_with(text: &str, status: u8) -> Vec<u8> {
    let mut row = vec![0, 1];
    row.extend_from_slice(&u32::try_from(text.len()).unwrap().to_be_bytes());
    row.extend_from_slice(text.as_bytes());
    let mut bytes = message(b'D', &row);
    bytes.extend_from_slice(&message(b'C', b"SELECT 1\0"));
    bytes.extend_from_slice(&message(b'Z', &[status]));
    bytes
}

/// The error that a server sends to idle connections as it shuts down.
fn shutdown_error() -> Vec<u8> {
    message(b'E', b"SFATAL\0C57P01\0Mterminating connection\0\0")
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

async fn read_request(stream: &mut TcpStream) {
    let mut bytes = [0; 1024];
    assert!(stream.read(&mut bytes).await.unwrap() > 0);
}

/// Connects to a server under the control of the test.
async fn connect() -> (DatabaseConnection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let accept = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
        stream.write_all(STARTUP_ANSWER).await.unwrap();
        stream
    };
    let target = ConnectTarget::new(&address, "app", "registry-1");
    let connect = DatabaseConnection::connect(&target, deadline());
    let (connection, stream) = futures_lite::future::zip(connect, accept).await;
    (connection.unwrap(), stream)
}

/// Runs a query to which the server sends `answer`, and returns its first row.
async fn query(
    connection: &mut DatabaseConnection,
    server: &mut TcpStream,
    answer: &[u8],
) -> String {
    let serve = async {
        read_request(server).await;
        server.write_all(answer).await.unwrap();
    };
    let run = connection.query("SELECT 1", deadline());
    let (rows, ()) = futures_lite::future::zip(run, serve).await;
    rows.unwrap()[0].text(0).unwrap().to_owned()
}

/// Runs a query, sends `later` to the idle connection, and returns whether the
/// connection may be reused.
async fn is_reusable_after(later: &[u8]) -> bool {
    let (mut connection, mut server) = connect().await;
    let row = query(&mut connection, &mut server, &answer_with("1", b'I')).await;
    assert_eq!(row, "1");
    assert!(connection.is_reusable().await);
    server.write_all(later).await.unwrap();
    Timer::after(ARRIVAL_TIME).await;
    connection.is_reusable().await
}

#[test]
fn answer_that_arrives_on_an_idle_connection_is_not_left_for_the_next_statement() {
    smol::block_on(async {
        assert!(!is_reusable_after(&answer_with("1", b'I')).await);
        assert!(!is_reusable_after(&message(b'Z', b"I")).await);
    });
}

#[test]
fn half_of_an_answer_on_an_idle_connection_is_not_left_for_the_next_statement() {
    smol::block_on(async {
        for length in [1, 4, 5, 7] {
            assert!(!is_reusable_after(&answer_with("1", b'I')[..length]).await);
        }
    });
}

#[test]
fn connection_closed_by_a_shutdown_while_idle_is_not_reused() {
    smol::block_on(async {
        assert!(!is_reusable_after(&shutdown_error()).await);
        let (mut connection, server) = connect().await;
        drop(server);
        Timer::after(ARRIVAL_TIME).await;
        assert!(!connection.is_reusable().await);
    });
}

/// Servers may send these messages at any time.
#[test]
fn asynchronous_messages_on_an_idle_connection_belong_to_no_statement() {
    smol::block_on(async {
        let (mut connection, mut server) = connect().await;
        for bytes in [NOTICE, PARAMETER_STATUS, NOTIFICATION, &NOTICE[..7]] {
            server.write_all(bytes).await.unwrap();
        }
        Timer::after(ARRIVAL_TIME).await;
        assert!(connection.is_reusable().await);
        server.write_all(&NOTICE[7..]).await.unwrap();
        let row = query(&mut connection, &mut server, &answer_with("2", b'I')).await;
        assert_eq!(row, "2");
    });
}

#[test]
fn notification_inside_an_answer_is_not_part_of_it() {
    smol::block_on(async {
        let (mut connection, mut server) = connect().await;
        let answer = answer_with("1", b'I');
        let serve = async {
            read_request(&mut server).await;
            server.write_all(NOTIFICATION).await.unwrap();
            server.write_all(&answer).await.unwrap();
        };
        let request = DatabaseConnection::encode_query("SELECT 1").unwrap();
        let run = connection.exchange(&request, deadline());
        let (response, ()) = futures_lite::future::zip(run, serve).await;
        assert_eq!(&response.unwrap().messages[..], &answer[..]);
    });
}

#[test]
fn connection_with_an_open_or_failed_transaction_is_not_reused() {
    smol::block_on(async {
        for status in [b'T', b'E'] {
            let (mut connection, mut server) = connect().await;
            query(&mut connection, &mut server, &answer_with("1", status)).await;
            assert!(!connection.is_reusable().await);
            query(&mut connection, &mut server, &answer_with("1", b'I')).await;
            assert!(connection.is_reusable().await);
        }
    });
}

/// The answer arrives after the connection was handed out.
#[test]
fn statement_is_not_sent_after_an_answer_that_nobody_asked_for() {
    smol::block_on(async {
        let (mut connection, mut server) = connect().await;
        assert!(connection.is_reusable().await);
        server.write_all(&answer_with("1", b'I')).await.unwrap();
        Timer::after(ARRIVAL_TIME).await;
        let error = connection.query("SELECT 2", deadline()).await.unwrap_err();
        assert!(matches!(error, PgError::Unsolicited), "{error}");
        drop(connection);
        let mut rest = Vec::new();
        server.read_to_end(&mut rest).await.unwrap();
        assert!(rest.is_empty());
    });
}

#[test]
fn connection_whose_answer_was_given_up_is_not_reused() {
    smol::block_on(async {
        let (mut connection, mut server) = connect().await;
        let soon = Instant::now() + ARRIVAL_TIME;
        assert!(connection.query("SELECT 1", soon).await.is_err());
        assert!(!connection.is_reusable().await);
        server.write_all(&answer_with("1", b'I')).await.unwrap();
        Timer::after(ARRIVAL_TIME).await;
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn message_with_a_length_out_of_bounds_ends_the_connection() {
    smol::block_on(async {
        for length in [[0, 0, 0, 0], [0, 0, 0, 3], [0x04, 0, 0, 0], [0xff; 4]] {
            let (mut connection, mut server) = connect().await;
            let mut bytes = vec![b'D'];
            bytes.extend_from_slice(&length);
            bytes.extend_from_slice(&answer_with("1", b'I'));
            server.write_all(&bytes).await.unwrap();
            let request = DatabaseConnection::encode_query("SELECT 1").unwrap();
            assert!(connection.exchange(&request, deadline()).await.is_err());
            assert!(!connection.is_reusable().await);
        }
    });
}

#[test]
fn answer_in_single_bytes_is_whole() {
    smol::block_on(async {
        let (mut connection, mut server) = connect().await;
        server.set_nodelay(true).unwrap();
        let serve = async {
            read_request(&mut server).await;
            for byte in answer_with("Z\0\0\0\x05I", b'I') {
                server.write_all(&[byte]).await.unwrap();
            }
        };
        let run = connection.query("SELECT 1", deadline());
        let (rows, ()) = futures_lite::future::zip(run, serve).await;
        assert_eq!(rows.unwrap()[0].text(0), Some("Z\0\0\0\x05I"));
        assert!(connection.is_reusable().await);
    });
}

/// Only the status tells whether a transaction is open.
#[test]
fn ready_for_query_without_a_known_status_ends_the_connection() {
    smol::block_on(async {
        for body in [&b""[..], b"X", b"II"] {
            let (mut connection, mut server) = connect().await;
            let serve = async {
                read_request(&mut server).await;
                server.write_all(&message(b'Z', body)).await.unwrap();
            };
            let run = connection.query("BEGIN", deadline());
            let (result, ()) = futures_lite::future::zip(run, serve).await;
            assert!(result.is_err(), "{body:?}");
            assert!(!connection.is_reusable().await);
        }
    });
}
