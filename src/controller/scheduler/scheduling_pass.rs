//! The queue of this process's shards, and where its tasks go.

use crate::controller::Controller;
use crate::controller::jobs::job::Job;
use crate::controller::quota::team_quota::{Amount, EPS};
use crate::peer::Demand;
use crate::time::Micros;
use crate::wire::JobSpec;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Why a job waits for which no machine has room.
pub(crate) const NO_CAPACITY: &str = "no machine with room";
/// Least time between two passes: what happens meanwhile is dealt with together.
const PASS_INTERVAL: Micros = Micros::millis(40);
/// Placements in one pass.
const MAX_PLACEMENTS_PER_PASS: usize = 64;
/// Placements that their machines have not reported, at most: so many, or
/// two for each machine, since whole waves of machines come up at once.
const MAX_UNOBSERVED: usize = 1_500;
/// The same for low tasks, or one for every two machines: an array of thousands of
/// tiny ones would take the processor from submissions and reports.
const MAX_UNOBSERVED_LOW_PRIORITY: usize = 750;
/// Searches in one pass for tasks that make room; each walks the fleet.
const MAX_PREEMPTION_SEARCHES_PER_PASS: usize = 8;

/// Up to this rank work goes before large tasks that wait.
pub(crate) const LOWEST_URGENT_RANK: u32 = 1;

impl Controller {
    /// Own jobs in order of service: teams within their guarantee first, then
    /// priority, deadline and age.
    pub(crate) fn queue_order(&self) -> Vec<((bool, u32), String)> {
        let used = self.scheduler.capacity.usage();
        let mut order: Vec<_> = self
            .jobs
            .by_id
            .iter()
            .filter(|(_, j)| !j.cancelled && !j.over && !j.waiting && j.pending() > 0)
            .map(|(id, j)| {
                let beyond = !self.within_guarantee(used, &j.spec.team, [j.spec.cpus, j.spec.gpus]);
                (beyond, j.rank(), j.due(), j.ready, id.clone())
            })
            .collect();
        order.sort();
        order.into_iter().map(|(beyond, rank, .., id)| ((beyond, rank), id)).collect()
    }

    pub(crate) fn within_guarantee(
        &self,
        used: &BTreeMap<String, Amount>,
        team: &str,
        more: Amount,
    ) -> bool {
        let Some(quota) = self.quota.teams.get(team) else {
            return false;
        };
        let used = used.get(team).copied().unwrap_or_default();
        [0, 1].iter().all(|r| more[*r] < EPS || used[*r] + more[*r] <= quota.guarantee[*r] + EPS)
    }

    /// What a shard's tasks of a team use: from write-ahead until known gone.
    pub(crate) fn shard_usage(&self, s: usize, team: &str) -> Amount {
        let mut used = [0.0, 0.0];
        for j in self.jobs.by_id.values().filter(|j| j.shard == s && j.spec.team == team) {
            let n = f64::from(j.limited_tasks());
            used[0] += n * j.spec.cpus;
            used[1] += n * j.spec.gpus;
        }
        used
    }

    /// One pass over the queue. What is left when its bounds are reached goes
    /// on in the next turn, so that reports and renewals are never starved.
    pub(crate) fn run_scheduling_pass(&mut self) {
        if !self.scheduler.placement_due
            || self.context.now < self.scheduler.last_pass_at + PASS_INTERVAL
            || self.autoscaler.machine_types.is_empty()
        {
            return;
        }
        self.scheduler.placement_due = false;
        self.scheduler.last_pass_at = self.context.now;
        self.refresh_capacity();
        let order = self.queue_order();
        if order.is_empty() {
            return;
        }
        let mut theirs: Vec<Demand> = self
            .peers
            .by_member
            .iter()
            .filter(|(n, _)| self.peer_alive(**n))
            .flat_map(|(_, p)| p.demand.iter().cloned())
            .collect();
        // Tasks that no machine has room for, though smaller ones might.
        let ours = self.demand();
        let blocked: Vec<Demand> = theirs
            .iter()
            .chain(&ours)
            .filter(|d| !self.scheduler.capacity.takes(d))
            .cloned()
            .collect();
        let mut pass = Pass {
            usage: self.scheduler.capacity.usage().clone(),
            shards: BTreeMap::new(),
            blocked,
            failed: Vec::new(),
            left: MAX_PLACEMENTS_PER_PASS,
            searches: MAX_PREEMPTION_SEARCHES_PER_PASS,
        };
        theirs.sort_by_key(Demand::turn);
        for (turn, id) in order {
            let (_, rank) = turn;
            let full = self.scheduler.unobserved >= self.unobserved_limit(rank)
                || self.unstored_urgent_chunks(rank) >= self.chunk_backlog();
            if full {
                // Those behind it may be more urgent, if beyond their guarantee.
                self.scheduler.placement_due = true;
                continue;
            }
            if pass.left == 0 {
                self.scheduler.placement_due = true;
                break;
            }
            // What waits at the peers and is more urgent gets its room first:
            // taken by this job, it would only be taken back by preemption.
            // Equals hold nothing for each other, or nobody would move.
            let first = theirs.partition_point(|d| d.turn() < turn);
            for d in theirs.drain(..first) {
                self.scheduler.capacity.hold(&d);
            }
            self.place_job(&id, &mut pass);
        }
        self.scheduler.capacity.release_holds();
    }

    /// Parts with placements that are not stored yet, of jobs that are as urgent: the
    /// others are written after them and hold nothing up.
    fn unstored_urgent_chunks(&self, rank: u32) -> usize {
        let dirty = self.changes.jobs.iter().filter_map(|id| self.jobs.by_id.get(id));
        dirty.filter(|j| j.rank() <= rank).map(Job::unstored_chunks).sum()
    }

    /// Counts the placements that their machines have not reported yet.
    /// They wait in a small buffer, too: 25,000 tiny tasks of one user, all placed at
    /// once, took nearly all of the memory at every node.
    pub(crate) fn count_unobserved(&mut self) {
        let placed =
            self.jobs.by_id.values().flat_map(|j| &j.chunks).flat_map(|p| p.placed.values());
        self.scheduler.unobserved =
            placed.filter(|p| p.observed.is_none() && p.stop.is_none()).count();
    }

    /// The more urgent, the more: an array of low tasks that fills its part of the
    /// buffer must not keep urgent ones out.
    pub(crate) fn unobserved_limit(&self, rank: u32) -> usize {
        let machines = self.machines.views.len();
        match rank {
            0..=2 => MAX_UNOBSERVED.max(2 * machines) * (4 - rank as usize),
            _ => MAX_UNOBSERVED_LOW_PRIORITY.max(machines / 2),
        }
    }

    /// Placements wait for writes in a small buffer, about a second's worth: a
    /// later decision knows more.
    fn chunk_backlog(&self) -> usize {
        let share =
            self.context.settings.state.write_rps / self.leadership.shards.len().max(1) as f64;
        (share as usize).max(4)
    }
}

/// What a pass over the queue has found out so far.
pub(crate) struct Pass {
    /// What teams use, with what this pass has placed.
    pub(crate) usage: BTreeMap<String, Amount>,
    /// What own shards use of teams' limits, likewise.
    pub(crate) shards: BTreeMap<(usize, String), Amount>,
    /// Waiting tasks that no machine has room for.
    pub(crate) blocked: Vec<Demand>,
    /// Shapes that found no room.
    pub(crate) failed: Vec<Failed>,
    /// Placements that may still be made.
    pub(crate) left: usize,
    /// Searches for tasks that make room that may still be made.
    pub(crate) searches: usize,
}

impl Pass {
    /// Whether a job of this shape found no free room.
    pub(crate) fn known_full(&self, spec: &JobSpec) -> bool {
        self.failed.iter().any(|f| f.search.is_none() && f.covers(spec))
    }

    /// Whether the same search for tasks that make room failed for this shape.
    pub(crate) fn search_failed(&self, search: &PreemptionSearch, spec: &JobSpec) -> bool {
        self.failed.iter().any(|f| f.search.as_ref() == Some(search) && f.covers(spec))
    }
}

/// For whom tasks were looked for that make room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PreemptionSearch {
    /// Rank of the job.
    pub(crate) rank: u32,
    /// Its team, if within its guarantee.
    pub(crate) guaranteed: Option<String>,
    /// Only holders of the image were looked at.
    pub(crate) for_image: bool,
}

/// A shape that found no room, so that others like it need not look again.
pub(crate) struct Failed {
    spec: Rc<JobSpec>,
    /// The search for tasks that make room; `None` for free room.
    pub(crate) search: Option<PreemptionSearch>,
}

impl Failed {
    pub(crate) fn new(spec: &Rc<JobSpec>, search: Option<PreemptionSearch>) -> Failed {
        Failed { spec: Rc::clone(spec), search }
    }

    /// Whether a job that needs at least as much, of the same machines, must
    /// fail too.
    fn covers(&self, spec: &JobSpec) -> bool {
        let failed = &self.spec;
        let same_image_needed = self.search.as_ref().is_some_and(|search| search.for_image);
        failed.cpus <= spec.cpus
            && failed.gpus <= spec.gpus
            && failed.memory_gb <= spec.memory_gb
            && failed.types == spec.types
            && failed.zone == spec.zone
            && failed.spot == spec.spot
            && (!same_image_needed || failed.image == spec.image)
    }
}
