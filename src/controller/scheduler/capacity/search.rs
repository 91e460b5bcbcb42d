//! Searches for a machine with capacity for a task, in the order of load or of free CPUs.

use crate::controller::scheduler::capacity::cluster::ClusterCapacity;
use crate::controller::scheduler::capacity::index::{FreeCpusKey, LoadKey, MachineId, PoolId};
use crate::controller::scheduler::capacity::machine::MachineCapacity;
use crate::peer::Demand;
use crate::resources::Resources;

impl ClusterCapacity {
    /// The machine of some pools with the fewest reserved tasks that has capacity for a task
    /// and passes a filter.
    pub fn least_loaded(
        &self,
        pools: &[PoolId],
        needed: &Resources,
        passes: impl Fn(MachineId, &MachineCapacity) -> bool,
    ) -> Option<MachineId> {
        let mut best: Option<LoadKey> = None;
        for pool in pools {
            let keys = self.pool(*pool).by_load.iter().copied();
            best = first_before(best, keys, |key| self.suits(key.machine, needed, &passes));
        }
        best.map(|key| key.machine)
    }

    /// The machine of some pools with the least free CPUs that has capacity for a task and
    /// passes a filter.
    pub fn best_fit(
        &self,
        pools: &[PoolId],
        needed: &Resources,
        passes: impl Fn(MachineId, &MachineCapacity) -> bool,
    ) -> Option<MachineId> {
        let mut best: Option<FreeCpusKey> = None;
        for pool in pools {
            let large_enough = FreeCpusKey::first_with(needed.cpus)..;
            let keys = self.pool(*pool).by_free_cpus.range(large_enough).copied();
            best = first_before(best, keys, |key| self.suits(key.machine, needed, &passes));
        }
        best.map(|key| key.machine)
    }

    /// The least loaded of some machines, in the order of [`ClusterCapacity::least_loaded`].
    pub fn least_loaded_among<'a>(
        &self,
        machines: impl Iterator<Item = &'a MachineId>,
        pools: &[PoolId],
        needed: &Resources,
        passes: impl Fn(MachineId, &MachineCapacity) -> bool,
    ) -> Option<MachineId> {
        self.suitable(machines, pools, needed, passes)
            .min_by_key(|(machine, capacity)| LoadKey::of(*machine, capacity))
            .map(|(machine, _)| machine)
    }

    /// Of some machines the one with the least free CPUs, in the order of
    /// [`ClusterCapacity::best_fit`].
    pub fn best_fit_among<'a>(
        &self,
        machines: impl Iterator<Item = &'a MachineId>,
        pools: &[PoolId],
        needed: &Resources,
        passes: impl Fn(MachineId, &MachineCapacity) -> bool,
    ) -> Option<MachineId> {
        self.suitable(machines, pools, needed, passes)
            .min_by_key(|(machine, capacity)| FreeCpusKey::of(*machine, capacity))
            .map(|(machine, _)| machine)
    }

    /// Whether any machine has capacity for one of some waiting tasks.
    pub fn takes(&self, demand: &Demand) -> bool {
        let pools = self.pools(|key| key.admits_demand(demand));
        self.best_fit(&pools, &Resources::from(demand), |_, _| true).is_some()
    }

    /// Whether a machine has capacity for a task and passes a filter.
    fn suits(
        &self,
        machine: MachineId,
        needed: &Resources,
        passes: &impl Fn(MachineId, &MachineCapacity) -> bool,
    ) -> bool {
        self.get(machine)
            .is_some_and(|capacity| capacity.available().fits(needed) && passes(machine, capacity))
    }

    /// Of some machines those in some pools that have capacity for a task and pass a filter.
    fn suitable<'a, 'b>(
        &'b self,
        machines: impl Iterator<Item = &'a MachineId>,
        pools: &[PoolId],
        needed: &Resources,
        passes: impl Fn(MachineId, &MachineCapacity) -> bool,
    ) -> impl Iterator<Item = (MachineId, &'b MachineCapacity)> {
        machines.filter_map(move |machine| {
            let suits = self.among(*machine, pools) && self.suits(*machine, needed, &passes);
            Some((*machine, self.get(*machine).filter(|_| suits)?))
        })
    }
}

/// The first suitable key of an ordered sequence, or `best` if that comes before it.
fn first_before<Key: Ord + Copy>(
    best: Option<Key>,
    ordered: impl Iterator<Item = Key>,
    suits: impl Fn(Key) -> bool,
) -> Option<Key> {
    for key in ordered {
        if best.is_some_and(|best| best <= key) {
            break;
        }
        if suits(key) {
            return Some(key);
        }
    }
    best
}
