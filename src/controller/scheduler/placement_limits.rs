//! How many placements may be on their way: to the store, and to the machines.

use crate::controller::Controller;
use crate::controller::jobs::Jobs;
use crate::controller::jobs::job::Job;
use crate::controller::scheduler::Scheduler;
use crate::controller::scheduler::inputs::SchedulingInputs;

/// Placements that their machines have not reported, at most: so many, or
/// two for each machine, since whole waves of machines come up at once.
const MAX_UNOBSERVED: usize = 1_500;
/// The same for low tasks, or one for every two machines: an array of thousands of
/// tiny ones would keep the processor from submissions and heartbeats.
const MAX_UNOBSERVED_LOW_PRIORITY: usize = 750;
/// Least number of chunks with placements that may wait for their writes, however few writes
/// this controller has.
const MIN_UNSTORED_CHUNKS: usize = 4;

impl Scheduler {
    /// Whether the placements of a rank that no machine has reported are as many as may be.
    pub(super) fn unobserved_at_limit(&self, inputs: &SchedulingInputs<'_>, rank: u32) -> bool {
        self.unobserved_placements >= unobserved_limit(rank, inputs.machines.views().len())
    }

    /// Counts the placements that their machines have not reported yet.
    /// Their number is bounded, too: 25,000 tiny tasks of one user, all placed at
    /// once, would need nearly all of the memory of every controller.
    pub(crate) fn count_unobserved_placements(&mut self, jobs: &Jobs) {
        let chunks = jobs.by_id.values().flat_map(|job| &job.chunks);
        let placed = chunks.flat_map(|chunk| chunk.placed.values());
        self.unobserved_placements =
            placed.filter(|p| p.observed.is_none() && p.stop_grace.is_none()).count();
    }
}

/// The more urgent, the more: an array of low tasks that fills its share of the
/// buffer must not keep urgent ones out.
fn unobserved_limit(rank: u32, machines: usize) -> usize {
    match rank {
        0..=2 => MAX_UNOBSERVED.max(2 * machines) * (4 - rank as usize),
        _ => MAX_UNOBSERVED_LOW_PRIORITY.max(machines / 2),
    }
}

/// Chunks with placements that may wait for their writes: about a second's worth, since a
/// later decision knows more.
fn max_unstored_chunks(inputs: &SchedulingInputs<'_>) -> usize {
    let shards = inputs.leadership.shard_count().max(1);
    let writes_per_s = inputs.context.settings.kv_store.write_rps / shards as f64;
    (writes_per_s as usize).max(MIN_UNSTORED_CHUNKS)
}

impl Controller {
    /// Whether further tasks of a rank must wait until placements are stored or reported.
    pub(super) fn placements_at_limit(&self, rank: u32) -> bool {
        let inputs = self.scheduling_inputs();
        self.scheduler.unobserved_at_limit(&inputs, rank)
            || self.unstored_urgent_chunks(rank) >= max_unstored_chunks(&inputs)
    }

    /// Chunks with placements that are not stored yet, of jobs that are as urgent: the
    /// others are written after them and hold nothing up.
    fn unstored_urgent_chunks(&self, rank: u32) -> usize {
        let changed = self.changes.jobs.iter().filter_map(|id| self.jobs.by_id.get(id));
        changed.filter(|job| job.rank() <= rank).map(Job::chunks_with_unstored_placements).sum()
    }
}
