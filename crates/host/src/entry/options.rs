//! What a caller says about itself when it connects.

use std::collections::BTreeMap;

use compact_str::CompactString;

/// Prefix of this project's session settings.
pub const SETTING_PREFIX: &str = "fulmarrill.";

/// Who calls, on whose behalf, and from where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Database.
    pub database: CompactString,
    /// Service; `application_name` stands in for it.
    pub service: CompactString,
    /// Place.
    pub place: CompactString,
    /// Customer; the user stands in for it.
    pub customer: CompactString,
    /// Session position brought along.
    pub position: CompactString,
}

/// Reads the parameters of a startup message.
#[must_use]
pub fn parse_identity(parameters: &BTreeMap<String, String>) -> CallerIdentity {
    let parameter = |name: &str| parameters.get(name).map(String::as_str).unwrap_or_default();
    let settings = split_options(parameter("options"));
    let setting = |name: &str, fallback: &str| -> CompactString {
        let value = settings
            .get(name)
            .map(String::as_str)
            .filter(|value| !value.is_empty());
        value.unwrap_or(fallback).into()
    };
    let user = parameter("user");
    let database = parameter("database");
    CallerIdentity {
        database: if database.is_empty() {
            user.into()
        } else {
            database.into()
        },
        service: setting("service", parameter("application_name")),
        place: setting("place", ""),
        customer: setting("customer", user),
        position: setting("position", ""),
    }
}

/// Reads `-c fulmarrill.name=value` and `--fulmarrill.name=value` out of the
/// `options` parameter, where a backslash keeps a space.
fn split_options(options: &str) -> BTreeMap<String, String> {
    let mut settings = BTreeMap::new();
    for word in split_words(options) {
        let word = word.trim_start_matches("--").trim_start_matches("-c");
        let Some((name, value)) = word.split_once('=') else {
            continue;
        };
        if let Some(name) = name.strip_prefix(SETTING_PREFIX) {
            settings.insert(name.to_owned(), value.to_owned());
        }
    }
    settings
}

fn split_words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        match c {
            '\\' => word.extend(chars.next()),
            c if c.is_whitespace() => {
                if !word.is_empty() {
                    words.push(std::mem::take(&mut word));
                }
            }
            c => word.push(c),
        }
    }
    if !word.is_empty() {
        words.push(word);
    }
    words
}
