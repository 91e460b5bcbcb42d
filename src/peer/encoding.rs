//! Frames on a connection: a length of four bytes, and the message.

use super::Frame;
use prost::{DecodeError, Message};
use thiserror::Error;

/// Largest frame accepted from a peer, in bytes; a larger one ends the connection.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Bytes of the length in front of a frame, the most significant first.
const LENGTH_BYTES: usize = size_of::<u32>();

/// Why a frame cannot be read; its connection must be closed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length in front is more than a frame may have.
    #[error("a frame of {length} bytes, of which at most {MAX_FRAME_BYTES} are accepted")]
    TooLarge {
        /// The length in front, in bytes.
        length: usize,
    },
    /// The bytes are no message.
    #[error("a frame of {length} bytes cannot be decoded: {source}")]
    Malformed {
        /// The length in front, in bytes.
        length: usize,
        /// What is wrong with them.
        source: DecodeError,
    },
}

/// A frame at the front of a buffer.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadFrame {
    /// The message.
    pub frame: Frame,
    /// How many bytes of the buffer it takes, with the length in front.
    pub used: usize,
}

/// Appends a frame with its length in front.
pub fn write_frame(out: &mut Vec<u8>, frame: &Frame) {
    let length = frame.encoded_len();
    out.reserve(LENGTH_BYTES + length);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    // A Vec grows as needed, so encoding into it cannot run out of space.
    let _ = frame.encode(out);
}

/// Reads a frame from the front of `buffer`; `None` while it has not arrived in full.
pub fn read_frame(buffer: &[u8]) -> Result<Option<ReadFrame>, FrameError> {
    let Some(head) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*head) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge { length });
    }
    let used = LENGTH_BYTES + length;
    let Some(body) = buffer.get(LENGTH_BYTES..used) else {
        return Ok(None);
    };
    match Frame::decode(body) {
        Ok(frame) => Ok(Some(ReadFrame { frame, used })),
        Err(source) => Err(FrameError::Malformed { length, source }),
    }
}
