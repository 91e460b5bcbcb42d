//! Acquisition of vacant shards.
//!
//! The home member of a shard, the member with the same number, acquires it immediately; the others
//! give the home member time.

use crate::controller::Controller;
use crate::controller::calls::LeadershipCall;
use crate::controller::context::Context;
use crate::controller::decision_log;
use crate::controller::leadership::Leadership;
use crate::controller::leadership::recovery::ShardRecovery;
use crate::controller::leadership::shard::{self, ShardAcquisition, ShardLeadership};
use crate::controller::leadership::shard_lease::{self, ShardLease, StoredShardLease};
use crate::controller::peers::Peers;
use crate::kv_store::{KvRequest, KvResponse, PAGE_KEYS};
use crate::time::Micros;
use crate::wire::KeyValue;

/// Minimum remaining validity of the controller lease for acquiring or releasing a shard lease.
const MIN_LEASE_LEFT: Micros = Micros::millis(500);
/// How long other members leave a vacant shard to its home member while that member is healthy.
const HEALTHY_HOME_DELAY: Micros = Micros::millis(2_000);
/// How long other members leave a vacant shard to a home member that is not healthy.
const UNHEALTHY_HOME_DELAY: Micros = Micros::millis(200);
/// Additional delay per rank of a member, so that members do not all acquire at the same moment.
const DELAY_PER_RANK: Micros = Micros::millis(250);
/// Additional delay of a member that cannot reach its workers.
const PARTITIONED_DELAY: Micros = Micros::secs(5);

impl Leadership {
    /// Reads the terms and leases of all shards, unless they are up to date.
    fn list_shards_if_outdated(&mut self, context: &mut Context) {
        if self.shards_up_to_date || self.shard_list_in_flight {
            return;
        }
        self.shard_list_in_flight = true;
        context.call_store(
            LeadershipCall::ListTerms,
            KvRequest::List {
                prefix: shard_lease::TERM_KEY_PREFIX.into(),
                after: None,
                limit: PAGE_KEYS,
            },
        );
    }

    /// Handles the list of terms and requests the list of leases.
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
        // Leases are listed after terms, so that an acquisition in between shows in the leases.
        context.call_store(
            LeadershipCall::ListLeases,
            KvRequest::List {
                prefix: shard_lease::LEASE_KEY_PREFIX.into(),
                after: None,
                limit: PAGE_KEYS,
            },
        );
    }

    /// How long a shard must have been vacant before this process acquires it. Its home member
    /// acquires it immediately; the others wait, longer while the home member is observed to be
    /// healthy, and each for a different time.
    fn acquisition_delay(&self, shard: usize, peers: &Peers, context: &Context) -> Micros {
        let delay = if shard == context.local_member {
            Micros::ZERO
        } else {
            let rank = (context.local_member + self.shard_count() - shard) % self.shard_count();
            let base = if peers.is_healthy(shard, context.now) {
                HEALTHY_HOME_DELAY
            } else {
                UNHEALTHY_HOME_DELAY
            };
            base + Micros(DELAY_PER_RANK.0 * rank as u64)
        };
        // A member that cannot reach its workers gives every other member time to acquire first.
        if self.connectivity.partitioned() { delay + PARTITIONED_DELAY } else { delay }
    }

    /// Sends the transaction that acquires a shard, if this process may acquire it and its delay
    /// has passed.
    fn acquire_if_due(&mut self, shard: usize, peers: &Peers, context: &mut Context) {
        let shard_state = &self.shards[shard];
        let Some(revision) = shard_state.acquirable_revision(&context.member, context.incarnation)
        else {
            return;
        };
        if revision == 0 {
            let delay = self.acquisition_delay(shard, peers, context);
            if context.now.since(shard_state.vacant_since) < delay {
                return;
            }
        }
        let Some(lease) = self.controller_lease.id else {
            return;
        };
        let ShardAcquisition { transaction, term } =
            shard_state.acquire(shard, revision, &context.member, context.incarnation, lease);
        self.shards[shard].transaction_in_flight = true;
        let epoch = self.controller_lease.epoch;
        context.call_store(
            LeadershipCall::AcquireShard { shard, term, epoch },
            KvRequest::Txn(transaction),
        );
    }

    /// Records that this process leads a shard under `term`, by a lease acquired at `revision`, and
    /// starts the recovery of its jobs.
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
        let shard_state = &mut self.shards[shard];
        shard_state.term = shard_state.term.max(term);
        shard_state.term_revision = shard_state.term_revision.max(revision);
        shard_state.last_led_term = term;
        shard_state.leadership = Some(leadership);
        shard_state.lease = Some(StoredShardLease { lease, revision });
        shard_state.observed_revision = shard_state.observed_revision.max(revision);
        self.recoveries.insert(shard, ShardRecovery::new(term));
    }

    /// Compares the lease of a shard, as just observed, with the leadership of this process.
    fn compare_lease(&self, shard: usize, context: &Context) -> LeaseComparison {
        let shard_state = &self.shards[shard];
        match (&shard_state.lease, &shard_state.leadership) {
            // A watch may deliver changes from before the acquisition.
            (Some(stored), Some(leadership)) if stored.revision <= leadership.revision => {
                LeaseComparison::Consistent
            }
            (_, Some(_)) => LeaseComparison::Lost,
            (Some(StoredShardLease { lease, revision }), None)
                if lease.member == context.member
                    && lease.incarnation == context.incarnation
                    && !shard_state.transaction_in_flight
                    && lease.term > shard_state.last_led_term
                    && Some(lease.controller_lease) == self.controller_lease.id =>
            {
                LeaseComparison::Acquired { term: lease.term, revision: *revision }
            }
            (_, None) => LeaseComparison::Consistent,
        }
    }
}

/// How a shard's lease in the store compares with the leadership of this process.
enum LeaseComparison {
    /// The leadership does not change.
    Consistent,
    /// This process no longer leads the shard.
    Lost,
    /// This process leads the shard: the reply to its acquisition was lost.
    Acquired { term: u64, revision: u64 },
}

impl Controller {
    /// Renews the controller lease, keeps the shard list and the watches up to date, acquires and
    /// hands over shards, recovers unlisted jobs, and continues recoveries.
    pub(crate) fn maintain_leadership(&mut self) {
        let now = self.context.now;
        self.leadership.controller_lease.renew_if_due(&mut self.context);
        self.leadership.list_shards_if_outdated(&mut self.context);
        self.leadership.watches.call_if_due(&mut self.context);
        if self.holds_lease() && !self.cancellations_up_to_date() {
            self.leadership.watches.poll_jobs(&mut self.context);
        }
        if self.leadership.shards_up_to_date && self.leadership.holds_lease(now + MIN_LEASE_LEFT) {
            for shard in 0..self.leadership.shard_count() {
                self.maintain_shard(shard);
            }
        }
        self.recover_unlisted_jobs();
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

    /// Handles the reply to an acquisition under `term`, requested under the controller lease of
    /// `epoch`.
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
            // The transaction may have been applied, or another member may have been faster: the
            // stored leases are read again and determine who leads the shard.
            _ => self.leadership.shards_up_to_date = false,
        }
    }

    fn shard_acquired(&mut self, shard: usize, term: u64, revision: u64) {
        self.leadership.begin_leading(shard, term, revision, &self.context);
        let shards = self.leadership.shard_count();
        let is_in_shard = |machine: &str| shard::shard_of_machine(machine, shards) == shard;
        let machines = self.machines.manage_shard(is_in_shard);
        let all_shards: Vec<usize> = (0..shards).collect();
        self.read_jobs_desired_by(&all_shards, &machines);
        self.changes.machines.extend(machines);
    }

    /// Records the leases of all shards; `items` are all lease keys in the store at `revision`.
    pub(crate) fn observe_leases(&mut self, items: &[KeyValue], revision: u64) {
        for shard in 0..self.leadership.shard_count() {
            let key = shard_lease::lease_key(shard);
            self.observe_lease(shard, items.iter().find(|item| item.key == key), revision);
        }
    }

    /// Records the lease of a shard at a revision of the store, `None` if the shard is vacant, and
    /// begins or ends leading the shard accordingly. Has no effect if a later revision was observed
    /// before.
    pub(crate) fn observe_lease(&mut self, shard: usize, item: Option<&KeyValue>, revision: u64) {
        if !self.leadership.shards[shard].observe_lease(self.context.now, item, revision) {
            return;
        }
        match self.leadership.compare_lease(shard, &self.context) {
            LeaseComparison::Consistent => {}
            LeaseComparison::Lost => self.step_down(shard, "the key-value store says so"),
            LeaseComparison::Acquired { term, revision } => {
                self.shard_acquired(shard, term, revision);
            }
        }
    }
}
