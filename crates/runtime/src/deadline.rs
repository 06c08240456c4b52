//! Runs a future until a deadline.

use std::time::Instant;

use futures_lite::{Future, FutureExt};
use smol::Timer;
use thiserror::Error;

/// The deadline passed before the future was ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("deadline passed")]
pub struct Elapsed;

/// Runs `future` until it is ready or `deadline` passes. The future is dropped
/// at the deadline, so it must be cancel-safe.
///
/// # Errors
///
/// [`Elapsed`] if the deadline passed first.
pub async fn timeout_at<T>(
    deadline: Instant,
    future: impl Future<Output = T>,
) -> Result<T, Elapsed> {
    let timeout = async {
        Timer::at(deadline).await;
        Err(Elapsed)
    };
    async { Ok(future.await) }.or(timeout).await
}
