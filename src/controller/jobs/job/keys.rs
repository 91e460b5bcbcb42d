//! Keys and records of jobs in the key-value store.

use crate::wire::JobStage;
use serde::{Deserialize, Serialize};

/// Value of `j/REF`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Shard that accepted it.
    #[serde(rename = "s")]
    pub shard: usize,
    /// Stage.
    #[serde(rename = "g")]
    pub stage: StoredStage,
    /// Number of tasks, which is shown of a done job too.
    #[serde(rename = "n", default)]
    pub tasks: u32,
    /// Jobs that must be done first; empty once it is over.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
    /// Number of further keys that name others, where one value has no room for all.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub further_keys: u32,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl JobRecord {
    /// The record of a job that is over.
    pub fn ended(shard: usize, stage: StoredStage, tasks: u32) -> JobRecord {
        JobRecord { shard, stage, tasks, dependencies: Vec::new(), further_keys: 0 }
    }
}

/// Most jobs whose records are read key by key; more are read by pages.
pub const MAX_SINGLE_READS: usize = 64;

/// A key just before a job's: after all keys of jobs with smaller ids.
pub fn key_before(id: &str) -> String {
    let mut key = job_key(id);
    // Before the last digit and after all that might follow it in an id.
    let last = key.pop().unwrap_or('0');
    key.push(char::from_u32(u32::from(last) - 1).unwrap_or('/'));
    key.push(':');
    key
}

/// Key of further dependencies; numbered from 1.
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
    /// Cancelled by its user, or with a job that it depends on.
    #[serde(rename = "c")]
    Cancelled,
}

impl From<StoredStage> for JobStage {
    /// The stage that users are shown; an accepted job of which tasks run is shown as running
    /// instead.
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

/// Key of a chunk of a job's tasks.
pub fn chunk_key(shard: usize, id: &str, chunk: usize) -> String {
    format!("w/{shard}/{id}/{chunk}")
}

/// Beginning of the keys of all of a job's chunks.
pub fn chunk_keys(shard: usize, id: &str) -> String {
    format!("w/{shard}/{id}/")
}

/// Key of descriptions of jobs that were accepted together. The term and the
/// number make it unique; jobs' ids never begin like it.
pub fn batch_key(shard: usize, term: u64, number: u64) -> String {
    format!("w/{shard}/_{term}-{number}/0")
}

/// Whether a name in a key under `w/S/` is a batch's instead of a job's.
pub fn is_batch(name: &str) -> bool {
    name.starts_with('_')
}

/// Jobs of at most so many tasks stay in their batch: rewritten whole, it stores changes of
/// many jobs with one write.
pub const BATCHED_TASKS: u32 = 2;

/// Job, or name of a batch, and number of the chunk of a key under `w/S/`.
pub fn parse_chunk_key(key: &str) -> Option<(&str, usize)> {
    let mut fields = key.split('/').skip(2);
    let id = fields.next()?;
    let chunk = fields.next()?.parse().ok()?;
    Some((id, chunk))
}
