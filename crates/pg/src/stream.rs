//! Moves whole protocol messages over a socket.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf, BytesMut};
use futures_lite::{AsyncRead, AsyncWriteExt};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use smol::net::TcpStream;

use crate::error::PgError;

/// Largest message accepted, in bytes.
const MESSAGE_BYTES_MAX: usize = 64 << 20;
/// Bytes asked from the socket at once.
const READ_BYTES: usize = 4 << 10;
/// Bytes of a message before its body: type and length.
const HEADER_BYTES: usize = 5;

/// A socket with its buffer of bytes not yet taken.
#[derive(Debug)]
pub struct MessageStream {
    stream: TcpStream,
    input: BytesMut,
}

impl MessageStream {
    /// Wraps a connected socket.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        // Without it an answer may wait for the acknowledgement of the last.
        stream.set_nodelay(true).ok();
        Self {
            stream,
            input: BytesMut::new(),
        }
    }

    /// Bytes received and not yet taken.
    pub fn input_mut(&mut self) -> &mut BytesMut {
        &mut self.input
    }

    /// Whether bytes lie in the buffer that nobody has asked for.
    #[must_use]
    pub fn has_unread_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Waits for more bytes. Safe to cancel: nothing received is lost.
    ///
    /// # Errors
    ///
    /// [`PgError::Closed`] at the end of the stream, else the socket's error.
    pub async fn fill(&mut self) -> Result<(), PgError> {
        let count = poll_fn(|context| self.poll_fill(context)).await?;
        if count == 0 {
            return Err(PgError::Closed);
        }
        Ok(())
    }

    /// Reads straight into the buffer, so that an idle connection keeps no
    /// second one. The room made for the read is given back in the same call.
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

    /// The next whole message with its header. Safe to cancel.
    ///
    /// # Errors
    ///
    /// When the connection ends or a length is impossible.
    pub async fn read_message(&mut self) -> Result<BytesMut, PgError> {
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    /// A whole message from the buffer, if there is one.
    ///
    /// # Errors
    ///
    /// When the length is impossible.
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

    /// Sends bytes that are already encoded.
    ///
    /// # Errors
    ///
    /// The socket's error.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), PgError> {
        self.stream.write_all(bytes).await?;
        Ok(())
    }
}

/// Encodes messages of a client, one after the other.
///
/// # Errors
///
/// When a message cannot be expressed in the protocol.
pub fn encode_frontend(messages: &[PgWireFrontendMessage]) -> Result<BytesMut, PgError> {
    let mut bytes = BytesMut::new();
    for message in messages {
        message.encode(&mut bytes)?;
    }
    Ok(bytes)
}

/// Encodes messages of a server, one after the other.
///
/// # Errors
///
/// When a message cannot be expressed in the protocol.
pub fn encode_backend(messages: &[PgWireBackendMessage]) -> Result<BytesMut, PgError> {
    let mut bytes = BytesMut::new();
    for message in messages {
        message.encode(&mut bytes)?;
    }
    Ok(bytes)
}
