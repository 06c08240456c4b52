//! A naive proxy to compare with: a fixed share of connections per host, first
//! come first served, replicas in turn, acknowledged when the primary says so.

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

/// Time for one statement, connecting included.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Connections of one instance.
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

#[derive(Debug)]
struct NaiveState {
    pools: Vec<NaivePool>,
    turn: AtomicUsize,
}

/// A running baseline proxy of one host.
#[derive(Debug)]
pub struct NaiveProxy {
    address: CompactString,
    _task: smol::Task<()>,
}

impl NaiveProxy {
    /// Starts a proxy before instances, the primary first, with `share`
    /// connections to each.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub async fn start(instances: Vec<SocketAddr>, share: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string().into();
        let mut pools = Vec::new();
        for instance in instances {
            pools.push(NaivePool {
                address: instance.to_string().into(),
                permits: Semaphore::new(share),
                idle: Mutex::new(Vec::new()),
            });
        }
        let state = Arc::new(NaiveState {
            pools,
            turn: AtomicUsize::new(0),
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

    /// Address for callers.
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
    if text.starts_with("SET") || text.starts_with("SHOW") {
        return encode(CommandComplete::new("SET".to_owned()));
    }
    let index = if text.starts_with("SELECT") && state.pools.len() > 1 {
        1 + state.turn.fetch_add(1, Ordering::Relaxed) % (state.pools.len() - 1)
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

fn encode(complete: CommandComplete) -> Result<Vec<u8>, PgError> {
    let complete = PgWireBackendMessage::CommandComplete(complete);
    let ready = ReadyForQuery::new(TransactionStatus::Idle);
    let ready = PgWireBackendMessage::ReadyForQuery(ready);
    Ok(encode_backend(&[complete, ready])?.to_vec())
}
