//! Lets tasks wait for a slot of an instance, by rank and deadline.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use fulmarrill_schedule::RankPolicy;
//! use fulmarrill_slots::SlotGate;
//!
//! let gate = SlotGate::new(vec![RankPolicy::new("urgent", 0.5)], 1);
//! let deadline = Instant::now() + Duration::from_secs(1);
//! let grant = smol::block_on(gate.take(0, "scans", deadline, false)).unwrap();
//! assert_eq!(gate.running(), 1);
//! drop(grant);
//! assert_eq!(gate.running(), 0);
//! ```
//!
//! [`RankQueue`] decides which work goes first. This crate lets tasks wait for
//! that decision, and frees a slot when its grant is dropped.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use fulmarrill_runtime::timeout_at;
use fulmarrill_schedule::{AdmissionRefusal, RankIndex, RankPolicy, RankQueue, WorkId, WorkItem};

/// Reply to a waiting task: it has a slot, or why it gets none.
type SlotReply = Result<(), AdmissionRefusal>;

#[derive(Debug)]
struct WaitingQueue {
    queue: RankQueue,
    waiting: HashMap<WorkId, Sender<SlotReply>>,
    next_id: WorkId,
}

/// Grants the slots of one instance to the work that waits for them.
#[derive(Debug)]
pub struct SlotGate {
    state: Mutex<WaitingQueue>,
}

impl SlotGate {
    /// Creates a gate for `slots` slots. `policies` are in the order of urgency.
    #[must_use]
    pub fn new(policies: Vec<RankPolicy>, slots: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(WaitingQueue {
                queue: RankQueue::new(policies, slots, Instant::now()),
                waiting: HashMap::new(),
                next_id: 1,
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, WaitingQueue> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the ranks and the number of slots.
    pub fn set_policies(&self, policies: Vec<RankPolicy>, slots: usize) {
        self.state()
            .queue
            .set_policies(policies, slots, Instant::now());
        self.dispatch();
    }

    /// Waits for a slot, but only as long as the work could still finish by
    /// `deadline`. The flows of a rank are queued fairly. `continues` marks a step
    /// of an open transaction, which does not wait for a slot. A rank past the last
    /// counts as the last.
    ///
    /// # Errors
    ///
    /// If the work is refused on arrival or while it waits, or could no longer
    /// finish in time.
    pub async fn take(
        self: &Arc<Self>,
        rank: RankIndex,
        flow: &str,
        deadline: Instant,
        continues: bool,
    ) -> Result<SlotGrant, AdmissionRefusal> {
        let (id, rank, granted, until) = {
            let mut state = self.state();
            let rank = rank.min(state.queue.rank_count().saturating_sub(1));
            let id = state.next_id;
            state.next_id += 1;
            let item = WorkItem::new(id, rank, flow, deadline).with_in_transaction(continues);
            state.queue.offer(Instant::now(), item)?;
            let (reply, granted) = async_channel::bounded(1);
            state.waiting.insert(id, reply);
            let until = state.queue.latest_start(rank, deadline);
            (id, rank, granted, until)
        };
        self.dispatch();
        let mut ticket = SlotTicket {
            gate: self.clone(),
            rank,
            id,
            reply: granted,
            has_reply: false,
        };
        match timeout_at(until, ticket.reply.recv()).await {
            Ok(Ok(Ok(()))) => {
                ticket.has_reply = true;
                Ok(SlotGrant {
                    gate: self.clone(),
                    rank,
                    started_at: Instant::now(),
                })
            }
            Ok(Ok(Err(refusal))) => {
                ticket.has_reply = true;
                Err(refusal)
            }
            _ => Err(AdmissionRefusal::TooLate(Duration::ZERO)),
        }
    }

    /// Grants free slots to waiting work, and refuses work that has too little time
    /// left to finish by its deadline.
    fn dispatch(&self) {
        let mut state = self.state();
        while let Some(item) = state.queue.next(Instant::now()) {
            let reply = state.waiting.remove(&item.id);
            let taken = reply.is_some_and(|reply| reply.try_send(Ok(())).is_ok());
            if !taken {
                state
                    .queue
                    .finish(Instant::now(), item.rank, Duration::ZERO);
            }
        }
        for item in state.queue.take_expired() {
            if let Some(reply) = state.waiting.remove(&item.id) {
                let refusal = AdmissionRefusal::TooLate(Duration::ZERO);
                reply.try_send(Err(refusal)).ok();
            }
        }
    }

    fn finish(&self, rank: RankIndex, elapsed: Duration) {
        self.state().queue.finish(Instant::now(), rank, elapsed);
        self.dispatch();
    }

    /// Refuses all waiting work, after the instance stopped answering.
    pub fn refuse_waiting(&self) {
        let mut state = self.state();
        let waiting = std::mem::take(&mut state.waiting);
        for (id, reply) in waiting {
            for rank in 0..state.queue.rank_count() {
                if state.queue.cancel(rank, id) {
                    break;
                }
            }
            let refusal = AdmissionRefusal::TooLate(Duration::ZERO);
            // The waiting task may have given up in the meantime.
            reply.try_send(Err(refusal)).ok();
        }
    }

    /// Returns the expected time until new work of a rank would start.
    #[must_use]
    pub fn expected_wait(&self, rank: RankIndex) -> Duration {
        self.state().queue.expected_wait(Instant::now(), rank)
    }

    /// Returns the expected time until new work of a rank would have ended. A rank past
    /// the last counts as the last.
    #[must_use]
    pub fn expected_time(&self, rank: RankIndex) -> Duration {
        let state = self.state();
        let rank = rank.min(state.queue.rank_count().saturating_sub(1));
        state.queue.expected_time(Instant::now(), rank)
    }

    /// Returns the number of ranks.
    #[must_use]
    pub fn rank_count(&self) -> usize {
        self.state().queue.rank_count()
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn running(&self) -> usize {
        self.state().queue.running()
    }

    /// Returns how many requests wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state().queue.len()
    }
}

/// A task's wait for a slot. Dropped before a reply was received, it leaves the
/// queue or gives the granted slot back.
#[derive(Debug)]
struct SlotTicket {
    gate: Arc<SlotGate>,
    rank: RankIndex,
    id: WorkId,
    reply: Receiver<SlotReply>,
    has_reply: bool,
}

impl Drop for SlotTicket {
    fn drop(&mut self) {
        if self.has_reply {
            return;
        }
        let mut state = self.gate.state();
        let waiting = state.waiting.remove(&self.id).is_some();
        if waiting {
            state.queue.cancel(self.rank, self.id);
            return;
        }
        if !matches!(self.reply.try_recv(), Ok(Ok(()))) {
            // It was refused, and holds no slot.
            return;
        }
        // The task ended before it received the grant.
        state
            .queue
            .finish(Instant::now(), self.rank, Duration::ZERO);
        drop(state);
        self.gate.dispatch();
    }
}

/// A slot in use. It is freed when this is dropped.
#[derive(Debug)]
pub struct SlotGrant {
    gate: Arc<SlotGate>,
    rank: RankIndex,
    started_at: Instant,
}

impl Drop for SlotGrant {
    fn drop(&mut self) {
        self.gate.finish(self.rank, self.started_at.elapsed());
    }
}
