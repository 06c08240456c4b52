//! Error and notice messages, and the decoding of client messages.

use bytes::BytesMut;
use compact_str::CompactString;
use pgwire::messages::response::{ErrorResponse, NoticeResponse};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use crate::error::PgError;
use crate::format::is_well_formed;

/// The SQLSTATE codes that this project uses, each with its condition name from
/// appendix A of the PostgreSQL manual.
pub mod sqlstate {
    /// `protocol_violation`.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// `transaction_resolution_unknown`: the statement may have run.
    pub const OUTCOME_UNKNOWN: &str = "08007";
    /// `feature_not_supported`.
    pub const NOT_SUPPORTED: &str = "0A000";
    /// `invalid_parameter_value`.
    pub const INVALID_PARAMETER: &str = "22023";
    /// `read_only_sql_transaction`.
    pub const READ_ONLY: &str = "25006";
    /// `idle_in_transaction_session_timeout`.
    pub const IDLE_TRANSACTION: &str = "25P03";
    /// `in_failed_sql_transaction`.
    pub const FAILED_TRANSACTION: &str = "25P02";
    /// `invalid_catalog_name`: no such database.
    pub const NO_DATABASE: &str = "3D000";
    /// `serialization_failure`: rolled back, safe to retry.
    pub const SERIALIZATION: &str = "40001";
    /// `too_many_connections`.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    /// `configuration_limit_exceeded`: rejected before it ran.
    pub const LIMIT_EXCEEDED: &str = "53400";
    /// `lock_not_available`.
    pub const LOCK_TIMEOUT: &str = "55P03";
    /// `query_canceled`: rejected or canceled because of its deadline.
    pub const CANCELED: &str = "57014";
    /// `admin_shutdown`.
    pub const SHUTDOWN: &str = "57P01";
    /// `cannot_connect_now`: rejected before it ran, can be retried.
    pub const UNAVAILABLE: &str = "57P03";
    /// `internal_error`.
    pub const INTERNAL: &str = "XX000";
}

/// Size of a message header: type and length.
const HEADER_BYTES: usize = 5;

/// An error or notice with the fields that drivers display.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorReport {
    /// `ERROR` or `FATAL`.
    pub severity: &'static str,
    /// SQLSTATE.
    pub code: CompactString,
    /// Primary message, one line.
    pub message: String,
    /// Value of the `DETAIL` field, such as whether the statement ran.
    pub detail: Option<String>,
}

impl ErrorReport {
    /// Creates a report with severity `ERROR`, which keeps the connection open.
    #[must_use]
    pub fn new(code: &str, message: impl Into<String>) -> Self {
        Self {
            severity: "ERROR",
            code: code.into(),
            message: message.into(),
            detail: None,
        }
    }

    /// Sets the severity to `FATAL`, which ends the connection.
    #[must_use]
    pub fn with_fatal(mut self) -> Self {
        self.severity = "FATAL";
        self
    }

    /// Sets the `DETAIL` field.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    fn fields(&self) -> Vec<(u8, String)> {
        let mut fields = vec![
            (b'S', self.severity.to_owned()),
            (b'V', self.severity.to_owned()),
            (b'C', self.code.to_string()),
            (b'M', self.message.clone()),
        ];
        if let Some(detail) = &self.detail {
            fields.push((b'D', detail.clone()));
        }
        fields
    }

    /// Returns the report as an `ErrorResponse` message.
    #[must_use]
    pub fn to_message(&self) -> PgWireBackendMessage {
        PgWireBackendMessage::ErrorResponse(ErrorResponse::new(self.fields()))
    }

    /// Returns the report as a `NoticeResponse` message.
    #[must_use]
    pub fn to_notice(&self) -> PgWireBackendMessage {
        PgWireBackendMessage::NoticeResponse(NoticeResponse::new(self.fields()))
    }

    /// Decodes a raw `ErrorResponse` message.
    ///
    /// Missing fields are empty, as are those behind a field that has no end. The
    /// severity of the message is not read.
    #[must_use]
    pub fn from_message(message: &[u8]) -> Self {
        let mut report = Self::new("", "");
        let mut rest = message.get(HEADER_BYTES..).unwrap_or_default();
        while let Some((kind, field)) = rest.split_first()
            && let Some(end) = field.iter().position(|byte| *byte == 0)
        {
            let text = String::from_utf8_lossy(&field[..end]).into_owned();
            match kind {
                b'C' => report.code = text.into(),
                b'M' => report.message = text,
                b'D' => report.detail = Some(text),
                _ => {}
            }
            rest = &field[end + 1..];
        }
        report
    }
}

/// Decodes one whole message of a client.
///
/// # Errors
///
/// If the message cannot be decoded, or only with other texts than it has.
pub fn decode_frontend(message: &mut BytesMut) -> Result<Option<PgWireFrontendMessage>, PgError> {
    if !is_well_formed(message) {
        return Err(PgError::InvalidFormat);
    }
    let context = crate::server::decode_context();
    Ok(PgWireFrontendMessage::decode(message, &context)?)
}
