//! A TCP forwarder that injects network faults between two processes.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::net::sockopt;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;
/// In-flight bytes of one direction, counted in full chunks, above which reading
/// is slowed down.
const WINDOW_BYTES: usize = 1 << 20;

/// Bytes that a connection of limited bandwidth holds in each buffer on its way.
const LIMITED_WINDOW_BYTES: usize = 32 << 10;

/// Faults injected into the forwarded connections.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ForwarderFaults {
    /// Latency added to each byte.
    pub delay: Duration,
    /// New connections are closed when accepted, and open ones are closed.
    pub disconnected: bool,
    /// Connections that are open when the fault is set stall permanently; new
    /// ones work.
    pub stall_open: bool,
    /// All connections stay open, but nothing is delivered.
    pub stalled: bool,
    /// Bandwidth of each direction, shared by all connections. The buffers of a connection
    /// are bounded if it is set when that one is accepted.
    pub bytes_per_s: Option<u32>,
}

/// Where bytes go, from the caller to the target or back.
#[derive(Debug, Clone, Copy)]
enum Direction {
    Up,
    Down,
}

#[derive(Debug)]
struct ForwarderState {
    target: SocketAddr,
    faults: Mutex<ForwarderFaults>,
    changed: Event,
    /// Connections with lower numbers have stalled permanently.
    stalled_below: Mutex<u64>,
    /// When each direction has sent what it was given, if the bandwidth is limited.
    sent_at: [Mutex<Instant>; 2],
    bytes: std::sync::atomic::AtomicU64,
    keeps_closed: AtomicBool,
}

impl ForwarderState {
    fn faults(&self) -> ForwarderFaults {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns until when `count` more bytes of a direction are on their way if the
    /// bandwidth is limited.
    fn note_sent(&self, direction: Direction, count: usize) -> Option<Instant> {
        let bytes_per_s = self.faults().bytes_per_s?;
        let mut sent_at = self.sent_at[direction as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let time = Duration::from_secs(1) * count / bytes_per_s.max(1);
        *sent_at = (*sent_at).max(Instant::now()) + time;
        Some(*sent_at)
    }

    fn is_stalled(&self, number: u64) -> bool {
        let below = *self
            .stalled_below
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        number < below || self.faults().stalled
    }
}

/// Listens on its own port and forwards connections to a target.
#[derive(Debug)]
pub struct NetworkForwarder {
    address: SocketAddr,
    state: Arc<ForwarderState>,
    next_number: Arc<std::sync::atomic::AtomicU64>,
    _task: smol::Task<()>,
}

impl NetworkForwarder {
    /// Starts a forwarder to `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// When no port can be listened on.
    pub async fn start(target: SocketAddr, faults: ForwarderFaults) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(ForwarderState {
            target,
            faults: Mutex::new(faults),
            changed: Event::new(),
            stalled_below: Mutex::new(0),
            sent_at: [Instant::now(); 2].map(Mutex::new),
            bytes: std::sync::atomic::AtomicU64::new(0),
            keeps_closed: AtomicBool::new(false),
        });
        let next_number = Arc::new(std::sync::atomic::AtomicU64::new(0));
        let task =
            fulmarrill_runtime::spawn(accept_loop(listener, state.clone(), next_number.clone()));
        Ok(Self {
            address,
            state,
            next_number,
            _task: task,
        })
    }

    /// The address to connect to in place of the target's.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults, also for open connections.
    pub fn set_faults(&self, faults: ForwarderFaults) {
        if faults.stall_open {
            let next = self.next_number.load(std::sync::atomic::Ordering::SeqCst);
            *self
                .state
                .stalled_below
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = next;
        }
        *self
            .state
            .faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = faults;
        self.state.changed.notify(usize::MAX);
    }

    /// From now on what was sent on a stalled connection is delivered after the stall also if
    /// the sender has closed it meanwhile, unless it was reset. Otherwise it is lost.
    pub fn keep_closed(&self) {
        self.state.keeps_closed.store(true, Ordering::SeqCst);
    }

    /// Lets the connections that stalled permanently go on.
    pub fn resume_stalled(&self) {
        *self
            .state
            .stalled_below
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = 0;
        self.state.changed.notify(usize::MAX);
    }

    /// Bytes forwarded so far, in both directions.
    #[must_use]
    pub fn bytes_forwarded(&self) -> u64 {
        self.state.bytes.load(std::sync::atomic::Ordering::Relaxed)
    }
}

async fn accept_loop(
    listener: TcpListener,
    state: Arc<ForwarderState>,
    next_number: Arc<std::sync::atomic::AtomicU64>,
) {
    let executor = smol::Executor::new();
    executor
        .run(async {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                let number = next_number.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                executor
                    .spawn(forward(stream, state.clone(), number))
                    .detach();
            }
        })
        .await;
}

async fn forward(caller: TcpStream, state: Arc<ForwarderState>, number: u64) {
    if state.faults().disconnected {
        return;
    }
    caller.set_nodelay(true).ok();
    let Ok(target) = TcpStream::connect(state.target).await else {
        return;
    };
    target.set_nodelay(true).ok();
    if state.faults().bytes_per_s.is_some() {
        for stream in [&caller, &target] {
            sockopt::set_socket_recv_buffer_size(stream, LIMITED_WINDOW_BYTES).ok();
        }
    }
    let upstream = forward_bytes(
        caller.clone(),
        target.clone(),
        &state,
        number,
        Direction::Up,
    );
    let downstream = forward_bytes(target, caller, &state, number, Direction::Down);
    let both = smol::future::or(upstream, downstream);
    smol::future::or(both, wait_for_disconnect(&state)).await;
}

async fn wait_for_disconnect(state: &ForwarderState) {
    loop {
        let listener = state.changed.listen();
        if state.faults().disconnected {
            return;
        }
        listener.await;
    }
}

/// Bytes on their way, each chunk with the time at which it is due.
type ChunkQueue = Mutex<VecDeque<(Instant, Vec<u8>)>>;

fn lock(queue: &ChunkQueue) -> MutexGuard<'_, VecDeque<(Instant, Vec<u8>)>> {
    queue.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Forwards bytes in one direction, each chunk after the delay that applied when
/// it was read.
async fn forward_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    state: &ForwarderState,
    number: u64,
    direction: Direction,
) {
    let queue = ChunkQueue::default();
    let source = from.clone();
    let arrived = Event::new();
    let reader = async {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let count = match from.read(&mut chunk).await {
                Ok(0) => break,
                Ok(count) => count,
                Err(_) => return,
            };
            let due = Instant::now() + state.faults().delay;
            let waiting = {
                let mut queue = lock(&queue);
                queue.push_back((due, chunk[..count].to_vec()));
                queue.len()
            };
            arrived.notify(usize::MAX);
            if waiting * CHUNK_BYTES > WINDOW_BYTES {
                Timer::after(Duration::from_millis(1)).await;
            }
            while state.faults().bytes_per_s.is_some()
                && lock(&queue).len() * CHUNK_BYTES > LIMITED_WINDOW_BYTES
            {
                Timer::after(Duration::from_millis(1)).await;
            }
        }
        // Waits until the writer has written the last chunk.
        loop {
            let is_written = lock(&queue).is_empty();
            let is_lost = state.is_stalled(number) && !state.keeps_closed.load(Ordering::SeqCst);
            if is_written || is_lost {
                return;
            }
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    let writer = async {
        loop {
            let listener = arrived.listen();
            // Taken out once it is written, since the reader waits for that.
            let next = lock(&queue).front().cloned();
            let Some((due, bytes)) = next else {
                listener.await;
                continue;
            };
            Timer::at(due).await;
            loop {
                let resumed = state.changed.listen();
                if !state.is_stalled(number) {
                    break;
                }
                resumed.await;
            }
            // What a reset finds on its way is lost.
            if is_reset(&source) {
                return;
            }
            if to.write_all(&bytes).await.is_err() {
                return;
            }
            lock(&queue).pop_front();
            let count = bytes.len() as u64;
            state
                .bytes
                .fetch_add(count, std::sync::atomic::Ordering::Relaxed);
            if let Some(sent_at) = state.note_sent(direction, bytes.len()) {
                Timer::at(sent_at).await;
            }
        }
    };
    smol::future::or(reader, writer).await;
}

/// Whether the other end has reset a connection, also after it was closed in order.
fn is_reset(stream: &TcpStream) -> bool {
    !matches!(sockopt::socket_error(stream), Ok(Ok(())))
}
