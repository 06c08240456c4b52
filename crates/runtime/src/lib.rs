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

use std::future::Future;
use std::sync::OnceLock;
use std::thread;

use smol::{Executor, Task};

pub use crate::cell::PublishedCell;
pub use crate::deadline::{Elapsed, before};

/// Threads of an executor that was not started explicitly.
const THREADS_DEFAULT: usize = 2;

static EXECUTOR: Executor<'static> = Executor::new();
static STARTED: OnceLock<usize> = OnceLock::new();

/// Starts the threads that run tasks. Only the first call has an effect.
///
/// # Panics
///
/// When the system refuses a thread.
pub fn start_threads(count: usize) {
    STARTED.get_or_init(|| {
        for index in 0..count.max(1) {
            thread::Builder::new()
                .name(format!("traffic-{index}"))
                .spawn(|| smol::block_on(EXECUTOR.run(std::future::pending::<()>())))
                .expect("the system refused a thread");
        }
        count
    });
}

/// Runs a task on the traffic threads. Dropping the handle ends the task.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    start_threads(THREADS_DEFAULT);
    EXECUTOR.spawn(future)
}
