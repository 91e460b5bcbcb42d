//! Shards: the parts into which machines and jobs are divided, each with at most one leader.
//!
//! A shard's lease and its term change in one transaction, so the revision of the lease's key
//! identifies a term. Every write of a leader is conditional on that revision, so that a late
//! transaction of an earlier leader fails. The only exception is the cancellation of a job, which
//! is conditional on the job's record alone.

use crate::controller::decision_log::LeadershipEvidence;
use crate::controller::leadership::fencing_token::next_term;
use crate::controller::leadership::shard_lease::{
    ShardLease, StoredShardLease, TermRecord, lease_condition, lease_key, term_key,
};
use crate::time::Micros;
use crate::wire::{Condition, KeyValue, Txn, Write};
use serde_json::json;

/// Leadership of a shard whose lease this process has acquired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardLeadership {
    /// Term of the leadership.
    pub term: u64,
    /// Revision of the lease's key, on which this leader's writes are conditional.
    pub revision: u64,
    /// When this process received the confirmation that it leads the shard: no earlier leader acted
    /// after that.
    pub acquired_at: Micros,
    /// The shard's jobs have been read.
    pub recovered: bool,
    /// The lease is about to be released; no new work is started.
    pub handing_over: bool,
}

impl ShardLeadership {
    /// The fields of the log lines about its beginning or end at `at`.
    pub(crate) fn evidence(&self, shard: usize, at: Micros) -> LeadershipEvidence {
        LeadershipEvidence { shard, term: self.term, revision: self.revision, at }
    }
}

/// A shard as last observed by this process.
#[derive(Debug, Clone, Default)]
pub struct Shard {
    /// Its lease in the key-value store; `None` if the shard is vacant.
    pub lease: Option<StoredShardLease>,
    /// Revision of the store at which `lease` was observed; 0 before the first observation.
    pub observed_revision: u64,
    /// Last observed revision of the term's key; 0 if the key has not been observed.
    pub term_revision: u64,
    /// Highest observed term.
    pub term: u64,
    /// When the shard was last observed to become vacant; zero if it never was.
    pub vacant_since: Micros,
    /// Present while this process leads the shard.
    pub leadership: Option<ShardLeadership>,
    /// An acquisition or a release of its lease is in flight.
    pub transaction_in_flight: bool,
    /// Highest term under which this process has led the shard; 0 for none.
    pub last_led_term: u64,
}

/// A transaction that acquires a shard's lease.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardAcquisition {
    /// Applied only if neither the lease nor the term has changed.
    pub transaction: Txn,
    /// Term under which this process leads the shard once the transaction is applied.
    pub term: u64,
}

/// The shard of a machine: a fixed function of its name, the same on every node and in every
/// process. Uses FNV-1a, since the standard library's hasher may change between releases.
pub fn shard_of_machine(name: &str, shards: usize) -> usize {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    // FNV hashes of names that differ only in their last digit have correlated low bits. Folding
    // the high half in spreads them.
    ((hash ^ (hash >> 32)) % shards.max(1) as u64) as usize
}

impl Shard {
    /// Records the content of the lease's key at a revision of the store; `item` is `None` if the
    /// key does not exist. Returns false, and changes nothing, if a later revision was observed
    /// before: replies to lists and watches may arrive in any order.
    pub fn observe_lease(&mut self, now: Micros, item: Option<&KeyValue>, revision: u64) -> bool {
        if revision < self.observed_revision {
            return false;
        }
        self.observed_revision = revision;
        match item.and_then(StoredShardLease::decode) {
            Some(stored) => {
                // Both keys change in one transaction and so share its revision.
                if stored.revision >= self.term_revision {
                    self.term_revision = stored.revision;
                    self.term = self.term.max(stored.lease.term);
                }
                self.lease = Some(stored);
            }
            None => {
                if self.lease.take().is_some() || self.vacant_since == Micros::ZERO {
                    self.vacant_since = now;
                }
            }
        }
        true
    }

    /// Records the content of the term's key.
    pub fn observe_term(&mut self, item: &KeyValue) {
        if let Ok(record) = serde_json::from_value::<TermRecord>(item.value.clone())
            && item.revision >= self.term_revision
        {
            self.term_revision = item.revision;
            self.term = self.term.max(record.term);
        }
    }

    /// The revision of the lease's key on which an acquisition by this incarnation of `member` is
    /// conditional: 0 if there is no lease; the revision of the lease if an earlier incarnation of
    /// `member` left it, or if this one released it; `None` if another process leads. Acquiring a
    /// live leader's shard would let two processes act at once.
    pub fn acquirable_revision(&self, member: &str, incarnation: u64) -> Option<u64> {
        let Some(StoredShardLease { lease, revision }) = &self.lease else {
            return Some(0);
        };
        let earlier_process = lease.incarnation != incarnation;
        // This process has released the lease, and the release may still be applied late: only a
        // new revision makes it fail, and only a new term shows which commands of this process are
        // still in flight.
        let released = lease.term <= self.last_led_term;
        (lease.member == member && (earlier_process || released)).then_some(*revision)
    }

    /// The transaction by which `member` acquires the lease, whose key was last observed at
    /// `revision`. The lease is attached to the member's controller lease.
    pub fn acquire(
        &self,
        shard: usize,
        revision: u64,
        member: &str,
        incarnation: u64,
        controller_lease: u64,
    ) -> ShardAcquisition {
        let term = next_term(self.term);
        let lease = ShardLease { member: member.to_string(), incarnation, term, controller_lease };
        let transaction = Txn {
            conditions: vec![
                lease_condition(shard, revision),
                Condition { key: term_key(shard), revision: self.term_revision },
            ],
            writes: vec![
                Write::Put {
                    key: lease_key(shard),
                    value: json!(lease),
                    lease: Some(controller_lease),
                },
                Write::Put { key: term_key(shard), value: json!(TermRecord { term }), lease: None },
            ],
        };
        ShardAcquisition { transaction, term }
    }

    /// The transaction that releases the lease acquired at `revision`.
    pub fn release(shard: usize, revision: u64) -> Txn {
        Txn {
            conditions: vec![lease_condition(shard, revision)],
            writes: vec![Write::Delete { key: lease_key(shard) }],
        }
    }
}
