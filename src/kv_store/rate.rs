//! This controller's share of the key-value store's rates.

use super::KvRequest;
use crate::time::Micros;

/// What rounding may take off a bucket's level, in tokens.
const ROUNDING_TOKENS: f64 = 1e-9;

/// A token bucket: tokens refill with time, up to a burst.
#[derive(Debug, Clone)]
pub struct Bucket {
    /// Tokens per second.
    rate: f64,
    /// Tokens that it holds at most.
    burst: f64,
    /// Tokens that it held at `refilled_at`; below zero after urgent requests.
    level: f64,
    refilled_at: Micros,
}

impl Bucket {
    /// A full bucket of `rate` tokens per second.
    pub fn new(rate: f64, burst: f64) -> Bucket {
        let burst = burst.max(1.0);
        Bucket { rate, burst, level: burst, refilled_at: Micros::ZERO }
    }

    /// Refills up to `now`, and gives the tokens that it holds.
    pub fn level(&mut self, now: Micros) -> f64 {
        let gain = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.level = (self.level + gain).min(self.burst);
        self.refilled_at = now;
        self.level
    }

    /// Tokens that it holds at most.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Takes `amount` tokens, going below zero if need be: an urgent request is never
    /// held back, and later ones make up for it.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Whether `amount` tokens may be taken now.
    pub fn allows(&mut self, now: Micros, amount: f64) -> bool {
        self.level(now) + ROUNDING_TOKENS >= amount.min(self.burst)
    }
}

/// Share of the key-value store's request rate that is used; the rest is for
/// renewals, which are never held back.
pub const REQUEST_RATE_SHARE: f64 = 0.9;

/// Share of its rate of changes that is used; renewals change nothing, so what is left
/// is for clocks that differ.
pub const WRITE_RATE_SHARE: f64 = 0.97;

/// This controller's share of the key-value store's rates. The store counts all
/// members together, so each takes an equal share and leaves a little unused for
/// renewals, which are never held back.
#[derive(Debug, Clone)]
pub struct Budget {
    requests: Bucket,
    writes: Bucket,
}

impl Budget {
    /// The share of one of `members`, of `rps` requests and `write_rps` changes per second.
    pub fn new(rps: f64, write_rps: f64, members: usize) -> Budget {
        let members = members.max(1) as f64;
        let requests = rps * REQUEST_RATE_SHARE / members;
        let writes = write_rps * WRITE_RATE_SHARE / members;
        Budget { requests: Bucket::new(requests, requests), writes: Bucket::new(writes, writes) }
    }

    /// Takes a request's cost if it may be sent now.
    pub fn admit(&mut self, now: Micros, request: &KvRequest) -> bool {
        let writes = request.writes() as f64;
        let allowed = request.is_urgent()
            || (self.requests.allows(now, 1.0) && self.writes.allows(now, writes));
        if allowed {
            self.requests.take(1.0);
            self.writes.take(writes);
        }
        allowed
    }
}
