//! End of a recovery: runs the jobs that were read.

use crate::controller::Controller;
use crate::controller::call_origin::CallOrigin;
use crate::controller::jobs::job::JobRecord;
use crate::controller::leadership::Leadership;
use crate::controller::leadership::recovery::{
    ReadRecord, RecoveryPage, RecoveryProgress, ShardRecovery, StoredChunks,
};
use crate::kv_store::KvResponse;
use log::info;

/// Effect of the end of a recovery on the service of its shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServiceState {
    /// The shard is no longer led, or is led under another term.
    NotLed,
    /// The shard's jobs run from now on.
    Begins,
    /// The shard's jobs already ran; the recovery added jobs that were found in the store.
    Continues,
}

impl Leadership {
    /// The recovery of a shard under `term`, if it is in progress.
    fn recovery_mut(&mut self, shard: usize, term: u64) -> Option<&mut ShardRecovery> {
        self.recoveries.get_mut(&shard).filter(|recovery| recovery.term() == term)
    }

    /// Marks a shard as served from now on: its jobs have been read.
    fn begin_serving(&mut self, shard: usize, term: u64) -> ServiceState {
        match &mut self.shards[shard].leadership {
            Some(leadership) if leadership.term == term => {
                if std::mem::replace(&mut leadership.recovered, true) {
                    ServiceState::Continues
                } else {
                    ServiceState::Begins
                }
            }
            _ => ServiceState::NotLed,
        }
    }
}

impl Controller {
    /// Continues all recoveries.
    pub(crate) fn continue_recoveries(&mut self) {
        // Changes after the read of a record arrive through the watch, which must have started.
        if !self.holds_lease() || !self.leadership.follows_jobs() {
            return;
        }
        let shards: Vec<usize> = self.leadership.recoveries.keys().copied().collect();
        for shard in shards {
            self.continue_recovery(shard);
        }
    }

    fn continue_recovery(&mut self, shard: usize) {
        let origin = self.call_origin();
        if let Some(recovery) = self.leadership.recoveries.get_mut(&shard)
            && recovery.request_next(shard, origin, &mut self.context) == RecoveryProgress::AllRead
        {
            self.finish_recovery(shard);
        }
    }

    /// Handles the reply to a request for a page of a shard's keys.
    pub(crate) fn recovery_page_reply(&mut self, shard: usize, term: u64, reply: KvResponse) {
        let KvResponse::Page { items, more, .. } = reply else {
            if let Some(recovery) = self.leadership.recovery_mut(shard, term) {
                recovery.page_failed(self.context.now);
            }
            return;
        };
        let last = items.last().map(|item| item.key.clone());
        let page = RecoveryPage::decode(items, |id| self.jobs.by_id.contains_key(id));
        for batch in &page.unreadable {
            self.jobs.mark_unreadable(batch, "some jobs of the batch are malformed");
        }
        if let Some(recovery) = self.leadership.recovery_mut(shard, term) {
            recovery.add_page(page, last, more);
            self.continue_recovery(shard);
        }
    }

    /// Handles the reply to the read of a job's record.
    pub(crate) fn recovery_record_reply(
        &mut self,
        shard: usize,
        term: u64,
        job: &str,
        origin: CallOrigin,
        reply: KvResponse,
    ) {
        let (now, is_outdated) = (self.context.now, self.leadership.is_outdated(origin));
        let Some(recovery) = self.leadership.recovery_mut(shard, term) else {
            return;
        };
        if is_outdated {
            recovery.discard_record(job);
            return self.continue_recovery(shard);
        }
        if let KvResponse::Value(Some(item)) = &reply {
            // Heartbeats of machines with tasks of the job are answered from now on.
            self.cache_record(job, item);
        }
        let Some(recovery) = self.leadership.recovery_mut(shard, term) else {
            return;
        };
        let is_read = recovery.add_record(job, reply, now);
        if is_read {
            self.continue_recovery(shard);
        }
    }

    fn finish_recovery(&mut self, shard: usize) {
        let Some(recovery) = self.leadership.recoveries.remove(&shard) else {
            return;
        };
        self.leadership.unlisted_jobs.listing_finished(shard);
        let mut read = recovery.finish();
        for (batch, jobs) in read.batches {
            self.jobs.batches.add(&batch.key, shard, batch.revision, jobs);
        }
        let mut restored = 0;
        for (id, chunks) in read.chunks {
            if self.jobs.by_id.contains_key(&id) {
                continue;
            }
            let Some(ReadRecord { record: Some(record), revision }) = read.records.remove(&id)
            else {
                self.jobs.leave_unreadable(&id, "its record is missing or malformed");
                continue;
            };
            if self.restore_job(shard, &id, &record, revision, &chunks) {
                restored += 1;
            }
        }
        let service = self.leadership.begin_serving(shard, read.term);
        if service != ServiceState::NotLed {
            info!("shard {shard} term {}: {restored} unfinished jobs recovered", read.term);
            self.reconcile_recovered(shard);
        }
        if service == ServiceState::Begins {
            self.scheduler.request_pass();
        }
    }

    /// Runs a job from its record at `revision` and its chunks. Returns false if they are
    /// malformed.
    fn restore_job(
        &mut self,
        shard: usize,
        id: &str,
        record: &JobRecord,
        revision: u64,
        chunks: &StoredChunks,
    ) -> bool {
        self.apply_job_record(id, record, revision);
        if !self.jobs.restore(shard, id, record, revision, chunks) {
            self.jobs.leave_unreadable(id, "its stored tasks are malformed");
            return false;
        }
        self.changes.jobs.insert(id.to_string());
        self.changes.progress.insert(id.to_string());
        true
    }

    /// Sends the complete desired state of a recovered shard and compares its machines with it: a
    /// task that it does not name is not desired.
    fn reconcile_recovered(&mut self, shard: usize) {
        self.changes.complete_desired.insert(shard);
        let machines: Vec<String> =
            self.jobs.task_index.machines_of_shard(shard).map(|m| m.to_string()).collect();
        let cancelled: Vec<String> = self
            .jobs
            .by_id
            .iter()
            .filter(|(_, job)| job.shard == shard && job.cancelled)
            .map(|(id, _)| id.clone())
            .collect();
        for id in cancelled {
            self.stop_job(&id);
        }
        for machine in machines {
            self.scheduler.mark_stale(&machine);
            self.evaluate_machine(shard, &machine);
        }
    }
}
