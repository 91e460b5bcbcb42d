//! One scheduling pass over the queue of local jobs.

use crate::controller::Controller;
use crate::controller::quota::amount::QuotaAmount;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::queue::QueueClass;
use crate::controller::scheduler::scheduling_inputs::SchedulingInputs;
use crate::controller::scheduler::search_failures::SearchFailures;
use crate::peer::Demand;
use crate::time::Micros;
use std::collections::BTreeMap;

/// Minimum time between two passes, so that one pass handles all changes in between.
const MIN_PASS_INTERVAL: Micros = Micros::millis(40);
/// Maximum number of placements in one pass.
const MAX_PLACEMENTS_PER_PASS: usize = 64;
/// Maximum number of searches for victims in one pass; each search walks all machines.
const MAX_PREEMPTION_SEARCHES_PER_PASS: usize = 8;

/// Key of a team's usage on one shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShardTeam {
    /// Number of the shard.
    pub(super) shard: usize,
    /// Name of the team.
    pub(super) team: String,
}

/// Usage, failed searches and remaining limits of a pass in progress.
#[derive(Debug)]
pub(super) struct PassState {
    /// Usage by team, including this pass's placements and preemptions.
    pub(super) usage: BTreeMap<String, QuotaAmount>,
    /// Usage by shard and team, including this pass's placements. Filled as the pass reaches
    /// jobs: usage without an entry is counted from the jobs.
    pub(super) shard_usage: BTreeMap<ShardTeam, QuotaAmount>,
    /// Demand of all shards that no machine had capacity for at the start of the pass.
    /// Smaller tasks may still fit.
    pub(super) blocked_demand: Vec<Demand>,
    /// Searches that failed; they are not repeated for jobs that need at least as much.
    pub(super) failures: SearchFailures,
    /// Number of placements that this pass may still make.
    pub(super) placements_left: usize,
    /// Number of searches for victims that this pass may still make.
    pub(super) preemption_searches_left: usize,
}

impl Scheduler {
    /// Returns whether a requested pass is due; if so, marks it as started.
    fn start_requested_pass(&mut self, now: Micros) -> bool {
        let due = self.pass_requested && now >= self.last_pass_at + MIN_PASS_INTERVAL;
        if due {
            self.pass_requested = false;
            self.last_pass_at = now;
        }
        due
    }

    /// State at the start of a pass, with current usage and the demand that no machine has
    /// capacity for.
    fn begin_pass(&self, inputs: &SchedulingInputs<'_>, peers_demand: &[Demand]) -> PassState {
        let local_demand = self.demand(inputs);
        let all_demand = peers_demand.iter().chain(&local_demand);
        PassState {
            usage: self.capacity.usage().clone(),
            shard_usage: BTreeMap::new(),
            blocked_demand: all_demand
                .filter(|demand| !self.capacity.has_capacity_for(demand))
                .cloned()
                .collect(),
            failures: SearchFailures::default(),
            placements_left: MAX_PLACEMENTS_PER_PASS,
            preemption_searches_left: MAX_PREEMPTION_SEARCHES_PER_PASS,
        }
    }
}

impl Controller {
    /// Runs one pass over the queue, if one is due. A pass that reaches its limits requests
    /// another one for the remaining jobs, so that a long queue never delays heartbeats and
    /// lease renewals.
    pub(crate) fn run_scheduling_pass(&mut self) {
        if self.autoscaler.machine_types.is_empty()
            || !self.scheduler.start_requested_pass(self.context.now)
        {
            return;
        }
        self.refresh_capacity();
        let order = self.scheduler.queue_order(&self.scheduling_inputs());
        if order.is_empty() {
            return;
        }
        let mut peers_demand: Vec<Demand> =
            self.peers.live_demand(self.context.now).cloned().collect();
        let mut pass = self.scheduler.begin_pass(&self.scheduling_inputs(), &peers_demand);
        peers_demand.sort_by_key(QueueClass::of_demand);
        for queued in order {
            if self.placements_at_limit(queued.class.rank) {
                // Jobs further back may have a more urgent rank, since jobs beyond their team's
                // guarantee come last.
                self.scheduler.request_pass();
                continue;
            }
            if pass.placements_left == 0 {
                self.scheduler.request_pass();
                break;
            }
            // Hold capacity for the peers' tasks that come before this job: if it took their
            // capacity, they would preempt it. No capacity is held for tasks of an equal
            // class: controllers would hold it for each other and none would place a task.
            let before = |demand: &Demand| QueueClass::of_demand(demand) < queued.class;
            let preceding = peers_demand.partition_point(before);
            for demand in peers_demand.drain(..preceding) {
                self.scheduler.capacity.hold(&demand);
            }
            self.place_job(&queued.job, &mut pass);
        }
        self.scheduler.capacity.release_holds();
    }
}
