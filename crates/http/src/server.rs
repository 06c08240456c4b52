//! HTTP server that passes every request to one handler closure.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

/// Largest request body accepted, in bytes.
const BODY_BYTES_MAX: usize = 4 << 20;

/// Pause after a connection could not be accepted, for example because the process
/// has too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

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
    /// Body, at most 4 MiB.
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
/// which also drops the open connections.
pub async fn serve_http<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(HttpRequest) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let handler = Arc::new(handler);
    let executor = smol::Executor::new();
    executor
        .run(async {
            loop {
                let stream = match listener.accept().await {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        log::warn!("an HTTP connection cannot be accepted: {error}");
                        Timer::after(ACCEPT_RETRY_DELAY).await;
                        continue;
                    }
                };
                executor
                    .spawn(serve_connection(stream, handler.clone()))
                    .detach();
            }
        })
        .await;
}

async fn serve_connection<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(HttpRequest) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    stream.set_nodelay(true).ok();
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handle_request(request, &*handler).await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .serve_connection(FuturesIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("HTTP connection ended: {error}");
    }
}

async fn handle_request<H, F>(request: Request<Incoming>, handler: &H) -> Response<Full<Bytes>>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpResponse>,
{
    let (parts, body) = request.into_parts();
    let response = match Limited::new(body, BODY_BYTES_MAX).collect().await {
        Err(error) => HttpResponse::text(413, format!("request body not accepted: {error}\n")),
        Ok(body) => {
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
