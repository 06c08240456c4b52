//! The client's side: connections to databases.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::{Buf, BytesMut};
use compact_str::CompactString;
use fulmarrill_runtime::timeout_at;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Startup;
use smol::net::TcpStream;

use crate::error::PgError;
use crate::report::ErrorReport;
use crate::stream::{MessageStream, encode_frontend};

/// Message type of `ReadyForQuery`.
const READY_FOR_QUERY: u8 = b'Z';
/// Message type of `ErrorResponse`.
const ERROR_RESPONSE: u8 = b'E';
/// Message type of `BackendKeyData`.
const BACKEND_KEY_DATA: u8 = b'K';
/// Message type of `DataRow`.
const DATA_ROW: u8 = b'D';
/// Bytes of a message before its body.
const HEADER_BYTES: usize = 5;

/// The process id in the greeting of a server, 0 if it gives none.
fn process_id_in(greeting: &BackendResponse) -> i32 {
    for message in greeting.split() {
        if message[0] == BACKEND_KEY_DATA && message.len() >= HEADER_BYTES + 4 {
            return (&message[HEADER_BYTES..]).get_i32();
        }
    }
    0
}

/// Where to connect and as whom.
#[derive(Debug, Clone)]
pub struct ConnectTarget {
    address: CompactString,
    user: CompactString,
    database: CompactString,
    options: CompactString,
}

impl ConnectTarget {
    /// A target at `address`, `IP:PORT`.
    #[must_use]
    pub fn new(address: &str, user: &str, database: &str) -> Self {
        Self {
            address: address.into(),
            user: user.into(),
            database: database.into(),
            options: CompactString::default(),
        }
    }

    /// Sets the `options` parameter of the startup message.
    #[must_use]
    pub fn with_options(mut self, options: &str) -> Self {
        self.options = options.into();
        self
    }
}

/// Everything a server said about one request, up to `ReadyForQuery`.
#[derive(Debug, Clone)]
pub struct BackendResponse {
    /// The messages as they came, with `ReadyForQuery` as the last.
    pub messages: BytesMut,
    /// Transaction status after the request.
    pub status: u8,
    /// The first error, if there was one.
    pub error: Option<ErrorReport>,
}

impl BackendResponse {
    /// Splits the answer into its messages, each with its header.
    #[must_use]
    pub fn split(&self) -> Vec<&[u8]> {
        let mut rest = &self.messages[..];
        let mut messages = Vec::new();
        while rest.len() >= HEADER_BYTES {
            let length = (&rest[1..HEADER_BYTES]).get_u32() as usize + 1;
            if length > rest.len() {
                break;
            }
            let (message, tail) = rest.split_at(length);
            messages.push(message);
            rest = tail;
        }
        messages
    }

    /// The rows of the answer, for columns in text format.
    #[must_use]
    pub fn rows(&self) -> Vec<TextRow> {
        let mut rows = Vec::new();
        for message in self.split() {
            if message[0] != DATA_ROW {
                continue;
            }
            rows.push(TextRow::parse(&message[HEADER_BYTES..]));
        }
        rows
    }
}

/// One row whose columns are text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextRow {
    columns: Vec<Option<String>>,
}

impl TextRow {
    fn parse(mut body: &[u8]) -> Self {
        let mut columns = Vec::new();
        if body.len() < 2 {
            return Self { columns };
        }
        let count = body.get_u16();
        for _ in 0..count {
            if body.len() < 4 {
                break;
            }
            let Ok(length) = usize::try_from(body.get_i32()) else {
                columns.push(None);
                continue;
            };
            let (value, rest) = body.split_at(length.min(body.len()));
            columns.push(Some(String::from_utf8_lossy(value).into_owned()));
            body = rest;
        }
        Self { columns }
    }

    /// The text of a column; `None` for NULL or a column that is not there.
    #[must_use]
    pub fn text(&self, column: usize) -> Option<&str> {
        self.columns.get(column)?.as_deref()
    }
}

/// A connection to a database as a client.
///
/// Answers come in the order of the requests. A connection that still owes an
/// answer must not be given to anybody else: see
/// [`DatabaseConnection::is_drained`].
#[derive(Debug)]
pub struct DatabaseConnection {
    stream: MessageStream,
    answers_owed: usize,
    process_id: i32,
}

impl DatabaseConnection {
    /// Connects and waits until the server is ready.
    ///
    /// # Errors
    ///
    /// When the address is not `IP:PORT`, the server refuses, or nothing comes
    /// before `deadline`.
    pub async fn connect(target: &ConnectTarget, deadline: Instant) -> Result<Self, PgError> {
        timeout_at(deadline, Self::connect_unbounded(target)).await?
    }

    async fn connect_unbounded(target: &ConnectTarget) -> Result<Self, PgError> {
        let address: SocketAddr = target.address.parse().map_err(std::io::Error::other)?;
        let stream = MessageStream::new(TcpStream::connect(address).await?);
        let mut connection = Self {
            stream,
            answers_owed: 0,
            process_id: 0,
        };
        let mut startup = Startup::new();
        startup
            .parameters
            .insert("user".to_owned(), target.user.to_string());
        startup
            .parameters
            .insert("database".to_owned(), target.database.to_string());
        if !target.options.is_empty() {
            startup
                .parameters
                .insert("options".to_owned(), target.options.to_string());
        }
        let bytes = encode_frontend(&[PgWireFrontendMessage::Startup(startup)])?;
        connection.send(&bytes, 1).await?;
        let answer = connection.read_response().await?;
        connection.process_id = process_id_in(&answer);
        match answer.error {
            None => Ok(connection),
            Some(report) => Err(PgError::Server {
                code: report.code,
                message: report.message,
            }),
        }
    }

    /// Sends encoded requests that the server will answer with `answers` times
    /// `ReadyForQuery`.
    ///
    /// # Errors
    ///
    /// The socket's error.
    pub async fn send(&mut self, bytes: &[u8], answers: usize) -> Result<(), PgError> {
        self.answers_owed += answers;
        self.stream.write(bytes).await
    }

    /// Reads the answer to the oldest request that is still unanswered.
    ///
    /// # Errors
    ///
    /// When the connection ends or breaks the protocol.
    pub async fn read_response(&mut self) -> Result<BackendResponse, PgError> {
        let mut messages = BytesMut::new();
        let mut error = None;
        loop {
            let message = match self.stream.read_message().await {
                Ok(message) => message,
                Err(PgError::Closed) => return Err(Self::closed_with(error)),
                Err(other) => return Err(other),
            };
            messages.extend_from_slice(&message);
            match message[0] {
                READY_FOR_QUERY => {
                    self.answers_owed = self.answers_owed.saturating_sub(1);
                    let status = message.get(HEADER_BYTES).copied().unwrap_or(b'I');
                    return Ok(BackendResponse {
                        messages,
                        status,
                        error,
                    });
                }
                ERROR_RESPONSE if error.is_none() => {
                    error = Some(ErrorReport::from_message(&message));
                }
                _ => {}
            }
        }
    }

    /// The error of a connection that ended after `error` was reported on it.
    fn closed_with(error: Option<ErrorReport>) -> PgError {
        match error {
            Some(report) => PgError::Server {
                code: report.code,
                message: report.message,
            },
            None => PgError::Closed,
        }
    }

    /// Sends one request and reads its answer.
    ///
    /// # Errors
    ///
    /// When the connection fails or nothing comes before `deadline`; it must
    /// not be used again then.
    pub async fn exchange(
        &mut self,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<BackendResponse, PgError> {
        let work = async {
            self.send(bytes, 1).await?;
            self.read_response().await
        };
        timeout_at(deadline, work).await?
    }

    /// Runs one simple query and returns its rows.
    ///
    /// # Errors
    ///
    /// [`PgError::Server`] when the statement fails; otherwise as
    /// [`DatabaseConnection::exchange`].
    pub async fn query(&mut self, sql: &str, deadline: Instant) -> Result<Vec<TextRow>, PgError> {
        let answer = self.exchange(&Self::encode_query(sql)?, deadline).await?;
        match answer.error {
            Some(report) => Err(PgError::Server {
                code: report.code,
                message: report.message,
            }),
            None => Ok(answer.rows()),
        }
    }

    /// Encodes a simple query.
    ///
    /// # Errors
    ///
    /// When the text cannot be expressed in the protocol.
    pub fn encode_query(sql: &str) -> Result<BytesMut, PgError> {
        encode_frontend(&[PgWireFrontendMessage::Query(Query::new(sql.to_owned()))])
    }

    /// The server's process id of this connection, for
    /// `pg_terminate_backend`.
    #[must_use]
    pub fn process_id(&self) -> i32 {
        self.process_id
    }

    /// Whether every answer has been read, so that the connection may serve
    /// somebody else.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.answers_owed == 0 && !self.stream.has_unread_input()
    }
}
