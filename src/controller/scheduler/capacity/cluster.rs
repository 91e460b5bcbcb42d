//! All machines that tasks may be placed on, with sums over their reserved tasks.

use crate::controller::quota::amount::QuotaAmount;
use crate::controller::scheduler::capacity::index::{MachineId, Pool, PoolId, PoolKey};
use crate::controller::scheduler::capacity::machine::MachineCapacity;
use crate::peer::Demand;
use crate::resources::Resources;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Ranks of service that are told apart; what is less urgent counts as the last of them.
const RANKS: usize = 4;

/// CPUs from which on a machine is in its pool's indexes: a full one is of no use to any
/// placement.
const MIN_FREE_CPUS: f64 = 1e-6;

/// All machines that tasks may be placed on.
#[derive(Debug, Clone, Default)]
pub struct ClusterCapacity {
    pools: Vec<Pool>,
    /// By [`MachineId`]; `None` where a number is not in use.
    machines: Vec<Option<PooledMachine>>,
    ids: HashMap<Rc<str>, MachineId>,
    /// Numbers of machines that were removed.
    unused_ids: Vec<MachineId>,
    /// Reserved tasks by rank that are not stopping.
    tasks_by_rank: [u32; RANKS],
    /// What teams' reserved tasks use that are not stopping.
    usage: BTreeMap<String, QuotaAmount>,
    /// Machines of which something is held for other shards' tasks.
    machines_with_holds: Vec<MachineId>,
}

#[derive(Debug, Clone)]
struct PooledMachine {
    pool: PoolId,
    capacity: MachineCapacity,
}

impl ClusterCapacity {
    /// Sets a machine as it now stands, or removes it.
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
        let pool = self.pool_with(key);
        let id = match self.id(machine) {
            Some(id) => id,
            None => self.new_id(&capacity.machine),
        };
        self.machines[id.0] = Some(PooledMachine { pool, capacity });
        self.attach(id);
    }

    fn pool_with(&mut self, key: PoolKey) -> PoolId {
        let position = self.pools.iter().position(|pool| pool.key == key);
        PoolId(position.unwrap_or_else(|| {
            self.pools.push(Pool::new(key));
            self.pools.len() - 1
        }))
    }

    fn new_id(&mut self, machine: &Rc<str>) -> MachineId {
        let id = self.unused_ids.pop().unwrap_or_else(|| {
            self.machines.push(None);
            MachineId(self.machines.len() - 1)
        });
        self.ids.insert(Rc::clone(machine), id);
        id
    }

    /// Takes a machine out of the indexes and sums, before it changes.
    fn detach(&mut self, id: MachineId) {
        let Some(PooledMachine { pool, capacity }) = &self.machines[id.0] else {
            return;
        };
        self.pools[pool.0].remove(id, capacity);
        for task in capacity.tasks.iter().filter(|task| !task.stopping) {
            self.tasks_by_rank[(task.rank as usize).min(RANKS - 1)] -= 1;
            if let Some(usage) = self.usage.get_mut(&task.team) {
                *usage -= task.resources.into();
            }
        }
    }

    /// Enters a machine into the indexes and sums, after it has changed.
    fn attach(&mut self, id: MachineId) {
        let Some(PooledMachine { pool, capacity }) = &self.machines[id.0] else {
            return;
        };
        for task in capacity.tasks.iter().filter(|task| !task.stopping) {
            self.tasks_by_rank[(task.rank as usize).min(RANKS - 1)] += 1;
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

    /// Changes a machine.
    pub fn change(&mut self, id: MachineId, change: impl FnOnce(&mut MachineCapacity)) {
        self.detach(id);
        if let Some(machine) = &mut self.machines[id.0] {
            change(&mut machine.capacity);
        }
        self.attach(id);
    }

    /// A machine by number.
    pub fn get(&self, id: MachineId) -> Option<&MachineCapacity> {
        Some(&self.machines.get(id.0)?.as_ref()?.capacity)
    }

    /// A machine's number by name.
    pub fn id(&self, machine: &str) -> Option<MachineId> {
        self.ids.get(machine).copied()
    }

    /// A machine by name.
    pub fn by_name(&self, machine: &str) -> Option<&MachineCapacity> {
        self.get(self.id(machine)?)
    }

    /// Type and place of a machine.
    pub fn pool_of(&self, id: MachineId) -> Option<&PoolKey> {
        let machine = self.machines.get(id.0)?.as_ref()?;
        Some(&self.pool(machine.pool).key)
    }

    /// All machines with their type and place, by number.
    pub fn iter(&self) -> impl Iterator<Item = (MachineId, &PoolKey, &MachineCapacity)> {
        self.machines.iter().enumerate().filter_map(|(id, machine)| {
            let machine = machine.as_ref()?;
            Some((MachineId(id), &self.pool(machine.pool).key, &machine.capacity))
        })
    }

    /// The pools that pass a filter.
    pub fn pools(&self, passes: impl Fn(&PoolKey) -> bool) -> Vec<PoolId> {
        let numbers = 0..self.pools.len();
        numbers.filter(|number| passes(&self.pools[*number].key)).map(PoolId).collect()
    }

    /// Whether a machine is in one of some pools.
    pub fn among(&self, id: MachineId, pools: &[PoolId]) -> bool {
        let machine = self.machines.get(id.0).and_then(Option::as_ref);
        machine.is_some_and(|machine| pools.contains(&machine.pool))
    }

    /// A pool by number.
    pub(super) fn pool(&self, id: PoolId) -> &Pool {
        &self.pools[id.0]
    }

    /// What teams' tasks use that are there to stay: those that are stopping
    /// would be counted against a team until they are gone, and more of its
    /// tasks stopped for it.
    pub fn usage(&self) -> &BTreeMap<String, QuotaAmount> {
        &self.usage
    }

    /// Reserved tasks less urgent than a rank that are not stopping.
    pub fn tasks_below(&self, rank: u32) -> u32 {
        self.tasks_by_rank.iter().skip(rank as usize + 1).sum()
    }

    /// Holds capacity for waiting tasks of other shards, where there is any, until
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

    /// Gives up what was held.
    pub fn release_holds(&mut self) {
        for id in std::mem::take(&mut self.machines_with_holds) {
            if let Some(machine) = &mut self.machines[id.0] {
                machine.capacity.held = Resources::ZERO;
            }
        }
    }

    /// Number of machines.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
