//! Large replies on a slow connection, beside small calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarrill_link::{LinkProtocol, LinkTiming, PeerLink, serve_links};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;
use rustix::net::sockopt;
use serde_bytes::ByteBuf;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

#[derive(Debug)]
struct SizeProtocol;

impl LinkProtocol for SizeProtocol {
    const VERSION: u16 = 1;
    type Call = usize;
    type Reply = ByteBuf;
    type WireCall = usize;
    type WireReply = ByteBuf;
}

/// Timing of the links between hosts of the proxy.
const TIMING: LinkTiming = LinkTiming::new(Duration::from_secs(2), Duration::from_millis(4400))
    .with_call_receive_timeout(Duration::from_millis(600));
/// 10 Mbit/s.
const BYTES_PER_MS: usize = 1250;
/// Bytes that the slow connection holds, at most a few times this.
const WINDOW_BYTES: usize = 32 << 10;
const TICK: Duration = Duration::from_millis(4);
const LARGE_BYTES: usize = 3 << 20;

/// Forwards bytes, no more than the connection carries.
async fn forward_slowly(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = vec![0; BYTES_PER_MS * 4];
    let mut next_at = Instant::now();
    while let Ok(count) = from.read(&mut bytes).await
        && count > 0
    {
        next_at = next_at.max(Instant::now()) + TICK;
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
        Timer::at(next_at).await;
    }
}

/// Starts a server that answers with as many bytes as are asked for, behind a slow connection.
async fn serve() -> (String, Vec<smol::Task<()>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    let handler = |_from, size| async move { ByteBuf::from(vec![7; size]) };
    let serving =
        serve_links::<SizeProtocol, _, _>(listener, TIMING, Arc::new(handler), Arc::new(|_| {}));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let forwarding = async move {
        let (client, _) = listener.accept().await.unwrap();
        let server = TcpStream::connect(target).await.unwrap();
        sockopt::set_socket_recv_buffer_size(&server, WINDOW_BYTES).unwrap();
        let up = forward_slowly(client.clone(), server.clone());
        futures_lite::future::zip(up, forward_slowly(server, client)).await;
    };
    let tasks = vec![
        fulmarrill_runtime::spawn(serving),
        fulmarrill_runtime::spawn(forwarding),
    ];
    (address, tasks)
}

async fn connect(address: &str) -> PeerLink<SizeProtocol> {
    let deadline = Instant::now() + Duration::from_secs(5);
    let link = PeerLink::connect(address, "h1", TIMING, deadline);
    link.await.unwrap()
}

/// Guards against a link that is closed, with all calls on it, because a message takes longer to
/// arrive than the link may be silent; and against small calls that wait behind a large reply.
#[test]
fn large_reply_neither_closes_the_link_nor_holds_up_small_calls() {
    smol::block_on(async {
        let (address, _tasks) = serve().await;
        let link = connect(&address).await;
        let started_at = Instant::now();
        let deadline = started_at + Duration::from_secs(20);
        let large = async {
            let reply = link.call(LARGE_BYTES, deadline).await.unwrap();
            (reply.len(), started_at.elapsed())
        };
        let small = async {
            let mut slowest = Duration::ZERO;
            for _ in 0..8 {
                Timer::after(Duration::from_millis(50)).await;
                let called_at = Instant::now();
                assert_eq!(link.call(100, deadline).await.unwrap().len(), 100);
                slowest = slowest.max(called_at.elapsed());
            }
            (slowest, started_at.elapsed())
        };
        let ((size, large_time), (slowest, small_time)) =
            futures_lite::future::zip(large, small).await;
        println!("large reply after {large_time:?}, slowest small one {slowest:?}");
        assert_eq!(size, LARGE_BYTES);
        assert!(small_time < large_time, "{small_time:?} of {large_time:?}");
        assert!(slowest < TIMING.call_receive_timeout, "{slowest:?}");
    });
}

/// Guards against a large reply that is given up and asked for anew when most of it has arrived.
#[rstest]
#[case::given_up(false)]
#[case::received_to_its_end(true)]
fn reply_that_arrives_is_received_after_the_deadline(#[case] finishes_reply: bool) {
    smol::block_on(async {
        let (address, _tasks) = serve().await;
        let link = connect(&address).await;
        let deadline = Instant::now() + Duration::from_secs(1);
        let reply = if finishes_reply {
            link.call_for_large_reply(LARGE_BYTES, deadline).await
        } else {
            link.call(LARGE_BYTES, deadline).await
        };
        assert_eq!(reply.is_ok(), finishes_reply);
        assert!(!link.is_closed());
    });
}

/// Every size passes, whole or in pieces.
#[test]
fn replies_of_every_size_arrive_whole() {
    smol::block_on(async {
        let (address, _tasks) = serve().await;
        let link = connect(&address).await;
        let deadline = Instant::now() + Duration::from_secs(20);
        for size in [0, 1, 4096, 16_300, 16_384, 16_385, 32_768, 100_000, 1 << 20] {
            let reply = link.call(size, deadline).await.unwrap();
            assert_eq!(reply.len(), size);
            assert!(reply.iter().all(|byte| *byte == 7));
        }
    });
}
