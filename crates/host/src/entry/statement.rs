//! Classifies statements by their keywords, without parsing them.
//!
//! A wrong class does no harm: a replica refuses a write that was taken for a
//! read, and it is sent to the primary; a read that was taken for a write is
//! served by the primary.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

/// Class of a text of one or more statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementClass {
    /// Only reads.
    Read,
    /// Must run at the primary.
    Write,
    /// Opens or ends a transaction, and may contain other statements.
    Transaction,
    /// Depends on state that a shared connection does not keep.
    Unsupported,
    /// Contains no statement.
    Empty,
}

/// First keywords of statements that only read.
const READ_WORDS: [&str; 4] = ["SELECT", "VALUES", "TABLE", "SHOW"];
/// First keywords of statements that open or end a transaction.
const TRANSACTION_WORDS: [&str; 6] = ["BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT"];
/// First keywords of statements that need a dedicated connection.
const UNSUPPORTED_WORDS: [&str; 7] = [
    "LISTEN", "UNLISTEN", "COPY", "PREPARE", "EXECUTE", "DECLARE", "SET",
];
/// Keywords that make a statement a write, wherever they stand in it.
const WRITING_WORDS: [&str; 6] = ["INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "NEXTVAL"];

/// Classifies a text of one or more statements.
#[must_use]
pub fn classify(text: &str) -> StatementClass {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize() else {
        // The text cannot be tokenized; the database reports the error.
        return StatementClass::Write;
    };
    let mut class = StatementClass::Empty;
    let mut first = true;
    for token in &tokens {
        match token {
            Token::SemiColon => first = true,
            Token::Whitespace(_) | Token::EOF => {}
            Token::Word(word) => {
                let word = word.value.to_ascii_uppercase();
                let found = if first {
                    classify_first(&word)
                } else {
                    classify_later(&word)
                };
                class = combine(class, found);
                first = false;
            }
            _ => {
                if first {
                    class = combine(class, StatementClass::Read);
                }
                first = false;
            }
        }
    }
    class
}

fn classify_first(word: &str) -> StatementClass {
    if READ_WORDS.contains(&word) || word == "WITH" || word == "EXPLAIN" {
        return StatementClass::Read;
    }
    if TRANSACTION_WORDS.contains(&word) {
        return StatementClass::Transaction;
    }
    if UNSUPPORTED_WORDS.contains(&word) {
        return StatementClass::Unsupported;
    }
    StatementClass::Write
}

fn classify_later(word: &str) -> StatementClass {
    if WRITING_WORDS.contains(&word) {
        StatementClass::Write
    } else {
        StatementClass::Empty
    }
}

/// The class of two texts in sequence.
#[must_use]
pub fn combine(a: StatementClass, b: StatementClass) -> StatementClass {
    use StatementClass::{Empty, Read, Transaction, Unsupported, Write};
    match (a, b) {
        (Unsupported, _) | (_, Unsupported) => Unsupported,
        (Transaction, _) | (_, Transaction) => Transaction,
        (Write, _) | (_, Write) => Write,
        (Read, _) | (_, Read) => Read,
        (Empty, Empty) => Empty,
    }
}

/// Whether the first keyword of a text ends the open transaction.
#[must_use]
pub fn ends_transaction(text: &str) -> bool {
    let word = text
        .trim_start()
        .split(|c: char| !c.is_ascii_alphabetic())
        .next();
    let word = word.unwrap_or_default().to_ascii_uppercase();
    matches!(word.as_str(), "COMMIT" | "END" | "ROLLBACK" | "ABORT")
}
