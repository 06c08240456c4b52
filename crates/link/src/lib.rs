//! Numbered calls between hosts over one WebSocket connection.
//!
//! ```no_run
//! use std::sync::Arc;
//! use std::time::{Duration, Instant};
//! use fulmarrill_link::{LinkProtocol, LinkTiming, PeerLink, serve_links};
//!
//! #[derive(Debug)]
//! struct EchoProtocol;
//! impl LinkProtocol for EchoProtocol {
//!     const VERSION: u16 = 1;
//!     type Call = u64;
//!     type Reply = u64;
//!     type WireCall = u64;
//!     type WireReply = u64;
//! }
//!
//! smol::block_on(async {
//!     let timing = LinkTiming::new(Duration::from_millis(150), Duration::from_millis(600));
//!     let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
//!     let address = listener.local_addr().unwrap().to_string();
//!     let handler = |_from, call| async move { call + 1 };
//!     let serving = serve_links::<EchoProtocol, _, _>(listener, timing, Arc::new(handler), Arc::new(|_| {}));
//!     let server = fulmarrill_runtime::spawn(serving);
//!     let deadline = Instant::now() + Duration::from_secs(1);
//!     let link = PeerLink::<EchoProtocol>::connect(&address, "h1", timing, deadline);
//!     let link = link.await.unwrap();
//!     assert_eq!(link.call(1, deadline).await.unwrap(), 2);
//!     drop(server);
//! });
//! ```

mod client;
mod frame;
mod pieces;
mod server;
mod stream;

pub use crate::client::{LinkError, LinkTiming, PeerLink};
pub use crate::frame::{LinkProtocol, WireError};
pub use crate::server::serve_links;
