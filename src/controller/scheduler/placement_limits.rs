//! Limits on placements that are not stored, or not reported by their machines, yet.

use crate::controller::Controller;
use crate::controller::jobs::Jobs;
use crate::controller::jobs::job::Job;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::scheduling_inputs::SchedulingInputs;

/// Base of the limit on placements that their machines have not reported yet. It rises to two
/// per machine if that is more, since many machines may come up at once. Normal and more urgent
/// ranks have two to four times the base, see [`unobserved_limit`].
const BASE_UNOBSERVED_LIMIT: usize = 1_500;
/// Limit for low priority tasks, which rises to one per two machines if that is more. A job with
/// thousands of tiny tasks would take the processor time that submissions and heartbeats need.
const LOW_PRIORITY_UNOBSERVED_LIMIT: usize = 750;
/// Number of chunks with unstored placements that are always allowed, however low this
/// controller's write rate is.
const MIN_UNSTORED_CHUNKS: usize = 4;

impl Scheduler {
    /// Whether the placements that no machine has reported reach the limit for a rank.
    pub(super) fn unobserved_at_limit(&self, inputs: &SchedulingInputs<'_>, rank: u32) -> bool {
        self.unobserved_placements >= unobserved_limit(rank, inputs.machines.views().len())
    }

    /// Counts the placements that their machines have not reported yet, except those that are
    /// to be stopped. The limit on their number also bounds memory: 25,000 tiny tasks of one
    /// user, all placed at once, would need nearly all of the memory of every controller.
    pub(crate) fn count_unobserved_placements(&mut self, jobs: &Jobs) {
        let chunks = jobs.by_id.values().flat_map(|job| &job.chunks);
        let placed = chunks.flat_map(|chunk| chunk.placed.values());
        self.unobserved_placements =
            placed.filter(|p| p.observed.is_none() && p.stop_grace.is_none()).count();
    }
}

/// Limit on unobserved placements of all ranks, above which no task of `rank` is placed. It is
/// higher for more urgent ranks, so that low priority tasks that reach their limit do not keep
/// urgent tasks out.
fn unobserved_limit(rank: u32, machines: usize) -> usize {
    match rank {
        0..=2 => BASE_UNOBSERVED_LIMIT.max(2 * machines) * (4 - rank as usize),
        _ => LOW_PRIORITY_UNOBSERVED_LIMIT.max(machines / 2),
    }
}

/// Maximum number of chunks with unstored placements: about as many as this controller can
/// write in one second. Placements beyond it are decided later, from newer information.
fn max_unstored_chunks(inputs: &SchedulingInputs<'_>) -> usize {
    let shards = inputs.leadership.shard_count().max(1);
    let writes_per_s = inputs.context.settings.kv_store.write_rps / shards as f64;
    (writes_per_s as usize).max(MIN_UNSTORED_CHUNKS)
}

impl Controller {
    /// Whether tasks of a rank must wait until more placements are stored or reported.
    pub(super) fn placements_at_limit(&self, rank: u32) -> bool {
        let inputs = self.scheduling_inputs();
        self.scheduler.unobserved_at_limit(&inputs, rank)
            || self.unstored_urgent_chunks(rank) >= max_unstored_chunks(&inputs)
    }

    /// Number of chunks with unstored placements of jobs that are at least as urgent as a rank.
    /// Chunks of less urgent jobs are written after them and delay nothing.
    fn unstored_urgent_chunks(&self, rank: u32) -> usize {
        let changed = self.changes.jobs.iter().filter_map(|id| self.jobs.by_id.get(id));
        changed.filter(|job| job.rank() <= rank).map(Job::chunks_with_unstored_placements).sum()
    }
}
