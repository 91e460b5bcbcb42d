//! Searches for a machine that has capacity for a task, in order of load or of free CPUs.

use crate::controller::scheduler::capacity::cluster::ClusterCapacity;
use crate::controller::scheduler::capacity::index::{FreeCpusKey, LoadKey, MachineId, PoolId};
use crate::controller::scheduler::capacity::machine::MachineCapacity;
use crate::peer::Demand;
use crate::resources::Resources;

impl ClusterCapacity {
    /// Finds the least loaded machine of the given pools that has capacity for a task and passes
    /// a filter. Load is compared by reserved tasks, then led shards first, then free CPUs.
    pub fn least_loaded(
        &self,
        pools: &[PoolId],
        needed: &Resources,
        passes: impl Fn(MachineId, &MachineCapacity) -> bool,
    ) -> Option<MachineId> {
        let mut best: Option<LoadKey> = None;
        for pool in pools {
            let keys = self.pool(*pool).by_load.iter().copied();
            best = first_suitable(best, keys, |key| self.is_suitable(key.machine, needed, &passes));
        }
        best.map(|key| key.machine)
    }

    /// Finds the machine of the given pools with the fewest free CPUs that has capacity for a
    /// task and passes a filter.
    pub fn best_fit(
        &self,
        pools: &[PoolId],
        needed: &Resources,
        passes: impl Fn(MachineId, &MachineCapacity) -> bool,
    ) -> Option<MachineId> {
        let mut best: Option<FreeCpusKey> = None;
        for pool in pools {
            let large_enough = FreeCpusKey::lower_bound(needed.cpus)..;
            let keys = self.pool(*pool).by_free_cpus.range(large_enough).copied();
            best = first_suitable(best, keys, |key| self.is_suitable(key.machine, needed, &passes));
        }
        best.map(|key| key.machine)
    }

    /// Like [`ClusterCapacity::least_loaded`], but searches only the given machines.
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

    /// Like [`ClusterCapacity::best_fit`], but searches only the given machines.
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

    /// Whether any machine has capacity for one task of a demand entry.
    pub fn has_capacity_for(&self, demand: &Demand) -> bool {
        let pools = self.pools(|key| key.admits_demand(demand));
        self.best_fit(&pools, &Resources::from(demand), |_, _| true).is_some()
    }

    /// Whether a machine has capacity for a task and passes a filter.
    fn is_suitable(
        &self,
        machine: MachineId,
        needed: &Resources,
        passes: &impl Fn(MachineId, &MachineCapacity) -> bool,
    ) -> bool {
        self.get(machine)
            .is_some_and(|capacity| capacity.available().fits(needed) && passes(machine, capacity))
    }

    /// Those of the given machines that belong to the given pools, have capacity for a task and
    /// pass a filter.
    fn suitable<'a, 'b>(
        &'b self,
        machines: impl Iterator<Item = &'a MachineId>,
        pools: &[PoolId],
        needed: &Resources,
        passes: impl Fn(MachineId, &MachineCapacity) -> bool,
    ) -> impl Iterator<Item = (MachineId, &'b MachineCapacity)> {
        machines.filter_map(move |machine| {
            let is_suitable =
                self.is_in_pools(*machine, pools) && self.is_suitable(*machine, needed, &passes);
            Some((*machine, self.get(*machine).filter(|_| is_suitable)?))
        })
    }
}

/// The first suitable key of an ordered sequence, or `best` if it comes before that key or no
/// key is suitable.
fn first_suitable<Key: Ord + Copy>(
    best: Option<Key>,
    ordered: impl Iterator<Item = Key>,
    is_suitable: impl Fn(Key) -> bool,
) -> Option<Key> {
    for key in ordered {
        if best.is_some_and(|best| best <= key) {
            break;
        }
        if is_suitable(key) {
            return Some(key);
        }
    }
    best
}
