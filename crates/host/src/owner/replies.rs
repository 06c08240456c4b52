//! Fits prepared statements to a shared connection.
//!
//! A statement is prepared once per connection under a name that depends on
//! its content. What the connection has already is left out of a batch, and
//! the reply that the caller expects for it is put back in at its place; what
//! the connection lacks is put in, and its reply left out.

use std::collections::HashSet;

use bytes::{Buf, BytesMut};
use compact_str::CompactString;
use fulmarrill_peer::PreparedParse;

/// Bytes of a message before its body.
const HEADER_BYTES: usize = 5;
/// The encoded `ParseComplete` message.
const PARSE_COMPLETE: [u8; 5] = [b'1', 0, 0, 0, 4];

/// What is to become of the reply to one message of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyAction {
    /// Passed on; ends with one of these message types.
    Forward(&'static [u8]),
    /// Left out: the caller did not ask for it.
    Suppress,
    /// Put in: the message was left out.
    Insert,
}

/// A batch as it goes to the connection, and what to do with the replies.
#[derive(Debug)]
pub struct RewrittenBatch {
    /// Encoded messages.
    pub bytes: BytesMut,
    actions: Vec<ReplyAction>,
    added: Vec<CompactString>,
}

/// Splits encoded messages, each with its header.
fn split_messages(mut bytes: &[u8]) -> Vec<&[u8]> {
    let mut messages = Vec::new();
    while bytes.len() >= HEADER_BYTES {
        let length = (&bytes[1..HEADER_BYTES]).get_u32() as usize + 1;
        if length > bytes.len() {
            break;
        }
        let (message, rest) = bytes.split_at(length);
        messages.push(message);
        bytes = rest;
    }
    messages
}

/// Message types that end the reply to a message of the given type.
fn reply_ends(kind: u8) -> &'static [u8] {
    match kind {
        b'P' => b"1",
        b'B' => b"2",
        b'D' => b"Tn",
        b'E' => b"CIs",
        b'C' => b"3",
        _ => b"Z",
    }
}

/// The statement name in a `Parse` message.
fn parse_name(message: &[u8]) -> CompactString {
    let body = &message[HEADER_BYTES..];
    let end = body
        .iter()
        .position(|byte| *byte == 0)
        .unwrap_or(body.len());
    CompactString::from_utf8_lossy(&body[..end])
}

/// Fits a batch to a connection on which `already_prepared` are prepared.
#[must_use]
pub fn rewrite_batch(
    prepared: &[PreparedParse],
    payload: &[u8],
    already_prepared: &HashSet<CompactString>,
) -> RewrittenBatch {
    let mut batch = RewrittenBatch {
        bytes: BytesMut::new(),
        actions: Vec::new(),
        added: Vec::new(),
    };
    for statement in prepared {
        if already_prepared.contains(&statement.name) || batch.added.contains(&statement.name) {
            continue;
        }
        batch.bytes.extend_from_slice(&statement.parse);
        batch.actions.push(ReplyAction::Suppress);
        batch.added.push(statement.name.clone());
    }
    for message in split_messages(payload) {
        if message[0] == b'P' {
            let name = parse_name(message);
            if already_prepared.contains(&name) || batch.added.contains(&name) {
                batch.actions.push(ReplyAction::Insert);
                continue;
            }
            batch.added.push(name);
        }
        batch.bytes.extend_from_slice(message);
        batch
            .actions
            .push(ReplyAction::Forward(reply_ends(message[0])));
    }
    batch
}

impl RewrittenBatch {
    /// Makes the caller's replies out of the connection's.
    #[must_use]
    pub fn restore_replies(&self, answer: &[u8]) -> BytesMut {
        let mut restored = BytesMut::with_capacity(answer.len());
        let mut actions = self.actions.iter().copied().peekable();
        for message in split_messages(answer) {
            while actions.next_if_eq(&ReplyAction::Insert).is_some() {
                restored.extend_from_slice(&PARSE_COMPLETE);
            }
            let kind = message[0];
            match actions.peek().copied() {
                // After an error everything up to the end is skipped.
                _ if kind == b'E' => {
                    restored.extend_from_slice(message);
                    let last = ReplyAction::Forward(b"Z");
                    while actions.next_if(|action| *action != last).is_some() {}
                }
                Some(ReplyAction::Suppress) if kind == b'1' => {
                    actions.next();
                }
                Some(ReplyAction::Forward(ends)) => {
                    restored.extend_from_slice(message);
                    if ends.contains(&kind) {
                        actions.next();
                    }
                }
                _ => restored.extend_from_slice(message),
            }
        }
        restored
    }

    /// Names that are prepared on the connection now, if the batch succeeded.
    #[must_use]
    pub fn added(&self) -> &[CompactString] {
        &self.added
    }
}
