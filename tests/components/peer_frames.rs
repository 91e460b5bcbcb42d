//! Tests of the length-prefixed frames between controllers.

use millethold::peer::{self, Frame, ReadFrame};

#[test]
fn frames_round_trip() {
    let frame =
        Frame { member: "n1".into(), incarnation: 9, lease_valid: true, ..Frame::default() };
    let mut bytes = Vec::new();
    peer::write_frame(&mut bytes, &frame);
    assert_eq!(peer::read_frame(&bytes), Ok(Some(ReadFrame { frame, used: bytes.len() })));
    for length in 0..bytes.len() {
        assert_eq!(peer::read_frame(&bytes[..length]), Ok(None), "first {length} bytes");
    }
    let too_large = (peer::MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    assert!(peer::read_frame(&too_large).is_err());
    assert!(peer::read_frame(&[0, 0, 0, 2, 0xff, 0xff]).is_err());
}
