//! A link whose other end has gone silent, and one that is only slow.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fulmarrill_link::{LinkProtocol, LinkTiming, PeerLink, serve_links};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

#[derive(Debug)]
struct TimeProtocol;

impl LinkProtocol for TimeProtocol {
    const VERSION: u16 = 1;
    type Call = u64;
    type Reply = u64;
    type WireCall = u64;
    type WireReply = u64;
}

/// Probes too rarely to matter here.
const TIMING: LinkTiming = LinkTiming::new(Duration::from_secs(50), Duration::from_secs(90))
    .with_call_receive_timeout(Duration::from_millis(600));
/// Time that a call may take at most.
const CALL_TIME: Duration = Duration::from_secs(30);

/// Serves calls that are answered after as many milliseconds as they say.
async fn serve() -> (String, smol::Task<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let handler = |_from, wait_ms| async move {
        Timer::after(Duration::from_millis(wait_ms)).await;
        wait_ms
    };
    let serving =
        serve_links::<TimeProtocol, _, _>(listener, TIMING, Arc::new(handler), Arc::new(|_| {}));
    (address, fulmarrill_runtime::spawn(serving))
}

/// Passes bytes on until `silent` is set, and then swallows them.
async fn pass_on(mut from: TcpStream, mut to: TcpStream, silent: Arc<AtomicBool>) {
    let mut bytes = [0; 1024];
    while let Ok(count) = from.read(&mut bytes).await
        && count > 0
    {
        if !silent.load(Ordering::SeqCst) && to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

/// Stands between a caller and `target`, and can fall silent.
async fn stand_between(target: String, silent: Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    fulmarrill_runtime::spawn(async move {
        let (near, _) = listener.accept().await.unwrap();
        let far = TcpStream::connect(target.as_str()).await.unwrap();
        let up = pass_on(near.clone(), far.clone(), silent.clone());
        futures_lite::future::zip(up, pass_on(far, near, silent)).await;
    })
    .detach();
    address
}

#[test]
fn slow_reply_on_a_live_link_is_waited_for() {
    smol::block_on(async {
        let (address, _server) = serve().await;
        let deadline = Instant::now() + CALL_TIME;
        let link = PeerLink::<TimeProtocol>::connect(&address, "h1", TIMING, deadline);
        let link = link.await.unwrap();
        assert_eq!(link.call(2500, deadline).await.unwrap(), 2500);
        assert!(!link.is_closed());
    });
}

#[test]
fn silent_link_is_given_up_long_before_the_deadline() {
    smol::block_on(async {
        let (address, _server) = serve().await;
        let silent = Arc::new(AtomicBool::new(false));
        let address = stand_between(address, silent.clone()).await;
        let deadline = Instant::now() + CALL_TIME;
        let link = PeerLink::<TimeProtocol>::connect(&address, "h1", TIMING, deadline);
        let link = link.await.unwrap();
        assert_eq!(link.call(1, deadline).await.unwrap(), 1);
        silent.store(true, Ordering::SeqCst);
        let error = link.call(1, deadline).await.unwrap_err();
        assert!(error.may_have_arrived());
        assert!(link.is_closed());
        assert!(
            Instant::now() + CALL_TIME / 2 < deadline,
            "the wait was too long"
        );
    });
}
