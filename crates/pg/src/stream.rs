//! Sends and receives whole protocol messages on a socket.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf, BytesMut};
use futures_lite::future::poll_once;
use futures_lite::{AsyncRead, AsyncWriteExt};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use smol::net::TcpStream;

use crate::error::PgError;

/// Upper bound of a message's length field, exclusive.
const MESSAGE_BYTES_MAX: usize = 64 << 20;
/// Number of bytes requested per read from the socket.
const READ_BYTES: usize = 4 << 10;
/// Size of a message header: type and length.
const HEADER_BYTES: usize = 5;

/// A socket with a buffer of received bytes that were not consumed yet.
#[derive(Debug)]
pub struct MessageStream {
    stream: TcpStream,
    input: BytesMut,
}

impl MessageStream {
    /// Wraps a connected socket.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        // With Nagle's algorithm a message may be delayed until the previous one
        // is acknowledged.
        stream.set_nodelay(true).ok();
        Self {
            stream,
            input: BytesMut::new(),
        }
    }

    /// Returns the buffer of received bytes that were not consumed yet.
    pub fn input_mut(&mut self) -> &mut BytesMut {
        &mut self.input
    }

    /// Returns the received bytes that were not consumed yet.
    #[must_use]
    pub fn unread_input(&self) -> &[u8] {
        &self.input
    }

    /// Waits for more bytes. Cancel-safe: no received byte is lost.
    ///
    /// # Errors
    ///
    /// [`PgError::Closed`] at the end of the stream, [`PgError::Io`] if the socket
    /// fails.
    pub async fn fill(&mut self) -> Result<(), PgError> {
        let count = poll_fn(|context| self.poll_fill(context)).await?;
        if count == 0 {
            return Err(PgError::Closed);
        }
        Ok(())
    }

    /// Reads the bytes that have already arrived, without waiting for more.
    ///
    /// # Errors
    ///
    /// As for [`MessageStream::fill`]; the bytes read before are kept.
    pub async fn fill_available(&mut self) -> Result<(), PgError> {
        while let Some(result) = poll_once(self.fill()).await {
            result?;
        }
        Ok(())
    }

    /// Reads directly into `input`, so that an idle connection needs no second
    /// buffer. Space added for the read is truncated before the call returns.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<std::io::Result<usize>> {
        let filled = self.input.len();
        self.input.resize(filled + READ_BYTES, 0);
        let result = Pin::new(&mut self.stream).poll_read(context, &mut self.input[filled..]);
        let count = match &result {
            Poll::Ready(Ok(count)) => *count,
            _ => 0,
        };
        self.input.truncate(filled + count);
        result
    }

    /// Reads the next whole message, including its header. Cancel-safe.
    ///
    /// # Errors
    ///
    /// If the connection ends or the length field is out of bounds.
    pub async fn read_message(&mut self) -> Result<BytesMut, PgError> {
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    /// Removes the first message from the buffer if it is complete.
    ///
    /// # Errors
    ///
    /// [`PgError::InvalidLength`] if the length field is out of bounds.
    pub fn take_message(&mut self) -> Result<Option<BytesMut>, PgError> {
        if self.input.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length = (&self.input[1..HEADER_BYTES]).get_u32() as usize;
        if !(HEADER_BYTES - 1..MESSAGE_BYTES_MAX).contains(&length) {
            return Err(PgError::InvalidLength(length));
        }
        if self.input.len() < length + 1 {
            return Ok(None);
        }
        Ok(Some(self.input.split_to(length + 1)))
    }

    /// Sends encoded messages.
    ///
    /// # Errors
    ///
    /// [`PgError::Io`] if the socket fails.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), PgError> {
        self.stream.write_all(bytes).await?;
        Ok(())
    }
}

/// Encodes client messages into one buffer.
///
/// # Errors
///
/// If a message cannot be encoded.
pub fn encode_frontend(messages: &[PgWireFrontendMessage]) -> Result<BytesMut, PgError> {
    let mut bytes = BytesMut::new();
    for message in messages {
        message.encode(&mut bytes)?;
    }
    Ok(bytes)
}

/// Encodes server messages into one buffer.
///
/// # Errors
///
/// If a message cannot be encoded.
pub fn encode_backend(messages: &[PgWireBackendMessage]) -> Result<BytesMut, PgError> {
    let mut bytes = BytesMut::new();
    for message in messages {
        message.encode(&mut bytes)?;
    }
    Ok(bytes)
}
