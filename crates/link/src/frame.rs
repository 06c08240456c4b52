//! Frames as they go over a link.

use compact_str::CompactString;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A frame that cannot be read or written.
#[derive(Debug, Error)]
pub enum WireError {
    /// The bytes are not a frame.
    #[error("frame cannot be read: {0}")]
    Read(#[from] ciborium::de::Error<std::io::Error>),
    /// The frame cannot be written.
    #[error("frame cannot be written: {0}")]
    Write(#[from] ciborium::ser::Error<std::io::Error>),
    /// The other host speaks another version.
    #[error("frame has version {0}, this host speaks {1}")]
    Version(u16, u16),
}

/// The calls and replies of one kind of link, and how they go over the wire.
pub trait LinkProtocol: Send + Sync + 'static {
    /// Version of the wire types. A host refuses frames of another one.
    const VERSION: u16;
    /// A call.
    type Call: Send + 'static;
    /// Its reply.
    type Reply: Send + std::fmt::Debug + 'static;
    /// A call on the wire.
    type WireCall: Serialize + DeserializeOwned + From<Self::Call> + Into<Self::Call> + Send;
    /// A reply on the wire.
    type WireReply: Serialize + DeserializeOwned + From<Self::Reply> + Into<Self::Reply> + Send;
}

/// One frame.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum LinkFrame<C, R> {
    /// First frame of the side that connected.
    Hello {
        /// Version of the wire format.
        version: u16,
        /// Name of the host.
        host: CompactString,
    },
    /// A numbered call.
    Call {
        /// Number, which the reply repeats.
        id: u64,
        /// The call.
        call: C,
    },
    /// The reply to a call.
    Reply {
        /// Number of the call.
        id: u64,
        /// The reply.
        reply: R,
    },
}

/// The frames of a protocol.
pub(crate) type FrameOf<P> =
    LinkFrame<<P as LinkProtocol>::WireCall, <P as LinkProtocol>::WireReply>;

/// Encodes a frame.
///
/// # Errors
///
/// When it cannot be expressed.
pub(crate) fn encode_frame<P: LinkProtocol>(frame: &FrameOf<P>) -> Result<Vec<u8>, WireError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes)?;
    Ok(bytes)
}

/// Decodes a frame and checks the version of a greeting.
///
/// # Errors
///
/// When the bytes are no frame of this version.
pub(crate) fn decode_frame<P: LinkProtocol>(bytes: &[u8]) -> Result<FrameOf<P>, WireError> {
    let frame: FrameOf<P> = ciborium::from_reader(bytes)?;
    if let LinkFrame::Hello { version, .. } = &frame
        && *version != P::VERSION
    {
        return Err(WireError::Version(*version, P::VERSION));
    }
    Ok(frame)
}
