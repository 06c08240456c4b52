//! Callers' sessions, kept for the next request.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use fulmarrill_pg::{ConnectTarget, DatabaseConnection, ErrorReport, ExchangeAnswer, PgError};
use smol::lock::Semaphore;

/// Sessions that a pool has open at most.
const SESSIONS_MAX: usize = 600;
/// Time for connecting to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// SQLSTATEs of refusals, whose requests did not run.
const NOT_RUN_CODES: [&str; 6] = ["57P03", "53400", "57014", "40001", "25006", "57P01"];
/// SQLSTATE of an unknown outcome.
const UNKNOWN_CODE: &str = "08007";

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered without an error.
    Served(Vec<Option<String>>),
    /// Refused; it did not run.
    NotRun(CompactString),
    /// The caller was told that the outcome is unknown, or heard nothing.
    Unknown(CompactString),
    /// The database answered with an error.
    Failed(CompactString),
}

/// Sessions of one service, at hosts in turn, as behind a balancer.
#[derive(Debug)]
pub struct CallerPool {
    addresses: Vec<CompactString>,
    database: CompactString,
    options: CompactString,
    next: AtomicUsize,
    /// Used in turn, so that every host gets its share.
    idle: Mutex<VecDeque<DatabaseConnection>>,
    /// Keeps the number of sessions bounded; requests wait their turn, and the
    /// wait counts.
    permits: Semaphore,
}

impl CallerPool {
    /// A pool without sessions.
    #[must_use]
    pub fn new(
        addresses: &[CompactString],
        database: &str,
        service: &str,
        customer: &str,
    ) -> Arc<Self> {
        let options =
            format_compact!("-c fulmarrill.service={service} -c fulmarrill.customer={customer}");
        Arc::new(Self {
            addresses: addresses.to_vec(),
            database: database.into(),
            options,
            next: AtomicUsize::new(0),
            idle: Mutex::default(),
            permits: Semaphore::new(SESSIONS_MAX),
        })
    }

    async fn take(&self, position: Option<&str>) -> Result<DatabaseConnection, PgError> {
        if position.is_none()
            && let Some(connection) = self
                .idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .pop_front()
        {
            return Ok(connection);
        }
        let mut options = self.options.clone();
        if let Some(position) = position {
            options = format_compact!("{options} -c fulmarrill.position={position}");
        }
        let mut last = PgError::Closed;
        for _ in 0..self.addresses.len() {
            let turn = self.next.fetch_add(1, Ordering::Relaxed) % self.addresses.len();
            let target = ConnectTarget::new(&self.addresses[turn], "load", &self.database)
                .with_options(&options);
            match DatabaseConnection::connect(&target, Instant::now() + CONNECT_TIMEOUT).await {
                Ok(connection) => return Ok(connection),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Runs statements one after the other in one session and returns how the
    /// last one ended. `position` moves the session to another host first.
    pub async fn run(
        &self,
        statements: &[CompactString],
        position: Option<&str>,
        deadline: Instant,
    ) -> RequestOutcome {
        let _permit = self.permits.acquire().await;
        let mut connection = match self.take(position).await {
            Ok(connection) => connection,
            Err(error) => return RequestOutcome::NotRun(format_compact!("no host: {error}")),
        };
        let mut end = RequestOutcome::Served(Vec::new());
        for statement in statements {
            let Ok(bytes) = DatabaseConnection::query_bytes(statement) else {
                return RequestOutcome::Failed("statement cannot be encoded".into());
            };
            match connection.exchange(&bytes, deadline).await {
                Ok(answer) => end = read_end(&answer),
                Err(error) => return RequestOutcome::Unknown(format_compact!("{error}")),
            }
            if !matches!(end, RequestOutcome::Served(_)) {
                break;
            }
        }
        // After a refusal the session may be in a failed transaction.
        if connection.is_settled() && matches!(end, RequestOutcome::Served(_)) {
            self.idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push_back(connection);
        }
        end
    }
}

fn read_end(answer: &ExchangeAnswer) -> RequestOutcome {
    let Some(report) = &answer.error else {
        let mut column = Vec::new();
        for row in answer.rows() {
            column.push(row.text(0).map(str::to_owned));
        }
        return RequestOutcome::Served(column);
    };
    end_of_report(report)
}

fn end_of_report(report: &ErrorReport) -> RequestOutcome {
    let text = format_compact!("{} {}", report.code, report.message);
    if report.code == UNKNOWN_CODE {
        return RequestOutcome::Unknown(text);
    }
    if NOT_RUN_CODES.contains(&report.code.as_str()) {
        return RequestOutcome::NotRun(text);
    }
    RequestOutcome::Failed(text)
}
