//! Frames of a link and their CBOR encoding.

use compact_str::CompactString;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::stream::MESSAGE_SIZE_MAX;

/// Bytes that the encoding of a piece adds at most.
const PIECE_OVERHEAD: usize = 32;
/// Least size of the buffer in which the decoder holds one text.
const SCRATCH_SIZE_MIN: usize = 256;

/// Why a frame cannot be decoded or encoded.
#[derive(Debug, Error)]
pub enum WireError {
    /// The bytes are not a frame.
    #[error("frame cannot be read: {0}")]
    Read(#[from] ciborium::de::Error<std::io::Error>),
    /// The frame cannot be serialized.
    #[error("frame cannot be written: {0}")]
    Write(#[from] ciborium::ser::Error<std::io::Error>),
    /// The frame has more bytes than a message of a link may have.
    #[error("frame of {0} bytes is too large for a link")]
    TooLarge(usize),
    /// The version in a hello (first field) differs from this host's (second field).
    #[error("frame has version {0}, this host speaks {1}")]
    Version(u16, u16),
}

/// Calls and replies of one kind of link, with their wire types.
pub trait LinkProtocol: Send + Sync + 'static {
    /// Version of the wire types. A host refuses links of another version.
    const VERSION: u16;
    /// A call, as the code on both sides handles it.
    type Call: Send + 'static;
    /// A reply to a call, as the code on both sides handles it.
    type Reply: Send + std::fmt::Debug + 'static;
    /// Wire type of a call.
    type WireCall: Serialize + DeserializeOwned + From<Self::Call> + Into<Self::Call> + Send;
    /// Wire type of a reply.
    type WireReply: Serialize + DeserializeOwned + From<Self::Reply> + Into<Self::Reply> + Send;
}

/// A frame of a link.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum LinkFrame<C, R> {
    /// First frame, sent by the side that connected.
    Hello {
        /// Version of the sender's wire types.
        version: u16,
        /// Name of the connecting host.
        host: CompactString,
    },
    /// A numbered call.
    Call {
        /// Number of the call on its link.
        id: u64,
        /// The call.
        call: C,
    },
    /// The reply to a call.
    Reply {
        /// Number of the call that it answers.
        id: u64,
        /// The reply.
        reply: R,
    },
    /// Sent in place of a reply that cannot be sent.
    NoReply {
        /// Number of the call.
        id: u64,
        /// Why there is no reply.
        why: CompactString,
    },
    /// A part of a large frame.
    #[serde(rename = "P")]
    Piece {
        /// Number of the call that the large frame belongs to.
        #[serde(rename = "i")]
        id: u64,
        /// Whether it is the last part.
        #[serde(rename = "l")]
        is_last: bool,
        /// The bytes.
        #[serde(rename = "b", with = "serde_bytes")]
        bytes: Vec<u8>,
    },
}

/// Frame type of a protocol.
pub(crate) type FrameOf<P> =
    LinkFrame<<P as LinkProtocol>::WireCall, <P as LinkProtocol>::WireReply>;

/// Encodes a frame.
///
/// # Errors
///
/// When it cannot be serialized or is too large. The other side would close the
/// link on such a frame, and lose all other calls on it.
pub(crate) fn encode_frame<P: LinkProtocol>(frame: &FrameOf<P>) -> Result<Vec<u8>, WireError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes)?;
    if bytes.len() > MESSAGE_SIZE_MAX {
        return Err(WireError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Encodes a part of a large frame.
///
/// # Errors
///
/// When it cannot be serialized.
pub(crate) fn encode_piece(id: u64, is_last: bool, bytes: &[u8]) -> Result<Vec<u8>, WireError> {
    let frame = LinkFrame::<(), ()>::Piece {
        id,
        is_last,
        bytes: bytes.to_vec(),
    };
    let mut encoded = Vec::with_capacity(bytes.len() + PIECE_OVERHEAD);
    ciborium::into_writer(&frame, &mut encoded)?;
    Ok(encoded)
}

/// Number of the call or reply in a frame whose content cannot be decoded.
pub(crate) fn id_of_undecoded(bytes: &[u8]) -> Option<u64> {
    let mut scratch = vec![0; bytes.len().max(SCRATCH_SIZE_MIN)];
    let frame: Result<LinkFrame<IgnoredAny, IgnoredAny>, _> =
        ciborium::de::from_reader_with_buffer(bytes, &mut scratch);
    match frame.ok()? {
        LinkFrame::Call { id, .. } | LinkFrame::Reply { id, .. } => Some(id),
        LinkFrame::Hello { .. } | LinkFrame::NoReply { .. } | LinkFrame::Piece { .. } => None,
    }
}

/// Decodes a frame and checks the version of a hello.
///
/// # Errors
///
/// When the bytes are not a frame, or a hello has another version.
pub(crate) fn decode_frame<P: LinkProtocol>(bytes: &[u8]) -> Result<FrameOf<P>, WireError> {
    // No text is longer than its frame.
    let mut scratch = vec![0; bytes.len().max(SCRATCH_SIZE_MIN)];
    let frame: FrameOf<P> = ciborium::de::from_reader_with_buffer(bytes, &mut scratch)?;
    if let LinkFrame::Hello { version, .. } = &frame
        && *version != P::VERSION
    {
        return Err(WireError::Version(*version, P::VERSION));
    }
    Ok(frame)
}
