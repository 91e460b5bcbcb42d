//! A stand-in of the key-value store: keys with versions, transactions, leases and the
//! changes that watches follow.

use millethold::time::Micros;
use millethold::wire::{KeyValue, KeyValuePage, Txn, WatchEvent, Write};
use serde_json::Value;
use std::collections::BTreeMap;

/// Changes that are kept for watches.
const KEPT_CHANGES: usize = 10_000;
/// Most values of a page.
const MOST_OF_A_PAGE: usize = 1_000;

/// A stored value.
#[derive(Debug, Clone, PartialEq)]
struct Stored {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

/// A lease, and for how long it is renewed.
#[derive(Debug, Clone, Copy)]
struct Lease {
    until: Micros,
    lives: Micros,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Applied at this revision.
    Applied(u64),
    /// Conditions on these keys failed.
    Failed(Vec<String>),
    /// A key was to be attached to a lease that is over.
    NoLease,
}

/// The stored state.
#[derive(Debug, Default)]
pub struct KvStore {
    keys: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Lease>,
    changes: Vec<WatchEvent>,
    /// Revision of the oldest change that is not kept any more.
    forgotten: u64,
    next_lease: u64,
    revision: u64,
}

impl KvStore {
    /// Number of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// After an outage every lease has its full time again.
    pub fn renew_all(&mut self, now: Micros) {
        for lease in self.leases.values_mut() {
            lease.until = now + lease.lives;
        }
    }

    /// Ends the leases that have run out; true if keys went with them.
    pub fn expire(&mut self, now: Micros) -> bool {
        let over = self.leases.iter().filter(|(_, lease)| now > lease.until);
        let over: Vec<u64> = over.map(|(number, _)| *number).collect();
        let before = self.revision;
        for number in over {
            self.end(number);
        }
        self.revision > before
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Micros, lives: Micros) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { until: now + lives, lives });
        self.next_lease
    }

    /// Renews a lease; false if it is over.
    pub fn extend(&mut self, now: Micros, number: u64) -> bool {
        match self.leases.get_mut(&number) {
            Some(lease) => {
                lease.until = now + lease.lives;
                true
            }
            None => false,
        }
    }

    /// Ends a lease, and removes its keys in one change.
    pub fn end(&mut self, number: u64) {
        self.leases.remove(&number);
        let attached = self.keys.iter().filter(|(_, stored)| stored.lease == Some(number));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.remove(key);
        }
        self.drop_old_changes();
    }

    /// A key's value.
    pub fn get(&self, key: &str) -> Option<KeyValue> {
        self.keys.get(key).map(|stored| item(key, stored))
    }

    /// A page of the keys that begin like this, in their order.
    pub fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> KeyValuePage {
        let limit = limit.clamp(1, MOST_OF_A_PAGE);
        let is_listed =
            |key: &str| key.starts_with(prefix) && after.is_none_or(|after| key > after);
        let mut items: Vec<KeyValue> = self
            .keys
            .range(prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| is_listed(key))
            .take(limit + 1)
            .map(|(key, stored)| item(key, stored))
            .collect();
        let more = items.len() > limit;
        items.truncate(limit);
        KeyValuePage { items, more, revision: self.revision }
    }

    /// Compares and changes.
    pub fn transact(&mut self, txn: &Txn) -> Outcome {
        let dead = |write: &Write| match write {
            Write::Put { lease: Some(lease), .. } => !self.leases.contains_key(lease),
            Write::Put { .. } | Write::Delete { .. } => false,
        };
        if txn.writes.iter().any(dead) {
            return Outcome::NoLease;
        }
        let version = |key: &str| self.keys.get(key).map_or(0, |stored| stored.version);
        let failed = txn.conditions.iter().filter(|c| version(&c.key) != c.revision);
        let failed: Vec<String> = failed.map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return Outcome::Failed(failed);
        }
        if txn.writes.is_empty() {
            return Outcome::Applied(self.revision);
        }
        self.revision += 1;
        for write in &txn.writes {
            match write {
                Write::Put { key, value, lease } => self.put(key, value, *lease),
                Write::Delete { key } => self.remove(key.clone()),
            }
        }
        self.drop_old_changes();
        Outcome::Applied(self.revision)
    }

    fn put(&mut self, key: &str, value: &Value, lease: Option<u64>) {
        let stored = Stored { value: value.clone(), version: self.revision, lease };
        self.keys.insert(key.to_string(), stored);
        self.changes.push(WatchEvent {
            put: Some(key.to_string()),
            delete: None,
            value: value.clone(),
            revision: self.revision,
        });
    }

    fn remove(&mut self, key: String) {
        if self.keys.remove(&key).is_some() {
            let version = self.revision;
            self.changes.push(WatchEvent {
                put: None,
                delete: Some(key),
                value: Value::Null,
                revision: version,
            });
        }
    }

    fn drop_old_changes(&mut self) {
        if self.changes.len() > 2 * KEPT_CHANGES {
            let dropped = self.changes.drain(..KEPT_CHANGES);
            self.forgotten =
                dropped.into_iter().next_back().map_or(self.forgotten, |change| change.revision);
        }
    }

    /// Changes of keys that begin like this, after a revision; `None` if they are not all
    /// kept any more.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Vec<WatchEvent>> {
        if after < self.forgotten {
            return None;
        }
        let first = self.changes.partition_point(|change| change.revision <= after);
        let key = |change: &WatchEvent| change.put.clone().or(change.delete.clone());
        let has_prefix =
            |change: &&WatchEvent| key(change).is_some_and(|key| key.starts_with(prefix));
        Some(self.changes[first..].iter().filter(has_prefix).cloned().collect())
    }
}

fn item(key: &str, stored: &Stored) -> KeyValue {
    KeyValue { key: key.to_string(), value: stored.value.clone(), revision: stored.version }
}
