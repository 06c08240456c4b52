//! Client side of a link: sends calls and matches the replies to them.

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
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite::Message;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::frame::{LinkFrame, LinkProtocol, WireError, encode_frame};
use crate::pieces::{PIECE_SIZE, PieceBuffer, PieceQueue, QueuedFrame, ReceivedFrame};
use crate::stream::{LinkStream, MeteredStream, ReceiveClock, link_config, next_message};

/// Frames that may wait to be written. A call fails while that many do. The queue
/// itself is unbounded, since a bounded one takes the memory of all its places.
const QUEUE_FRAMES_MAX: usize = 4096;
/// Time between two looks at whether a reply still arrives.
const ARRIVAL_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why a call got no reply.
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
    /// The connection was refused: no process listens at the address, so the
    /// one that listened there has ended. Nothing was sent.
    #[error("{0}: nobody listens there")]
    ConnectionRefused(CompactString),
    /// The link is closed or its queue is full; nothing was sent.
    #[error("link is down")]
    Down,
    /// The link was closed, or the deadline passed, after the call was queued.
    #[error("link was lost before the reply came")]
    Lost,
    /// The other host received the call, but cannot send its reply.
    #[error("no reply could be sent: {0}")]
    NoReply(CompactString),
    /// The frame cannot be encoded or is too large; nothing was sent.
    #[error(transparent)]
    Wire(#[from] WireError),
}

impl LinkError {
    /// Whether the other host may have received the call.
    #[must_use]
    pub fn may_have_arrived(&self) -> bool {
        matches!(self, Self::Lost | Self::NoReply(_))
    }
}

/// Ping interval and receive timeouts of a link.
#[derive(Debug, Clone, Copy)]
pub struct LinkTiming {
    /// Time without an outgoing frame after which the side that connected sends a
    /// ping. The other side answers it, so both know that the link is alive.
    pub ping_interval: Duration,
    /// Time without a received byte after which the link is closed.
    pub receive_timeout: Duration,
    /// Receive timeout while a call waits for its reply. A ping is sent after
    /// half of it, to tell a slow reply from a dead link.
    pub call_receive_timeout: Duration,
}

impl LinkTiming {
    /// Creates a timing with one receive timeout, whether or not a call waits.
    /// The timeout should span several ping intervals.
    #[must_use]
    pub const fn new(ping_interval: Duration, receive_timeout: Duration) -> Self {
        Self {
            ping_interval,
            receive_timeout,
            call_receive_timeout: receive_timeout,
        }
    }

    /// Sets the receive timeout while a call waits for its reply.
    #[must_use]
    pub const fn with_call_receive_timeout(mut self, timeout: Duration) -> Self {
        self.call_receive_timeout = timeout;
        self
    }
}

/// The reply to a call, or why it could not be sent.
type CallResult<R> = Result<R, CompactString>;

#[derive(Debug)]
struct LinkShared<R> {
    closed: AtomicBool,
    clock: ReceiveClock,
    /// Calls whose replies have begun to arrive, and when their last piece did.
    arriving: Mutex<HashMap<u64, Instant>>,
    pending: Mutex<HashMap<u64, Sender<CallResult<R>>>>,
}

impl<R> LinkShared<R> {
    fn pending(&self) -> MutexGuard<'_, HashMap<u64, Sender<CallResult<R>>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn arriving(&self) -> MutexGuard<'_, HashMap<u64, Instant>> {
        self.arriving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks the link closed and fails every waiting call.
    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.pending().clear();
    }
}

/// A link to another host that carries concurrent calls.
#[derive(Debug)]
pub struct PeerLink<P: LinkProtocol> {
    shared: Arc<LinkShared<P::Reply>>,
    next_id: AtomicU64,
    timing: LinkTiming,
    outgoing: Sender<QueuedFrame>,
    _task: smol::Task<()>,
}

impl<P: LinkProtocol> PeerLink<P> {
    /// Connects to the host at `address` and sends a hello with the caller's
    /// name `host`.
    ///
    /// # Errors
    ///
    /// When the link cannot be set up before `deadline`.
    pub async fn connect(
        address: &str,
        host: &str,
        timing: LinkTiming,
        deadline: Instant,
    ) -> Result<Self, LinkError> {
        let connect_error = |why: String| LinkError::Connect {
            address: address.into(),
            why,
        };
        let connect = async {
            let address: SocketAddr = address
                .parse()
                .map_err(|error| connect_error(format!("{error}")))?;
            let stream = TcpStream::connect(address).await.map_err(|error| {
                if error.kind() == io::ErrorKind::ConnectionRefused {
                    LinkError::ConnectionRefused(address.to_string().into())
                } else {
                    connect_error(error.to_string())
                }
            })?;
            stream.set_nodelay(true).ok();
            let url = format!("ws://{address}/peer");
            let config = Some(link_config());
            let stream = MeteredStream::new(stream);
            let clock = stream.clock();
            let (stream, _) = client_async_with_config(url, stream.compat(), config)
                .await
                .map_err(|error| connect_error(error.to_string()))?;
            Ok((stream, clock))
        };
        let timeout = async {
            Timer::at(deadline).await;
            Err(connect_error("no answer before the deadline".to_owned()))
        };
        let (stream, clock) = connect.or(timeout).await?;
        let hello = LinkFrame::Hello {
            version: P::VERSION,
            host: host.into(),
        };
        Ok(Self::start(
            stream,
            clock,
            encode_frame::<P>(&hello)?,
            timing,
        ))
    }

    fn start(stream: LinkStream, clock: ReceiveClock, hello: Vec<u8>, timing: LinkTiming) -> Self {
        let (sink, source) = stream.split();
        let (outgoing, frames) = async_channel::unbounded();
        let shared = Arc::new(LinkShared {
            closed: AtomicBool::new(false),
            clock,
            arriving: Mutex::default(),
            pending: Mutex::default(),
        });
        let hello = QueuedFrame {
            id: 0,
            bytes: hello,
        };
        outgoing.try_send(hello).ok();
        let task_shared = shared.clone();
        let task = fulmarrill_runtime::spawn(async move {
            let reading = read_replies::<P>(source, &task_shared, timing);
            let writing = write_frames(sink, frames, Some(timing.ping_interval));
            reading.or(writing).await;
            task_shared.close();
        });
        Self {
            shared,
            next_id: AtomicU64::new(1),
            timing,
            outgoing,
            _task: task,
        }
    }

    /// Whether the link is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.shared.closed.load(Ordering::SeqCst)
    }

    /// Whether anything was received at or after `since`.
    #[must_use]
    pub fn received_since(&self, since: Instant) -> bool {
        self.shared.clock.received_at() >= since
    }

    /// Whether a large reply is arriving.
    #[must_use]
    pub fn is_receiving(&self) -> bool {
        let timeout = self.timing.call_receive_timeout;
        let arriving = self.shared.arriving();
        arriving.values().any(|at| at.elapsed() < timeout)
    }

    /// Closes the link; waiting calls fail with [`LinkError::Lost`].
    pub fn close(&self) {
        self.shared.close();
        self.outgoing.close();
    }

    /// Sends a call and waits for its reply.
    ///
    /// # Errors
    ///
    /// When no reply comes; [`LinkError::may_have_arrived`] tells whether the
    /// other host may have received the call.
    pub async fn call(&self, call: P::Call, deadline: Instant) -> Result<P::Reply, LinkError> {
        self.call_until(call, deadline, false).await
    }

    /// Like [`Self::call`], but a reply that has begun to arrive is received to its end.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn call_for_large_reply(
        &self,
        call: P::Call,
        deadline: Instant,
    ) -> Result<P::Reply, LinkError> {
        self.call_until(call, deadline, true).await
    }

    async fn call_until(
        &self,
        call: P::Call,
        deadline: Instant,
        finishes_reply: bool,
    ) -> Result<P::Reply, LinkError> {
        if self.is_closed() {
            return Err(LinkError::Down);
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let frame = encode_frame::<P>(&LinkFrame::Call {
            id,
            call: call.into(),
        })?;
        let (reply_sender, reply) = async_channel::bounded(1);
        self.shared.pending().insert(id, reply_sender);
        // The link may have closed and cleared the map between the check above
        // and the insertion; checked again, so that no call waits on a closed
        // link.
        let is_full = self.outgoing.len() >= QUEUE_FRAMES_MAX;
        let frame = QueuedFrame { id, bytes: frame };
        if self.is_closed() || is_full || self.outgoing.try_send(frame).is_err() {
            self.shared.pending().remove(&id);
            return Err(LinkError::Down);
        }
        let receive_timeout = async {
            self.watch_receive_timeout().await;
            None
        };
        let timeout = async {
            Timer::at(deadline).await;
            while finishes_reply && self.is_arriving(id) {
                Timer::after(ARRIVAL_POLL_INTERVAL).await;
            }
            None
        };
        let reply = async { reply.recv().await.ok() };
        let reply = reply.or(timeout).or(receive_timeout).await;
        self.shared.pending().remove(&id);
        self.shared.arriving().remove(&id);
        reply.ok_or(LinkError::Lost)?.map_err(LinkError::NoReply)
    }

    /// Whether a piece of the reply to a call has arrived within the receive timeout.
    fn is_arriving(&self, id: u64) -> bool {
        let arrived_at = self.shared.arriving().get(&id).copied();
        arrived_at.is_some_and(|at| at.elapsed() < self.timing.call_receive_timeout)
    }

    /// Closes the link and returns once nothing was received for the receive
    /// timeout of a waiting call.
    async fn watch_receive_timeout(&self) {
        let timeout = self.timing.call_receive_timeout;
        let mut since = Instant::now();
        loop {
            Timer::at(since + timeout / 2).await;
            if !self.received_since(since) {
                // An empty frame is sent as a ping.
                let (id, bytes) = (0, Vec::new());
                self.outgoing.try_send(QueuedFrame { id, bytes }).ok();
                Timer::at(since + timeout).await;
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
    let mut pieces = PieceBuffer::default();
    loop {
        let receiving = next_message(&mut source, &shared.clock, timing.receive_timeout);
        let Some(message) = receiving.await else {
            return;
        };
        let Message::Binary(bytes) = message else {
            continue;
        };
        let (id, result) = match pieces.receive::<P>(&bytes) {
            Ok(ReceivedFrame::Whole(LinkFrame::Reply { id, reply })) => (id, Ok(reply.into())),
            Ok(ReceivedFrame::Whole(LinkFrame::NoReply { id, why })) => (id, Err(why)),
            Ok(ReceivedFrame::Whole(_)) => continue,
            Ok(ReceivedFrame::Piece(id)) => {
                let is_awaited = shared.pending().contains_key(&id);
                if is_awaited {
                    shared.arriving().insert(id, Instant::now());
                }
                continue;
            }
            Ok(ReceivedFrame::Unreadable(id, why)) => {
                log::warn!("reply to call {id} cannot be read: {why}");
                (id, Err(why))
            }
            Err(error) => {
                log::warn!("peer link closed: {error}");
                return;
            }
        };
        shared.arriving().remove(&id);
        let sender = shared.pending().remove(&id);
        if let Some(sender) = sender {
            sender.try_send(result).ok();
        }
    }
}

/// Converts a frame to a WebSocket message; an empty frame becomes a ping.
fn to_message(frame: Vec<u8>) -> Message {
    if frame.is_empty() {
        Message::Ping(Vec::new().into())
    } else {
        Message::binary(frame)
    }
}

/// Writes queued frames, and a ping when none is queued for the ping interval, if
/// there is one. Large frames are written in pieces, and small ones go before each piece.
pub(crate) async fn write_frames(
    mut sink: SplitSink<LinkStream, Message>,
    frames: Receiver<QueuedFrame>,
    ping_interval: Option<Duration>,
) {
    let mut large = PieceQueue::default();
    loop {
        let mut is_idle = true;
        while let Ok(frame) = frames.try_recv() {
            is_idle = false;
            if frame.bytes.len() > PIECE_SIZE {
                large.push(frame);
            } else if sink.feed(to_message(frame.bytes)).await.is_err() {
                return;
            }
        }
        if let Some(piece) = large.next_piece() {
            is_idle = false;
            // Only plain bytes are encoded, which always succeeds.
            if let Ok(piece) = piece
                && sink.feed(Message::binary(piece)).await.is_err()
            {
                return;
            }
        }
        if !is_idle {
            if sink.flush().await.is_err() {
                return;
            }
            continue;
        }
        let ping_due = async {
            match ping_interval {
                Some(interval) => Timer::after(interval).await,
                None => std::future::pending().await,
            };
            None
        };
        let message = match async { Some(frames.recv().await) }.or(ping_due).await {
            Some(Ok(frame)) if frame.bytes.len() > PIECE_SIZE => {
                large.push(frame);
                continue;
            }
            Some(Ok(frame)) => to_message(frame.bytes),
            Some(Err(_)) => return,
            None => Message::Ping(Vec::new().into()),
        };
        if sink.feed(message).await.is_err() || sink.flush().await.is_err() {
            return;
        }
    }
}
