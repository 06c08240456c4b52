//! The session of one caller: its statements, transaction and prepared statements.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use compact_str::{CompactString, ToCompactString, format_compact};
use fulmarrill_budget::{BudgetGuard, ByteClass, PressureLevel};
use fulmarrill_position::{DatabaseName, LogPoint, SessionPosition, Term};
use fulmarrill_runtime::timeout_at;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::Timer;
use smol::net::TcpStream;
use thiserror::Error;

use crate::catalogue::customers::CallerKey;
use crate::catalogue::{
    CallerIdentity, EndpointEntry, EndpointTable, HostName, InstanceId, ReadFreshness,
};
use crate::codec::{CallerMessage, CallerReply, CodecError, ErrorKind, MessageScan};
use crate::context::SharedContext;
use crate::entry::clients::{
    CallerSlot, ClientFault, PREPARED_BYTES_MAX, PREPARED_MAX, ROOM_POLL_INTERVAL, SMALL_BYTES,
    VALUES_BYTES_MAX, VALUES_MAX, grow,
};
use crate::entry::reads::run_read;
use crate::entry::router::{RoutedAnswer, send_to_host, send_work};
use crate::leaving::LeaveStage;
use crate::records::EndedRequest;
use crate::report::{StatementReport, StatementStart};
use crate::statement::{
    CallerStatement, PreparedName, PreparedShape, SessionValues, StatementId, TransactionState,
};
use crate::work::{NotRunReason, PinId, WorkAnswer, WorkRequest, WorkStatement, WorkStep};

/// Size of one read from the socket.
const READ_BYTES: usize = 8 << 10;
/// Bytes of replies that are encoded before they are written.
const REPLY_CHUNK_BYTES: usize = 64 << 10;
/// Bytes that a row, a prepared statement or a value takes in addition to its text.
const ENTRY_OVERHEAD_BYTES: usize = 96;
/// Time for which a new session waits for the first configuration; callers give
/// up after two seconds.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before work for the primary is tried again, unless the view changes
/// sooner.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Timeout of the rollback of a transaction that is given up.
const ABANDON_TIMEOUT: Duration = Duration::from_secs(1);

/// Error text for a commit or rollback without a transaction.
const NO_TRANSACTION: &str = "no transaction is open";

/// Why a session ended other than at the caller's request.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The caller sent bytes that are no message of the protocol.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The caller exceeded a limit.
    #[error("closed: {}", .0.name())]
    Fault(ClientFault),
}

/// An open transaction and the owner that holds it.
#[derive(Debug, Clone)]
struct OpenTransaction {
    owner: HostName,
    database: DatabaseName,
    instance: InstanceId,
    primary_term: Option<Term>,
    pin: PinId,
    /// Whether one of its statements wrote.
    has_written: bool,
}

/// The session's transaction, as the caller sees it.
#[derive(Debug, Clone)]
enum SessionTransaction {
    /// None is open.
    Idle,
    /// Opened by the caller; no instance knows of it yet.
    Begun { reads_only: bool },
    /// Open at an instance.
    Open(OpenTransaction),
    /// Rolled back; the caller has not ended it yet.
    Failed,
}

/// A caller's session.
struct CallerSession {
    context: SharedContext,
    stream: TcpStream,
    slot: CallerSlot,
    input: BytesMut,
    scan: MessageScan,
    /// Bytes of the input buffer.
    reading: BudgetGuard,
    /// Replies that are not written yet.
    replies: VecDeque<CallerReply>,
    /// Bytes of the replies, and of the part that is being written.
    replying: BudgetGuard,
    endpoint: Arc<EndpointEntry>,
    key: CallerKey,
    identity: CallerIdentity,
    values: SessionValues,
    prepared: HashMap<PreparedName, PreparedShape>,
    /// Bytes of the prepared statements.
    prepared_bytes: BudgetGuard,
    /// Bytes of the values.
    value_bytes: BudgetGuard,
    /// Position of the session's own commits in each database, because a new
    /// configuration may move the endpoint to another one.
    own_commits: SessionPosition,
    transaction: SessionTransaction,
}

/// Serves a caller from its first message to the end of its session.
pub async fn serve_caller(context: SharedContext, stream: TcpStream, slot: CallerSlot) {
    stream.set_nodelay(true).ok();
    let session_context = context.clone();
    let _guard = session_context.entry.count_session();
    let budget = context.clients.budget().clone();
    let hold = |class| budget.hold(class, Some(slot.account()));
    let mut session = CallerSession {
        context,
        stream,
        input: BytesMut::new(),
        scan: MessageScan::default(),
        reading: hold(ByteClass::Reading),
        replies: VecDeque::new(),
        replying: hold(ByteClass::Replying),
        prepared_bytes: hold(ByteClass::Reading),
        value_bytes: hold(ByteClass::Reading),
        slot,
        endpoint: Arc::new(EndpointEntry {
            name: CompactString::default(),
            database: CompactString::default(),
            freshness: ReadFreshness::Latest,
            statement_time: Duration::ZERO,
            rank: 0,
            is_public: false,
        }),
        key: CallerKey::new(""),
        identity: CallerIdentity::default(),
        values: SessionValues::default(),
        prepared: HashMap::new(),
        own_commits: SessionPosition::new(),
        transaction: SessionTransaction::Idle,
    };
    if let Err(error) = session.serve().await {
        log::debug!("session ended: {error}");
        if let SessionError::Fault(fault) = error {
            session.context.clients.report(fault);
        }
    }
    session.abandon();
}

impl CallerSession {
    async fn serve(&mut self) -> Result<(), SessionError> {
        let Some(CallerMessage::Startup { endpoint, key }) = self.read_message().await? else {
            return Ok(());
        };
        self.slot.mark_started();
        self.key = key;
        if let Err(kind) = self.find_endpoint(&endpoint).await {
            self.reply(CallerReply::Error(kind, endpoint));
            self.flush().await?;
            return Ok(());
        }
        self.reply_ready(None);
        self.flush().await?;
        loop {
            let message = match self.read_message().await {
                Ok(Some(message)) => message,
                Ok(None) => return Ok(()),
                Err(error) => {
                    if let SessionError::Codec(error) = &error {
                        // Where the next message begins is not known.
                        self.refuse(ErrorKind::Malformed, &error.to_compact_string());
                        self.flush().await?;
                    }
                    return Err(error);
                }
            };
            match message {
                CallerMessage::Terminate => return Ok(()),
                CallerMessage::Statement { id, statement } => {
                    self.handle_in_budget(id, statement).await;
                }
                CallerMessage::Startup { .. } => {
                    self.refuse(ErrorKind::Malformed, "the session is already open");
                }
                CallerMessage::Malformed(why) => {
                    log::debug!("{}: message refused: {why}", self.endpoint.name);
                    self.context.statements.record_malformed();
                    self.refuse(ErrorKind::Malformed, &why);
                }
            }
            self.flush().await?;
        }
    }

    /// Reads one message. What follows it stays in the socket, except for the rest of the
    /// last read. An idle session holds no buffer.
    async fn read_message(&mut self) -> Result<Option<CallerMessage>, SessionError> {
        let mut due_at = None;
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(Some(message));
            }
            if due_at.is_none() {
                self.trim_input();
            }
            if due_at.is_none() && !self.input.is_empty() {
                due_at = Some(Instant::now() + self.context.clients.limits().message_time);
            }
            match self.wait_for_bytes(due_at).await? {
                0 => return Ok(None),
                _ => self.make_input_room(due_at).await?,
            }
            let start = self.input.len();
            self.input.resize(start + READ_BYTES, 0);
            let read = self.stream.read(&mut self.input[start..]).await;
            self.input
                .truncate(start + read.as_ref().map_or(0, |count| *count));
            if read? == 0 {
                return Ok(None);
            }
        }
    }

    /// Removes a message from the input, if it holds a whole one or one that is too long.
    fn take_message(&mut self) -> Result<Option<CallerMessage>, SessionError> {
        let codec = self.context.callers;
        let has_end = self.scan.has_end(&self.input, codec.message_end);
        if !has_end && self.input.len() <= codec.message_bytes_max {
            return Ok(None);
        }
        let message = (codec.decode)(&mut self.input)?;
        if message.is_some() {
            self.scan.restart();
            if self.reading.bytes() > SMALL_BYTES {
                self.trim_input();
            }
        }
        Ok(message)
    }

    /// Keeps only what has arrived of the next message.
    fn trim_input(&mut self) {
        self.input = BytesMut::from(&self.input[..]);
        self.reading.set(self.input.len());
    }

    /// Waits until bytes have arrived; returns 0 at the end of the connection or when the
    /// host takes no further statements.
    async fn wait_for_bytes(&self, due_at: Option<Instant>) -> Result<usize, SessionError> {
        let is_started = !self.endpoint.name.is_empty();
        let is_idle = self.input.is_empty() && matches!(self.transaction, SessionTransaction::Idle);
        let closes_in = if is_started && is_idle {
            LeaveStage::Closing
        } else {
            LeaveStage::Ending
        };
        let leaving = async {
            self.context.leave_progress.wait_for(closes_in).await;
            Ok(0)
        };
        let mut byte = [0];
        let arriving = async { Ok(self.stream.peek(&mut byte).await?) };
        arriving.or(leaving).or(self.fail_at(due_at)).await
    }

    /// Fails when the connection has to close, or when the message that has begun is due.
    async fn fail_at<T>(&self, due_at: Option<Instant>) -> Result<T, SessionError> {
        let late = async {
            match due_at {
                Some(due_at) => Timer::at(due_at).await,
                None => std::future::pending().await,
            };
            ClientFault::MessageTime
        };
        Err(SessionError::Fault(
            self.slot.closing().wait().or(late).await,
        ))
    }

    /// Waits until the input may grow by one read. Large messages are not read on while
    /// the budget is under pressure; small ones make others give way.
    async fn make_input_room(&mut self, due_at: Option<Instant>) -> Result<(), SessionError> {
        let budget = self.context.clients.budget().clone();
        loop {
            let needed = self.input.len() + READ_BYTES;
            if needed > self.input.capacity() {
                // Larger by half, to copy seldom and hold little that is unused.
                let capacity = needed + self.input.len() / 2;
                let is_small = capacity <= SMALL_BYTES;
                let has_room = if is_small {
                    grow(&budget, &mut self.reading, capacity).await.is_ok()
                } else {
                    budget.level() < PressureLevel::Raised && self.reading.grow_to(capacity).is_ok()
                };
                if has_room {
                    let mut input = BytesMut::with_capacity(capacity);
                    input.extend_from_slice(&self.input);
                    self.input = input;
                }
            }
            if needed <= self.input.capacity() {
                return Ok(());
            }
            let pause = async {
                Timer::after(ROOM_POLL_INTERVAL).await;
                Ok(())
            };
            pause.or(self.fail_at(due_at)).await?;
        }
    }

    fn reply(&mut self, reply: CallerReply) {
        let bytes = reply_bytes(&reply);
        self.replying.set(self.replying.bytes() + bytes);
        self.replies.push_back(reply);
    }

    /// Writes the replies, each released once it is written.
    async fn flush(&mut self) -> Result<(), SessionError> {
        let mut output = Vec::new();
        while !self.replies.is_empty() {
            let mut encoded_bytes = 0;
            while output.len() < REPLY_CHUNK_BYTES
                && let Some(reply) = self.replies.pop_front()
            {
                encoded_bytes += reply_bytes(&reply);
                (self.context.callers.encode)(&reply, &mut output);
            }
            self.write(&output).await?;
            output.clear();
            let held = self.replying.bytes();
            self.replying.shrink_to(held - encoded_bytes);
        }
        // An idle session keeps no buffers.
        self.replies = VecDeque::new();
        Ok(())
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), SessionError> {
        let mut written = 0;
        while written < bytes.len() {
            let stall_time = self.context.clients.limits().write_stall_time;
            let mut stream = self.stream.clone();
            let writing = async { Ok(stream.write(&bytes[written..]).await?) };
            let closing = async {
                let closing = self.slot.closing().wait().await;
                Err(SessionError::Fault(closing))
            };
            let stalled_at = Instant::now() + stall_time;
            written += match timeout_at(stalled_at, writing.or(closing)).await {
                Ok(Ok(0)) => return Err(io::Error::from(io::ErrorKind::WriteZero).into()),
                Ok(result) => result?,
                Err(_) => return Err(SessionError::Fault(ClientFault::WriteStall)),
            };
        }
        Ok(())
    }

    fn state(&self) -> TransactionState {
        match self.transaction {
            SessionTransaction::Idle => TransactionState::Idle,
            SessionTransaction::Begun { .. } | SessionTransaction::Open(_) => {
                TransactionState::Open
            }
            SessionTransaction::Failed => TransactionState::Failed,
        }
    }

    fn reply_ready(&mut self, point: Option<LogPoint>) {
        let state = self.state();
        self.reply(CallerReply::Ready(state, point));
    }

    fn refuse(&mut self, kind: ErrorKind, text: &str) {
        self.reply(CallerReply::Error(kind, text.into()));
        self.reply_ready(None);
    }

    fn succeed(&mut self) {
        self.reply(CallerReply::Done(None));
        self.reply_ready(None);
    }

    /// Looks up the endpoint, and waits for the first configuration if there is none
    /// yet: without one it is unknown whether the endpoint exists.
    async fn find_endpoint(&mut self, name: &str) -> Result<(), ErrorKind> {
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        loop {
            let listener = self.context.view.listen();
            let view = self.context.view.load();
            if let Some(table) = &view.endpoints {
                return self.apply_table(table, name);
            }
            if Instant::now() >= deadline {
                return Err(ErrorKind::Busy);
            }
            self.context.view.wait(listener, deadline).await;
        }
    }

    /// Updates the endpoint and the customer from the configuration in force. A change
    /// applies from the next transaction on.
    fn refresh_endpoint(&mut self) -> Result<(), ErrorKind> {
        let view = self.context.view.load();
        let Some(table) = &view.endpoints else {
            return Ok(());
        };
        let name = self.endpoint.name.clone();
        self.apply_table(table, &name)
    }

    /// Takes the endpoint `name` and the customer of the session's key from a
    /// configuration.
    fn apply_table(&mut self, table: &EndpointTable, name: &str) -> Result<(), ErrorKind> {
        let endpoint = table.endpoints.get(name).ok_or(ErrorKind::NoDatabase)?;
        let identity = table.identify(endpoint, &self.key)?;
        if *endpoint != *self.endpoint {
            self.endpoint = Arc::new(endpoint.clone());
        }
        if identity != self.identity {
            self.identity = identity;
        }
        Ok(())
    }

    /// Handles a statement if there is memory for it. A statement of an open transaction
    /// is work that has begun, unless it is large.
    async fn handle_in_budget(&mut self, id: StatementId, statement: CallerStatement) {
        if matches!(
            statement,
            CallerStatement::Commit
                | CallerStatement::Rollback
                | CallerStatement::Deallocate { .. }
        ) {
            // They need no memory, and free some.
            self.handle_in_time(id, statement).await;
            return;
        }
        let bytes = id.len() + statement.bytes();
        let is_open = !matches!(self.transaction, SessionTransaction::Idle);
        let rank = if is_open { 0 } else { self.endpoint.rank };
        let account = self.slot.account().clone();
        let clients = self.context.clients.clone();
        let Some(_held) = clients.hold_work(rank, bytes, Some(&account)).await else {
            let why = "no memory is left for the statement";
            if is_open {
                self.abandon();
                self.transaction = SessionTransaction::Failed;
            }
            self.refuse_statement(&id, &statement, ErrorKind::Busy, why);
            return;
        };
        self.handle_in_time(id, statement).await;
    }

    /// Handles a statement. If the host or the connection ends first, the caller is told
    /// that the outcome is unknown.
    async fn handle_in_time(&mut self, id: StatementId, statement: CallerStatement) {
        let (own_id, text) = (id.clone(), statement.text());
        let writes = match &statement {
            CallerStatement::Write(_) | CallerStatement::Commit => true,
            CallerStatement::Execute { name, .. } => {
                self.prepared.get(name).is_some_and(|shape| shape.writes)
            }
            _ => false,
        };
        let context = self.context.clone();
        let closing = self.slot.closing().clone();
        let closed = async {
            closing.wait().await;
        };
        let ending = async {
            let leaving = context.leave_progress.wait_for(LeaveStage::Ending);
            leaving.or(closed).await;
            false
        };
        // Boxed, so that an idle session takes little memory.
        let handling = Box::pin(async {
            self.handle(id, statement).await;
            true
        });
        if handling.or(ending).await {
            return;
        }
        let Some((kind, why)) = caller_error(&WorkAnswer::Unknown, writes) else {
            return;
        };
        log::warn!("request {own_id} was under way when its session ended, its outcome is unknown");
        self.record_request(&own_id, &text, Some(kind), "");
        self.transaction = match self.transaction {
            SessionTransaction::Idle => SessionTransaction::Idle,
            _ => SessionTransaction::Failed,
        };
        self.refuse(kind, &why);
    }

    async fn handle(&mut self, id: StatementId, statement: CallerStatement) {
        let ends_transaction = matches!(
            statement,
            CallerStatement::Commit | CallerStatement::Rollback
        );
        if matches!(self.transaction, SessionTransaction::Failed) && !ends_transaction {
            let why = "the transaction has failed";
            self.refuse_statement(&id, &statement, ErrorKind::Malformed, why);
            return;
        }
        let is_first = matches!(self.transaction, SessionTransaction::Idle);
        if is_first && let Err(kind) = self.refresh_endpoint() {
            let name = self.endpoint.name.clone();
            self.refuse_statement(&id, &statement, kind, &name);
            return;
        }
        if is_first && self.context.records.refuses(self.endpoint.rank) {
            let why = "no record of the request can be kept";
            self.refuse_statement(&id, &statement, ErrorKind::Busy, why);
            return;
        }
        match statement {
            CallerStatement::Begin { reads_only } => self.begin(reads_only),
            CallerStatement::Commit => self.commit(id).await,
            CallerStatement::Rollback => {
                self.roll_back(&id);
            }
            CallerStatement::Set { name, value } => self.set_value(name, value).await,
            CallerStatement::Prepare { name, shape } => self.prepare(name, shape).await,
            CallerStatement::Deallocate { name } => match self.prepared.remove(&name) {
                Some(shape) => {
                    let held = self.prepared_bytes.bytes();
                    let freed = entry_bytes(&name, &shape.text);
                    self.prepared_bytes.shrink_to(held.saturating_sub(freed));
                    self.succeed();
                }
                None => self.refuse(ErrorKind::NotPrepared, &name),
            },
            CallerStatement::Read(text) => {
                let writes = false;
                self.run(WorkStatement::Text { id, writes, text }).await;
            }
            CallerStatement::Write(text) => {
                let writes = true;
                self.run(WorkStatement::Text { id, writes, text }).await;
            }
            CallerStatement::Execute {
                ref name,
                ref arguments,
            } => {
                let Some(shape) = self.prepared.get(name).cloned() else {
                    self.refuse_statement(&id, &statement, ErrorKind::NotPrepared, name);
                    return;
                };
                let arguments = arguments.clone();
                self.run(WorkStatement::Prepared {
                    id,
                    shape,
                    arguments,
                })
                .await;
            }
        }
    }

    /// Sets a value of the session, within its limits.
    async fn set_value(&mut self, name: CompactString, value: CompactString) {
        let held = self.value_bytes.bytes();
        let replaced = self.values.get(&name);
        let count = self.values.len() + usize::from(replaced.is_none());
        let freed = replaced.map_or(0, |value| entry_bytes(&name, value));
        let bytes = held.saturating_sub(freed) + entry_bytes(&name, &value);
        if count > VALUES_MAX || bytes > VALUES_BYTES_MAX {
            self.refuse_session_limit("the session has too many values");
            return;
        }
        let budget = self.context.clients.budget().clone();
        if grow(&budget, &mut self.value_bytes, bytes).await.is_err() {
            self.refuse_for_memory();
            return;
        }
        self.value_bytes.shrink_to(bytes);
        Arc::make_mut(&mut self.values).insert(name, value);
        self.succeed();
    }

    /// Keeps a prepared statement of the session, within its limits.
    async fn prepare(&mut self, name: PreparedName, shape: PreparedShape) {
        let held = self.prepared_bytes.bytes();
        let replaced = self.prepared.get(&name);
        let count = self.prepared.len() + usize::from(replaced.is_none());
        let freed = replaced.map_or(0, |shape| entry_bytes(&name, &shape.text));
        let bytes = held.saturating_sub(freed) + entry_bytes(&name, &shape.text);
        if count > PREPARED_MAX || bytes > PREPARED_BYTES_MAX {
            self.refuse_session_limit("the session has too many prepared statements");
            return;
        }
        let budget = self.context.clients.budget().clone();
        if grow(&budget, &mut self.prepared_bytes, bytes)
            .await
            .is_err()
        {
            self.refuse_for_memory();
            return;
        }
        self.prepared_bytes.shrink_to(bytes);
        self.prepared.insert(name, shape);
        self.succeed();
    }

    fn refuse_session_limit(&mut self, why: &str) {
        self.context.clients.report(ClientFault::SessionLimit);
        self.refuse(ErrorKind::Malformed, why);
    }

    fn refuse_for_memory(&mut self) {
        self.context.clients.report(ClientFault::NoMemory);
        self.refuse(ErrorKind::Busy, "no memory is left for the session");
    }

    /// Adds a request to its customer's record. `owner` is the host that ran it,
    /// empty for none.
    fn record_request(
        &self,
        id: &StatementId,
        statement: &CompactString,
        error: Option<ErrorKind>,
        owner: &str,
    ) {
        self.context.records.record_request(&EndedRequest {
            customer: &self.identity.customer,
            endpoint: &self.endpoint.name,
            id,
            statement,
            error,
            sent_to_peer: !owner.is_empty() && owner != self.context.place.host,
        });
    }

    /// Refuses a statement without sending it to an instance, and records it.
    fn refuse_statement(
        &mut self,
        id: &StatementId,
        statement: &CallerStatement,
        kind: ErrorKind,
        text: &str,
    ) {
        self.record_request(id, &statement.text(), Some(kind), "");
        self.refuse(kind, text);
    }

    fn begin(&mut self, reads_only: bool) {
        if !matches!(self.transaction, SessionTransaction::Idle) {
            self.refuse(ErrorKind::Malformed, "a transaction is already open");
            return;
        }
        self.transaction = SessionTransaction::Begun { reads_only };
        self.succeed();
    }

    async fn commit(&mut self, id: StatementId) {
        match self.transaction {
            SessionTransaction::Idle => {
                let statement = CallerStatement::Commit;
                self.refuse_statement(&id, &statement, ErrorKind::Malformed, NO_TRANSACTION);
            }
            SessionTransaction::Failed => {
                self.transaction = SessionTransaction::Idle;
                let (statement, why) = (CallerStatement::Commit, "the transaction was rolled back");
                self.refuse_statement(&id, &statement, ErrorKind::Aborted, why);
            }
            _ => self.run(WorkStatement::Commit(id)).await,
        }
    }

    fn roll_back(&mut self, id: &StatementId) {
        let statement = CallerStatement::Rollback;
        if matches!(self.transaction, SessionTransaction::Idle) {
            self.refuse_statement(id, &statement, ErrorKind::Malformed, NO_TRANSACTION);
            return;
        }
        self.record_request(id, &statement.text(), None, "");
        self.abandon();
        self.succeed();
    }

    /// Gives up the transaction and rolls it back in the background.
    fn abandon(&mut self) {
        let transaction = std::mem::replace(&mut self.transaction, SessionTransaction::Idle);
        let SessionTransaction::Open(open) = transaction else {
            return;
        };
        let step = WorkStep::Continue(open.pin);
        let mut request = self.request(step, WorkStatement::Rollback);
        request.database = open.database;
        request.instance = open.instance;
        request.deadline = Instant::now() + ABANDON_TIMEOUT;
        let context = self.context.clone();
        fulmarrill_runtime::spawn(async move {
            continue_work(&context, &open.owner, request, false).await;
        })
        .detach();
    }

    fn request(&self, step: WorkStep, statement: WorkStatement) -> WorkRequest {
        let deadline = Instant::now() + self.endpoint.statement_time;
        WorkRequest {
            database: self.endpoint.database.clone(),
            instance: InstanceId::default(),
            primary_term: None,
            rank: self.endpoint.rank,
            deadline: self.context.leave_progress.limit_deadline(deadline),
            values: self.values.clone(),
            after: None,
            max_age: None,
            customer: self.identity.customer.clone(),
            is_signed_in: self.identity.is_signed_in,
            wants_hint: false,
            step,
            statement,
        }
    }

    /// Runs a statement on an instance and replies to the caller.
    async fn run(&mut self, statement: WorkStatement) {
        let commits = matches!(statement, WorkStatement::Commit(_));
        let writes = statement.writes();
        let start = StatementStart {
            id: statement.id(),
            text: statement.text(),
            started_at: Instant::now(),
        };
        let routed = match self.transaction.clone() {
            SessionTransaction::Open(open) => self.run_in_transaction(&open, statement).await,
            SessionTransaction::Begun { reads_only } => {
                let request = self.request(WorkStep::Begin { reads_only }, statement);
                self.run_first(request, reads_only).await
            }
            SessionTransaction::Idle | SessionTransaction::Failed => {
                let request = self.request(WorkStep::Single, statement);
                self.run_first(request, !writes).await
            }
        };
        self.finish(&start, routed, commits, writes);
    }

    async fn run_in_transaction(
        &self,
        open: &OpenTransaction,
        statement: WorkStatement,
    ) -> RoutedAnswer {
        let mut request = self.request(WorkStep::Continue(open.pin), statement);
        request.database.clone_from(&open.database);
        request.instance = open.instance.clone();
        request.primary_term = open.primary_term;
        let answer = continue_work(&self.context, &open.owner, request, open.has_written).await;
        RoutedAnswer {
            answer,
            owner: open.owner.clone(),
            database: open.database.clone(),
            instance: open.instance.clone(),
            primary_term: open.primary_term,
            floor: None,
        }
    }

    /// Runs a statement outside any transaction, or the first of one, unless its customer
    /// is known to be over its limit.
    async fn run_first(&self, request: WorkRequest, reads_only: bool) -> RoutedAnswer {
        if !request.is_signed_in {
            return self.send_first(request, reads_only).await;
        }
        let limits = &self.context.limits;
        let customer = request.customer.clone();
        if let Some(reason) = limits.known_refusal(&customer) {
            return RoutedAnswer::not_run(reason);
        }
        let routed = self.send_first(request, reads_only).await;
        limits.note_answer(&customer, &routed.answer);
        routed
    }

    async fn send_first(&self, request: WorkRequest, reads_only: bool) -> RoutedAnswer {
        let (max_age, after) = match self.endpoint.freshness {
            _ if !reads_only => (None, None),
            ReadFreshness::Latest => (None, None),
            ReadFreshness::Aged(age) => (Some(age), None),
            ReadFreshness::AgedWithOwn(age) => {
                let own = self.own_commits.floor(&request.database);
                (Some(age), Some(own))
            }
        };
        if max_age.is_none() {
            return run_at_primary(&self.context, request, reads_only).await;
        }
        let read = WorkRequest {
            after,
            max_age,
            ..request
        };
        run_read(&self.context, read).await
    }

    /// Logs and records the outcome of a statement and replies to the caller.
    fn finish(
        &mut self,
        start: &StatementStart,
        routed: RoutedAnswer,
        commits: bool,
        writes: bool,
    ) {
        let failure = caller_error(&routed.answer, writes);
        self.report(start, &routed, failure.as_ref());
        let error = failure.as_ref().map(|(kind, _)| *kind);
        self.record_request(&start.id, &start.text, error, &routed.owner);
        if let Some((kind, text)) = failure {
            let in_transaction = !matches!(self.transaction, SessionTransaction::Idle);
            self.transaction = if in_transaction && !commits {
                SessionTransaction::Failed
            } else {
                SessionTransaction::Idle
            };
            self.refuse(kind, &text);
        } else {
            self.succeed_with(routed, writes);
        }
    }

    /// Passes a served answer on to the caller.
    fn succeed_with(&mut self, routed: RoutedAnswer, writes: bool) {
        let WorkAnswer::Served {
            rows,
            proof,
            point,
            pin,
        } = routed.answer
        else {
            return;
        };
        if let (Some(_), true, None, Some(point)) = (routed.primary_term, writes, pin, point) {
            self.own_commits.advance(&routed.database, point);
        }
        let has_written = match &self.transaction {
            SessionTransaction::Open(open) => open.has_written,
            _ => false,
        };
        self.transaction = match pin {
            Some(pin) => SessionTransaction::Open(OpenTransaction {
                owner: routed.owner,
                database: routed.database,
                instance: routed.instance,
                primary_term: routed.primary_term,
                pin,
                has_written: has_written || writes,
            }),
            None => SessionTransaction::Idle,
        };
        for row in rows {
            self.reply(CallerReply::Row(row));
        }
        self.reply(CallerReply::Done(Some(proof)));
        self.reply_ready(point);
    }

    fn report(
        &self,
        start: &StatementStart,
        routed: &RoutedAnswer,
        failure: Option<&(ErrorKind, CompactString)>,
    ) {
        let view = self.context.view.load();
        self.context.statements.record(&StatementReport {
            id: &start.id,
            endpoint: &self.endpoint.name,
            database: &self.endpoint.database,
            rank: self.endpoint.rank,
            version: view.endpoints.as_ref().map_or(0, |table| table.version),
            error: failure.map(|(kind, _)| *kind),
            reason: failure.map_or("", |(_, text)| text),
            instance: &routed.instance,
            owner: &routed.owner,
            primary_term: routed.primary_term,
            floor: routed.floor,
            time: start.started_at.elapsed(),
        });
    }
}

/// Bytes that a reply takes until it is written.
fn reply_bytes(reply: &CallerReply) -> usize {
    let text = match reply {
        CallerReply::Row(text) | CallerReply::Error(_, text) => text.len(),
        CallerReply::Done(proof) => proof.as_ref().map_or(0, CompactString::len),
        CallerReply::Ready(..) => 0,
    };
    text + ENTRY_OVERHEAD_BYTES
}

/// Bytes that a prepared statement or a value of a session takes.
fn entry_bytes(name: &str, text: &str) -> usize {
    name.len() + text.len() + ENTRY_OVERHEAD_BYTES
}

/// Sends a statement of an open transaction to the owner that holds it.
async fn continue_work(
    context: &SharedContext,
    owner: &str,
    request: WorkRequest,
    has_written: bool,
) -> WorkAnswer {
    let view = context.view.load();
    let Some(host) = view.host(owner) else {
        return WorkAnswer::NotRun(NotRunReason::TransactionLost);
    };
    send_to_host(context, owner, &host.address, request, has_written).await
}

/// Runs a request at the primary. Until its deadline it is tried again if it
/// certainly has not run, except after an overload; one that only reads also if
/// its outcome is unknown.
async fn run_at_primary(
    context: &SharedContext,
    mut request: WorkRequest,
    reads_only: bool,
) -> RoutedAnswer {
    let mut may_have_run = false;
    loop {
        let listener = context.view.listen();
        let view = context.view.load();
        let routed = match view.primary(&request.database) {
            None => RoutedAnswer::not_run(NotRunReason::NotPrimary),
            Some((primary, term)) => {
                request.instance = primary.id.clone();
                request.primary_term = Some(term);
                send_work(context, &view, primary, request.clone()).await
            }
        };
        let should_retry = match &routed.answer {
            WorkAnswer::NotRun(reason) => !matches!(
                reason,
                NotRunReason::Overload
                    | NotRunReason::OverLimit { .. }
                    | NotRunReason::LimitUnknown { .. }
            ),
            WorkAnswer::Unknown => reads_only,
            _ => false,
        };
        may_have_run |= routed.answer == WorkAnswer::Unknown;
        let now = Instant::now();
        if !should_retry || now + RETRY_DELAY >= request.deadline {
            return routed.after_attempt(may_have_run);
        }
        context.view.wait(listener, now + RETRY_DELAY).await;
    }
}

/// Returns the error that a caller gets for an answer; `None` for a success.
fn caller_error(answer: &WorkAnswer, writes: bool) -> Option<(ErrorKind, CompactString)> {
    let (kind, text) = match answer {
        WorkAnswer::Served { .. } => return None,
        WorkAnswer::Failed { kind, text } => return Some((*kind, text.clone())),
        WorkAnswer::NotRun(reason) => match reason {
            NotRunReason::Overload => (ErrorKind::Busy, "too much work waits"),
            NotRunReason::NotPrimary => (ErrorKind::Busy, "the primary is being replaced"),
            NotRunReason::Behind => (ErrorKind::Behind, "no instance is fresh enough"),
            NotRunReason::AgeUnknown => (ErrorKind::Behind, "the age of replicas is unknown"),
            NotRunReason::Unreachable => (ErrorKind::Busy, "the instance cannot be reached"),
            NotRunReason::NoOwner => (ErrorKind::Busy, "the owner cannot be reached"),
            NotRunReason::OverLimit { retry_ms } => {
                let text = format_compact!("over the rate limit, retry after {retry_ms} ms");
                return Some((ErrorKind::Busy, text));
            }
            NotRunReason::LimitUnknown { retry_ms } => {
                let text = format_compact!("the rate limit is unknown, retry after {retry_ms} ms");
                return Some((ErrorKind::Busy, text));
            }
            NotRunReason::TransactionLost => {
                (ErrorKind::Aborted, "the transaction was rolled back")
            }
        },
        WorkAnswer::Unknown if writes => (ErrorKind::InDoubt, "no answer came; it may have run"),
        WorkAnswer::Unknown => (ErrorKind::TimedOut, "no answer came in time"),
    };
    Some((kind, text.into()))
}
