//! Shards: who may act for which machines and jobs.
//!
//! `seat/S` keeps a term that only rises, `hold/S` names the lease holder under the
//! holder's state lease. Both change in one transaction, so the version of
//! `hold/S` identifies a term, and everything a holder writes is conditional
//! on that version: a late transaction of an earlier holder fails.

use crate::controller::decision_log::LeadershipEvidence;
use crate::time::Micros;
use crate::wire::{Condition, KeyValue, Txn, Write};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Parts per thousand that two steady clocks may differ, both ways together.
pub const DRIFT: u64 = 1;

/// Each take leaves so many terms out: they are the tokens that the holder may raise
/// above its term, and the terms of earlier versions, which count by one.
pub const TERM_STRIDE: u64 = 1 << 16;
/// Tokens are raised from here on above the term. What lies between is left to earlier
/// versions, whose next terms must not equal a token that was raised before.
pub const FIRST_RAISED: u64 = TERM_STRIDE / 2;

/// The term that follows: above all tokens that may have been shown under earlier ones.
pub fn next_term(term: u64) -> u64 {
    (term / TERM_STRIDE + 1).saturating_mul(TERM_STRIDE)
}

/// The token of a worker that has been shown so many higher ones under a term; `None` if
/// the term has no further ones.
pub fn raised_fencing_token(term: u64, fencing_token_raises: u64) -> Option<u64> {
    match fencing_token_raises {
        0 => Some(term),
        _ => {
            let fencing_token =
                term.checked_add(FIRST_RAISED.checked_add(fencing_token_raises)?)?;
            (fencing_token < next_term(term)).then_some(fencing_token)
        }
    }
}

/// Value of `hold/S`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLease {
    /// Holder.
    pub member: String,
    /// Its run: tells an earlier process of the same name from this one.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// Term.
    pub term: u64,
    /// State lease that it ends with; the stored word stays.
    #[serde(rename = "lease")]
    pub controller_lease: u64,
}

/// Value of `seat/S`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// Highest term ever taken.
    pub term: u64,
}

/// A shard that this process owns: it has the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardLeadership {
    /// Term.
    pub term: u64,
    /// Version of `hold/S`: condition of every write.
    pub revision: u64,
    /// When this process learnt that it owns the shard: no earlier holder
    /// acted after that.
    pub acquired_at: Micros,
    /// Its jobs have been read.
    pub recovered: bool,
    /// It is about to be handed back; nothing new is begun.
    pub handing_over: bool,
}

impl ShardLeadership {
    /// What the log lines say of its beginning or end at `at`.
    pub(crate) fn evidence(&self, shard: usize, at: Micros) -> LeadershipEvidence {
        LeadershipEvidence { shard, term: self.term, revision: self.revision, at }
    }
}

/// A shard as this process knows it.
#[derive(Debug, Clone, Default)]
pub struct Shard {
    /// Lease in the key-value store, with the version of `hold/S`.
    pub lease: Option<(ShardLease, u64)>,
    /// Version of `seat/S`, 0 for none.
    pub term_revision: u64,
    /// Highest term known.
    pub term: u64,
    /// Since when nobody has its lease.
    pub vacant_since: Micros,
    /// Set while this process owns it.
    pub leadership: Option<ShardLeadership>,
    /// A take or a release is under way.
    pub busy: bool,
    /// Highest term under which this process has acted.
    pub last_led_term: u64,
}

/// Beginning of the keys of shards' terms: `seat/S`. The stored word stays.
pub const TERM_KEYS: &str = "seat/";
/// Beginning of the keys of shards' leases: `hold/S`. The stored word stays.
pub const LEASE_KEYS: &str = "hold/";

/// Key of a shard's term.
pub fn term_key(shard: usize) -> String {
    format!("{TERM_KEYS}{shard}")
}

/// Key of a shard's holder.
pub fn lease_key(shard: usize) -> String {
    format!("{LEASE_KEYS}{shard}")
}

/// Number of the shard in a key.
pub fn shard_of_key(key: &str) -> Option<usize> {
    key.rsplit('/').next()?.parse().ok()
}

/// The shard of a machine: a fixed function of its name, the same on every
/// node and in every run. FNV-1a, since the standard library's hasher may
/// change between releases.
pub fn shard_of_machine(name: &str, shards: usize) -> usize {
    let hash = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    // The low bits of FNV of names that differ in their last digit run in
    // step; folding the high half in spreads them.
    ((hash ^ (hash >> 32)) % shards.max(1) as u64) as usize
}

impl Shard {
    /// Takes in what `hold/S` holds.
    pub fn observe_lease(&mut self, now: Micros, item: Option<&KeyValue>) {
        let held = item.and_then(|i| {
            let lease: ShardLease = serde_json::from_value(i.value.clone()).ok()?;
            Some((lease, i.revision))
        });
        match held {
            Some((lease, revision)) => {
                // Both keys change in one transaction and so share its revision.
                if revision >= self.term_revision {
                    self.term_revision = revision;
                    self.term = self.term.max(lease.term);
                }
                self.lease = Some((lease, revision));
            }
            None => {
                if self.lease.take().is_some() || self.vacant_since == Micros::ZERO {
                    self.vacant_since = now;
                }
            }
        }
    }

    /// Takes in what `seat/S` holds.
    pub fn observe_term(&mut self, item: &KeyValue) {
        if let Ok(term) = serde_json::from_value::<Term>(item.value.clone())
            && item.revision >= self.term_revision
        {
            self.term_revision = item.revision;
            self.term = self.term.max(term.term);
        }
    }

    /// The version of `hold/S` on which a take may be conditional: 0 if it is
    /// gone, its own if an earlier run of `member` left it; `None` if it is
    /// somebody's. Taking a living holder's shard would let two act at once.
    pub fn acquirable_at(&self, member: &str, incarnation: u64) -> Option<u64> {
        match &self.lease {
            None => Some(0),
            Some((h, revision)) if h.member == member && h.incarnation != incarnation => {
                Some(*revision)
            }
            // Given up by this very process, whose release may still be carried out
            // late: only a new mark makes it fail, and only a new term shows which of
            // its commands are still under way.
            Some((h, revision)) if h.member == member && h.term <= self.last_led_term => {
                Some(*revision)
            }
            Some(_) => None,
        }
    }

    /// The transaction that takes the shard, and its new term.
    pub fn take(
        &self,
        shard: usize,
        revision: u64,
        member: &str,
        incarnation: u64,
        controller_lease: u64,
    ) -> (Txn, u64) {
        let term = next_term(self.term);
        let lease = ShardLease { member: member.to_string(), incarnation, term, controller_lease };
        let txn = Txn {
            conditions: vec![
                Condition { key: lease_key(shard), revision },
                Condition { key: term_key(shard), revision: self.term_revision },
            ],
            writes: vec![
                Write::Put {
                    key: lease_key(shard),
                    value: json!(lease),
                    lease: Some(controller_lease),
                },
                Write::Put { key: term_key(shard), value: json!(Term { term }), lease: None },
            ],
        };
        (txn, term)
    }

    /// The transaction that gives the shard up.
    pub fn release(shard: usize, revision: u64) -> Txn {
        Txn {
            conditions: vec![Condition { key: lease_key(shard), revision }],
            writes: vec![Write::Delete { key: lease_key(shard) }],
        }
    }
}

/// How often a lease is renewed.
pub fn renew_every(ttl: Micros) -> Micros {
    Micros(ttl.0 / 4)
}

/// This process's state lease.
#[derive(Debug, Clone, Default)]
pub struct ControllerLease {
    /// Its number.
    pub id: Option<u64>,
    /// Until when it is surely valid, by this process's clock.
    pub valid_until: Micros,
    /// When to renew it.
    pub renew_at: Micros,
    /// A grant or a renewal is under way.
    pub busy: bool,
    /// Counts leases: what was asked under an earlier one is ignored.
    pub epoch: u64,
}

impl ControllerLease {
    /// A grant or renewal that was *sent* at `sent` succeeded. Counting from
    /// the answer would overstate it by the time that the answer took.
    pub fn extended(&mut self, sent: Micros, ttl: Micros) {
        let until = sent + ttl.shortened(DRIFT).since(Micros::millis(50));
        self.valid_until = self.valid_until.max(until);
        self.renew_at = sent + renew_every(ttl);
    }

    /// The lease is gone, and every shard with it.
    pub fn lost(&mut self) {
        self.id = None;
        self.valid_until = Micros::ZERO;
        self.epoch += 1;
    }

    /// True while this process may act.
    pub fn valid(&self, now: Micros) -> bool {
        self.id.is_some() && now < self.valid_until
    }
}
