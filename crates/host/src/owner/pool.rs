//! Connection pool of one instance.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use event_listener::Event;
use fulmarrill_pg::{ConnectTarget, DatabaseConnection, PgError};
use fulmarrill_runtime::timeout_at;
use thiserror::Error;

use crate::owner::adapter::DatabaseAdapter;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without use after which a connection is probed before it is handed out.
const TRUSTED_IDLE_TIME: Duration = Duration::from_millis(100);
/// Timeout for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of prepared statements on one connection; with more it is
/// closed instead of returned to the pool.
const PREPARED_MAX: usize = 500;
/// Backoff between failed attempts to open a connection.
const OPEN_BACKOFF_MIN: Duration = Duration::from_millis(20);
const OPEN_BACKOFF_MAX: Duration = Duration::from_millis(500);

/// Why no connection could be acquired. Nothing was sent to the instance.
#[derive(Debug, Error)]
pub enum PoolError {
    /// A connection could not be opened.
    #[error("cannot connect to instance: {0}")]
    Connect(#[from] PgError),
    /// All connections were in use until the deadline.
    #[error("no connection became free before the deadline")]
    Exhausted,
    /// Opening failed recently and the backoff has not ended.
    #[error("instance could not be reached a moment ago")]
    BackingOff,
}

/// A connection and the names of the statements prepared on it.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: DatabaseConnection,
    /// Names of statements prepared on it.
    pub prepared: HashSet<CompactString>,
    /// Whether a statement changed a setting or other state of the session, which a
    /// later caller would meet.
    pub is_altered: bool,
    used_at: Instant,
}

#[derive(Debug)]
struct PoolInner {
    idle: Vec<PooledConnection>,
    open: usize,
    failures: u32,
    next_open_at: Instant,
}

/// A pool with a fixed maximum of connections to one instance.
///
/// The maximum is less than half of what the instance accepts, so that a
/// successor can connect while the connections of a dead owner are still
/// counted. It is at least one.
#[derive(Debug)]
pub struct ConnectionPool {
    target: ConnectTarget,
    limit: usize,
    inner: Mutex<PoolInner>,
    changed: Event,
}

impl ConnectionPool {
    /// A pool without connections.
    #[must_use]
    pub fn new(target: ConnectTarget, limit: usize) -> Arc<Self> {
        let inner = PoolInner {
            idle: Vec::new(),
            open: 0,
            failures: 0,
            next_open_at: Instant::now(),
        };
        Arc::new(Self {
            target,
            limit,
            inner: Mutex::new(inner),
            changed: Event::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, PoolInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of open connections, and how many of them are idle.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.open, inner.idle.len())
    }

    /// Acquires a connection that has been used or probed recently, and opens
    /// one if there is none.
    ///
    /// # Errors
    ///
    /// If none can be acquired before `deadline`.
    pub async fn acquire(self: &Arc<Self>, deadline: Instant) -> Result<PoolLease, PoolError> {
        loop {
            let listener = self.changed.listen();
            if let Some(mut lease) = self.take_idle() {
                if !lease.connection().is_reusable().await {
                    continue;
                }
                match self.probe_if_idle(lease).await {
                    Some(lease) => return Ok(lease),
                    None => continue,
                }
            }
            if self.reserve()? {
                return self.open(deadline).await;
            }
            timeout_at(deadline, listener)
                .await
                .map_err(|_| PoolError::Exhausted)?;
        }
    }

    fn take_idle(self: &Arc<Self>) -> Option<PoolLease> {
        let pooled = self.lock().idle.pop()?;
        Some(PoolLease {
            pool: self.clone(),
            pooled: Some(pooled),
        })
    }

    /// Probes a connection that was idle for a while. Connections to an
    /// instance go silent together, so when one fails, all that were not used
    /// recently are closed.
    async fn probe_if_idle(self: &Arc<Self>, mut lease: PoolLease) -> Option<PoolLease> {
        let pooled = lease.pooled.as_mut()?;
        if pooled.used_at.elapsed() < TRUSTED_IDLE_TIME {
            return Some(lease);
        }
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let probe = DatabaseAdapter::run(&mut pooled.connection, DatabaseAdapter::STATUS, deadline);
        if probe.await.is_ok() {
            pooled.used_at = Instant::now();
            return Some(lease);
        }
        drop(lease);
        self.discard_idle();
        None
    }

    /// Closes every idle connection that was not used recently.
    fn discard_idle(&self) {
        let mut inner = self.lock();
        let before = inner.idle.len();
        inner
            .idle
            .retain(|pooled| pooled.used_at.elapsed() < TRUSTED_IDLE_TIME);
        let closed = before - inner.idle.len();
        inner.open -= closed;
    }

    /// Counts one more connection as open before opening it; false if the pool
    /// is full.
    fn reserve(&self) -> Result<bool, PoolError> {
        let mut inner = self.lock();
        if inner.open >= self.limit {
            return Ok(false);
        }
        if Instant::now() < inner.next_open_at {
            return Err(PoolError::BackingOff);
        }
        inner.open += 1;
        Ok(true)
    }

    async fn open(self: &Arc<Self>, deadline: Instant) -> Result<PoolLease, PoolError> {
        // The lease releases the reservation if this future is dropped.
        let mut lease = PoolLease {
            pool: self.clone(),
            pooled: None,
        };
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        match DatabaseConnection::connect(&self.target, deadline).await {
            Ok(connection) => {
                self.lock().failures = 0;
                let used_at = Instant::now();
                let prepared = HashSet::new();
                lease.pooled = Some(PooledConnection {
                    connection,
                    prepared,
                    is_altered: false,
                    used_at,
                });
                Ok(lease)
            }
            Err(error) => {
                self.note_failure();
                Err(error.into())
            }
        }
    }

    /// Starts a backoff, so that an instance that comes back is not hit by a
    /// thundering herd.
    fn note_failure(&self) {
        let mut inner = self.lock();
        inner.failures += 1;
        let wait = fulmarrill_schedule::backoff_delay(
            inner.failures,
            OPEN_BACKOFF_MIN,
            OPEN_BACKOFF_MAX,
            fastrand::f64(),
        );
        inner.next_open_at = Instant::now() + wait;
    }

    /// Opens one connection if fewer than `wanted` are open and the limits
    /// allow it.
    pub async fn open_ahead(self: &Arc<Self>, wanted: usize) {
        let (open, _) = self.counts();
        if open >= wanted.min(self.limit) || !self.reserve().unwrap_or(false) {
            return;
        }
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        if let Ok(lease) = self.open(deadline).await {
            lease.give_back();
        }
    }

    /// Probes the connection that was idle the longest, if that is at least
    /// five times `TRUSTED_IDLE_TIME`.
    pub async fn probe_oldest(self: &Arc<Self>) {
        let oldest = {
            let mut inner = self.lock();
            let stale = inner
                .idle
                .first()
                .is_some_and(|p| p.used_at.elapsed() > TRUSTED_IDLE_TIME * 5);
            if stale {
                Some(inner.idle.remove(0))
            } else {
                None
            }
        };
        let Some(pooled) = oldest else {
            return;
        };
        let lease = PoolLease {
            pool: self.clone(),
            pooled: Some(pooled),
        };
        if let Some(lease) = self.probe_if_idle(lease).await {
            lease.give_back();
        }
    }

    /// Terminates a connection at the server through another one, and with it
    /// its transaction. Returns whether the server confirmed it.
    pub async fn terminate(self: &Arc<Self>, process_id: i32, deadline: Instant) -> bool {
        let Ok(mut lease) = self.acquire(deadline).await else {
            return false;
        };
        let sql = DatabaseAdapter::terminate(process_id);
        let ended = lease.connection().query(&sql, deadline).await.is_ok();
        if ended {
            lease.give_back();
        }
        ended
    }
}

/// A connection on lease from the pool. If it is dropped without
/// [`PoolLease::give_back`] it is closed, since an answer may be outstanding.
#[derive(Debug)]
pub struct PoolLease {
    pool: Arc<ConnectionPool>,
    pooled: Option<PooledConnection>,
}

impl PoolLease {
    /// The connection and its prepared statements.
    ///
    /// # Panics
    ///
    /// Never: a lease handed out holds a connection.
    pub fn pooled(&mut self) -> &mut PooledConnection {
        self.pooled
            .as_mut()
            .expect("a lease handed out holds a connection")
    }

    /// The connection.
    pub fn connection(&mut self) -> &mut DatabaseConnection {
        &mut self.pooled().connection
    }

    /// Returns the connection to the pool. It is closed instead if an answer is
    /// outstanding, a transaction is open, its session was altered, or it has too
    /// many prepared statements.
    pub fn give_back(mut self) {
        let Some(mut pooled) = self.pooled.take() else {
            return;
        };
        let is_clean = pooled.connection.is_drained() && !pooled.is_altered;
        if !is_clean || pooled.prepared.len() > PREPARED_MAX {
            self.pooled = Some(pooled);
            return;
        }
        pooled.used_at = Instant::now();
        self.pool.lock().idle.push(pooled);
        self.pool.changed.notify(1);
        // Balances the drop of this lease, so that the count of open
        // connections does not change.
        self.pool.lock().open += 1;
    }
}

impl Drop for PoolLease {
    fn drop(&mut self) {
        self.pooled = None;
        let mut inner = self.pool.lock();
        inner.open = inner.open.saturating_sub(1);
        drop(inner);
        self.pool.changed.notify(1);
    }
}
