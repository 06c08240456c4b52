//! A link whose peer stops answering is closed early; a slow reply is awaited.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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

/// Counts the bytes that pass each way.
async fn count_bytes(mut from: TcpStream, mut to: TcpStream, count: Arc<AtomicUsize>) {
    let mut bytes = [0; 1024];
    while let Ok(length) = from.read(&mut bytes).await
        && length > 0
    {
        count.fetch_add(1, Ordering::SeqCst);
        if to.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}

/// A fleet has thousands of idle links, each pinged again and again. Only one side
/// pings, and its pings keep the link alive for both.
#[test]
fn idle_link_stays_open_by_the_pings_of_one_side() {
    smol::block_on(async {
        let timing = LinkTiming::new(Duration::from_millis(200), Duration::from_secs(2));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = listener.local_addr().unwrap();
        let handler = |_from, call: u64| async move { call };
        let is_closed = Arc::new(AtomicBool::new(false));
        let closed = is_closed.clone();
        let on_close = move |_| closed.store(true, Ordering::SeqCst);
        let serving = serve_links::<DelayProtocol, _, _>(
            listener,
            timing,
            Arc::new(handler),
            Arc::new(on_close),
        );
        let _server = fulmarrill_runtime::spawn(serving);
        let forwarder = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = forwarder.local_addr().unwrap().to_string();
        let (up, down) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (up_count, down_count) = (up.clone(), down.clone());
        let _forwarding = fulmarrill_runtime::spawn(async move {
            let (client, _) = forwarder.accept().await.unwrap();
            let server = TcpStream::connect(target).await.unwrap();
            let sent = count_bytes(client.clone(), server.clone(), up_count);
            futures_lite::future::zip(sent, count_bytes(server, client, down_count)).await;
        });
        let deadline = Instant::now() + CALL_TIMEOUT;
        let link = PeerLink::<DelayProtocol>::connect(&address, "h1", timing, deadline);
        let link = link.await.unwrap();
        assert_eq!(link.call(0, deadline).await.unwrap(), 0);
        let (up_before, down_before) = (up.load(Ordering::SeqCst), down.load(Ordering::SeqCst));
        Timer::after(Duration::from_secs(5)).await;
        assert!(!link.is_closed());
        assert!(!is_closed.load(Ordering::SeqCst));
        let pings = up.load(Ordering::SeqCst) - up_before;
        let answers = down.load(Ordering::SeqCst) - down_before;
        // A ping in 200 ms at most, and a pong for each.
        assert!((3..=25).contains(&pings), "{pings}");
        assert!(answers <= pings, "{answers} {pings}");
    });
}
