//! Customers, the keys that identify their callers, and their rate limits.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Name of a customer.
pub type CustomerName = CompactString;

/// What a caller presents when it opens a session. Its debug form does not show it, as
/// it may be a secret.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallerKey(CompactString);

impl CallerKey {
    /// Creates a key from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the text. It must not be logged or sent to an instance.
    #[must_use]
    pub fn reveal(&self) -> &CompactString {
        &self.0
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

/// Limit of a customer's operations over all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Operations per second.
    pub per_second: f64,
    /// Operations that may come at once after a pause.
    pub burst: f64,
}

/// One customer as the operators declare it.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerEntry {
    /// Name.
    pub name: CustomerName,
    /// Keys of its callers.
    pub keys: Vec<CallerKey>,
    /// Limit of its operations, if there is one.
    pub limit: Option<RateLimit>,
}

/// The customers of one version of the configuration.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerTable {
    limits: BTreeMap<CustomerName, Option<RateLimit>>,
    /// Hashed with a random seed, so that the time of a lookup tells nothing about
    /// similar keys.
    keys: HashMap<CallerKey, CustomerName>,
}

impl CustomerTable {
    /// Creates a table. A key that is declared for two customers identifies neither.
    /// Returns the table and the number of such keys.
    #[must_use]
    pub fn new(entries: Vec<CustomerEntry>) -> (Self, usize) {
        let mut table = Self::default();
        let mut shared: HashSet<CallerKey> = HashSet::new();
        for entry in entries {
            for key in entry.keys {
                let held = table.keys.insert(key.clone(), entry.name.clone());
                if held.is_some_and(|other| other != entry.name) {
                    shared.insert(key);
                }
            }
            table.limits.insert(entry.name, entry.limit);
        }
        for key in &shared {
            table.keys.remove(key);
        }
        (table, shared.len())
    }

    /// Returns the customer whose callers present this key.
    #[must_use]
    pub fn customer_of(&self, key: &CallerKey) -> Option<&CustomerName> {
        self.keys.get(key)
    }

    /// Returns the limit of a customer.
    #[must_use]
    pub fn limit_of(&self, customer: &str) -> Option<RateLimit> {
        self.limits.get(customer).copied().flatten()
    }

    /// Returns the customers that have a limit, by name.
    pub fn limits(&self) -> impl Iterator<Item = (&CustomerName, RateLimit)> {
        let limits = self.limits.iter();
        limits.filter_map(|(name, limit)| limit.map(|limit| (name, limit)))
    }
}

impl fmt::Debug for CustomerTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CustomerTable")
            .field("customers", &self.limits.len())
            .field("keys", &self.keys.len())
            .finish()
    }
}
