//! Messages and links between hosts.
//!
//! ```no_run
//! use std::sync::Arc;
//! use std::time::{Duration, Instant};
//! use fulmarrill_peer::{PeerCall, PeerLink, PeerReply, serve_peers};
//!
//! smol::block_on(async {
//!     let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
//!     let address = listener.local_addr().unwrap().to_string();
//!     let handler = |_from, _call| async { PeerReply::Done };
//!     let server = fulmarrill_runtime::spawn(serve_peers(listener, Arc::new(handler), Arc::new(|_| {})));
//!     let link = PeerLink::connect(&address, "h1", Instant::now() + Duration::from_secs(1));
//!     let link = link.await.unwrap();
//!     let deadline = Instant::now() + Duration::from_secs(1);
//!     link.call(PeerCall::Probe, deadline).await.unwrap();
//!     drop(server);
//! });
//! ```
//!
//! A link is a WebSocket connection that carries CBOR messages. Calls are
//! numbered and so are their replies, so that replies may come in any order.
//! A link on which nothing is heard for a while is given up, and every call
//! that waits on it learns that its outcome is unknown.

mod link;
mod message;
mod server;
mod wire;

pub use crate::link::{LinkError, PeerLink};
pub use crate::message::{
    ControlDocument, ControlGroup, ControlHosts, ControlNews, ControlVersions, HostHint,
    NotRunReason, PeerCall, PeerReply, PinId, PreparedParse, RecordBatch, WorkAnswer, WorkKind,
    WorkRequest,
};
pub use crate::server::serve_peers;
