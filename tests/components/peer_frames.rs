//! Frames between controllers.

use millethold::peer::{self, Frame, ReadFrame};

#[test]
fn frames() {
    let frame = Frame { member: "n1".into(), incarnation: 9, state_ok: true, ..Frame::default() };
    let mut bytes = Vec::new();
    peer::write_frame(&mut bytes, &frame);
    assert_eq!(peer::read_frame(&bytes), Ok(Some(ReadFrame { frame, used: bytes.len() })));
    for cut in 0..bytes.len() {
        assert_eq!(peer::read_frame(&bytes[..cut]), Ok(None), "cut at {cut}");
    }
    let large = (peer::MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    assert!(peer::read_frame(&large).is_err());
    assert!(peer::read_frame(&[0, 0, 0, 2, 0xff, 0xff]).is_err());
}
