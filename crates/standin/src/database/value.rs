//! Conversion of values between the protocol's formats and the embedded engine.

use std::fmt::Write as _;

use bytes::{BufMut, BytesMut};
use rusqlite::types::Value;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// OIDs of the PostgreSQL types that the stand-in supports.
pub mod oid {
    /// `boolean`.
    pub const BOOL: u32 = 16;
    /// `bytea`.
    pub const BYTEA: u32 = 17;
    /// `bigint`.
    pub const INT8: u32 = 20;
    /// `smallint`.
    pub const INT2: u32 = 21;
    /// `integer`.
    pub const INT4: u32 = 23;
    /// `text`.
    pub const TEXT: u32 = 25;
    /// `real`.
    pub const FLOAT4: u32 = 700;
    /// `double precision`.
    pub const FLOAT8: u32 = 701;
    /// `character varying`.
    pub const VARCHAR: u32 = 1043;
    /// `numeric`.
    pub const NUMERIC: u32 = 1700;
}

/// Format code of binary values.
pub const FORMAT_BINARY: i16 = 1;

/// A parameter whose bytes are not a value of its type.
#[derive(Debug, Error)]
#[error("value of type {oid} cannot be read: {why}")]
pub struct ValueError {
    oid: u32,
    why: String,
}

/// A value in the replicated log.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LoggedValue {
    /// SQL NULL.
    Null,
    /// Integers and booleans.
    Integer(i64),
    /// Floating point.
    Real(f64),
    /// Text.
    Text(String),
    /// Bytes.
    Blob(Vec<u8>),
}

impl From<Value> for LoggedValue {
    fn from(value: Value) -> Self {
        match value {
            Value::Null => Self::Null,
            Value::Integer(number) => Self::Integer(number),
            Value::Real(number) => Self::Real(number),
            Value::Text(text) => Self::Text(text),
            Value::Blob(bytes) => Self::Blob(bytes),
        }
    }
}

impl From<&LoggedValue> for Value {
    fn from(value: &LoggedValue) -> Self {
        match value {
            LoggedValue::Null => Self::Null,
            LoggedValue::Integer(number) => Self::Integer(*number),
            LoggedValue::Real(number) => Self::Real(*number),
            LoggedValue::Text(text) => Self::Text(text.clone()),
            LoggedValue::Blob(bytes) => Self::Blob(bytes.clone()),
        }
    }
}

/// OID of a declared column type; `text` for unknown names.
#[must_use]
pub fn oid_of_declaration(declared: &str) -> u32 {
    let declared = declared.to_ascii_lowercase();
    let name = declared.split('(').next().unwrap_or_default().trim();
    match name {
        "bool" | "boolean" => oid::BOOL,
        "bytea" | "blob" => oid::BYTEA,
        "bigint" | "int8" | "bigserial" => oid::INT8,
        "smallint" | "int2" => oid::INT2,
        "int" | "int4" | "integer" | "serial" => oid::INT4,
        "real" | "float4" => oid::FLOAT4,
        "double precision" | "float8" | "float" | "double" => oid::FLOAT8,
        "numeric" | "decimal" => oid::NUMERIC,
        "varchar" | "character varying" => oid::VARCHAR,
        _ => oid::TEXT,
    }
}

/// Decodes a parameter in text or binary format.
///
/// # Errors
///
/// When the bytes are not a value of the type.
pub fn decode_value(bytes: &[u8], oid: u32, format: i16) -> Result<Value, ValueError> {
    if format == FORMAT_BINARY {
        return decode_binary(bytes, oid);
    }
    let text = std::str::from_utf8(bytes).map_err(|error| ValueError {
        oid,
        why: error.to_string(),
    })?;
    decode_text(text, oid)
}

fn decode_text(text: &str, oid: u32) -> Result<Value, ValueError> {
    let value_error = |why: String| ValueError { oid, why };
    match oid {
        oid::BOOL => Ok(Value::Integer(i64::from(matches!(
            text,
            "t" | "true" | "1" | "on" | "yes"
        )))),
        oid::INT2 | oid::INT4 | oid::INT8 => text
            .trim()
            .parse()
            .map(Value::Integer)
            .map_err(|error| value_error(format!("{text:?}: {error}"))),
        oid::FLOAT4 | oid::FLOAT8 => text
            .trim()
            .parse()
            .map(Value::Real)
            .map_err(|error| value_error(format!("{text:?}: {error}"))),
        oid::BYTEA => decode_hex(text)
            .map(Value::Blob)
            .ok_or_else(|| value_error(format!("{text:?}"))),
        _ => Ok(Value::Text(text.to_owned())),
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.strip_prefix("\\x")?;
    let mut bytes = Vec::new();
    for index in (0..digits.len()).step_by(2) {
        bytes.push(u8::from_str_radix(digits.get(index..index + 2)?, 16).ok()?);
    }
    Some(bytes)
}

fn decode_binary(bytes: &[u8], oid: u32) -> Result<Value, ValueError> {
    let value_error = |_| ValueError {
        oid,
        why: format!("{} bytes", bytes.len()),
    };
    let value = match oid {
        oid::BOOL => Value::Integer(i64::from(bytes.first().is_some_and(|byte| *byte != 0))),
        oid::INT2 => {
            Value::Integer(i16::from_be_bytes(bytes.try_into().map_err(value_error)?).into())
        }
        oid::INT4 => {
            Value::Integer(i32::from_be_bytes(bytes.try_into().map_err(value_error)?).into())
        }
        oid::INT8 => Value::Integer(i64::from_be_bytes(bytes.try_into().map_err(value_error)?)),
        oid::FLOAT4 => {
            Value::Real(f32::from_be_bytes(bytes.try_into().map_err(value_error)?).into())
        }
        oid::FLOAT8 => Value::Real(f64::from_be_bytes(bytes.try_into().map_err(value_error)?)),
        oid::BYTEA => Value::Blob(bytes.to_vec()),
        _ => {
            let text = std::str::from_utf8(bytes).map_err(|error| ValueError {
                oid,
                why: error.to_string(),
            })?;
            Value::Text(text.to_owned())
        }
    };
    Ok(value)
}

/// Appends a column to a row: its length, then its bytes; NULL is length -1.
pub fn encode_column(row: &mut BytesMut, value: &Value, oid: u32, format: i16) {
    if matches!(value, Value::Null) {
        row.put_i32(-1);
        return;
    }
    let mut bytes = Vec::new();
    if format == FORMAT_BINARY {
        encode_binary(&mut bytes, value, oid);
    } else {
        bytes.extend_from_slice(format_value(value, oid).as_bytes());
    }
    row.put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
    row.extend_from_slice(&bytes);
}

fn format_value(value: &Value, oid: u32) -> String {
    match value {
        Value::Null => String::new(),
        Value::Integer(number) if oid == oid::BOOL => {
            String::from(if *number == 0 { "f" } else { "t" })
        }
        Value::Integer(number) => number.to_string(),
        Value::Real(number) => number.to_string(),
        Value::Text(text) => text.clone(),
        Value::Blob(bytes) => {
            let mut text = String::from("\\x");
            for byte in bytes {
                let _ = write!(text, "{byte:02x}");
            }
            text
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
fn encode_binary(bytes: &mut Vec<u8>, value: &Value, oid: u32) {
    let integer = match value {
        Value::Integer(number) => *number,
        Value::Real(number) => *number as i64,
        _ => 0,
    };
    let real = match value {
        Value::Real(number) => *number,
        _ => integer as f64,
    };
    match oid {
        oid::BOOL => bytes.push(u8::from(integer != 0)),
        oid::INT2 => bytes.extend_from_slice(&(integer as i16).to_be_bytes()),
        oid::INT4 => bytes.extend_from_slice(&(integer as i32).to_be_bytes()),
        oid::INT8 => bytes.extend_from_slice(&integer.to_be_bytes()),
        oid::FLOAT4 => bytes.extend_from_slice(&(real as f32).to_be_bytes()),
        oid::FLOAT8 => bytes.extend_from_slice(&real.to_be_bytes()),
        _ => match value {
            Value::Blob(blob) => bytes.extend_from_slice(blob),
            other => bytes.extend_from_slice(format_value(other, oid).as_bytes()),
        },
    }
}
