//! Batches of the extended protocol, up to a `Sync`, and the session's prepared
//! statements.
//!
//! Connections are shared between callers. A prepared statement therefore gets
//! a name derived from its content, and the owner prepares it on connections
//! that lack it.

use std::collections::HashMap;
use std::fmt::Write as _;

use compact_str::CompactString;
use fulmarrill_peer::PreparedParse;
use fulmarrill_pg::{ErrorReport, PgError, encode_frontend, sqlstate};
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::extendedquery::{
    Bind, Close, Describe, Parse, Sync, TARGET_TYPE_BYTE_STATEMENT,
};
use sha2::{Digest, Sha256};

use crate::entry::local::{LocalStatement, parse_local};
use crate::entry::statement::{StatementClass, classify, combine, ends_transaction};

/// Bytes of the SHA-256 digest used in the name of a statement.
const NAME_HASH_BYTES: usize = 12;
/// Maximum number of prepared statements of one session.
const STATEMENTS_MAX: usize = 10_000;

/// A prepared statement of a caller.
#[derive(Debug, Clone)]
pub struct CallerStatement {
    /// SQL text.
    pub text: CompactString,
    /// Class that determines where it is sent.
    pub class: StatementClass,
    /// Set if the entry answers the statement itself.
    pub local: Option<LocalStatement>,
    prepared: PreparedParse,
}

/// Where a batch is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchTarget {
    /// The batch has no messages.
    Nothing,
    /// The entry answers it itself.
    Local,
    /// An instance answers it; the class combines those of its statements.
    Remote(StatementClass),
}

/// An encoded batch, ready to be sent to an owner.
#[derive(Debug, Default)]
pub struct ReadyBatch {
    /// Prepared statements that it uses but does not parse itself.
    pub prepared: Vec<PreparedParse>,
    /// Encoded messages.
    pub payload: Vec<u8>,
    /// Text of the first statement that it uses.
    pub text: CompactString,
    /// Whether a statement in it ends the open transaction.
    pub ends_transaction: bool,
    /// Whether it executes a statement, rather than only describing some.
    pub executes: bool,
}

/// A message of a batch.
#[derive(Debug)]
pub struct BatchMessage {
    /// The message, with the names that instances know.
    pub message: PgWireFrontendMessage,
    /// The statement that it executes or describes, if the session knows it. A later
    /// message may give its name to another statement.
    pub statement: Option<CallerStatement>,
}

/// Prepared statements and portals of a session, and the messages since the
/// last `Sync`.
#[derive(Debug, Default)]
pub struct StatementBatch {
    statements: HashMap<String, CallerStatement>,
    portals: HashMap<String, CallerStatement>,
    messages: Vec<BatchMessage>,
    used: Vec<CallerStatement>,
    parsed: Vec<CompactString>,
    remote: bool,
    local: bool,
}

impl StatementBatch {
    /// Adds a message of the extended protocol other than `Sync` and `Flush`.
    ///
    /// # Errors
    ///
    /// If the statement cannot be encoded, or the session has too many prepared
    /// statements.
    pub fn push(&mut self, message: PgWireFrontendMessage) -> Result<(), ErrorReport> {
        match message {
            PgWireFrontendMessage::Parse(parse) => self.push_parse(parse)?,
            PgWireFrontendMessage::Bind(bind) => self.push_bind(bind),
            PgWireFrontendMessage::Describe(describe) => self.push_describe(describe),
            PgWireFrontendMessage::Close(close) => self.push_close(close),
            PgWireFrontendMessage::Execute(execute) => {
                let portal = execute.name.as_deref().unwrap_or_default();
                let statement = self.portals.get(portal).cloned();
                self.add(PgWireFrontendMessage::Execute(execute), statement);
            }
            other => self.add(other, None),
        }
        Ok(())
    }

    fn add(&mut self, message: PgWireFrontendMessage, statement: Option<CallerStatement>) {
        self.messages.push(BatchMessage { message, statement });
    }

    fn push_parse(&mut self, parse: Parse) -> Result<(), ErrorReport> {
        if self.statements.len() >= STATEMENTS_MAX {
            let text = format!("session has prepared {STATEMENTS_MAX} statements already");
            return Err(ErrorReport::new(sqlstate::LIMIT_EXCEEDED, text));
        }
        let name = content_name(&parse);
        let rewritten = Parse::new(Some(name.to_string()), parse.query.clone(), parse.type_oids);
        let message = PgWireFrontendMessage::Parse(rewritten);
        let bytes = encode_frontend(std::slice::from_ref(&message))
            .map_err(|error| encode_report(&error))?;
        let statement = CallerStatement {
            local: parse_local(&parse.query),
            class: classify(&parse.query),
            text: parse.query.into(),
            prepared: PreparedParse {
                name: name.clone(),
                parse: bytes.to_vec(),
            },
        };
        self.mark_destination(&statement);
        self.statements
            .insert(parse.name.unwrap_or_default(), statement);
        self.parsed.push(name);
        self.add(message, None);
        Ok(())
    }

    fn mark_destination(&mut self, statement: &CallerStatement) {
        if statement.local.is_some() {
            self.local = true;
        } else {
            self.remote = true;
        }
    }

    fn push_bind(&mut self, mut bind: Bind) {
        let name = bind.statement_name.take().unwrap_or_default();
        let Some(statement) = self.statements.get(&name).cloned() else {
            // The database does not know the name either and reports the error.
            bind.statement_name = Some(name);
            self.remote = true;
            self.add(PgWireFrontendMessage::Bind(bind), None);
            return;
        };
        bind.statement_name = Some(statement.prepared.name.to_string());
        self.mark_destination(&statement);
        let portal = bind.portal_name.clone().unwrap_or_default();
        self.portals.insert(portal, statement.clone());
        self.used.push(statement);
        self.add(PgWireFrontendMessage::Bind(bind), None);
    }

    fn push_describe(&mut self, describe: Describe) {
        let name = describe.name.clone().unwrap_or_default();
        if describe.target_type != TARGET_TYPE_BYTE_STATEMENT {
            let statement = self.portals.get(&name).cloned();
            self.add(PgWireFrontendMessage::Describe(describe), statement);
            return;
        }
        let Some(statement) = self.statements.get(&name).cloned() else {
            self.remote = true;
            self.add(PgWireFrontendMessage::Describe(describe), None);
            return;
        };
        self.mark_destination(&statement);
        let name = Some(statement.prepared.name.to_string());
        let describe = Describe::new(TARGET_TYPE_BYTE_STATEMENT, name);
        self.used.push(statement.clone());
        self.add(PgWireFrontendMessage::Describe(describe), Some(statement));
    }

    fn push_close(&mut self, close: Close) {
        let mut close = close;
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            // The statement stays prepared on the shared connection for other
            // sessions. The message now closes the unnamed statement, so that
            // the caller still gets its reply.
            self.statements
                .remove(&close.name.take().unwrap_or_default());
        }
        self.add(PgWireFrontendMessage::Close(close), None);
    }

    /// Where the batch is answered.
    #[must_use]
    pub fn target(&self) -> BatchTarget {
        if self.messages.is_empty() {
            return BatchTarget::Nothing;
        }
        if self.local && !self.remote {
            return BatchTarget::Local;
        }
        let mut class = StatementClass::Empty;
        for statement in &self.used {
            class = combine(class, statement.class);
        }
        if !self.executes() {
            // A batch that only describes statements changes nothing, whatever
            // they would do.
            class = StatementClass::Read;
        }
        BatchTarget::Remote(class)
    }

    fn executes(&self) -> bool {
        self.messages
            .iter()
            .any(|entry| matches!(entry.message, PgWireFrontendMessage::Execute(_)))
    }

    /// Whether the batch mixes statements for the entry with statements for an
    /// instance.
    #[must_use]
    pub fn is_mixed(&self) -> bool {
        self.local && self.remote
    }

    /// Takes the messages out of the batch, for the entry to answer.
    #[must_use]
    pub fn take_messages(&mut self) -> Vec<BatchMessage> {
        std::mem::take(&mut self.messages)
    }

    /// Ends the batch with a `Sync` and encodes it.
    ///
    /// # Errors
    ///
    /// If a message cannot be encoded.
    pub fn finish(&mut self) -> Result<ReadyBatch, ErrorReport> {
        let mut batch = ReadyBatch {
            executes: self.executes(),
            ..ReadyBatch::default()
        };
        self.add(PgWireFrontendMessage::Sync(Sync::new()), None);
        for BatchMessage { message, .. } in &self.messages {
            let bytes = encode_frontend(std::slice::from_ref(message))
                .map_err(|error| encode_report(&error))?;
            batch.payload.extend_from_slice(&bytes);
        }
        for statement in &self.used {
            let is_listed = |prepared: &PreparedParse| prepared.name == statement.prepared.name;
            if !self.parsed.contains(&statement.prepared.name)
                && !batch.prepared.iter().any(is_listed)
            {
                batch.prepared.push(statement.prepared.clone());
            }
            if batch.text.is_empty() {
                batch.text.clone_from(&statement.text);
            }
            batch.ends_transaction |= ends_transaction(&statement.text);
        }
        Ok(batch)
    }

    /// Clears the batch; prepared statements and portals stay.
    pub fn clear(&mut self) {
        self.messages.clear();
        self.used.clear();
        self.parsed.clear();
        self.remote = false;
        self.local = false;
    }
}

/// The name of a statement, derived from its text and parameter types only.
fn content_name(parse: &Parse) -> CompactString {
    let mut digest = Sha256::new();
    digest.update(parse.query.as_bytes());
    for oid in &parse.type_oids {
        digest.update(oid.to_be_bytes());
    }
    let mut name = CompactString::from("fm_");
    for byte in &digest.finalize()[..NAME_HASH_BYTES] {
        let _ = write!(name, "{byte:02x}");
    }
    name
}

fn encode_report(error: &PgError) -> ErrorReport {
    ErrorReport::new(sqlstate::PROTOCOL_VIOLATION, error.to_string())
}
