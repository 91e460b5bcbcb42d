//! Sockets and buffers of the runtime.

use millethold::runtime::{command_fits, drop_written, peer_backlog, sender_fits};

#[test]
fn sockets_and_buffers() {
    // Limit, senders, connections with commands; whether a sender and whether a
    // command still fits.
    let table = [
        (3_092, 1_900, 0, true, true),
        (3_092, 1_900, 974, true, true),
        // Commands leave a sixteenth to senders, which take it.
        (3_092, 1_900, 975, true, false),
        (3_092, 1_900, 1_167, true, false),
        (3_092, 1_900, 1_168, false, false),
        // Never more than a third, however few senders there are.
        (3_092, 10, 1_029, true, true),
        (3_092, 10, 1_030, true, false),
        (3_092, 3_068, 0, false, false),
        (32, 7, 0, true, false),
    ];
    for (limit, senders, commanding, sender, command) in table {
        let got =
            (sender_fits(limit, senders, commanding), command_fits(limit, senders, commanding));
        assert_eq!(got, (sender, command), "{limit} {senders} {commanding}");
    }
    const MB: usize = 1024 * 1024;
    for (mem_mb, want) in [(16.0, 4 * MB), (88.0, 11 * MB / 2), (258.0, 8 * MB)] {
        assert_eq!(peer_backlog(mem_mb), want, "{mem_mb}");
        assert!(want >= millethold::peer::MAX_FRAME_BYTES, "a frame of any size must fit");
    }
    // A buffer that always has something left holds no more than a few times that.
    let (mut buffer, mut written) = (Vec::new(), 0);
    for n in 0..1_000_u32 {
        buffer.extend_from_slice(&[n as u8; 1_000]);
        written += if n == 0 { 900 } else { 1_000 };
        drop_written(&mut buffer, &mut written);
        assert_eq!(buffer.len() - written, 100, "what is not written stays");
        assert_eq!(buffer[written..], [n as u8; 100]);
        assert!(buffer.capacity() < 4_000, "{} bytes for 100", buffer.capacity());
    }
}
