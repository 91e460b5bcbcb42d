//! The controller lease: this process's lease at the key-value store, to which all of its shard
//! leases are attached.

use crate::time::Micros;

/// Maximum drift between two monotonic clocks, in parts per thousand, both directions together.
pub const CLOCK_DRIFT_PER_MILLE: u64 = 1;
/// Margin by which the validity of the lease is shortened, in addition to clock drift.
const VALIDITY_MARGIN: Micros = Micros::millis(50);

/// Interval between renewals of a lease with this time to live.
pub fn renewal_interval(ttl: Micros) -> Micros {
    Micros(ttl.0 / 4)
}

/// This process's lease at the key-value store.
#[derive(Debug, Clone, Default)]
pub struct ControllerLease {
    /// Number of the lease at the store; `None` while there is no lease.
    pub id: Option<u64>,
    /// Time until which the lease is guaranteed to be valid, by this process's clock.
    pub valid_until: Micros,
    /// When to renew the lease, or to request one while there is none.
    pub renew_at: Micros,
    /// A grant or a renewal is in flight.
    pub call_in_flight: bool,
    /// Incremented with every grant and every expiry: replies to calls that were sent under an
    /// earlier epoch are ignored.
    pub epoch: u64,
}

impl ControllerLease {
    /// Records a new lease that was granted by a call sent at `sent_at`.
    pub fn grant(&mut self, id: u64, sent_at: Micros, ttl: Micros) {
        self.id = Some(id);
        self.epoch += 1;
        self.valid_until = Micros::ZERO;
        self.extend(sent_at, ttl);
    }

    /// Extends the validity after a grant or renewal that was *sent* at `sent_at` succeeded.
    /// Counting from the reply would overstate the validity by the time that the reply took.
    pub fn extend(&mut self, sent_at: Micros, ttl: Micros) {
        let until = sent_at + ttl.shortened(CLOCK_DRIFT_PER_MILLE).since(VALIDITY_MARGIN);
        self.valid_until = self.valid_until.max(until);
        self.renew_at = sent_at + renewal_interval(ttl);
    }

    /// Records that the store no longer has the lease nor any shard lease attached to it. A new
    /// lease is requested immediately.
    pub fn expire(&mut self, now: Micros) {
        self.id = None;
        self.valid_until = Micros::ZERO;
        self.epoch += 1;
        self.renew_at = now;
    }

    /// True while this process may act as the leader of its shards.
    pub fn is_valid(&self, now: Micros) -> bool {
        self.id.is_some() && now < self.valid_until
    }
}
