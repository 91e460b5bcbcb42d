//! This node's share of the key-value store's rates.

use super::KvRequest;
use crate::time::Micros;

/// What rounding may take off a bucket's level.
const ROUNDING: f64 = 1e-9;

/// Tokens that refill with time; one second's worth may be saved up.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Micros,
}

impl Bucket {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64) -> Bucket {
        let burst = burst.max(1.0);
        Bucket { rate, burst, level: burst, at: Micros::ZERO }
    }

    /// Refills up to `now` and tells what is there.
    pub fn level(&mut self, now: Micros) -> f64 {
        let gain = now.since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gain).min(self.burst);
        self.at = now;
        self.level
    }

    /// Most that may be saved up.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Takes `amount`, going below zero if need be: an urgent call is never held
    /// back, and later ones make up for it.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// When `amount` will be there.
    pub fn wait(&self, amount: f64) -> Micros {
        // More than the burst can never be there at once; a full bucket then does.
        let missing = amount.min(self.burst) - self.level;
        Micros::from_secs_f64(missing / self.rate)
    }

    /// True if `amount` may be taken now.
    pub fn allows(&mut self, now: Micros, amount: f64) -> bool {
        self.level(now) + ROUNDING >= amount.min(self.burst)
    }
}

/// Part of the key-value store's request rate that is used; the rest is for
/// renewals, which are never held back.
pub const REQUEST_RATE_SHARE: f64 = 0.9;

/// Part of its rate of changes that is used; renewals are none, so what is left
/// is for clocks that differ.
pub const WRITE_RATE_SHARE: f64 = 0.97;

/// This node's share of the key-value store's rates. The service counts all
/// nodes together, so each takes an equal part and leaves a little unused for
/// renewals, which are never held back.
#[derive(Debug, Clone)]
pub struct Budget {
    calls: Bucket,
    puts: Bucket,
}

impl Budget {
    /// The share of one of `nodes` nodes.
    pub fn new(rps: f64, write_rps: f64, nodes: usize) -> Budget {
        let nodes = nodes.max(1) as f64;
        let calls = rps * REQUEST_RATE_SHARE / nodes;
        let puts = write_rps * WRITE_RATE_SHARE / nodes;
        Budget { calls: Bucket::new(calls, calls), puts: Bucket::new(puts, puts) }
    }

    /// Takes a call's cost if it may go out now.
    pub fn admit(&mut self, now: Micros, call: &KvRequest) -> bool {
        let puts = call.puts() as f64;
        let allowed = call.urgent() || (self.calls.allows(now, 1.0) && self.puts.allows(now, puts));
        if allowed {
            self.calls.take(1.0);
            self.puts.take(puts);
        }
        allowed
    }

    /// When a call of this cost could go out.
    pub fn wait(&self, call: &KvRequest) -> Micros {
        self.calls.wait(1.0).max(self.puts.wait(call.puts() as f64))
    }
}
