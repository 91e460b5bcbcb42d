//! Limits on connections, buffers and time.

use crate::peer;
use crate::time::Micros;

/// A client connection is closed after this long if a request has arrived only in part, or if the
/// client does not read its response.
pub(super) const SLOW_CLIENT_TIMEOUT: Micros = Micros::secs(10);
/// A client connection is closed if no request is in progress and nothing has arrived for this
/// long.
pub(super) const IDLE_CLIENT_TIMEOUT: Micros = Micros::secs(120);
/// An idle command connection to a worker is closed after this long.
pub(super) const IDLE_COMMAND_TIMEOUT: Micros = Micros::secs(30);
/// A connection attempt is abandoned after this long.
pub(super) const CONNECT_TIMEOUT: Micros = Micros::millis(1_500);
/// How long a worker may take to respond to commands.
pub(super) const COMMAND_TIMEOUT: Micros = Micros::secs(3);
/// How long a worker may take to respond to a status request.
pub(super) const INSPECT_TIMEOUT: Micros = Micros::secs(2);

/// Minimum time between attempts to connect to a peer.
pub(super) const PEER_RETRY_INTERVAL: Micros = Micros::millis(300);
/// A peer that has read nothing for this long is suspended or partitioned. Its connection is closed
/// and the waiting frames are dropped; after the reconnect it gets a full sync.
pub(super) const STALLED_PEER_TIMEOUT: Micros = Micros::secs(4);
/// Share of the process's memory that may hold unwritten bytes for one peer.
const PEER_BACKLOG_SHARE: f64 = 1.0 / 16.0;

/// Maximum connections to the key-value store for requests that it answers at once.
pub(super) const MAX_KV_STORE_CONNECTIONS: usize = 8;
/// Maximum connections to the key-value store for watches.
pub(super) const MAX_WATCH_CONNECTIONS: usize = 8;
/// Maximum connections to the key-value store for requests about leases.
pub(super) const MAX_LEASE_CONNECTIONS: usize = 2;
/// Maximum connections to the cloud.
pub(super) const MAX_CLOUD_CONNECTIONS: usize = 2;
/// Maximum connections to one worker.
pub(super) const MAX_WORKER_CONNECTIONS: usize = 1;
/// Maximum number of reads, and of writes, that may wait for the key-value store's rate limit.
pub(super) const MAX_THROTTLED_CALLS: usize = 512;

/// Maximum number of connections that may wait to be accepted: after a restart all workers and
/// users reconnect at once. The operating system may enforce a lower limit.
pub(super) const LISTEN_BACKLOG: i32 = 4_096;
/// Maximum number of connections accepted per readiness event, so that a burst of them does not
/// starve the other sockets.
pub(super) const MAX_ACCEPTS_PER_EVENT: usize = 32;
/// Sockets reserved for listeners, the key-value store, the cloud and peers.
const RESERVED_SOCKETS: usize = 24;
/// Command connections may use at most 1/N of the sockets, where N is this divisor. On a member
/// that serves all machines, a heartbeat and a command connection for each of them would not fit.
const COMMAND_SOCKETS_DIVISOR: usize = 3;
/// Command connections leave 1/N of the sockets free for clients, where N is this divisor.
const CLIENT_RESERVE_DIVISOR: usize = 16;

/// Maximum number of bytes per read from a socket.
pub(super) const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Empty buffers with a larger capacity are freed: thousands of idle connections would otherwise
/// each hold the largest buffer that they ever needed.
pub(super) const MAX_IDLE_BUFFER_BYTES: usize = 512;
/// The same limit for connections between controllers, which are few and busy.
pub(super) const MAX_IDLE_PEER_BUFFER_BYTES: usize = 64 * 1024;

/// Time between ticks while submissions or throttled calls wait.
pub(super) const BUSY_TICK_INTERVAL: Micros = Micros::millis(10);
/// Time between ticks otherwise.
pub(super) const IDLE_TICK_INTERVAL: Micros = Micros::millis(50);
/// Time between searches for slow and idle connections.
pub(super) const SWEEP_INTERVAL: Micros = Micros::secs(1);
/// Ticks are at most [`IDLE_TICK_INTERVAL`] apart; a longer gap than this means that the process
/// was suspended. Responses may then wait unread, so their calls must not time out yet.
pub(super) const STALL_THRESHOLD: Micros = Micros::secs(1);
/// How long calls do not time out after such a gap, so that their responses can be read.
pub(super) const TIMEOUT_PAUSE: Micros = Micros::millis(500);

/// A cached `/status` or `/queue` page is rebuilt after this long.
pub(super) const MAX_PAGE_AGE: Micros = Micros::secs(1);

/// Whether one more client connection is allowed, given `limit` sockets and the numbers of open
/// client and command connections.
pub fn client_fits(limit: usize, clients: usize, commands: usize) -> bool {
    clients + commands + RESERVED_SOCKETS < limit
}

/// Whether one more command connection is allowed; some sockets stay free for clients.
pub fn command_fits(limit: usize, clients: usize, commands: usize) -> bool {
    let reserve = limit / CLIENT_RESERVE_DIVISOR;
    commands < limit / COMMAND_SOCKETS_DIVISOR && client_fits(limit, clients + reserve, commands)
}

/// Maximum number of bytes that may wait to be written to a peer before its connection is closed.
/// It is a share of the memory, since a suspended peer reads nothing, at least the largest frame
/// that peers accept, and at most twice that.
pub fn peer_backlog(mem_mb: f64) -> usize {
    let bytes = (mem_mb * 1024.0 * 1024.0 * PEER_BACKLOG_SHARE) as usize;
    bytes.clamp(peer::MAX_FRAME_BYTES, 2 * peer::MAX_FRAME_BYTES)
}
