//! Shard leadership: the controller lease of this process, the leases and terms of all shards, and
//! the recovery of a shard's jobs after it changes leader.
//!
//! Owns the controller lease, the last observed lease and term of every shard, the watches of the
//! key-value store and the reachability of the workers. Nothing here decides about jobs or
//! machines, and nothing acts on a shard whose lease this process may have lost.

pub mod connectivity;
pub mod controller_lease;
pub mod fencing_token;
pub mod shard;
pub mod shard_lease;
pub(crate) mod watches;

mod acquisition;
mod handover;
mod lease_renewal;
mod recovered_jobs;
mod recovery;
mod replies;
mod unlisted_jobs;
mod watch_events;

use crate::controller::call_origin::CallOrigin;
use crate::controller::event::DirectReply;
use crate::time::Micros;
use connectivity::Connectivity;
use controller_lease::ControllerLease;
use recovery::ShardRecovery;
use shard::{Shard, ShardLeadership};
use std::collections::BTreeMap;
use unlisted_jobs::UnlistedJobs;
use watches::Watches;

/// Leadership of this process and, as last observed, of the other members.
#[derive(Debug)]
pub(crate) struct Leadership {
    controller_lease: ControllerLease,
    /// All shards, by number.
    shards: Vec<Shard>,
    /// The leases and terms of all shards have been read since they last became uncertain.
    shards_up_to_date: bool,
    /// A list of the shards' terms or leases is in flight.
    shard_list_in_flight: bool,
    /// Recoveries in progress, by shard.
    recoveries: BTreeMap<usize, ShardRecovery>,
    unlisted_jobs: UnlistedJobs,
    watches: Watches,
    /// Time of the last tick at which this process held its controller lease.
    lease_last_held_at: Micros,
    /// The controller lease has become valid since the last tick at which it was held.
    lease_regained: bool,
    connectivity: Connectivity,
}

impl Leadership {
    /// Creates the state of a process that holds no lease and has observed none of `count` shards.
    pub(crate) fn new(count: usize) -> Leadership {
        Leadership {
            controller_lease: ControllerLease::default(),
            shards: vec![Shard::default(); count],
            shards_up_to_date: false,
            shard_list_in_flight: false,
            recoveries: BTreeMap::new(),
            unlisted_jobs: UnlistedJobs::default(),
            watches: Watches::default(),
            lease_last_held_at: Micros::ZERO,
            lease_regained: false,
            connectivity: Connectivity::default(),
        }
    }

    /// Whether this process may act for the shards that it leads. Once its controller lease has
    /// expired, another member may have acquired them.
    pub(crate) fn holds_lease(&self, now: Micros) -> bool {
        self.controller_lease.is_valid(now)
    }

    /// Time until which the controller lease is guaranteed to be valid.
    pub(crate) fn lease_valid_until(&self) -> Micros {
        self.controller_lease.valid_until
    }

    /// Time of the last tick at which this process held its controller lease; zero if it never did.
    pub(crate) fn lease_last_held_at(&self) -> Micros {
        self.lease_last_held_at
    }

    /// Records at a tick whether the controller lease is held. Returns true if it is held now and
    /// was not valid at some moment since the last such tick, however short.
    pub(crate) fn check_lease_regained(&mut self, now: Micros) -> bool {
        if !self.holds_lease(now) {
            return false;
        }
        self.lease_last_held_at = now;
        std::mem::take(&mut self.lease_regained)
    }

    /// Records the reply to a grant or renewal before which the controller lease was valid only if
    /// `held_before`.
    pub(crate) fn lease_extended(&mut self, now: Micros, held_before: bool) {
        self.lease_regained |= !held_before && self.holds_lease(now);
    }

    /// Whether this process has a controller lease that the store has not reported as expired, even
    /// if its local validity has ended, and has read the leases of all shards.
    pub(crate) fn is_initialized(&self) -> bool {
        let lease = &self.controller_lease;
        lease.epoch > 0 && self.shards_up_to_date && lease.id.is_some()
    }

    /// Number of shards: one for each member.
    pub(crate) fn shard_count(&self) -> usize {
        self.shards.len()
    }

    /// All shards, by number.
    pub(crate) fn shards(&self) -> &[Shard] {
        &self.shards
    }

    /// Highest observed term of a shard.
    pub(crate) fn term(&self, shard: usize) -> u64 {
        self.shards[shard].term
    }

    /// Highest observed terms of all shards, by number.
    pub(crate) fn terms(&self) -> Vec<u64> {
        self.shards.iter().map(|shard| shard.term).collect()
    }

    /// This process's leadership of a shard, if it has acquired it. Its controller lease may have
    /// expired since.
    pub(crate) fn led_shard(&self, shard: usize) -> Option<&ShardLeadership> {
        self.shards[shard].leadership.as_ref()
    }

    /// Numbers and terms of the shards that this process has acquired.
    pub(crate) fn led_terms(&self) -> impl Iterator<Item = (usize, u64)> {
        let shards = self.shards.iter().enumerate();
        shards.filter_map(|(number, shard)| Some((number, shard.leadership.as_ref()?.term)))
    }

    /// Whether this process has acquired a shard under exactly this term.
    pub(crate) fn leads_under(&self, shard: usize, term: u64) -> bool {
        self.led_shard(shard).is_some_and(|leadership| leadership.term == term)
    }

    /// The term under which this process leads a shard; `None` if it does not lead it or does not
    /// hold its controller lease.
    pub(crate) fn leading_term(&self, shard: usize, now: Micros) -> Option<u64> {
        let leadership = self.shards.get(shard)?.leadership.as_ref()?;
        self.holds_lease(now).then_some(leadership.term)
    }

    /// Whether this process runs the shard's jobs: it leads the shard, has read its jobs and is not
    /// handing it over.
    pub(crate) fn serves_shard(&self, shard: usize, now: Micros) -> bool {
        let runs = |led: &ShardLeadership| led.recovered && !led.handing_over;
        self.holds_lease(now) && self.led_shard(shard).is_some_and(runs)
    }

    /// Number of accepted jobs of led shards that this process does not run yet.
    pub(crate) fn unlisted_job_count(&self) -> usize {
        self.unlisted_jobs.len()
    }

    /// Records a peer's claim that it leads a shard under `term`. Returns true if this process
    /// leads the shard under a lower term and must step down.
    pub(crate) fn observe_claim(&mut self, shard: usize, term: u64) -> bool {
        let Some(shard_state) =
            self.shards.get_mut(shard).filter(|shard_state| term > shard_state.term)
        else {
            return false;
        };
        shard_state.term = term;
        shard_state.leadership.as_ref().is_some_and(|leadership| leadership.term < term)
    }

    /// The shard to which a machine belongs.
    pub(crate) fn shard_of_machine(&self, machine: &str) -> usize {
        shard::shard_of_machine(machine, self.shards.len())
    }

    /// Name of the member that leads a shard, by the last observed lease; `None` if the shard is
    /// vacant.
    pub(crate) fn leader_name(&self, shard: usize) -> Option<&str> {
        let stored = self.shards[shard].lease.as_ref()?;
        Some(&stored.lease.member)
    }

    /// Whether the watch of jobs has started, so that no further change of a job is missed.
    pub(crate) fn follows_jobs(&self) -> bool {
        self.watches.follows_jobs()
    }

    /// Revision of the store up to which all changes of jobs have been received; 0 while there is
    /// no such revision.
    pub(crate) fn followed_jobs_revision(&self) -> u64 {
        self.watches.jobs_revision()
    }

    /// The origin of a call that is sent now.
    pub(crate) fn call_origin(&self, now: Micros) -> CallOrigin {
        CallOrigin { sent_at: now, generation: self.watches.jobs_generation() }
    }

    /// Whether the reply to a call may be older than the revision from which the watch of jobs has
    /// started since: changes in between are never delivered.
    pub(crate) fn is_outdated(&self, origin: CallOrigin) -> bool {
        origin.generation < self.watches.jobs_generation()
    }

    /// Time up to which all changes of jobs have been received.
    pub(crate) fn jobs_caught_up_at(&self) -> Micros {
        self.watches.jobs_caught_up_at()
    }

    /// Whether this node counts as partitioned from its workers and hands its shards over.
    pub(crate) fn is_partitioned(&self) -> bool {
        self.connectivity.partitioned()
    }

    /// Records that this process accepted a heartbeat of a led shard's worker.
    pub(crate) fn record_contact(&mut self, now: Micros) {
        self.connectivity.record_contact(now);
    }

    /// Records a heartbeat from a machine whose shard another member leads.
    pub(crate) fn record_misdirected_heartbeat(&mut self, now: Micros, machine: &str) {
        self.connectivity.record_misdirected_heartbeat(now, machine);
    }

    /// Handles the result of a probe that was sent to a worker during a partition.
    pub(crate) fn probe_reply(&mut self, reply: &DirectReply, now: Micros) {
        self.connectivity.probe_reply(reply, now);
    }
}
