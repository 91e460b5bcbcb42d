//! Handles replies to writes of local jobs, applied or failed.

use super::job::{ChunkVersion, StoredStage};
use super::stage_cache::CachedStage;
use super::write_plan::JobWrite;
use crate::controller::Controller;
use crate::controller::leadership::shard_lease;
use crate::kv_store::KvResponse;
use log::info;
use std::rc::Rc;

/// A task whose desired state on a machine has changed with the stored state.
struct TaskOnMachine {
    machine: Rc<str>,
    index: u32,
}

impl Controller {
    /// Marks a job's store call as answered and returns the job's shard. Returns `None` if the
    /// job is gone or the call was made in an earlier term of the shard; such a reply says
    /// nothing about the current term.
    pub(super) fn finish_store_call(&mut self, id: &str, term: u64) -> Option<usize> {
        let job = self.jobs.by_id.get_mut(id)?;
        let shard = job.shard;
        if !self.leadership.leads_under(shard, term) {
            return None;
        }
        job.store_call_in_flight = false;
        self.changes.jobs.insert(id.to_string());
        Some(shard)
    }

    /// Handles the reply to a transaction with a job's changes.
    pub(super) fn store_reply(&mut self, id: &str, term: u64, write: JobWrite, reply: KvResponse) {
        self.jobs.writes_in_flight = self.jobs.writes_in_flight.saturating_sub(1);
        let Some(shard) = self.finish_store_call(id, term) else {
            return;
        };
        match reply {
            KvResponse::Applied(revision) => match write {
                JobWrite::Chunks(chunks) => self.chunks_acknowledged(id, revision, &chunks),
                JobWrite::DeletedChunks(numbers) => self.deletes_acknowledged(id, &numbers),
                JobWrite::Done => self.done_acknowledged(id, revision),
            },
            KvResponse::Conflict(failed) if failed.contains(&shard_lease::lease_key(shard)) => {
                self.lease_revision_changed(shard, term);
            }
            KvResponse::NotExecuted => {}
            KvResponse::Rejected if self.jobs.previous_chunk_layout.is_some() => {
                self.jobs.use_lowered_limits();
                self.read_back(id);
            }
            // The write may have been applied or may still be applied later. The stored values
            // show whether it was. A write that reaches the store after a newer one fails on the
            // chunks' revisions.
            _ => self.read_back(id),
        }
    }

    /// Acknowledges stored chunks: their placements and ends may now be acted on. `revision` is
    /// 0 if the chunk was written in the job's batch.
    pub(super) fn chunks_acknowledged(&mut self, id: &str, revision: u64, chunks: &[ChunkVersion]) {
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        let shard = job.shard;
        let mut changed: Vec<TaskOnMachine> = Vec::new();
        for ChunkVersion { number, version } in chunks {
            let chunk = &mut job.chunks[*number];
            let before = chunk.stored_version;
            chunk.stored_version = (*version).max(before);
            chunk.revision = revision;
            let new = chunk.placed.iter().filter(|(_, placement)| placement.version > before);
            changed.extend(new.map(|(index, placement)| TaskOnMachine {
                machine: Rc::clone(&placement.machine),
                index: *index,
            }));
            let stored = chunk.stored_version;
            let ended = chunk.unstored_ends.iter().filter(|ended| ended.version <= stored);
            // The quota of these attempts is free only once their end is stored.
            if ended.clone().any(|ended| ended.may_still_start) {
                self.scheduler.request_pass();
            }
            changed.extend(ended.map(|ended| TaskOnMachine {
                machine: Rc::clone(&ended.placement.machine),
                index: ended.index,
            }));
            chunk.unstored_ends.retain(|ended| ended.version > stored);
        }
        // Without a revision the chunk was written in the batch, and the job stays there.
        if revision > 0 && chunks.iter().any(|chunk| chunk.number == 0) {
            self.jobs.batches.remove_job(id);
        }
        self.tasks_acknowledged(id, shard, changed);
    }

    /// Acknowledges the delete of a finished job's chunks.
    fn deletes_acknowledged(&mut self, id: &str, numbers: &[usize]) {
        if let Some(job) = self.jobs.by_id.get_mut(id) {
            for number in numbers {
                job.chunks[*number].revision = 0;
            }
        }
    }

    /// Acknowledges the write that marks a job's record as done.
    fn done_acknowledged(&mut self, id: &str, revision: u64) {
        let Some(job) = self.jobs.by_id.get_mut(id) else {
            return;
        };
        info!("job {id} done: {} tasks", job.spec.tasks);
        job.finished_in_store = true;
        self.counts.done += 1;
        let (shard, tasks) = (job.shard, job.spec.tasks);
        let ended = job.chunks.iter_mut().flat_map(|chunk| chunk.unstored_ends.drain(..));
        let changed = ended
            .map(|ended| TaskOnMachine { machine: ended.placement.machine, index: ended.index })
            .collect();
        self.cache_stage(id, CachedStage { stage: StoredStage::Done, shard, tasks, revision });
        self.tasks_acknowledged(id, shard, changed);
    }

    /// Marks the desired state of the tasks' machines as changed, so that it is sent, and
    /// updates the index of tasks.
    fn tasks_acknowledged(&mut self, id: &str, shard: usize, changed: Vec<TaskOnMachine>) {
        for TaskOnMachine { machine, index } in changed {
            self.jobs.unlink(id, index, &machine);
            self.changes.desired.insert((shard, machine));
        }
    }
}

impl super::Jobs {
    /// Switches to the lower limits, which are in effect once the key-value store refuses
    /// values that it accepted before.
    fn use_lowered_limits(&mut self) {
        info!("the key-value store takes only smaller values from now on");
        self.previous_chunk_layout = None;
        let layout = self.chunk_layout;
        self.by_id.values_mut().for_each(|job| job.set_layout(layout, None));
    }
}
