//! Responses are paired with requests by their order on a connection, against
//! scripted peers.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fulmarrill_http::{HttpClient, HttpError, HttpResponse, Method, serve_http};
use futures_lite::future::zip;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

/// Time for bytes that were sent to arrive on the loopback interface.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

fn response(body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// A server under the control of the test.
struct ScriptedServer {
    listener: TcpListener,
    client: HttpClient,
}

impl ScriptedServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = HttpClient::new(&listener.local_addr().unwrap().to_string());
        Self { listener, client }
    }

    async fn accept(&self) -> TcpStream {
        self.listener.accept().await.unwrap().0
    }

    /// Sends a request and returns the body of its response.
    async fn get(&self, path: &str) -> Result<String, HttpError> {
        let request = self
            .client
            .request(Method::GET, path, Vec::new(), deadline());
        Ok(String::from_utf8(request.await?.body).unwrap())
    }
}

/// Reads the head of a request without a body and returns its path.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.unwrap();
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    head.split(' ').nth(1).unwrap().to_owned()
}

/// Answers the request `/a` with `first`, and `/b` on any connection with its own
/// response; returns the result for `/b`.
async fn result_after(first: &[u8], pause: Duration) -> Result<String, HttpError> {
    let server = ScriptedServer::start().await;
    let script = async {
        let mut stream = server.accept().await;
        assert_eq!(read_request(&mut stream).await, "/a");
        stream.write_all(first).await.unwrap();
        let mut next = server.accept().await;
        assert_eq!(read_request(&mut next).await, "/b");
        next.write_all(&response("b")).await.unwrap();
    };
    let requests = async {
        assert_eq!(server.get("/a").await.unwrap(), "a");
        Timer::after(pause).await;
        server.get("/b").await
    };
    let never = async {
        script.await;
        std::future::pending().await
    };
    futures_lite::future::or(requests, never).await
}

#[test]
fn response_given_twice_is_not_taken_for_that_of_the_next_request() {
    smol::block_on(async {
        let twice = [response("a"), response("a")].concat();
        let result = result_after(&twice, ARRIVAL_TIME).await;
        assert_eq!(result.unwrap(), "b");
        for _ in 0..50 {
            match result_after(&twice, Duration::ZERO).await {
                Ok(body) => assert_eq!(body, "b"),
                Err(error) => assert!(matches!(error, HttpError::Connection(..)), "{error}"),
            }
        }
    });
}

#[test]
fn response_on_an_idle_connection_is_not_taken_for_that_of_the_next_request() {
    smol::block_on(async {
        let server = ScriptedServer::start().await;
        let script = async {
            let mut stream = server.accept().await;
            read_request(&mut stream).await;
            stream.write_all(&response("a")).await.unwrap();
            Timer::after(ARRIVAL_TIME).await;
            stream.write_all(&response("late")).await.unwrap();
            let mut next = server.accept().await;
            assert_eq!(read_request(&mut next).await, "/b");
            next.write_all(&response("b")).await.unwrap();
        };
        let requests = async {
            assert_eq!(server.get("/a").await.unwrap(), "a");
            Timer::after(ARRIVAL_TIME * 3).await;
            assert_eq!(server.get("/b").await.unwrap(), "b");
        };
        zip(script, requests).await;
    });
}

#[test]
fn response_to_a_request_that_was_given_up_reaches_no_other() {
    smol::block_on(async {
        let server = ScriptedServer::start().await;
        let script = async {
            let mut stream = server.accept().await;
            read_request(&mut stream).await;
            Timer::after(ARRIVAL_TIME * 2).await;
            // The client may have closed the connection already.
            stream.write_all(&response("a")).await.ok();
            let mut next = server.accept().await;
            assert_eq!(read_request(&mut next).await, "/b");
            next.write_all(&response("b")).await.unwrap();
        };
        let requests = async {
            let soon = Instant::now() + ARRIVAL_TIME;
            let given_up = server.client.request(Method::GET, "/a", Vec::new(), soon);
            assert!(matches!(given_up.await, Err(HttpError::TimedOut(_))));
            assert_eq!(server.get("/b").await.unwrap(), "b");
        };
        zip(script, requests).await;
    });
}

#[test]
fn response_that_ends_with_its_connection_is_whole() {
    smol::block_on(async {
        let server = ScriptedServer::start().await;
        let script = async {
            let mut stream = server.accept().await;
            read_request(&mut stream).await;
            let head = b"HTTP/1.1 200 OK\r\n\r\none";
            stream.write_all(head).await.unwrap();
            Timer::after(ARRIVAL_TIME).await;
            stream.write_all(b" two").await.unwrap();
            drop(stream);
            let mut next = server.accept().await;
            read_request(&mut next).await;
            next.write_all(&response("b")).await.unwrap();
        };
        let requests = async {
            assert_eq!(server.get("/a").await.unwrap(), "one two");
            assert_eq!(server.get("/b").await.unwrap(), "b");
        };
        zip(script, requests).await;
    });
}

#[test]
fn response_cut_short_is_an_error() {
    smol::block_on(async {
        let cuts: [&[u8]; 3] = [
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Le",
        ];
        for cut in cuts {
            let server = ScriptedServer::start().await;
            let script = async {
                let mut stream = server.accept().await;
                read_request(&mut stream).await;
                stream.write_all(cut).await.unwrap();
            };
            let (result, ()) = zip(server.get("/a"), script).await;
            assert!(matches!(result, Err(HttpError::Connection(..))));
        }
    });
}

/// Starts a server that responds to each request with its path, the first the
/// slowest, and records the paths.
async fn serve() -> (TcpStream, Arc<Mutex<Vec<String>>>, smol::Task<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let paths = Arc::new(Mutex::new(Vec::new()));
    let recorded = paths.clone();
    let handler = move |request: fulmarrill_http::HttpRequest| {
        recorded.lock().unwrap().push(request.path.to_string());
        async move {
            if request.path == "/slow" {
                Timer::after(ARRIVAL_TIME).await;
            }
            HttpResponse::text(200, request.path.to_string())
        }
    };
    let server = fulmarrill_runtime::spawn(serve_http(listener, handler));
    let stream = TcpStream::connect(address).await.unwrap();
    (stream, paths, server)
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A connection that is reset ends as well.
    stream.read_to_end(&mut bytes).await.ok();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn pipelined_requests_are_answered_in_their_order() {
    smol::block_on(async {
        let (mut stream, _, _server) = serve().await;
        let requests = b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n\
            POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 19\r\n\r\nGET /x HTTP/1.1\r\n\r\n\
            GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream.write_all(requests).await.unwrap();
        let answers = read_all(&mut stream).await;
        let mut bodies = Vec::new();
        for answer in answers.split("HTTP/1.1 200 OK\r\n").skip(1) {
            bodies.push(answer.split_once("\r\n\r\n").unwrap().1);
        }
        assert_eq!(bodies, ["/slow", "/b", "/c"]);
    });
}

/// The rest of a body that was not read is not the next request.
#[test]
fn requests_inside_a_body_that_is_too_large_are_not_run() {
    smol::block_on(async {
        let (mut stream, paths, _server) = serve().await;
        let inner = "GET /inside HTTP/1.1\r\nHost: h\r\n\r\n";
        let body = inner.repeat((5 << 20) / inner.len());
        let head = format!(
            "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        // The server may close the connection before it has read everything.
        stream.write_all(body.as_bytes()).await.ok();
        stream.write_all(inner.as_bytes()).await.ok();
        stream.shutdown(std::net::Shutdown::Write).ok();
        let answers = read_all(&mut stream).await;
        assert!(answers.matches("HTTP/1.1").count() <= 1, "{answers}");
        assert!(paths.lock().unwrap().is_empty());
    });
}

#[test]
fn request_with_two_lengths_is_refused() {
    smol::block_on(async {
        let (mut stream, paths, _server) = serve().await;
        let request = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\
            Content-Length: 30\r\n\r\nGET /inside HTTP/1.1\r\n\r\n";
        stream.write_all(request).await.unwrap();
        assert!(read_all(&mut stream).await.starts_with("HTTP/1.1 400"));
        assert!(paths.lock().unwrap().is_empty());
    });
}
