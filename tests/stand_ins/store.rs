//! Stand-in for the key-value store.

use millethold::controller::jobs::job::{
    StoredPlacement, decode_batch, is_batch, stored_placements,
};
use millethold::kv_store::{KvRequest, KvResponse};
use millethold::time::Micros;
use millethold::wire::{KeyValue, Txn, WatchEvent, Write};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of values in a page. It is small so that tests exercise paging.
const PAGE_SIZE: usize = 5;

#[derive(Default)]
pub struct Store {
    /// Value, revision and lease of each key.
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// Expiry time and duration of each lease.
    leases: BTreeMap<u64, (Micros, Micros)>,
    /// All writes since the start, in order.
    history: Vec<WatchEvent>,
    last_lease: u64,
    /// Revision of the last write.
    pub revision: u64,
}

impl Store {
    /// Extends every lease by its full duration, as the store does after an outage.
    pub fn renew_all_leases(&mut self, now: Micros) {
        for (expires_at, ttl) in self.leases.values_mut() {
            *expires_at = now + *ttl;
        }
    }

    /// Deletes the expired leases and their keys.
    pub fn expire_leases(&mut self, now: Micros) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (expires_at, _))| now > *expires_at)
            .map(|(l, _)| *l)
            .collect();
        for lease in expired {
            self.delete_lease(lease);
        }
    }

    /// Deletes a lease and all keys that are attached to it.
    fn delete_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, (_, _, l))| *l == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.keys.remove(&key);
            let revision = self.revision;
            self.history.push(WatchEvent {
                put: None,
                delete: Some(key),
                value: Value::Null,
                revision,
            });
        }
    }

    /// Executes a call and returns its reply. Watches are rejected; callers answer them with
    /// [`Store::events_after`].
    pub fn apply(&mut self, now: Micros, call: &KvRequest) -> KvResponse {
        self.expire_leases(now);
        match call {
            KvRequest::Get(key) => KvResponse::Value(self.get(key)),
            KvRequest::List { prefix, after, .. } => self.list(prefix, after.as_ref()),
            KvRequest::Txn(txn) => self.transact(txn),
            KvRequest::GrantLease(ttl) => {
                self.last_lease += 1;
                self.leases.insert(self.last_lease, (now + *ttl, *ttl));
                KvResponse::LeaseGranted(self.last_lease)
            }
            KvRequest::RenewLease(lease) => match self.leases.get_mut(lease) {
                Some((expires_at, ttl)) => {
                    *expires_at = now + *ttl;
                    KvResponse::LeaseRenewed
                }
                None => KvResponse::LeaseNotFound,
            },
            KvRequest::RevokeLease(lease) => {
                self.delete_lease(*lease);
                KvResponse::LeaseRenewed
            }
            KvRequest::Watch { .. } => KvResponse::Rejected,
        }
    }

    fn get(&self, key: &str) -> Option<KeyValue> {
        self.keys.get(key).map(|(value, revision, _)| KeyValue {
            key: key.to_string(),
            value: value.clone(),
            revision: *revision,
        })
    }

    fn list(&self, prefix: &str, after: Option<&String>) -> KvResponse {
        let is_listed = |key: &String| key.starts_with(prefix) && after.is_none_or(|a| key > a);
        let keys = self.keys.keys().filter(|key| is_listed(key));
        let mut items: Vec<KeyValue> = keys.filter_map(|key| self.get(key)).collect();
        let more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        KvResponse::Page { items, more, revision: self.revision }
    }

    fn transact(&mut self, txn: &Txn) -> KvResponse {
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |k| k.1) != c.revision)
            .map(|c| c.key.clone())
            .collect();
        let lease_missing = txn.writes.iter().any(|w| match w {
            Write::Put { lease: Some(l), .. } => !self.leases.contains_key(l),
            _ => false,
        });
        if lease_missing {
            return KvResponse::LeaseNotFound;
        }
        if !failed.is_empty() {
            return KvResponse::Conflict(failed);
        }
        self.revision += 1;
        let revision = self.revision;
        for write in &txn.writes {
            let event = match write {
                Write::Put { key, value, lease } => {
                    self.keys.insert(key.clone(), (value.clone(), revision, *lease));
                    WatchEvent {
                        put: Some(key.clone()),
                        delete: None,
                        value: value.clone(),
                        revision,
                    }
                }
                Write::Delete { key } => {
                    self.keys.remove(key);
                    WatchEvent {
                        put: None,
                        delete: Some(key.clone()),
                        value: Value::Null,
                        revision,
                    }
                }
            };
            self.history.push(event);
        }
        KvResponse::Applied(revision)
    }

    /// Whether a placement of an attempt on a machine was ever written. Searches the history
    /// rather than the current keys, since the job may be done or cancelled by now.
    pub fn was_ever_placed(&self, task: &str, machine: &str, attempt: u64) -> bool {
        let Some((job, index)) = task.split_once('/') else {
            return false;
        };
        let index: u32 = index.parse().expect("a number");
        self.history.iter().rev().any(|c| {
            let key = c.put.as_deref().unwrap_or_default();
            placements_of(key, &c.value, job)
                .iter()
                .any(|p| p.index == index && p.machine == machine && p.attempt == attempt)
        })
    }

    /// Number of current keys with this prefix, and of keys that were ever written with it.
    pub fn count_keys(&self, prefix: &str) -> (usize, usize) {
        let current = self.keys.keys().filter(|k| k.starts_with(prefix)).count();
        let puts = self.history.iter().filter_map(|c| c.put.as_ref());
        let ever: BTreeSet<&String> = puts.filter(|k| k.starts_with(prefix)).collect();
        (current, ever.len())
    }

    /// Number of writes to keys with this prefix since the start, including deletions.
    pub fn count_writes(&self, prefix: &str) -> usize {
        let keys = self.history.iter().filter_map(|c| c.put.as_ref().or(c.delete.as_ref()));
        keys.filter(|k| k.starts_with(prefix)).count()
    }

    /// Whether a job is stored as done.
    pub fn is_done(&self, job: &str) -> bool {
        self.keys.get(&format!("j/{job}")).is_some_and(|(value, _, _)| value["g"] == "d")
    }

    /// Number of attempts whose placement on a machine was ever written.
    pub fn count_attempts(&self, machine: &str) -> usize {
        let mut placed = BTreeSet::new();
        for c in &self.history {
            let Some(key) = c.put.as_ref().filter(|k| k.starts_with("w/")) else {
                continue;
            };
            for (job, value) in chunks_in_key(key, &c.value) {
                let placements = stored_placements(&value).unwrap_or_default();
                let on_machine = placements.into_iter().filter(|p| p.machine == machine);
                placed.extend(on_machine.map(|p| (job.clone(), p.index, p.attempt)));
            }
        }
        placed.len()
    }

    /// Whether an attempt is currently stored as placed. Always false for a job that is done or
    /// cancelled: once that is stored, so are the ends of all its tasks.
    pub fn is_placed(&self, task: &str, attempt: u64) -> bool {
        let Some((job, index)) = task.split_once('/') else {
            return false;
        };
        let index: u32 = index.parse().expect("a number");
        let record = self.keys.get(&format!("j/{job}"));
        if record.is_some_and(|(value, _, _)| value["g"] != "a") {
            return false;
        }
        // A chunk with a key of its own takes precedence over the copy in a batch, as it does when
        // a controller recovers the job.
        let own = |key: &str| key.starts_with("w/") && key.split('/').nth(2) == Some(job);
        let own_chunks: Vec<_> = self.keys.iter().filter(|(key, _)| own(key)).collect();
        let has_own_first_chunk = own_chunks.iter().any(|(key, _)| key.ends_with("/0"));
        let in_key = |(key, (value, _, _)): &(&String, &(Value, u64, Option<u64>))| {
            placements_of(key, value, job).iter().any(|p| p.index == index && p.attempt == attempt)
        };
        if has_own_first_chunk {
            own_chunks.iter().any(in_key)
        } else {
            self.keys.iter().any(|kv| in_key(&kv))
        }
    }

    /// Writes after a revision to keys with this prefix, as a watch reports them.
    pub fn events_after(&self, prefix: &str, after: u64) -> Vec<WatchEvent> {
        // The history is in the order of revisions.
        let first = self.history.partition_point(|c| c.revision <= after);
        self.history[first..]
            .iter()
            .filter(|c| {
                let key = c.put.as_ref().or(c.delete.as_ref());
                key.is_some_and(|k| k.starts_with(prefix))
            })
            .cloned()
            .collect()
    }
}

/// The job chunks that a key holds, each with its job id. Empty if the key holds no chunk.
fn chunks_in_key(key: &str, value: &Value) -> Vec<(String, Value)> {
    match key.strip_prefix("w/").and_then(|k| k.split('/').nth(1)) {
        None => Vec::new(),
        Some(name) if is_batch(name) => decode_batch(value),
        Some(job) => vec![(job.to_string(), value.clone())],
    }
}

/// Placements of a job in the value of a key. Empty if the key holds no chunk of the job.
fn placements_of(key: &str, value: &Value, job: &str) -> Vec<StoredPlacement> {
    let job_chunks = chunks_in_key(key, value).into_iter().filter(|(id, _)| id == job);
    job_chunks.filter_map(|(_, chunk)| stored_placements(&chunk)).flatten().collect()
}

/// Describes the writes of a transaction that lack the condition which fences them. Writes of
/// chunks and quota grants must be conditional on the revision of the writer's shard lease,
/// puts of chunks also on the revision of the job record.
pub fn unfenced_writes(txn: &Txn) -> Vec<String> {
    let has_condition = |prefix: &str| {
        txn.conditions.iter().any(|c| c.key.starts_with(prefix) && !c.key.is_empty())
    };
    let mut unfenced = Vec::new();
    for w in &txn.writes {
        let (key, put) = match w {
            Write::Put { key, .. } => (key, true),
            Write::Delete { key } => (key, false),
        };
        let needs_shard_lease = key.starts_with("w/") || key.starts_with("quota/");
        if needs_shard_lease
            && !txn.conditions.iter().any(|c| c.key.starts_with("hold/") && c.revision > 0)
        {
            unfenced.push(format!("{key} is written without a condition on a shard lease"));
        }
        if put && key.starts_with("w/") && !has_condition("j/") {
            unfenced.push(format!("{key} is written without a condition on its job record"));
        }
    }
    unfenced
}

/// Describes how a transaction exceeds the limits of the key-value store, if it does.
pub fn too_large(txn: &Txn, value_kb: f64, ops: usize) -> Option<String> {
    if txn.writes.len() > ops || txn.conditions.len() > 4 * ops {
        return Some(format!("{} writes, {} conditions", txn.writes.len(), txn.conditions.len()));
    }
    let size = |w: &Write| match w {
        Write::Put { value, key, .. } => Some((value.to_string().len(), key.clone())),
        Write::Delete { .. } => None,
    };
    let max_bytes = (value_kb * 1024.0) as usize;
    let large = txn.writes.iter().filter_map(size).find(|(len, _)| *len > max_bytes);
    large.map(|(len, key)| format!("{len} bytes in {key}"))
}
