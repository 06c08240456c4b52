//! Runs requests with a key: the row of the key commits in the transaction of
//! the request.
//!
//! The claim of the key and the request are sent together. If the key is
//! already taken, the claim fails and with it everything after it in the
//! transaction, so that the request has no effect. While another attempt is
//! open, its row lock makes the claim wait.

use std::time::{Instant, SystemTime};

use bytes::BytesMut;
use compact_str::{CompactString, format_compact};
use fulmarrill_idempotency::{
    ClaimDecision, RequestKey, StoredClaim, claim_sql, decide_claim, lookup_sql, request_hash,
    store_sql,
};
use fulmarrill_peer::{NotRunReason, WorkAnswer};
use fulmarrill_pg::{
    BackendResponse, DatabaseConnection, PgError, STATUS_FAILED, STATUS_IDLE, STATUS_TRANSACTION,
};
use fulmarrill_runtime::timeout_at;

use crate::owner::adapter::{DatabaseAdapter, StatusQuery, next_number};
use crate::owner::pool::PoolLease;
use crate::owner::replies::rewrite_batch;
use crate::owner::work::{
    CheckedAnswer, WorkContext, confirm_answer, note_session, terminate_connection,
};
use fulmarrill_slots::SlotGrant;

/// SQLSTATE `unique_violation`: the key is already taken.
const UNIQUE_VIOLATION: &str = "23505";

/// Result of a keyed attempt at the database.
enum KeyedResult {
    /// The request ran, or failed and was rolled back.
    Ran(CheckedAnswer),
    /// The key was already taken; its row holds the earlier claim, if it is
    /// still there.
    Taken(Option<StoredClaim>, CheckedAnswer),
    /// The claim failed for another reason; nothing ran.
    ClaimFailed(CompactString),
}

/// Runs a request under its key, or returns the stored answer of an earlier
/// attempt.
pub async fn run_keyed(work: &WorkContext, mut lease: PoolLease, slot: SlotGrant) -> WorkAnswer {
    let text = work.request.key.as_deref().unwrap_or_default();
    // The entry has checked the age of the key. Only the form is checked here,
    // since the clock of this host may differ.
    let key = match RequestKey::parse(text, SystemTime::now(), std::time::Duration::MAX / 4) {
        Ok(key) => key,
        Err(error) => {
            lease.give_back();
            let text = format_compact!("{error}");
            return WorkAnswer::not_run(NotRunReason::KeyRefused, text);
        }
    };
    let hash = request_hash(&work.request.payload);
    match run_attempt(work, &mut lease, &key, &hash).await {
        Err(error) => {
            terminate_connection(&work.owner, lease);
            WorkAnswer::unknown(format_compact!("request got no answer: {error}"))
        }
        Ok(KeyedResult::ClaimFailed(message)) => {
            lease.give_back();
            WorkAnswer::not_run(NotRunReason::Unavailable, message)
        }
        Ok(KeyedResult::Ran(checked)) => {
            lease.give_back();
            drop(slot);
            confirm_answer(work, checked, None).await
        }
        Ok(KeyedResult::Taken(stored, checked)) => {
            lease.give_back();
            drop(slot);
            replay(work, stored.as_ref(), &hash, checked).await
        }
    }
}

async fn replay(
    work: &WorkContext,
    stored: Option<&StoredClaim>,
    hash: &str,
    mut checked: CheckedAnswer,
) -> WorkAnswer {
    match stored.map(|stored| decide_claim(Some(stored), hash)) {
        Some(ClaimDecision::Replay(answer)) => {
            checked.payload = BytesMut::from(&answer[..]);
            checked.answer.error = None;
            confirm_answer(work, checked, None).await
        }
        Some(ClaimDecision::Mismatch) => {
            let text = "the request key belongs to another request";
            WorkAnswer::not_run(NotRunReason::KeyMismatch, text)
        }
        Some(ClaimDecision::Void) => {
            let text = "the request key was given up; the request did not run";
            WorkAnswer::not_run(NotRunReason::KeyRefused, text)
        }
        Some(ClaimDecision::Run) | None => {
            let text = "the request key was taken and is free again";
            WorkAnswer::not_run(NotRunReason::Unavailable, text)
        }
    }
}

async fn run_attempt(
    work: &WorkContext,
    lease: &mut PoolLease,
    key: &RequestKey,
    hash: &str,
) -> Result<KeyedResult, PgError> {
    let request = &work.request;
    let deadline = request.deadline;
    let pooled = lease.pooled();
    let batch = rewrite_batch(&request.prepared, &request.payload, &pooled.prepared);
    let claim = claim_sql(key, &request.customer, hash);
    let number = next_number();
    let claim = format!("{claim}; SELECT {number}");
    let mut bytes = DatabaseConnection::encode_query(&claim)?;
    bytes.extend_from_slice(&batch.bytes);
    let connection = &mut pooled.connection;
    timeout_at(deadline, connection.send(&bytes, 2)).await??;
    let claimed = timeout_at(deadline, connection.read_response()).await??;
    let answer = timeout_at(deadline, connection.read_response()).await??;
    note_session(pooled, &batch, &answer);
    let connection = &mut pooled.connection;
    if let Some(report) = &claimed.error {
        let taken = report.code == UNIQUE_VIOLATION;
        let message = format_compact!("request key could not be claimed: {}", report.message);
        let (stored, checked) = read_claim(connection, key, answer, deadline).await?;
        if taken {
            return Ok(KeyedResult::Taken(stored, checked));
        }
        return Ok(KeyedResult::ClaimFailed(message));
    }
    // Nothing was stored or committed yet, and the connection is terminated.
    if !is_claim_answer(&claimed, &number) || is_claim_answer(&answer, &number) {
        return Err(PgError::Unsolicited);
    }
    let mut payload = batch.restore_replies(&answer.messages);
    set_status(&mut payload, STATUS_IDLE);
    if answer.status != STATUS_TRANSACTION {
        let checked = roll_back(connection, answer, payload, deadline).await?;
        return Ok(KeyedResult::Ran(checked));
    }
    let checked = store_and_commit(connection, key, answer, payload, deadline).await?;
    Ok(KeyedResult::Ran(checked))
}

/// Whether an answer is that of the claim with this number.
fn is_claim_answer(answer: &BackendResponse, number: &str) -> bool {
    let begins = answer
        .split()
        .iter()
        .any(|message| message.starts_with(b"C\0\0\0\x0aBEGIN"));
    let row = answer.first_row();
    begins && row.is_some_and(|row| row.text(0) == Some(number))
}

/// Stores the answer in the row of the key, commits, and queries the status.
async fn store_and_commit(
    connection: &mut DatabaseConnection,
    key: &RequestKey,
    mut answer: BackendResponse,
    mut payload: BytesMut,
    deadline: Instant,
) -> Result<CheckedAnswer, PgError> {
    let mut bytes = DatabaseConnection::encode_query(&store_sql(key, &payload))?;
    let query = StatusQuery::new(DatabaseAdapter::STATUS);
    bytes.extend_from_slice(&query.encode()?);
    timeout_at(deadline, connection.send(&bytes, 2)).await??;
    let mut stored = timeout_at(deadline, connection.read_response()).await??;
    if stored.status == STATUS_FAILED {
        // The transaction failed, and the status query with it: end the
        // transaction.
        timeout_at(deadline, connection.read_response()).await??;
        return roll_back(connection, stored.clone(), stored.messages, deadline).await;
    }
    let status = timeout_at(deadline, connection.read_response()).await??;
    let status = query.read(&status)?;
    if stored.error.is_some() {
        // The commit was refused, and the caller gets that error.
        payload = stored.messages.split();
    }
    answer.error = stored.error;
    answer.status = STATUS_IDLE;
    Ok(CheckedAnswer {
        payload,
        answer,
        status,
    })
}

/// Rolls back the transaction and queries the status. The caller gets
/// `payload`.
async fn roll_back(
    connection: &mut DatabaseConnection,
    mut answer: BackendResponse,
    mut payload: BytesMut,
    deadline: Instant,
) -> Result<CheckedAnswer, PgError> {
    let mut bytes = DatabaseConnection::encode_query("ROLLBACK")?;
    let query = StatusQuery::new(DatabaseAdapter::STATUS);
    bytes.extend_from_slice(&query.encode()?);
    timeout_at(deadline, connection.send(&bytes, 2)).await??;
    timeout_at(deadline, connection.read_response()).await??;
    let status = timeout_at(deadline, connection.read_response()).await??;
    let status = query.read(&status)?;
    set_status(&mut payload, STATUS_IDLE);
    answer.status = STATUS_IDLE;
    Ok(CheckedAnswer {
        payload,
        answer,
        status,
    })
}

/// Rolls back the failed claim and reads the row of the key.
async fn read_claim(
    connection: &mut DatabaseConnection,
    key: &RequestKey,
    answer: BackendResponse,
    deadline: Instant,
) -> Result<(Option<StoredClaim>, CheckedAnswer), PgError> {
    let checked = roll_back(connection, answer, BytesMut::new(), deadline).await?;
    let rows = connection.query(&lookup_sql(key), deadline).await?;
    let stored = rows
        .first()
        .map(|row| StoredClaim::from_columns(row.text(0).unwrap_or_default(), row.text(1)));
    Ok((stored, checked))
}

/// Sets the transaction status in the `ReadyForQuery` that ends an answer,
/// since the transaction around the request is not visible to the caller.
fn set_status(payload: &mut BytesMut, status: u8) {
    if let Some(last) = payload.last_mut() {
        *last = status;
    }
}
