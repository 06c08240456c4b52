//! The thread pool for traffic (connections and background tasks), timeouts at a
//! deadline, and values that one thread publishes to others.
//!
//! ```
//! fulmarrill_runtime::start_threads(2);
//! let task = fulmarrill_runtime::spawn(async { 1 + 1 });
//! assert_eq!(smol::block_on(task), 2);
//! ```
//!
//! smol's global executor takes its number of threads from the environment;
//! this pool takes it from the call to `start_threads`.

mod cell;
mod deadline;
mod panic;
mod pool;

use std::future::Future;

use smol::Task;

pub use crate::cell::PublishedCell;
pub use crate::deadline::{Elapsed, timeout_at};
pub use crate::panic::spawn_supervised;
pub use crate::pool::ThreadPool;

/// Number of threads if [`spawn`] is called before [`start_threads`].
const THREADS_DEFAULT: usize = 2;

static TRAFFIC: ThreadPool = ThreadPool::new("traffic");

/// Starts `count` traffic threads, at least one. Only the first call has an
/// effect.
///
/// # Panics
///
/// If the operating system cannot create a thread.
pub fn start_threads(count: usize) {
    TRAFFIC.start_threads(count);
}

/// Spawns a task on the traffic threads, starting them if necessary. Dropping
/// the handle cancels the task.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    TRAFFIC.start_threads(THREADS_DEFAULT);
    TRAFFIC.spawn(future)
}
