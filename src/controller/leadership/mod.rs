//! Which shards this process leads: its lease at the key-value store, the leases of the
//! shards, their terms, and what is recovered when a shard changes its leader.
//!
//! Owns the controller lease, every shard's lease and term as known here, the watches of the
//! store and whether the workers can reach this process. Nothing here decides about jobs
//! or machines, and nothing acts on a shard whose lease this process may have lost.

pub mod connectivity;
pub mod controller_lease;
pub mod fencing_token;
pub mod shard;
pub mod shard_lease;

mod acquisition;
mod handover;
mod lease_renewal;
mod recovered_jobs;
mod recovery;
mod replies;
mod watch_events;
mod watches;

use crate::controller::event::DirectReply;
use crate::time::Micros;
use connectivity::Connectivity;
use controller_lease::ControllerLease;
use recovery::ShardRecovery;
use shard::{Shard, ShardLeadership};
use std::collections::BTreeMap;
use watches::Watches;

/// What this process knows of its own and the other members' leadership.
#[derive(Debug)]
pub(crate) struct Leadership {
    controller_lease: ControllerLease,
    /// All shards, by number.
    shards: Vec<Shard>,
    /// The shards' leases and terms have been read since they were last in doubt.
    shards_read: bool,
    /// The shards' terms or leases are being listed.
    shard_list_in_flight: bool,
    /// Shards whose jobs are being read.
    recoveries: BTreeMap<usize, ShardRecovery>,
    watches: Watches,
    /// When this process last held its lease, by its ticks.
    lease_last_held_at: Micros,
    held_lease_at_last_tick: bool,
    connectivity: Connectivity,
}

impl Leadership {
    /// No lease is held, and nothing is known of any of `count` shards.
    pub(crate) fn new(count: usize) -> Leadership {
        Leadership {
            controller_lease: ControllerLease::default(),
            shards: vec![Shard::default(); count],
            shards_read: false,
            shard_list_in_flight: false,
            recoveries: BTreeMap::new(),
            watches: Watches::default(),
            lease_last_held_at: Micros::ZERO,
            held_lease_at_last_tick: false,
            connectivity: Connectivity::default(),
        }
    }

    /// Whether this process may act for the shards that it leads. Past the end of its
    /// lease another may have acquired them.
    pub(crate) fn holds_lease(&self, now: Micros) -> bool {
        self.controller_lease.is_valid(now)
    }

    /// Until when the controller lease is surely valid.
    pub(crate) fn lease_valid_until(&self) -> Micros {
        self.controller_lease.valid_until
    }

    /// When this process last held its lease, by its ticks; zero if it never did.
    pub(crate) fn lease_last_held_at(&self) -> Micros {
        self.lease_last_held_at
    }

    /// Records at a tick whether the lease is held. Whether it is, and was not at the last one.
    pub(crate) fn regained_lease(&mut self, now: Micros) -> bool {
        let holds_lease = self.holds_lease(now);
        if holds_lease {
            self.lease_last_held_at = now;
        }
        let held_before = std::mem::replace(&mut self.held_lease_at_last_tick, holds_lease);
        holds_lease && !held_before
    }

    /// Whether a lease was granted, perhaps long ago, that the store has not been seen to end,
    /// and the shards' leases are known.
    pub(crate) fn is_initialized(&self) -> bool {
        let lease = &self.controller_lease;
        lease.epoch > 0 && self.shards_read && lease.id.is_some()
    }

    /// How many shards there are: one for each member.
    pub(crate) fn shard_count(&self) -> usize {
        self.shards.len()
    }

    /// All shards, by number.
    pub(crate) fn shards(&self) -> &[Shard] {
        &self.shards
    }

    /// Highest known term of a shard.
    pub(crate) fn term(&self, shard: usize) -> u64 {
        self.shards[shard].term
    }

    /// Highest known terms of all shards, by number.
    pub(crate) fn terms(&self) -> Vec<u64> {
        self.shards.iter().map(|shard| shard.term).collect()
    }

    /// This process's leadership of a shard, if it has acquired it; its controller lease may
    /// have expired since.
    pub(crate) fn led_shard(&self, shard: usize) -> Option<&ShardLeadership> {
        self.shards[shard].leadership.as_ref()
    }

    /// Numbers and terms of the shards that this process has acquired.
    pub(crate) fn led_terms(&self) -> impl Iterator<Item = (usize, u64)> {
        let shards = self.shards.iter().enumerate();
        shards.filter_map(|(number, shard)| Some((number, shard.leadership.as_ref()?.term)))
    }

    /// Whether this process has acquired a shard under this very term.
    pub(crate) fn leads_under(&self, shard: usize, term: u64) -> bool {
        self.led_shard(shard).is_some_and(|leadership| leadership.term == term)
    }

    /// The term under which this process leads a shard, if it does.
    pub(crate) fn leading_term(&self, shard: usize, now: Micros) -> Option<u64> {
        let leadership = self.shards.get(shard)?.leadership.as_ref()?;
        self.holds_lease(now).then_some(leadership.term)
    }

    /// Whether this process runs the shard's jobs.
    pub(crate) fn serves_shard(&self, shard: usize, now: Micros) -> bool {
        let runs = |led: &ShardLeadership| led.recovered && !led.handing_over;
        self.holds_lease(now) && self.led_shard(shard).is_some_and(runs)
    }

    /// A peer says that it leads a shard under a term. Whether this process led it under a
    /// lower one, and must step down.
    pub(crate) fn observe_claim(&mut self, shard: usize, term: u64) -> bool {
        let Some(known) = self.shards.get_mut(shard).filter(|known| term > known.term) else {
            return false;
        };
        known.term = term;
        known.leadership.as_ref().is_some_and(|leadership| leadership.term < term)
    }

    /// The shard of a machine.
    pub(crate) fn shard_of_machine(&self, machine: &str) -> usize {
        shard::shard_of_machine(machine, self.shards.len())
    }

    /// Name of the member that leads a shard, as far as known.
    pub(crate) fn leader_name(&self, shard: usize) -> Option<&str> {
        let stored = self.shards[shard].lease.as_ref()?;
        Some(&stored.lease.member)
    }

    /// Revision of the store up to which changes of jobs are known, 0 for none.
    pub(crate) fn followed_jobs_revision(&self) -> u64 {
        self.watches.jobs_revision()
    }

    /// All changes of jobs that had been made by then are known.
    pub(crate) fn jobs_caught_up_at(&self) -> Micros {
        self.watches.jobs_caught_up_at()
    }

    /// Whether this process hands its shards over, since its workers cannot reach it.
    pub(crate) fn is_partitioned(&self) -> bool {
        self.connectivity.partitioned()
    }

    /// A worker of an own shard sent a heartbeat or answered.
    pub(crate) fn record_contact(&mut self, now: Micros) {
        self.connectivity.record_contact(now);
    }

    /// A machine of somebody else's shard sent its heartbeat here.
    pub(crate) fn note_misdirected(&mut self, now: Micros, machine: &str) {
        self.connectivity.note_misdirected(now, machine);
    }

    /// A worker that was probed during a partition answered, or did not.
    pub(crate) fn probe_reply(&mut self, reply: &DirectReply, now: Micros) {
        self.connectivity.probe_reply(reply, now);
    }
}
