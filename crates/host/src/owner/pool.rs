//! The connections of one instance.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use event_listener::Event;
use fulmarrill_pg::{ConnectTarget, DatabaseConnection, PgError};
use fulmarrill_runtime::timeout_at;
use thiserror::Error;

use crate::owner::adapter::DatabaseAdapter;

/// Time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection unused for this long is probed before it is trusted.
const TRUST_TIME: Duration = Duration::from_millis(100);
/// Time within which a probe must be answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Prepared statements on one connection, above which it is replaced.
const PREPARED_MAX: usize = 500;
/// Waits before the next try to open, after failures.
const OPEN_BACKOFF_BASE: Duration = Duration::from_millis(20);
const OPEN_BACKOFF_MOST: Duration = Duration::from_millis(500);

/// Why no connection could be had. Nothing was sent.
#[derive(Debug, Error)]
pub enum PoolError {
    /// Opening one failed.
    #[error("cannot connect to instance: {0}")]
    Connect(#[from] PgError),
    /// All were in use until the deadline.
    #[error("no connection became free before the deadline")]
    Exhausted,
    /// Opening failed a moment ago and is not tried again yet.
    #[error("instance could not be reached a moment ago")]
    BackingOff,
}

/// A connection and what is prepared on it.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: DatabaseConnection,
    /// Names of statements prepared on it.
    pub prepared: HashSet<CompactString>,
    used_at: Instant,
}

#[derive(Debug)]
struct PoolInner {
    idle: Vec<PooledConnection>,
    open: usize,
    failures: u32,
    open_again_at: Instant,
}

/// Connections of one instance, at most a fixed number.
///
/// The number is less than half of what the instance accepts: a successor must
/// be able to connect while a dead owner's connections are still counted.
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
            open_again_at: Instant::now(),
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

    /// Number of open connections, and of those that are idle.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.open, inner.idle.len())
    }

    /// Takes a connection that is known to answer, opening one if need be.
    ///
    /// # Errors
    ///
    /// When none can be had before `deadline`.
    pub async fn acquire(self: &Arc<Self>, deadline: Instant) -> Result<PoolLease, PoolError> {
        loop {
            let listener = self.changed.listen();
            if let Some(lease) = self.take_idle() {
                match self.check(lease).await {
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

    /// Probes a connection that was idle for a while. Open connections go
    /// silent together, so the failure of one makes all idle ones suspect.
    async fn check(self: &Arc<Self>, mut lease: PoolLease) -> Option<PoolLease> {
        let pooled = lease.pooled.as_mut()?;
        if pooled.used_at.elapsed() < TRUST_TIME {
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

    /// Closes every idle connection that was not used a moment ago.
    fn discard_idle(&self) {
        let mut inner = self.lock();
        let before = inner.idle.len();
        inner
            .idle
            .retain(|pooled| pooled.used_at.elapsed() < TRUST_TIME);
        let closed = before - inner.idle.len();
        inner.open -= closed;
    }

    /// Reserves the right to open one more.
    fn reserve(&self) -> Result<bool, PoolError> {
        let mut inner = self.lock();
        if inner.open >= self.limit {
            return Ok(false);
        }
        if Instant::now() < inner.open_again_at {
            return Err(PoolError::BackingOff);
        }
        inner.open += 1;
        Ok(true)
    }

    async fn open(self: &Arc<Self>, deadline: Instant) -> Result<PoolLease, PoolError> {
        // The lease gives the reservation back if this future is dropped.
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

    /// After a failure nobody opens for a moment, so that an instance that
    /// comes back does not meet a stampede.
    fn note_failure(&self) {
        let mut inner = self.lock();
        inner.failures += 1;
        let wait = fulmarrill_schedule::backoff_delay(
            inner.failures,
            OPEN_BACKOFF_BASE,
            OPEN_BACKOFF_MOST,
            fastrand::f64(),
        );
        inner.open_again_at = Instant::now() + wait;
    }

    /// Opens one connection if fewer than `wanted` are open.
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

    /// Probes the connection that was idle for the longest.
    pub async fn probe_oldest(self: &Arc<Self>) {
        let oldest = {
            let mut inner = self.lock();
            let stale = inner
                .idle
                .first()
                .is_some_and(|p| p.used_at.elapsed() > TRUST_TIME * 5);
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
        if let Some(lease) = self.check(lease).await {
            lease.give_back();
        }
    }

    /// Ends a connection at the server by way of another one, and so its
    /// transaction. Says whether the server confirmed it.
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

/// A connection in somebody's hands. Dropped without
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

    /// Returns the connection, unless it still owes an answer.
    pub fn give_back(mut self) {
        let Some(mut pooled) = self.pooled.take() else {
            return;
        };
        if !pooled.connection.is_drained() || pooled.prepared.len() > PREPARED_MAX {
            self.pooled = Some(pooled);
            return;
        }
        pooled.used_at = Instant::now();
        self.pool.lock().idle.push(pooled);
        self.pool.changed.notify(1);
        // The connection went back: the count of open ones stays as it is.
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
