//! Pairs the answers that arrive on a connection with the commands sent on it.
//! Performs no I/O.
//!
//! An instance answers commands in their order, but an answer does not name its
//! command, and an instance may send one twice, the second time at once or while a
//! later command runs. Answers are therefore not counted. A proof is given once, and
//! the shape and transaction state of an answer tell the answers to the proxy's own
//! commands from those to statements. What remains doubtful, such as the same error
//! twice, is settled by the answer to a further command, see
//! [`PendingExchange::offer`].

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use xxhash_rust::xxh3::xxh3_64;

use crate::codec::{DatabaseCommand, ErrorKind};
use crate::owner::connection::DatabaseAnswer;
use crate::statement::{PreparedShape, TransactionState};

/// Time after an error or a status in which the same one may be a repeat of it:
/// several times the longest delay of a repeated answer that was reported.
const REPEAT_TIMEOUT: Duration = Duration::from_secs(5);
/// Proofs that a connection remembers: those of some seconds at the highest rate of
/// a connection.
const PROOFS_MAX: usize = 512;
/// Shape of the statement that is prepared to settle a doubt. It is never run.
const MARKER_SHAPE: &str = "marker";

/// What an answer says about the command that awaits one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerFit {
    /// It answers the command.
    Sure,
    /// It may answer the command, or repeat an earlier answer.
    Doubtful,
    /// It does not answer the command.
    No,
}

/// Whether an instance gives a different proof for each statement, as seen on all of
/// its connections.
#[derive(Debug, Default)]
pub struct ProofVariety {
    /// Hash of the first proof.
    first: OnceLock<u64>,
    is_distinct: AtomicBool,
}

impl ProofVariety {
    fn record(&self, proof: u64) {
        if *self.first.get_or_init(|| proof) != proof {
            self.is_distinct.store(true, Ordering::Relaxed);
        }
    }

    fn is_distinct(&self) -> bool {
        self.is_distinct.load(Ordering::Relaxed)
    }
}

/// Answers that a connection has given and may give again.
#[derive(Debug)]
pub struct AnswerHistory {
    /// Hashes of the last proofs.
    proofs: VecDeque<u64>,
    variety: Arc<ProofVariety>,
    errors: Vec<(ErrorKind, CompactString, Instant)>,
    status_at: Option<Instant>,
    state: TransactionState,
    markers: u64,
    repeated: u64,
}

impl AnswerHistory {
    /// Creates the history of a new connection to an instance with these proofs.
    #[must_use]
    pub fn new(variety: Arc<ProofVariety>) -> Self {
        Self {
            proofs: VecDeque::new(),
            variety,
            errors: Vec::new(),
            status_at: None,
            state: TransactionState::Idle,
            markers: 0,
            repeated: 0,
        }
    }

    /// Returns how many answers were recognized as repeats.
    #[must_use]
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Counts an answer that no command awaits.
    pub fn count_repeat(&mut self) {
        self.repeated += 1;
    }

    fn has_proof(&self, proof: &str) -> bool {
        self.proofs.contains(&xxh3_64(proof.as_bytes()))
    }

    fn may_repeat_error(&self, kind: ErrorKind, text: &str, now: Instant) -> bool {
        self.errors.iter().any(|(other, other_text, at)| {
            *other == kind && other_text == text && now < *at + REPEAT_TIMEOUT
        })
    }

    fn record(&mut self, command: &DatabaseCommand, answer: &DatabaseAnswer, now: Instant) {
        if command.answers_status() {
            self.status_at = Some(now);
        }
        self.record_proof(answer);
        if let Err((kind, text)) = &answer.outcome {
            let is_same = |(other, other_text, _): &(ErrorKind, CompactString, Instant)| {
                other == kind && other_text == text
            };
            self.errors
                .retain(|error| now < error.2 + REPEAT_TIMEOUT && !is_same(error));
            self.errors.push((*kind, text.clone(), now));
        }
    }

    fn record_proof(&mut self, answer: &DatabaseAnswer) {
        let Ok(Some(proof)) = &answer.outcome else {
            return;
        };
        let proof = xxh3_64(proof.as_bytes());
        if self.proofs.contains(&proof) {
            return;
        }
        self.variety.record(proof);
        if self.proofs.len() == PROOFS_MAX {
            self.proofs.pop_front();
        }
        self.proofs.push_back(proof);
    }

    /// Whether a repeat of an earlier answer could be taken for the answer to a
    /// statement: an error or a status of the last seconds.
    #[must_use]
    pub fn has_ambiguous_answer(&self, now: Instant) -> bool {
        let mut times = self.errors.iter().map(|(_, _, at)| *at);
        times.any(|at| now < at + REPEAT_TIMEOUT)
            || self.status_at.is_some_and(|at| now < at + REPEAT_TIMEOUT)
    }

    /// How well a proof fits a statement of a caller.
    fn fit_proof(&self, proof: Option<&CompactString>) -> AnswerFit {
        match proof {
            None => AnswerFit::No,
            Some(proof) if !self.has_proof(proof) => AnswerFit::Sure,
            Some(_) if self.variety.is_distinct() => AnswerFit::No,
            // The instance may give the same proof for each statement.
            Some(_) => AnswerFit::Doubtful,
        }
    }

    /// Whether a proof may stand in the answer to a command of the proxy.
    fn is_own_proof(&self, proof: Option<&CompactString>) -> bool {
        proof.is_none_or(|_| !self.variety.is_distinct())
    }

    fn fit(
        &self,
        command: &DatabaseCommand,
        before: TransactionState,
        answer: &DatabaseAnswer,
        now: Instant,
    ) -> AnswerFit {
        let proof = match &answer.outcome {
            Ok(proof) => proof.as_ref(),
            Err((kind, text)) if self.may_repeat_error(*kind, text, now) => {
                return match command {
                    // These do not fail for a reason that a statement fails for.
                    DatabaseCommand::Marker(..) if before == TransactionState::Failed => {
                        // Every command but a rollback is refused in this state.
                        if answer.state == before {
                            AnswerFit::Sure
                        } else {
                            AnswerFit::No
                        }
                    }
                    DatabaseCommand::Reset
                    | DatabaseCommand::Set(..)
                    | DatabaseCommand::Prepare(..)
                    | DatabaseCommand::Rollback
                    | DatabaseCommand::Marker(..) => AnswerFit::No,
                    _ => AnswerFit::Doubtful,
                };
            }
            Err(_) => return AnswerFit::Sure,
        };
        if command.is_callers() {
            return self.fit_proof(proof);
        }
        if !self.is_own_proof(proof) {
            return AnswerFit::No;
        }
        if command.answers_status() {
            let is_recent = |at: Instant| now < at + REPEAT_TIMEOUT;
            return match answer.rows.len() {
                1 if self.status_at.is_some_and(is_recent) => AnswerFit::Doubtful,
                1 => AnswerFit::Sure,
                _ => AnswerFit::No,
            };
        }
        let expected = match command {
            DatabaseCommand::Begin { .. } => TransactionState::Open,
            DatabaseCommand::Reset | DatabaseCommand::Rollback => TransactionState::Idle,
            _ => before,
        };
        if answer.rows.is_empty() && answer.state == expected {
            AnswerFit::Sure
        } else {
            AnswerFit::No
        }
    }

    /// A command whose answer settles whether an earlier answer was a repeat: it
    /// takes no slot and keeps the state of the transaction.
    fn next_marker(&mut self) -> DatabaseCommand {
        self.markers += 1;
        let shape = PreparedShape {
            writes: false,
            text: CompactString::const_new(MARKER_SHAPE),
        };
        DatabaseCommand::Marker(format_compact!("m{}", self.markers), shape)
    }
}

/// What an exchange does after an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeStep {
    /// It waits for a further answer.
    Wait,
    /// It sends this command and waits for a further answer.
    Send(DatabaseCommand),
    /// Every command has its answer.
    Done,
}

/// Commands sent on a connection, and the answers paired with them so far.
#[derive(Debug)]
pub struct PendingExchange {
    commands: Vec<DatabaseCommand>,
    answers: Vec<DatabaseAnswer>,
    /// Whether each answer may be a repeat of an earlier one.
    doubts: Vec<bool>,
    /// Number of commands that the caller of the exchange sent.
    requested: usize,
}

impl PendingExchange {
    /// Creates an exchange of commands that have been sent.
    #[must_use]
    pub fn new(commands: &[DatabaseCommand]) -> Self {
        Self {
            commands: commands.to_vec(),
            answers: Vec::with_capacity(commands.len()),
            doubts: Vec::with_capacity(commands.len()),
            requested: commands.len(),
        }
    }

    /// Returns the answers to the commands, once every command has one.
    #[must_use]
    pub fn into_answers(mut self) -> Vec<DatabaseAnswer> {
        self.answers.truncate(self.requested);
        self.answers
    }

    fn fit_at(
        &self,
        history: &AnswerHistory,
        index: usize,
        answer: &DatabaseAnswer,
        now: Instant,
    ) -> AnswerFit {
        let before = match index.checked_sub(1) {
            Some(previous) => self.answers[previous].state,
            None => history.state,
        };
        match self.commands.get(index) {
            Some(command) => history.fit(command, before, answer, now),
            None => AnswerFit::No,
        }
    }

    /// The statement of the caller, if it counts as failed so far and `answer` has a
    /// new proof. Only that statement can have been given it, so the failure was a
    /// repeat.
    fn find_refused(&self, history: &AnswerHistory, answer: &DatabaseAnswer) -> Option<usize> {
        let Ok(Some(proof)) = &answer.outcome else {
            return None;
        };
        if history.has_proof(proof) {
            return None;
        }
        let index = self.commands.iter().position(DatabaseCommand::is_callers)?;
        self.answers.get(index)?.outcome.as_ref().err()?;
        Some(index)
    }

    /// The last of the doubtful answers in a row before the awaited one that
    /// `answer` replaces.
    fn find_replaced(
        &self,
        history: &AnswerHistory,
        answer: &DatabaseAnswer,
        now: Instant,
    ) -> Option<usize> {
        for index in (0..self.answers.len()).rev() {
            if !self.doubts[index] {
                return None;
            }
            // The second of two statuses is the newer one.
            let is_status = self.commands[index].answers_status() && answer.outcome.is_ok();
            match self.fit_at(history, index, answer, now) {
                AnswerFit::Sure if answer.outcome.is_ok() => return Some(index),
                AnswerFit::Doubtful if is_status => return Some(index),
                _ => {}
            }
        }
        None
    }

    /// Takes the next whole answer on the connection.
    ///
    /// An answer that fits its command, and no other, is kept. A doubtful one is kept
    /// until a later answer shows that it was a repeat: if the command has its own
    /// answer still to come, that one arrives before those to the commands after it.
    pub fn offer(
        &mut self,
        history: &mut AnswerHistory,
        answer: DatabaseAnswer,
        now: Instant,
    ) -> ExchangeStep {
        let index = self.answers.len();
        let mut fit = self.fit_at(history, index, &answer, now);
        let refused = self.find_refused(history, &answer);
        if fit == AnswerFit::No || refused.is_some() {
            history.count_repeat();
            let Some(replaced) = refused.or_else(|| self.find_replaced(history, &answer, now))
            else {
                history.record_proof(&answer);
                return ExchangeStep::Wait;
            };
            self.answers.truncate(replaced);
            self.doubts.truncate(replaced);
            fit = AnswerFit::Sure;
        }
        history.record(&self.commands[self.answers.len()], &answer, now);
        self.answers.push(answer);
        self.doubts.push(fit == AnswerFit::Doubtful);
        if self.answers.len() < self.commands.len() {
            return ExchangeStep::Wait;
        }
        if self.doubts.last() == Some(&true) {
            let marker = history.next_marker();
            self.commands.push(marker.clone());
            return ExchangeStep::Send(marker);
        }
        if let Some(last) = self.answers.last() {
            history.state = last.state;
        }
        ExchangeStep::Done
    }
}
