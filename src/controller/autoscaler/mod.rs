//! Scaling the fleet out and in.
//!
//! Owns the machine types, the fleet as the cloud lists it and the request in flight. Only
//! the leader of one shard scales; nothing of it is stored, since the cloud's list tells it.

pub mod planning;

pub(crate) mod cloud_calls;

use crate::wire::MachineType;
use planning::Fleet;
use std::collections::{BTreeMap, BTreeSet};

/// What scaling is decided from.
#[derive(Debug, Default)]
pub(crate) struct Autoscaler {
    pub(crate) fleet: Fleet,
    pub(crate) machine_types: BTreeMap<String, MachineType>,
    /// The types are being read from the key-value store, since the cloud is away.
    pub(crate) types_reading: bool,
    /// Term of the autoscaler's shard under which the types were stored.
    pub(crate) types_stored: u64,
    /// Machines about to be returned, on which nothing is placed any more.
    pub(crate) draining: BTreeSet<String>,
}
