//! Rewrites batches so that prepared statements work on shared connections.
//!
//! A statement is prepared once per connection, under a name derived from its
//! content. A `Parse` message is left out of a batch if the connection has the
//! statement, and its reply is inserted for the caller. Statements that the
//! connection lacks are added to the batch, and their replies are removed.

use std::collections::HashSet;

use bytes::{Buf, BytesMut};
use compact_str::CompactString;
use fulmarrill_peer::PreparedParse;

/// Bytes of a message before its body: the type and the length.
const HEADER_BYTES: usize = 5;
/// The encoded `ParseComplete` message.
const PARSE_COMPLETE: [u8; 5] = [b'1', 0, 0, 0, 4];

/// How the reply to one message of a batch is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyAction {
    /// Forwarded to the caller; one of these message types ends it.
    Forward(&'static [u8]),
    /// Removed, since the message was added by the rewrite.
    Suppress,
    /// Inserted, since the message was left out by the rewrite.
    Insert,
}

/// A batch rewritten for one connection, and how its replies are handled.
#[derive(Debug)]
pub struct RewrittenBatch {
    /// Encoded messages for the connection.
    pub bytes: BytesMut,
    actions: Vec<ReplyAction>,
    added: Vec<CompactString>,
}

/// Splits encoded messages, each with its header; a trailing incomplete message
/// is left out.
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

/// Rewrites a batch for a connection on which `already_prepared` are prepared.
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
    /// Converts the replies of the connection to those that the caller expects.
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
                // After an error the server skips all messages up to the
                // `Sync`.
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

    /// Names of the statements that the batch prepares on the connection.
    #[must_use]
    pub fn added(&self) -> &[CompactString] {
        &self.added
    }
}
