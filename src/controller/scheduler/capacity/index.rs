//! Pools of machines that pass the same filters, and the orders in which a pool is searched.

use crate::controller::autoscaler::offer::allows;
use crate::controller::scheduler::capacity::machine::MachineCapacity;
use crate::peer::Demand;
use crate::wire::JobSpec;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A machine's number in [`ClusterCapacity`](super::ClusterCapacity), given out anew once the
/// machine is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineId(pub(super) usize);

/// A pool's number in [`ClusterCapacity`](super::ClusterCapacity), never given out anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolId(pub(super) usize);

/// Type and place of machines: those of a pool pass the same filters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolKey {
    /// Machine type.
    pub machine_type: Rc<str>,
    /// Zone.
    pub zone: Rc<str>,
    /// Spot instances, which the cloud may reclaim.
    pub spot: bool,
}

impl PoolKey {
    /// Whether a job's tasks may run on machines of the pool.
    pub fn admits_job(&self, spec: &JobSpec) -> bool {
        spec.types.as_ref().is_none_or(|list| list.iter().any(|name| **name == *self.machine_type))
            && (spec.spot || !self.spot)
            && spec.zone.as_deref().is_none_or(|zone| zone == &*self.zone)
    }

    /// Whether waiting tasks of any shard may run on machines of the pool.
    pub fn admits_demand(&self, demand: &Demand) -> bool {
        allows(demand, &self.machine_type, &self.zone, self.spot)
    }
}

/// Place of a machine in the order of load: fewest reserved tasks first, then machines of own
/// shards, then most free CPUs. The order of the fields is that of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LoadKey {
    reserved_tasks: u32,
    led_by_peer: bool,
    negated_free_millicpus: i64,
    /// The machine.
    pub(super) machine: MachineId,
}

impl LoadKey {
    /// The place of a machine as it now stands.
    pub(super) fn of(machine: MachineId, capacity: &MachineCapacity) -> LoadKey {
        LoadKey {
            reserved_tasks: capacity.tasks.len() as u32,
            led_by_peer: capacity.led_by_peer,
            negated_free_millicpus: -millicpus(capacity.free.cpus),
            machine,
        }
    }
}

/// Place of a machine in the order of free CPUs, least first. The order of the fields is that
/// of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FreeCpusKey {
    free_millicpus: i64,
    /// The machine.
    pub(super) machine: MachineId,
}

impl FreeCpusKey {
    /// The place of a machine as it now stands.
    pub(super) fn of(machine: MachineId, capacity: &MachineCapacity) -> FreeCpusKey {
        FreeCpusKey { free_millicpus: millicpus(capacity.free.cpus), machine }
    }

    /// The first place that a machine with so many free CPUs can have.
    pub(super) fn first_with(cpus: f64) -> FreeCpusKey {
        FreeCpusKey { free_millicpus: millicpus(cpus), machine: MachineId(0) }
    }
}

fn millicpus(cpus: f64) -> i64 {
    (cpus * 1_000.0).round() as i64
}

/// The machines of a pool that have free CPUs, in both orders.
#[derive(Debug, Clone)]
pub(super) struct Pool {
    /// Type and place of its machines.
    pub(super) key: PoolKey,
    /// Its machines, the least loaded first.
    pub(super) by_load: BTreeSet<LoadKey>,
    /// Its machines, those with the least free CPUs first.
    pub(super) by_free_cpus: BTreeSet<FreeCpusKey>,
}

impl Pool {
    /// A pool without machines.
    pub(super) fn new(key: PoolKey) -> Pool {
        Pool { key, by_load: BTreeSet::new(), by_free_cpus: BTreeSet::new() }
    }

    /// Enters a machine as it now stands.
    pub(super) fn insert(&mut self, machine: MachineId, capacity: &MachineCapacity) {
        self.by_load.insert(LoadKey::of(machine, capacity));
        self.by_free_cpus.insert(FreeCpusKey::of(machine, capacity));
    }

    /// Removes a machine, which must stand as it was entered.
    pub(super) fn remove(&mut self, machine: MachineId, capacity: &MachineCapacity) {
        self.by_load.remove(&LoadKey::of(machine, capacity));
        self.by_free_cpus.remove(&FreeCpusKey::of(machine, capacity));
    }
}
