//! How many connections and bytes there may be, and how long each thing may take.

use crate::peer;
use crate::time::Micros;

/// A connection that has sent part of a request is closed after this long.
pub(super) const SLOW_SENDER_TIMEOUT: Micros = Micros::secs(10);
/// An idle connection of a user or worker is closed after this long.
pub(super) const IDLE_SENDER_TIMEOUT: Micros = Micros::secs(120);
/// An idle connection for commands to a worker is closed after this long.
pub(super) const IDLE_COMMAND_TIMEOUT: Micros = Micros::secs(30);
/// A connection attempt is given up after this long.
pub(super) const CONNECT_TIMEOUT: Micros = Micros::millis(1_500);
/// How long the answer to a command may take.
pub(super) const COMMAND_TIMEOUT: Micros = Micros::secs(3);
/// How long the answer to a request for a worker's status may take.
pub(super) const INSPECT_TIMEOUT: Micros = Micros::secs(2);

/// Between attempts to reach a peer.
pub(super) const PEER_RETRY_INTERVAL: Micros = Micros::millis(300);
/// A peer that has read nothing for so long stands still or is cut off: what
/// waits for it is dropped, and it is sent all anew once it is heard from again.
pub(super) const STALLED_PEER_TIMEOUT: Micros = Micros::secs(4);
/// Part of the memory that may wait to be written to one peer.
const PEER_BACKLOG_SHARE: f64 = 1.0 / 16.0;

/// Connections to the key-value store for calls that do not wait.
pub(super) const MAX_KV_STORE_CONNECTIONS: usize = 8;
/// Connections to the key-value store for watches.
pub(super) const MAX_WATCH_CONNECTIONS: usize = 8;
/// Connections to the key-value store for leases.
pub(super) const MAX_LEASE_CONNECTIONS: usize = 2;
/// Connections to the cloud.
pub(super) const MAX_CLOUD_CONNECTIONS: usize = 2;
/// Connections for commands to one worker.
pub(super) const MAX_WORKER_CONNECTIONS: usize = 1;
/// Calls that may wait for the key-value store's rate.
pub(super) const MAX_THROTTLED_CALLS: usize = 512;

/// Connections that may wait to be accepted: after a restart the whole fleet
/// and all users come at once. The system may allow fewer.
pub(super) const LISTEN_BACKLOG: i32 = 4_096;
/// Connections accepted in one turn, so that a flood of them leaves the other
/// sockets their turn.
pub(super) const MAX_ACCEPTED_PER_TURN: usize = 32;
/// Sockets kept for listening, the key-value store, the cloud and peers.
const RESERVED_SOCKETS: usize = 24;
/// Commands to workers may take one part in this many of the sockets. A
/// connection for heartbeats and one for commands for every machine would not fit
/// on one node that runs the whole fleet.
const COMMAND_SOCKETS_DIVISOR: usize = 3;
/// Commands leave one part in this many of the sockets free for senders.
const SENDER_SPARE_DIVISOR: usize = 16;

/// Bytes read from a socket at once.
pub(super) const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Buffers of quiet connections above this are given back: thousands of them
/// would hold what each once needed.
pub(super) const QUIET_BUFFER_BYTES: usize = 512;
/// The same for connections between controllers, which are few and busy.
pub(super) const PEER_BUFFER_BYTES: usize = 64 * 1024;

/// Between two turns of the timer while something waits for it.
pub(super) const BUSY_TICK_INTERVAL: Micros = Micros::millis(10);
/// Between two turns of the timer otherwise.
pub(super) const QUIET_TICK_INTERVAL: Micros = Micros::millis(50);
/// Between two searches for connections that are slow or idle.
pub(super) const SWEEP_INTERVAL: Micros = Micros::secs(1);
/// The timer fires every few milliseconds. After a gap like this the process
/// stood still: answers may lie unread, and their calls are not timed out yet.
pub(super) const STANDSTILL_GAP: Micros = Micros::secs(1);
/// How long calls do not time out then, so that their answers can be read.
pub(super) const TIMEOUT_PAUSE: Micros = Micros::millis(500);

/// A page for people is made anew after this long.
pub(super) const MAX_PAGE_AGE: Micros = Micros::secs(1);

/// Whether one more user, worker or prober fits beside the connections that
/// there are, of `limit` sockets.
pub fn sender_fits(limit: usize, senders: usize, commanding: usize) -> bool {
    senders + commanding + RESERVED_SOCKETS < limit
}

/// Whether one more connection for commands fits: some sockets stay free for senders.
pub fn command_fits(limit: usize, senders: usize, commanding: usize) -> bool {
    let spare = limit / SENDER_SPARE_DIVISOR;
    commanding < limit / COMMAND_SOCKETS_DIVISOR && sender_fits(limit, senders + spare, commanding)
}

/// What may wait to be written to a peer before its connection is given up: a
/// part of the memory, since a peer that stands still reads nothing. It holds a
/// frame of any size that peers take.
pub fn peer_backlog(mem_mb: f64) -> usize {
    let share = (mem_mb * 1024.0 * 1024.0 * PEER_BACKLOG_SHARE) as usize;
    share.clamp(peer::MAX_FRAME_BYTES, 2 * peer::MAX_FRAME_BYTES)
}
