//! Pools of machines that pass the same filters, and the two orders in which they are searched.

use crate::controller::autoscaler::machine_offer::demand_allows;
use crate::controller::scheduler::capacity::machine::MachineCapacity;
use crate::peer::Demand;
use crate::wire::JobSpec;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A machine's id in [`ClusterCapacity`](super::ClusterCapacity). It is reused after the
/// machine was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineId(pub(super) usize);

/// A pool's id in [`ClusterCapacity`](super::ClusterCapacity). It is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolId(pub(super) usize);

/// Type, zone and kind of machines: all machines of a pool pass the same filters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolKey {
    /// Name of the machine type.
    pub machine_type: Rc<str>,
    /// Zone of the machines.
    pub zone: Rc<str>,
    /// Whether they are spot machines, which the cloud may reclaim.
    pub spot: bool,
}

impl PoolKey {
    /// Whether a job's tasks may run on machines of the pool.
    pub fn admits_job(&self, spec: &JobSpec) -> bool {
        spec.types.as_ref().is_none_or(|list| list.iter().any(|name| **name == *self.machine_type))
            && (spec.spot || !self.spot)
            && spec.zone.as_deref().is_none_or(|zone| zone == &*self.zone)
    }

    /// Whether pending tasks, of any shard, may run on machines of the pool.
    pub fn admits_demand(&self, demand: &Demand) -> bool {
        demand_allows(demand, &self.machine_type, &self.zone, self.spot)
    }
}

/// Position of a machine in the order of load: fewest reserved tasks first, then machines of
/// led shards, then most free CPUs. Fields are compared in order of declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LoadKey {
    reserved_tasks: u32,
    led_by_peer: bool,
    negated_free_millicpus: i64,
    /// Compared last, so that the order is total.
    pub(super) machine: MachineId,
}

impl LoadKey {
    /// The key of a machine with its current capacity.
    pub(super) fn of(machine: MachineId, capacity: &MachineCapacity) -> LoadKey {
        LoadKey {
            reserved_tasks: capacity.tasks.len() as u32,
            led_by_peer: capacity.led_by_peer,
            negated_free_millicpus: -millicpus(capacity.free.cpus),
            machine,
        }
    }
}

/// Position of a machine in the order of free CPUs, fewest first. Fields are compared in order
/// of declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FreeCpusKey {
    free_millicpus: i64,
    /// Compared last, so that the order is total.
    pub(super) machine: MachineId,
}

impl FreeCpusKey {
    /// The key of a machine with its current capacity.
    pub(super) fn of(machine: MachineId, capacity: &MachineCapacity) -> FreeCpusKey {
        FreeCpusKey { free_millicpus: millicpus(capacity.free.cpus), machine }
    }

    /// Lower bound of the keys of all machines with at least this many free CPUs.
    pub(super) fn lower_bound(cpus: f64) -> FreeCpusKey {
        FreeCpusKey { free_millicpus: millicpus(cpus), machine: MachineId(0) }
    }
}

fn millicpus(cpus: f64) -> i64 {
    (cpus * 1_000.0).round() as i64
}

/// A pool, with its machines that have free CPUs in both orders.
#[derive(Debug, Clone)]
pub(super) struct Pool {
    /// Type, zone and kind of its machines.
    pub(super) key: PoolKey,
    /// Machines with free CPUs, the least loaded first.
    pub(super) by_load: BTreeSet<LoadKey>,
    /// Machines with free CPUs, those with the fewest first.
    pub(super) by_free_cpus: BTreeSet<FreeCpusKey>,
}

impl Pool {
    /// A pool without machines.
    pub(super) fn new(key: PoolKey) -> Pool {
        Pool { key, by_load: BTreeSet::new(), by_free_cpus: BTreeSet::new() }
    }

    /// Adds a machine with its current capacity.
    pub(super) fn insert(&mut self, machine: MachineId, capacity: &MachineCapacity) {
        self.by_load.insert(LoadKey::of(machine, capacity));
        self.by_free_cpus.insert(FreeCpusKey::of(machine, capacity));
    }

    /// Removes a machine; `capacity` must be the same as when the machine was added.
    pub(super) fn remove(&mut self, machine: MachineId, capacity: &MachineCapacity) {
        self.by_load.remove(&LoadKey::of(machine, capacity));
        self.by_free_cpus.remove(&FreeCpusKey::of(machine, capacity));
    }
}
