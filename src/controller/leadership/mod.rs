//! Which shards this process leads: its lease at the key-value store, the leases of the
//! shards, their terms, and what is recovered when a shard changes its leader.
//!
//! Owns the store's lease, every shard's lease and term as known here, the watches of the
//! store and whether the workers can reach this process. Nothing here decides about jobs
//! or machines.

pub mod connectivity;
pub mod shard;

pub(crate) mod acquisition;
pub(crate) mod recovery;
pub(crate) mod watches;

use crate::controller::calls::Watch;
use crate::time::Micros;
use connectivity::Connectivity;
use recovery::ShardRecovery;
use shard::{ControllerLease, Shard};
use std::collections::BTreeMap;
use watches::WatchState;

/// What this process knows of its own and the other members' leadership.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) controller_lease: ControllerLease,
    /// All shards, by number.
    pub(crate) shards: Vec<Shard>,
    /// The shards' leases and terms have been read since they were last in doubt.
    pub(crate) shards_read: bool,
    pub(crate) shards_reading: bool,
    /// Shards that were acquired and whose jobs are being read.
    pub(crate) recoveries: BTreeMap<usize, ShardRecovery>,
    pub(crate) watches: BTreeMap<Watch, WatchState>,
    /// When this process last held its lease.
    pub(crate) lease_held_at: Micros,
    /// It held its lease at the last tick.
    pub(crate) held_lease: bool,
    /// Whether the workers and this node can reach each other.
    pub(crate) connectivity: Connectivity,
}

impl Leadership {
    /// No lease is held, and nothing is known of any of `count` shards.
    pub(crate) fn new(count: usize) -> Leadership {
        Leadership {
            controller_lease: ControllerLease::default(),
            shards: vec![Shard::default(); count],
            shards_read: false,
            shards_reading: false,
            recoveries: BTreeMap::new(),
            watches: BTreeMap::new(),
            lease_held_at: Micros::ZERO,
            held_lease: false,
            connectivity: Connectivity::default(),
        }
    }

    /// Whether this process may act for the shards that it leads. Past the end of its
    /// lease another may have acquired them.
    pub(crate) fn holds_lease(&self, now: Micros) -> bool {
        self.controller_lease.valid(now)
    }

    /// The term under which this process leads a shard, if it does.
    pub(crate) fn leading_term(&self, shard: usize, now: Micros) -> Option<u64> {
        let leadership = self.shards.get(shard)?.leadership.as_ref()?;
        self.holds_lease(now).then_some(leadership.term)
    }

    /// Whether this process runs the shard's jobs.
    pub(crate) fn serves_shard(&self, shard: usize, now: Micros) -> bool {
        let leadership = self.shards[shard].leadership.as_ref();
        self.holds_lease(now) && leadership.is_some_and(|l| l.recovered && !l.handing_over)
    }

    /// The shard of a machine.
    pub(crate) fn shard_of_machine(&self, machine: &str) -> usize {
        shard::shard_of_machine(machine, self.shards.len())
    }

    /// Name of the member that leads a shard, as far as known.
    pub(crate) fn leader_name(&self, shard: usize) -> Option<&str> {
        let (lease, _) = self.shards[shard].lease.as_ref()?;
        Some(&lease.member)
    }
}
