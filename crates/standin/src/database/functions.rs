//! SQL functions by which a proxy queries and commands an instance.
//!
//! `pg_is_in_recovery`, `pg_current_wal_lsn`, `pg_last_wal_receive_lsn` and
//! `pg_last_wal_replay_lsn` are PostgreSQL's. PostgreSQL has no fencing and no
//! atomic report of terms and positions together, so the functions for these
//! are specific to this project.

use std::sync::Arc;

use fulmarrill_position::{InstanceRole, format_lsn};
use rusqlite::Connection;
use rusqlite::functions::{Context, FunctionFlags};

use crate::database::engine::EngineError;
use crate::database::instance::InstanceState;

type FunctionResult = rusqlite::Result<String>;

/// Registers the functions on a connection.
///
/// # Errors
///
/// The engine's error.
pub fn register_functions(
    connection: &Connection,
    state: &Arc<InstanceState>,
) -> Result<(), EngineError> {
    register_function(connection, state, "fulmarrill_status", 0, |state, _| {
        show_status(state)
    })?;
    register_function(
        connection,
        state,
        "fulmarrill_fence",
        1,
        |state, context| {
            state.fence(context.get(0).map(i64::unsigned_abs)?);
            show_status(state)
        },
    )?;
    register_function(
        connection,
        state,
        "fulmarrill_promote",
        1,
        |state, context| {
            state
                .promote(context.get(0).map(i64::unsigned_abs)?)
                .map_err(function_error)?;
            show_status(state)
        },
    )?;
    register_function(
        connection,
        state,
        "fulmarrill_follow",
        2,
        |state, context| {
            let term = context.get(0).map(i64::unsigned_abs)?;
            let address: String = context.get(1)?;
            state.follow(term, &address).map_err(function_error)?;
            show_status(state)
        },
    )?;
    register_function(
        connection,
        state,
        "fulmarrill_fault",
        1,
        |state, context| {
            let text: String = context.get(0)?;
            let faults = serde_json::from_str(&text).map_err(function_error)?;
            state.set_faults(faults);
            Ok(text)
        },
    )?;
    register_function(connection, state, "pg_is_in_recovery", 0, |state, _| {
        let replica = state.status().role == InstanceRole::Replica;
        Ok(String::from(if replica { "t" } else { "f" }))
    })?;
    register_function(connection, state, "pg_current_wal_lsn", 0, |state, _| {
        Ok(format_lsn(state.status().received.position))
    })?;
    register_function(
        connection,
        state,
        "pg_last_wal_receive_lsn",
        0,
        |state, _| Ok(format_lsn(state.status().received.position)),
    )?;
    register_function(
        connection,
        state,
        "pg_last_wal_replay_lsn",
        0,
        |state, _| Ok(format_lsn(state.status().applied.position)),
    )?;
    register_function(
        connection,
        state,
        "pg_terminate_backend",
        1,
        |state, context| {
            let ended = state.end_session(context.get(0)?);
            Ok(String::from(if ended { "t" } else { "f" }))
        },
    )?;
    // The session itself waits before it runs the statement.
    register_function(connection, state, "pg_sleep", 1, |_, _| Ok(String::new()))?;
    Ok(())
}

fn register_function(
    connection: &Connection,
    state: &Arc<InstanceState>,
    name: &str,
    arguments: i32,
    call: impl Fn(&Arc<InstanceState>, &Context<'_>) -> FunctionResult + Send + 'static,
) -> Result<(), EngineError> {
    // A weak reference, since the instance owns connections that own these
    // functions.
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
    serde_json::to_string(&state.status()).map_err(function_error)
}

fn function_error(error: impl std::error::Error + Send + Sync + 'static) -> rusqlite::Error {
    rusqlite::Error::UserFunctionError(Box::new(error))
}
