//! Identity and settings of a caller, from its startup message.

use std::collections::BTreeMap;

use compact_str::CompactString;

/// Prefix of this project's session settings.
pub const SETTING_PREFIX: &str = "fulmarrill.";

/// Identity of a caller: service, place and customer, with the database and the
/// position that it sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Database; the user name if none is given.
    pub database: CompactString,
    /// Service; `application_name` if the setting is empty.
    pub service: CompactString,
    /// Place; empty if the setting is.
    pub place: CompactString,
    /// Customer; the user name if the setting is empty.
    pub customer: CompactString,
    /// Position of an earlier session, as text.
    pub position: CompactString,
}

/// Reads the identity from the parameters of a startup message.
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

/// Parses `-c fulmarrill.name=value` and `--fulmarrill.name=value` from the
/// `options` parameter, in which a backslash escapes a space.
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
