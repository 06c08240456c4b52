//! State of one instance: role, terms, log, and the applied part of the log.

use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicI32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use event_listener::{Event, EventListener};
use fulmarrill_position::{InstanceRole, InstanceStatus, LogPoint, Term};
use rusqlite::Connection;
use rusqlite::types::Value;
use serde::{Deserialize, Serialize};
use smol::lock::Semaphore;
use thiserror::Error;

use crate::database::engine::{EngineError, column_types, open_engine, run_statement};
use crate::database::sql::{ColumnTypes, parse_statements};
use crate::database::value::LoggedValue;

/// Time without an answer from its primary after which a replica is reported as
/// not streaming.
const STREAMING_TIMEOUT: Duration = Duration::from_millis(400);
/// Most entries sent in one answer to a replica.
const PULL_ENTRIES_MAX: usize = 256;

/// The connection on which one transaction at a time writes.
pub type WriteConnection = Arc<smol::lock::Mutex<Connection>>;

/// A statement in the log, with its parameters.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct LoggedStatement {
    /// Text for the embedded engine.
    pub sql: String,
    /// Values of `$1` and so on.
    pub parameters: Vec<LoggedValue>,
}

/// A committed transaction. Its position is its index in the log, counted from 1.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct LogEntry {
    /// Term in which it was committed.
    pub term: Term,
    /// Its statements in order.
    pub statements: Vec<LoggedStatement>,
}

/// A replica's request for the log entries after its last.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct PullRequest {
    /// Term of the primary that the replica follows.
    pub term: Term,
    /// Point of the last entry in the replica's log.
    pub last: LogPoint,
}

/// A primary's answer to a pull.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct PullAnswer {
    /// Term of the primary; 0 if the instance is not the primary of the term
    /// asked for.
    pub term: Term,
    /// Length to which the replica must truncate its log before it continues.
    pub cut_to: Option<u64>,
    /// Entries after the replica's last.
    pub entries: Vec<LogEntry>,
}

/// Faults that can be changed while an instance runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceFaults {
    /// Delay before pulled entries are added to the log, in milliseconds.
    pub receive_delay_ms: u64,
    /// Delay between the receipt of an entry and its application, in
    /// milliseconds.
    pub apply_delay_ms: u64,
    /// Whether the instance stops pulling the log.
    pub receive_paused: bool,
    /// Whether the instance stops applying the log.
    pub apply_paused: bool,
    /// Factor on the time of every statement on a table; 0 means 1.
    pub slowness: u32,
    /// Number of answers of a session after which one is sent twice, in turn right
    /// behind the first or before the next answer; 0 means never.
    pub repeat_interval: u64,
}

/// Why an instance refuses a command or a commit.
#[derive(Debug, Error)]
pub enum InstanceError {
    /// The term of the command conflicts with the term at which it is fenced.
    #[error("instance is fenced at term {held}, not {asked}")]
    Fenced {
        /// Term that it is fenced at.
        held: Term,
        /// Term of the command.
        asked: Term,
    },
    /// It is not, or no longer, a primary that may commit.
    #[error("instance is not the primary of the term that it is fenced at")]
    NotPrimary,
    /// The embedded engine failed.
    #[error(transparent)]
    Engine(#[from] EngineError),
}

#[derive(Debug)]
struct InstanceInner {
    role: InstanceRole,
    fence_term: Term,
    /// Term that the instance was last promoted in. A primary commits only while
    /// this equals `fence_term`.
    serving_term: Term,
    log: Vec<LogEntry>,
    applied: usize,
    upstream: Option<CompactString>,
    upstream_answered_at: Option<Instant>,
    matched: bool,
    generation: u64,
    /// Keeps the read copy in memory and applies entries to it.
    read_copy: Connection,
    /// Connection to the write copy.
    write_copy: WriteConnection,
    columns: Arc<ColumnTypes>,
    faults: InstanceFaults,
    statement_time: Duration,
}

/// Status of an instance, except whether it is streaming, which depends on the
/// time of the query.
#[derive(Debug, Clone, Copy)]
struct ReportedStatus {
    status: InstanceStatus,
    upstream_answered_at: Option<Instant>,
}

/// Lock on the state that updates the reported status when it is released.
struct StateGuard<'a> {
    inner: MutexGuard<'a, InstanceInner>,
    reported: &'a Mutex<ReportedStatus>,
}

impl Deref for StateGuard<'_> {
    type Target = InstanceInner;

    fn deref(&self) -> &InstanceInner {
        &self.inner
    }
}

impl DerefMut for StateGuard<'_> {
    fn deref_mut(&mut self) -> &mut InstanceInner {
        &mut self.inner
    }
}

impl Drop for StateGuard<'_> {
    fn drop(&mut self) {
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        *reported = self.inner.report();
    }
}

/// One instance, shared by its sessions and its replication tasks.
#[derive(Debug)]
pub struct InstanceState {
    engine_name: String,
    /// Permits for concurrently running statements.
    pub slots: Semaphore,
    inner: Mutex<InstanceInner>,
    /// Status at the last release of `inner`. Status queries read it without
    /// waiting for the lock, as a database server reports its position while it
    /// runs a long statement.
    reported: Mutex<ReportedStatus>,
    changed: Event,
    /// Events that end the sessions, by process id.
    sessions: Mutex<BTreeMap<i32, Arc<Event>>>,
    routes: Mutex<BTreeMap<CompactString, CompactString>>,
    next_process_id: AtomicI32,
}

impl InstanceState {
    /// Creates an empty replica without an upstream.
    ///
    /// # Errors
    ///
    /// The engine's error.
    pub fn new(name: &str, slots: usize) -> Result<Self, EngineError> {
        static NEXT_ID: AtomicU64 = AtomicU64::new(1);
        let engine_name = format!("{name}-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let read_copy = open_engine(&format!("{engine_name}-0"), None)?;
        let write_copy = open_engine(&format!("{engine_name}-0-work"), None)?;
        let inner = InstanceInner {
            role: InstanceRole::Replica,
            fence_term: 0,
            serving_term: 0,
            log: Vec::new(),
            applied: 0,
            upstream: None,
            upstream_answered_at: None,
            matched: false,
            generation: 0,
            read_copy,
            write_copy: Arc::new(smol::lock::Mutex::new(write_copy)),
            columns: Arc::default(),
            faults: InstanceFaults::default(),
            statement_time: Duration::ZERO,
        };
        Ok(Self {
            engine_name,
            slots: Semaphore::new(slots),
            reported: Mutex::new(inner.report()),
            inner: Mutex::new(inner),
            changed: Event::new(),
            sessions: Mutex::default(),
            routes: Mutex::default(),
            next_process_id: AtomicI32::new(1),
        })
    }

    fn lock(&self) -> StateGuard<'_> {
        StateGuard {
            inner: self.inner.lock().unwrap_or_else(PoisonError::into_inner),
            reported: &self.reported,
        }
    }

    fn reported(&self) -> ReportedStatus {
        *self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sessions(&self) -> MutexGuard<'_, BTreeMap<i32, Arc<Event>>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects to `through` instead of `address` when pulling the log.
    pub fn add_route(&self, address: &str, through: &str) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes.insert(address.into(), through.into());
    }

    /// The address to connect to for `address`.
    #[must_use]
    pub fn route(&self, address: &str) -> CompactString {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes
            .get(address)
            .cloned()
            .unwrap_or_else(|| address.into())
    }

    /// Registers a session; returns its process id and the event that ends it.
    pub fn add_session(&self) -> (i32, Arc<Event>) {
        let process_id = self.next_process_id.fetch_add(1, Ordering::Relaxed);
        let end_event = Arc::new(Event::new());
        self.sessions().insert(process_id, end_event.clone());
        (process_id, end_event)
    }

    /// Removes a session that has ended.
    pub fn remove_session(&self, process_id: i32) {
        self.sessions().remove(&process_id);
    }

    /// Ends a session; returns whether a running one was notified.
    pub fn end_session(&self, process_id: i32) -> bool {
        let end_event = self.sessions().remove(&process_id);
        end_event.is_some_and(|end_event| end_event.notify(usize::MAX) > 0)
    }

    /// Makes the instance the primary of `term` and commits the schema as its
    /// first entry.
    ///
    /// # Errors
    ///
    /// When a statement of the schema fails.
    pub fn start_primary(&self, term: Term, schema: &[String]) -> Result<(), EngineError> {
        let mut inner = self.lock();
        inner.role = InstanceRole::Primary;
        inner.matched = true;
        inner.fence_term = term;
        inner.serving_term = term;
        let mut statements = Vec::new();
        for sql in schema {
            let parsed = parse_statements(sql, &ColumnTypes::new(), &[]);
            for statement in parsed.unwrap_or_default() {
                statements.push(LoggedStatement {
                    sql: statement.sql,
                    parameters: Vec::new(),
                });
            }
        }
        inner.log.push(LogEntry { term, statements });
        inner.apply_all()
    }

    /// The status that the instance reports.
    #[must_use]
    pub fn status(&self) -> InstanceStatus {
        let reported = self.reported();
        let answered_at = reported.upstream_answered_at;
        let streaming = reported.status.role == InstanceRole::Replica
            && answered_at.is_some_and(|at| at.elapsed() < STREAMING_TIMEOUT);
        InstanceStatus {
            streaming,
            ..reported.status
        }
    }

    /// Refuses log entries and commits of earlier terms than `term` from now on.
    /// Idempotent.
    pub fn fence(&self, term: Term) {
        let mut inner = self.lock();
        if term <= inner.fence_term {
            return;
        }
        inner.fence_term = term;
        inner.upstream = None;
        inner.upstream_answered_at = None;
        self.changed.notify(usize::MAX);
    }

    /// Promotes the instance to primary of `term`, at which it must be fenced.
    /// Idempotent.
    ///
    /// # Errors
    ///
    /// When it is fenced at another term.
    pub fn promote(&self, term: Term) -> Result<(), InstanceError> {
        let mut inner = self.lock();
        if inner.fence_term != term {
            return Err(InstanceError::Fenced {
                held: inner.fence_term,
                asked: term,
            });
        }
        if inner.role == InstanceRole::Primary && inner.serving_term == term {
            return Ok(());
        }
        if inner.role == InstanceRole::Primary {
            inner.rebuild(&self.engine_name)?;
        }
        inner.apply_all()?;
        inner.role = InstanceRole::Primary;
        inner.matched = true;
        inner.serving_term = term;
        inner.upstream = None;
        // An empty entry of the new term, since points of earlier terms are never
        // confirmed.
        inner.log.push(LogEntry {
            term,
            statements: Vec::new(),
        });
        inner.apply_all()?;
        self.changed.notify(usize::MAX);
        Ok(())
    }

    /// Follows the primary of `term` at `address`. Idempotent.
    ///
    /// # Errors
    ///
    /// When it is fenced at a later term, or is itself that term's primary.
    pub fn follow(&self, term: Term, address: &str) -> Result<(), InstanceError> {
        let mut inner = self.lock();
        let is_leading = inner.role == InstanceRole::Primary && inner.serving_term == term;
        if term < inner.fence_term || is_leading {
            return Err(InstanceError::Fenced {
                held: inner.fence_term,
                asked: term,
            });
        }
        if inner.role == InstanceRole::Primary {
            // Ends every open transaction of the former primary.
            inner.rebuild(&self.engine_name)?;
            inner.matched = false;
        }
        inner.role = InstanceRole::Replica;
        inner.fence_term = term;
        if inner.upstream.as_deref() != Some(address) {
            inner.upstream = Some(address.into());
            inner.upstream_answered_at = None;
        }
        self.changed.notify(usize::MAX);
        Ok(())
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: InstanceFaults) {
        self.lock().faults = faults;
    }

    /// The current faults.
    #[must_use]
    pub fn faults(&self) -> InstanceFaults {
        self.lock().faults.clone()
    }

    /// Sets the time for which a statement on a table holds its slot.
    pub fn set_statement_time(&self, time: Duration) {
        self.lock().statement_time = time;
    }

    /// Time for which a statement on a table holds its slot, with the current
    /// slowness.
    #[must_use]
    pub fn statement_time(&self) -> Duration {
        let inner = self.lock();
        inner.statement_time * inner.faults.slowness.max(1)
    }

    /// Generation of the in-memory copies. A session of an earlier generation
    /// works on rows that were discarded.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.lock().generation
    }

    /// Opens a session's connection to the read copy; returns its generation too.
    ///
    /// # Errors
    ///
    /// The engine's error.
    pub fn open_session(self: &Arc<Self>) -> Result<(Connection, u64), EngineError> {
        let generation = self.generation();
        let connection = open_engine(&format!("{}-{generation}", self.engine_name), Some(self))?;
        Ok((connection, generation))
    }

    /// The connection on which transactions write, with the generation of its
    /// copy.
    #[must_use]
    pub fn write_connection(&self) -> (WriteConnection, u64) {
        let inner = self.lock();
        (inner.write_copy.clone(), inner.generation)
    }

    /// Declared types of all columns.
    #[must_use]
    pub fn columns(&self) -> Arc<ColumnTypes> {
        self.lock().columns.clone()
    }

    /// Whether writes are accepted.
    #[must_use]
    pub fn accepts_writes(&self) -> bool {
        self.lock().is_serving_primary()
    }

    /// Commits the transaction open on the write connection, appends its
    /// statements to the log and applies them to the read copy. Fails if the
    /// instance was fenced before.
    ///
    /// # Errors
    ///
    /// [`InstanceError::NotPrimary`] when the instance is not, or no longer, a
    /// primary that may commit; the transaction is still open then. Otherwise the
    /// engine's error.
    pub fn commit(
        &self,
        connection: &Connection,
        generation: u64,
        statements: Vec<LoggedStatement>,
    ) -> Result<(), InstanceError> {
        let mut inner = self.lock();
        if !inner.is_serving_primary() || inner.generation != generation {
            return Err(InstanceError::NotPrimary);
        }
        run_statement(connection, "COMMIT", &[])?;
        let term = inner.serving_term;
        inner.log.push(LogEntry { term, statements });
        let limit = inner.log.len();
        inner.apply_read_copy(limit)?;
        self.changed.notify(usize::MAX);
        Ok(())
    }

    /// Creates a listener that is notified when the state may have changed.
    #[must_use]
    pub fn listen_for_changes(&self) -> EventListener {
        self.changed.listen()
    }

    /// Answers a replica's pull; `None` if the replica has the whole log.
    #[must_use]
    pub fn answer_pull(&self, request: &PullRequest) -> Option<PullAnswer> {
        let inner = self.lock();
        let term = inner.serving_term;
        if inner.role != InstanceRole::Primary || term != request.term {
            return Some(PullAnswer {
                term: 0,
                cut_to: None,
                entries: Vec::new(),
            });
        }
        let last = usize::try_from(request.last.position).unwrap_or(usize::MAX);
        let common = last.min(inner.log.len());
        if inner.point_at(common) != request.last {
            let cut_to = inner.truncation_length(common, request.last.term);
            return Some(PullAnswer {
                term,
                cut_to: Some(cut_to),
                entries: Vec::new(),
            });
        }
        let rest = &inner.log[common..];
        if rest.is_empty() {
            return None;
        }
        let entries = rest[..rest.len().min(PULL_ENTRIES_MAX)].to_vec();
        Some(PullAnswer {
            term,
            cut_to: None,
            entries,
        })
    }

    /// The upstream and the request for it; `None` without an upstream or while
    /// receiving is paused.
    #[must_use]
    pub fn pull_request(&self) -> Option<(CompactString, PullRequest)> {
        let inner = self.lock();
        let upstream = inner.upstream.clone()?;
        if inner.faults.receive_paused {
            return None;
        }
        let last = inner.point_at(inner.log.len());
        Some((
            upstream,
            PullRequest {
                term: inner.fence_term,
                last,
            },
        ))
    }

    /// Appends the entries of an upstream's answer, or truncates the log as it
    /// says. An answer of another term, or for another end of the log, is ignored.
    ///
    /// # Errors
    ///
    /// The engine's error.
    pub fn append_pulled(
        &self,
        request: &PullRequest,
        answer: PullAnswer,
    ) -> Result<(), EngineError> {
        let mut inner = self.lock();
        let is_current = inner.role == InstanceRole::Replica
            && inner.upstream.is_some()
            && answer.term == inner.fence_term
            && request.term == inner.fence_term
            && inner.point_at(inner.log.len()) == request.last;
        if !is_current {
            return Ok(());
        }
        inner.upstream_answered_at = Some(Instant::now());
        if let Some(cut_to) = answer.cut_to {
            inner.truncate_log(cut_to, &self.engine_name)?;
            return Ok(());
        }
        inner.matched = true;
        inner.log.extend(answer.entries);
        self.changed.notify(usize::MAX);
        Ok(())
    }

    /// Applies received entries up to `limit`, if the instance is a replica.
    ///
    /// # Errors
    ///
    /// The engine's error.
    pub fn apply_to(&self, limit: usize) -> Result<(), EngineError> {
        let mut inner = self.lock();
        if inner.role != InstanceRole::Replica {
            return Ok(());
        }
        let limit = limit.min(inner.log.len());
        inner.apply_until(limit)
    }

    /// Points of the log entries with a statement that contains `text`.
    #[must_use]
    pub fn find_logged(&self, text: &str) -> Vec<LogPoint> {
        let inner = self.lock();
        let mut points = Vec::new();
        for (index, entry) in inner.log.iter().enumerate() {
            if entry
                .statements
                .iter()
                .any(|statement| statement.sql.contains(text))
            {
                points.push(inner.point_at(index + 1));
            }
        }
        points
    }

    /// Number of entries received and number of entries applied.
    #[must_use]
    pub fn progress(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.log.len(), inner.applied)
    }
}

fn changes_schema(sql: &str) -> bool {
    ["CREATE", "ALTER", "DROP"]
        .iter()
        .any(|word| sql.starts_with(word))
}

impl InstanceInner {
    fn report(&self) -> ReportedStatus {
        ReportedStatus {
            status: InstanceStatus {
                role: self.role,
                fence_term: self.fence_term,
                received: self.point_at(self.log.len()),
                applied: self.point_at(self.applied),
                streaming: false,
                matched: self.matched,
            },
            upstream_answered_at: self.upstream_answered_at,
        }
    }

    fn is_serving_primary(&self) -> bool {
        self.role == InstanceRole::Primary && self.serving_term == self.fence_term
    }

    fn point_at(&self, count: usize) -> LogPoint {
        match count.checked_sub(1) {
            Some(index) => LogPoint::new(self.log[index].term, count as u64),
            None => LogPoint::default(),
        }
    }

    /// Length to truncate a replica's log to: the number of the last entry up to
    /// `limit` whose term is not after `term`, but less than `limit`.
    fn truncation_length(&self, limit: usize, term: Term) -> u64 {
        let mut count = limit;
        while count > 0 && self.log[count - 1].term > term {
            count -= 1;
        }
        // The entry at `count` may still differ; the next pull checks it.
        (count as u64).min(limit.saturating_sub(1) as u64)
    }

    fn truncate_log(&mut self, cut_to: u64, engine_name: &str) -> Result<(), EngineError> {
        let length = usize::try_from(cut_to).unwrap_or(usize::MAX);
        self.log.truncate(length);
        if self.applied > self.log.len() {
            self.rebuild(engine_name)?;
        }
        Ok(())
    }

    /// Creates new in-memory copies and applies the log to them again.
    fn rebuild(&mut self, engine_name: &str) -> Result<(), EngineError> {
        self.generation += 1;
        let name = format!("{engine_name}-{}", self.generation);
        self.read_copy = open_engine(&name, None)?;
        let write_copy = open_engine(&format!("{name}-work"), None)?;
        // A transaction open on the old connection can no longer commit.
        self.write_copy = Arc::new(smol::lock::Mutex::new(write_copy));
        let limit = self.applied.min(self.log.len());
        self.applied = 0;
        self.apply_until(limit)
    }

    fn apply_all(&mut self) -> Result<(), EngineError> {
        self.apply_until(self.log.len())
    }

    /// Applies entries to both copies.
    fn apply_until(&mut self, limit: usize) -> Result<(), EngineError> {
        if self.applied >= limit {
            return Ok(());
        }
        let write_copy = self.write_copy.clone();
        // The lock is free: only a primary has transactions that write, and a
        // primary does not apply received entries.
        if let Some(write_copy) = write_copy.try_lock() {
            apply_entries(&write_copy, &self.log[self.applied..limit])?;
        }
        self.apply_read_copy(limit)
    }

    /// Applies entries to the read copy.
    fn apply_read_copy(&mut self, limit: usize) -> Result<(), EngineError> {
        let entries = &self.log[self.applied..limit];
        apply_entries(&self.read_copy, entries)?;
        let mut statements = entries.iter().flat_map(|entry| &entry.statements);
        let schema_changed = statements.any(|statement| changes_schema(&statement.sql));
        self.applied = limit;
        if schema_changed {
            self.columns = Arc::new(column_types(&self.read_copy)?);
        }
        Ok(())
    }
}

/// Applies entries in one transaction, which is rolled back if one fails.
fn apply_entries(connection: &Connection, entries: &[LogEntry]) -> Result<(), EngineError> {
    run_statement(connection, "BEGIN IMMEDIATE", &[])?;
    let result = apply_statements(connection, entries);
    if result.is_err() {
        run_statement(connection, "ROLLBACK", &[]).ok();
    }
    result
}

fn apply_statements(connection: &Connection, entries: &[LogEntry]) -> Result<(), EngineError> {
    for entry in entries {
        for statement in &entry.statements {
            let parameters: Vec<Value> = statement.parameters.iter().map(Value::from).collect();
            run_statement(connection, &statement.sql, &parameters)?;
        }
    }
    run_statement(connection, "COMMIT", &[])?;
    Ok(())
}
