//! Capacity of all machines that tasks may be placed on, with totals of their reserved tasks.

use crate::controller::quota::amount::QuotaAmount;
use crate::controller::scheduler::capacity::index::{MachineId, Pool, PoolId, PoolKey};
use crate::controller::scheduler::capacity::machine::MachineCapacity;
use crate::peer::Demand;
use crate::resources::Resources;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Number of ranks that are counted separately; tasks of less urgent ranks count as the last.
const COUNTED_RANKS: usize = 4;

/// A machine must have more free CPUs than this to be in its pool's indexes: a full machine is
/// of no use to any placement.
const MIN_FREE_CPUS: f64 = 1e-6;

/// All machines that tasks may be placed on.
#[derive(Debug, Clone, Default)]
pub struct ClusterCapacity {
    pools: Vec<Pool>,
    /// Machines by [`MachineId`]; `None` for ids that are not in use.
    machines: Vec<Option<PooledMachine>>,
    ids: HashMap<Rc<str>, MachineId>,
    /// Ids of removed machines, for reuse.
    unused_ids: Vec<MachineId>,
    /// Number of reserved tasks that are not stopping, by rank.
    tasks_by_rank: [u32; COUNTED_RANKS],
    /// Usage of the reserved tasks that are not stopping, by team.
    usage: BTreeMap<String, QuotaAmount>,
    /// Machines with capacity held for other shards' tasks.
    machines_with_holds: Vec<MachineId>,
}

#[derive(Debug, Clone)]
struct PooledMachine {
    pool: PoolId,
    capacity: MachineCapacity,
}

impl ClusterCapacity {
    /// Sets a machine's pool and capacity, or removes the machine if `capacity` is `None`.
    pub fn set(&mut self, machine: &str, capacity: Option<(PoolKey, MachineCapacity)>) {
        if let Some(id) = self.id(machine) {
            self.detach(id);
            if capacity.is_none() {
                self.machines[id.0] = None;
                self.ids.remove(machine);
                self.unused_ids.push(id);
                return;
            }
        }
        let Some((key, capacity)) = capacity else {
            return;
        };
        let pool = self.find_or_add_pool(key);
        let id = match self.id(machine) {
            Some(id) => id,
            None => self.allocate_id(&capacity.machine),
        };
        self.machines[id.0] = Some(PooledMachine { pool, capacity });
        self.attach(id);
    }

    fn find_or_add_pool(&mut self, key: PoolKey) -> PoolId {
        let position = self.pools.iter().position(|pool| pool.key == key);
        PoolId(position.unwrap_or_else(|| {
            self.pools.push(Pool::new(key));
            self.pools.len() - 1
        }))
    }

    fn allocate_id(&mut self, machine: &Rc<str>) -> MachineId {
        let id = self.unused_ids.pop().unwrap_or_else(|| {
            self.machines.push(None);
            MachineId(self.machines.len() - 1)
        });
        self.ids.insert(Rc::clone(machine), id);
        id
    }

    /// Removes a machine from the indexes and totals, before it changes.
    fn detach(&mut self, id: MachineId) {
        let Some(PooledMachine { pool, capacity }) = &self.machines[id.0] else {
            return;
        };
        self.pools[pool.0].remove(id, capacity);
        for task in capacity.tasks.iter().filter(|task| !task.stopping) {
            self.tasks_by_rank[(task.rank as usize).min(COUNTED_RANKS - 1)] -= 1;
            if let Some(usage) = self.usage.get_mut(&task.team) {
                *usage -= task.resources.into();
            }
        }
    }

    /// Adds a machine to the indexes and totals, after it has changed.
    fn attach(&mut self, id: MachineId) {
        let Some(PooledMachine { pool, capacity }) = &self.machines[id.0] else {
            return;
        };
        for task in capacity.tasks.iter().filter(|task| !task.stopping) {
            self.tasks_by_rank[(task.rank as usize).min(COUNTED_RANKS - 1)] += 1;
            if !self.usage.contains_key(&task.team) {
                self.usage.insert(task.team.clone(), QuotaAmount::default());
            }
            if let Some(usage) = self.usage.get_mut(&task.team) {
                *usage += task.resources.into();
            }
        }
        if capacity.free.cpus > MIN_FREE_CPUS {
            self.pools[pool.0].insert(id, capacity);
        }
    }

    /// Changes a machine's capacity and updates the indexes and totals.
    pub fn change(&mut self, id: MachineId, change: impl FnOnce(&mut MachineCapacity)) {
        self.detach(id);
        if let Some(machine) = &mut self.machines[id.0] {
            change(&mut machine.capacity);
        }
        self.attach(id);
    }

    /// A machine's capacity by id; `None` if the id is not in use.
    pub fn get(&self, id: MachineId) -> Option<&MachineCapacity> {
        Some(&self.machines.get(id.0)?.as_ref()?.capacity)
    }

    /// A machine's id by name; `None` if no task may be placed on the machine.
    pub fn id(&self, machine: &str) -> Option<MachineId> {
        self.ids.get(machine).copied()
    }

    /// A machine's capacity by name; `None` if no task may be placed on the machine.
    pub fn by_name(&self, machine: &str) -> Option<&MachineCapacity> {
        self.get(self.id(machine)?)
    }

    /// Key of the pool that a machine belongs to.
    pub fn pool_of(&self, id: MachineId) -> Option<&PoolKey> {
        let machine = self.machines.get(id.0)?.as_ref()?;
        Some(&self.pool(machine.pool).key)
    }

    /// All machines with their pool keys, in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (MachineId, &PoolKey, &MachineCapacity)> {
        self.machines.iter().enumerate().filter_map(|(id, machine)| {
            let machine = machine.as_ref()?;
            Some((MachineId(id), &self.pool(machine.pool).key, &machine.capacity))
        })
    }

    /// The pools whose keys pass a filter.
    pub fn pools(&self, passes: impl Fn(&PoolKey) -> bool) -> Vec<PoolId> {
        let numbers = 0..self.pools.len();
        numbers.filter(|number| passes(&self.pools[*number].key)).map(PoolId).collect()
    }

    /// Whether a machine belongs to one of the given pools.
    pub fn is_in_pools(&self, id: MachineId, pools: &[PoolId]) -> bool {
        let machine = self.machines.get(id.0).and_then(Option::as_ref);
        machine.is_some_and(|machine| pools.contains(&machine.pool))
    }

    /// A pool by its id.
    pub(super) fn pool(&self, id: PoolId) -> &Pool {
        &self.pools[id.0]
    }

    /// Usage by team, without tasks that are stopping. If these counted against a team until
    /// they are gone, more of its tasks would be preempted than necessary.
    pub fn usage(&self) -> &BTreeMap<String, QuotaAmount> {
        &self.usage
    }

    /// Number of reserved tasks that are less urgent than a rank and not stopping.
    pub fn tasks_below(&self, rank: u32) -> u32 {
        self.tasks_by_rank.iter().skip(rank as usize + 1).sum()
    }

    /// Holds capacity for pending tasks of other shards, as far as there is any, until
    /// [`ClusterCapacity::release_holds`].
    pub fn hold(&mut self, demand: &Demand) {
        let needed = Resources::from(demand);
        let mut left = demand.tasks;
        for pool in self.pools(|key| key.admits_demand(demand)) {
            for key in &self.pools[pool.0].by_load {
                if left == 0 {
                    return;
                }
                let Some(machine) = &mut self.machines[key.machine.0] else {
                    continue;
                };
                let tasks = machine.capacity.available().tasks_that_fit(&needed).min(left);
                if tasks > 0 {
                    left -= tasks;
                    machine.capacity.held += needed * tasks;
                    self.machines_with_holds.push(key.machine);
                }
            }
        }
    }

    /// Releases all held capacity.
    pub fn release_holds(&mut self) {
        for id in std::mem::take(&mut self.machines_with_holds) {
            if let Some(machine) = &mut self.machines[id.0] {
                machine.capacity.held = Resources::ZERO;
            }
        }
    }

    /// Number of machines that tasks may be placed on.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether there is no such machine.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
