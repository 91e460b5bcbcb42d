//! The machine types of the cloud and their prices: read from the cloud, stored in the
//! key-value store, and read back from there while the cloud is away.

use crate::controller::leadership::shard_lease;
use crate::time::Micros;
use crate::wire::{KeyValue, MachineType, Txn, Write};
use std::collections::BTreeMap;
use std::collections::btree_map::Values;

/// Between requests for the types, for news of their prices.
const REFRESH_INTERVAL: Micros = Micros::secs(300);
/// Between requests as long as no type is known: nothing can be accepted nor placed.
const FIRST_REQUEST_INTERVAL: Micros = Micros::millis(700);
/// Between a request that has failed and the next.
const RETRY_INTERVAL: Micros = Micros::secs(1);
/// Key under which the types are stored.
pub(super) const MACHINE_TYPES_KEY: &str = "types";

/// All machine types.
#[derive(Debug, Default)]
pub(crate) struct MachineTypeCatalogue {
    by_name: BTreeMap<String, MachineType>,
    /// When to request them of the cloud next.
    next_request_at: Micros,
    /// The stored ones are being read, since the cloud is away.
    is_reading_stored: bool,
    /// Term of the autoscaler's shard under which they were stored; 0 for none.
    stored_under_term: u64,
}

impl MachineTypeCatalogue {
    /// Whether no type is known yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// A type by its name.
    pub(crate) fn get(&self, name: &str) -> Option<&MachineType> {
        self.by_name.get(name)
    }

    /// Whether there is a type of this name.
    pub(crate) fn contains_key(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// All types, in the order of their names.
    pub(crate) fn values(&self) -> Values<'_, String, MachineType> {
        self.by_name.values()
    }

    /// All types by name.
    pub(super) fn by_name(&self) -> &BTreeMap<String, MachineType> {
        &self.by_name
    }

    /// Nominal duration of a boot of a type, in seconds, if the type is known.
    pub(super) fn boot_s(&self, name: &str) -> Option<f64> {
        self.get(name).map(|machine_type| machine_type.boot_s)
    }

    /// Replaces all types.
    pub(super) fn replace(&mut self, types: Vec<MachineType>) {
        if self.is_empty() {
            log::info!("{} machine types known", types.len());
        }
        self.by_name = types.into_iter().map(|t| (t.name.clone(), t)).collect();
    }

    /// The types are to be requested as soon as possible.
    pub(super) fn request_soon(&mut self) {
        self.next_request_at = Micros::ZERO;
    }

    /// Whether the types are to be requested of the cloud now. If so, the next time is set.
    pub(super) fn take_due_request(&mut self, now: Micros) -> bool {
        let is_due = now >= self.next_request_at;
        if is_due {
            let interval = if self.is_empty() { FIRST_REQUEST_INTERVAL } else { REFRESH_INTERVAL };
            self.next_request_at = now + interval;
        }
        is_due
    }

    /// Records that the cloud did not answer. Returns whether the stored types are to be
    /// read: only where none are known, and one read at a time.
    pub(super) fn request_failed(&mut self, now: Micros) -> bool {
        self.next_request_at = now + RETRY_INTERVAL;
        let read = self.is_empty() && !self.is_reading_stored;
        self.is_reading_stored |= read;
        read
    }

    /// Records that the read of the stored types has ended. Returns them if they are to
    /// replace the known ones: what the cloud itself said meanwhile is newer.
    pub(super) fn stored_read(&mut self, item: Option<KeyValue>) -> Option<Vec<MachineType>> {
        self.is_reading_stored = false;
        let item = item.filter(|_| self.is_empty())?;
        serde_json::from_value(item.value).ok()
    }

    /// The transaction that stores the types, once a term of the autoscaler's shard; `None`
    /// if there is nothing to be done, or they are larger than the store takes. A process
    /// that starts while the cloud is away could otherwise accept and place nothing.
    pub(super) fn storing_txn(
        &mut self,
        autoscaler_shard: usize,
        term: u64,
        lease_revision: u64,
        max_value_bytes: f64,
    ) -> Option<Txn> {
        if self.stored_under_term == term {
            return None;
        }
        let types: Vec<&MachineType> = self.by_name.values().collect();
        let value = serde_json::json!(types);
        if value.to_string().len() as f64 > max_value_bytes {
            return None;
        }
        self.stored_under_term = term;
        Some(Txn {
            conditions: vec![shard_lease::lease_condition(autoscaler_shard, lease_revision)],
            writes: vec![Write::Put { key: MACHINE_TYPES_KEY.into(), value, lease: None }],
        })
    }

    /// Records that they were not stored: that is tried again.
    pub(super) fn storing_failed(&mut self) {
        self.stored_under_term = 0;
    }
}
