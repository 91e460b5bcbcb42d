//! Where tasks go: the queue, the capacity of the cluster, bin packing, preemption and what
//! is kept free for large tasks.
//!
//! Owns the capacity index, run time estimates and the image index. It decides in memory;
//! the jobs' writer stores a placement before anything acts on it.

pub mod capacity;
pub mod estimate;
pub mod image;
pub mod image_locality;

pub(crate) mod capacity_updates;
pub(crate) mod demand;
pub(crate) mod large_tasks;
pub(crate) mod preemption;
pub(crate) mod scheduling_pass;
pub(crate) mod task_placement;

use crate::config::Options;
use crate::controller::machines::attempt::AttemptId;
use crate::time::Micros;
use capacity::ClusterCapacity;
use estimate::Estimates;
use image::ImageIndex;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What placements are decided from.
#[derive(Debug)]
pub(crate) struct Scheduler {
    pub(crate) capacity: ClusterCapacity,
    /// Machines whose capacity is computed anew before the next placement.
    pub(crate) stale_machines: BTreeSet<String>,
    /// Shards whose machines some live member commands, as last computed.
    pub(crate) commanded: Vec<bool>,
    /// What the capacity of each shard's machines was last computed from.
    pub(crate) capacity_sources: BTreeMap<usize, (bool, Option<u64>, u64)>,
    /// Machines kept free of small tasks until a large one fits.
    pub(crate) held_for_large_tasks: BTreeSet<Rc<str>>,
    /// Something has changed since the last pass over the queue.
    pub(crate) placement_due: bool,
    pub(crate) last_pass_at: Micros,
    /// Placements that no machine has reported yet, as last counted.
    pub(crate) unobserved: usize,
    /// CPUs that may still be preempted of a team's tasks beyond its guarantee.
    pub(crate) preemptible_cpus: BTreeMap<String, f64>,
    /// CPUs that a team may still claim by preemption within its guarantee.
    pub(crate) claimable_cpus: BTreeMap<String, f64>,
    /// Tasks of other shards whose preemption was requested, with when and their machine.
    pub(crate) requested_preemptions: BTreeMap<AttemptId, (Micros, Rc<str>)>,
    pub(crate) estimates: Estimates,
    pub(crate) images: ImageIndex,
}

impl Scheduler {
    /// No capacity is known of any of `shards` shards.
    pub(crate) fn new(shards: usize, options: &Options) -> Scheduler {
        Scheduler {
            capacity: ClusterCapacity::default(),
            stale_machines: BTreeSet::new(),
            commanded: vec![false; shards],
            capacity_sources: BTreeMap::new(),
            held_for_large_tasks: BTreeSet::new(),
            placement_due: false,
            last_pass_at: Micros::ZERO,
            unobserved: 0,
            preemptible_cpus: BTreeMap::new(),
            claimable_cpus: BTreeMap::new(),
            requested_preemptions: BTreeMap::new(),
            estimates: Estimates::default(),
            images: ImageIndex::new(options.index_entries, options.index_age),
        }
    }
}
