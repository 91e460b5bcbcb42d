//! Client-side rate limit: this member's share of the key-value store's request and write rates.

use super::KvRequest;
use crate::time::Micros;

/// Tolerance for rounding errors in a bucket's level, in tokens.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A token bucket that refills at a constant rate, up to a burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Maximum number of tokens.
    burst: f64,
    /// Tokens at `refilled_at`; negative after urgent requests and requests larger than the burst.
    level: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate` tokens per second; `burst` is at least one token.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        let burst = burst.max(1.0);
        TokenBucket { rate, burst, level: burst, refilled_at: Micros::ZERO }
    }

    /// Refills the bucket up to `now` and returns its tokens.
    pub fn level(&mut self, now: Micros) -> f64 {
        let gain = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.level = (self.level + gain).min(self.burst);
        self.refilled_at = now;
        self.level
    }

    /// Maximum number of tokens.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Takes `amount` tokens even if the level becomes negative: an urgent request is never held
    /// back, and later requests wait until the bucket has refilled.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Whether `amount` tokens may be taken now. An amount larger than the burst is allowed once
    /// the bucket is full.
    pub fn allows(&mut self, now: Micros, amount: f64) -> bool {
        self.level(now) + ROUNDING_TOLERANCE >= amount.min(self.burst)
    }
}

/// Share of the key-value store's request rate that is used; the rest is left for lease renewals,
/// which are never held back.
pub const REQUEST_RATE_SHARE: f64 = 0.9;

/// Share of the key-value store's write rate that is used. Lease renewals write nothing, so the
/// rest only allows for differences between clocks.
pub const WRITE_RATE_SHARE: f64 = 0.97;

/// This member's share of the key-value store's rates. The store's limits apply to all members
/// together, so each member takes an equal share and leaves a part unused for lease renewals, which
/// are never held back.
#[derive(Debug, Clone)]
pub struct RateBudget {
    requests: TokenBucket,
    writes: TokenBucket,
}

impl RateBudget {
    /// Creates the budget of one of `members`, where `rps` requests and `write_rps` written keys
    /// per second are allowed in total.
    pub fn new(rps: f64, write_rps: f64, members: usize) -> RateBudget {
        let members = members.max(1) as f64;
        let requests = rps * REQUEST_RATE_SHARE / members;
        let writes = write_rps * WRITE_RATE_SHARE / members;
        RateBudget {
            requests: TokenBucket::new(requests, requests),
            writes: TokenBucket::new(writes, writes),
        }
    }

    /// Takes a request's cost and returns true if it may be sent now; urgent requests always may.
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
