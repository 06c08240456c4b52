//! Server side of the startup phase of a connection.

use std::collections::BTreeMap;

use pgwire::messages::response::{GssEncResponse, ReadyForQuery, SslResponse, TransactionStatus};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
};

use crate::error::PgError;
use crate::stream::{MessageStream, encode_backend};

/// Parameters that the server reports at session start; drivers rely on them.
const SERVER_PARAMETERS: [(&str, &str); 7] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("TimeZone", "UTC"),
];

/// The first request on a new connection.
#[derive(Debug)]
pub enum StartupRequest {
    /// Open a session with these parameters of the startup message.
    Session(BTreeMap<String, String>),
    /// Cancel the statement of the session with this process id. The secret key
    /// of the request is not kept.
    Cancel(i32),
}

/// Returns a decoder context for messages after the startup phase.
#[must_use]
pub(crate) fn decode_context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}

/// Reads the startup message and declines any request for encryption before it.
///
/// # Errors
///
/// If the connection is closed or a message violates the protocol.
pub async fn read_startup(stream: &mut MessageStream) -> Result<StartupRequest, PgError> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    loop {
        let Some(message) = PgWireFrontendMessage::decode(stream.input_mut(), &context)? else {
            stream.fill().await?;
            continue;
        };
        match message {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                let response = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
                stream.write(&encode_backend(&[response])?).await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                let response = PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse);
                stream.write(&encode_backend(&[response])?).await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                context.awaiting_frontend_ssl = false;
            }
            PgWireFrontendMessage::Startup(startup) => {
                return Ok(StartupRequest::Session(startup.parameters));
            }
            PgWireFrontendMessage::CancelRequest(cancel) => {
                return Ok(StartupRequest::Cancel(cancel.pid));
            }
            _ => return Err(PgError::Closed),
        }
    }
}

/// Accepts a session without authentication: sends `AuthenticationOk`, the server
/// parameters, the process id and `ReadyForQuery`. The secret key for cancel
/// requests is the process id.
///
/// # Errors
///
/// If the messages cannot be sent.
pub async fn accept_session(stream: &mut MessageStream, process_id: i32) -> Result<(), PgError> {
    let mut messages = vec![PgWireBackendMessage::Authentication(Authentication::Ok)];
    for (name, value) in SERVER_PARAMETERS {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        messages.push(PgWireBackendMessage::ParameterStatus(status));
    }
    let key = BackendKeyData::new(process_id, SecretKey::I32(process_id));
    messages.push(PgWireBackendMessage::BackendKeyData(key));
    let ready = ReadyForQuery::new(TransactionStatus::Idle);
    messages.push(PgWireBackendMessage::ReadyForQuery(ready));
    stream.write(&encode_backend(&messages)?).await
}
