//! What is wrong with a text, and where.

use std::fmt;
use std::fmt::Write as _;

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentError {
    /// Path in the document, `services[2].rank`; for broken JSON the line and
    /// column, `line 3, column 7`.
    pub path: String,
    /// What is wrong there.
    pub message: String,
}

impl DocumentError {
    /// Makes a fault.
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

/// All faults, a line each.
#[must_use]
pub fn format_errors(faults: &[DocumentError]) -> String {
    let mut text = String::new();
    for fault in faults {
        let _ = writeln!(text, "{fault}");
    }
    text
}
