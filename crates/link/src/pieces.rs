//! Large frames travel in pieces, so that small ones do not wait behind them.

use std::collections::{HashMap, VecDeque};

use compact_str::CompactString;

use crate::frame::{
    FrameOf, LinkFrame, LinkProtocol, WireError, decode_frame, encode_piece, id_of_undecoded,
};
use crate::stream::MESSAGE_SIZE_MAX;

/// Bytes of one piece; larger frames are split.
pub(crate) const PIECE_SIZE: usize = 16 << 10;

/// A frame that waits to be written, with the number of its call.
#[derive(Debug)]
pub(crate) struct QueuedFrame {
    pub(crate) id: u64,
    pub(crate) bytes: Vec<u8>,
}

/// Large frames under way; their pieces take turns.
#[derive(Debug, Default)]
pub(crate) struct PieceQueue {
    frames: VecDeque<(QueuedFrame, usize)>,
}

impl PieceQueue {
    pub(crate) fn push(&mut self, frame: QueuedFrame) {
        self.frames.push_back((frame, 0));
    }

    /// Encodes the next piece.
    pub(crate) fn next_piece(&mut self) -> Option<Result<Vec<u8>, WireError>> {
        let (frame, start) = self.frames.pop_front()?;
        let end = (start + PIECE_SIZE).min(frame.bytes.len());
        let is_last = end == frame.bytes.len();
        let piece = encode_piece(frame.id, is_last, &frame.bytes[start..end]);
        if !is_last {
            self.frames.push_back((frame, end));
        }
        Some(piece)
    }
}

/// Frames of which some pieces have arrived, by the number of their call.
#[derive(Debug, Default)]
pub(crate) struct PieceBuffer {
    frames: HashMap<u64, Vec<u8>>,
    size: usize,
}

impl PieceBuffer {
    /// Adds a piece. Returns the frame once it is whole.
    ///
    /// # Errors
    ///
    /// When the pieces held are larger than a message may be.
    pub(crate) fn add(
        &mut self,
        id: u64,
        is_last: bool,
        bytes: &[u8],
    ) -> Result<Option<Vec<u8>>, WireError> {
        self.size += bytes.len();
        if self.size > MESSAGE_SIZE_MAX {
            return Err(WireError::TooLarge(self.size));
        }
        let frame = self.frames.entry(id).or_default();
        frame.extend_from_slice(bytes);
        if !is_last {
            return Ok(None);
        }
        let frame = self.frames.remove(&id).unwrap_or_default();
        self.size -= frame.len();
        Ok(Some(frame))
    }

    /// Takes a message that was received.
    ///
    /// # Errors
    ///
    /// When it cannot be read, and not even the number of its call.
    pub(crate) fn receive<P: LinkProtocol>(
        &mut self,
        bytes: &[u8],
    ) -> Result<ReceivedFrame<P>, WireError> {
        let frame = match decode_frame::<P>(bytes) {
            Ok(frame) => frame,
            Err(error) => return unreadable(bytes, error),
        };
        let LinkFrame::Piece { id, is_last, bytes } = frame else {
            return Ok(ReceivedFrame::Whole(frame));
        };
        let Some(bytes) = self.add(id, is_last, &bytes)? else {
            return Ok(ReceivedFrame::Piece(id));
        };
        match decode_frame::<P>(&bytes) {
            Ok(frame) => Ok(ReceivedFrame::Whole(frame)),
            Err(error) => unreadable(&bytes, error),
        }
    }
}

/// What a message that was received is.
pub(crate) enum ReceivedFrame<P: LinkProtocol> {
    /// A frame.
    Whole(FrameOf<P>),
    /// A piece of the frame of this call, which is not whole yet.
    Piece(u64),
    /// A frame of this call that cannot be read, and why.
    Unreadable(u64, CompactString),
}

/// One message that cannot be read costs its call, and not the link.
fn unreadable<P: LinkProtocol>(
    bytes: &[u8],
    error: WireError,
) -> Result<ReceivedFrame<P>, WireError> {
    match id_of_undecoded(bytes) {
        Some(id) => Ok(ReceivedFrame::Unreadable(id, error.to_string().into())),
        None => Err(error),
    }
}
