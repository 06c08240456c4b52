//! Errors in a document, each with its location.

use std::fmt;
use std::fmt::Write as _;

/// An error at one place in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentError {
    /// Path in the document, such as `services[2].rank`; `document` for the whole
    /// document; for invalid JSON the line and column, such as `line 3, column 7`.
    pub path: String,
    /// Description of the error, which follows the path and a colon.
    pub message: String,
}

impl DocumentError {
    /// Creates an error at `path`.
    #[must_use]
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Formats errors, one per line.
#[must_use]
pub fn format_errors(errors: &[DocumentError]) -> String {
    let mut text = String::new();
    for error in errors {
        let _ = writeln!(text, "{error}");
    }
    text
}
