//! The state service: its calls, its answers and this node's share of its rate.

use crate::time::Micros;
use crate::wire::{
    self, Change, Changes, Item, Items, LeaseGranted, LeaseWanted, Revision, Txn, path,
};

/// A call to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StateCall {
    /// Read a key.
    Get(String),
    /// Read a page of keys.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Begin after this key.
        after: Option<String>,
    },
    /// Compare and change.
    Txn(Txn),
    /// Ask for a lease.
    Grant(Micros),
    /// Renew a lease.
    Extend(u64),
    /// End a lease.
    End(u64),
    /// Wait for changes.
    Follow {
        /// Prefix of the keys.
        prefix: String,
        /// Changes after this revision.
        after: u64,
        /// How long to wait.
        block: Micros,
    },
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum StateReply {
    /// The key's value, if it exists.
    Value(Option<Item>),
    /// A page.
    Page {
        /// The values.
        items: Vec<Item>,
        /// Another follows.
        more: bool,
        /// Revision of the store.
        revision: u64,
    },
    /// The transaction was applied at this revision.
    Applied(u64),
    /// A condition failed; nothing was changed.
    Conflict(Vec<String>),
    /// A lease was granted.
    Granted(u64),
    /// The lease was renewed or ended.
    Kept,
    /// The lease does not exist any more.
    NoLease,
    /// Changes up to a revision.
    Changes(u64, Vec<Change>),
    /// The watch asked too far back.
    TooOld,
    /// Surely not executed: refused, or never sent.
    Refused,
    /// May have been executed, or may still be.
    Unknown,
    /// The service says that the request is wrong; our defect.
    Invalid,
}

impl StateCall {
    /// Renewals come first: without them every seat is lost.
    pub fn urgent(&self) -> bool {
        matches!(self, StateCall::Grant(_) | StateCall::Extend(_) | StateCall::End(_))
    }

    /// A watch occupies its connection while it waits.
    pub fn waits(&self) -> bool {
        matches!(self, StateCall::Follow { .. })
    }

    /// Puts and deletes that count towards the write rate.
    pub fn puts(&self) -> usize {
        match self {
            StateCall::Txn(t) => t.writes.len(),
            _ => 0,
        }
    }

    /// How long an answer may take before the outcome counts as unknown.
    pub fn timeout(&self) -> Micros {
        match self {
            StateCall::Follow { block, .. } => *block + Micros::secs(5),
            c if c.urgent() => Micros::millis(1_200),
            _ => Micros::millis(2_500),
        }
    }

    /// Method, path and body.
    pub fn encode(&self) -> (&'static str, String, Option<Vec<u8>>) {
        fn json<T: serde::Serialize>(value: &T) -> Option<Vec<u8>> {
            Some(serde_json::to_vec(value).unwrap_or_default())
        }
        match self {
            StateCall::Get(key) => ("GET", format!("{}/{key}", path::KV), None),
            StateCall::List { prefix, after } => {
                let mut p = format!("{}?prefix={prefix}", path::KV);
                if let Some(a) = after {
                    p.push_str("&after=");
                    p.push_str(a);
                }
                p.push_str("&limit=100");
                ("GET", p, None)
            }
            StateCall::Txn(txn) => ("POST", path::TXN.into(), json(txn)),
            StateCall::Grant(ttl) => {
                ("POST", path::LEASES.into(), json(&LeaseWanted { ttl_ms: ttl.as_millis() }))
            }
            StateCall::Extend(id) => {
                ("POST", format!("{}/{id}/{}", path::LEASES, path::EXTEND), Some(b"{}".to_vec()))
            }
            StateCall::End(id) => ("DELETE", format!("{}/{id}", path::LEASES), None),
            StateCall::Follow { prefix, after, block } => (
                "GET",
                format!(
                    "{}?prefix={prefix}&after={after}&{}={}",
                    path::FOLLOW,
                    path::WAIT,
                    block.as_millis()
                ),
                None,
            ),
        }
    }

    /// Reads the answer. What cannot be read counts as unknown.
    pub fn decode(&self, status: u16, body: &[u8]) -> StateReply {
        fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
            wire::read_answer("state", body)
        }
        match (status, self) {
            (429 | 503, _) => StateReply::Refused,
            (200, StateCall::Get(_)) => {
                read::<Item>(body).map_or(StateReply::Unknown, |i| StateReply::Value(Some(i)))
            }
            (404, StateCall::Get(_)) => StateReply::Value(None),
            (200, StateCall::List { .. }) => read::<Items>(body).map_or(StateReply::Unknown, |p| {
                StateReply::Page { items: p.items, more: p.more, revision: p.revision }
            }),
            (200, StateCall::Txn(_)) => read::<Revision>(body)
                .map_or(StateReply::Unknown, |r| StateReply::Applied(r.revision)),
            (409, StateCall::Txn(_)) => read::<Revision>(body)
                .map_or(StateReply::Unknown, |r| StateReply::Conflict(r.failed)),
            (400, StateCall::Txn(_)) if body.windows(8).any(|w| w == b"no such ") => {
                StateReply::NoLease
            }
            (200, StateCall::Grant(_)) => read::<LeaseGranted>(body)
                .map_or(StateReply::Unknown, |g| StateReply::Granted(g.lease)),
            (200, StateCall::Extend(_) | StateCall::End(_)) => StateReply::Kept,
            (404, StateCall::Extend(_) | StateCall::End(_)) => StateReply::NoLease,
            (200, StateCall::Follow { .. }) => read::<Changes>(body)
                .map_or(StateReply::Unknown, |c| StateReply::Changes(c.revision, c.events)),
            (410, StateCall::Follow { .. }) => StateReply::TooOld,
            (400..=499, _) => {
                log::error!("state: {status} for {self:?}: {}", String::from_utf8_lossy(body));
                StateReply::Invalid
            }
            _ => StateReply::Unknown,
        }
    }
}

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

    /// Takes `n`, going below zero if need be: an urgent call is never held
    /// back, and later ones make up for it.
    pub fn take(&mut self, n: f64) {
        self.level -= n;
    }

    /// When `n` will be there.
    pub fn wait(&self, n: f64) -> Micros {
        // More than the burst can never be there at once; a full bucket then does.
        let missing = n.min(self.burst) - self.level;
        Micros::from_secs_f64(missing / self.rate)
    }

    /// True if `n` may be taken now.
    pub fn allows(&mut self, now: Micros, n: f64) -> bool {
        self.level(now) + 1e-9 >= n.min(self.burst)
    }
}

/// Part of the state service's request rate that is used; the rest is for
/// renewals, which are never held back.
pub const CALL_SHARE: f64 = 0.9;

/// Part of its rate of changes that is used; renewals are none, so what is left
/// is for clocks that differ.
pub const WRITE_SHARE: f64 = 0.97;

/// This node's share of the state service's rates. The service counts all
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
        let n = nodes.max(1) as f64;
        let (calls, puts) = (rps * CALL_SHARE / n, write_rps * WRITE_SHARE / n);
        Budget { calls: Bucket::new(calls, calls), puts: Bucket::new(puts, puts) }
    }

    /// Takes a call's cost if it may go out now.
    pub fn admit(&mut self, now: Micros, call: &StateCall) -> bool {
        let puts = call.puts() as f64;
        let allowed = call.urgent() || (self.calls.allows(now, 1.0) && self.puts.allows(now, puts));
        if allowed {
            self.calls.take(1.0);
            self.puts.take(puts);
        }
        allowed
    }

    /// When a call of this cost could go out.
    pub fn wait(&self, call: &StateCall) -> Micros {
        self.calls.wait(1.0).max(self.puts.wait(call.puts() as f64))
    }
}
