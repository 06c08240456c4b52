//! Statements that the entry answers itself: `fulmarrill.*` session settings,
//! settings that drivers send on connecting and that are the same at every
//! instance, `DISCARD` and `DEALLOCATE`.

use compact_str::CompactString;

use crate::entry::options::SETTING_PREFIX;

/// Settings that drivers send first and whose usual values every instance has.
/// `SET` accepts them without effect, whatever the value.
const IGNORED_SETTINGS: [&str; 6] = [
    "client_encoding",
    "application_name",
    "extra_float_digits",
    "datestyle",
    "timezone",
    "standard_conforming_strings",
];

/// A statement that the entry answers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LocalStatement {
    /// `SET fulmarrill.NAME = 'VALUE'`, or a `RESET` with an empty value.
    Set(CompactString, CompactString),
    /// `SHOW fulmarrill.NAME`.
    Show(CompactString),
    /// Accepted without effect; the value is the command tag.
    Accept(&'static str),
}

/// Parses a statement for the entry; returns `None` for any other.
#[must_use]
pub fn parse_local(text: &str) -> Option<LocalStatement> {
    let text = text.trim().trim_end_matches(';').trim_end();
    let (word, rest) = text.split_once(char::is_whitespace)?;
    let rest = rest.trim_start();
    match word.to_ascii_uppercase().as_str() {
        "SET" => parse_set(rest),
        "SHOW" => strip_setting(rest).map(|name| LocalStatement::Show(name.into())),
        "RESET" => strip_setting(rest)
            .map(|name| LocalStatement::Set(name.into(), CompactString::default())),
        "DISCARD" => Some(LocalStatement::Accept("DISCARD ALL")),
        "DEALLOCATE" => Some(LocalStatement::Accept("DEALLOCATE")),
        _ => None,
    }
}

fn strip_setting(text: &str) -> Option<String> {
    let lower = text.to_ascii_lowercase();
    lower
        .strip_prefix(SETTING_PREFIX)
        .map(|name| name.trim().to_owned())
}

fn parse_set(rest: &str) -> Option<LocalStatement> {
    let lower = rest.to_ascii_lowercase();
    let rest = match lower.strip_prefix("session ") {
        Some(_) => rest["session ".len()..].trim_start(),
        None => rest,
    };
    let end = rest.find(|c: char| c == '=' || c.is_whitespace())?;
    let (name, value) = rest.split_at(end);
    let value = value.trim_start();
    let value = value.strip_prefix('=').or_else(|| {
        value
            .get(..3)
            .filter(|to| to.eq_ignore_ascii_case("to "))
            .map(|_| &value[3..])
    })?;
    let value = value.trim().trim_matches('\'').replace("''", "'");
    if let Some(name) = strip_setting(name) {
        return Some(LocalStatement::Set(name.into(), value.into()));
    }
    let known = IGNORED_SETTINGS.contains(&name.to_ascii_lowercase().as_str());
    known.then_some(LocalStatement::Accept("SET"))
}
