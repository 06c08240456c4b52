//! Tasks that go on after a panic. The executor already keeps a panic in one task
//! from ending others; a task that lives as long as the process must not end by it.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::{Task, Timer};

use crate::spawn;

/// Pause before a supervised task starts again after a panic.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The message of a panic.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("no message")
}

/// Runs a future. A panic in it is logged with `name` and ends only this future.
/// Returns whether the future ran to its end.
async fn contain_panic(name: &str, future: impl Future<Output = ()>) -> bool {
    match AssertUnwindSafe(future).catch_unwind().await {
        Ok(()) => true,
        Err(panic) => {
            log::error!("{name} panicked: {}", panic_message(&*panic));
            false
        }
    }
}

/// Spawns a task that lives as long as the process. After a panic it is made and run
/// again.
pub fn spawn_supervised<F>(name: &'static str, make: impl Fn() -> F + Send + 'static) -> Task<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    spawn(async move {
        while !contain_panic(name, make()).await {
            Timer::after(RESTART_DELAY).await;
        }
    })
}
