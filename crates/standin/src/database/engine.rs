//! The embedded engine that stores an instance's rows.
//!
//! An instance holds two in-memory copies of its rows. Sessions read from the
//! read copy, each over its own connection; commits are applied to it at once.
//! The write copy has a single connection, on which one transaction at a time
//! writes, so that an open transaction neither exposes its rows nor blocks
//! readers.

use std::sync::Arc;
use std::time::Duration;

use rusqlite::types::Value;
use rusqlite::{Connection, OpenFlags, Statement};
use thiserror::Error;

use crate::database::functions::register_functions;
use crate::database::instance::InstanceState;
use crate::database::sql::ColumnTypes;
use crate::database::value::oid_of_declaration;

/// Time that a connection waits for a lock that another one holds.
const BUSY_TIMEOUT: Duration = Duration::from_secs(2);

/// An error of the embedded engine.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct EngineError(#[from] pub rusqlite::Error);

/// A result column.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineColumn {
    /// Name of the column.
    pub name: String,
    /// OID of its type, if the column comes directly from a table.
    pub oid: Option<u32>,
}

/// Result of a statement.
#[derive(Debug, Clone, Default)]
pub struct EngineRows {
    /// Columns; empty for a statement that returns no rows.
    pub columns: Vec<EngineColumn>,
    /// Rows, each with a value per column.
    pub rows: Vec<Vec<Value>>,
    /// Number of rows inserted, updated, deleted or returned.
    pub affected: usize,
}

/// Opens a connection to the in-memory database `name`, shared by every
/// connection of this process that gives the same name.
///
/// # Errors
///
/// The engine's error.
pub fn open_engine(
    name: &str,
    state: Option<&Arc<InstanceState>>,
) -> Result<Connection, EngineError> {
    let flags = OpenFlags::SQLITE_OPEN_READ_WRITE
        | OpenFlags::SQLITE_OPEN_CREATE
        | OpenFlags::SQLITE_OPEN_URI
        | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    let connection = Connection::open_with_flags(format!("file:/{name}?vfs=memdb"), flags)?;
    connection.busy_timeout(BUSY_TIMEOUT)?;
    connection.set_prepared_statement_cache_capacity(256);
    if let Some(state) = state {
        register_functions(&connection, state)?;
    }
    Ok(connection)
}

/// The columns that a statement would return.
///
/// # Errors
///
/// When the engine does not accept the statement.
pub fn describe_statement(
    connection: &Connection,
    sql: &str,
) -> Result<Vec<EngineColumn>, EngineError> {
    let statement = connection.prepare_cached(sql)?;
    Ok(columns_of(&statement))
}

fn columns_of(statement: &Statement<'_>) -> Vec<EngineColumn> {
    let mut columns = Vec::new();
    for column in statement.columns() {
        let oid = column.decl_type().map(oid_of_declaration);
        columns.push(EngineColumn {
            name: column.name().to_owned(),
            oid,
        });
    }
    columns
}

/// Runs one statement to completion with `parameters` for `$1` and so on.
///
/// # Errors
///
/// The engine's error; the statement changed nothing then.
pub fn run_statement(
    connection: &Connection,
    sql: &str,
    parameters: &[Value],
) -> Result<EngineRows, EngineError> {
    let mut statement = connection.prepare_cached(sql)?;
    for (index, value) in parameters.iter().enumerate() {
        let Some(parameter_index) = statement.parameter_index(&format!("${}", index + 1))? else {
            continue;
        };
        statement.raw_bind_parameter(parameter_index, value)?;
    }
    let columns = columns_of(&statement);
    if columns.is_empty() {
        let affected = statement.raw_execute()?;
        return Ok(EngineRows {
            affected,
            ..EngineRows::default()
        });
    }
    let mut rows = Vec::new();
    let mut cursor = statement.raw_query();
    while let Some(row) = cursor.next()? {
        let mut values = Vec::with_capacity(columns.len());
        for index in 0..columns.len() {
            values.push(row.get::<_, Value>(index)?);
        }
        rows.push(values);
    }
    drop(cursor);
    let affected = rows.len();
    Ok(EngineRows {
        columns,
        rows,
        affected,
    })
}

/// The declared types of all tables' columns.
///
/// # Errors
///
/// The engine's error.
pub fn column_types(connection: &Connection) -> Result<ColumnTypes, EngineError> {
    let sql = "SELECT lower(m.name), lower(c.name), c.type FROM sqlite_master m, pragma_table_info(m.name) c \
               WHERE m.type = 'table'";
    let mut types = ColumnTypes::new();
    for row in run_statement(connection, sql, &[])?.rows {
        if let [
            Value::Text(table),
            Value::Text(column),
            Value::Text(declared),
        ] = row.as_slice()
        {
            types.insert(
                (table.clone(), column.clone()),
                oid_of_declaration(declared),
            );
        }
    }
    Ok(types)
}
