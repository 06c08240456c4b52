//! One connection to an instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::BytesMut;
use compact_str::CompactString;
use fulmarrill_budget::{BudgetGuard, MemoryBudget};
use fulmarrill_position::LogPoint;
use fulmarrill_runtime::timeout_at;
use futures_lite::future::poll_once;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use thiserror::Error;

use crate::catalogue::InstanceEntry;
use crate::codec::{
    CodecError, DatabaseCodec, DatabaseCommand, DatabaseMessage, DatabaseStatus, ErrorKind,
    MessageScan,
};
use crate::entry::clients::grow;
use crate::owner::pairing::{AnswerHistory, ExchangeStep, InstanceTraits, PendingExchange};
use crate::statement::TransactionState;

/// Size of one read from the socket.
const READ_BYTES: usize = 16 << 10;
/// Bytes that a row takes in addition to its text.
const ROW_OVERHEAD_BYTES: usize = 32;
/// Largest buffer that a connection keeps between exchanges.
const KEPT_BUFFER_BYTES: usize = 64 << 10;
/// Size of one read of what has arrived before a command is sent; usually nothing.
const ARRIVED_BYTES: usize = 512;

/// Why a connection cannot be used.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// It cannot be set up, or was closed while idle; no statement was sent.
    #[error("cannot connect: {0}")]
    Connect(CompactString),
    /// The instance refused it; nothing was run.
    #[error("connection refused by the instance: {0:?} {1}")]
    Refused(ErrorKind, CompactString),
    /// Every connection that may be opened is in use; nothing was sent.
    #[error("all connections are in use")]
    Exhausted,
    /// It broke, or the deadline came, with an answer outstanding.
    #[error("connection lost: {0}")]
    Lost(CompactString),
    /// The instance sent bytes that are no message of the protocol.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// There is no memory left for the rows of an answer.
    #[error("no memory is left for the answer")]
    NoMemory,
    /// A command is longer than an instance takes; nothing was sent.
    #[error("the message to the instance is too long")]
    TooLong,
    /// The messages of an answer are not in an order that the protocol allows.
    #[error("malformed answer: {0}")]
    Malformed(&'static str),
}

impl ConnectionError {
    /// Whether the instance answered an attempt to connect. One that is gone does not:
    /// another instance at its address refuses its id.
    #[must_use]
    pub fn is_answer(&self) -> bool {
        !matches!(
            self,
            Self::Connect(_) | Self::Refused(ErrorKind::Misrouted, _)
        )
    }

    fn lost(error: &io::Error) -> Self {
        Self::Lost(error.to_string().into())
    }
}

/// The whole answer to one command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DatabaseAnswer {
    /// Rows as the instance sent them.
    pub rows: Vec<CompactString>,
    /// The instance's proof of execution, if it gave one, or the kind and text of the
    /// failure.
    pub outcome: Result<Option<CompactString>, (ErrorKind, CompactString)>,
    /// State of the connection's transaction afterwards.
    pub state: TransactionState,
    /// Position of the instance's log, if it reported one.
    pub point: Option<LogPoint>,
}

impl DatabaseAnswer {
    /// Whether the connection has no open transaction afterwards.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state == TransactionState::Idle
    }

    /// Decodes the status in the first row.
    #[must_use]
    pub fn read_status(&self, codec: &DatabaseCodec) -> Option<DatabaseStatus> {
        let row = self.rows.first()?;
        match (codec.read_status)(row) {
            Ok(status) => Some(status),
            Err(error) => {
                log::warn!("cannot read the status of an instance: {error}");
                None
            }
        }
    }
}

/// The messages of an answer that have arrived so far.
#[derive(Debug, Default)]
struct PartialAnswer {
    rows: Vec<CompactString>,
    outcome: Option<Result<Option<CompactString>, (ErrorKind, CompactString)>>,
}

impl PartialAnswer {
    fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.outcome.is_none()
    }

    fn set_outcome(
        &mut self,
        outcome: Result<Option<CompactString>, (ErrorKind, CompactString)>,
    ) -> Result<(), ConnectionError> {
        match self.outcome.replace(outcome) {
            None => Ok(()),
            Some(_) => Err(ConnectionError::Malformed("it has two outcomes")),
        }
    }

    /// Adds a message and returns the answer if that ends it.
    fn add(&mut self, message: DatabaseMessage) -> Result<Option<DatabaseAnswer>, ConnectionError> {
        match message {
            DatabaseMessage::Row(_) if self.outcome.is_some() => {
                return Err(ConnectionError::Malformed("a row follows its outcome"));
            }
            DatabaseMessage::Row(row) => self.rows.push(row),
            DatabaseMessage::Done(proof) => self.set_outcome(Ok(proof))?,
            DatabaseMessage::Error(kind, text) => self.set_outcome(Err((kind, text)))?,
            DatabaseMessage::Ready(state, point) => {
                let Some(outcome) = self.outcome.take() else {
                    return Err(ConnectionError::Malformed("it has no outcome"));
                };
                return Ok(Some(DatabaseAnswer {
                    rows: std::mem::take(&mut self.rows),
                    outcome,
                    state,
                    point,
                }));
            }
        }
        Ok(None)
    }
}

/// The rows that an exchange has read so far, on a budget.
#[derive(Debug)]
struct CountedRows {
    budget: Arc<MemoryBudget>,
    guard: BudgetGuard,
    bytes: usize,
}

/// A connection to an instance on which no answer is outstanding.
#[derive(Debug)]
pub struct DatabaseConnection {
    codec: DatabaseCodec,
    stream: TcpStream,
    input: BytesMut,
    output: Vec<u8>,
    partial: PartialAnswer,
    scan: MessageScan,
    /// Counts the rows of the exchange under way.
    rows: Option<Box<CountedRows>>,
    history: Box<AnswerHistory>,
    /// Position that the instance reported last.
    pub point: Option<LogPoint>,
}

impl DatabaseConnection {
    /// Connects to an instance in the name of a customer, or of the proxy itself. The
    /// startup message names its database and id, so that another instance at the address
    /// can refuse. All connections to an instance share `traits`.
    ///
    /// # Errors
    ///
    /// If it does not answer before `deadline`, or refuses.
    pub async fn connect(
        codec: DatabaseCodec,
        instance: &InstanceEntry,
        customer: Option<&str>,
        traits: Arc<InstanceTraits>,
        deadline: Instant,
    ) -> Result<Self, ConnectionError> {
        let setup = async {
            let address: SocketAddr = instance
                .address
                .parse()
                .map_err(|error| ConnectionError::Connect(format!("{error}").into()))?;
            let stream = TcpStream::connect(address)
                .await
                .map_err(|error| ConnectionError::Connect(error.to_string().into()))?;
            stream.set_nodelay(true).ok();
            let mut connection = Self {
                codec,
                stream,
                input: BytesMut::new(),
                output: Vec::new(),
                partial: PartialAnswer::default(),
                scan: MessageScan::default(),
                rows: None,
                history: Box::new(AnswerHistory::new(traits)),
                point: None,
            };
            let (database, id) = (&instance.database, &instance.id);
            (codec.encode_startup)(database, customer, id, &mut connection.output);
            connection.flush().await?;
            connection.read_greeting().await?;
            Ok(connection)
        };
        match timeout_at(deadline, setup).await {
            // No statement was sent yet that the instance could have run.
            Ok(Err(ConnectionError::Lost(why))) => Err(ConnectionError::Connect(why)),
            Ok(result) => result,
            Err(_) => Err(ConnectionError::Connect("no answer in time".into())),
        }
    }

    async fn read_greeting(&mut self) -> Result<(), ConnectionError> {
        match self.read_message().await? {
            DatabaseMessage::Ready(_, point) => {
                self.point = point;
                Ok(())
            }
            DatabaseMessage::Error(kind, text) => Err(ConnectionError::Refused(kind, text)),
            other => Err(ConnectionError::Lost(
                format!("unexpected greeting {other:?}").into(),
            )),
        }
    }

    async fn flush(&mut self) -> Result<(), ConnectionError> {
        let written = self.stream.write_all(&self.output).await;
        self.output.clear();
        written.map_err(|error| ConnectionError::lost(&error))
    }

    /// Counts the rows of the next exchange against a budget.
    pub fn count_rows(&mut self, budget: Arc<MemoryBudget>, guard: BudgetGuard) {
        // Boxed, so that the futures of all owners and sessions stay small.
        self.rows = Some(Box::new(CountedRows {
            budget,
            guard,
            bytes: 0,
        }));
    }

    async fn read_message(&mut self) -> Result<DatabaseMessage, ConnectionError> {
        loop {
            if let Some(message) = self.decode_message()? {
                if let (DatabaseMessage::Row(row), Some(rows)) = (&message, &mut self.rows) {
                    rows.bytes += row.len() + ROW_OVERHEAD_BYTES;
                }
                return Ok(message);
            }
            if let Some(rows) = &mut self.rows {
                let bytes = rows.bytes + self.input.len() + READ_BYTES;
                if grow(&rows.budget, &mut rows.guard, bytes).await.is_err() {
                    return Err(ConnectionError::NoMemory);
                }
            }
            if self.receive().await? == 0 {
                return Err(ConnectionError::Lost("closed by the instance".into()));
            }
        }
    }

    /// Removes one message from the input, if it holds a whole one or one that is too
    /// long.
    fn decode_message(&mut self) -> Result<Option<DatabaseMessage>, ConnectionError> {
        let has_end = self.scan.has_end(&self.input, self.codec.message_end);
        if !has_end && self.input.len() < self.codec.message_bytes_max {
            return Ok(None);
        }
        let message = (self.codec.decode)(&mut self.input)?;
        if message.is_some() {
            self.scan.restart();
        }
        Ok(message)
    }

    /// Gives back the buffers of a large exchange; a connection may be idle for long.
    fn release_buffers(&mut self) {
        if self.input.is_empty() && self.input.capacity() > KEPT_BUFFER_BYTES {
            self.input = BytesMut::new();
            self.scan.restart();
        }
        if self.output.capacity() > KEPT_BUFFER_BYTES {
            self.output = Vec::new();
        }
        self.rows = None;
    }

    /// Reads what has arrived into the input; returns the number of bytes.
    async fn receive(&mut self) -> Result<usize, ConnectionError> {
        let start = self.input.len();
        self.input.resize(start + READ_BYTES, 0);
        let read = self.stream.read(&mut self.input[start..]).await;
        self.input
            .truncate(start + read.as_ref().map_or(0, |count| *count));
        read.map_err(|error| ConnectionError::lost(&error))
    }

    async fn read_answer(&mut self) -> Result<DatabaseAnswer, ConnectionError> {
        loop {
            let message = self.read_message().await?;
            if let Some(answer) = self.add_message(message)? {
                return Ok(answer);
            }
        }
    }

    /// Adds a message to the partial answer and returns the answer if that ends it.
    fn add_message(
        &mut self,
        message: DatabaseMessage,
    ) -> Result<Option<DatabaseAnswer>, ConnectionError> {
        if matches!(message, DatabaseMessage::Ready(..)) && self.partial.is_empty() {
            // A copy of the greeting.
            self.history.count_copy(Instant::now());
            return Ok(None);
        }
        self.partial.add(message)
    }

    /// Reads what has arrived, without waiting; returns the number of bytes, or `None`
    /// if nothing has arrived.
    async fn receive_arrived(&mut self) -> Option<Result<usize, ConnectionError>> {
        let mut bytes = [0; ARRIVED_BYTES];
        let read = poll_once(self.stream.read(&mut bytes)).await?;
        if let Ok(count) = read {
            self.input.extend_from_slice(&bytes[..count]);
        }
        Some(read.map_err(|error| ConnectionError::lost(&error)))
    }

    /// Whether the connection is open and nothing has arrived since the last answer.
    /// Bytes that have arrived count as a copy.
    pub async fn is_quiet(&mut self) -> bool {
        let is_open = match self.receive_arrived().await {
            None => true,
            Some(received) => matches!(received, Ok(count) if count > 0),
        };
        let has_input = !self.input.is_empty() || !self.partial.is_empty();
        if has_input {
            self.history.count_copy(Instant::now());
        }
        is_open && !has_input
    }

    /// Returns how many copies of answers have arrived.
    #[must_use]
    pub fn copied_answers(&self) -> u64 {
        self.history.copies()
    }

    /// Whether the connection may be used for further work, see
    /// [`AnswerHistory::is_reusable`].
    #[must_use]
    pub fn is_reusable(&self, now: Instant) -> bool {
        self.history.is_reusable(now)
    }

    /// Returns how many statements markers have prepared since the last reset.
    #[must_use]
    pub fn markers(&self) -> usize {
        self.history.markers()
    }

    /// Notes that the statements of markers will be dropped by a reset.
    pub fn reset_markers(&mut self) {
        self.history.reset_markers();
    }

    /// Discards what arrived since the last answer: it was sent before the next
    /// command, so it does not answer that. Returns whether the rest of an answer to
    /// discard has still to arrive.
    async fn discard_copies(&mut self) -> Result<bool, ConnectionError> {
        loop {
            while let Some(message) = self.decode_message()? {
                if self.add_message(message)?.is_some() {
                    self.history.count_copy(Instant::now());
                }
            }
            match self.receive_arrived().await {
                None => break,
                // No command was sent yet that the instance could have run.
                Some(Ok(0) | Err(_)) => {
                    return Err(ConnectionError::Connect("closed by the instance".into()));
                }
                Some(Ok(_)) => {}
            }
        }
        Ok(!self.input.is_empty() || !self.partial.is_empty())
    }

    /// Discards the messages up to the end of an answer or greeting.
    async fn discard_rest(&mut self) -> Result<(), ConnectionError> {
        while !matches!(self.read_message().await?, DatabaseMessage::Ready(..)) {}
        self.partial = PartialAnswer::default();
        self.history.count_copy(Instant::now());
        Ok(())
    }

    /// Sends commands in one write and reads all of their answers. After an
    /// error, or when this is dropped early, answers may be outstanding, and
    /// the connection must be closed.
    ///
    /// # Errors
    ///
    /// If the connection fails, or not every answer arrives before `deadline`.
    pub async fn exchange(
        &mut self,
        commands: &[DatabaseCommand],
        deadline: Instant,
    ) -> Result<Vec<DatabaseAnswer>, ConnectionError> {
        // Boxed, so that the futures of all owners and sessions stay small.
        let result = timeout_at(deadline, Box::pin(self.run_exchange(commands))).await;
        self.release_buffers();
        match result {
            Ok(result) => result,
            Err(_) => Err(ConnectionError::Lost("no answer in time".into())),
        }
    }

    async fn run_exchange(
        &mut self,
        commands: &[DatabaseCommand],
    ) -> Result<Vec<DatabaseAnswer>, ConnectionError> {
        let is_mid_copy = self.discard_copies().await?;
        let mut pending = PendingExchange::new(&mut self.history, commands, Instant::now());
        for command in pending.commands() {
            let start = self.output.len();
            (self.codec.encode)(command, &mut self.output);
            if self.output.len() - start > self.codec.message_bytes_max {
                self.output.clear();
                return Err(ConnectionError::TooLong);
            }
        }
        self.flush().await?;
        if is_mid_copy {
            self.discard_rest().await?;
        }
        loop {
            let answer = self.read_answer().await?;
            self.point = answer.point.or(self.point);
            match pending.offer(&mut self.history, answer, Instant::now()) {
                ExchangeStep::Wait => {}
                ExchangeStep::Done => return Ok(pending.into_answers()),
                ExchangeStep::Broken => {
                    return Err(ConnectionError::Malformed(
                        "it may be that of another command",
                    ));
                }
                ExchangeStep::Send(marker) => {
                    (self.codec.encode)(&marker, &mut self.output);
                    self.flush().await?;
                }
            }
        }
    }
}
