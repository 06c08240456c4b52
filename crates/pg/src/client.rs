//! Client side: connections to databases.

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
use crate::{STATUS_FAILED, STATUS_IDLE, STATUS_TRANSACTION};

/// Message type of `ReadyForQuery`.
const READY_FOR_QUERY: u8 = b'Z';
/// Message type of `ErrorResponse`.
const ERROR_RESPONSE: u8 = b'E';
/// Message type of `BackendKeyData`.
const BACKEND_KEY_DATA: u8 = b'K';
/// Message type of `DataRow`.
const DATA_ROW: u8 = b'D';
/// Message type of `NotificationResponse`.
const NOTIFICATION_RESPONSE: u8 = b'A';
/// Types of the messages that a server may send at any time: `NoticeResponse`,
/// `ParameterStatus` and `NotificationResponse`.
const ASYNCHRONOUS_TYPES: [u8; 3] = [b'N', b'S', NOTIFICATION_RESPONSE];
/// Size of a message header: type and length.
const HEADER_BYTES: usize = 5;

/// Returns the process id from the server's startup response, or 0 if it has
/// none.
fn process_id_in(response: &BackendResponse) -> i32 {
    for message in response.split() {
        if message[0] == BACKEND_KEY_DATA && message.len() >= HEADER_BYTES + 4 {
            return (&message[HEADER_BYTES..]).get_i32();
        }
    }
    0
}

/// Address and startup parameters of a connection.
#[derive(Debug, Clone)]
pub struct ConnectTarget {
    address: CompactString,
    user: CompactString,
    database: CompactString,
    options: CompactString,
}

impl ConnectTarget {
    /// Creates a target at `address`, in the form `IP:PORT`.
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

/// All messages of a server in response to one request, up to `ReadyForQuery`.
#[derive(Debug, Clone)]
pub struct BackendResponse {
    /// The encoded messages as received, ending with `ReadyForQuery`.
    pub messages: BytesMut,
    /// Transaction status byte from `ReadyForQuery`.
    pub status: u8,
    /// The first `ErrorResponse`, if there was one.
    pub error: Option<ErrorReport>,
}

impl BackendResponse {
    /// Splits the response into its messages, each with its header.
    #[must_use]
    pub fn split(&self) -> Vec<&[u8]> {
        let mut rest = &self.messages[..];
        let mut messages = Vec::new();
        while rest.len() >= HEADER_BYTES {
            let length = (&rest[1..HEADER_BYTES]).get_u32() as usize + 1;
            if length > rest.len() {
                break;
            }
            let (message, remainder) = rest.split_at(length);
            messages.push(message);
            rest = remainder;
        }
        messages
    }

    /// Decodes the first row of the response, whose columns must be in text format.
    #[must_use]
    pub fn first_row(&self) -> Option<TextRow> {
        let mut messages = self.split().into_iter();
        let row = messages.find(|message| message[0] == DATA_ROW)?;
        Some(TextRow::parse(&row[HEADER_BYTES..]))
    }

    /// Decodes the rows of the response, whose columns must be in text format.
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

/// A row with columns in text format.
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

    /// Returns the text of a column; `None` if it is NULL or does not exist.
    #[must_use]
    pub fn text(&self, column: usize) -> Option<&str> {
        self.columns.get(column)?.as_deref()
    }
}

/// A client connection to a database.
///
/// Responses arrive in the order of the requests. A connection with an
/// outstanding response must not be reused for another caller: see
/// [`DatabaseConnection::is_reusable`].
#[derive(Debug)]
pub struct DatabaseConnection {
    stream: MessageStream,
    pending_responses: usize,
    /// Transaction status byte of the last response.
    status: u8,
    process_id: i32,
}

impl DatabaseConnection {
    /// Connects and waits until the server is ready for queries.
    ///
    /// # Errors
    ///
    /// If the address is not `IP:PORT`, the server refuses the connection, or it
    /// is not ready before `deadline`.
    pub async fn connect(target: &ConnectTarget, deadline: Instant) -> Result<Self, PgError> {
        timeout_at(deadline, Self::connect_without_deadline(target)).await?
    }

    async fn connect_without_deadline(target: &ConnectTarget) -> Result<Self, PgError> {
        let address: SocketAddr = target.address.parse().map_err(std::io::Error::other)?;
        let stream = MessageStream::new(TcpStream::connect(address).await?);
        let mut connection = Self {
            stream,
            pending_responses: 0,
            status: STATUS_IDLE,
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
        let response = connection.read_response().await?;
        connection.process_id = process_id_in(&response);
        match response.error {
            None => Ok(connection),
            Some(report) => Err(PgError::Server {
                code: report.code,
                message: report.message,
            }),
        }
    }

    /// Sends encoded requests, to which the server will send `responses` responses
    /// that each end with `ReadyForQuery`.
    ///
    /// # Errors
    ///
    /// [`PgError::Io`] if the socket fails. If no response is outstanding and the
    /// server has ended the connection or sent a response all the same, that is the
    /// error, and nothing is sent.
    pub async fn send(&mut self, bytes: &[u8], responses: usize) -> Result<(), PgError> {
        if self.pending_responses == 0 {
            self.discard_idle_input().await?;
        }
        self.pending_responses += responses;
        self.stream.write(bytes).await
    }

    /// Discards the asynchronous messages that arrived since the last response.
    /// Anything else would be taken for the response to the next request.
    async fn discard_idle_input(&mut self) -> Result<(), PgError> {
        let filled = self.stream.fill_available().await;
        while let Some(message) = self.stream.take_message()? {
            match message[0] {
                kind if ASYNCHRONOUS_TYPES.contains(&kind) => {}
                ERROR_RESPONSE => {
                    let report = ErrorReport::from_message(&message);
                    return Err(Self::closed_with(Some(report)));
                }
                _ => return Err(PgError::Unsolicited),
            }
        }
        match self.stream.unread_input().first() {
            Some(kind) if !ASYNCHRONOUS_TYPES.contains(kind) => Err(PgError::Unsolicited),
            _ => filled,
        }
    }

    /// Reads the response to the oldest outstanding request.
    ///
    /// # Errors
    ///
    /// If the connection ends or a message has an invalid length. If the server
    /// reported an error before it closed the connection, that error is returned.
    pub async fn read_response(&mut self) -> Result<BackendResponse, PgError> {
        let mut messages = BytesMut::new();
        let mut error = None;
        loop {
            let message = match self.stream.read_message().await {
                Ok(message) => message,
                Err(PgError::Closed) => return Err(Self::closed_with(error)),
                Err(other) => return Err(other),
            };
            if message[0] == NOTIFICATION_RESPONSE {
                // Sent for a session that listens, not for the request.
                continue;
            }
            messages.extend_from_slice(&message);
            match message[0] {
                READY_FOR_QUERY => {
                    let [status @ (STATUS_IDLE | STATUS_TRANSACTION | STATUS_FAILED)] =
                        message[HEADER_BYTES..]
                    else {
                        return Err(PgError::InvalidFormat);
                    };
                    self.pending_responses = self.pending_responses.saturating_sub(1);
                    self.status = status;
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

    /// Returns the error for a closed connection: the one that the server reported
    /// before closing it, if any.
    fn closed_with(error: Option<ErrorReport>) -> PgError {
        match error {
            Some(report) => PgError::Server {
                code: report.code,
                message: report.message,
            },
            None => PgError::Closed,
        }
    }

    /// Sends one request and reads its response.
    ///
    /// # Errors
    ///
    /// If the connection fails or there is no whole response before `deadline`. The
    /// connection must not be used again then.
    pub async fn exchange(
        &mut self,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<BackendResponse, PgError> {
        let exchange = async {
            self.send(bytes, 1).await?;
            self.read_response().await
        };
        timeout_at(deadline, exchange).await?
    }

    /// Runs one simple query and returns its rows.
    ///
    /// # Errors
    ///
    /// [`PgError::Server`] if the statement fails; otherwise as for
    /// [`DatabaseConnection::exchange`].
    pub async fn query(&mut self, sql: &str, deadline: Instant) -> Result<Vec<TextRow>, PgError> {
        let response = self.exchange(&Self::encode_query(sql)?, deadline).await?;
        match response.error {
            Some(report) => Err(PgError::Server {
                code: report.code,
                message: report.message,
            }),
            None => Ok(response.rows()),
        }
    }

    /// Encodes a `Query` message of the simple query protocol.
    ///
    /// # Errors
    ///
    /// If the message cannot be encoded.
    pub fn encode_query(sql: &str) -> Result<BytesMut, PgError> {
        encode_frontend(&[PgWireFrontendMessage::Query(Query::new(sql.to_owned()))])
    }

    /// Returns the id of the server process of this connection, for
    /// `pg_terminate_backend`; 0 if the server sent none.
    #[must_use]
    pub fn process_id(&self) -> i32 {
        self.process_id
    }

    /// Whether every response was read, no received bytes are left over and no
    /// transaction is open, so that the connection can be kept for another caller.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let is_answered = self.pending_responses == 0 && self.stream.unread_input().is_empty();
        is_answered && self.status == STATUS_IDLE
    }

    /// Whether the connection can be handed to another caller: it is still open
    /// without a transaction, and the server has sent no response that nobody asked
    /// for.
    pub async fn is_reusable(&mut self) -> bool {
        let is_free = self.pending_responses == 0 && self.status == STATUS_IDLE;
        is_free && self.discard_idle_input().await.is_ok()
    }
}
