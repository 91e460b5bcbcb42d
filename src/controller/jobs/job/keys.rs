//! Keys and records of jobs in the key-value store.

use crate::wire::JobStage;
use serde::{Deserialize, Serialize};

/// A job's record, the value of `j/REF`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Shard that accepted the job and runs it.
    #[serde(rename = "s")]
    pub shard: usize,
    /// Stored stage of the job.
    #[serde(rename = "g")]
    pub stage: StoredStage,
    /// Number of tasks; kept after the job has ended, since it is still shown.
    #[serde(rename = "n", default)]
    pub tasks: u32,
    /// Jobs that must be done first; empty once the job has ended.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
    /// Number of further keys with dependencies, used if they do not all fit in this value.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub further_keys: u32,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl JobRecord {
    /// Creates the record of a job that has ended.
    pub fn ended(shard: usize, stage: StoredStage, tasks: u32) -> JobRecord {
        JobRecord { shard, stage, tasks, dependencies: Vec::new(), further_keys: 0 }
    }
}

/// Maximum number of jobs whose records are read key by key; more are read by pages.
pub const MAX_SINGLE_READS: usize = 64;

/// Returns a key that sorts directly before a job's key and after the keys of all jobs with
/// smaller ids. A listing after this key begins at the job.
pub fn key_before(id: &str) -> String {
    let mut key = job_key(id);
    // With the last digit lowered by one, `:` sorts after every digit that could follow it.
    let last = key.pop().unwrap_or('0');
    key.push(char::from_u32(u32::from(last) - 1).unwrap_or('/'));
    key.push(':');
    key
}

/// Key of a further list of dependencies; `number` counts from 1.
pub fn dependency_key(id: &str, number: u32) -> String {
    format!("u/{id}/{number}")
}

/// Stage of a job in the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredStage {
    /// Accepted, and neither done nor cancelled.
    #[serde(rename = "a")]
    Accepted,
    /// All tasks have completed.
    #[serde(rename = "d")]
    Done,
    /// Cancelled by the job's user, or with a dependency.
    #[serde(rename = "c")]
    Cancelled,
}

impl From<StoredStage> for JobStage {
    /// Converts to the stage shown to users. It does not depend on tasks: the caller shows an
    /// accepted job with running tasks as running instead of queued.
    fn from(stage: StoredStage) -> JobStage {
        match stage {
            StoredStage::Accepted => JobStage::Queued,
            StoredStage::Done => JobStage::Done,
            StoredStage::Cancelled => JobStage::Cancelled,
        }
    }
}

/// Key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("j/{id}")
}

/// Id of the job whose record is stored under a key; empty if it is the key of no record.
pub fn id_in_job_key(key: &str) -> &str {
    key.strip_prefix(&job_key("")).unwrap_or_default()
}

/// Key of one chunk of a job's tasks.
pub fn chunk_key(shard: usize, id: &str, chunk: usize) -> String {
    format!("w/{shard}/{id}/{chunk}")
}

/// Common prefix of the keys of a job's chunks.
pub fn chunk_key_prefix(shard: usize, id: &str) -> String {
    format!("w/{shard}/{id}/")
}

/// Key of a batch of jobs that were accepted together. The term and the number make it unique;
/// no job id begins with `_`.
pub fn batch_key(shard: usize, term: u64, number: u64) -> String {
    format!("w/{shard}/_{term}-{number}/0")
}

/// Whether the name in a key under `w/S/` is that of a batch instead of a job's id.
pub fn is_batch(name: &str) -> bool {
    name.starts_with('_')
}

/// Maximum number of tasks of a job that stays in its batch. A rewrite of the whole batch stores
/// changes of many small jobs with one write.
pub const MAX_BATCHED_TASKS: u32 = 2;

/// Splits a key under `w/S/` into the job id, or the name of a batch, and the chunk's number.
pub fn parse_chunk_key(key: &str) -> Option<(&str, usize)> {
    let mut fields = key.split('/').skip(2);
    let id = fields.next()?;
    let chunk = fields.next()?.parse().ok()?;
    Some((id, chunk))
}
