//! The WebSocket stream of a link.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use futures_util::StreamExt;
use futures_util::stream::SplitStream;
use rustix::net::sockopt;
use smol::Timer;
use smol::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::compat::Compat;

/// WebSocket stream of a link.
pub(crate) type LinkStream = WebSocketStream<Compat<MeteredStream>>;

/// Size of the read buffer, in bytes. Each link holds one, and all of it is cleared
/// before each read; most messages are a few hundred bytes long.
const READ_BUFFER_SIZE: usize = 4 << 10;
/// Bytes that are collected before they are written. Frames are flushed anyway when
/// none is queued.
const WRITE_BUFFER_SIZE: usize = 8 << 10;
/// Send buffer of the operating system, in bytes. Small frames wait behind what it holds; two
/// regions apart it still carries 10 Mbit/s.
const SEND_BUFFER_SIZE: usize = 64 << 10;
/// Largest message, in bytes: several times the list of instances of a large fleet.
pub(crate) const MESSAGE_SIZE_MAX: usize = 16 << 20;

/// Limits and buffers of a link.
pub(crate) fn link_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_SIZE)
        .write_buffer_size(WRITE_BUFFER_SIZE)
        .max_message_size(Some(MESSAGE_SIZE_MAX))
        .max_frame_size(Some(MESSAGE_SIZE_MAX))
}

/// When bytes were last received on a connection.
#[derive(Debug, Clone)]
pub(crate) struct ReceiveClock(Arc<Mutex<Instant>>);

impl ReceiveClock {
    fn new() -> Self {
        Self(Arc::new(Mutex::new(Instant::now())))
    }

    fn lock(&self) -> MutexGuard<'_, Instant> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When bytes were last received.
    pub(crate) fn received_at(&self) -> Instant {
        *self.lock()
    }
}

/// A connection that notes when bytes are received, also of messages that are not whole yet.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    clock: ReceiveClock,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        if let Err(error) = sockopt::set_socket_send_buffer_size(&stream, SEND_BUFFER_SIZE) {
            log::debug!("the send buffer of a link keeps its size: {error}");
        }
        Self {
            stream,
            clock: ReceiveClock::new(),
        }
    }

    pub(crate) fn clock(&self) -> ReceiveClock {
        self.clock.clone()
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(1..)) = result {
            *self.clock.lock() = Instant::now();
        }
        result
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// The next message; `None` at the end of the link, or once no byte was received for `timeout`.
pub(crate) async fn next_message(
    source: &mut SplitStream<LinkStream>,
    clock: &ReceiveClock,
    timeout: Duration,
) -> Option<Message> {
    let mut since = Instant::now();
    loop {
        let silence = async {
            Timer::at(since + timeout).await;
            None
        };
        if let Some(message) = async { Some(source.next().await) }.or(silence).await {
            return message?.ok();
        }
        let received_at = clock.received_at();
        if received_at <= since {
            return None;
        }
        since = received_at;
    }
}
