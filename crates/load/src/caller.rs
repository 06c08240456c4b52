//! A pool of callers' sessions that are reused between requests.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use fulmarrill_pg::{BackendResponse, ConnectTarget, DatabaseConnection, ErrorReport, PgError};
use smol::lock::Semaphore;

/// Maximum number of requests of one pool that are in flight at the same time.
const IN_FLIGHT_MAX: usize = 600;
/// Timeout for connecting to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// SQLSTATEs of refusals: the request did not run.
const NOT_RUN_CODES: [&str; 6] = ["57P03", "53400", "57014", "40001", "25006", "57P01"];
/// SQLSTATE of an unknown outcome.
const UNKNOWN_CODE: &str = "08007";

/// Outcome of a request as seen by its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered without an error; the first column of the last statement's rows.
    Served(Vec<Option<String>>),
    /// Refused without running, or no host could be reached.
    NotRun(CompactString),
    /// The outcome was reported as unknown, or no answer arrived.
    Unknown(CompactString),
    /// The database answered with an error.
    Failed(CompactString),
}

/// Sessions of one service, spread over the hosts round robin, as by a load balancer.
#[derive(Debug)]
pub struct CallerPool {
    addresses: Vec<CompactString>,
    database: CompactString,
    options: CompactString,
    next: AtomicUsize,
    /// Reused first in, first out, so that requests spread evenly over the hosts.
    idle: Mutex<VecDeque<DatabaseConnection>>,
    /// Bounds the requests in flight. Requests queue for a permit, and the wait is
    /// part of their latency.
    permits: Semaphore,
}

impl CallerPool {
    /// Creates a pool without open sessions.
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
            permits: Semaphore::new(IN_FLIGHT_MAX),
        })
    }

    async fn take_connection(&self, position: Option<&str>) -> Result<DatabaseConnection, PgError> {
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
        let mut last_error = PgError::Closed;
        for _ in 0..self.addresses.len() {
            let index = self.next.fetch_add(1, Ordering::Relaxed) % self.addresses.len();
            let target = ConnectTarget::new(&self.addresses[index], "load", &self.database)
                .with_options(&options);
            match DatabaseConnection::connect(&target, Instant::now() + CONNECT_TIMEOUT).await {
                Ok(connection) => return Ok(connection),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Runs statements in sequence in one session and returns the outcome of the
    /// last one that ran; the first one that is not served ends the sequence. With
    /// a `position`, a new session is opened at the next host with that position.
    pub async fn run(
        &self,
        statements: &[CompactString],
        position: Option<&str>,
        deadline: Instant,
    ) -> RequestOutcome {
        let _permit = self.permits.acquire().await;
        let mut connection = match self.take_connection(position).await {
            Ok(connection) => connection,
            Err(error) => {
                return RequestOutcome::NotRun(format_compact!(
                    "no host accepted the session: {error}"
                ));
            }
        };
        let mut outcome = RequestOutcome::Served(Vec::new());
        for statement in statements {
            let Ok(bytes) = DatabaseConnection::encode_query(statement) else {
                return RequestOutcome::Failed("statement cannot be encoded".into());
            };
            match connection.exchange(&bytes, deadline).await {
                Ok(answer) => outcome = read_outcome(&answer),
                Err(error) => return RequestOutcome::Unknown(format_compact!("{error}")),
            }
            if !matches!(outcome, RequestOutcome::Served(_)) {
                break;
            }
        }
        // A session whose last statement was not served may be in a failed transaction
        // and is not reused.
        if connection.is_drained() && matches!(outcome, RequestOutcome::Served(_)) {
            self.idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push_back(connection);
        }
        outcome
    }
}

fn read_outcome(answer: &BackendResponse) -> RequestOutcome {
    let Some(report) = &answer.error else {
        let mut column = Vec::new();
        for row in answer.rows() {
            column.push(row.text(0).map(str::to_owned));
        }
        return RequestOutcome::Served(column);
    };
    outcome_of_report(report)
}

fn outcome_of_report(report: &ErrorReport) -> RequestOutcome {
    let text = format_compact!("{} {}", report.code, report.message);
    if report.code == UNKNOWN_CODE {
        return RequestOutcome::Unknown(text);
    }
    if NOT_RUN_CODES.contains(&report.code.as_str()) {
        return RequestOutcome::NotRun(text);
    }
    RequestOutcome::Failed(text)
}
