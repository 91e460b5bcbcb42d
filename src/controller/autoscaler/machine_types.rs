//! The cloud's machine types and prices: requested from the cloud, stored in the key-value
//! store, and read from there while the cloud does not answer.

use crate::controller::leadership::shard_lease;
use crate::time::Micros;
use crate::wire::{KeyValue, MachineType, Txn, Write};
use std::collections::BTreeMap;
use std::collections::btree_map::Values;

/// Interval between requests for the types, whose prices may change.
const REFRESH_INTERVAL: Micros = Micros::secs(300);
/// Interval between requests while no type is known: until then no job can be accepted and no
/// task placed.
const FIRST_REQUEST_INTERVAL: Micros = Micros::millis(700);
/// Interval between a failed request and the next.
const RETRY_INTERVAL: Micros = Micros::secs(1);
/// Key of the stored types in the key-value store.
pub(super) const MACHINE_TYPES_KEY: &str = "types";

/// All known machine types, and when to request and store them.
#[derive(Debug, Default)]
pub(crate) struct MachineTypeCatalogue {
    by_name: BTreeMap<String, MachineType>,
    /// When the types are requested from the cloud next.
    next_request_at: Micros,
    /// Whether the stored types are being read, since the cloud did not answer.
    is_reading_stored: bool,
    /// Term of the autoscaler's shard under which the types were last stored; 0 if none.
    stored_under_term: u64,
}

impl MachineTypeCatalogue {
    /// Whether no type is known yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The type with this name; `None` if it is unknown.
    pub(crate) fn get(&self, name: &str) -> Option<&MachineType> {
        self.by_name.get(name)
    }

    /// Whether a type with this name is known.
    pub(crate) fn contains_key(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// All types, ordered by name.
    pub(crate) fn values(&self) -> Values<'_, String, MachineType> {
        self.by_name.values()
    }

    /// All types by name.
    pub(super) fn by_name(&self) -> &BTreeMap<String, MachineType> {
        &self.by_name
    }

    /// Nominal duration of a type's boot, in seconds; `None` if the type is unknown.
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

    /// Makes a request for the types due immediately.
    pub(super) fn request_soon(&mut self) {
        self.next_request_at = Micros::ZERO;
    }

    /// Whether a request for the types is due. If so, sets the time of the next.
    pub(super) fn take_due_request(&mut self, now: Micros) -> bool {
        let is_due = now >= self.next_request_at;
        if is_due {
            let interval = if self.is_empty() { FIRST_REQUEST_INTERVAL } else { REFRESH_INTERVAL };
            self.next_request_at = now + interval;
        }
        is_due
    }

    /// Records that a request to the cloud failed. Returns whether to read the stored types:
    /// only if no type is known, and one read at a time.
    pub(super) fn request_failed(&mut self, now: Micros) -> bool {
        self.next_request_at = now + RETRY_INTERVAL;
        let read_stored = self.is_empty() && !self.is_reading_stored;
        self.is_reading_stored |= read_stored;
        read_stored
    }

    /// Records that the read of the stored types has ended. Returns them unless types are known
    /// by now: those came from the cloud in the meantime and are newer.
    pub(super) fn stored_types_read(&mut self, item: Option<KeyValue>) -> Option<Vec<MachineType>> {
        self.is_reading_stored = false;
        let item = item.filter(|_| self.is_empty())?;
        serde_json::from_value(item.value).ok()
    }

    /// The transaction that stores the types, once per term of the autoscaler's shard; `None`
    /// if they are stored already or exceed the store's maximum value size. Without stored types
    /// a process that starts while the cloud is unavailable could accept and place nothing.
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

    /// Records that the types were not stored, so that the write is retried.
    pub(super) fn storing_failed(&mut self) {
        self.stored_under_term = 0;
    }
}
