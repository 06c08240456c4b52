//! A bounded pool of connections from one owner to one instance.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use event_listener::Event;
use fulmarrill_runtime::timeout_at;

use crate::catalogue::InstanceEntry;
use crate::catalogue::customers::CustomerName;
use crate::codec::{DatabaseCodec, DatabaseCommand};
use crate::owner::connection::{ConnectionError, DatabaseConnection};
use crate::owner::pairing::InstanceTraits;
use crate::statement::{PreparedShape, SessionValues};

/// Timeout for setting up a connection: several times what an instance takes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a probe: ten times what an instance takes, and several round trips
/// between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Prepared statements on one connection at which it is reset before its next
/// work outside a transaction.
const MAX_PREPARED_STATEMENTS: usize = 256;
/// Bytes of the prepared statements on one connection at which it is reset likewise. The
/// statements of ordinary callers have some hundred bytes each.
const MAX_PREPARED_BYTES: usize = 256 << 10;
/// Time after which an unused connection of a customer is closed. Others cannot use it,
/// and a new one takes a slot for 12 ms, so it is kept longer than an unnamed one; a full
/// pool closes it sooner.
const CUSTOMER_UNUSED_TIMEOUT: Duration = Duration::from_secs(20);

/// In whose name a connection is opened: that of a customer, or of the proxy itself.
pub type ConnectionUser = Option<CustomerName>;

/// A connection with the session values and prepared statements set up on it.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: DatabaseConnection,
    user: ConnectionUser,
    values: SessionValues,
    prepared: HashMap<PreparedShape, CompactString>,
    /// Bytes of the prepared statements.
    prepared_bytes: usize,
    /// Number in the next name of a prepared statement. Names are not reused, so
    /// that none can refer to an earlier shape whose `Prepare` went unanswered.
    next_name: u64,
    used_at: Instant,
}

impl PooledConnection {
    /// Appends the commands that set a session's values on this connection and
    /// prepare `shape`; returns the name under which `shape` is prepared. Outside
    /// a transaction the connection is reset first if an earlier session left
    /// values that `values` lacks, or if it has too many prepared statements.
    /// Inside the session's own transaction there are no such values.
    pub fn set_up(
        &mut self,
        values: &SessionValues,
        shape: Option<&PreparedShape>,
        in_transaction: bool,
        commands: &mut Vec<DatabaseCommand>,
    ) -> Option<CompactString> {
        let has_foreign = self.values.keys().any(|name| !values.contains_key(name));
        let prepared = self.prepared.len() + self.connection.markers();
        let is_full =
            prepared >= MAX_PREPARED_STATEMENTS || self.prepared_bytes >= MAX_PREPARED_BYTES;
        if !in_transaction && (has_foreign || is_full) {
            commands.push(DatabaseCommand::Reset);
            self.values = SessionValues::default();
            self.forget_prepared();
            self.connection.reset_markers();
        }
        if self.values != *values {
            for (name, value) in values.iter() {
                if self.values.get(name) != Some(value) {
                    commands.push(DatabaseCommand::Set(name.clone(), value.clone()));
                }
            }
            self.values = values.clone();
        }
        let shape = shape?;
        if let Some(name) = self.prepared.get(shape) {
            return Some(name.clone());
        }
        let name = format_compact!("p{}", self.next_name);
        self.next_name += 1;
        commands.push(DatabaseCommand::Prepare(name.clone(), shape.clone()));
        self.prepared_bytes += shape.text.len();
        self.prepared.insert(shape.clone(), name.clone());
        Some(name)
    }

    /// Forgets all prepared statements, after the instance reported that it does
    /// not know one of the names.
    pub fn forget_prepared(&mut self) {
        self.prepared_bytes = 0;
        self.prepared.clear();
    }
}

#[derive(Debug, Default)]
struct PoolState {
    idle: Vec<PooledConnection>,
    open: usize,
    retired: bool,
    /// No connection is opened before this time, because the instance reported
    /// too many.
    paused_until: Option<Instant>,
}

/// A pool of at most `limit` connections to one instance.
#[derive(Debug)]
pub struct ConnectionPool {
    codec: DatabaseCodec,
    instance: InstanceEntry,
    traits: Arc<InstanceTraits>,
    limit: usize,
    state: Mutex<PoolState>,
    freed: Event,
    /// Copies of answers on closed connections, not yet taken by a report.
    copied_answers: AtomicU64,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(codec: DatabaseCodec, instance: InstanceEntry, limit: usize) -> Arc<Self> {
        Arc::new(Self {
            codec,
            instance,
            traits: Arc::default(),
            limit,
            state: Mutex::default(),
            freed: Event::new(),
            copied_answers: AtomicU64::new(0),
        })
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of open connections and how many of them are idle.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state();
        (state.open, state.idle.len())
    }

    /// Takes an idle connection of `user`, preferably one with the same session values,
    /// else the one used last. If none is idle, opens one, in place of an idle one of
    /// another user if the pool is at its limit. Waits while all are in use or the pool
    /// is paused.
    ///
    /// # Errors
    ///
    /// If no connection is available before `deadline`, or a new one cannot be
    /// set up.
    pub async fn take(
        self: &Arc<Self>,
        user: &ConnectionUser,
        values: &SessionValues,
        deadline: Instant,
    ) -> Result<PoolLease, ConnectionError> {
        loop {
            let listener = self.freed.listen();
            if let Some(pooled) = self.take_idle(user, values) {
                let mut lease = PoolLease::new(self, pooled);
                let connection = &mut lease.get().connection;
                if connection.is_quiet().await && connection.is_reusable(Instant::now()) {
                    return Ok(lease);
                }
                // It was closed, or another answer may arrive that nobody waits for.
                continue;
            }
            if let Some(permit) = self.reserve() {
                // Boxed, because connections are opened rarely and used often.
                return Box::pin(permit.open(user.clone(), deadline)).await;
            }
            let until = self.paused_until().map_or(deadline, |at| at.min(deadline));
            if timeout_at(until, listener).await.is_err() && Instant::now() >= deadline {
                return Err(ConnectionError::Exhausted);
            }
        }
    }

    fn take_idle(&self, user: &ConnectionUser, values: &SessionValues) -> Option<PooledConnection> {
        let mut state = self.state();
        let mut best: Option<(bool, Instant, usize)> = None;
        for (index, pooled) in state.idle.iter().enumerate() {
            if pooled.user != *user {
                continue;
            }
            let rank = (pooled.values == *values, pooled.used_at, index);
            if best.is_none_or(|other| other < rank) {
                best = Some(rank);
            }
        }
        let (_, _, index) = best?;
        Some(state.idle.swap_remove(index))
    }

    /// Takes any idle connection, for commands that do not depend on its user.
    #[must_use]
    pub fn take_any_idle(self: &Arc<Self>) -> Option<PoolLease> {
        let mut state = self.state();
        let newest = (0..state.idle.len()).max_by_key(|&index| state.idle[index].used_at)?;
        let pooled = state.idle.swap_remove(newest);
        drop(state);
        Some(PoolLease::new(self, pooled))
    }

    fn reserve(self: &Arc<Self>) -> Option<PoolPermit> {
        let mut state = self.state();
        let now = Instant::now();
        if state.paused_until.is_some_and(|until| now >= until) {
            state.paused_until = None;
        }
        if state.paused_until.is_some() {
            return None;
        }
        if state.open >= self.limit {
            // The idle ones belong to other users.
            let oldest = (0..state.idle.len()).min_by_key(|&index| state.idle[index].used_at)?;
            state.idle.swap_remove(oldest);
            state.open -= 1;
        }
        state.open += 1;
        Some(PoolPermit {
            pool: self.clone(),
            is_held: true,
        })
    }

    fn paused_until(&self) -> Option<Instant> {
        self.state().paused_until
    }

    /// Returns how many copies of answers arrived since the last call.
    #[must_use]
    pub fn take_copied_answers(&self) -> u64 {
        self.copied_answers.swap(0, Ordering::Relaxed)
    }

    fn release_permit(&self) {
        self.state().open -= 1;
        self.freed.notify(1);
    }

    fn put_back(&self, mut pooled: PooledConnection) {
        pooled.used_at = Instant::now();
        let mut state = self.state();
        if state.retired || !pooled.connection.is_reusable(pooled.used_at) {
            state.open -= 1;
        } else {
            state.idle.push(pooled);
        }
        drop(state);
        self.freed.notify(1);
    }

    /// Sets up a connection outside the pool and returns whether the instance
    /// answered. A refusal is an answer, unless it comes from another instance.
    pub async fn probe(&self) -> bool {
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let traits = self.traits.clone();
        let connecting =
            DatabaseConnection::connect(self.codec, &self.instance, None, traits, deadline);
        connecting.await.err().is_none_or(|error| error.is_answer())
    }

    /// Opens no connection before `until`, after the instance reported too many:
    /// it counts those of an earlier owner for some seconds after a power loss.
    pub fn pause_opening(&self, until: Instant) {
        self.state().paused_until = Some(until);
    }

    /// Closes idle connections that were not used for `unused_time`, or longer if they
    /// are a customer's, but leaves `kept` connections open. The instance then counts
    /// fewer against a successor.
    pub fn trim(&self, now: Instant, unused_time: Duration, kept: usize) {
        let is_unused = |pooled: &PooledConnection| {
            let time = match pooled.user {
                None => unused_time,
                Some(_) => unused_time.max(CUSTOMER_UNUSED_TIMEOUT),
            };
            now.saturating_duration_since(pooled.used_at) >= time
        };
        let mut state = self.state();
        let mut excess = state.open.saturating_sub(kept);
        let before = state.idle.len();
        state.idle.retain(|pooled| {
            let stays = excess == 0 || !is_unused(pooled);
            excess -= usize::from(!stays);
            stays
        });
        state.open -= before - state.idle.len();
    }

    /// Closes the idle connections, and the others when they are given back.
    pub fn retire(&self) {
        self.state().retired = true;
        self.close_idle();
    }

    /// Closes all idle connections, after an exchange on one failed.
    pub fn close_idle(&self) {
        let mut state = self.state();
        let closed = state.idle.len();
        state.idle.clear();
        state.open -= closed;
        drop(state);
        self.freed.notify(closed);
    }
}

/// Permit to open one connection within the limit of a pool.
#[derive(Debug)]
struct PoolPermit {
    pool: Arc<ConnectionPool>,
    is_held: bool,
}

impl PoolPermit {
    async fn open(
        mut self,
        user: ConnectionUser,
        deadline: Instant,
    ) -> Result<PoolLease, ConnectionError> {
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let pool = self.pool.clone();
        let traits = pool.traits.clone();
        let customer = user.as_deref();
        let connection =
            DatabaseConnection::connect(pool.codec, &pool.instance, customer, traits, deadline)
                .await?;
        let pooled = PooledConnection {
            connection,
            user,
            values: SessionValues::default(),
            prepared: HashMap::new(),
            prepared_bytes: 0,
            next_name: 0,
            used_at: Instant::now(),
        };
        // The lease takes over the permit.
        self.is_held = false;
        Ok(PoolLease::new(&pool, pooled))
    }
}

impl Drop for PoolPermit {
    fn drop(&mut self) {
        if self.is_held {
            self.pool.release_permit();
        }
    }
}

/// A connection in use. It is closed when dropped without
/// [`PoolLease::release`], because an answer may be outstanding on it.
#[derive(Debug)]
pub struct PoolLease {
    pool: Arc<ConnectionPool>,
    /// Boxed, so that the futures of all owners and sessions stay small.
    pooled: Option<Box<PooledConnection>>,
    /// Place of the transaction that the connection is in.
    permit: Option<Arc<()>>,
}

impl PoolLease {
    fn new(pool: &Arc<ConnectionPool>, pooled: PooledConnection) -> Self {
        Self {
            pool: pool.clone(),
            pooled: Some(Box::new(pooled)),
            permit: None,
        }
    }

    /// Keeps the place of a transaction until the connection is given back or closed.
    pub fn set_permit(&mut self, permit: Option<Arc<()>>) {
        self.permit = permit;
    }

    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Never: the lease holds its connection until it is released.
    pub fn get(&mut self) -> &mut PooledConnection {
        self.pooled.as_mut().expect("a lease holds its connection")
    }

    fn take_pooled(&mut self) -> Option<Box<PooledConnection>> {
        let pooled = self.pooled.take()?;
        let copied = pooled.connection.copied_answers();
        self.pool
            .copied_answers
            .fetch_add(copied, Ordering::Relaxed);
        Some(pooled)
    }

    /// Returns the connection to the pool. No answer may be outstanding on it and
    /// no transaction open. It is closed if the copy of an answer could be mistaken
    /// for a later one.
    pub fn release(mut self) {
        if !self.get().connection.is_reusable(Instant::now()) {
            return;
        }
        if let Some(pooled) = self.take_pooled() {
            self.pool.put_back(*pooled);
        }
    }
}

impl Drop for PoolLease {
    fn drop(&mut self) {
        if self.take_pooled().is_some() {
            self.pool.release_permit();
        }
    }
}
