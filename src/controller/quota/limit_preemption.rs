//! Preemption within a team: where its limit is used up, its less urgent tasks are stopped
//! for its more urgent ones.

use crate::controller::machines::desired_state::received::DesiredState;
use crate::controller::quota::target_grant::RankedDemand;
use crate::controller::quota::team_quota::TeamQuota;
use crate::controller::scheduler::victims::lost_work_s;
use crate::peer::{DesiredTask, Phase, Preempt};
use crate::resources::TOLERANCE;
use crate::time::Micros;

/// A task of this shard that may be stopped for more urgent ones of its team.
struct Victim {
    /// Seconds of work that stopping it loses.
    lost_work_s: f64,
    cpus: f64,
    task: Preempt,
}

/// A team's tasks on all shards that are less urgent than a rank.
struct LessUrgentTasks {
    /// CPUs of all that are not stopping yet.
    cpus: f64,
    /// CPUs of those of this shard.
    own_cpus: f64,
    /// Those of this shard.
    own: Vec<Victim>,
    /// CPUs that are ungranted, or will be free once the tasks that are stopping are gone.
    coming_cpus: f64,
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
            own_cpus: 0.0,
            own: Vec::new(),
            coming_cpus: ungranted_cpus,
        };
        let counts = |task: &&DesiredTask| task.team == team && task.phase() != Phase::Over;
        for (owner, state) in desired.iter().enumerate() {
            for task in state.machines.values().flat_map(|on| on.tasks.iter().filter(counts)) {
                if task.stop_ms.is_some() {
                    found.coming_cpus += task.cpus;
                } else if task.rank > rank {
                    found.cpus += task.cpus;
                    if owner == shard {
                        found.own_cpus += task.cpus;
                        found.own.push(Victim::of(task, wall));
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
            task: Preempt {
                job: task.job.clone(),
                index: task.index,
                attempt: task.attempt,
                save: true,
            },
        }
    }
}

impl TeamQuota {
    /// The tasks that a shard stops since the team's limit is used up and more urgent tasks
    /// of the team lack it (`unmet`, of all shards): the shard's proportion of the less
    /// urgent ones, those first that lose least work.
    pub(super) fn preemptions_over_limit(
        &self,
        team: &str,
        shard: usize,
        unmet: &[RankedDemand],
        desired: &[DesiredState],
        wall: Micros,
    ) -> Vec<Preempt> {
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
        // What other shards hold unused comes back by itself.
        let used_cpus: f64 =
            desired.iter().filter_map(|state| state.usage.get(team)).map(|used| used.cpus).sum();
        let unused_cpus = (self.limit().cpus - used_cpus - less_urgent.coming_cpus).max(0.0);
        // What is free, or will be once the tasks that are stopping are gone, needs no
        // further stops.
        let missing_cpus = urgent_cpus - less_urgent.coming_cpus - unused_cpus;
        if missing_cpus <= TOLERANCE || less_urgent.cpus <= TOLERANCE {
            return Vec::new();
        }
        let mut to_stop_cpus = missing_cpus * less_urgent.own_cpus / less_urgent.cpus;
        less_urgent.own.sort_by(|a, b| a.lost_work_s.total_cmp(&b.lost_work_s));
        let mut preemptions = Vec::new();
        for victim in less_urgent.own {
            if to_stop_cpus <= TOLERANCE {
                break;
            }
            to_stop_cpus -= victim.cpus;
            preemptions.push(victim.task);
        }
        preemptions
    }
}
