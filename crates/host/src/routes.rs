//! Address overrides: other addresses to connect to, as with network address
//! translation.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use compact_str::CompactString;

/// Maps addresses to the addresses to connect to in their place.
#[derive(Debug, Clone, Default)]
pub struct AddressRoutes {
    routes: Arc<Mutex<BTreeMap<CompactString, CompactString>>>,
}

impl AddressRoutes {
    /// Creates the map from the routes in the settings file.
    #[must_use]
    pub fn new(routes: BTreeMap<CompactString, CompactString>) -> Self {
        Self {
            routes: Arc::new(Mutex::new(routes)),
        }
    }

    /// Adds a route, or replaces the one for `address`.
    pub fn add(&self, address: &str, through: &str) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes.insert(address.into(), through.into());
    }

    /// The address to connect to for `address`, which is itself if it has no
    /// route.
    #[must_use]
    pub fn route(&self, address: &str) -> CompactString {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes
            .get(address)
            .cloned()
            .unwrap_or_else(|| address.into())
    }
}
