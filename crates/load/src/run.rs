//! Runs streams of requests against the callers' ports of hosts.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use compact_str::{CompactString, format_compact};
use serde::Deserialize;
use smol::Timer;

use crate::arrivals::draw_arrivals;
use crate::caller::{CallerPool, RequestOutcome};
use crate::ledger::WriteLedger;
use crate::report::LoadReport;

/// Time that a caller still waits for an answer after the time allowed.
const ANSWER_GRACE: Duration = Duration::from_secs(4);
/// Number of distinct values of the `badge` column over which requests are spread.
const BADGE_COUNT: u64 = 200;

/// Kind of the requests of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadKind {
    /// A read of one row.
    Read,
    /// A read that occupies its slot for 20 ms longer, like a reporting query.
    SlowRead,
    /// A write with a request key.
    KeyedWrite,
    /// A write without a request key.
    PlainWrite,
    /// A keyed write, then a read of it with the session's position on a new session
    /// at the next host.
    WriteThenRead,
    /// An explicit transaction with one insert.
    Transaction,
}

/// A stream of requests from one service at a constant mean rate.
#[derive(Debug, Clone)]
pub struct LoadStream {
    service: CompactString,
    customer: CompactString,
    kind: LoadKind,
    rate: f64,
    time_allowed: Duration,
}

impl LoadStream {
    /// Creates a stream of `rate` requests per second for the customer `city`.
    #[must_use]
    pub fn new(service: &str, kind: LoadKind, rate: f64) -> Self {
        Self {
            service: service.into(),
            customer: "city".into(),
            kind,
            rate,
            time_allowed: Duration::from_secs(4),
        }
    }

    /// Sets the customer.
    #[must_use]
    pub fn with_customer(mut self, customer: &str) -> Self {
        self.customer = customer.into();
        self
    }

    /// Sets the latency up to which an answer counts as in time.
    #[must_use]
    pub fn with_time_allowed(mut self, time: Duration) -> Self {
        self.time_allowed = time;
        self
    }
}

/// A load run: target, duration, seed and streams.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    database: CompactString,
    addresses: Vec<CompactString>,
    seed: u64,
    time: Duration,
    streams: Vec<LoadStream>,
    ledger: Arc<WriteLedger>,
}

impl LoadPlan {
    /// Creates a plan without streams and with a duration of one second.
    #[must_use]
    pub fn new(database: &str, addresses: Vec<CompactString>, seed: u64) -> Self {
        Self {
            database: database.into(),
            addresses,
            seed,
            time: Duration::from_secs(1),
            streams: Vec::new(),
            ledger: Arc::new(WriteLedger::new()),
        }
    }

    /// Sets the duration over which requests arrive.
    #[must_use]
    pub fn with_time(mut self, time: Duration) -> Self {
        self.time = time;
        self
    }

    /// Adds a stream.
    #[must_use]
    pub fn with_stream(mut self, stream: LoadStream) -> Self {
        self.streams.push(stream);
        self
    }

    /// Returns the ledger of the run's writes.
    #[must_use]
    pub fn ledger(&self) -> Arc<WriteLedger> {
        self.ledger.clone()
    }
}

/// State shared by the requests of a run.
#[derive(Debug)]
struct RunState {
    plan: LoadPlan,
    report: Mutex<LoadReport>,
    /// Time of the latest acknowledged write.
    last_acknowledged_at: Mutex<Option<Instant>>,
}

impl RunState {
    fn record(&self, stream: &LoadStream, outcome: &RequestOutcome, time: Duration, stale: bool) {
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = report.streams.entry(stream.service.clone()).or_default();
        entry.record(outcome, time, stream.time_allowed);
        entry.stale += u64::from(stale);
    }

    /// Updates the longest gap between two acknowledged writes.
    fn update_write_gap(&self) {
        let now = Instant::now();
        let last = {
            let mut last_write_at = self
                .last_acknowledged_at
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            last_write_at.replace(now)
        };
        if let Some(last) = last {
            let gap = now.saturating_duration_since(last);
            let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
            report.write_gap = report.write_gap.max(gap);
        }
    }
}

/// Runs all streams of a plan concurrently and waits until every request has ended.
pub async fn run_load(plan: &LoadPlan) -> LoadReport {
    let state = Arc::new(RunState {
        plan: plan.clone(),
        report: Mutex::default(),
        last_acknowledged_at: Mutex::default(),
    });
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    for (index, stream) in plan.streams.iter().enumerate() {
        let (state, stream) = (state.clone(), stream.clone());
        tasks.push(fulmarrill_runtime::spawn(run_stream(
            state,
            stream,
            index as u64,
            started_at,
        )));
    }
    for task in tasks {
        task.await;
    }
    let mut report = state
        .report
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    report.acknowledged = plan.ledger.acknowledged();
    report
}

async fn run_stream(state: Arc<RunState>, stream: LoadStream, index: u64, started_at: Instant) {
    let plan = &state.plan;
    let pool = CallerPool::new(
        &plan.addresses,
        &plan.database,
        &stream.service,
        &stream.customer,
    );
    let arrivals = draw_arrivals(stream.rate, plan.time, plan.seed.wrapping_add(index));
    let mut tasks = Vec::new();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        let arrival_at = started_at + arrival;
        Timer::at(arrival_at).await;
        let request = StreamRequest {
            state: state.clone(),
            stream: stream.clone(),
            pool: pool.clone(),
            id: format_compact!("{}-{}-{number}", plan.seed, stream.service),
            number: number as u64,
            arrival_at,
        };
        tasks.push(fulmarrill_runtime::spawn(request.run()));
    }
    for task in tasks {
        task.await;
    }
}

/// One request of a stream.
struct StreamRequest {
    state: Arc<RunState>,
    stream: LoadStream,
    pool: Arc<CallerPool>,
    id: CompactString,
    number: u64,
    arrival_at: Instant,
}

impl StreamRequest {
    async fn run(self) {
        let badge = self.number % BADGE_COUNT;
        let insert = format_compact!(
            "INSERT INTO renewals (id, badge) VALUES ('{}', {badge})",
            self.id
        );
        let statements = match self.stream.kind {
            LoadKind::Read => vec![select_statement(badge, false)],
            LoadKind::SlowRead => vec![select_statement(badge, true)],
            LoadKind::PlainWrite => vec![insert],
            LoadKind::KeyedWrite => vec![self.request_key_statement(), insert],
            LoadKind::WriteThenRead => {
                vec![
                    self.request_key_statement(),
                    insert,
                    "SHOW fulmarrill.position".into(),
                ]
            }
            LoadKind::Transaction => vec!["BEGIN".into(), insert, "COMMIT".into()],
        };
        let deadline = self.arrival_at + self.stream.time_allowed + ANSWER_GRACE;
        let outcome = self.pool.run(&statements, None, deadline).await;
        let time = self.arrival_at.elapsed();
        self.record_write(&outcome);
        let stale = self.is_follow_up_stale(&outcome, deadline).await;
        self.state.record(&self.stream, &outcome, time, stale);
    }

    fn request_key_statement(&self) -> CompactString {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        format_compact!(
            "SET fulmarrill.request_key = '{}-{}'",
            since_epoch.as_millis(),
            self.id
        )
    }

    fn writes(&self) -> bool {
        !matches!(self.stream.kind, LoadKind::Read | LoadKind::SlowRead)
    }

    fn record_write(&self, outcome: &RequestOutcome) {
        if !self.writes() {
            return;
        }
        let ledger = &self.state.plan.ledger;
        match outcome {
            RequestOutcome::Served(_) => {
                ledger.record_acknowledged(&self.id);
                self.state.update_write_gap();
            }
            RequestOutcome::NotRun(message) | RequestOutcome::Failed(message) => {
                ledger.record_not_run(&self.id, message);
            }
            RequestOutcome::Unknown(_) => ledger.record_unknown(&self.id),
        }
    }

    /// Reads the write back on another session with the position of the first one;
    /// true if that read succeeds and does not see the write.
    async fn is_follow_up_stale(&self, outcome: &RequestOutcome, deadline: Instant) -> bool {
        let (LoadKind::WriteThenRead, RequestOutcome::Served(column)) = (self.stream.kind, outcome)
        else {
            return false;
        };
        let position = column.first().and_then(Option::as_deref);
        let read = format_compact!("SELECT count(*) FROM renewals WHERE id = '{}'", self.id);
        match self.pool.run(&[read], position, deadline).await {
            RequestOutcome::Served(column) => {
                column.first().and_then(Option::as_deref) != Some("1")
            }
            _ => false,
        }
    }
}

fn select_statement(badge: u64, slow: bool) -> CompactString {
    if slow {
        return format_compact!(
            "SELECT count(*), pg_sleep(0.02) FROM renewals WHERE badge = {badge}"
        );
    }
    format_compact!("SELECT count(*) FROM renewals WHERE badge = {badge}")
}
