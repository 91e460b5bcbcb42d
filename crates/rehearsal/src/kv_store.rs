//! Stand-in for the key-value store: keys with revisions, transactions, leases, and the changes
//! that watches receive.

use millethold::time::Micros;
use millethold::wire::{KeyValue, KeyValuePage, Txn, WatchEvent, Write};
use serde_json::Value;
use std::collections::BTreeMap;

/// Number of the latest changes that are always kept for watches. Older ones are dropped once more
/// than twice as many are stored.
const KEPT_CHANGES: usize = 10_000;
/// Most values on a page.
const MAX_PAGE_SIZE: usize = 1_000;

/// A stored value, its revision, and the lease that it is attached to.
#[derive(Debug, Clone, PartialEq)]
struct StoredValue {
    value: Value,
    revision: u64,
    lease: Option<u64>,
}

/// A lease; after each renewal it is valid for its time to live.
#[derive(Debug, Clone, Copy)]
struct Lease {
    expires_at: Micros,
    ttl: Micros,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// Applied at this revision.
    Applied(u64),
    /// The conditions on these keys failed.
    Failed(Vec<String>),
    /// A key was to be attached to an expired or unknown lease.
    NoLease,
}

/// Stored keys, leases and recent changes.
#[derive(Debug, Default)]
pub struct KvStore {
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, Lease>,
    changes: Vec<WatchEvent>,
    /// Revision of the newest dropped change. Watches that start earlier cannot be served.
    compacted_revision: u64,
    next_lease: u64,
    revision: u64,
}

impl KvStore {
    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Renews every lease, after an outage.
    pub fn renew_all_leases(&mut self, now: Micros) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl;
        }
    }

    /// Removes expired leases and their keys; true if any key was removed.
    pub fn expire_leases(&mut self, now: Micros) -> bool {
        let expired = self.leases.iter().filter(|(_, lease)| now > lease.expires_at);
        let expired: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        let before = self.revision;
        for lease in expired {
            self.revoke_lease(lease);
        }
        self.revision > before
    }

    /// Grants a lease and returns its number.
    pub fn grant_lease(&mut self, now: Micros, ttl: Micros) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { expires_at: now + ttl, ttl });
        self.next_lease
    }

    /// Renews a lease; false if it has expired or was revoked.
    pub fn renew_lease(&mut self, now: Micros, number: u64) -> bool {
        match self.leases.get_mut(&number) {
            Some(lease) => {
                lease.expires_at = now + lease.ttl;
                true
            }
            None => false,
        }
    }

    /// Ends a lease, and removes all of its keys at one revision.
    pub fn revoke_lease(&mut self, number: u64) {
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

    /// The value and revision of a key.
    pub fn get(&self, key: &str) -> Option<KeyValue> {
        self.keys.get(key).map(|stored| key_value(key, stored))
    }

    /// A page of the keys with a prefix, in order.
    pub fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> KeyValuePage {
        let limit = limit.clamp(1, MAX_PAGE_SIZE);
        let is_listed =
            |key: &str| key.starts_with(prefix) && after.is_none_or(|after| key > after);
        let mut items: Vec<KeyValue> = self
            .keys
            .range(prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| is_listed(key))
            .take(limit + 1)
            .map(|(key, stored)| key_value(key, stored))
            .collect();
        let more = items.len() > limit;
        items.truncate(limit);
        KeyValuePage { items, more, revision: self.revision }
    }

    /// Applies the writes if all conditions hold.
    pub fn transact(&mut self, txn: &Txn) -> TxnOutcome {
        let uses_expired_lease = |write: &Write| match write {
            Write::Put { lease: Some(lease), .. } => !self.leases.contains_key(lease),
            Write::Put { .. } | Write::Delete { .. } => false,
        };
        if txn.writes.iter().any(uses_expired_lease) {
            return TxnOutcome::NoLease;
        }
        let revision_of = |key: &str| self.keys.get(key).map_or(0, |stored| stored.revision);
        let failed = txn.conditions.iter().filter(|c| revision_of(&c.key) != c.revision);
        let failed: Vec<String> = failed.map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return TxnOutcome::Failed(failed);
        }
        if txn.writes.is_empty() {
            return TxnOutcome::Applied(self.revision);
        }
        self.revision += 1;
        for write in &txn.writes {
            match write {
                Write::Put { key, value, lease } => self.put(key, value, *lease),
                Write::Delete { key } => self.remove(key.clone()),
            }
        }
        self.drop_old_changes();
        TxnOutcome::Applied(self.revision)
    }

    fn put(&mut self, key: &str, value: &Value, lease: Option<u64>) {
        let stored = StoredValue { value: value.clone(), revision: self.revision, lease };
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
            let revision = self.revision;
            self.changes.push(WatchEvent {
                put: None,
                delete: Some(key),
                value: Value::Null,
                revision,
            });
        }
    }

    fn drop_old_changes(&mut self) {
        if self.changes.len() > 2 * KEPT_CHANGES {
            let dropped = self.changes.drain(..KEPT_CHANGES);
            self.compacted_revision = dropped
                .into_iter()
                .next_back()
                .map_or(self.compacted_revision, |change| change.revision);
        }
    }

    /// Changes of keys with a prefix, after a revision; `None` if some of them have been dropped.
    pub fn changes_since(&self, prefix: &str, after: u64) -> Option<Vec<WatchEvent>> {
        if after < self.compacted_revision {
            return None;
        }
        let first = self.changes.partition_point(|change| change.revision <= after);
        let key = |change: &WatchEvent| change.put.clone().or(change.delete.clone());
        let has_prefix =
            |change: &&WatchEvent| key(change).is_some_and(|key| key.starts_with(prefix));
        Some(self.changes[first..].iter().filter(has_prefix).cloned().collect())
    }
}

fn key_value(key: &str, stored: &StoredValue) -> KeyValue {
    KeyValue { key: key.to_string(), value: stored.value.clone(), revision: stored.revision }
}
