//! The executor of traffic threads, waiting until a deadline, and values that one
//! thread publishes to others.
//!
//! ```
//! fulmarrill_runtime::start_threads(2);
//! let task = fulmarrill_runtime::spawn(async { 1 + 1 });
//! assert_eq!(smol::block_on(task), 2);
//! ```
//!
//! smol's own global executor takes its number of threads from the
//! environment; here it comes from the settings file.

mod cell;
mod deadline;
mod pool;

use std::future::Future;

use smol::Task;

pub use crate::cell::PublishedCell;
pub use crate::deadline::{Elapsed, timeout_at};
pub use crate::pool::ThreadPool;

/// Threads of an executor that was not started explicitly.
const THREADS_DEFAULT: usize = 2;

static TRAFFIC: ThreadPool = ThreadPool::new("traffic");

/// Starts the threads that run tasks. Only the first call has an effect.
///
/// # Panics
///
/// When the system refuses a thread.
pub fn start_threads(count: usize) {
    TRAFFIC.start_threads(count);
}

/// Runs a task on the traffic threads. Dropping the handle ends the task.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    TRAFFIC.start_threads(THREADS_DEFAULT);
    TRAFFIC.spawn(future)
}
