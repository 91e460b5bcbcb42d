//! Frames on a connection: a length of four bytes, and the message.

use super::Frame;
use prost::Message;

/// Largest frame taken from a peer; a larger one ends the connection.
pub const MAX_FRAME: usize = 4 * 1024 * 1024;

/// Bytes of the length in front of a frame, the most significant first.
const LENGTH_BYTES: usize = size_of::<u32>();

/// A frame that cannot be read; its connection must be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadFrame;

/// Appends a frame with its length in front.
pub fn write_frame(out: &mut Vec<u8>, frame: &Frame) {
    let length = frame.encoded_len();
    out.reserve(LENGTH_BYTES + length);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    // A Vec grows as needed, so encoding into it cannot run out of room.
    let _ = frame.encode(out);
}

/// Reads a frame from the front of `buffer`, with its length; `None` while it has
/// not arrived in full.
pub fn read_frame(buffer: &[u8]) -> Result<Option<(Frame, usize)>, BadFrame> {
    let Some(head) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*head) as usize;
    if length > MAX_FRAME {
        return Err(BadFrame);
    }
    let end = LENGTH_BYTES + length;
    let Some(body) = buffer.get(LENGTH_BYTES..end) else {
        return Ok(None);
    };
    let frame = Frame::decode(body).map_err(|_| BadFrame)?;
    Ok(Some((frame, end)))
}
