//! The WebSocket stream of a link.

use smol::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::compat::Compat;

/// WebSocket stream of a link.
pub(crate) type LinkStream = WebSocketStream<Compat<TcpStream>>;

/// Size of the read buffer, in bytes. Each link holds one, and all of it is cleared
/// before each read; most messages are a few hundred bytes long.
const READ_BUFFER_SIZE: usize = 4 << 10;
/// Bytes that are collected before they are written. Frames are flushed anyway when
/// none is queued.
const WRITE_BUFFER_SIZE: usize = 8 << 10;
/// Largest message, in bytes: several times the list of instances of a large fleet.
pub(crate) const MESSAGE_SIZE_MAX: usize = 16 << 20;

/// Limits and buffers of a link.
pub(crate) fn link_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_SIZE)
        .write_buffer_size(WRITE_BUFFER_SIZE)
        .max_message_size(Some(MESSAGE_SIZE_MAX))
        .max_frame_size(Some(MESSAGE_SIZE_MAX))
}
