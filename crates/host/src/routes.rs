//! Addresses that are reached by way of another, as through a translation of
//! addresses between networks.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use compact_str::CompactString;

/// The address to connect to for an address.
#[derive(Debug, Clone, Default)]
pub struct AddressRoutes {
    routes: Arc<Mutex<BTreeMap<CompactString, CompactString>>>,
}

impl AddressRoutes {
    /// The routes of the settings file.
    #[must_use]
    pub fn new(routes: BTreeMap<CompactString, CompactString>) -> Self {
        Self {
            routes: Arc::new(Mutex::new(routes)),
        }
    }

    /// Adds a route.
    pub fn add(&self, address: &str, through: &str) {
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
}
