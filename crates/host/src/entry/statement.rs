//! Tells what a statement does from its words, without parsing it.
//!
//! A mistake is harmless: a write that is taken for a read is refused by the
//! replica and sent to the primary, a read that is taken for a write is served
//! by the primary.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

/// What a text of one or more statements does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementClass {
    /// Nothing but reading.
    Read,
    /// Anything that the primary must see.
    Write,
    /// Opens or ends a transaction, perhaps beside other things.
    Transaction,
    /// Depends on state that a shared connection does not keep.
    Unsupported,
    /// There is nothing in it.
    Empty,
}

/// Words that begin a statement that only reads.
const READ_WORDS: [&str; 4] = ["SELECT", "VALUES", "TABLE", "SHOW"];
/// Words that begin a statement about transactions.
const TRANSACTION_WORDS: [&str; 6] = ["BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT"];
/// Words that begin a statement that needs a connection of its own.
const UNSUPPORTED_WORDS: [&str; 7] = [
    "LISTEN", "UNLISTEN", "COPY", "PREPARE", "EXECUTE", "DECLARE", "SET",
];
/// Words anywhere in a reading statement that make it one for the primary.
const WRITING_WORDS: [&str; 6] = ["INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "NEXTVAL"];

/// Classifies a text.
#[must_use]
pub fn classify(text: &str) -> StatementClass {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize() else {
        // The database will say what is wrong with it.
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

/// The class of two texts one after the other.
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

/// Whether a text ends the open transaction.
#[must_use]
pub fn ends_transaction(text: &str) -> bool {
    let word = text
        .trim_start()
        .split(|c: char| !c.is_ascii_alphabetic())
        .next();
    let word = word.unwrap_or_default().to_ascii_uppercase();
    matches!(word.as_str(), "COMMIT" | "END" | "ROLLBACK" | "ABORT")
}
