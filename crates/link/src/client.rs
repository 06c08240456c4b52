//! The calling side of a link.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use compact_str::CompactString;
use futures_lite::FutureExt;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use smol::Timer;
use smol::net::TcpStream;
use thiserror::Error;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use crate::frame::{LinkFrame, LinkProtocol, WireError, decode_frame, encode_frame};

/// Frames that may wait to be written.
const QUEUE_FRAMES: usize = 4096;

/// Stream of a link.
pub(crate) type LinkStream = WebSocketStream<Compat<TcpStream>>;

/// Why a call has no reply.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The link cannot be set up; nothing was sent.
    #[error("{address}: cannot connect: {why}")]
    Connect {
        /// Address of the other host.
        address: CompactString,
        /// What failed.
        why: String,
    },
    /// Nobody listens at the address: the process that did has ended. Nothing
    /// was sent.
    #[error("{0}: nobody listens there")]
    ConnectionRefused(CompactString),
    /// The link was already down; nothing was sent.
    #[error("link is down")]
    Down,
    /// The link went down, or the deadline came, after the call was sent.
    #[error("link was lost before the reply came")]
    Lost,
    /// The call cannot be expressed; nothing was sent.
    #[error(transparent)]
    Wire(#[from] WireError),
}

impl LinkError {
    /// Whether the other host may have taken the call.
    #[must_use]
    pub fn may_have_arrived(&self) -> bool {
        matches!(self, Self::Lost)
    }
}

/// How often a quiet link is probed, and when a silent one is given up.
#[derive(Debug, Clone, Copy)]
pub struct LinkTiming {
    /// Time between two probes of a quiet link.
    pub ping_interval: Duration,
    /// Time without a frame after which a link is given up.
    pub receive_timeout: Duration,
    /// The same while a call waits for its reply. The link is probed after half
    /// of this time, so that a slow reply is told from a dead link.
    pub call_receive_timeout: Duration,
}

impl LinkTiming {
    /// Both times; the limit should hold several intervals.
    #[must_use]
    pub const fn new(ping_interval: Duration, receive_timeout: Duration) -> Self {
        Self {
            ping_interval,
            receive_timeout,
            call_receive_timeout: receive_timeout,
        }
    }

    /// Sets the limit while a call waits for its reply.
    #[must_use]
    pub const fn with_call_receive_timeout(mut self, limit: Duration) -> Self {
        self.call_receive_timeout = limit;
        self
    }
}

#[derive(Debug)]
struct LinkShared<R> {
    closed: AtomicBool,
    heard_at: Mutex<Instant>,
    pending: Mutex<HashMap<u64, Sender<R>>>,
}

impl<R> LinkShared<R> {
    fn pending(&self) -> MutexGuard<'_, HashMap<u64, Sender<R>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets every waiting call learn that its reply will not come.
    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.pending().clear();
    }
}

/// A link to another host, used by many calls at once.
#[derive(Debug)]
pub struct PeerLink<P: LinkProtocol> {
    shared: Arc<LinkShared<P::Reply>>,
    next_id: AtomicU64,
    timing: LinkTiming,
    outgoing: Sender<Vec<u8>>,
    _task: smol::Task<()>,
}

impl<P: LinkProtocol> PeerLink<P> {
    /// Connects to the host at `address` and says who is calling.
    ///
    /// # Errors
    ///
    /// When the host cannot be reached before `deadline`.
    pub async fn connect(
        address: &str,
        host: &str,
        timing: LinkTiming,
        deadline: Instant,
    ) -> Result<Self, LinkError> {
        let failed = |why: String| LinkError::Connect {
            address: address.into(),
            why,
        };
        let connect = async {
            let address: SocketAddr = address
                .parse()
                .map_err(|error| failed(format!("{error}")))?;
            let stream = TcpStream::connect(address).await.map_err(|error| {
                if error.kind() == io::ErrorKind::ConnectionRefused {
                    LinkError::ConnectionRefused(address.to_string().into())
                } else {
                    failed(error.to_string())
                }
            })?;
            stream.set_nodelay(true).ok();
            let url = format!("ws://{address}/peer");
            let (stream, _) = client_async(url, stream.compat())
                .await
                .map_err(|error| failed(error.to_string()))?;
            Ok(stream)
        };
        let timeout = async {
            Timer::at(deadline).await;
            Err(failed("no answer before the deadline".to_owned()))
        };
        let stream = connect.or(timeout).await?;
        let hello = LinkFrame::Hello {
            version: P::VERSION,
            host: host.into(),
        };
        Ok(Self::start(stream, encode_frame::<P>(&hello)?, timing))
    }

    fn start(stream: LinkStream, hello: Vec<u8>, timing: LinkTiming) -> Self {
        let (sink, source) = stream.split();
        let (outgoing, frames) = async_channel::bounded(QUEUE_FRAMES);
        let shared = Arc::new(LinkShared {
            closed: AtomicBool::new(false),
            heard_at: Mutex::new(Instant::now()),
            pending: Mutex::default(),
        });
        outgoing.try_send(hello).ok();
        let for_task = shared.clone();
        let task = fulmarrill_runtime::spawn(async move {
            let reading = read_replies::<P>(source, &for_task, timing);
            let writing = write_frames(sink, frames, timing);
            reading.or(writing).await;
            for_task.close();
        });
        Self {
            shared,
            next_id: AtomicU64::new(1),
            timing,
            outgoing,
            _task: task,
        }
    }

    /// Whether the link has gone down.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.shared.closed.load(Ordering::SeqCst)
    }

    /// Whether anything came over the link at or after `since`.
    #[must_use]
    pub fn received_since(&self, since: Instant) -> bool {
        let heard_at = self.shared.heard_at.lock();
        *heard_at.unwrap_or_else(PoisonError::into_inner) >= since
    }

    /// Gives the link up; calls that wait on it learn that.
    pub fn close(&self) {
        self.shared.close();
        self.outgoing.close();
    }

    /// Sends a call and waits for its reply.
    ///
    /// # Errors
    ///
    /// [`LinkError::may_have_arrived`] tells whether the call was sent.
    pub async fn call(&self, call: P::Call, deadline: Instant) -> Result<P::Reply, LinkError> {
        if self.is_closed() {
            return Err(LinkError::Down);
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let frame = encode_frame::<P>(&LinkFrame::Call {
            id,
            call: call.into(),
        })?;
        let (reply_to, reply) = async_channel::bounded(1);
        self.shared.pending().insert(id, reply_to);
        // A close between the check above and the insertion has cleared the
        // map before; look again, so that no call waits for nothing.
        if self.is_closed() || self.outgoing.try_send(frame).is_err() {
            self.shared.pending().remove(&id);
            return Err(LinkError::Down);
        }
        let silence = async {
            self.watch_silence().await;
            None
        };
        let timeout = async {
            Timer::at(deadline).await;
            None
        };
        let reply = async { reply.recv().await.ok() };
        let reply = reply.or(timeout).or(silence).await;
        self.shared.pending().remove(&id);
        reply.ok_or(LinkError::Lost)
    }

    /// Returns once nothing has been heard for the limit of a waiting call, and
    /// gives the link up.
    async fn watch_silence(&self) {
        let limit = self.timing.call_receive_timeout;
        let mut since = Instant::now();
        loop {
            Timer::at(since + limit / 2).await;
            if !self.received_since(since) {
                // An empty frame stands for a probe.
                self.outgoing.try_send(Vec::new()).ok();
                Timer::at(since + limit).await;
            }
            if !self.received_since(since) {
                self.close();
                return;
            }
            since = Instant::now();
        }
    }
}

async fn read_replies<P: LinkProtocol>(
    mut source: SplitStream<LinkStream>,
    shared: &LinkShared<P::Reply>,
    timing: LinkTiming,
) {
    loop {
        let silence = async {
            Timer::after(timing.receive_timeout).await;
            None
        };
        let Some(Ok(message)) = source.next().or(silence).await else {
            return;
        };
        *shared
            .heard_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now();
        let Message::Binary(bytes) = message else {
            continue;
        };
        match decode_frame::<P>(&bytes) {
            Ok(LinkFrame::Reply { id, reply }) => {
                let waiting = shared.pending().remove(&id);
                if let Some(waiting) = waiting {
                    waiting.try_send(reply.into()).ok();
                }
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!("peer link given up: {error}");
                return;
            }
        }
    }
}

/// A frame as a message; an empty one stands for a probe.
fn to_message(frame: Vec<u8>) -> Message {
    if frame.is_empty() {
        Message::Ping(Vec::new().into())
    } else {
        Message::binary(frame)
    }
}

/// Writes frames; when there are none, a probe, so that silence has a meaning.
pub(crate) async fn write_frames(
    mut sink: SplitSink<LinkStream, Message>,
    frames: Receiver<Vec<u8>>,
    timing: LinkTiming,
) {
    loop {
        let quiet = async {
            Timer::after(timing.ping_interval).await;
            None
        };
        let message = match async { Some(frames.recv().await) }.or(quiet).await {
            Some(Ok(frame)) => to_message(frame),
            Some(Err(_)) => return,
            None => Message::Ping(Vec::new().into()),
        };
        if sink.feed(message).await.is_err() {
            return;
        }
        while let Ok(frame) = frames.try_recv() {
            if sink.feed(to_message(frame)).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}
