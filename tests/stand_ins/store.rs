//! A stand-in of the key-value store.

use millethold::controller::jobs::job::{
    StoredPlacement, decode_batch, is_batch, stored_placements,
};
use millethold::kv_store::{KvRequest, KvResponse};
use millethold::time::Micros;
use millethold::wire::{KeyValue, Txn, WatchEvent, Write};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Values of a page; few, so that paging is exercised.
const PAGE: usize = 5;

#[derive(Default)]
pub struct Store {
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    leases: BTreeMap<u64, (Micros, Micros)>,
    log: Vec<WatchEvent>,
    next_lease: u64,
    pub ledger: u64,
}

impl Store {
    /// After an outage every lease has its full time again.
    pub fn renew_all(&mut self, now: Micros) {
        for (until, ttl) in self.leases.values_mut() {
            *until = now + *ttl;
        }
    }

    /// Ends the leases that have run out.
    pub fn expire(&mut self, now: Micros) {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| now > *until).map(|(l, _)| *l).collect();
        for lease in over {
            self.end(lease);
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, (_, _, l))| *l == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.ledger += 1;
        }
        for key in keys {
            self.keys.remove(&key);
            let version = self.ledger;
            self.log.push(WatchEvent {
                put: None,
                delete: Some(key),
                value: Value::Null,
                revision: version,
            });
        }
    }

    /// Carries out a call, except a watch.
    pub fn apply(&mut self, now: Micros, call: &KvRequest) -> KvResponse {
        self.expire(now);
        match call {
            KvRequest::Get(key) => KvResponse::Value(self.get(key)),
            KvRequest::List { prefix, after } => self.list(prefix, after.as_ref()),
            KvRequest::Txn(txn) => self.transact(txn),
            KvRequest::GrantLease(ttl) => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (now + *ttl, *ttl));
                KvResponse::LeaseGranted(self.next_lease)
            }
            KvRequest::RenewLease(lease) => match self.leases.get_mut(lease) {
                Some((until, ttl)) => {
                    *until = now + *ttl;
                    KvResponse::LeaseRenewed
                }
                None => KvResponse::LeaseNotFound,
            },
            KvRequest::RevokeLease(lease) => {
                self.end(*lease);
                KvResponse::LeaseRenewed
            }
            KvRequest::Watch { .. } => KvResponse::Rejected,
        }
    }

    fn get(&self, key: &str) -> Option<KeyValue> {
        self.keys.get(key).map(|(value, version, _)| KeyValue {
            key: key.to_string(),
            value: value.clone(),
            revision: *version,
        })
    }

    fn list(&self, prefix: &str, after: Option<&String>) -> KvResponse {
        let wanted = |key: &String| key.starts_with(prefix) && after.is_none_or(|a| key > a);
        let keys = self.keys.keys().filter(|key| wanted(key));
        let mut items: Vec<KeyValue> = keys.filter_map(|key| self.get(key)).collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        KvResponse::Page { items, more, revision: self.ledger }
    }

    fn transact(&mut self, txn: &Txn) -> KvResponse {
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |k| k.1) != c.revision)
            .map(|c| c.key.clone())
            .collect();
        let dead = txn.writes.iter().any(|w| match w {
            Write::Put { lease: Some(l), .. } => !self.leases.contains_key(l),
            _ => false,
        });
        if dead {
            return KvResponse::LeaseNotFound;
        }
        if !failed.is_empty() {
            return KvResponse::Conflict(failed);
        }
        self.ledger += 1;
        let version = self.ledger;
        for write in &txn.writes {
            let change = match write {
                Write::Put { key, value, lease } => {
                    self.keys.insert(key.clone(), (value.clone(), version, *lease));
                    WatchEvent {
                        put: Some(key.clone()),
                        delete: None,
                        value: value.clone(),
                        revision: version,
                    }
                }
                Write::Delete { key } => {
                    self.keys.remove(key);
                    WatchEvent {
                        put: None,
                        delete: Some(key.clone()),
                        value: Value::Null,
                        revision: version,
                    }
                }
            };
            self.log.push(change);
        }
        KvResponse::Applied(version)
    }

    /// Whether an attempt of a task was ever written down for a machine. The
    /// log is asked, not the keys: the job may be over by now.
    pub fn written(&self, task: &str, machine: &str, attempt: u64) -> bool {
        let Some((job, index)) = task.split_once('/') else {
            return false;
        };
        let index: u32 = index.parse().expect("a number");
        self.log.iter().rev().any(|c| {
            let key = c.put.as_deref().unwrap_or_default();
            placements_of(key, &c.value, job)
                .iter()
                .any(|p| p.index == index && p.machine == machine && p.attempt == attempt)
        })
    }

    /// Keys that begin like this, now and ever.
    pub fn count(&self, prefix: &str) -> (usize, usize) {
        let now = self.keys.keys().filter(|k| k.starts_with(prefix)).count();
        let puts = self.log.iter().filter_map(|c| c.put.as_ref());
        let ever: BTreeSet<&String> = puts.filter(|k| k.starts_with(prefix)).collect();
        (now, ever.len())
    }

    /// Changes that were ever made to keys that begin like this.
    pub fn changed(&self, prefix: &str) -> usize {
        let keys = self.log.iter().filter_map(|c| c.put.as_ref().or(c.delete.as_ref()));
        keys.filter(|k| k.starts_with(prefix)).count()
    }

    /// Whether a job is stored as done.
    pub fn done(&self, job: &str) -> bool {
        self.keys.get(&format!("j/{job}")).is_some_and(|(value, _, _)| value["g"] == "d")
    }

    /// Attempts that were ever written down for a machine.
    pub fn attempts(&self, machine: &str) -> usize {
        let mut seen = BTreeSet::new();
        for c in &self.log {
            let Some(key) = c.put.as_ref().filter(|k| k.starts_with("w/")) else {
                continue;
            };
            for (job, value) in chunks(key, &c.value) {
                let here = stored_placements(&value).unwrap_or_default();
                let here = here.into_iter().filter(|p| p.machine == machine);
                seen.extend(here.map(|p| (job.clone(), p.index, p.attempt)));
            }
        }
        seen.len()
    }

    /// Whether an attempt is written down as placed at present, in a job that
    /// is not over: its end makes those of its tasks durable.
    pub fn placed(&self, task: &str, attempt: u64) -> bool {
        let Some((job, index)) = task.split_once('/') else {
            return false;
        };
        let index: u32 = index.parse().expect("a number");
        let record = self.keys.get(&format!("j/{job}"));
        if record.is_some_and(|(value, _, _)| value["g"] != "a") {
            return false;
        }
        // A job's own part counts before what a batch says of it, as for whoever reads it.
        let own = |key: &str| key.starts_with("w/") && key.split('/').nth(2) == Some(job);
        let own_parts: Vec<_> = self.keys.iter().filter(|(key, _)| own(key)).collect();
        let first_is_own = own_parts.iter().any(|(key, _)| key.ends_with("/0"));
        let in_key = |(key, (value, _, _)): &(&String, &(Value, u64, Option<u64>))| {
            placements_of(key, value, job).iter().any(|p| p.index == index && p.attempt == attempt)
        };
        if first_is_own {
            own_parts.iter().any(in_key)
        } else {
            self.keys.iter().any(|kv| in_key(&kv))
        }
    }

    pub fn changes(&self, prefix: &str, after: u64) -> Vec<WatchEvent> {
        self.log
            .iter()
            .filter(|c| {
                let key = c.put.as_ref().or(c.delete.as_ref());
                c.revision > after && key.is_some_and(|k| k.starts_with(prefix))
            })
            .cloned()
            .collect()
    }
}

/// The jobs whose tasks a key holds, each with its part.
fn chunks(key: &str, value: &Value) -> Vec<(String, Value)> {
    match key.strip_prefix("w/").and_then(|k| k.split('/').nth(1)) {
        None => Vec::new(),
        Some(name) if is_batch(name) => decode_batch(value),
        Some(job) => vec![(job.to_string(), value.clone())],
    }
}

/// Placements of a job in a key, if it holds any.
fn placements_of(key: &str, value: &Value, job: &str) -> Vec<StoredPlacement> {
    let leadership = chunks(key, value).into_iter().filter(|(id, _)| id == job);
    leadership.filter_map(|(_, chunk)| stored_placements(&chunk)).flatten().collect()
}

/// What of a transaction lacks the condition that fences it: tasks and grants
/// need the mark of the writer's shard, changes of tasks also that of the job.
pub fn unfenced(txn: &Txn) -> Vec<String> {
    let on = |prefix: &str| {
        txn.conditions.iter().any(|c| c.key.starts_with(prefix) && !c.key.is_empty())
    };
    let mut lacks = Vec::new();
    for w in &txn.writes {
        let (key, put) = match w {
            Write::Put { key, .. } => (key, true),
            Write::Delete { key } => (key, false),
        };
        let shard = key.starts_with("w/") || key.starts_with("quota/");
        if shard && !txn.conditions.iter().any(|c| c.key.starts_with("hold/") && c.revision > 0) {
            lacks.push(format!("{key} is written without a seat's mark"));
        }
        if put && key.starts_with("w/") && !on("j/") {
            lacks.push(format!("{key} is written without its job's mark"));
        }
    }
    lacks
}

/// What of a transaction is more than the key-value store takes.
pub fn too_large(txn: &Txn, value_kb: f64, ops: usize) -> Option<String> {
    if txn.writes.len() > ops || txn.conditions.len() > 4 * ops {
        return Some(format!("{} changes, {} conditions", txn.writes.len(), txn.conditions.len()));
    }
    let size = |w: &Write| match w {
        Write::Put { value, key, .. } => Some((value.to_string().len(), key.clone())),
        Write::Delete { .. } => None,
    };
    let most = (value_kb * 1024.0) as usize;
    let large = txn.writes.iter().filter_map(size).find(|(len, _)| *len > most);
    large.map(|(len, key)| format!("{len} bytes in {key}"))
}
