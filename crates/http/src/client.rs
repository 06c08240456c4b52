//! HTTP client whose requests each have a deadline.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use rustix::net::sockopt;
use smol::Timer;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use thiserror::Error;

use crate::server::HttpResponse;

/// Time without a received packet after which a connection is probed, and between
/// two probes; whole seconds.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as lost.
const KEEP_ALIVE_PROBES: u32 = 2;

/// Lets the operating system end a connection that has gone silent, so that a long
/// poll on it fails before its deadline.
fn enable_keep_alive(stream: &TcpStream) -> rustix::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEP_ALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEP_ALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEP_ALIVE_PROBES)
}

/// Why a request got no response.
///
/// After [`HttpError::Connection`] and [`HttpError::TimedOut`] the server may
/// still have processed the request.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The server could not be reached; nothing was sent.
    #[error("{address}: cannot connect: {source}")]
    Connect {
        /// Address of the server.
        address: CompactString,
        /// The socket's error.
        source: io::Error,
    },
    /// The connection failed before the whole response was received.
    #[error("{0}: connection failed: {1}")]
    Connection(CompactString, hyper::Error),
    /// No whole response was received before the deadline.
    #[error("{0}: no answer before the deadline")]
    TimedOut(CompactString),
    /// The request is not valid HTTP, such as a malformed path; nothing was sent.
    #[error("request cannot be sent: {0}")]
    Request(#[from] hyper::http::Error),
}

/// Lets the operating system drop what was sent and not acknowledged when a connection is
/// closed, also by the end of the process, or has gone silent for `silence`.
fn discard_unsent(stream: &TcpStream, silence: Duration) -> rustix::io::Result<()> {
    let silence_ms = u32::try_from(silence.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
    sockopt::set_tcp_user_timeout(stream, silence_ms)
}

/// A connection, which ends at once when it is dropped.
#[derive(Debug)]
struct HttpConnection {
    // Dropped first: without a sender the task would close the stream in order.
    _task: smol::Task<()>,
    sender: SendRequest<Full<Bytes>>,
}

/// A client of one server that keeps one idle connection for reuse.
#[derive(Debug)]
pub struct HttpClient {
    address: CompactString,
    idle: Mutex<Option<HttpConnection>>,
    /// Time after which a silent connection is reset; none if connections are closed in
    /// order.
    reset_after: Option<Duration>,
}

impl HttpClient {
    /// Creates a client of the server at `address`, in the form `IP:PORT`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            address: address.into(),
            idle: Mutex::new(None),
            reset_after: None,
        }
    }

    /// Resets connections in place of closing them, also when nothing is acknowledged on
    /// one for `silence`. A request that is given up while it is held up on its way then
    /// does not arrive later.
    #[must_use]
    pub fn with_reset(mut self, silence: Duration) -> Self {
        self.reset_after = Some(silence);
        self
    }

    /// Returns the address that the client was created with.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends one request and reads the whole response.
    ///
    /// # Errors
    ///
    /// If no whole response is received before `deadline`.
    pub async fn request(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        deadline: Instant,
    ) -> Result<HttpResponse, HttpError> {
        self.request_with_headers(method, path, &[], body, deadline)
            .await
    }

    /// Like [`HttpClient::request`], with additional headers.
    ///
    /// # Errors
    ///
    /// If no whole response is received before `deadline`.
    pub async fn request_with_headers(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        deadline: Instant,
    ) -> Result<HttpResponse, HttpError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.as_str())
            .header(CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body)))?;
        let timeout = async {
            Timer::at(deadline).await;
            Err(HttpError::TimedOut(self.address.clone()))
        };
        self.exchange(request).or(timeout).await
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpResponse, HttpError> {
        let mut connection = self.take_or_connect().await?;
        let failed = |error| HttpError::Connection(self.address.clone(), error);
        let sending = connection.sender.send_request(request);
        let response = sending.await.map_err(failed)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(failed)?;
        self.put_back(connection);
        let mut response = HttpResponse::json(parts.status.as_u16(), body.to_bytes().to_vec());
        response.headers = parts.headers;
        Ok(response)
    }

    async fn take_or_connect(&self) -> Result<HttpConnection, HttpError> {
        let idle = self.idle.lock().ok().and_then(|mut idle| idle.take());
        if let Some(mut connection) = idle
            && connection.sender.ready().await.is_ok()
        {
            return Ok(connection);
        }
        let failed = |source| HttpError::Connect {
            address: self.address.clone(),
            source,
        };
        let address: SocketAddr = self
            .address
            .parse()
            .map_err(|error| failed(io::Error::other(error)))?;
        let stream = TcpStream::connect(address).await.map_err(failed)?;
        stream.set_nodelay(true).ok();
        if let Err(error) = enable_keep_alive(&stream) {
            log::warn!("{address}: keep-alive probes cannot be enabled: {error}");
        }
        if let Some(silence) = self.reset_after {
            discard_unsent(&stream, silence).map_err(|error| failed(error.into()))?;
        }
        let (sender, connection) = handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| HttpError::Connection(self.address.clone(), error))?;
        let task = fulmarrill_runtime::spawn(async move {
            connection.await.ok();
        });
        Ok(HttpConnection {
            _task: task,
            sender,
        })
    }

    fn put_back(&self, connection: HttpConnection) {
        if let Ok(mut idle) = self.idle.lock() {
            *idle = Some(connection);
        }
    }
}
