//! Links to other hosts, set up on demand.
//!
//! A host that cannot be reached is avoided until a background task reconnects to
//! it, so that no work waits for a host that is gone.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_link::{LinkError, PeerLink};
use fulmarrill_schedule::backoff_delay;
use smol::Timer;

use crate::peers::{LINK_TIMING, ProxyCall, ProxyProtocol, ProxyReply};

/// Timeout of setting up a link: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Base of the backoff between attempts to reconnect.
const RETRY_DELAY_BASE: Duration = Duration::from_millis(150);
/// Longest backoff between attempts to reconnect.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);
/// Attempts after which reconnecting stops; the next call to the host connects
/// again.
const RETRIES_MAX: u32 = 20;

/// A link to another host.
type HostLink = PeerLink<ProxyProtocol>;
/// The link to one host, if any. The lock is held while connecting, so that
/// concurrent calls set up one link.
type LinkCell = Arc<smol::lock::Mutex<Option<Arc<HostLink>>>>;

/// Links to other hosts.
#[derive(Debug)]
pub struct PeerPool {
    host: CompactString,
    links: Mutex<HashMap<CompactString, LinkCell>>,
    avoided: Mutex<HashSet<CompactString>>,
    /// When something was last received from the host at an address.
    heard: Mutex<HashMap<CompactString, Instant>>,
}

impl PeerPool {
    /// Creates a pool without links. `host` is the name of this host.
    #[must_use]
    pub fn new(host: &str) -> Arc<Self> {
        Arc::new(Self {
            host: host.into(),
            links: Mutex::default(),
            avoided: Mutex::default(),
            heard: Mutex::default(),
        })
    }

    fn links(&self) -> MutexGuard<'_, HashMap<CompactString, LinkCell>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn avoided(&self) -> MutexGuard<'_, HashSet<CompactString>> {
        self.avoided.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a host was unreachable and a background task still tries to
    /// reconnect.
    #[must_use]
    pub fn is_avoided(&self, address: &str) -> bool {
        self.avoided().contains(address)
    }

    /// Records that something was received from the host at `address`.
    pub fn record_heard(&self, address: &str) {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        match heard.get_mut(address) {
            Some(at) => *at = now,
            None => {
                heard.insert(address.into(), now);
            }
        }
    }

    /// Drops what was heard from hosts at other addresses than those that `is_listed` names.
    pub fn retain_heard(&self, is_listed: impl Fn(&CompactString) -> bool) {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.retain(|address, _| is_listed(address));
    }

    /// When something was last received from the host at `address`.
    #[must_use]
    pub fn heard_at(&self, address: &str) -> Option<Instant> {
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.get(address).copied()
    }

    /// Calls the host at `address`.
    ///
    /// # Errors
    ///
    /// [`LinkError::may_have_arrived`] tells whether the host may have received the
    /// call.
    pub async fn call(
        self: &Arc<Self>,
        address: &str,
        call: ProxyCall,
        deadline: Instant,
    ) -> Result<ProxyReply, LinkError> {
        self.call_until(address, call, deadline, false).await
    }

    /// Like [`Self::call`], but a reply that has begun to arrive is received to its end.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn call_for_large_reply(
        self: &Arc<Self>,
        address: &str,
        call: ProxyCall,
        deadline: Instant,
    ) -> Result<ProxyReply, LinkError> {
        self.call_until(address, call, deadline, true).await
    }

    /// Whether the host at `address` is sending a large reply.
    pub async fn is_receiving(&self, address: &str) -> bool {
        let cell = self.links().get(address).cloned();
        let Some(cell) = cell else {
            return false;
        };
        let link = cell.lock().await.clone();
        link.is_some_and(|link| !link.is_closed() && link.is_receiving())
    }

    async fn call_until(
        self: &Arc<Self>,
        address: &str,
        call: ProxyCall,
        deadline: Instant,
        finishes_reply: bool,
    ) -> Result<ProxyReply, LinkError> {
        let link = match self.link(address, deadline).await {
            Ok(link) => link,
            Err(error) => {
                self.mark_unreachable(address, &error);
                return Err(error);
            }
        };
        let result = if finishes_reply {
            link.call_for_large_reply(call, deadline).await
        } else {
            link.call(call, deadline).await
        };
        if result.is_ok() {
            self.record_heard(address);
        }
        if let Err(error) = &result
            && link.is_closed()
        {
            self.mark_unreachable(address, error);
        }
        result
    }

    /// Sets up a link to the host at `address` if there is none.
    ///
    /// # Errors
    ///
    /// When it cannot be set up before `deadline`.
    pub async fn ensure_link(&self, address: &str, deadline: Instant) -> Result<(), LinkError> {
        self.link(address, deadline).await.map(|_| ())
    }

    /// Avoids a host until it is reached again.
    fn mark_unreachable(self: &Arc<Self>, address: &str, error: &LinkError) {
        if !self.avoided().insert(address.into()) {
            return;
        }
        log::warn!("{address} cannot be reached: {error}");
        let (pool, address) = (self.clone(), CompactString::from(address));
        fulmarrill_runtime::spawn(async move { pool.reconnect(&address).await }).detach();
    }

    async fn reconnect(&self, address: &str) {
        for attempt in 1..=RETRIES_MAX {
            let delay = backoff_delay(attempt, RETRY_DELAY_BASE, RETRY_DELAY_MAX, fastrand::f64());
            Timer::after(delay).await;
            let deadline = Instant::now() + CONNECT_TIMEOUT;
            if self.link(address, deadline).await.is_ok() {
                log::info!("{address} was reached again");
                break;
            }
        }
        self.avoided().remove(address);
    }

    async fn link(&self, address: &str, deadline: Instant) -> Result<Arc<HostLink>, LinkError> {
        let cell = self.links().entry(address.into()).or_default().clone();
        let mut cell = cell.lock().await;
        if let Some(link) = &*cell
            && !link.is_closed()
        {
            return Ok(link.clone());
        }
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        // Boxed, since the future of connecting is much larger than that of a call.
        let connecting = Box::pin(HostLink::connect(
            address,
            &self.host,
            LINK_TIMING,
            deadline,
        ));
        let link = Arc::new(connecting.await?);
        *cell = Some(link.clone());
        Ok(link)
    }
}
