//! Replies are paired with calls by number, whatever the other side sends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarrill_link::{LinkError, LinkProtocol, LinkTiming, PeerLink, serve_links};
use futures_lite::future::zip;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, accept_async, client_async};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

#[derive(Debug)]
struct TextProtocol;

impl LinkProtocol for TextProtocol {
    const VERSION: u16 = 1;
    type Call = String;
    type Reply = String;
    type WireCall = String;
    type WireReply = String;
}

const TIMING: LinkTiming = LinkTiming::new(Duration::from_secs(50), Duration::from_secs(90));
/// More than a message of a link may have, in bytes.
const TOO_LARGE: usize = 17 << 20;
const SLOW_REPLY_TIME: Duration = Duration::from_millis(400);

/// The frames of a link, as they are on the wire.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum WireFrame {
    Hello { version: u16, host: String },
    Call { id: u64, call: String },
    Reply { id: u64, reply: String },
}

type WireStream = WebSocketStream<Compat<TcpStream>>;

fn hello(host: &str) -> WireFrame {
    WireFrame::Hello {
        version: TextProtocol::VERSION,
        host: host.to_owned(),
    }
}

fn call(id: u64, text: &str) -> WireFrame {
    WireFrame::Call {
        id,
        call: text.to_owned(),
    }
}

fn reply(id: u64, text: &str) -> WireFrame {
    WireFrame::Reply {
        id,
        reply: text.to_owned(),
    }
}

async fn send(stream: &mut WireStream, frame: &WireFrame) {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).unwrap();
    stream.send(Message::binary(bytes)).await.unwrap();
}

async fn receive(stream: &mut WireStream) -> WireFrame {
    loop {
        if let Message::Binary(bytes) = stream.next().await.unwrap().unwrap() {
            return ciborium::from_reader(&bytes[..]).unwrap();
        }
    }
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// Starts a server that replies to a call `large` with too much, to `slow` after a
/// while, and to any other at once, each time with the caller's name and the call.
async fn serve() -> (String, smol::Task<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let handler = |from, call: String| async move {
        if call == "large" {
            return "x".repeat(TOO_LARGE);
        }
        if call.starts_with("slow") {
            Timer::after(SLOW_REPLY_TIME).await;
        }
        format!("{from}: {call}")
    };
    let serving =
        serve_links::<TextProtocol, _, _>(listener, TIMING, Arc::new(handler), Arc::new(|_| {}));
    (address, fulmarrill_runtime::spawn(serving))
}

async fn connect(address: &str) -> PeerLink<TextProtocol> {
    let link = PeerLink::connect(address, "h1", TIMING, deadline());
    link.await.unwrap()
}

/// Connects a link to a server under the control of the test.
async fn connect_scripted() -> (PeerLink<TextProtocol>, WireStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let accept = async {
        let (stream, _) = listener.accept().await.unwrap();
        let mut stream = accept_async(stream.compat()).await.unwrap();
        assert_eq!(receive(&mut stream).await, hello("h1"));
        stream
    };
    zip(connect(&address), accept).await
}

async fn connect_raw(address: &str) -> WireStream {
    let stream = TcpStream::connect(address).await.unwrap();
    let url = format!("ws://{address}/peer");
    client_async(url, stream.compat()).await.unwrap().0
}

#[test]
fn reply_too_large_for_the_link_loses_no_other_call() {
    smol::block_on(async {
        let (address, _server) = serve().await;
        let link = connect(&address).await;
        let other = link.call("slow".to_owned(), deadline());
        let large = link.call("large".to_owned(), deadline());
        let (other, large) = zip(other, large).await;
        assert_eq!(other.unwrap(), "h1: slow");
        let error = large.unwrap_err();
        assert!(matches!(error, LinkError::NoReply(_)), "{error}");
        assert!(error.may_have_arrived());
        assert!(!link.is_closed());
    });
}

#[test]
fn call_too_large_for_the_link_is_not_sent() {
    smol::block_on(async {
        let (address, _server) = serve().await;
        let link = connect(&address).await;
        let other = link.call("slow".to_owned(), deadline());
        let large = link.call("x".repeat(TOO_LARGE), deadline());
        let (other, large) = zip(other, large).await;
        assert_eq!(other.unwrap(), "h1: slow");
        assert!(!large.unwrap_err().may_have_arrived());
        assert!(!link.is_closed());
    });
}

#[test]
fn second_reply_and_replies_without_a_call_are_given_to_nobody() {
    smol::block_on(async {
        let (link, mut server) = connect_scripted().await;
        let script = async {
            let WireFrame::Call { id, .. } = receive(&mut server).await else {
                panic!("a call is expected");
            };
            // The number of the next call, a reply for it before it is made.
            send(&mut server, &reply(id + 1, "early")).await;
            send(&mut server, &hello("h9")).await;
            send(&mut server, &call(id, "a call the other way")).await;
            send(&mut server, &reply(id, "first")).await;
            send(&mut server, &reply(id, "second")).await;
            let WireFrame::Call { id: next_id, .. } = receive(&mut server).await else {
                panic!("a call is expected");
            };
            assert_ne!(id, next_id);
            send(&mut server, &reply(id, "third")).await;
            send(&mut server, &reply(next_id, "own")).await;
        };
        let calls = async {
            let first = link.call("a".to_owned(), deadline()).await.unwrap();
            Timer::after(SLOW_REPLY_TIME).await;
            (first, link.call("b".to_owned(), deadline()).await.unwrap())
        };
        let (replies, ()) = zip(calls, script).await;
        assert_eq!(replies, ("first".to_owned(), "own".to_owned()));
    });
}

#[test]
fn replies_in_another_order_reach_their_calls() {
    smol::block_on(async {
        let (link, mut server) = connect_scripted().await;
        let script = async {
            let mut calls = Vec::new();
            for _ in 0..3 {
                calls.push(receive(&mut server).await);
            }
            for frame in calls.into_iter().rev() {
                let WireFrame::Call { id, call } = frame else {
                    panic!("a call is expected");
                };
                send(&mut server, &reply(id, &call)).await;
            }
        };
        let call = |text: &str| link.call(text.to_owned(), deadline());
        let calls = zip(call("a"), zip(call("b"), call("c")));
        let ((a, (b, c)), ()) = zip(calls, script).await;
        assert_eq!((a.unwrap(), b.unwrap(), c.unwrap()), {
            ("a".to_owned(), "b".to_owned(), "c".to_owned())
        });
    });
}

#[test]
fn reply_to_a_call_that_was_given_up_is_given_to_nobody() {
    smol::block_on(async {
        let (address, _server) = serve().await;
        let link = connect(&address).await;
        let soon = Instant::now() + SLOW_REPLY_TIME / 4;
        let error = link.call("slow a".to_owned(), soon).await.unwrap_err();
        assert!(error.may_have_arrived());
        let given_up = link.call("slow b".to_owned(), deadline());
        futures_lite::future::poll_once(given_up).await;
        let next = link.call("slow c".to_owned(), deadline()).await;
        assert_eq!(next.unwrap(), "h1: slow c");
    });
}

/// Both links number their calls alike.
#[test]
fn reply_to_a_call_of_an_earlier_link_is_not_sent_on_a_later_one() {
    smol::block_on(async {
        let (address, _server) = serve().await;
        let earlier = connect(&address).await;
        let soon = Instant::now() + SLOW_REPLY_TIME / 4;
        earlier.call("slow a".to_owned(), soon).await.unwrap_err();
        drop(earlier);
        let later = connect(&address).await;
        let own = later.call("slow b".to_owned(), deadline()).await;
        assert_eq!(own.unwrap(), "h1: slow b");
    });
}

#[test]
fn second_hello_does_not_rename_the_caller() {
    smol::block_on(async {
        let (address, _server) = serve().await;
        let mut stream = connect_raw(&address).await;
        send(&mut stream, &hello("h1")).await;
        send(&mut stream, &hello("h2")).await;
        send(&mut stream, &call(7, "a")).await;
        assert_eq!(receive(&mut stream).await, reply(7, "h1: a"));
    });
}

#[test]
fn link_that_does_not_begin_with_a_hello_is_refused() {
    smol::block_on(async {
        let (address, _server) = serve().await;
        let mut stream = connect_raw(&address).await;
        send(&mut stream, &call(1, "a")).await;
        let answer = stream.next().await;
        assert!(!matches!(answer, Some(Ok(Message::Binary(_)))));
    });
}

/// Frames of another version of the program.
#[derive(Debug, Serialize)]
enum OddFrame {
    Call { id: u64, call: Vec<u64> },
    Reply { id: u64, reply: Vec<u64> },
}

async fn send_odd(stream: &mut WireStream, frame: &OddFrame) {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).unwrap();
    stream.send(Message::binary(bytes)).await.unwrap();
}

/// Guards against one reply that cannot be read and ends every call on its link.
#[test]
fn reply_that_cannot_be_read_costs_its_call_alone() {
    smol::block_on(async {
        let (link, mut server) = connect_scripted().await;
        let script = async {
            let mut ids = Vec::new();
            for _ in 0..2 {
                let WireFrame::Call { id, .. } = receive(&mut server).await else {
                    panic!("a call is expected");
                };
                ids.push(id);
            }
            let (id, reply_numbers) = (ids[0], vec![1; 5000]);
            let odd = OddFrame::Reply {
                id,
                reply: reply_numbers,
            };
            send_odd(&mut server, &odd).await;
            send(&mut server, &reply(ids[1], "whole")).await;
        };
        let call = |text: &str| link.call(text.to_owned(), deadline());
        let ((odd, whole), ()) = zip(zip(call("a"), call("b")), script).await;
        assert!(matches!(odd.unwrap_err(), LinkError::NoReply(_)));
        assert_eq!(whole.unwrap(), "whole");
        assert!(!link.is_closed());
    });
}

/// Guards against one call that cannot be read and ends every call on its link; its caller is told.
#[test]
fn call_that_cannot_be_read_costs_itself_alone() {
    smol::block_on(async {
        let (address, _server) = serve().await;
        let mut caller = connect_raw(&address).await;
        send(&mut caller, &hello("h9")).await;
        let odd = OddFrame::Call {
            id: 1,
            call: vec![1; 5000],
        };
        send_odd(&mut caller, &odd).await;
        send(&mut caller, &call(2, "b")).await;
        let mut answers = Vec::new();
        while answers.len() < 2 {
            if let Message::Binary(bytes) = caller.next().await.unwrap().unwrap() {
                let answer: ciborium::Value = ciborium::from_reader(&bytes[..]).unwrap();
                answers.push(format!("{answer:?}"));
            }
        }
        assert!(answers[0].contains("NoReply"), "{answers:?}");
        assert!(answers[1].contains("h9: b"), "{answers:?}");
    });
}
