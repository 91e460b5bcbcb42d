//! A pass over the queue of own jobs.

use crate::controller::Controller;
use crate::controller::quota::amount::QuotaAmount;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::inputs::SchedulingInputs;
use crate::controller::scheduler::queue::QueueClass;
use crate::controller::scheduler::search_failures::SearchFailures;
use crate::peer::Demand;
use crate::time::Micros;
use std::collections::BTreeMap;

/// Least time between two passes: what happens meanwhile is dealt with together.
const PASS_INTERVAL: Micros = Micros::millis(40);
/// Placements in one pass.
const MAX_PLACEMENTS_PER_PASS: usize = 64;
/// Searches for victims in one pass; each walks all machines.
const MAX_PREEMPTION_SEARCHES_PER_PASS: usize = 8;

/// A team's tasks on one shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShardTeam {
    /// Number of the shard.
    pub(super) shard: usize,
    /// Name of the team.
    pub(super) team: String,
}

/// What a pass over the queue has found out so far.
#[derive(Debug)]
pub(super) struct Pass {
    /// What teams use, with what this pass has placed and preempted.
    pub(super) usage: BTreeMap<String, QuotaAmount>,
    /// What own shards use of teams' limits, with what this pass has placed.
    pub(super) shard_usage: BTreeMap<ShardTeam, QuotaAmount>,
    /// Waiting tasks that no machine has capacity for, though for smaller ones there may be.
    pub(super) blocked: Vec<Demand>,
    /// Searches that failed.
    pub(super) failures: SearchFailures,
    /// Placements that may still be made.
    pub(super) placements_left: usize,
    /// Searches for victims that may still be made.
    pub(super) preemption_searches_left: usize,
}

impl Scheduler {
    /// Whether a requested pass is due; if so, it counts as started.
    fn start_requested_pass(&mut self, now: Micros) -> bool {
        let due = self.pass_requested && now >= self.last_pass_at + PASS_INTERVAL;
        if due {
            self.pass_requested = false;
            self.last_pass_at = now;
        }
        due
    }

    /// What a pass starts from: what teams use, and which of all waiting tasks find no
    /// machine.
    fn begin_pass(&self, inputs: &SchedulingInputs<'_>, peers_demand: &[Demand]) -> Pass {
        let own_demand = self.demand(inputs);
        let all_demand = peers_demand.iter().chain(&own_demand);
        Pass {
            usage: self.capacity.usage().clone(),
            shard_usage: BTreeMap::new(),
            blocked: all_demand.filter(|demand| !self.capacity.takes(demand)).cloned().collect(),
            failures: SearchFailures::default(),
            placements_left: MAX_PLACEMENTS_PER_PASS,
            preemption_searches_left: MAX_PREEMPTION_SEARCHES_PER_PASS,
        }
    }
}

impl Controller {
    /// One pass over the queue, if it is due. What is left when its bounds are reached goes
    /// on in the next turn, so that heartbeats and lease renewals are never starved.
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
                // Those behind it may be more urgent, if beyond their guarantee.
                self.scheduler.request_pass();
                continue;
            }
            if pass.placements_left == 0 {
                self.scheduler.request_pass();
                break;
            }
            // What waits at the peers and is more urgent gets its capacity first:
            // taken by this job, it would only be taken back by preemption.
            // Equals hold nothing for each other, or nobody would move.
            let before = |demand: &Demand| QueueClass::of_demand(demand) < queued.class;
            let first = peers_demand.partition_point(before);
            for demand in peers_demand.drain(..first) {
                self.scheduler.capacity.hold(&demand);
            }
            self.place_job(&queued.job, &mut pass);
        }
        self.scheduler.capacity.release_holds();
    }
}
