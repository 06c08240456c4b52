//! Waiting for something until a deadline.

use std::time::Instant;

use futures_lite::{Future, FutureExt};
use smol::Timer;
use thiserror::Error;

/// The deadline came first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("deadline passed")]
pub struct Elapsed;

/// Runs `work` until it is done or `deadline` has come. On the deadline the
/// work is dropped, so it must be safe to cancel.
///
/// # Errors
///
/// [`Elapsed`] when the deadline came first.
pub async fn timeout_at<T>(deadline: Instant, work: impl Future<Output = T>) -> Result<T, Elapsed> {
    let timeout = async {
        Timer::at(deadline).await;
        Err(Elapsed)
    };
    async { Ok(work.await) }.or(timeout).await
}
