//! Accounting of the bytes that a process holds for its clients.
//!
//! ```
//! use fulmarrill_budget::{ByteClass, MemoryBudget, PressureLevel};
//!
//! let budget = MemoryBudget::new(1000);
//! let large = budget.open_account(|| println!("the large connection is closed"));
//! let mut reading = budget.hold(ByteClass::Reading, Some(&large));
//! reading.grow_to(950).unwrap();
//! assert_eq!(budget.level(), PressureLevel::Severe);
//!
//! // A small request does not fit any more, so the account that holds most is evicted.
//! let mut waiting = budget.hold(ByteClass::Waiting, None);
//! assert!(waiting.grow_to(100).is_err());
//! assert_eq!(budget.make_room(100, 100), 1);
//! assert!(large.is_evicted());
//!
//! // Its bytes are free once its connection has dropped them.
//! drop(reading);
//! assert!(waiting.grow_to(100).is_ok());
//! ```

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

/// Share of the limit, in percent, from which the level is [`PressureLevel::Raised`].
const RAISED_PERCENT: usize = 70;
/// Share of the limit, in percent, from which the level is [`PressureLevel::Severe`].
const SEVERE_PERCENT: usize = 90;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ByteClass {
    /// Messages of clients that have arrived in part, and what sessions keep.
    Reading,
    /// Requests that wait or run.
    Waiting,
    /// Results on their way to clients.
    Replying,
}

impl ByteClass {
    /// All classes.
    pub const ALL: [Self; 3] = [Self::Reading, Self::Waiting, Self::Replying];

    /// Name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Replying => "replying",
        }
    }
}

/// How full a budget is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PressureLevel {
    /// Less than 70 percent are held.
    Calm,
    /// At least 70 percent are held: large messages are no longer read.
    Raised,
    /// At least 90 percent are held: work that has not begun is refused.
    Severe,
    /// Everything is held: the connections that hold most are closed.
    Exhausted,
}

/// The bytes do not fit into the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverBudget {
    /// Bytes that were missing.
    pub missing: usize,
}

impl fmt::Display for OverBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the memory budget lacks {} bytes", self.missing)
    }
}

impl Error for OverBudget {}

/// The bytes held for one connection.
pub struct Account {
    id: usize,
    held: AtomicUsize,
    is_evicted: AtomicBool,
    on_evict: Box<dyn Fn() + Send + Sync>,
    budget: Weak<MemoryBudget>,
}

impl Account {
    /// Returns the bytes held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Whether the connection has to be closed.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Relaxed)
    }
}

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Account")
            .field("held", &self.held())
            .field("is_evicted", &self.is_evicted())
            .finish_non_exhaustive()
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        if let Some(budget) = self.budget.upgrade() {
            budget.accounts().open.remove(&self.id);
        }
    }
}

#[derive(Debug, Default)]
struct AccountTable {
    next_id: usize,
    open: BTreeMap<usize, Weak<Account>>,
}

/// A limit of bytes and what is held of it.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    total: AtomicUsize,
    by_class: [AtomicUsize; ByteClass::ALL.len()],
    accounts: Mutex<AccountTable>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes, at least one.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit: limit.max(1),
            total: AtomicUsize::new(0),
            by_class: Default::default(),
            accounts: Mutex::default(),
        })
    }

    fn accounts(&self) -> MutexGuard<'_, AccountTable> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the limit, in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes held in all classes.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    /// Returns the bytes held in one class.
    #[must_use]
    pub fn held(&self, class: ByteClass) -> usize {
        self.by_class[class as usize].load(Ordering::Relaxed)
    }

    /// Returns how full the budget is.
    #[must_use]
    pub fn level(&self) -> PressureLevel {
        let total = self.total();
        let reaches = |percent| total.saturating_mul(100) >= self.limit.saturating_mul(percent);
        if total >= self.limit {
            PressureLevel::Exhausted
        } else if reaches(SEVERE_PERCENT) {
            PressureLevel::Severe
        } else if reaches(RAISED_PERCENT) {
            PressureLevel::Raised
        } else {
            PressureLevel::Calm
        }
    }

    /// Opens the account of a connection. `on_evict` is called at most once, when the
    /// connection has to be closed.
    pub fn open_account(
        self: &Arc<Self>,
        on_evict: impl Fn() + Send + Sync + 'static,
    ) -> Arc<Account> {
        let mut accounts = self.accounts();
        let id = accounts.next_id;
        accounts.next_id += 1;
        let account = Arc::new(Account {
            id,
            held: AtomicUsize::new(0),
            is_evicted: AtomicBool::new(false),
            on_evict: Box::new(on_evict),
            budget: Arc::downgrade(self),
        });
        accounts.open.insert(id, Arc::downgrade(&account));
        account
    }

    /// Returns a guard that holds no bytes yet.
    #[must_use]
    pub fn hold(self: &Arc<Self>, class: ByteClass, account: Option<&Arc<Account>>) -> BudgetGuard {
        BudgetGuard {
            budget: self.clone(),
            account: account.cloned(),
            class,
            bytes: 0,
        }
    }

    /// Evicts accounts, largest first, until `needed` bytes will be free once the
    /// evicted ones have dropped theirs. Only accounts that hold more than `own` bytes
    /// are evicted, so that no connection makes room for a larger one. Returns how many
    /// were evicted.
    pub fn make_room(&self, needed: usize, own: usize) -> usize {
        let open: Vec<Arc<Account>> = {
            let accounts = self.accounts();
            accounts.open.values().filter_map(Weak::upgrade).collect()
        };
        let mut candidates = Vec::new();
        let mut free = self.limit.saturating_sub(self.total());
        for account in &open {
            if account.is_evicted() {
                free = free.saturating_add(account.held());
            } else if account.held() > own {
                candidates.push((account.held(), account));
            }
        }
        candidates.sort_unstable_by_key(|(held, _)| std::cmp::Reverse(*held));
        let mut evicted = 0;
        for (held, account) in candidates {
            if free >= needed {
                break;
            }
            if !account.is_evicted.swap(true, Ordering::Relaxed) {
                (account.on_evict)();
                evicted += 1;
            }
            free = free.saturating_add(held);
        }
        evicted
    }

    fn take(&self, bytes: usize) -> Result<(), OverBudget> {
        let taken = self
            .total
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |total| {
                let new = total.checked_add(bytes)?;
                (new <= self.limit).then_some(new)
            });
        taken.map(drop).map_err(|total| OverBudget {
            missing: total.saturating_add(bytes) - self.limit,
        })
    }
}

/// Bytes held in one class. They are given back when the guard is dropped.
#[derive(Debug)]
pub struct BudgetGuard {
    budget: Arc<MemoryBudget>,
    account: Option<Arc<Account>>,
    class: ByteClass,
    bytes: usize,
}

impl BudgetGuard {
    /// Returns the bytes held by this guard.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds `bytes` in total. Does nothing if it holds as many already.
    ///
    /// # Errors
    ///
    /// If the additional bytes do not fit into the budget; nothing changes then.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), OverBudget> {
        let Some(added) = bytes.checked_sub(self.bytes).filter(|added| *added > 0) else {
            return Ok(());
        };
        self.budget.take(added)?;
        self.count_added(added);
        Ok(())
    }

    /// Holds `bytes` in total, whether they fit or not, for bytes that are in memory
    /// already.
    pub fn set(&mut self, bytes: usize) {
        if bytes > self.bytes {
            let added = bytes - self.bytes;
            self.budget.total.fetch_add(added, Ordering::Relaxed);
            self.count_added(added);
        } else {
            self.shrink_to(bytes);
        }
    }

    /// Gives back all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let freed = self.bytes.saturating_sub(bytes);
        self.bytes -= freed;
        self.budget.total.fetch_sub(freed, Ordering::Relaxed);
        self.budget.by_class[self.class as usize].fetch_sub(freed, Ordering::Relaxed);
        if let Some(account) = &self.account {
            account.held.fetch_sub(freed, Ordering::Relaxed);
        }
    }

    fn count_added(&mut self, added: usize) {
        self.bytes += added;
        self.budget.by_class[self.class as usize].fetch_add(added, Ordering::Relaxed);
        if let Some(account) = &self.account {
            account.held.fetch_add(added, Ordering::Relaxed);
        }
    }
}

impl Drop for BudgetGuard {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
