//! Reads a job back from the store after a write whose outcome is unknown or that failed on a
//! condition, and reconciles the job in memory with the stored state.

use super::Jobs;
use super::job::{self, ChunkVersion, Job, JobRecord, ReadChunk, StoredStage};
use crate::controller::Controller;
use crate::controller::call_origin::CallOrigin;
use crate::controller::calls::JobsCall;
use crate::controller::context::Context;
use crate::controller::leadership::Leadership;
use crate::kv_store::{KvRequest, KvResponse, PAGE_KEYS};
use crate::time::Micros;
use log::warn;
use std::collections::BTreeMap;

/// Pause in a job's placements after a failed read-back.
const FAILED_READ_BACK_PAUSE: Micros = Micros::millis(200);

/// Chunks of a job that have been read back so far, under a term of the job's shard.
struct ChunkReadBack<'a> {
    id: &'a str,
    shard: usize,
    term: u64,
    chunks: BTreeMap<usize, ReadChunk>,
}

impl Jobs {
    /// Reads a job's record back from the store, unless a call about the job is in flight.
    pub(crate) fn read_back(&mut self, context: &mut Context, leadership: &Leadership, id: &str) {
        let Some(job) = self.by_id.get_mut(id).filter(|job| !job.store_call_in_flight) else {
            return;
        };
        let Some(led) = leadership.led_shard(job.shard) else {
            return;
        };
        job.store_call_in_flight = true;
        let origin = leadership.call_origin(context.now);
        let call = JobsCall::ReadBack { job: id.to_string(), term: led.term, origin };
        context.call_store(call, KvRequest::Get(job::job_key(id)));
    }

    /// Reads the next page of a job's chunks: the keys after `after`, or the first page.
    fn read_back_chunks(
        &mut self,
        context: &mut Context,
        read: ChunkReadBack,
        after: Option<String>,
    ) {
        let ChunkReadBack { id, shard, term, chunks } = read;
        if let Some(job) = self.by_id.get_mut(id) {
            job.store_call_in_flight = true;
        }
        let call = JobsCall::ReadBackChunks { job: id.to_string(), term, read: chunks };
        let prefix = job::chunk_key_prefix(shard, id);
        context.call_store(call, KvRequest::List { prefix, after, limit: PAGE_KEYS });
    }

    /// Pauses placements of a job whose read-back failed. It is safe to let the next write go
    /// ahead: it fails on its conditions and triggers another read-back.
    fn read_back_failed(&mut self, now: Micros, id: &str) {
        if let Some(job) = self.by_id.get_mut(id) {
            job.backoff.pause_until(now + FAILED_READ_BACK_PAUSE);
        }
    }
}

impl Job {
    /// Sets the revisions of all chunks to the stored ones. Returns the chunk versions that
    /// turned out to be stored although their write was not acknowledged, each with the
    /// revision of its key.
    fn reconcile_chunks(&mut self, read: &BTreeMap<usize, ReadChunk>) -> Vec<(ChunkVersion, u64)> {
        let mut applied = Vec::new();
        for (number, chunk) in self.chunks.iter_mut().enumerate() {
            let Some(ReadChunk { version, revision }) = read.get(&number).copied() else {
                chunk.revision = 0;
                continue;
            };
            chunk.revision = revision;
            if version > chunk.stored_version && version <= chunk.version {
                applied.push((ChunkVersion { number, version }, revision));
            }
        }
        applied
    }
}

impl Controller {
    /// Reads a job's record back from the store, unless a call about the job is in flight.
    pub(crate) fn read_back(&mut self, id: &str) {
        self.jobs.read_back(&mut self.context, &self.leadership, id);
    }

    /// Handles the reply with a job's record, then reads the job's chunks back.
    pub(super) fn record_read_back_reply(
        &mut self,
        id: &str,
        term: u64,
        origin: CallOrigin,
        reply: KvResponse,
    ) {
        let Some(shard) = self.finish_store_call(id, term) else {
            return;
        };
        let KvResponse::Value(Some(item)) = reply else {
            return self.jobs.read_back_failed(self.context.now, id);
        };
        let revision = item.revision;
        let record = match serde_json::from_value::<JobRecord>(item.value) {
            Ok(record) => record,
            Err(error) => {
                warn!("record of job {id} at revision {revision} ignored: {error}");
                return;
            }
        };
        if record.stage == StoredStage::Accepted && self.leadership.is_outdated(origin) {
            self.count_outdated_read(id, revision);
            return self.read_back(id);
        }
        let stage = self.apply_job_record(id, &record, revision).stage;
        if stage == StoredStage::Cancelled {
            self.job_cancelled(id);
        }
        if let Some(job) = self.jobs.by_id.get_mut(id) {
            job.finished_in_store |= stage == StoredStage::Done;
            job.revision = revision;
            let read = ChunkReadBack { id, shard, term, chunks: BTreeMap::new() };
            self.jobs.read_back_chunks(&mut self.context, read, None);
        }
    }

    /// Handles the reply with a page of a job's chunks; `chunks` holds those of earlier pages.
    pub(super) fn chunks_read_back_reply(
        &mut self,
        id: &str,
        term: u64,
        mut chunks: BTreeMap<usize, ReadChunk>,
        reply: KvResponse,
    ) {
        let Some(shard) = self.finish_store_call(id, term) else {
            return;
        };
        let KvResponse::Page { items, more, .. } = reply else {
            return self.jobs.read_back_failed(self.context.now, id);
        };
        for item in &items {
            if let Some((_, number)) = job::parse_chunk_key(&item.key) {
                let version = job::stored_version(&item.value).unwrap_or(0);
                chunks.insert(number, ReadChunk { version, revision: item.revision });
            }
        }
        // Further pages must be read, too: a missing revision would make every write fail.
        if let Some(last) = items.last().filter(|_| more) {
            let read = ChunkReadBack { id, shard, term, chunks };
            return self.jobs.read_back_chunks(&mut self.context, read, Some(last.key.clone()));
        }
        let job = self.jobs.by_id.get_mut(id);
        for (chunk, revision) in job.map_or(Vec::new(), |job| job.reconcile_chunks(&chunks)) {
            self.chunks_acknowledged(id, revision, &[chunk]);
        }
    }
}
