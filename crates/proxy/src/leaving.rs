//! The stages in which a host that was told to leave ends its callers' sessions.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use event_listener::Event;

/// Part of the time until the last answers that is kept for writing them.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// What a host still does for callers, in the order of the stages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum LeaveStage {
    /// Everything: it was not told to leave, or the platform may not have noticed yet.
    Serving,
    /// It takes no new sessions, and ends those that have nothing outstanding.
    Closing,
    /// It gives its last answers: whatever is under way is answered as it stands.
    Ending,
}

/// The stage of a host and the moment of its last answers.
#[derive(Debug)]
pub struct LeaveProgress {
    stage: AtomicU8,
    changed: Event,
    answers_due_at: OnceLock<Instant>,
}

impl Default for LeaveProgress {
    fn default() -> Self {
        Self {
            stage: AtomicU8::new(LeaveStage::Serving as u8),
            changed: Event::new(),
            answers_due_at: OnceLock::new(),
        }
    }
}

impl LeaveProgress {
    /// Whether the host was told to leave.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.answers_due_at.get().is_some()
    }

    /// Begins to leave; the last answers are due at `answers_due_at`.
    pub fn begin(&self, answers_due_at: Instant) {
        // Only the first call counts.
        self.answers_due_at.set(answers_due_at).ok();
    }

    /// Enters a stage. A stage is never left for an earlier one.
    pub fn enter(&self, stage: LeaveStage) {
        self.stage.fetch_max(stage as u8, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Waits until the host has entered `stage` or a later one.
    pub async fn wait_for(&self, stage: LeaveStage) {
        loop {
            let listener = self.changed.listen();
            if self.stage.load(Ordering::SeqCst) >= stage as u8 {
                return;
            }
            listener.await;
        }
    }

    /// The latest moment at which the answer to a statement with this deadline may be
    /// known, so that it reaches the caller before the host ends.
    #[must_use]
    pub fn limit_deadline(&self, deadline: Instant) -> Instant {
        let Some(due_at) = self.answers_due_at.get() else {
            return deadline;
        };
        let limit = due_at.checked_sub(LAST_ANSWER_MARGIN).unwrap_or(*due_at);
        deadline.min(limit)
    }
}
