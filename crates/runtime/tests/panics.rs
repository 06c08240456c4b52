//! A panic in one task does not end the others.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use fulmarrill_runtime::{spawn, spawn_supervised, start_threads, timeout_at};
use smol::Timer;

/// Time limit of one test, enough for a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

#[test]
fn tasks_go_on_after_one_panicked() {
    start_threads(1);
    smol::block_on(async {
        spawn(async { panic!("unexpected error") }).detach();
        Timer::after(Duration::from_millis(100)).await;
        let task = spawn(async { 7 });
        let result = timeout_at(Instant::now() + TEST_TIMEOUT, task).await;
        assert_eq!(result, Ok(7));
    });
}

#[test]
fn supervised_task_starts_again_after_a_panic() {
    let runs = Arc::new(AtomicUsize::new(0));
    let counter = runs.clone();
    let task = spawn_supervised("test", move || {
        let run = counter.fetch_add(1, Ordering::SeqCst);
        async move {
            assert!(run > 0, "unexpected error");
        }
    });
    let done = smol::block_on(timeout_at(Instant::now() + TEST_TIMEOUT, task));
    assert!(done.is_ok());
    assert_eq!(runs.load(Ordering::SeqCst), 2);
}
