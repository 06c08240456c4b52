//! A small HTTP/1.1 server and client on smol.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use fulmarrill_http::{HttpResponse, HttpClient, Method, serve_http};
//!
//! smol::block_on(async {
//!     let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
//!     let address = listener.local_addr().unwrap();
//!     let hello = |_request| async { HttpResponse::text(200, "hello") };
//!     let server = fulmarrill_runtime::spawn(serve_http(listener, hello));
//!     let client = HttpClient::new(&address.to_string());
//!     let deadline = Instant::now() + Duration::from_secs(5);
//!     let response = client.request(Method::GET, "/", Vec::new(), deadline).await.unwrap();
//!     assert_eq!(response.body, b"hello");
//!     drop(server);
//! });
//! ```
//!
//! `hyper` implements the protocol; this crate connects it to smol's sockets and
//! gives every client request a deadline.

mod client;
mod server;

pub use hyper::Method;
pub use hyper::header::{HeaderMap, HeaderValue};

pub use crate::client::{HttpClient, HttpError};
pub use crate::server::{HttpLimits, HttpRequest, HttpResponse, serve_http, serve_http_within};
