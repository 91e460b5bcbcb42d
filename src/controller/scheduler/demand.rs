//! Demand of local jobs, for peers and the autoscaler, and the free capacity of the cluster.

use crate::controller::autoscaler::machine_offer::FreeCapacity;
use crate::controller::jobs::job::Job;
use crate::controller::quota::amount::QuotaAmount;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::queue::QueueClass;
use crate::controller::scheduler::scheduling_inputs::SchedulingInputs;
use crate::peer::Demand;
use crate::resources::{Resources, TOLERANCE};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of entries in a demand list, which is sent to all peers about once a second.
const MAX_DEMAND_ENTRIES: usize = 200;

impl Scheduler {
    /// Pending tasks grouped by requirements and [`QueueClass`], as many as their teams' limits
    /// allow to run.
    pub(crate) fn demand(&self, inputs: &SchedulingInputs<'_>) -> Vec<Demand> {
        let usage = self.capacity.usage();
        let mut left_by_team: BTreeMap<&str, QuotaAmount> = BTreeMap::new();
        let mut list: Vec<Demand> = Vec::new();
        for queued in self.queue_order(inputs) {
            let ready = |job: &&Job| !job.backoff.is_paused(inputs.context.now);
            let Some(job) = inputs.jobs.by_id.get(&queued.job).filter(ready) else {
                continue;
            };
            let spec = &job.spec;
            let Some(quota) = inputs.quotas.team(&spec.team) else {
                continue;
            };
            let left = left_by_team.entry(&spec.team).or_insert_with(|| {
                let used = usage.get(&spec.team).copied().unwrap_or_default();
                QuotaAmount::from_fn(|r| (quota.limit().get(r) - used.get(r)).max(0.0))
            });
            let within_limit = Resources::new(left.cpus, left.gpus, f64::INFINITY)
                .tasks_that_fit(&Resources::new(spec.cpus, spec.gpus, 0.0));
            let tasks = job.placeable().min(within_limit);
            if tasks == 0 {
                continue;
            }
            *left -= QuotaAmount::of_tasks(spec, tasks);
            add_demand(&mut list, demand_of(job, tasks, queued.class));
            if list.len() >= MAX_DEMAND_ENTRIES {
                break;
            }
        }
        list
    }

    /// Machines with free CPUs, for the autoscaler.
    pub(crate) fn free_capacity(&self) -> Vec<FreeCapacity> {
        self.capacity
            .iter()
            .filter(|(_, _, capacity)| capacity.free.cpus > TOLERANCE)
            .map(|(_, pool, capacity)| FreeCapacity {
                machine_type: Rc::clone(&pool.machine_type),
                zone: Rc::clone(&pool.zone),
                spot: pool.spot,
                free: capacity.free,
            })
            .collect()
    }
}

fn demand_of(job: &Job, tasks: u32, class: QueueClass) -> Demand {
    let spec = &job.spec;
    Demand {
        tasks,
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
        types: spec.types.clone().unwrap_or_default(),
        zone: spec.zone.clone(),
        spot: spec.spot,
        rank: class.rank,
        beyond_guarantee: class.beyond_guarantee,
    }
}

/// Adds tasks to the entry with the same requirements and [`QueueClass`], or adds a new entry.
fn add_demand(list: &mut Vec<Demand>, added: Demand) {
    let tasks = added.tasks;
    match list.iter_mut().find(|demand| Demand { tasks, ..(*demand).clone() } == added) {
        Some(same) => same.tasks += tasks,
        None => list.push(added),
    }
}
