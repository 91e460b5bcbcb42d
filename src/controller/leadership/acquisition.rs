//! Acquisition of shards: leases that nobody has are acquired, the home's at once.

use crate::controller::Controller;
use crate::controller::calls::LeadershipCall;
use crate::controller::context::Context;
use crate::controller::decision_log;
use crate::controller::leadership::Leadership;
use crate::controller::leadership::recovery::ShardRecovery;
use crate::controller::leadership::shard::{self, ShardAcquisition, ShardLeadership};
use crate::controller::leadership::shard_lease::{self, ShardLease, StoredShardLease};
use crate::controller::peers::Peers;
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use crate::wire::KeyValue;

/// What must be left of the controller lease for a shard lease to be acquired or released.
const MIN_LEASE_LEFT: Micros = Micros::millis(500);
/// How long other members leave a vacant shard to its home while the home is healthy.
const HEALTHY_HOME_DELAY: Micros = Micros::millis(2_000);
/// The same while the home is away.
const ABSENT_HOME_DELAY: Micros = Micros::millis(200);
/// By how much later each further member acquires: not all at the same moment.
const DELAY_BY_RANK: Micros = Micros::millis(250);
/// By how much later a member acquires that cannot reach its workers.
const PARTITIONED_DELAY: Micros = Micros::secs(5);

impl Leadership {
    /// Reads all terms and leases of shards, unless they are known.
    fn list_shards_if_unknown(&mut self, context: &mut Context) {
        if self.shards_read || self.shard_list_in_flight {
            return;
        }
        self.shard_list_in_flight = true;
        context.call_store(
            LeadershipCall::ListTerms,
            KvRequest::List { prefix: shard_lease::TERM_KEY_PREFIX.into(), after: None },
        );
    }

    /// The list of terms was answered; the leases are read next.
    pub(crate) fn terms_reply(&mut self, reply: &KvResponse, context: &mut Context) {
        let KvResponse::Page { items, .. } = reply else {
            self.shard_list_in_flight = false;
            return;
        };
        for item in items {
            if let Some(shard) =
                shard_lease::shard_of_key(&item.key).and_then(|shard| self.shards.get_mut(shard))
            {
                shard.observe_term(item);
            }
        }
        // Leases after terms: an acquisition in between shows in the leases.
        context.call_store(
            LeadershipCall::ListLeases,
            KvRequest::List { prefix: shard_lease::LEASE_KEY_PREFIX.into(), after: None },
        );
    }

    /// How long a shard's lease must have been vacant before this process acquires it. Its
    /// home acquires it at once; others leave it time, longer while the home is observed to be
    /// healthy, and not all at the same moment.
    fn acquisition_delay(&self, shard: usize, peers: &Peers, context: &Context) -> Micros {
        let delay = if shard == context.me {
            Micros::ZERO
        } else {
            let rank = (context.me + self.shard_count() - shard) % self.shard_count();
            let base = if peers.is_healthy(shard, context.now) {
                HEALTHY_HOME_DELAY
            } else {
                ABSENT_HOME_DELAY
            };
            base + Micros(DELAY_BY_RANK.0 * rank as u64)
        };
        // One who cannot reach its workers leaves it to anybody else.
        if self.connectivity.partitioned() { delay + PARTITIONED_DELAY } else { delay }
    }

    /// Sends the transaction that acquires a shard, if it may and should be acquired.
    fn acquire_if_due(&mut self, shard: usize, peers: &Peers, context: &mut Context) {
        let known = &self.shards[shard];
        let Some(revision) = known.acquirable_revision(&context.member, context.incarnation) else {
            return;
        };
        if revision == 0 {
            let delay = self.acquisition_delay(shard, peers, context);
            if context.now.since(known.vacant_since) < delay {
                return;
            }
        }
        let Some(lease) = self.controller_lease.id else {
            return;
        };
        let ShardAcquisition { transaction, term } =
            known.acquire(shard, revision, &context.member, context.incarnation, lease);
        self.shards[shard].transaction_in_flight = true;
        let epoch = self.controller_lease.epoch;
        context.call_store(
            LeadershipCall::AcquireShard { shard, term, epoch },
            KvRequest::Txn(transaction),
        );
    }

    /// Records that this process leads a shard under a term, by a lease acquired at a revision.
    /// Its jobs are read from now on.
    fn begin_leading(&mut self, shard: usize, term: u64, revision: u64, context: &Context) {
        let leadership = ShardLeadership {
            term,
            revision,
            acquired_at: context.now,
            recovered: false,
            handing_over: false,
        };
        decision_log::leadership_acquired(
            leadership.evidence(shard, context.now),
            self.lease_valid_until(),
        );
        let lease = ShardLease {
            member: context.member.clone(),
            incarnation: context.incarnation,
            term,
            controller_lease: self.controller_lease.id.unwrap_or(0),
        };
        let known = &mut self.shards[shard];
        known.term = known.term.max(term);
        known.term_revision = known.term_revision.max(revision);
        known.last_led_term = term;
        known.leadership = Some(leadership);
        known.lease = Some(StoredShardLease { lease, revision });
        self.recoveries.insert(shard, ShardRecovery::new(term));
    }

    /// What a shard's lease, as just observed, means for this process.
    fn compare_lease(&self, shard: usize, context: &Context) -> LeaseComparison {
        let known = &self.shards[shard];
        match (&known.lease, &known.leadership) {
            // A watch may deliver what was before the acquisition.
            (Some(stored), Some(leadership)) if stored.revision <= leadership.revision => {
                LeaseComparison::Consistent
            }
            (_, Some(_)) => LeaseComparison::Lost,
            (Some(StoredShardLease { lease, revision }), None)
                if lease.member == context.member
                    && lease.incarnation == context.incarnation
                    && !known.transaction_in_flight
                    && lease.term > known.last_led_term
                    && Some(lease.controller_lease) == self.controller_lease.id =>
            {
                LeaseComparison::Acquired { term: lease.term, revision: *revision }
            }
            (_, None) => LeaseComparison::Consistent,
        }
    }
}

/// How a shard's lease in the store compares with what this process knows.
enum LeaseComparison {
    /// Nothing follows from it.
    Consistent,
    /// This process does not lead the shard any more.
    Lost,
    /// This process leads the shard: the answer to its acquisition was lost.
    Acquired { term: u64, revision: u64 },
}

impl Controller {
    /// Keeps the lease, the watches and the shards' leases up to date, and goes on with
    /// recoveries.
    pub(crate) fn maintain_leadership(&mut self) {
        let now = self.context.now;
        self.leadership.controller_lease.renew_if_due(&mut self.context);
        self.leadership.list_shards_if_unknown(&mut self.context);
        self.leadership.watches.call_due(&mut self.context);
        if self.holds_lease() && !self.cancellations_up_to_date() {
            self.leadership.watches.poll_jobs(&mut self.context);
        }
        if self.leadership.shards_read && self.leadership.holds_lease(now + MIN_LEASE_LEFT) {
            for shard in 0..self.leadership.shard_count() {
                self.maintain_shard(shard);
            }
        }
        self.continue_recoveries();
    }

    fn maintain_shard(&mut self, shard: usize) {
        if self.leadership.shards[shard].transaction_in_flight {
            return;
        }
        if self.leadership.led_shard(shard).is_some() {
            self.leadership.begin_failback_if_due(shard, &self.peers, &self.context);
            self.finish_handover(shard);
        } else {
            self.leadership.acquire_if_due(shard, &self.peers, &mut self.context);
        }
    }

    /// An attempt to acquire a shard was answered.
    pub(crate) fn acquisition_reply(
        &mut self,
        shard: usize,
        term: u64,
        epoch: u64,
        reply: &KvResponse,
    ) {
        self.leadership.shards[shard].transaction_in_flight = false;
        let same_lease = epoch == self.leadership.controller_lease.epoch;
        match reply {
            KvResponse::Applied(revision) if same_lease => {
                self.shard_acquired(shard, term, *revision);
            }
            KvResponse::LeaseNotFound if same_lease => self.controller_lease_expired(),
            KvResponse::NotExecuted => {}
            // Perhaps applied, or somebody was faster: what is stored decides.
            _ => self.leadership.shards_read = false,
        }
    }

    fn shard_acquired(&mut self, shard: usize, term: u64, revision: u64) {
        self.leadership.begin_leading(shard, term, revision, &self.context);
        let shards = self.leadership.shard_count();
        let is_in_shard = |machine: &str| shard::shard_of_machine(machine, shards) == shard;
        self.changes.machines.extend(self.machines.manage_shard(is_in_shard));
    }

    /// Records what all shard leases are.
    pub(crate) fn observe_leases(&mut self, items: &[KeyValue]) {
        for shard in 0..self.leadership.shard_count() {
            let key = shard_lease::lease_key(shard);
            self.observe_lease(shard, items.iter().find(|item| item.key == key));
        }
    }

    /// Records what a shard's lease is, `None` if nobody has it, and begins or ends leading the
    /// shard if it follows.
    pub(crate) fn observe_lease(&mut self, shard: usize, item: Option<&KeyValue>) {
        self.leadership.shards[shard].observe_lease(self.context.now, item);
        match self.leadership.compare_lease(shard, &self.context) {
            LeaseComparison::Consistent => {}
            LeaseComparison::Lost => self.step_down(shard, "the key-value store says so"),
            LeaseComparison::Acquired { term, revision } => {
                self.shard_acquired(shard, term, revision);
            }
        }
    }
}
