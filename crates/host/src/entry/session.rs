//! The session of one caller.

use std::time::{Instant, SystemTime};

use bytes::BytesMut;
use compact_str::{CompactString, format_compact};
use fulmarrill_document::RequestPolicy;
use fulmarrill_idempotency::RequestKey;
use fulmarrill_peer::{NotRunReason, WorkAnswer};
use fulmarrill_pg::{
    ErrorReport, MessageStream, PgError, STATUS_IDLE, StartupRequest, accept_session,
    decode_frontend, encode_backend, encode_frontend, read_startup, sqlstate,
};
use fulmarrill_position::SessionPosition;
use fulmarrill_records::{RequestOutcome, RequestRecord};
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{
    BindComplete, CloseComplete, ParseComplete, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use smol::net::TcpStream;

use crate::context::SharedContext;
use crate::entry::batch::{BatchMessage, BatchTarget, StatementBatch};
use crate::entry::local::{LocalStatement, parse_local};
use crate::entry::options::{CallerIdentity, parse_identity};
use crate::entry::reads::run_read;
use crate::entry::refusal::{not_run_report, unknown_report};
use crate::entry::router::{EntryRequest, RoutedAnswer, TransactionLocation};
use crate::entry::statement::{StatementClass, classify, ends_transaction};
use crate::entry::writes::{abandon, run_step, run_write};
use crate::metrics::RequestSample;

/// Type id of `text`.
const TEXT_OID: u32 = 25;
/// Bytes of the `ReadyForQuery` message that ends an answer.
const READY_BYTES: usize = 6;

/// Transaction state of the session, as the caller sees it.
#[derive(Debug)]
enum SessionTransaction {
    /// No transaction is open.
    Idle,
    /// A transaction is open at this location.
    Open(TransactionLocation),
    /// The transaction was lost or failed at the entry, and the caller has not
    /// ended it yet.
    Failed,
}

/// One request in the session, classified and encoded.
#[derive(Debug)]
struct SessionWork {
    class: StatementClass,
    text: CompactString,
    ends_transaction: bool,
    /// Whether it executes a statement, rather than only describing some.
    executes: bool,
    prepared: Vec<fulmarrill_peer::PreparedParse>,
    payload: Vec<u8>,
}

/// State of one caller's session.
struct CallerSession {
    context: SharedContext,
    stream: MessageStream,
    identity: CallerIdentity,
    position: SessionPosition,
    position_reported: CompactString,
    key: Option<CompactString>,
    transaction: SessionTransaction,
    batch: StatementBatch,
    skip_to_sync: bool,
}

/// Serves a caller from its startup message until it disconnects.
pub async fn serve_caller(context: SharedContext, stream: TcpStream) {
    let mut stream = MessageStream::new(stream);
    let parameters = match read_startup(&mut stream).await {
        Ok(StartupRequest::Session(parameters)) => parameters,
        Ok(StartupRequest::Cancel(_)) => return,
        Err(error) => {
            log::debug!("cannot read the startup message of a caller: {error}");
            return;
        }
    };
    let identity = parse_identity(&parameters);
    let position = match identity.position.parse() {
        Ok(position) => position,
        Err(error) => {
            let text = format!("fulmarrill.position: {error}");
            reject_startup(
                &mut stream,
                &ErrorReport::new(sqlstate::INVALID_PARAMETER, text),
            )
            .await;
            return;
        }
    };
    let view = context.view.load();
    if !view.groups.is_empty() && view.group(&identity.database).is_none() {
        let text = format!("database \"{}\" does not exist", identity.database);
        reject_startup(&mut stream, &ErrorReport::new(sqlstate::NO_DATABASE, text)).await;
        return;
    }
    let process_id = context.entry.allocate_process_id();
    let mut session = CallerSession {
        context,
        stream,
        identity,
        position,
        position_reported: CompactString::default(),
        key: None,
        transaction: SessionTransaction::Idle,
        batch: StatementBatch::default(),
        skip_to_sync: false,
    };
    if let Err(error) = session.serve(process_id).await {
        log::debug!("session ended: {error}");
    }
    session.end();
}

async fn reject_startup(stream: &mut MessageStream, report: &ErrorReport) {
    if let Ok(bytes) = encode_backend(&[report.clone().with_fatal().to_message()]) {
        stream.write(&bytes).await.ok();
    }
}

impl CallerSession {
    async fn serve(&mut self, process_id: i32) -> Result<(), PgError> {
        accept_session(&mut self.stream, process_id).await?;
        loop {
            let mut message = self.stream.read_message().await?;
            let kind = message[0];
            let message = match decode_frontend(&mut message) {
                Ok(Some(message)) => message,
                Ok(None) => continue,
                Err(error) => {
                    self.refuse_message(kind, error).await?;
                    continue;
                }
            };
            if matches!(message, PgWireFrontendMessage::Terminate(_)) {
                return Ok(());
            }
            let context = self.context.clone();
            let _guard = context.lifecycle.track_in_flight();
            // Boxed, so that an idle session takes little memory.
            Box::pin(self.handle(message)).await?;
        }
    }

    /// Answers a message that cannot be decoded. The session goes on if the caller
    /// can tell what the answer belongs to.
    async fn refuse_message(&mut self, kind: u8, error: PgError) -> Result<(), PgError> {
        let report = ErrorReport::new(sqlstate::PROTOCOL_VIOLATION, error.to_string());
        match kind {
            b'Q' if !self.skip_to_sync => {
                self.handle_sync(false).await?;
                if self.skip_to_sync {
                    return Ok(());
                }
                self.answer_error(&report, true).await
            }
            b'Q' | b'P' | b'B' | b'C' | b'D' | b'E' => self.refuse_batch(&report).await,
            _ => {
                self.send(&[report.with_fatal().to_message()]).await?;
                Err(error)
            }
        }
    }

    /// Refuses the batch, and with it all messages up to the next `Sync`.
    async fn refuse_batch(&mut self, report: &ErrorReport) -> Result<(), PgError> {
        if self.skip_to_sync {
            return Ok(());
        }
        self.batch.clear();
        self.answer_error(report, false).await
    }

    /// Rolls back the open transaction, if there is one.
    fn end(&mut self) {
        let transaction = std::mem::replace(&mut self.transaction, SessionTransaction::Idle);
        if let SessionTransaction::Open(location) = transaction {
            abandon(&self.context, &self.identity.database, location);
        }
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> Result<(), PgError> {
        match message {
            PgWireFrontendMessage::Sync(_) => self.handle_sync(true).await,
            _ if self.skip_to_sync => Ok(()),
            PgWireFrontendMessage::Query(query) => {
                self.handle_sync(false).await?;
                if self.skip_to_sync {
                    return Ok(());
                }
                self.handle_query(&query.query).await
            }
            PgWireFrontendMessage::Flush(_) => self.handle_sync(false).await,
            message if message.is_extended_query() => match self.batch.push(message) {
                Ok(()) => Ok(()),
                Err(report) => self.refuse_batch(&report).await,
            },
            _ => {
                let report = ErrorReport::new(sqlstate::NOT_SUPPORTED, "message is not supported");
                self.answer_error(&report, true).await
            }
        }
    }

    async fn send(&mut self, messages: &[PgWireBackendMessage]) -> Result<(), PgError> {
        let bytes = encode_backend(messages)?;
        self.stream.write(&bytes).await
    }

    fn ready(&self) -> PgWireBackendMessage {
        let status = match self.transaction {
            SessionTransaction::Idle => TransactionStatus::Idle,
            SessionTransaction::Open(_) => TransactionStatus::Transaction,
            SessionTransaction::Failed => TransactionStatus::Error,
        };
        PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status))
    }

    /// Answers with an error. If the caller expects no `ReadyForQuery`, as after a
    /// `Flush`, the messages up to the next `Sync` are ignored.
    async fn answer_error(&mut self, report: &ErrorReport, ready: bool) -> Result<(), PgError> {
        let mut messages = vec![report.to_message()];
        if ready {
            messages.push(self.ready());
        }
        self.skip_to_sync = !ready;
        self.send(&messages).await
    }

    async fn handle_query(&mut self, text: &str) -> Result<(), PgError> {
        if let Some(local) = parse_local(text) {
            let mut messages = self.run_local(&local, true);
            messages.push(self.ready());
            return self.send(&messages).await;
        }
        let class = classify(text);
        if class == StatementClass::Empty {
            let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            let ready = self.ready();
            return self.send(&[empty, ready]).await;
        }
        let query = pgwire::messages::simplequery::Query::new(text.to_owned());
        let payload = encode_frontend(&[PgWireFrontendMessage::Query(query)])?.to_vec();
        let work = SessionWork {
            class,
            text: text.into(),
            ends_transaction: ends_transaction(text),
            executes: true,
            prepared: Vec::new(),
            payload,
        };
        self.run(work, true).await
    }

    /// Runs the batch. `ready` is set if the caller expects `ReadyForQuery`, which a
    /// `Flush` does not bring, nor a `Query` behind the batch.
    async fn handle_sync(&mut self, ready: bool) -> Result<(), PgError> {
        if std::mem::take(&mut self.skip_to_sync) {
            let message = self.ready();
            return self.send(&[message]).await;
        }
        let result = self.run_batch(ready).await;
        self.batch.clear();
        result
    }

    async fn run_batch(&mut self, ready: bool) -> Result<(), PgError> {
        if self.batch.is_mixed() {
            let text = "settings of fulmarrill and other statements cannot share a batch";
            return self
                .answer_error(&ErrorReport::new(sqlstate::NOT_SUPPORTED, text), ready)
                .await;
        }
        match self.batch.target() {
            BatchTarget::Nothing if ready => {
                let message = self.ready();
                self.send(&[message]).await
            }
            BatchTarget::Nothing => Ok(()),
            BatchTarget::Local => self.answer_local_batch(ready).await,
            BatchTarget::Remote(_) if matches!(self.transaction, SessionTransaction::Failed) => {
                self.answer_local_batch(ready).await
            }
            BatchTarget::Remote(class) => match self.batch.finish() {
                Ok(batch) => {
                    let work = SessionWork {
                        class,
                        text: batch.text,
                        ends_transaction: batch.ends_transaction,
                        executes: batch.executes,
                        prepared: batch.prepared,
                        payload: batch.payload,
                    };
                    self.run(work, ready).await
                }
                Err(report) => self.answer_error(&report, ready).await,
            },
        }
    }

    /// Runs a statement that the entry answers and returns its messages. If
    /// `describe` is set, rows are preceded by their description.
    fn run_local(
        &mut self,
        statement: &LocalStatement,
        describe: bool,
    ) -> Vec<PgWireBackendMessage> {
        let complete =
            |tag: &str| PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_owned()));
        match statement {
            LocalStatement::Accept(tag) => vec![complete(tag)],
            LocalStatement::Set(name, value) => match self.set(name, value) {
                Ok(()) => vec![complete("SET")],
                Err(report) => vec![report.to_message()],
            },
            LocalStatement::Show(name) => match self.show(name) {
                Ok(value) => {
                    let mut messages = Vec::new();
                    if describe {
                        messages.push(describe_text(name));
                    }
                    messages.push(text_row(&value));
                    messages.push(complete("SHOW"));
                    messages
                }
                Err(report) => vec![report.to_message()],
            },
        }
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), ErrorReport> {
        let invalid = |text: String| ErrorReport::new(sqlstate::INVALID_PARAMETER, text);
        match name {
            "service" => self.identity.service = value.into(),
            "place" => self.identity.place = value.into(),
            "customer" => self.identity.customer = value.into(),
            "position" => {
                let position = value.parse::<SessionPosition>();
                let position =
                    position.map_err(|error| invalid(format!("fulmarrill.position: {error}")))?;
                self.position.merge(&position);
            }
            "request_key" if value.is_empty() => self.key = None,
            "request_key" => {
                let kept = self.context.view.load().document.key_retention();
                RequestKey::parse(value, SystemTime::now(), kept)
                    .map_err(|error| invalid(format!("fulmarrill.request_key: {error}")))?;
                self.key = Some(value.into());
            }
            _ => return Err(unknown_setting(name)),
        }
        Ok(())
    }

    fn show(&self, name: &str) -> Result<CompactString, ErrorReport> {
        match name {
            "service" => Ok(self.identity.service.clone()),
            "place" => Ok(self.identity.place.clone()),
            "customer" => Ok(self.identity.customer.clone()),
            "position" => Ok(format_compact!("{}", self.position)),
            "request_key" => Ok(self.key.clone().unwrap_or_default()),
            "host" => Ok(self.context.settings.host.clone()),
            _ => Err(unknown_setting(name)),
        }
    }

    /// Answers a batch that no instance runs.
    async fn answer_local_batch(&mut self, ready: bool) -> Result<(), PgError> {
        let mut messages = Vec::new();
        for entry in self.batch.take_messages() {
            messages.extend(self.answer_message(entry));
            if matches!(
                messages.last(),
                Some(PgWireBackendMessage::ErrorResponse(_))
            ) {
                self.skip_to_sync = !ready;
                break;
            }
        }
        if ready {
            messages.push(self.ready());
        }
        self.send(&messages).await
    }

    /// The replies to one message of a batch that no instance runs.
    fn answer_message(&mut self, entry: BatchMessage) -> Vec<PgWireBackendMessage> {
        let local = entry.statement.as_ref().and_then(|s| s.local.clone());
        let is_failed = matches!(self.transaction, SessionTransaction::Failed);
        let is_refused = is_failed
            && local.is_none()
            && entry
                .statement
                .is_some_and(|statement| !ends_transaction(&statement.text));
        if is_refused {
            return vec![failed_transaction_report().to_message()];
        }
        match entry.message {
            PgWireFrontendMessage::Parse(_) => {
                vec![PgWireBackendMessage::ParseComplete(ParseComplete::new())]
            }
            PgWireFrontendMessage::Bind(_) => {
                vec![PgWireBackendMessage::BindComplete(BindComplete::new())]
            }
            PgWireFrontendMessage::Close(_) => {
                vec![PgWireBackendMessage::CloseComplete(CloseComplete::new())]
            }
            PgWireFrontendMessage::Describe(describe) => {
                let mut messages = Vec::new();
                if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
                    let none = ParameterDescription::new(Vec::new());
                    messages.push(PgWireBackendMessage::ParameterDescription(none));
                }
                messages.push(match local {
                    Some(LocalStatement::Show(name)) => describe_text(&name),
                    _ => PgWireBackendMessage::NoData(NoData::new()),
                });
                messages
            }
            PgWireFrontendMessage::Execute(_) => match local {
                Some(local) => self.run_local(&local, false),
                None if is_failed => vec![self.end_failed_transaction()],
                None => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    /// Ends the failed transaction, which the database has rolled back.
    fn end_failed_transaction(&mut self) -> PgWireBackendMessage {
        self.transaction = SessionTransaction::Idle;
        let tag = CommandComplete::new("ROLLBACK".to_owned());
        PgWireBackendMessage::CommandComplete(tag)
    }

    /// Runs a request at an instance, records it and answers the caller.
    async fn run(&mut self, work: SessionWork, ready: bool) -> Result<(), PgError> {
        if matches!(self.transaction, SessionTransaction::Failed) {
            return self.answer_in_failed_transaction(&work, ready).await;
        }
        let in_transaction = matches!(self.transaction, SessionTransaction::Open(_));
        if let Some(report) = self.check_supported(&work, in_transaction) {
            return self.answer_error(&report, ready).await;
        }
        let view = self.context.view.load();
        let policy = view
            .document
            .policy_for(&self.identity.service, &self.identity.place);
        let request = self.build_request(&work, policy);
        let started_at = Instant::now();
        let routed = if self
            .context
            .records
            .is_full_for(request.policy.rank, view.document.ranks.len())
            && !in_transaction
        {
            let text = "no room for the request's record while the store does not take any";
            RoutedAnswer::new(WorkAnswer::not_run(NotRunReason::Overload, text))
        } else {
            self.route(&work, &request).await
        };
        let sample = RequestSample {
            rank: request.policy.rank,
            read: work.class == StatementClass::Read,
            by_replica: routed.by_replica,
            time: started_at.elapsed(),
        };
        self.context.metrics.record(&sample, &routed.answer);
        self.record(&work, &request, &routed.answer).await;
        self.answer(routed, ready).await
    }

    fn check_supported(&self, work: &SessionWork, in_transaction: bool) -> Option<ErrorReport> {
        if work.class == StatementClass::Unsupported && !in_transaction {
            let text = "the statement needs state that a shared connection does not keep";
            return Some(ErrorReport::new(sqlstate::NOT_SUPPORTED, text));
        }
        let keyed = self.key.is_some() && work.executes;
        if keyed && (in_transaction || work.class == StatementClass::Transaction) {
            let text = "a request key covers one statement or batch, not a transaction block";
            return Some(ErrorReport::new(sqlstate::NOT_SUPPORTED, text));
        }
        None
    }

    fn build_request(&mut self, work: &SessionWork, policy: RequestPolicy) -> EntryRequest {
        let database = self.identity.database.clone();
        let floor = self
            .position
            .contains(&database)
            .then(|| self.position.floor(&database));
        EntryRequest {
            flow: format_compact!("{}/{}", self.identity.service, self.identity.customer),
            customer: self.identity.customer.clone(),
            key: if work.executes { self.key.take() } else { None },
            floor,
            deadline: Instant::now() + policy.timeout,
            policy,
            prepared: work.prepared.clone(),
            payload: work.payload.clone(),
            database,
        }
    }

    async fn route(&self, work: &SessionWork, request: &EntryRequest) -> RoutedAnswer {
        if let SessionTransaction::Open(location) = &self.transaction {
            return run_step(&self.context, request, location).await;
        }
        let reads = work.class == StatementClass::Read && request.key.is_none();
        if reads {
            run_read(&self.context, request).await
        } else {
            run_write(&self.context, request, false).await
        }
    }

    async fn record(&self, work: &SessionWork, request: &EntryRequest, answer: &WorkAnswer) {
        let (outcome, sqlstate) = match answer {
            WorkAnswer::Served { sqlstate, .. } => (RequestOutcome::Served, sqlstate.clone()),
            WorkAnswer::NotRun { .. } => (RequestOutcome::NotRun, None),
            WorkAnswer::Unknown { .. } => (RequestOutcome::Unknown, None),
        };
        let record = RequestRecord::new(
            crate::records::now_ms(),
            &self.identity.service,
            &work.text,
            outcome,
        );
        let record = record.with_key(request.key.clone()).with_sqlstate(sqlstate);
        crate::records::append_replicated(&self.context, &self.identity.customer, record).await;
    }

    async fn answer(&mut self, routed: RoutedAnswer, ready: bool) -> Result<(), PgError> {
        match routed.answer {
            WorkAnswer::Served {
                payload,
                status,
                point,
                sqlstate,
                ..
            } => {
                // The error of a batch that ends with a `Flush`.
                self.skip_to_sync = sqlstate.is_some() && !ready;
                if !routed.by_replica || self.position.contains(&self.identity.database) {
                    self.position.advance(&self.identity.database, point);
                }
                self.transaction = match routed.location {
                    Some(location) if status != STATUS_IDLE => SessionTransaction::Open(location),
                    None if status != STATUS_IDLE => SessionTransaction::Failed,
                    _ => SessionTransaction::Idle,
                };
                self.send_answer(payload, ready).await
            }
            WorkAnswer::NotRun { reason, message } => {
                self.fail_transaction();
                let report = not_run_report(reason, &message);
                self.answer_error(&report, ready).await
            }
            WorkAnswer::Unknown { message } => {
                self.fail_transaction();
                let report = unknown_report(&message);
                self.answer_error(&report, ready).await
            }
        }
    }

    /// Fails an open transaction after an error, as PostgreSQL does.
    fn fail_transaction(&mut self) {
        if matches!(self.transaction, SessionTransaction::Open(_)) {
            self.end();
            self.transaction = SessionTransaction::Failed;
        }
    }

    /// Sends the database's answer. If the session's position has changed, it
    /// is sent as a parameter before `ReadyForQuery`.
    async fn send_answer(&mut self, payload: Vec<u8>, ready: bool) -> Result<(), PgError> {
        let split = payload.len().saturating_sub(READY_BYTES);
        let (messages, end) = payload.split_at(split);
        let mut bytes = BytesMut::from(messages);
        let position = format_compact!("{}", self.position);
        if position != self.position_reported {
            let status =
                ParameterStatus::new("fulmarrill.position".to_owned(), position.to_string());
            let status = PgWireBackendMessage::ParameterStatus(status);
            bytes.extend_from_slice(&encode_backend(&[status])?);
            self.position_reported = position;
        }
        if ready {
            bytes.extend_from_slice(end);
        }
        self.stream.write(&bytes).await
    }

    /// Answers a query in a failed transaction: only the end of the transaction is
    /// accepted.
    async fn answer_in_failed_transaction(
        &mut self,
        work: &SessionWork,
        ready: bool,
    ) -> Result<(), PgError> {
        if !work.ends_transaction {
            return self.answer_error(&failed_transaction_report(), ready).await;
        }
        let mut messages = vec![self.end_failed_transaction()];
        if ready {
            messages.push(self.ready());
        }
        self.send(&messages).await
    }
}

fn failed_transaction_report() -> ErrorReport {
    let text = "current transaction is aborted, commands ignored until end of block";
    ErrorReport::new(sqlstate::FAILED_TRANSACTION, text)
}

fn unknown_setting(name: &str) -> ErrorReport {
    let text = format!(
        "unrecognized setting \"fulmarrill.{name}\"; there are service, place, customer, \
         position, request_key and host"
    );
    ErrorReport::new("42704", text)
}

fn describe_text(name: &str) -> PgWireBackendMessage {
    let field = FieldDescription::new(format!("fulmarrill.{name}"), 0, 0, TEXT_OID, -1, -1, 0);
    PgWireBackendMessage::RowDescription(RowDescription::new(vec![field]))
}

fn text_row(value: &str) -> PgWireBackendMessage {
    let mut data = BytesMut::new();
    let length = i32::try_from(value.len()).unwrap_or(i32::MAX);
    data.extend_from_slice(&length.to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    PgWireBackendMessage::DataRow(DataRow::new(data, 1))
}
