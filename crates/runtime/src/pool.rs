//! A named pool of threads that run async tasks.
//!
//! A process that runs hosts together with stand-in databases, as a fleet in one
//! process does, runs the databases on a pool of their own. A statement that blocks
//! a thread then does not delay the hosts, as if they ran on separate machines.

use std::future::Future;
use std::sync::OnceLock;
use std::thread;

use smol::{Executor, Task};

/// An executor with its own threads, which run until the process ends.
#[derive(Debug)]
pub struct ThreadPool {
    name: &'static str,
    executor: Executor<'static>,
    started: OnceLock<usize>,
}

impl ThreadPool {
    /// Creates a pool without threads. Its threads will be named `NAME-INDEX`.
    #[must_use]
    pub const fn new(name: &'static str) -> Self {
        Self {
            name,
            executor: Executor::new(),
            started: OnceLock::new(),
        }
    }

    /// Starts `count` threads, at least one. Only the first call has an effect.
    ///
    /// # Panics
    ///
    /// If the operating system cannot create a thread.
    pub fn start_threads(&'static self, count: usize) {
        self.started.get_or_init(|| {
            for index in 0..count.max(1) {
                thread::Builder::new()
                    .name(format!("{}-{index}", self.name))
                    .spawn(|| smol::block_on(self.executor.run(std::future::pending::<()>())))
                    .expect("the operating system cannot create a thread");
            }
            count
        });
    }

    /// Spawns a task, which waits until the threads are started. Dropping the
    /// handle cancels the task.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }
}
