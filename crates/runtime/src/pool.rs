//! Threads that run tasks of one kind.
//!
//! A process that plays several parts, as a fleet in one process does, gives
//! each part threads of its own: what blocks one part then leaves the others
//! alone, as it would on machines of their own.

use std::future::Future;
use std::sync::OnceLock;
use std::thread;

use smol::{Executor, Task};

/// Threads with an executor; it must live as long as the process.
#[derive(Debug)]
pub struct ThreadPool {
    name: &'static str,
    executor: Executor<'static>,
    started: OnceLock<usize>,
}

impl ThreadPool {
    /// A pool without threads; `name` begins the names of its threads.
    #[must_use]
    pub const fn new(name: &'static str) -> Self {
        Self {
            name,
            executor: Executor::new(),
            started: OnceLock::new(),
        }
    }

    /// Starts the threads. Only the first call has an effect.
    ///
    /// # Panics
    ///
    /// When the system refuses a thread.
    pub fn start_threads(&'static self, count: usize) {
        self.started.get_or_init(|| {
            for index in 0..count.max(1) {
                thread::Builder::new()
                    .name(format!("{}-{index}", self.name))
                    .spawn(|| smol::block_on(self.executor.run(std::future::pending::<()>())))
                    .expect("the system refused a thread");
            }
            count
        });
    }

    /// Runs a task on the pool's threads, once they are started. Dropping the
    /// handle ends the task.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }
}
