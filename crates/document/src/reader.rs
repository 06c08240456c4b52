//! Reads objects field by field and collects every fault.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use compact_str::CompactString;
use serde_json::{Map, Value};

use crate::error::DocumentError;

/// Longest name, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// One object of a document, read field by field.
///
/// A fault does not stop the reading: a default takes the field's place, and
/// the whole document is refused at the end.
#[derive(Debug)]
pub struct ObjectReader<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    known: BTreeSet<&'static str>,
    faults: Vec<DocumentError>,
}

impl<'a> ObjectReader<'a> {
    /// Starts to read `value`, which stands at `path`.
    #[must_use]
    pub fn new(path: &str, value: &'a Value) -> Self {
        let mut reader = Self {
            path: path.to_owned(),
            fields: value.as_object(),
            known: BTreeSet::new(),
            faults: Vec::new(),
        };
        if reader.fields.is_none() {
            let message = format!("must be an object, is {}", kind_of(value));
            reader
                .faults
                .push(DocumentError::new(root_name(path), message));
        }
        reader
    }

    /// The path of a field of this object.
    #[must_use]
    pub fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    /// Notes a fault at a field.
    pub fn fault(&mut self, field: &str, message: impl Into<String>) {
        let path = self.path_of(field);
        self.faults.push(DocumentError::new(path, message));
    }

    fn value(&mut self, field: &'static str) -> Option<&'a Value> {
        self.known.insert(field);
        self.fields?.get(field)
    }

    fn required(&mut self, field: &'static str) -> Option<&'a Value> {
        let value = self.value(field);
        if value.is_none() && self.fields.is_some() {
            self.fault(field, "is missing");
        }
        value
    }

    fn wrong_kind(&mut self, field: &str, wanted: &str, value: &Value) {
        self.fault(field, format!("must be {wanted}, is {}", kind_of(value)));
    }

    /// A text that must be there and not be empty.
    pub fn text(&mut self, field: &'static str) -> CompactString {
        let Some(value) = self.required(field) else {
            return CompactString::default();
        };
        match value.as_str() {
            Some("") => self.fault(field, "must not be empty"),
            Some(text) => return text.into(),
            None => self.wrong_kind(field, "a text", value),
        }
        CompactString::default()
    }

    /// A text that may be missing.
    pub fn optional_text(&mut self, field: &'static str) -> Option<CompactString> {
        let value = self.value(field)?;
        let text = value.as_str();
        if text.is_none() {
            self.wrong_kind(field, "a text", value);
        }
        text.map(CompactString::from)
    }

    /// A name: letters, digits and `-_.`, not too long.
    pub fn name(&mut self, field: &'static str) -> CompactString {
        let name = self.text(field);
        let plain = |c: char| c.is_alphanumeric() || "-_. ".contains(c);
        if name.len() > NAME_BYTES_MAX || !name.chars().all(plain) {
            let message = format!(
                "must be letters, digits, spaces and -_. of at most {NAME_BYTES_MAX} bytes"
            );
            self.fault(field, message);
        }
        name
    }

    /// A whole number within bounds, or the default if it is missing.
    pub fn number(
        &mut self,
        field: &'static str,
        bounds: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        self.optional_number(field, bounds).unwrap_or(default)
    }

    /// A whole number within bounds that may be missing.
    pub fn optional_number(
        &mut self,
        field: &'static str,
        bounds: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.value(field)?;
        let Some(number) = value.as_u64() else {
            self.wrong_kind(field, "a whole number from 0", value);
            return None;
        };
        if !bounds.contains(&number) {
            let (low, high) = (bounds.start(), bounds.end());
            self.fault(field, format!("must be from {low} to {high}, is {number}"));
            return None;
        }
        Some(number)
    }

    /// The items of a list, each with its path. A missing list is empty.
    pub fn list(&mut self, field: &'static str) -> Vec<(String, &'a Value)> {
        let Some(value) = self.value(field) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.wrong_kind(field, "a list", value);
            return Vec::new();
        };
        let path = self.path_of(field);
        items
            .iter()
            .enumerate()
            .map(|(i, item)| (format!("{path}[{i}]"), item))
            .collect()
    }

    /// A list of texts. A missing list is empty.
    pub fn texts(&mut self, field: &'static str) -> Vec<CompactString> {
        let mut texts = Vec::new();
        for (path, item) in self.list(field) {
            if let Some(text) = item.as_str() {
                texts.push(text.into());
            } else {
                let message = format!("must be a text, is {}", kind_of(item));
                self.faults.push(DocumentError::new(path, message));
            }
        }
        texts
    }

    /// The pairs of an object whose values are texts. A missing one is empty.
    pub fn text_pairs(&mut self, field: &'static str) -> Vec<(CompactString, CompactString)> {
        let Some(value) = self.value(field) else {
            return Vec::new();
        };
        let Some(map) = value.as_object() else {
            self.wrong_kind(field, "an object", value);
            return Vec::new();
        };
        let mut pairs = Vec::new();
        for (name, value) in map {
            if let Some(text) = value.as_str() {
                pairs.push((name.into(), text.into()));
            } else {
                let message = format!("must be a text, is {}", kind_of(value));
                let path = format!("{}.{name}", self.path_of(field));
                self.faults.push(DocumentError::new(path, message));
            }
        }
        pairs
    }

    /// Ends the reading: fields that nobody asked for are faults too.
    #[must_use]
    pub fn finish(mut self) -> Vec<DocumentError> {
        let Some(fields) = self.fields else {
            return self.faults;
        };
        for name in fields.keys() {
            if self.known.contains(name.as_str()) {
                continue;
            }
            let known: Vec<_> = self.known.iter().copied().collect();
            let message = format!("is not known here; known are {}", known.join(", "));
            let path = self.path_of(name);
            self.faults.push(DocumentError::new(path, message));
        }
        self.faults
    }
}

fn root_name(path: &str) -> &str {
    if path.is_empty() { "document" } else { path }
}

fn kind_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "another number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
