//! The machines that tasks may be placed on, with their room, kept up to date
//! machine by machine.
//!
//! A placement looks at machines in order of booked tasks and of free room;
//! both orders are indexes here, so that a change costs the change and a
//! placement does not walk the fleet.

use crate::controller::autoscaler::planning::{allows, fits};
use crate::controller::quota::team_quota::Amount;
use crate::peer::Demand;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// Ranks of service that are told apart.
const RANKS: usize = 4;

/// A task booked on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct ReservedTask {
    /// Rank of service.
    pub rank: u32,
    /// Team.
    pub team: String,
    /// CPUs, GPUs, memory.
    pub amount: [f64; 3],
    /// Job.
    pub job: String,
    /// Number of the task.
    pub index: u32,
    /// Attempt.
    pub attempt: u64,
    /// It is to make room, or has been asked to.
    pub stopping: bool,
    /// Time of day at which it was placed.
    pub placed: Micros,
    /// Seconds between its checkpoints.
    pub checkpoint_s: f64,
    /// Seconds that it is expected to run.
    pub expected_s: f64,
}

/// A machine's kind and place: machines of a pool pass the same filters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolKey {
    /// Type.
    pub machine_type: Rc<str>,
    /// Zone.
    pub zone: Rc<str>,
    /// Spot machines.
    pub spot: bool,
}

#[derive(Debug, Clone)]
struct Pool {
    key: PoolKey,
    /// Fewest booked tasks first, then own machines, then most free CPUs.
    by_load: BTreeSet<(u32, bool, i64, usize)>,
    /// Least free CPUs first.
    by_free: BTreeSet<(i64, usize)>,
}

/// A machine that may be given tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineCapacity {
    /// Its name.
    pub machine: Rc<str>,
    /// Session.
    pub incarnation: u64,
    /// Another controller commands it.
    pub led_by_peer: bool,
    /// CPUs, GPUs, memory that nothing is booked on.
    pub free: [f64; 3],
    /// Until when room that came up here is left to the controller that commands
    /// the machine: taken by several at once it would go to one of them.
    pub yielded_until: Micros,
    /// Room kept in this pass for more urgent tasks of other shards.
    pub held: [f64; 3],
    /// What is booked.
    pub tasks: Vec<ReservedTask>,
}

impl MachineCapacity {
    /// A machine with nothing booked.
    pub fn new(
        machine: Rc<str>,
        incarnation: u64,
        led_by_peer: bool,
        size: [f64; 3],
    ) -> MachineCapacity {
        let (yielded_until, held) = (Micros::ZERO, [0.0; 3]);
        MachineCapacity {
            machine,
            incarnation,
            led_by_peer,
            free: size,
            yielded_until,
            held,
            tasks: Vec::new(),
        }
    }

    /// Books a task.
    pub fn reserve(&mut self, b: ReservedTask) {
        for (f, a) in self.free.iter_mut().zip(b.amount) {
            *f -= a;
        }
        self.tasks.push(b);
    }

    /// What may be given out in this pass.
    pub fn room(&self) -> [f64; 3] {
        [0, 1, 2].map(|r| self.free[r] - self.held[r])
    }

    /// Seconds until tasks have ended whose room, with what is free, takes
    /// another; `None` if it is too large for the machine.
    pub fn time_until_available(&self, wall: Micros, need: &[f64; 3]) -> Option<f64> {
        let mut ends: Vec<(f64, &ReservedTask)> = self
            .tasks
            .iter()
            .map(|b| {
                let left = b.expected_s - wall.since(b.placed).as_secs_f64();
                // One that is overdue may run for as long again.
                (if left > 0.0 { left } else { b.expected_s / 2.0 }, b)
            })
            .collect();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free = self.free;
        let mut at = 0.0;
        for (end, b) in ends {
            if fits(&free, need) > 0 {
                break;
            }
            at = end;
            for (f, a) in free.iter_mut().zip(b.amount) {
                *f += a;
            }
        }
        (fits(&free, need) > 0).then_some(at)
    }

    fn load_key(&self, id: usize) -> (u32, bool, i64, usize) {
        (self.tasks.len() as u32, self.led_by_peer, -milli(self.free[0]), id)
    }

    fn free_key(&self, id: usize) -> (i64, usize) {
        (milli(self.free[0]), id)
    }
}

fn milli(cpus: f64) -> i64 {
    (cpus * 1_000.0).round() as i64
}

/// All machines that may be given tasks.
#[derive(Debug, Clone, Default)]
pub struct ClusterCapacity {
    pools: Vec<Pool>,
    capacity: Vec<Option<(usize, MachineCapacity)>>,
    ids: HashMap<Rc<str>, usize>,
    spare: Vec<usize>,
    /// Booked tasks by rank that are not stopping.
    ranks: [u32; RANKS],
    /// What teams' booked tasks use that are not stopping.
    usage: BTreeMap<String, Amount>,
    /// Slots on which room is held.
    holds: Vec<usize>,
}

impl ClusterCapacity {
    /// Sets a machine as it now stands, or removes it.
    pub fn set(&mut self, machine: &str, machine_capacity: Option<(PoolKey, MachineCapacity)>) {
        if let Some(id) = self.ids.get(machine).copied() {
            self.detach(id);
            if machine_capacity.is_none() {
                self.capacity[id] = None;
                self.ids.remove(machine);
                self.spare.push(id);
                return;
            }
        }
        let Some((key, machine_capacity)) = machine_capacity else {
            return;
        };
        let pool = self.pools.iter().position(|p| p.key == key).unwrap_or_else(|| {
            let (by_load, by_free) = (BTreeSet::new(), BTreeSet::new());
            self.pools.push(Pool { key, by_load, by_free });
            self.pools.len() - 1
        });
        let id = self.ids.get(machine).copied().unwrap_or_else(|| {
            let id = self.spare.pop().unwrap_or_else(|| {
                self.capacity.push(None);
                self.capacity.len() - 1
            });
            self.ids.insert(Rc::clone(&machine_capacity.machine), id);
            id
        });
        self.capacity[id] = Some((pool, machine_capacity));
        self.attach(id);
    }

    fn detach(&mut self, id: usize) {
        let Some((pool, machine_capacity)) = &self.capacity[id] else {
            return;
        };
        let pool = &mut self.pools[*pool];
        pool.by_load.remove(&machine_capacity.load_key(id));
        pool.by_free.remove(&machine_capacity.free_key(id));
        for b in machine_capacity.tasks.iter().filter(|b| !b.stopping) {
            self.ranks[(b.rank as usize).min(RANKS - 1)] -= 1;
            if let Some(u) = self.usage.get_mut(&b.team) {
                u[0] -= b.amount[0];
                u[1] -= b.amount[1];
            }
        }
    }

    fn attach(&mut self, id: usize) {
        let Some((pool, machine_capacity)) = &self.capacity[id] else {
            return;
        };
        for b in machine_capacity.tasks.iter().filter(|b| !b.stopping) {
            self.ranks[(b.rank as usize).min(RANKS - 1)] += 1;
            if !self.usage.contains_key(&b.team) {
                self.usage.insert(b.team.clone(), Amount::default());
            }
            if let Some(u) = self.usage.get_mut(&b.team) {
                u[0] += b.amount[0];
                u[1] += b.amount[1];
            }
        }
        // A full machine is of no use to any placement.
        if machine_capacity.free[0] > 1e-6 {
            let pool = &mut self.pools[*pool];
            pool.by_load.insert(machine_capacity.load_key(id));
            pool.by_free.insert(machine_capacity.free_key(id));
        }
    }

    /// Changes a machine.
    pub fn change(&mut self, id: usize, change: impl FnOnce(&mut MachineCapacity)) {
        self.detach(id);
        if let Some((_, machine_capacity)) = &mut self.capacity[id] {
            change(machine_capacity);
        }
        self.attach(id);
    }

    /// A machine by number.
    pub fn get(&self, id: usize) -> Option<&MachineCapacity> {
        self.capacity.get(id)?.as_ref().map(|(_, s)| s)
    }

    /// A machine's number by name.
    pub fn id(&self, machine: &str) -> Option<usize> {
        self.ids.get(machine).copied()
    }

    /// Kind and place of a machine.
    pub fn pool_of(&self, id: usize) -> Option<&PoolKey> {
        let (pool, _) = self.capacity.get(id)?.as_ref()?;
        Some(&self.pools[*pool].key)
    }

    /// All machines with their kind and place.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &PoolKey, &MachineCapacity)> {
        self.capacity.iter().enumerate().filter_map(|(id, s)| {
            let (pool, machine_capacity) = s.as_ref()?;
            Some((id, &self.pools[*pool].key, machine_capacity))
        })
    }

    /// The pools that pass a filter.
    pub fn pools(&self, pass: impl Fn(&PoolKey) -> bool) -> Vec<usize> {
        (0..self.pools.len()).filter(|p| pass(&self.pools[*p].key)).collect()
    }

    /// Whether a machine is in one of some pools.
    pub fn among(&self, id: usize, pools: &[usize]) -> bool {
        matches!(self.capacity.get(id), Some(Some((pool, _))) if pools.contains(pool))
    }

    /// The machine with the fewest booked tasks that has room.
    pub fn least_loaded(
        &self,
        pools: &[usize],
        need: &[f64; 3],
        pass: impl Fn(usize, &MachineCapacity) -> bool,
    ) -> Option<usize> {
        let mut best: Option<(u32, bool, i64, usize)> = None;
        for p in pools {
            for key in &self.pools[*p].by_load {
                if best.is_some_and(|b| b <= *key) {
                    break;
                }
                if let Some((_, s)) = &self.capacity[key.3]
                    && fits(&s.room(), need) > 0
                    && pass(key.3, s)
                {
                    best = Some(*key);
                    break;
                }
            }
        }
        best.map(|b| b.3)
    }

    /// The machine with the least free CPUs that has room.
    pub fn best_fit(
        &self,
        pools: &[usize],
        need: &[f64; 3],
        pass: impl Fn(usize, &MachineCapacity) -> bool,
    ) -> Option<usize> {
        let mut best: Option<(i64, usize)> = None;
        for p in pools {
            for key in self.pools[*p].by_free.range((milli(need[0]), 0)..) {
                if best.is_some_and(|b| b <= *key) {
                    break;
                }
                if let Some((_, s)) = &self.capacity[key.1]
                    && fits(&s.room(), need) > 0
                    && pass(key.1, s)
                {
                    best = Some(*key);
                    break;
                }
            }
        }
        best.map(|b| b.1)
    }

    /// The least loaded of some machines, as [`ClusterCapacity::least_loaded`] orders them.
    pub fn least_loaded_among<'a>(
        &self,
        ids: impl Iterator<Item = &'a usize>,
        pools: &[usize],
        need: &[f64; 3],
        pass: impl Fn(usize, &MachineCapacity) -> bool,
    ) -> Option<usize> {
        ids.filter_map(|id| {
            let (pool, s) = self.capacity.get(*id)?.as_ref()?;
            let good = pools.contains(pool) && fits(&s.room(), need) > 0 && pass(*id, s);
            good.then(|| s.load_key(*id))
        })
        .min()
        .map(|key| key.3)
    }

    /// What teams' tasks use that are there to stay: those that are stopping
    /// would be counted against a team until they are gone, and more of its
    /// tasks stopped for it.
    pub fn usage(&self) -> &BTreeMap<String, Amount> {
        &self.usage
    }

    /// Of some machines the one with the least free CPUs that has room.
    pub fn best_fit_among<'a>(
        &self,
        ids: impl Iterator<Item = &'a usize>,
        pools: &[usize],
        need: &[f64; 3],
        pass: impl Fn(usize, &MachineCapacity) -> bool,
    ) -> Option<usize> {
        ids.filter_map(|id| {
            let (pool, s) = self.capacity.get(*id)?.as_ref()?;
            let good = pools.contains(pool) && fits(&s.room(), need) > 0 && pass(*id, s);
            good.then(|| s.free_key(*id))
        })
        .min()
        .map(|key| key.1)
    }

    /// Booked tasks less urgent than a rank that are not stopping.
    pub fn below(&self, rank: u32) -> u32 {
        self.ranks.iter().skip(rank as usize + 1).sum()
    }

    /// Whether any machine has room for one of some waiting tasks.
    pub fn takes(&self, d: &Demand) -> bool {
        let pools = self.pools(|k| allows(d, &k.machine_type, &k.zone, k.spot));
        self.best_fit(&pools, &[d.cpus, d.gpus, d.memory_gb], |_, _| true).is_some()
    }

    /// Keeps room for waiting tasks of other shards, where there is any, until
    /// [`ClusterCapacity::release_holds`].
    pub fn hold(&mut self, d: &Demand) {
        let need = [d.cpus, d.gpus, d.memory_gb];
        let mut left = d.tasks;
        for p in self.pools(|k| allows(d, &k.machine_type, &k.zone, k.spot)) {
            for (.., id) in &self.pools[p].by_load {
                if left == 0 {
                    return;
                }
                let Some((_, s)) = &mut self.capacity[*id] else {
                    continue;
                };
                let n = fits(&s.room(), &need).min(left);
                if n > 0 {
                    left -= n;
                    for (h, a) in s.held.iter_mut().zip(need) {
                        *h += a * f64::from(n);
                    }
                    self.holds.push(*id);
                }
            }
        }
    }

    /// Gives up what was held.
    pub fn release_holds(&mut self) {
        for id in std::mem::take(&mut self.holds) {
            if let Some((_, s)) = &mut self.capacity[id] {
                s.held = [0.0; 3];
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
