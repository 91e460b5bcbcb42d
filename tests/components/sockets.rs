//! Tests of the runtime's socket limits and write buffers.

use millethold::runtime::{client_fits, command_fits, drop_written, peer_backlog};

#[test]
fn socket_limits_and_write_buffers() {
    // Socket limit, open client connections, open command connections, whether another client
    // connection fits, whether another command connection fits.
    let table = [
        (3_092, 1_900, 0, true, true),
        (3_092, 1_900, 974, true, true),
        // Command connections leave a sixteenth of the sockets to clients, which may use it.
        (3_092, 1_900, 975, true, false),
        (3_092, 1_900, 1_167, true, false),
        (3_092, 1_900, 1_168, false, false),
        // Command connections take at most a third of the sockets, however few clients there are.
        (3_092, 10, 1_029, true, true),
        (3_092, 10, 1_030, true, false),
        (3_092, 3_068, 0, false, false),
        (32, 7, 0, true, false),
    ];
    for (limit, clients, commands, another_client_fits, another_command_fits) in table {
        let got = (client_fits(limit, clients, commands), command_fits(limit, clients, commands));
        assert_eq!(
            got,
            (another_client_fits, another_command_fits),
            "{limit} {clients} {commands}"
        );
    }
    const MB: usize = 1024 * 1024;
    for (mem_mb, want) in [(16.0, 4 * MB), (88.0, 11 * MB / 2), (258.0, 8 * MB)] {
        assert_eq!(peer_backlog(mem_mb), want, "{mem_mb}");
        assert!(want >= millethold::peer::MAX_FRAME_BYTES, "a frame of any size must fit");
    }
    // A buffer that is never quite empty holds at most a few times its unwritten bytes.
    let (mut buffer, mut written) = (Vec::new(), 0);
    for n in 0..1_000_u32 {
        buffer.extend_from_slice(&[n as u8; 1_000]);
        written += if n == 0 { 900 } else { 1_000 };
        drop_written(&mut buffer, &mut written);
        assert_eq!(buffer.len() - written, 100, "unwritten bytes");
        assert_eq!(buffer[written..], [n as u8; 100]);
        assert!(buffer.capacity() < 4_000, "{} bytes for 100", buffer.capacity());
    }
}
