//! Preemption within a team whose limit is used up: its less urgent tasks are stopped for its
//! more urgent ones.

use crate::controller::machines::desired_state::received::DesiredState;
use crate::controller::quota::target_grant::RankedDemand;
use crate::controller::quota::team_quota::TeamQuota;
use crate::controller::scheduler::victims::lost_work_s;
use crate::peer::{DesiredTask, Phase, PreemptionRequest};
use crate::resources::TOLERANCE;
use crate::time::Micros;

/// A task of this shard that may be preempted for more urgent ones of its team.
struct Victim {
    /// Seconds of work that are lost if it is stopped without a checkpoint.
    lost_work_s: f64,
    cpus: f64,
    task: PreemptionRequest,
}

/// A team's tasks that are less urgent than a rank, and the CPUs that need no preemption.
struct LessUrgentTasks {
    /// CPUs of the less urgent tasks of all shards that are not stopping.
    cpus: f64,
    /// CPUs of the less urgent tasks of this shard that are not stopping.
    shard_cpus: f64,
    /// The less urgent tasks of this shard that are not stopping.
    shard_victims: Vec<Victim>,
    /// CPUs that no shard is granted, and those that the team's stopping tasks will free.
    available_soon_cpus: f64,
}

impl LessUrgentTasks {
    fn collect(
        desired: &[DesiredState],
        team: &str,
        shard: usize,
        rank: u32,
        ungranted_cpus: f64,
        wall: Micros,
    ) -> LessUrgentTasks {
        let mut found = LessUrgentTasks {
            cpus: 0.0,
            shard_cpus: 0.0,
            shard_victims: Vec::new(),
            available_soon_cpus: ungranted_cpus,
        };
        let counts = |task: &&DesiredTask| task.team == team && task.phase() != Phase::Ended;
        for (owner, state) in desired.iter().enumerate() {
            for task in state.machines.values().flat_map(|on| on.tasks.iter().filter(counts)) {
                if task.stop_ms.is_some() {
                    found.available_soon_cpus += task.cpus;
                } else if task.rank > rank {
                    found.cpus += task.cpus;
                    if owner == shard {
                        found.shard_cpus += task.cpus;
                        found.shard_victims.push(Victim::of(task, wall));
                    }
                }
            }
        }
        found
    }
}

impl Victim {
    fn of(task: &DesiredTask, wall: Micros) -> Victim {
        Victim {
            lost_work_s: lost_work_s(wall, Micros::secs(task.placed_s), task.checkpoint_s),
            cpus: task.cpus,
            task: PreemptionRequest {
                job: task.job.clone(),
                index: task.index,
                attempt: task.attempt,
                save_checkpoint: true,
            },
        }
    }
}

impl TeamQuota {
    /// Returns the tasks that a shard preempts because the team's limit is used up and more
    /// urgent tasks of the team lack quota. `unmet` is the unmet demand of all shards. Each shard
    /// stops its proportion of the less urgent tasks, those that lose the least work first.
    pub(super) fn limit_preemptions(
        &self,
        team: &str,
        shard: usize,
        unmet: &[RankedDemand],
        desired: &[DesiredState],
        wall: Micros,
    ) -> Vec<PreemptionRequest> {
        let Some(rank) = unmet.iter().map(|demand| demand.rank).min() else {
            return Vec::new();
        };
        let urgent_cpus: f64 = unmet
            .iter()
            .filter(|demand| demand.rank == rank)
            .map(|demand| demand.amount.cpus)
            .sum();
        let ungranted_cpus = self.ungranted().cpus;
        let mut less_urgent =
            LessUrgentTasks::collect(desired, team, shard, rank, ungranted_cpus, wall);
        // Unused grants of other shards are given back without preemption.
        let used_cpus: f64 =
            desired.iter().filter_map(|state| state.usage.get(team)).map(|used| used.cpus).sum();
        let unused_cpus =
            (self.limit().cpus - used_cpus - less_urgent.available_soon_cpus).max(0.0);
        // Preempt only for what is neither free nor freed by tasks that are already stopping.
        let missing_cpus = urgent_cpus - less_urgent.available_soon_cpus - unused_cpus;
        if missing_cpus <= TOLERANCE || less_urgent.cpus <= TOLERANCE {
            return Vec::new();
        }
        let mut to_stop_cpus = missing_cpus * less_urgent.shard_cpus / less_urgent.cpus;
        less_urgent.shard_victims.sort_by(|a, b| a.lost_work_s.total_cmp(&b.lost_work_s));
        let mut preemptions = Vec::new();
        for victim in less_urgent.shard_victims {
            if to_stop_cpus <= TOLERANCE {
                break;
            }
            to_stop_cpus -= victim.cpus;
            preemptions.push(victim.task);
        }
        preemptions
    }
}
