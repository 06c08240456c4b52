//! Pairs the answers that arrive on a connection with the commands sent on it.
//! Performs no I/O.
//!
//! An instance answers commands in their order, but an answer does not name its
//! command, and an instance may send a copy of one, at once or while a later command
//! runs. Answers are therefore not counted. A proof is given once, and the shape and
//! transaction state of an answer tell those to the proxy's own commands from those to
//! statements. An answer that may be a copy, such as the same error twice, is kept until
//! the answer to a further command shows whether another one came between, see
//! [`PendingExchange::offer`].

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use xxhash_rust::xxh3::Xxh3;

use crate::codec::{DatabaseCommand, ErrorKind};
use crate::owner::connection::DatabaseAnswer;
use crate::statement::{PreparedShape, TransactionState};

/// Time after an answer in which one without a proof may be a copy of it: several
/// times the longest delay of a copy that was reported.
const COPY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an instance that sent a copy is expected to do so again.
const CAUTION_TIME: Duration = Duration::from_mins(1);
/// Answers without a copy after which an instance is not expected to send any.
const ANSWERS_UNTIL_TRUST: u64 = 200;
/// Proofs that a connection remembers: those of some seconds at the highest rate of
/// a connection.
const PROOFS_MAX: usize = 512;
/// Shape of the statement that a marker prepares. It is never run.
const MARKER_SHAPE: &str = "marker";

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// What all connections to an instance have shown of its answers.
#[derive(Debug, Default)]
pub struct InstanceTraits {
    /// Hash of the first proof.
    first_proof: OnceLock<u64>,
    /// Whether the instance gives different proofs.
    has_distinct_proofs: AtomicBool,
    answers: AtomicU64,
    cautious_until: Mutex<Option<Instant>>,
}

impl InstanceTraits {
    /// Counts answers of earlier connections.
    #[must_use]
    pub fn with_answers(self, answers: u64) -> Self {
        self.answers.store(answers, Ordering::Relaxed);
        self
    }

    fn record_proof(&self, proof: u64) {
        if *self.first_proof.get_or_init(|| proof) != proof {
            self.has_distinct_proofs.store(true, Ordering::Relaxed);
        }
    }

    fn has_distinct_proofs(&self) -> bool {
        self.has_distinct_proofs.load(Ordering::Relaxed)
    }

    fn record_copy(&self, now: Instant) {
        let mut until = self
            .cautious_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *until = Some(now + CAUTION_TIME);
    }

    /// Whether copies are to be expected: the instance has sent one of late, or has
    /// answered little so far.
    fn is_cautious(&self, now: Instant) -> bool {
        let until = self
            .cautious_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        until.is_some_and(|until| now < until)
            || self.answers.load(Ordering::Relaxed) < ANSWERS_UNTIL_TRUST
    }
}

/// What an answer says about the command that awaits one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerFit {
    /// It answers the command, as far as can be told.
    Sure,
    /// It may answer the command, or be a copy of an earlier answer.
    Doubtful,
    /// It does not answer the command.
    No,
}

/// An error that a connection has answered.
#[derive(Debug)]
struct GivenError {
    kind: ErrorKind,
    text: CompactString,
    at: Instant,
}

/// A proof that a connection has answered, with the rows before it.
#[derive(Debug, Clone, Copy)]
struct GivenProof {
    proof: u64,
    rows: u64,
}

/// Answers that a connection has given, and copies of which may follow.
#[derive(Debug)]
pub struct AnswerHistory {
    traits: Arc<InstanceTraits>,
    proofs: VecDeque<GivenProof>,
    errors: Vec<GivenError>,
    /// Hashes of the rows of statuses.
    statuses: Vec<(u64, Instant)>,
    opened_at: Option<Instant>,
    state: TransactionState,
    markers: usize,
    copies: u64,
}

impl AnswerHistory {
    /// Creates the history of a new connection to an instance with these traits.
    #[must_use]
    pub fn new(traits: Arc<InstanceTraits>) -> Self {
        Self {
            traits,
            proofs: VecDeque::new(),
            errors: Vec::new(),
            statuses: Vec::new(),
            opened_at: None,
            state: TransactionState::Idle,
            markers: 0,
            copies: 0,
        }
    }

    /// Returns how many copies have arrived.
    #[must_use]
    pub fn copies(&self) -> u64 {
        self.copies
    }

    /// Counts an answer that no command awaits.
    pub fn count_copy(&mut self, now: Instant) {
        self.copies += 1;
        self.traits.record_copy(now);
    }

    /// Returns how many statements markers have prepared since the last reset.
    #[must_use]
    pub fn markers(&self) -> usize {
        self.markers
    }

    /// Notes that the statements of markers were dropped.
    pub fn reset_markers(&mut self) {
        self.markers = 0;
    }

    /// Whether the connection may be used for further work: no copy of an answer can
    /// be mistaken, or none is to be expected.
    #[must_use]
    pub fn is_reusable(&self, now: Instant) -> bool {
        let mut errors = self.errors.iter();
        let has_error = errors.any(|error| now < error.at + COPY_TIMEOUT);
        self.copies == 0 && !(has_error && self.traits.is_cautious(now))
    }

    fn find_proof(&self, proof: &str) -> Option<GivenProof> {
        let proof = hash_of(&proof);
        self.proofs
            .iter()
            .copied()
            .find(|given| given.proof == proof)
    }

    fn has_opened(&self, now: Instant) -> bool {
        self.opened_at.is_some_and(|at| now < at + COPY_TIMEOUT)
    }

    fn has_status(&self, rows: &[CompactString], now: Instant) -> bool {
        let rows = hash_of(&rows);
        let mut statuses = self.statuses.iter();
        statuses.any(|(other, at)| *other == rows && now < *at + COPY_TIMEOUT)
    }

    fn has_error(&self, kind: ErrorKind, text: &str, now: Instant) -> bool {
        let mut errors = self.errors.iter();
        errors
            .any(|error| error.kind == kind && error.text == text && now < error.at + COPY_TIMEOUT)
    }

    fn record(&mut self, command: &DatabaseCommand, answer: &DatabaseAnswer, now: Instant) {
        self.traits.answers.fetch_add(1, Ordering::Relaxed);
        self.record_proof(answer);
        match &answer.outcome {
            Ok(_) if command.answers_status() => {
                self.statuses.retain(|(_, at)| now < *at + COPY_TIMEOUT);
                self.statuses.push((hash_of(&answer.rows), now));
            }
            Ok(_) => {
                if matches!(command, DatabaseCommand::Begin { .. }) {
                    self.opened_at = Some(now);
                }
            }
            Err((kind, text)) => {
                self.errors.retain(|error| {
                    let is_same = error.kind == *kind && error.text == *text;
                    !is_same && now < error.at + COPY_TIMEOUT
                });
                self.errors.push(GivenError {
                    kind: *kind,
                    text: text.clone(),
                    at: now,
                });
            }
        }
    }

    fn record_proof(&mut self, answer: &DatabaseAnswer) {
        let Ok(Some(proof)) = &answer.outcome else {
            return;
        };
        if self.find_proof(proof).is_some() {
            return;
        }
        let proof = hash_of(&proof.as_str());
        self.traits.record_proof(proof);
        if self.proofs.len() == PROOFS_MAX {
            self.proofs.pop_front();
        }
        let rows = hash_of(&answer.rows);
        self.proofs.push_back(GivenProof { proof, rows });
    }

    /// Whether an answer that is discarded has rows that are not those of the answer
    /// that it copies: they belong to an answer within which the copy was sent.
    fn holds_other_rows(&self, answer: &DatabaseAnswer, now: Instant) -> bool {
        let has_rows = !answer.rows.is_empty();
        match &answer.outcome {
            Ok(Some(proof)) => {
                let given = self.find_proof(proof);
                given.is_some_and(|given| given.rows != hash_of(&answer.rows))
            }
            Ok(None) => has_rows && !self.has_status(&answer.rows, now),
            Err(_) => has_rows,
        }
    }

    fn fit_error(
        &self,
        command: &DatabaseCommand,
        before: TransactionState,
        answer: &DatabaseAnswer,
        (kind, text): (ErrorKind, &str),
        now: Instant,
    ) -> AnswerFit {
        let is_idle = answer.state == TransactionState::Idle;
        let was_idle = before == TransactionState::Idle;
        match command {
            DatabaseCommand::Marker(..) => {
                // A failed transaction refuses every command but its end.
                let is_refused = kind == ErrorKind::Malformed
                    && before == TransactionState::Failed
                    && answer.state == before;
                if is_refused {
                    AnswerFit::Sure
                } else {
                    AnswerFit::No
                }
            }
            _ if was_idle && !is_idle => AnswerFit::No,
            DatabaseCommand::Rollback if !was_idle => AnswerFit::No,
            DatabaseCommand::Rollback => AnswerFit::Sure,
            DatabaseCommand::Reset | DatabaseCommand::Set(..) | DatabaseCommand::Prepare(..)
                if self.has_error(kind, text, now) =>
            {
                // These do not fail for a reason that a statement fails for, unless
                // the transaction has failed before.
                if before == TransactionState::Failed {
                    AnswerFit::Sure
                } else {
                    AnswerFit::No
                }
            }
            _ if self.has_error(kind, text, now) => AnswerFit::Doubtful,
            // The error may be that of a `BEGIN` for which a copy was taken.
            DatabaseCommand::Run { .. } | DatabaseCommand::Execute { .. }
                if !was_idle && is_idle =>
            {
                AnswerFit::Doubtful
            }
            _ => AnswerFit::Sure,
        }
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
            Err((kind, text)) => {
                return self.fit_error(command, before, answer, (*kind, text), now);
            }
        };
        if command.is_callers() {
            return match proof {
                None => AnswerFit::No,
                Some(proof) if self.find_proof(proof).is_none() => AnswerFit::Sure,
                Some(_) if self.traits.has_distinct_proofs() => AnswerFit::No,
                // The instance may give the same proof for each statement.
                Some(_) => AnswerFit::Doubtful,
            };
        }
        if proof.is_some() && self.traits.has_distinct_proofs() {
            return AnswerFit::No;
        }
        if command.answers_status() {
            return match answer.rows.len() {
                1 if proof.is_some() || self.has_status(&answer.rows, now) => AnswerFit::Doubtful,
                1 => AnswerFit::Sure,
                _ => AnswerFit::No,
            };
        }
        let expected = match command {
            DatabaseCommand::Begin { .. } => TransactionState::Open,
            DatabaseCommand::Reset | DatabaseCommand::Rollback => TransactionState::Idle,
            _ => before,
        };
        if !answer.rows.is_empty() || answer.state != expected {
            return AnswerFit::No;
        }
        let is_begin = matches!(command, DatabaseCommand::Begin { .. });
        if is_begin && self.has_opened(now) && self.traits.is_cautious(now) {
            AnswerFit::Doubtful
        } else {
            AnswerFit::Sure
        }
    }

    /// Whether an answer to a command may be a copy of one that was given before.
    fn may_be_copy(
        &self,
        command: &DatabaseCommand,
        answer: &DatabaseAnswer,
        now: Instant,
    ) -> bool {
        match &answer.outcome {
            Err((kind, text)) => self.has_error(*kind, text, now),
            Ok(Some(proof)) => self.find_proof(proof).is_some(),
            Ok(None) if command.answers_status() => self.has_status(&answer.rows, now),
            Ok(None) if matches!(command, DatabaseCommand::Begin { .. }) => self.has_opened(now),
            Ok(None) => true,
        }
    }

    /// A command whose answer settles whether an earlier answer was a copy: it takes
    /// no slot and keeps the state of the transaction.
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
    /// Two answers cannot be told apart.
    Broken,
}

/// Commands sent on a connection, and the answers paired with them so far.
#[derive(Debug)]
pub struct PendingExchange {
    commands: Vec<DatabaseCommand>,
    answers: Vec<DatabaseAnswer>,
    /// Whether each answer may be a copy of an earlier one.
    doubts: Vec<bool>,
    /// Number of commands that the caller of the exchange sent.
    requested: usize,
}

impl PendingExchange {
    /// Creates an exchange of commands. A marker follows a `BEGIN` at the end, since a
    /// statement must not be sent into a transaction that was not opened.
    #[must_use]
    pub fn new(history: &mut AnswerHistory, commands: &[DatabaseCommand], now: Instant) -> Self {
        let requested = commands.len();
        let mut commands = commands.to_vec();
        let opens = matches!(commands.last(), Some(DatabaseCommand::Begin { .. }));
        if opens && history.has_opened(now) {
            commands.push(history.next_marker());
        }
        Self {
            answers: Vec::with_capacity(commands.len()),
            doubts: Vec::with_capacity(commands.len()),
            commands,
            requested,
        }
    }

    /// The commands to send.
    #[must_use]
    pub fn commands(&self) -> &[DatabaseCommand] {
        &self.commands
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
        let Some(command) = self.commands.get(index) else {
            return AnswerFit::No;
        };
        let fit = history.fit(command, before, answer, now);
        if fit == AnswerFit::Sure && self.ends_doubtful_begin(index) {
            return AnswerFit::Doubtful;
        }
        fit
    }

    /// Whether a command ends a transaction whose `BEGIN` may have a copy for its
    /// answer. A copy of the earlier end may follow that.
    fn ends_doubtful_begin(&self, index: usize) -> bool {
        let Some(previous) = index.checked_sub(1) else {
            return false;
        };
        matches!(self.commands[index], DatabaseCommand::Rollback)
            && matches!(self.commands[previous], DatabaseCommand::Begin { .. })
            && self.doubts[previous]
    }

    /// The statement of the caller, if `answer` has a new proof and another answer was
    /// taken for that to the statement. Only the statement can have been given the
    /// proof, so the other one was a copy.
    fn find_refused(&self, history: &AnswerHistory, answer: &DatabaseAnswer) -> Option<usize> {
        let Ok(Some(proof)) = &answer.outcome else {
            return None;
        };
        if history.find_proof(proof).is_some() {
            return None;
        }
        let index = self.commands.iter().position(DatabaseCommand::is_callers)?;
        let taken = self.answers.get(index)?;
        (taken.outcome.is_err() || self.doubts[index]).then_some(index)
    }

    /// The place of an earlier answer that `answer` replaces. An answer that does not
    /// fit its command belongs to the one before if the answer to that is in doubt; an
    /// error belongs to a `BEGIN` if the command after it cannot fail so.
    fn find_replaced(
        &self,
        history: &AnswerHistory,
        answer: &DatabaseAnswer,
        now: Instant,
    ) -> Option<usize> {
        for index in (0..self.answers.len()).rev() {
            let is_begin = matches!(self.commands[index], DatabaseCommand::Begin { .. });
            let is_opened = is_begin && self.answers[index].outcome.is_ok();
            let may_be_copy = self.doubts[index] || (is_opened && answer.outcome.is_err());
            if !may_be_copy {
                return None;
            }
            if self.fit_at(history, index, answer, now) != AnswerFit::No {
                return Some(index);
            }
        }
        None
    }

    /// Takes the next whole answer on the connection.
    ///
    /// A doubtful answer is kept until a later one shows that it was a copy: if its
    /// command has an answer still to come, that one arrives before those to the
    /// commands after it.
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
            history.count_copy(now);
            let replaced = refused.or_else(|| self.find_replaced(history, &answer, now));
            let is_same = replaced.is_some_and(|index| self.answers[index] == answer);
            let Some(replaced) = replaced.filter(|_| !is_same) else {
                if history.holds_other_rows(&answer, now) {
                    return ExchangeStep::Broken;
                }
                history.record_proof(&answer);
                return ExchangeStep::Wait;
            };
            if history.may_be_copy(&self.commands[replaced], &answer, now) {
                // Either of the two answers may be the copy.
                return ExchangeStep::Broken;
            }
            self.answers.truncate(replaced);
            self.doubts.truncate(replaced);
            fit = AnswerFit::Sure;
        }
        if fit == AnswerFit::Doubtful && history.holds_other_rows(&answer, now) {
            return ExchangeStep::Broken;
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
