//! A client session of an instance: protocol messages and transaction state.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use fulmarrill_pg::{
    ErrorReport, MessageStream, PgError, StartupRequest, accept_session, decode_frontend,
    encode_backend, read_startup, sqlstate,
};
use fulmarrill_runtime::timeout_at;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, CloseComplete, Describe, Execute, Parse, ParseComplete, PortalSuspended,
    TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use rusqlite::Connection;
use rusqlite::types::Value;
use smol::Timer;
use smol::lock::MutexGuardArc;

use crate::database::engine::{EngineError, EngineRows, describe_statement, run_statement};
use crate::database::functions::register_functions;
use crate::database::instance::{InstanceState, LoggedStatement, PullAnswer, PullRequest};
use crate::database::replication::{PULL_PREFIX, PULL_SUFFIX, PULL_WAIT};
use crate::database::sql::{ParsedStatement, StatementKind, parse_statements};
use crate::database::value::{LoggedValue, decode_value, encode_column, oid};

/// Longest wait for another transaction to release the write connection.
const WRITE_LOCK_TIMEOUT: Duration = Duration::from_secs(5);

/// A prepared statement.
#[derive(Debug, Clone)]
struct PreparedStatement {
    statement: Option<ParsedStatement>,
    fields: Vec<(String, u32)>,
}

/// A bound portal, with its rows once it has been executed.
#[derive(Debug)]
struct BoundPortal {
    prepared: PreparedStatement,
    parameters: Vec<Value>,
    formats: Vec<i16>,
    rows: Option<std::vec::IntoIter<Vec<Value>>>,
    sent: usize,
}

/// An open transaction.
#[derive(Debug, Default)]
struct OpenTransaction {
    implicit: bool,
    failed: bool,
    writer: Option<OpenWriter>,
    logged: Vec<LoggedStatement>,
}

/// The write connection, locked by the transaction that writes on it.
#[derive(Debug)]
struct OpenWriter {
    connection: MutexGuardArc<Connection>,
    generation: u64,
    ended: bool,
}

impl OpenWriter {
    fn roll_back(&mut self) {
        if !self.ended {
            run_statement(&self.connection, "ROLLBACK", &[]).ok();
            self.ended = true;
        }
    }
}

impl Drop for OpenWriter {
    /// Rolls back a transaction that did not commit, for instance because its
    /// session ended.
    fn drop(&mut self) {
        self.roll_back();
    }
}

/// A client session on one connection.
#[derive(Debug)]
pub struct BackendSession {
    stream: MessageStream,
    state: Arc<InstanceState>,
    connection: Connection,
    generation: u64,
    transaction: Option<OpenTransaction>,
    statements: HashMap<String, PreparedStatement>,
    portals: HashMap<String, BoundPortal>,
    output: Vec<PgWireBackendMessage>,
    skip_to_sync: bool,
    settings: HashMap<String, String>,
    /// Number of answers sent.
    answers: u64,
    /// Answer to be sent once more before the next.
    repeated: BytesMut,
}

impl BackendSession {
    /// Creates a session for an accepted connection.
    ///
    /// # Errors
    ///
    /// The engine's error.
    pub fn new(stream: MessageStream, state: Arc<InstanceState>) -> Result<Self, EngineError> {
        let (connection, generation) = state.open_session()?;
        Ok(Self {
            stream,
            state,
            connection,
            generation,
            transaction: None,
            statements: HashMap::new(),
            portals: HashMap::new(),
            output: Vec::new(),
            skip_to_sync: false,
            settings: HashMap::new(),
            answers: 0,
            repeated: BytesMut::new(),
        })
    }

    /// Serves the session until the client or `pg_terminate_backend` ends it.
    ///
    /// # Errors
    ///
    /// When the connection fails, the client violates the protocol, or another
    /// session terminates this one.
    pub async fn serve(mut self) -> Result<(), PgError> {
        let StartupRequest::Session(_) = read_startup(&mut self.stream).await? else {
            return Ok(());
        };
        let (process_id, end_event) = self.state.add_session();
        let listener = end_event.listen();
        let state = self.state.clone();
        let serving = self.serve_messages(process_id);
        let ending = async {
            listener.await;
            Err(PgError::Closed)
        };
        let result = smol::future::or(serving, ending).await;
        state.remove_session(process_id);
        result
    }

    async fn serve_messages(mut self, process_id: i32) -> Result<(), PgError> {
        accept_session(&mut self.stream, process_id).await?;
        loop {
            let mut message = self.stream.read_message().await?;
            let Some(message) = decode_frontend(&mut message)? else {
                continue;
            };
            if matches!(message, PgWireFrontendMessage::Terminate(_)) {
                return Ok(());
            }
            let pulls = matches!(&message, PgWireFrontendMessage::Query(query)
                if query.query.starts_with(PULL_PREFIX));
            let flush = self.handle(message).await;
            if flush {
                let bytes = encode_backend(&self.output)?;
                self.output.clear();
                // Replicas pull the log without the proxy.
                let bytes = if pulls { bytes } else { self.repeat(bytes) };
                self.stream.write(&bytes).await?;
            }
        }
    }

    /// Adds the answer that the faults let the session send a second time.
    fn repeat(&mut self, answer: BytesMut) -> BytesMut {
        self.answers += 1;
        let mut bytes = std::mem::take(&mut self.repeated);
        bytes.extend_from_slice(&answer);
        let interval = self.state.faults().repeat_interval;
        if interval == 0 || !self.answers.is_multiple_of(interval) {
            return bytes;
        }
        if (self.answers / interval).is_multiple_of(2) {
            bytes.extend_from_slice(&answer);
        } else {
            self.repeated = answer;
        }
        bytes
    }

    /// Handles one message; returns whether the queued answers must be sent.
    async fn handle(&mut self, message: PgWireFrontendMessage) -> bool {
        match message {
            PgWireFrontendMessage::Query(query) => {
                self.handle_query(&query.query).await;
                self.push_ready();
                true
            }
            PgWireFrontendMessage::Sync(_) => {
                self.skip_to_sync = false;
                if let Err(report) = self.end_implicit() {
                    self.output.push(report.to_message());
                }
                if self.transaction.is_none() {
                    self.portals.clear();
                }
                self.push_ready();
                true
            }
            PgWireFrontendMessage::Flush(_) => true,
            other => {
                if !self.skip_to_sync
                    && let Err(report) = self.handle_extended(other).await
                {
                    self.report_error(&report);
                    self.skip_to_sync = true;
                }
                false
            }
        }
    }

    fn push_ready(&mut self) {
        let status = match &self.transaction {
            None => TransactionStatus::Idle,
            Some(transaction) if transaction.failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
        };
        self.output
            .push(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(
                status,
            )));
    }

    /// Queues an error; rolls back an implicit transaction and marks an explicit
    /// one as failed.
    fn report_error(&mut self, report: &ErrorReport) {
        self.output.push(report.to_message());
        let Some(transaction) = &mut self.transaction else {
            return;
        };
        if transaction.implicit {
            self.roll_back();
        } else {
            transaction.failed = true;
        }
    }

    async fn handle_query(&mut self, text: &str) {
        if let Some(request) = pull_request(text) {
            self.answer_pull(&request).await;
            return;
        }
        let parsed = match parse_statements(text, &self.state.columns(), &[]) {
            Ok(parsed) => parsed,
            Err(error) => {
                self.report_error(&ErrorReport::new("42601", error.to_string()));
                return;
            }
        };
        if parsed.is_empty() {
            let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            self.output.push(empty);
            return;
        }
        if parsed.len() > 1 && self.transaction.is_none() {
            self.transaction = Some(OpenTransaction {
                implicit: true,
                ..Default::default()
            });
        }
        for statement in &parsed {
            if let Err(report) = self.run_simple(statement).await {
                self.report_error(&report);
                return;
            }
        }
        if let Err(report) = self.end_implicit() {
            self.output.push(report.to_message());
        }
    }

    async fn run_simple(&mut self, statement: &ParsedStatement) -> Result<(), ErrorReport> {
        let rows = self.run(statement, &[]).await?;
        if !rows.columns.is_empty() {
            let fields = fields_of(statement, &rows.columns_as_pairs());
            self.push_row_description(&fields, &[]);
            for row in &rows.rows {
                self.push_row(row, &fields, &[]);
            }
        }
        self.push_complete(statement, rows.affected);
        Ok(())
    }

    fn push_complete(&mut self, statement: &ParsedStatement, count: usize) {
        let has_count = matches!(
            statement.tag.as_str(),
            "SELECT" | "INSERT 0" | "UPDATE" | "DELETE"
        );
        let tag = if has_count {
            format!("{} {count}", statement.tag)
        } else {
            statement.tag.clone()
        };
        self.output
            .push(PgWireBackendMessage::CommandComplete(CommandComplete::new(
                tag,
            )));
    }

    fn push_row_description(&mut self, fields: &[(String, u32)], formats: &[i16]) {
        let mut descriptions = Vec::new();
        for (index, (name, oid)) in fields.iter().enumerate() {
            let format = format_at(formats, index);
            descriptions.push(FieldDescription::new(
                name.clone(),
                0,
                0,
                *oid,
                -1,
                -1,
                format,
            ));
        }
        let description = RowDescription::new(descriptions);
        self.output
            .push(PgWireBackendMessage::RowDescription(description));
    }

    fn push_row(&mut self, row: &[Value], fields: &[(String, u32)], formats: &[i16]) {
        let mut data = BytesMut::new();
        for (index, value) in row.iter().enumerate() {
            let oid = fields.get(index).map_or(oid::TEXT, |(_, oid)| *oid);
            encode_column(&mut data, value, oid, format_at(formats, index));
        }
        let count = i16::try_from(row.len()).unwrap_or(i16::MAX);
        self.output
            .push(PgWireBackendMessage::DataRow(DataRow::new(data, count)));
    }

    async fn handle_extended(&mut self, message: PgWireFrontendMessage) -> Result<(), ErrorReport> {
        match message {
            PgWireFrontendMessage::Parse(parse) => self.handle_parse(parse),
            PgWireFrontendMessage::Bind(bind) => self.handle_bind(bind),
            PgWireFrontendMessage::Describe(describe) => self.handle_describe(&describe),
            PgWireFrontendMessage::Execute(execute) => self.handle_execute(&execute).await,
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.output
                    .push(PgWireBackendMessage::CloseComplete(CloseComplete::new()));
                Ok(())
            }
            _ => Err(ErrorReport::new(
                sqlstate::NOT_SUPPORTED,
                "message is not supported",
            )),
        }
    }

    fn handle_parse(&mut self, parse: Parse) -> Result<(), ErrorReport> {
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            let text = format!("prepared statement \"{name}\" already exists");
            return Err(ErrorReport::new("42P05", text));
        }
        let mut parsed = parse_statements(&parse.query, &self.state.columns(), &parse.type_oids)
            .map_err(|error| ErrorReport::new("42601", error.to_string()))?;
        if parsed.len() > 1 {
            let text = "cannot insert multiple commands into a prepared statement";
            return Err(ErrorReport::new("42601", text));
        }
        let statement = parsed.pop();
        let mut fields = Vec::new();
        if let Some(statement) = &statement
            && matches!(statement.kind, StatementKind::Read | StatementKind::Write)
        {
            self.refresh_connection()?;
            let columns = describe_statement(&self.connection, &statement.sql)
                .map_err(|error| engine_report(&error))?;
            let pairs: Vec<_> = columns
                .into_iter()
                .map(|column| (column.name, column.oid))
                .collect();
            fields = fields_of(statement, &pairs);
        }
        self.statements
            .insert(name, PreparedStatement { statement, fields });
        self.output
            .push(PgWireBackendMessage::ParseComplete(ParseComplete::new()));
        Ok(())
    }

    fn statement(&self, name: &str) -> Result<PreparedStatement, ErrorReport> {
        self.statements.get(name).cloned().ok_or_else(|| {
            ErrorReport::new(
                "26000",
                format!("prepared statement \"{name}\" does not exist"),
            )
        })
    }

    fn handle_bind(&mut self, bind: Bind) -> Result<(), ErrorReport> {
        let prepared = self.statement(&bind.statement_name.unwrap_or_default())?;
        let oids = prepared
            .statement
            .as_ref()
            .map_or(&[][..], |s| &s.parameter_oids);
        if oids.len() != bind.parameters.len() {
            let text = format!(
                "{} parameters given, {} needed",
                bind.parameters.len(),
                oids.len()
            );
            return Err(ErrorReport::new(sqlstate::PROTOCOL_VIOLATION, text));
        }
        let mut parameters = Vec::new();
        for (index, bytes) in bind.parameters.iter().enumerate() {
            let Some(bytes) = bytes else {
                parameters.push(Value::Null);
                continue;
            };
            let format = format_at(&bind.parameter_format_codes, index);
            let value = decode_value(bytes, oids[index], format)
                .map_err(|error| ErrorReport::new("22P02", error.to_string()))?;
            parameters.push(value);
        }
        let portal = BoundPortal {
            prepared,
            parameters,
            formats: bind.result_column_format_codes,
            rows: None,
            sent: 0,
        };
        self.portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        self.output
            .push(PgWireBackendMessage::BindComplete(BindComplete::new()));
        Ok(())
    }

    fn handle_describe(&mut self, describe: &Describe) -> Result<(), ErrorReport> {
        let name = describe.name.clone().unwrap_or_default();
        let (fields, formats) = if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let prepared = self.statement(&name)?;
            let oids = prepared
                .statement
                .map(|s| s.parameter_oids)
                .unwrap_or_default();
            let description = ParameterDescription::new(oids);
            self.output
                .push(PgWireBackendMessage::ParameterDescription(description));
            (prepared.fields, Vec::new())
        } else {
            let portal = self.portals.get(&name).ok_or_else(|| no_portal(&name))?;
            (portal.prepared.fields.clone(), portal.formats.clone())
        };
        if fields.is_empty() {
            self.output
                .push(PgWireBackendMessage::NoData(NoData::new()));
        } else {
            self.push_row_description(&fields, &formats);
        }
        Ok(())
    }

    async fn handle_execute(&mut self, execute: &Execute) -> Result<(), ErrorReport> {
        let name = execute.name.clone().unwrap_or_default();
        let mut portal = self.portals.remove(&name).ok_or_else(|| no_portal(&name))?;
        let Some(statement) = portal.prepared.statement.clone() else {
            let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            self.output.push(empty);
            return Ok(());
        };
        let mut affected = 0;
        if portal.rows.is_none() {
            if self.transaction.is_none() && statement.kind == StatementKind::Write {
                self.transaction = Some(OpenTransaction {
                    implicit: true,
                    ..Default::default()
                });
            }
            let rows = self.run(&statement, &portal.parameters).await?;
            affected = rows.affected;
            portal.rows = Some(rows.rows.into_iter());
        }
        let limit = usize::try_from(execute.max_rows).unwrap_or(0);
        let mut count = 0;
        if let Some(rows) = &mut portal.rows {
            while limit == 0 || count < limit {
                let Some(row) = rows.next() else {
                    break;
                };
                self.push_row(&row, &portal.prepared.fields, &portal.formats);
                count += 1;
            }
        }
        portal.sent += count;
        let is_suspended = limit > 0 && portal.rows.as_ref().is_some_and(|rows| rows.len() > 0);
        if is_suspended {
            self.output
                .push(PgWireBackendMessage::PortalSuspended(PortalSuspended::new()));
        } else {
            self.push_complete(&statement, affected.max(portal.sent));
        }
        self.portals.insert(name, portal);
        Ok(())
    }

    /// Runs one statement, in the session's transaction if one is open.
    async fn run(
        &mut self,
        statement: &ParsedStatement,
        parameters: &[Value],
    ) -> Result<EngineRows, ErrorReport> {
        let has_failed = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.failed);
        let ends_transaction = matches!(
            statement.kind,
            StatementKind::Commit | StatementKind::Rollback
        );
        if has_failed && !ends_transaction {
            let text = "current transaction is aborted, commands ignored until end of block";
            return Err(ErrorReport::new(sqlstate::FAILED_TRANSACTION, text));
        }
        match statement.kind {
            StatementKind::Begin => {
                self.begin();
                Ok(EngineRows::default())
            }
            StatementKind::Commit => {
                self.commit()?;
                Ok(EngineRows::default())
            }
            StatementKind::Rollback => {
                self.roll_back();
                Ok(EngineRows::default())
            }
            StatementKind::Setting => {
                let text = statement.sql.trim_start_matches("SET ");
                if let Some((name, value)) = text.split_once(" = ") {
                    self.settings.insert(name.to_owned(), value.to_owned());
                }
                Ok(EngineRows::default())
            }
            StatementKind::Show => {
                let name = statement.sql.trim_start_matches("SHOW ");
                let value = self.settings.get(name).map_or("", |value| value);
                let sql = format!("SELECT '{}'", value.replace('\'', "''"));
                run_statement(&self.connection, &sql, &[]).map_err(|error| engine_report(&error))
            }
            StatementKind::Read => self.run_read(statement, parameters).await,
            StatementKind::Write => self.run_write(statement, parameters).await,
        }
    }

    fn begin(&mut self) {
        match &mut self.transaction {
            Some(transaction) => transaction.implicit = false,
            None => self.transaction = Some(OpenTransaction::default()),
        }
    }

    /// Holds a slot for the simulated time of the statement.
    async fn hold_slot(state: &InstanceState, statement: &ParsedStatement) {
        if !statement.uses_tables && statement.sleep_seconds <= 0.0 {
            return;
        }
        let _slot = state.slots.acquire().await;
        let mut time = Duration::from_secs_f64(statement.sleep_seconds.clamp(0.0, 60.0));
        if statement.uses_tables {
            time += state.statement_time();
        }
        if !time.is_zero() {
            Timer::after(time).await;
        }
    }

    async fn run_read(
        &mut self,
        statement: &ParsedStatement,
        parameters: &[Value],
    ) -> Result<EngineRows, ErrorReport> {
        Self::hold_slot(&self.state, statement).await;
        self.refresh_connection()?;
        let writer = self
            .transaction
            .as_ref()
            .and_then(|open| open.writer.as_ref());
        // A transaction that has written reads its own rows.
        let connection = writer.map_or(&self.connection, |writer| &writer.connection);
        run_statement(connection, &statement.sql, parameters).map_err(|error| engine_report(&error))
    }

    async fn run_write(
        &mut self,
        statement: &ParsedStatement,
        parameters: &[Value],
    ) -> Result<EngineRows, ErrorReport> {
        if !self.state.accepts_writes() {
            let text = "cannot execute a write in a read-only transaction";
            return Err(ErrorReport::new(sqlstate::READ_ONLY, text));
        }
        let is_implicit = self.transaction.is_none();
        if is_implicit {
            self.transaction = Some(OpenTransaction {
                implicit: true,
                ..Default::default()
            });
        }
        self.acquire_writer().await?;
        Self::hold_slot(&self.state, statement).await;
        self.check_generation()?;
        if let Some(transaction) = &mut self.transaction
            && let Some(writer) = &transaction.writer
        {
            let rows = run_statement(&writer.connection, &statement.sql, parameters)
                .map_err(|error| engine_report(&error))?;
            let parameters = parameters.iter().cloned().map(LoggedValue::from).collect();
            let sql = statement.sql.clone();
            transaction.logged.push(LoggedStatement { sql, parameters });
            return Ok(rows);
        }
        Err(ErrorReport::new(
            sqlstate::INTERNAL,
            "transaction has no connection to write on",
        ))
    }

    /// Locks the write connection for the open transaction and begins on it,
    /// unless the transaction already holds it.
    async fn acquire_writer(&mut self) -> Result<(), ErrorReport> {
        let Some(transaction) = &mut self.transaction else {
            return Ok(());
        };
        if transaction.writer.is_some() {
            return Ok(());
        }
        let (write_connection, generation) = self.state.write_connection();
        let Ok(connection) = timeout_at(
            Instant::now() + WRITE_LOCK_TIMEOUT,
            write_connection.lock_arc(),
        )
        .await
        else {
            let text = "canceling statement due to lock timeout";
            return Err(ErrorReport::new(sqlstate::LOCK_TIMEOUT, text));
        };
        register_functions(&connection, &self.state).map_err(|error| engine_report(&error))?;
        run_statement(&connection, "BEGIN IMMEDIATE", &[])
            .map_err(|error| engine_report(&error))?;
        transaction.writer = Some(OpenWriter {
            connection,
            generation,
            ended: false,
        });
        self.refresh_connection()
    }

    fn commit(&mut self) -> Result<(), ErrorReport> {
        let Some(transaction) = self.transaction.take() else {
            return Ok(());
        };
        let Some(mut writer) = transaction.writer else {
            return Ok(());
        };
        if transaction.failed || transaction.logged.is_empty() {
            return Ok(());
        }
        let generation = writer.generation;
        match self
            .state
            .commit(&writer.connection, generation, transaction.logged)
        {
            Ok(()) => {
                writer.ended = true;
                Ok(())
            }
            Err(error) => Err(ErrorReport::new(sqlstate::SHUTDOWN, error.to_string())),
        }
    }

    fn roll_back(&mut self) {
        // Dropping the writer rolls back.
        self.transaction = None;
    }

    /// Commits the transaction opened implicitly by a statement or batch, if any.
    fn end_implicit(&mut self) -> Result<(), ErrorReport> {
        match &self.transaction {
            Some(transaction) if transaction.implicit => self.commit(),
            _ => Ok(()),
        }
    }

    /// Reopens the session's connection if the in-memory copies were rebuilt.
    fn refresh_connection(&mut self) -> Result<(), ErrorReport> {
        if self.generation == self.state.generation() {
            return Ok(());
        }
        let has_writes = self
            .transaction
            .as_ref()
            .is_some_and(|open| !open.logged.is_empty());
        if has_writes {
            return self.check_generation();
        }
        let (connection, generation) = self
            .state
            .open_session()
            .map_err(|error| engine_report(&error))?;
        self.connection = connection;
        self.generation = generation;
        Ok(())
    }

    fn check_generation(&self) -> Result<(), ErrorReport> {
        let current = self.state.generation();
        let writer = self
            .transaction
            .as_ref()
            .and_then(|open| open.writer.as_ref());
        if writer.is_none_or(|writer| writer.generation == current) {
            return Ok(());
        }
        let text = "transaction was ended by a change of the instance's role";
        Err(ErrorReport::new(sqlstate::SERIALIZATION, text))
    }

    /// Answers a replica's pull; waits up to [`PULL_WAIT`] if there is nothing new.
    async fn answer_pull(&mut self, request: &PullRequest) {
        let deadline = Instant::now() + PULL_WAIT;
        let answer = loop {
            let listener = self.state.listen_for_changes();
            if let Some(answer) = self.state.answer_pull(request) {
                break answer;
            }
            if timeout_at(deadline, listener).await.is_err() {
                break PullAnswer {
                    term: request.term,
                    cut_to: None,
                    entries: Vec::new(),
                };
            }
        };
        let text = serde_json::to_string(&answer).unwrap_or_default();
        let fields = [("fulmarrill_pull".to_owned(), oid::TEXT)];
        self.push_row_description(&fields, &[]);
        self.push_row(&[Value::Text(text)], &fields, &[]);
        let complete = CommandComplete::new("SELECT 1".to_owned());
        self.output
            .push(PgWireBackendMessage::CommandComplete(complete));
    }
}

impl EngineRows {
    fn columns_as_pairs(&self) -> Vec<(String, Option<u32>)> {
        self.columns
            .iter()
            .map(|column| (column.name.clone(), column.oid))
            .collect()
    }
}

fn pull_request(text: &str) -> Option<PullRequest> {
    let json = text.strip_prefix(PULL_PREFIX)?.strip_suffix(PULL_SUFFIX)?;
    serde_json::from_str(json).ok()
}

fn format_at(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        each => each.get(index).copied().unwrap_or(0),
    }
}

/// Names and types of result columns. A type that the statement's text
/// determines takes precedence over the declared one.
fn fields_of(statement: &ParsedStatement, columns: &[(String, Option<u32>)]) -> Vec<(String, u32)> {
    let mut fields = Vec::new();
    for (index, (name, declared)) in columns.iter().enumerate() {
        let from_text = statement.column_oids.get(index).copied().flatten();
        fields.push((name.clone(), from_text.or(*declared).unwrap_or(oid::TEXT)));
    }
    fields
}

fn no_portal(name: &str) -> ErrorReport {
    ErrorReport::new("34000", format!("portal \"{name}\" does not exist"))
}

/// SQLSTATE of an error that the embedded engine distinguishes only by its text.
fn sqlstate_of_message(text: &str) -> &'static str {
    if text.contains("no such table") {
        "42P01"
    } else if text.contains("no such column") {
        "42703"
    } else {
        "42000"
    }
}

/// Converts an error of the embedded engine to a report with the SQLSTATE that
/// PostgreSQL would use.
fn engine_report(error: &EngineError) -> ErrorReport {
    let text = error.to_string();
    let code = match &error.0 {
        rusqlite::Error::SqliteFailure(failure, _) => match failure.extended_code {
            // SQLITE_CONSTRAINT_PRIMARYKEY and SQLITE_CONSTRAINT_UNIQUE
            1555 | 2067 => "23505",
            // SQLITE_CONSTRAINT_NOTNULL
            1299 => "23502",
            // SQLITE_CONSTRAINT_CHECK
            275 => "23514",
            // SQLITE_BUSY
            5 => sqlstate::SERIALIZATION,
            _ => sqlstate_of_message(&text),
        },
        _ => sqlstate_of_message(&text),
    };
    ErrorReport::new(code, text)
}
