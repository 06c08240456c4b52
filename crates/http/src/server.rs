//! HTTP server that passes every request to one handler closure.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};

/// Largest request body accepted, in bytes.
const BODY_BYTES_MAX: usize = 4 << 20;

/// Pause after a connection could not be accepted, for example because the process
/// has too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Limits on what the clients of a server can make it hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Connections at the same time. Beyond it, the oldest one is closed.
    pub connections: usize,
    /// Largest head of a request, in bytes; at least 8 KiB.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time for a connection to send the whole head of its next request.
    pub head_time: Duration,
    /// Time from the head of a request to the end of its body.
    pub body_time: Duration,
}

impl HttpLimits {
    /// Limits of a server whose clients are trusted: only the size of a request.
    pub const TRUSTED: Self = Self {
        connections: usize::MAX,
        head_bytes: 400 << 10,
        body_bytes: BODY_BYTES_MAX,
        head_time: Duration::from_secs(30),
        body_time: Duration::from_mins(10),
    };
    /// Limits of pages that are only read. A probe or an operator has at most a few
    /// connections, and requests of some hundred bytes.
    pub const PAGES: Self = Self {
        connections: 24,
        head_bytes: 16 << 10,
        body_bytes: 16 << 10,
        head_time: Duration::from_secs(20),
        body_time: Duration::from_secs(5),
    };
}

/// A request whose body was read completely.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query, such as `/v1/hosts`.
    pub path: CompactString,
    /// Query without the question mark.
    pub query: CompactString,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, of limited size.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the value of the first query parameter called `name`, without
    /// percent-decoding.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&str> {
        for pair in self.query.split('&') {
            if let Some((key, value)) = pair.split_once('=')
                && key == name
            {
                return Some(value);
            }
        }
        None
    }
}

/// A response with its whole body.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status code. An invalid code is sent as 500.
    pub status: u16,
    /// Value of `Content-Type`. In a response that the client received it is always
    /// `application/json`, as the client does not read the header.
    pub content_type: &'static str,
    /// Further headers; in a response that the client received, all of them.
    pub headers: HeaderMap,
    /// Bytes of the body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Creates a response with plain text.
    #[must_use]
    pub fn text(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// Creates a response with JSON that is already serialized.
    #[must_use]
    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            content_type: "application/json",
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// Creates a response with an HTML page.
    #[must_use]
    pub fn html(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            content_type: "text/html; charset=utf-8",
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }
}

/// Serves every connection of `listener` until the returned future is dropped,
/// which also drops the open connections. The clients are trusted.
pub async fn serve_http<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(HttpRequest) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    serve_http_within(listener, HttpLimits::TRUSTED, handler).await;
}

/// Like [`serve_http`], for clients that are not trusted.
pub async fn serve_http_within<H, F>(listener: TcpListener, limits: HttpLimits, handler: H)
where
    H: Fn(HttpRequest) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let handler = Arc::new(handler);
    let executor = smol::Executor::new();
    executor
        .run(async {
            // By the order in which they were accepted.
            let mut open: BTreeMap<u64, Task<()>> = BTreeMap::new();
            for number in 0.. {
                let stream = match listener.accept().await {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        log::warn!("an HTTP connection cannot be accepted: {error}");
                        Timer::after(ACCEPT_RETRY_DELAY).await;
                        continue;
                    }
                };
                open.retain(|_, connection| !connection.is_finished());
                if open.len() >= limits.connections
                    && let Some((_, oldest)) = open.pop_first()
                {
                    oldest.cancel().await;
                }
                let connection = serve_connection(stream, limits, handler.clone());
                open.insert(number, executor.spawn(connection));
            }
        })
        .await;
}

async fn serve_connection<H, F>(stream: TcpStream, limits: HttpLimits, handler: Arc<H>)
where
    H: Fn(HttpRequest) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    stream.set_nodelay(true).ok();
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handle_request(request, limits, &*handler).await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .max_buf_size(limits.head_bytes)
        .header_read_timeout(limits.head_time)
        .serve_connection(FuturesIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("HTTP connection ended: {error}");
    }
}

async fn handle_request<H, F>(
    request: Request<Incoming>,
    limits: HttpLimits,
    handler: &H,
) -> Response<Full<Bytes>>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpResponse>,
{
    let (parts, body) = request.into_parts();
    let collecting = async { Some(Limited::new(body, limits.body_bytes).collect().await) };
    let late = async {
        Timer::after(limits.body_time).await;
        None
    };
    let response = match collecting.or(late).await {
        None => HttpResponse::text(408, "the request body did not arrive in time\n"),
        Some(Err(error)) => {
            HttpResponse::text(413, format!("request body not accepted: {error}\n"))
        }
        Some(Ok(body)) => {
            let request = HttpRequest {
                method: parts.method,
                path: parts.uri.path().into(),
                query: parts.uri.query().unwrap_or_default().into(),
                headers: parts.headers,
                body: body.to_bytes().to_vec(),
            };
            handler(request).await
        }
    };
    let mut hyper_response = Response::new(Full::new(Bytes::from(response.body)));
    *hyper_response.status_mut() =
        StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *hyper_response.headers_mut() = response.headers;
    let content_type = HeaderValue::from_static(response.content_type);
    hyper_response
        .headers_mut()
        .insert(CONTENT_TYPE, content_type);
    hyper_response
}
