//! Recovery: reads the jobs of a shard after its acquisition.
//!
//! First the chunks of all stored jobs of the shard are listed, page by page, then the record of
//! each job is read. Changes after the read of a record arrive through the watch.

use crate::controller::call_origin::CallOrigin;
use crate::controller::calls::LeadershipCall;
use crate::controller::context::Context;
use crate::controller::jobs::job::{self, JobRecord, StoredChunkValue};
use crate::kv_store::{KvRequest, KvResponse, PAGE_KEYS};
use crate::time::Micros;
use crate::wire::KeyValue;
use serde_json::Value;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of reads of job records in flight while a shard is recovered.
const MAX_RECORD_READS: usize = 12;
/// Delay before the next call after a page could not be read.
const PAGE_RETRY_DELAY: Micros = Micros::millis(200);
/// Delay before the next call after a record could not be read.
const RECORD_RETRY_DELAY: Micros = Micros::millis(150);

/// A job's stored chunks, by number.
pub(crate) type StoredChunks = BTreeMap<usize, StoredChunkValue>;

/// A job's record as read from the store.
#[derive(Debug, Clone)]
pub(crate) struct ReadRecord {
    /// `None` if the record does not exist or is malformed.
    pub(crate) record: Option<JobRecord>,
    /// Revision of the record's key; 0 if the key does not exist.
    pub(crate) revision: u64,
}

/// Key and revision of a batch in which jobs were accepted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StoredBatch {
    pub(crate) key: String,
    pub(crate) revision: u64,
}

/// A job that was accepted in a batch. The batch contains the job's chunk 0 until that chunk has a
/// key of its own.
#[derive(Debug, Clone)]
struct BatchedJob {
    batch: StoredBatch,
    first_chunk: Value,
}

/// Decoded page of a shard's keys, without the jobs that this process already runs.
#[derive(Debug, Default)]
pub(crate) struct RecoveryPage {
    chunks: Vec<ListedChunk>,
    batched: BTreeMap<String, BatchedJob>,
    /// Keys of batches in which some jobs are malformed.
    pub(crate) unreadable: Vec<String>,
}

/// A chunk of a job in a page.
#[derive(Debug)]
struct ListedChunk {
    job: String,
    number: usize,
    value: Value,
    revision: u64,
}

impl RecoveryPage {
    /// Decodes the keys of a page, without the jobs for which `is_known` is true.
    pub(crate) fn decode(items: Vec<KeyValue>, is_known: impl Fn(&str) -> bool) -> RecoveryPage {
        let mut page = RecoveryPage::default();
        for KeyValue { key, value, revision } in items {
            let Some((id, number)) = job::parse_chunk_key(&key) else {
                continue;
            };
            if job::is_batch(id) {
                if !job::batch_is_readable(&value) {
                    page.unreadable.push(key.clone());
                }
                let jobs = job::decode_batch(&value).into_iter();
                page.batched.extend(jobs.filter(|(id, _)| !is_known(id)).map(
                    |(id, first_chunk)| {
                        let batch = StoredBatch { key: key.clone(), revision };
                        (id, BatchedJob { batch, first_chunk })
                    },
                ));
            } else if !is_known(id) {
                let job = id.to_string();
                page.chunks.push(ListedChunk { job, number, value, revision });
            }
        }
        page
    }
}

/// Whether a recovery has read everything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecoveryProgress {
    /// Calls are in flight or still to be made.
    Reading,
    /// All chunks and records have been read.
    AllRead,
}

/// Recovery of a shard's jobs, either after the acquisition of the shard or because the store
/// contains one of its jobs that this process does not run.
#[derive(Debug, Clone)]
pub(crate) struct ShardRecovery {
    /// The term under which the shard is led.
    term: u64,
    /// Key after which the next page begins; `None` for the first page.
    after: Option<String>,
    /// All pages have been read.
    listed: bool,
    page_in_flight: bool,
    /// Earliest time of the next read.
    retry_at: Micros,
    /// Listed chunks of each job.
    chunks: BTreeMap<String, StoredChunks>,
    /// Jobs that are listed in a batch.
    batched: BTreeMap<String, BatchedJob>,
    /// Jobs whose record is still to be read.
    unread: BTreeSet<String>,
    /// Jobs whose record is being read.
    in_flight: BTreeSet<String>,
    records: BTreeMap<String, ReadRecord>,
}

impl ShardRecovery {
    /// Creates a recovery that has read nothing yet.
    pub(crate) fn new(term: u64) -> ShardRecovery {
        ShardRecovery {
            term,
            after: None,
            listed: false,
            page_in_flight: false,
            retry_at: Micros::ZERO,
            chunks: BTreeMap::new(),
            batched: BTreeMap::new(),
            unread: BTreeSet::new(),
            in_flight: BTreeSet::new(),
            records: BTreeMap::new(),
        }
    }

    /// The term under which the shard is led.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// Reads all records again, since changes of them may have been missed. Those that are in flight
    /// are read again once their outdated replies arrive.
    pub(crate) fn read_records_again(&mut self) {
        self.unread.extend(std::mem::take(&mut self.records).into_keys());
    }

    /// Requests the next page, or the next records; `origin` is that of a call that is sent now.
    pub(crate) fn request_next(
        &mut self,
        shard: usize,
        origin: CallOrigin,
        context: &mut Context,
    ) -> RecoveryProgress {
        if self.page_in_flight || context.now < self.retry_at {
            return RecoveryProgress::Reading;
        }
        let term = self.term;
        if !self.listed {
            self.page_in_flight = true;
            let call = KvRequest::List {
                prefix: format!("w/{shard}/"),
                after: self.after.clone(),
                limit: PAGE_KEYS,
            };
            context.call_store(LeadershipCall::ReadRecoveryPage { shard, term }, call);
            return RecoveryProgress::Reading;
        }
        for _ in self.in_flight.len()..MAX_RECORD_READS {
            let Some(job) = self.unread.pop_first() else {
                break;
            };
            self.in_flight.insert(job.clone());
            let call = KvRequest::Get(job::job_key(&job));
            let purpose = LeadershipCall::ReadRecoveredRecord { shard, term, job, origin };
            context.call_store(purpose, call);
        }
        if self.unread.is_empty() && self.in_flight.is_empty() {
            RecoveryProgress::AllRead
        } else {
            RecoveryProgress::Reading
        }
    }

    /// Schedules another read of a page that could not be read.
    pub(crate) fn page_failed(&mut self, now: Micros) {
        self.page_in_flight = false;
        self.retry_at = now + PAGE_RETRY_DELAY;
    }

    /// Adds a page that was read, up to the key `last`; `more` is true if another page follows.
    pub(crate) fn add_page(&mut self, page: RecoveryPage, last: Option<String>, more: bool) {
        self.page_in_flight = false;
        self.listed = !more || last.is_none();
        self.after = last;
        for ListedChunk { job, number, value, revision } in page.chunks {
            self.unread.insert(job.clone());
            self.chunks
                .entry(job)
                .or_default()
                .insert(number, StoredChunkValue { value, revision });
        }
        for (job, batched) in page.batched {
            self.unread.insert(job.clone());
            self.batched.insert(job, batched);
        }
    }

    /// Adds the record of a job from the reply to its read. Returns whether to continue reading
    /// immediately.
    pub(crate) fn add_record(&mut self, job: &str, reply: KvResponse, now: Micros) -> bool {
        self.in_flight.remove(job);
        match reply {
            KvResponse::Value(item) => {
                let revision = item.as_ref().map_or(0, |item| item.revision);
                let record = item.and_then(|item| serde_json::from_value(item.value).ok());
                self.records.insert(job.to_string(), ReadRecord { record, revision });
                true
            }
            _ => {
                self.unread.insert(job.to_string());
                self.retry_at = now + RECORD_RETRY_DELAY;
                false
            }
        }
    }

    /// Discards an outdated reply to the read of a job's record, which is read again.
    pub(crate) fn discard_record(&mut self, job: &str) {
        self.in_flight.remove(job);
        self.unread.insert(job.to_string());
    }

    /// Assembles the recovered jobs after everything has been read. A job without a key for chunk 0
    /// gets its chunk 0 from its batch and is listed with that batch. A job's own key for chunk 0
    /// is newer than its batch.
    pub(crate) fn finish(mut self) -> RecoveredShard {
        let mut batches: BTreeMap<StoredBatch, BTreeSet<String>> = BTreeMap::new();
        for (id, BatchedJob { batch, first_chunk }) in self.batched {
            let jobs = batches.entry(batch).or_default();
            let chunks = self.chunks.entry(id.clone()).or_default();
            if let Entry::Vacant(first) = chunks.entry(0) {
                first.insert(StoredChunkValue { value: first_chunk, revision: 0 });
                jobs.insert(id);
            }
        }
        let (term, chunks, records) = (self.term, self.chunks, self.records);
        RecoveredShard { term, batches, chunks, records }
    }
}

/// Everything that was read of a shard's jobs.
#[derive(Debug)]
pub(crate) struct RecoveredShard {
    /// The term under which the shard is led.
    pub(crate) term: u64,
    /// The jobs of each batch that have no key of their own for chunk 0.
    pub(crate) batches: BTreeMap<StoredBatch, BTreeSet<String>>,
    /// Chunks of each job.
    pub(crate) chunks: BTreeMap<String, StoredChunks>,
    /// Records of the jobs.
    pub(crate) records: BTreeMap<String, ReadRecord>,
}
