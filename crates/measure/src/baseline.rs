//! The baseline: a naive proxy with a fixed number of connections per host and
//! instance, served first come first served. Reads go to the replicas round robin;
//! a write is acknowledged as soon as the primary answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_pg::{
    ConnectTarget, DatabaseConnection, ErrorReport, MessageStream, PgError, StartupRequest,
    accept_session, decode_frontend, encode_backend, read_startup, sqlstate,
};
use pgwire::messages::response::{CommandComplete, ReadyForQuery, TransactionStatus};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use smol::lock::{Mutex, Semaphore};
use smol::net::{TcpListener, TcpStream};

/// Timeout for one statement, including connecting.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(30);

/// A bounded pool of connections to one instance.
#[derive(Debug)]
struct NaivePool {
    address: CompactString,
    permits: Semaphore,
    idle: Mutex<Vec<DatabaseConnection>>,
}

impl NaivePool {
    async fn run(&self, payload: &[u8]) -> Result<Vec<u8>, PgError> {
        let _permit = self.permits.acquire().await;
        let deadline = Instant::now() + STATEMENT_TIMEOUT;
        let idle = self.idle.lock().await.pop();
        let mut connection = if let Some(connection) = idle {
            connection
        } else {
            let target = ConnectTarget::new(&self.address, "naive", "database");
            DatabaseConnection::connect(&target, deadline).await?
        };
        let answer = connection.exchange(payload, deadline).await?;
        self.idle.lock().await.push(connection);
        Ok(answer.messages.to_vec())
    }
}

/// The pools, the primary's first, and the counter that picks replicas.
#[derive(Debug)]
struct NaiveState {
    pools: Vec<NaivePool>,
    next_replica: AtomicUsize,
}

/// The running baseline proxy of one host.
#[derive(Debug)]
pub struct NaiveProxy {
    address: CompactString,
    _task: smol::Task<()>,
}

impl NaiveProxy {
    /// Starts a proxy on a loopback port for `instances`, the primary first, with at
    /// most `connection_limit` connections to each.
    ///
    /// # Errors
    ///
    /// When no port can be opened.
    pub async fn start(
        instances: Vec<SocketAddr>,
        connection_limit: usize,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string().into();
        let mut pools = Vec::new();
        for instance in instances {
            pools.push(NaivePool {
                address: instance.to_string().into(),
                permits: Semaphore::new(connection_limit),
                idle: Mutex::new(Vec::new()),
            });
        }
        let state = Arc::new(NaiveState {
            pools,
            next_replica: AtomicUsize::new(0),
        });
        let task = fulmarrill_runtime::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = state.clone();
                fulmarrill_runtime::spawn(async move {
                    serve(&state, stream).await.ok();
                })
                .detach();
            }
        });
        Ok(Self {
            address,
            _task: task,
        })
    }

    /// Returns the address at which the proxy accepts callers.
    #[must_use]
    pub fn address(&self) -> CompactString {
        self.address.clone()
    }
}

async fn serve(state: &NaiveState, stream: TcpStream) -> Result<(), PgError> {
    let mut stream = MessageStream::new(stream);
    let StartupRequest::Session(_) = read_startup(&mut stream).await? else {
        return Ok(());
    };
    accept_session(&mut stream, 1).await?;
    loop {
        let mut message = stream.read_message().await?;
        let payload = message.to_vec();
        let Some(PgWireFrontendMessage::Query(query)) = decode_frontend(&mut message)? else {
            return Ok(());
        };
        let answer = answer_query(state, &query.query, &payload).await?;
        stream.write(&answer).await?;
    }
}

async fn answer_query(state: &NaiveState, text: &str, payload: &[u8]) -> Result<Vec<u8>, PgError> {
    // Settings are not supported; these statements are answered without the database.
    if text.starts_with("SET") || text.starts_with("SHOW") {
        return encode_completion(CommandComplete::new("SET".to_owned()));
    }
    let index = if text.starts_with("SELECT") && state.pools.len() > 1 {
        1 + state.next_replica.fetch_add(1, Ordering::Relaxed) % (state.pools.len() - 1)
    } else {
        0
    };
    match state.pools[index].run(payload).await {
        Ok(answer) => Ok(answer),
        Err(error) => {
            let report = ErrorReport::new(sqlstate::OUTCOME_UNKNOWN, error.to_string());
            let ready = ReadyForQuery::new(TransactionStatus::Idle);
            let ready = PgWireBackendMessage::ReadyForQuery(ready);
            Ok(encode_backend(&[report.to_message(), ready])?.to_vec())
        }
    }
}

fn encode_completion(complete: CommandComplete) -> Result<Vec<u8>, PgError> {
    let complete = PgWireBackendMessage::CommandComplete(complete);
    let ready = ReadyForQuery::new(TransactionStatus::Idle);
    let ready = PgWireBackendMessage::ReadyForQuery(ready);
    Ok(encode_backend(&[complete, ready])?.to_vec())
}
