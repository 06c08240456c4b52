//! Stand-in for a database instance: listener, limits and replication tasks.

mod backend;
mod engine;
mod functions;
mod instance;
mod replication;
mod sql;
mod value;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_pg::{ErrorReport, MessageStream, encode_backend, sqlstate};
use fulmarrill_runtime::ThreadPool;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use thiserror::Error;

use crate::database::backend::BackendSession;
use crate::database::engine::EngineError;
use crate::database::instance::InstanceState;

pub use crate::database::instance::InstanceFaults;

/// Simulated time to set up a connection.
const CONNECT_TIME: Duration = Duration::from_millis(12);

/// Configuration of an instance.
#[derive(Debug, Clone)]
pub struct InstanceOptions {
    name: CompactString,
    listen: CompactString,
    slots: usize,
    connection_limit: usize,
    connect_time: Duration,
    statement_time: Duration,
    primary_term: Option<u64>,
    schema: Vec<String>,
}

impl InstanceOptions {
    /// Creates options for a replica without an upstream, with 2 slots,
    /// 16 connections and 2 ms per statement, on a free loopback port.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            listen: "127.0.0.1:0".into(),
            slots: 2,
            connection_limit: 16,
            connect_time: CONNECT_TIME,
            statement_time: Duration::from_millis(2),
            primary_term: None,
            schema: Vec::new(),
        }
    }

    /// Sets the address to listen on.
    #[must_use]
    pub fn with_listen(mut self, listen: &str) -> Self {
        self.listen = listen.into();
        self
    }

    /// Sets the number of slots and the connection limit.
    #[must_use]
    pub fn with_limits(mut self, slots: usize, connection_limit: usize) -> Self {
        self.slots = slots;
        self.connection_limit = connection_limit;
        self
    }

    /// Sets the time for which a statement on a table holds its slot.
    #[must_use]
    pub fn with_statement_time(mut self, time: Duration) -> Self {
        self.statement_time = time;
        self
    }

    /// Makes the instance the primary of `term` from the start.
    #[must_use]
    pub fn with_primary(mut self, term: u64) -> Self {
        self.primary_term = Some(term);
        self
    }

    /// Sets the statements that a primary runs at its start. Replicas receive
    /// them through the log.
    #[must_use]
    pub fn with_schema(mut self, schema: &[&str]) -> Self {
        self.schema = schema.iter().map(|sql| (*sql).to_owned()).collect();
        self
    }
}

/// Why a stand-in cannot start.
#[derive(Debug, Error)]
pub enum DatabaseError {
    /// The listener cannot be bound to the address.
    #[error("{0}: cannot listen: {1}")]
    Listen(CompactString, io::Error),
    /// The embedded engine failed.
    #[error(transparent)]
    Engine(#[from] EngineError),
}

/// Threads of all instances in this process. The embedded engine blocks a thread
/// while it runs a statement, which must not delay a host in the same process.
static ENGINE_THREADS: ThreadPool = ThreadPool::new("engine");
/// Threads in the pool: enough for the three instances of one database.
const ENGINE_THREAD_COUNT: usize = 3 * INSTANCE_THREADS;
/// Threads of one instance: one for a long statement, two for the pulls of two
/// replicas, which wait until the statement ends, and one for everything else.
const INSTANCE_THREADS: usize = 4;

/// A running instance. Dropping it closes the listener and every connection and
/// discards all of its data, as killing a process would.
#[derive(Debug)]
pub struct DatabaseStandin {
    address: SocketAddr,
    state: Arc<InstanceState>,
    tasks: Vec<smol::Task<()>>,
}

impl DatabaseStandin {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on or the schema fails.
    pub async fn start(options: InstanceOptions) -> Result<Self, DatabaseError> {
        let listen_error = |error| DatabaseError::Listen(options.listen.clone(), error);
        let listener = TcpListener::bind(options.listen.as_str())
            .await
            .map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let state = Arc::new(InstanceState::new(&options.name, options.slots)?);
        state.set_statement_time(options.statement_time);
        if let Some(term) = options.primary_term {
            state.start_primary(term, &options.schema)?;
        }
        let accept = AcceptLoop {
            listener,
            state: state.clone(),
            connection_limit: options.connection_limit,
            connect_time: options.connect_time,
            open_count: Arc::new(AtomicUsize::new(0)),
        };
        ENGINE_THREADS.start_threads(ENGINE_THREAD_COUNT);
        // The instance has its own executor, so that dropping it ends all of its
        // tasks.
        let executor = Arc::new(smol::Executor::new());
        let mut tasks = vec![ENGINE_THREADS.spawn(run_instance(executor.clone(), accept))];
        for _ in 1..INSTANCE_THREADS {
            let executor = executor.clone();
            let worker = async move { executor.run(std::future::pending()).await };
            tasks.push(ENGINE_THREADS.spawn(worker));
        }
        Ok(Self {
            address,
            state,
            tasks,
        })
    }

    /// The address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connects to `through` instead of `address` when pulling the log.
    pub fn add_route(&self, address: &str, through: &str) {
        self.state.add_route(address, through);
    }

    /// Follows the primary of `term` at `address`, as commanded by a coordinator.
    pub fn follow(&self, term: u64, address: &str) {
        if let Err(error) = self.state.follow(term, address) {
            log::warn!("instance cannot follow {address} in term {term}: {error}");
        }
    }

    /// The status that it reports.
    #[must_use]
    pub fn status(&self) -> fulmarrill_position::InstanceStatus {
        self.state.status()
    }

    /// Points of the log entries with a statement that contains `text`.
    #[must_use]
    pub fn find_logged(&self, text: &str) -> Vec<fulmarrill_position::LogPoint> {
        self.state.find_logged(text)
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: InstanceFaults) {
        self.state.set_faults(faults);
    }

    /// Runs until the process ends.
    pub async fn wait(self) {
        for task in self.tasks {
            task.await;
        }
    }
}

/// State of the task that accepts connections.
#[derive(Debug)]
struct AcceptLoop {
    listener: TcpListener,
    state: Arc<InstanceState>,
    connection_limit: usize,
    connect_time: Duration,
    open_count: Arc<AtomicUsize>,
}

/// Decrements the count of open connections when a session ends, in any way.
#[derive(Debug)]
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Runs the replication tasks and the sessions of one instance on its executor.
async fn run_instance(executor: Arc<smol::Executor<'static>>, accept: AcceptLoop) {
    executor
        .spawn(replication::receive_loop(accept.state.clone()))
        .detach();
    executor
        .spawn(replication::apply_loop(accept.state.clone()))
        .detach();
    let sessions = executor.clone();
    executor
        .run(async move {
            loop {
                let Ok((stream, _)) = accept.listener.accept().await else {
                    continue;
                };
                let count = accept.open_count.fetch_add(1, Ordering::SeqCst) + 1;
                let guard = ConnectionGuard(accept.open_count.clone());
                let over_limit = count > accept.connection_limit;
                let ready_at = Instant::now() + accept.connect_time;
                let state = accept.state.clone();
                sessions
                    .spawn(async move {
                        let _guard = guard;
                        serve_connection(stream, state, over_limit, ready_at).await;
                    })
                    .detach();
            }
        })
        .await;
}

async fn serve_connection(
    stream: TcpStream,
    state: Arc<InstanceState>,
    over_limit: bool,
    ready_at: Instant,
) {
    let mut stream = MessageStream::new(stream);
    if over_limit {
        refuse_connection(&mut stream).await;
        return;
    }
    Timer::at(ready_at).await;
    let session = match BackendSession::new(stream, state) {
        Ok(session) => session,
        Err(error) => {
            log::warn!("session cannot start: {error}");
            return;
        }
    };
    if let Err(error) = session.serve().await {
        log::debug!("session ended: {error}");
    }
}

async fn refuse_connection(stream: &mut MessageStream) {
    if fulmarrill_pg::read_startup(stream).await.is_err() {
        return;
    }
    let report = ErrorReport::new(
        sqlstate::TOO_MANY_CONNECTIONS,
        "sorry, too many clients already",
    )
    .with_fatal();
    if let Ok(bytes) = encode_backend(&[report.to_message()]) {
        stream.write(&bytes).await.ok();
    }
}
