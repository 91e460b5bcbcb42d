//! This process's lease at the key-value store, to which all of its shard leases are attached.

use crate::time::Micros;

/// Parts per thousand that two steady clocks may differ, both ways together.
pub const CLOCK_DRIFT_PER_MILLE: u64 = 1;
/// What the lease counts as shorter than granted, beside the drift of clocks.
const VALIDITY_MARGIN: Micros = Micros::millis(50);

/// How often a lease of this length is renewed.
pub fn renewal_interval(ttl: Micros) -> Micros {
    Micros(ttl.0 / 4)
}

/// This process's lease at the key-value store.
#[derive(Debug, Clone, Default)]
pub struct ControllerLease {
    /// Its number at the store, while there is one.
    pub id: Option<u64>,
    /// Until when it is surely valid, by this process's clock.
    pub valid_until: Micros,
    /// When to renew it.
    pub renew_at: Micros,
    /// A grant or a renewal is in flight.
    pub call_in_flight: bool,
    /// Counts leases: replies to calls that were sent under an earlier one are ignored.
    pub epoch: u64,
}

impl ControllerLease {
    /// A new lease was granted by a call that was sent at `sent`.
    pub fn grant(&mut self, id: u64, sent: Micros, ttl: Micros) {
        self.id = Some(id);
        self.epoch += 1;
        self.valid_until = Micros::ZERO;
        self.extend(sent, ttl);
    }

    /// A grant or renewal that was *sent* at `sent` succeeded. Counting from
    /// the answer would overstate it by the time that the answer took.
    pub fn extend(&mut self, sent: Micros, ttl: Micros) {
        let until = sent + ttl.shortened(CLOCK_DRIFT_PER_MILLE).since(VALIDITY_MARGIN);
        self.valid_until = self.valid_until.max(until);
        self.renew_at = sent + renewal_interval(ttl);
    }

    /// The store no longer has the lease, and every shard lease went with it. A new one is
    /// requested at once.
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
