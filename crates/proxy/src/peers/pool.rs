//! Links to other hosts, set up when they are needed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_link::{LinkError, PeerLink};

use crate::peers::{LINK_TIMING, ProxyCall, ProxyProtocol, ProxyReply};

/// Time for setting up a link: several round trips between regions.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Time for which a host that could not be reached is passed over.
const AVOID_TIME: Duration = Duration::from_millis(500);

/// A link to another host.
type HostLink = PeerLink<ProxyProtocol>;
/// A place for the link to one host. The lock is held while connecting, so
/// that many calls set up one link.
type LinkPlace = Arc<smol::lock::Mutex<Option<Arc<HostLink>>>>;

/// Links to other hosts.
#[derive(Debug)]
pub struct PeerPool {
    host: CompactString,
    places: Mutex<HashMap<CompactString, LinkPlace>>,
    avoided: Mutex<HashMap<CompactString, Instant>>,
}

impl PeerPool {
    /// A pool without links, of the host of this name.
    #[must_use]
    pub fn new(host: &str) -> Self {
        Self {
            host: host.into(),
            places: Mutex::default(),
            avoided: Mutex::default(),
        }
    }

    fn places(&self) -> MutexGuard<'_, HashMap<CompactString, LinkPlace>> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn avoided(&self) -> MutexGuard<'_, HashMap<CompactString, Instant>> {
        self.avoided.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a host could not be reached a moment ago.
    #[must_use]
    pub fn is_avoided(&self, address: &str) -> bool {
        self.avoided()
            .get(address)
            .is_some_and(|until| Instant::now() < *until)
    }

    /// Calls the host at `address`.
    ///
    /// # Errors
    ///
    /// [`LinkError::may_have_arrived`] tells whether the call was sent.
    pub async fn call(
        &self,
        address: &str,
        call: ProxyCall,
        deadline: Instant,
    ) -> Result<ProxyReply, LinkError> {
        let result = match self.link(address, deadline).await {
            Ok(link) => link.call(call, deadline).await,
            Err(error) => Err(error),
        };
        match &result {
            Ok(_) => {
                self.avoided().remove(address);
            }
            Err(error) => {
                log::debug!("{address}: {error}");
                let until = Instant::now() + AVOID_TIME;
                self.avoided().insert(address.into(), until);
            }
        }
        result
    }

    async fn link(&self, address: &str, deadline: Instant) -> Result<Arc<HostLink>, LinkError> {
        let place = self.places().entry(address.into()).or_default().clone();
        let mut place = place.lock().await;
        if let Some(link) = &*place
            && !link.is_closed()
        {
            return Ok(link.clone());
        }
        let deadline = deadline.min(Instant::now() + CONNECT_TIME);
        // Boxed, since setting up a link takes much more room than using one.
        let connecting = Box::pin(HostLink::connect(
            address,
            &self.host,
            LINK_TIMING,
            deadline,
        ));
        let link = Arc::new(connecting.await?);
        *place = Some(link.clone());
        Ok(link)
    }
}
