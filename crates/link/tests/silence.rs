//! A link whose peer stops answering is closed early; a slow reply is awaited.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fulmarrill_link::{LinkProtocol, LinkTiming, PeerLink, serve_links};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

#[derive(Debug)]
struct DelayProtocol;

impl LinkProtocol for DelayProtocol {
    const VERSION: u16 = 1;
    type Call = u64;
    type Reply = u64;
    type WireCall = u64;
    type WireReply = u64;
}

/// Ping interval and receive timeout exceed the tests, so that only the timeout
/// of a waiting call takes effect.
const TIMING: LinkTiming = LinkTiming::new(Duration::from_secs(50), Duration::from_secs(90))
    .with_call_receive_timeout(Duration::from_millis(600));
/// Time from connecting to the deadline of the calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a server that answers a call after the milliseconds that it names.
async fn serve() -> (String, smol::Task<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let handler = |_from, wait_ms| async move {
        Timer::after(Duration::from_millis(wait_ms)).await;
        wait_ms
    };
    let serving =
        serve_links::<DelayProtocol, _, _>(listener, TIMING, Arc::new(handler), Arc::new(|_| {}));
    (address, fulmarrill_runtime::spawn(serving))
}

/// Forwards bytes, and discards them once `silent` is set.
async fn forward_bytes(mut from: TcpStream, mut to: TcpStream, silent: Arc<AtomicBool>) {
    let mut bytes = [0; 1024];
    while let Ok(count) = from.read(&mut bytes).await
        && count > 0
    {
        if !silent.load(Ordering::SeqCst) && to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

/// Starts a TCP forwarder to `target` that discards all bytes once `silent` is set.
async fn start_forwarder(target: String, silent: Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    fulmarrill_runtime::spawn(async move {
        let (client, _) = listener.accept().await.unwrap();
        let server = TcpStream::connect(target.as_str()).await.unwrap();
        let up = forward_bytes(client.clone(), server.clone(), silent.clone());
        futures_lite::future::zip(up, forward_bytes(server, client, silent)).await;
    })
    .detach();
    address
}

#[test]
fn slow_reply_on_a_live_link_is_waited_for() {
    smol::block_on(async {
        let (address, _server) = serve().await;
        let deadline = Instant::now() + CALL_TIMEOUT;
        let link = PeerLink::<DelayProtocol>::connect(&address, "h1", TIMING, deadline);
        let link = link.await.unwrap();
        assert_eq!(link.call(2500, deadline).await.unwrap(), 2500);
        assert!(!link.is_closed());
    });
}

#[test]
fn silent_link_is_closed_long_before_the_deadline() {
    smol::block_on(async {
        let (address, _server) = serve().await;
        let silent = Arc::new(AtomicBool::new(false));
        let address = start_forwarder(address, silent.clone()).await;
        let deadline = Instant::now() + CALL_TIMEOUT;
        let link = PeerLink::<DelayProtocol>::connect(&address, "h1", TIMING, deadline);
        let link = link.await.unwrap();
        assert_eq!(link.call(1, deadline).await.unwrap(), 1);
        silent.store(true, Ordering::SeqCst);
        let error = link.call(1, deadline).await.unwrap_err();
        assert!(error.may_have_arrived());
        assert!(link.is_closed());
        assert!(
            Instant::now() + CALL_TIMEOUT / 2 < deadline,
            "the wait was too long"
        );
    });
}
