//! Reads JSON objects field by field and collects all errors.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use compact_str::CompactString;
use serde_json::{Map, Value};

use crate::error::DocumentError;

/// Longest name, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// A JSON object in a document that is read field by field.
///
/// An error does not stop the reading: the field gets a default value, and the
/// document is rejected at the end.
#[derive(Debug)]
pub struct ObjectReader<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    known_fields: BTreeSet<&'static str>,
    errors: Vec<DocumentError>,
}

impl<'a> ObjectReader<'a> {
    /// Creates a reader of `value`, which is at `path` in the document. It is an
    /// error if the value is not an object.
    #[must_use]
    pub fn new(path: &str, value: &'a Value) -> Self {
        let mut reader = Self {
            path: path.to_owned(),
            fields: value.as_object(),
            known_fields: BTreeSet::new(),
            errors: Vec::new(),
        };
        if reader.fields.is_none() {
            let message = format!("must be an object, is {}", kind_of(value));
            reader
                .errors
                .push(DocumentError::new(path_or_root(path), message));
        }
        reader
    }

    /// Returns the path of a field of this object.
    #[must_use]
    pub fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    /// Adds an error at a field.
    pub fn add_error(&mut self, field: &str, message: impl Into<String>) {
        let path = self.path_of(field);
        self.errors.push(DocumentError::new(path, message));
    }

    fn value(&mut self, field: &'static str) -> Option<&'a Value> {
        self.known_fields.insert(field);
        self.fields?.get(field)
    }

    fn required(&mut self, field: &'static str) -> Option<&'a Value> {
        let value = self.value(field);
        if value.is_none() && self.fields.is_some() {
            self.add_error(field, "is missing");
        }
        value
    }

    fn add_type_error(&mut self, field: &str, expected: &str, value: &Value) {
        self.add_error(field, format!("must be {expected}, is {}", kind_of(value)));
    }

    /// Reads a required string that must not be empty.
    pub fn string(&mut self, field: &'static str) -> CompactString {
        let Some(value) = self.required(field) else {
            return CompactString::default();
        };
        match value.as_str() {
            Some("") => self.add_error(field, "must not be empty"),
            Some(text) => return text.into(),
            None => self.add_type_error(field, "a string", value),
        }
        CompactString::default()
    }

    /// Reads an optional string.
    pub fn optional_string(&mut self, field: &'static str) -> Option<CompactString> {
        let value = self.value(field)?;
        let text = value.as_str();
        if text.is_none() {
            self.add_type_error(field, "a string", value);
        }
        text.map(CompactString::from)
    }

    /// Reads a required name of letters, digits, spaces and `-_.`, at most 64
    /// bytes long.
    pub fn name(&mut self, field: &'static str) -> CompactString {
        let name = self.string(field);
        let is_allowed = |c: char| c.is_alphanumeric() || "-_. ".contains(c);
        if name.len() > NAME_BYTES_MAX || !name.chars().all(is_allowed) {
            let message =
                format!("must be letters, digits, spaces and -_., at most {NAME_BYTES_MAX} bytes");
            self.add_error(field, message);
        }
        name
    }

    /// Reads an integer within `bounds`, or `default` if it is missing or invalid.
    pub fn number(
        &mut self,
        field: &'static str,
        bounds: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        self.optional_number(field, bounds).unwrap_or(default)
    }

    /// Reads an optional integer within `bounds`.
    pub fn optional_number(
        &mut self,
        field: &'static str,
        bounds: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.value(field)?;
        let Some(number) = value.as_u64() else {
            self.add_type_error(field, "a non-negative integer", value);
            return None;
        };
        if !bounds.contains(&number) {
            let (low, high) = (bounds.start(), bounds.end());
            self.add_error(field, format!("must be from {low} to {high}, is {number}"));
            return None;
        }
        Some(number)
    }

    /// Reads the items of an array, each with its path. A missing array is empty.
    pub fn list(&mut self, field: &'static str) -> Vec<(String, &'a Value)> {
        let Some(value) = self.value(field) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.add_type_error(field, "an array", value);
            return Vec::new();
        };
        let path = self.path_of(field);
        items
            .iter()
            .enumerate()
            .map(|(i, item)| (format!("{path}[{i}]"), item))
            .collect()
    }

    /// Reads an array of strings. A missing array is empty.
    pub fn strings(&mut self, field: &'static str) -> Vec<CompactString> {
        let mut strings = Vec::new();
        for (path, item) in self.list(field) {
            if let Some(text) = item.as_str() {
                strings.push(text.into());
            } else {
                let message = format!("must be a string, is {}", kind_of(item));
                self.errors.push(DocumentError::new(path, message));
            }
        }
        strings
    }

    /// Reads the fields of an object whose values are strings. A missing object
    /// has no fields.
    pub fn string_pairs(&mut self, field: &'static str) -> Vec<(CompactString, CompactString)> {
        let Some(value) = self.value(field) else {
            return Vec::new();
        };
        let Some(map) = value.as_object() else {
            self.add_type_error(field, "an object", value);
            return Vec::new();
        };
        let mut pairs = Vec::new();
        for (name, value) in map {
            if let Some(text) = value.as_str() {
                pairs.push((name.into(), text.into()));
            } else {
                let message = format!("must be a string, is {}", kind_of(value));
                let path = format!("{}.{name}", self.path_of(field));
                self.errors.push(DocumentError::new(path, message));
            }
        }
        pairs
    }

    /// Returns all errors. Each field that was not read is an error too.
    #[must_use]
    pub fn finish(mut self) -> Vec<DocumentError> {
        let Some(fields) = self.fields else {
            return self.errors;
        };
        for name in fields.keys() {
            if self.known_fields.contains(name.as_str()) {
                continue;
            }
            let known_names: Vec<_> = self.known_fields.iter().copied().collect();
            let message = format!(
                "is not known here; known fields: {}",
                known_names.join(", ")
            );
            let path = self.path_of(name);
            self.errors.push(DocumentError::new(path, message));
        }
        self.errors
    }
}

fn path_or_root(path: &str) -> &str {
    if path.is_empty() { "document" } else { path }
}

fn kind_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "another number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}
