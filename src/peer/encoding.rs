//! Encoding of frames on a connection: a four-byte length prefix, then the message.

use super::Frame;
use prost::{DecodeError, Message};
use thiserror::Error;

/// Largest frame accepted from a peer, in bytes; a larger one ends the connection.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Size of the length prefix of a frame, which is in big-endian order.
const LENGTH_PREFIX_BYTES: usize = size_of::<u32>();

/// Why a frame cannot be read. Its connection must be closed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length prefix exceeds [`MAX_FRAME_BYTES`].
    #[error("frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLarge {
        /// Value of the length prefix.
        length: usize,
    },
    /// The bytes are not a valid message.
    #[error("a frame of {length} bytes cannot be decoded: {source}")]
    Malformed {
        /// Value of the length prefix.
        length: usize,
        /// Error of the decoder.
        source: DecodeError,
    },
}

/// A frame read from the front of a buffer.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadFrame {
    /// The decoded message.
    pub frame: Frame,
    /// Bytes that the frame occupies in the buffer, including the length prefix.
    pub used: usize,
}

/// Appends a frame and its length prefix to `out`.
pub fn write_frame(out: &mut Vec<u8>, frame: &Frame) {
    let length = frame.encoded_len();
    out.reserve(LENGTH_PREFIX_BYTES + length);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    // A Vec grows as needed, so encoding into it cannot run out of space.
    let _ = frame.encode(out);
}

/// Reads a frame from the front of `buffer`; `None` until the whole frame has arrived.
pub fn read_frame(buffer: &[u8]) -> Result<Option<ReadFrame>, FrameError> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge { length });
    }
    let used = LENGTH_PREFIX_BYTES + length;
    let Some(body) = buffer.get(LENGTH_PREFIX_BYTES..used) else {
        return Ok(None);
    };
    match Frame::decode(body) {
        Ok(frame) => Ok(Some(ReadFrame { frame, used })),
        Err(source) => Err(FrameError::Malformed { length, source }),
    }
}
