//! SQL functions by which a proxy asks and commands an instance.
//!
//! `pg_is_in_recovery`, `pg_current_wal_lsn`, `pg_last_wal_receive_lsn` and
//! `pg_last_wal_replay_lsn` are PostgreSQL's. PostgreSQL has no fencing and no
//! atomic report of terms and positions together, so those are functions of
//! this project's own.

use std::sync::Arc;

use fulmarrill_position::{InstanceRole, format_lsn};
use rusqlite::Connection;
use rusqlite::functions::{Context, FunctionFlags};

use crate::database::engine::EngineError;
use crate::database::instance::InstanceState;

type FunctionResult = rusqlite::Result<String>;

/// Adds the functions to a connection.
///
/// # Errors
///
/// The engine's error.
pub fn register_functions(
    connection: &Connection,
    state: &Arc<InstanceState>,
) -> Result<(), EngineError> {
    add(connection, state, "fulmarrill_status", 0, |state, _| {
        show_status(state)
    })?;
    add(
        connection,
        state,
        "fulmarrill_fence",
        1,
        |state, context| {
            state.fence(context.get(0).map(i64::unsigned_abs)?);
            show_status(state)
        },
    )?;
    add(
        connection,
        state,
        "fulmarrill_promote",
        1,
        |state, context| {
            state
                .promote(context.get(0).map(i64::unsigned_abs)?)
                .map_err(refused)?;
            show_status(state)
        },
    )?;
    add(
        connection,
        state,
        "fulmarrill_follow",
        2,
        |state, context| {
            let term = context.get(0).map(i64::unsigned_abs)?;
            let address: String = context.get(1)?;
            state.follow(term, &address).map_err(refused)?;
            show_status(state)
        },
    )?;
    add(
        connection,
        state,
        "fulmarrill_fault",
        1,
        |state, context| {
            let text: String = context.get(0)?;
            let faults = serde_json::from_str(&text).map_err(refused)?;
            state.set_faults(faults);
            Ok(text)
        },
    )?;
    add(connection, state, "pg_is_in_recovery", 0, |state, _| {
        let replica = state.status().role == InstanceRole::Replica;
        Ok(String::from(if replica { "t" } else { "f" }))
    })?;
    add(connection, state, "pg_current_wal_lsn", 0, |state, _| {
        Ok(format_lsn(state.status().received.position))
    })?;
    add(
        connection,
        state,
        "pg_last_wal_receive_lsn",
        0,
        |state, _| Ok(format_lsn(state.status().received.position)),
    )?;
    add(
        connection,
        state,
        "pg_last_wal_replay_lsn",
        0,
        |state, _| Ok(format_lsn(state.status().applied.position)),
    )?;
    add(
        connection,
        state,
        "pg_terminate_backend",
        1,
        |state, context| {
            let ended = state.end_session(context.get(0)?);
            Ok(String::from(if ended { "t" } else { "f" }))
        },
    )?;
    // The waiting itself is done by the session before the statement runs.
    add(connection, state, "pg_sleep", 1, |_, _| Ok(String::new()))?;
    Ok(())
}

fn add(
    connection: &Connection,
    state: &Arc<InstanceState>,
    name: &str,
    arguments: i32,
    call: impl Fn(&Arc<InstanceState>, &Context<'_>) -> FunctionResult + Send + 'static,
) -> Result<(), EngineError> {
    // Weak, since the instance keeps connections that keep these functions.
    let state = Arc::downgrade(state);
    connection.create_scalar_function(
        name,
        arguments,
        FunctionFlags::SQLITE_UTF8,
        move |context| match state.upgrade() {
            Some(state) => call(&state, context),
            None => Err(rusqlite::Error::InvalidQuery),
        },
    )?;
    Ok(())
}

fn show_status(state: &Arc<InstanceState>) -> FunctionResult {
    serde_json::to_string(&state.status()).map_err(refused)
}

fn refused(error: impl std::error::Error + Send + Sync + 'static) -> rusqlite::Error {
    rusqlite::Error::UserFunctionError(Box::new(error))
}
