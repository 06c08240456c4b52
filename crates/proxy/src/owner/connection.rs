//! One connection to an instance.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::BytesMut;
use compact_str::CompactString;
use fulmarrill_position::LogPoint;
use fulmarrill_runtime::timeout_at;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalogue::InstanceEntry;
use crate::codec::{
    CodecError, DatabaseCodec, DatabaseCommand, DatabaseMessage, DatabaseStatus, ErrorKind,
};
use crate::statement::TransactionState;

/// Size of one read from the socket.
const READ_BYTES: usize = 16 << 10;
/// Proofs that a connection remembers: those of some seconds at the highest rate of
/// a connection.
const PROOFS_MAX: usize = 512;
/// Proof in the answers to the proxy's own commands.
const ABSENT_PROOF: &str = "-";

/// Why a connection cannot be used.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// It cannot be set up; no statement was sent.
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
    /// The instance's proof of execution, or the kind and text of the failure.
    pub outcome: Result<CompactString, (ErrorKind, CompactString)>,
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

/// The answers that a connection has given.
#[derive(Debug, Default)]
struct AnswerHistory {
    /// Hashes of the last proofs.
    proofs: VecDeque<u64>,
    repeated: u64,
}

impl AnswerHistory {
    fn record_proof(&mut self, proof: &str) {
        if proof == ABSENT_PROOF {
            return;
        }
        let hash = xxh3_64(proof.as_bytes());
        if self.proofs.contains(&hash) {
            self.repeated += 1;
        }
        if self.proofs.len() == PROOFS_MAX {
            self.proofs.pop_front();
        }
        self.proofs.push_back(hash);
    }
}

/// A connection to an instance on which no answer is outstanding.
#[derive(Debug)]
pub struct DatabaseConnection {
    codec: DatabaseCodec,
    stream: TcpStream,
    input: BytesMut,
    output: Vec<u8>,
    history: Box<AnswerHistory>,
    /// Position that the instance reported last.
    pub point: Option<LogPoint>,
}

impl DatabaseConnection {
    /// Returns how many answers repeated an earlier one: their proof was given before,
    /// or they arrived before the command that they would answer was sent.
    #[must_use]
    pub fn repeated_answers(&self) -> u64 {
        self.history.repeated
    }

    /// Connects to an instance. The startup message names its database and id, so
    /// that another instance at the address can refuse.
    ///
    /// # Errors
    ///
    /// If it does not answer before `deadline`, or refuses.
    pub async fn connect(
        codec: DatabaseCodec,
        instance: &InstanceEntry,
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
                history: Box::default(),
                point: None,
            };
            (codec.encode_startup)(&instance.database, &instance.id, &mut connection.output);
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

    async fn read_message(&mut self) -> Result<DatabaseMessage, ConnectionError> {
        loop {
            if let Some(message) = (self.codec.decode)(&mut self.input)? {
                return Ok(message);
            }
            let start = self.input.len();
            self.input.resize(start + READ_BYTES, 0);
            let read = self.stream.read(&mut self.input[start..]).await;
            self.input
                .truncate(start + read.as_ref().map_or(0, |count| *count));
            match read {
                Ok(0) => return Err(ConnectionError::Lost("closed by the instance".into())),
                Ok(_) => {}
                Err(error) => return Err(ConnectionError::lost(&error)),
            }
        }
    }

    async fn read_answer(&mut self) -> Result<DatabaseAnswer, ConnectionError> {
        let mut rows = Vec::new();
        let mut outcome = None;
        loop {
            match self.read_message().await? {
                DatabaseMessage::Row(row) => rows.push(row),
                DatabaseMessage::Done(proof) => {
                    self.history.record_proof(&proof);
                    outcome = Some(Ok(proof));
                }
                DatabaseMessage::Error(kind, text) => outcome = Some(Err((kind, text))),
                DatabaseMessage::Ready(state, point) => {
                    let Some(outcome) = outcome else {
                        return Err(ConnectionError::Lost("answer without an outcome".into()));
                    };
                    self.point = point.or(self.point);
                    return Ok(DatabaseAnswer {
                        rows,
                        outcome,
                        state,
                        point,
                    });
                }
            }
        }
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
        if !self.input.is_empty() {
            self.history.repeated += 1;
        }
        for command in commands {
            (self.codec.encode)(command, &mut self.output);
        }
        let exchange = async {
            self.flush().await?;
            let mut answers = Vec::with_capacity(commands.len());
            for _ in commands {
                answers.push(self.read_answer().await?);
            }
            Ok(answers)
        };
        match timeout_at(deadline, exchange).await {
            Ok(result) => result,
            Err(_) => Err(ConnectionError::Lost("no answer in time".into())),
        }
    }
}
