//! A host of a large fleet has links to hundreds of others and little memory.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarrill_link::{LinkProtocol, LinkTiming, PeerLink, serve_links};
use smol::net::TcpListener;

#[derive(Debug)]
struct EchoProtocol;

impl LinkProtocol for EchoProtocol {
    const VERSION: u16 = 1;
    type Call = u64;
    type Reply = u64;
    type WireCall = u64;
    type WireReply = u64;
}

const LINKS: u64 = 200;
/// Largest growth of the resident memory for a link with both its ends, in bytes.
const LINK_BYTES_MAX: u64 = 64 << 10;
const PAGE_BYTES: u64 = 4096;

/// Resident memory of this process, in bytes; pages of 4 KiB are assumed.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = statm.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

#[test]
fn link_takes_little_memory() {
    smol::block_on(async {
        let timing = LinkTiming::new(Duration::from_secs(50), Duration::from_secs(90));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let handler = |_from, call| async move { call };
        let serving = serve_links::<EchoProtocol, _, _>(
            listener,
            timing,
            Arc::new(handler),
            Arc::new(|_| {}),
        );
        let _server = fulmarrill_runtime::spawn(serving);
        let deadline = Instant::now() + Duration::from_mins(1);
        let mut links = Vec::new();
        let before = resident_bytes();
        for index in 0..LINKS {
            let link = PeerLink::<EchoProtocol>::connect(&address, "h1", timing, deadline);
            let link = link.await.unwrap();
            assert_eq!(link.call(index, deadline).await.unwrap(), index);
            links.push(link);
        }
        let grown = resident_bytes().saturating_sub(before);
        assert!(
            grown / LINKS <= LINK_BYTES_MAX,
            "{} bytes a link",
            grown / LINKS
        );
    });
}
