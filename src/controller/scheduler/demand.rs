//! What waits in own shards, for peers and for renting, and the room that is free.

use crate::controller::Controller;
use crate::controller::autoscaler::planning::fits;
use crate::controller::quota::team_quota::{Amount, EPS};
use crate::peer::Demand;
use std::collections::BTreeMap;
use std::rc::Rc;

impl Controller {
    /// Waiting tasks by shape, as far as their teams' limits let them run.
    pub(crate) fn demand(&self) -> Vec<Demand> {
        let usage = self.scheduler.capacity.usage();
        let mut room: BTreeMap<&str, Amount> = BTreeMap::new();
        let mut list: Vec<Demand> = Vec::new();
        for ((beyond, rank), id) in self.queue_order() {
            let Some(j) = self.jobs.by_id.get(&id).filter(|j| self.context.now >= j.not_before)
            else {
                continue;
            };
            let spec = &j.spec;
            let Some(quota) = self.quota.teams.get(&spec.team) else {
                continue;
            };
            let left = room.entry(&spec.team).or_insert_with(|| {
                let used = usage.get(&spec.team).copied().unwrap_or_default();
                [0, 1].map(|r| (quota.limit[r] - used[r]).max(0.0))
            });
            let can = fits(&[left[0], left[1], f64::INFINITY], &[spec.cpus, spec.gpus, 0.0]);
            let tasks = j.open().min(can);
            if tasks == 0 {
                continue;
            }
            left[0] -= f64::from(tasks) * spec.cpus;
            left[1] -= f64::from(tasks) * spec.gpus;
            let one = Demand {
                tasks,
                cpus: spec.cpus,
                gpus: spec.gpus,
                memory_gb: spec.memory_gb,
                types: spec.types.clone().unwrap_or_default(),
                zone: spec.zone.clone(),
                spot: spec.spot,
                rank,
                beyond,
            };
            match list.iter_mut().find(|d| Demand { tasks, ..(*d).clone() } == one) {
                Some(same) => same.tasks += tasks,
                None => list.push(one),
            }
            if list.len() >= 200 {
                break;
            }
        }
        list
    }

    /// Room that is free on known machines, for the renting shard.
    pub(crate) fn free_capacity(
        &self,
    ) -> Vec<crate::controller::autoscaler::planning::FreeCapacity> {
        self.scheduler
            .capacity
            .iter()
            .filter(|(_, _, s)| s.free[0] > EPS)
            .map(|(_, key, s)| crate::controller::autoscaler::planning::FreeCapacity {
                machine_type: Rc::clone(&key.machine_type),
                zone: Rc::clone(&key.zone),
                spot: key.spot,
                free: s.free,
            })
            .collect()
    }
}
