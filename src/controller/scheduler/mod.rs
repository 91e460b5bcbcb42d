//! Where tasks go: the queue, the capacity of the cluster, bin packing, preemption and what
//! is kept free for large tasks.
//!
//! Owns the capacity index, run time estimates, the image cache index and the budgets of
//! preemption. It decides in memory; the jobs' writer stores a placement before anything
//! acts on it. It must never start or stop a task itself.

pub mod capacity;
pub mod estimate;
pub mod image_cache;
pub mod image_locality;
pub mod pending_reason;

pub(crate) mod capacity_updates;
pub(crate) mod demand;
pub(crate) mod guarantee_budget;
pub(crate) mod inputs;
pub(crate) mod large_tasks;
pub(crate) mod machine_choice;
pub(crate) mod objectives;
pub(crate) mod placement_limits;
pub(crate) mod preemption;
pub(crate) mod preemption_requests;
pub(crate) mod queue;
pub(crate) mod reservation;
pub(crate) mod scheduling_pass;
pub(crate) mod search_failures;
pub(crate) mod task_placement;
pub(crate) mod victims;

use crate::config::Options;
use crate::time::Micros;
use crate::wire::WorkerIncarnation;
use capacity::{ClusterCapacity, MachineCapacity};
use capacity_updates::ShardSource;
use estimate::Estimates;
use guarantee_budget::GuaranteeBudget;
use image_cache::ImageCacheIndex;
use preemption_requests::PreemptionRequests;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What placements are decided from.
#[derive(Debug)]
pub(crate) struct Scheduler {
    capacity: ClusterCapacity,
    /// Machines whose capacity is computed anew before the next placement.
    stale_machines: BTreeSet<String>,
    /// What the capacity of each shard's machines was last computed from, by shard.
    shard_sources: BTreeMap<usize, ShardSource>,
    /// Machines on which no further small task is placed until a large one fits.
    held_for_large_tasks: BTreeSet<Rc<str>>,
    /// Something has changed since the last scheduling pass.
    pass_requested: bool,
    last_pass_at: Micros,
    /// Placements that no machine has reported yet, as last counted.
    unobserved_placements: usize,
    guarantee_budget: GuaranteeBudget,
    /// Tasks of other shards whose preemption was requested.
    preemption_requests: PreemptionRequests,
    estimates: Estimates,
    images: ImageCacheIndex,
}

impl Scheduler {
    /// No capacity is known of any machine.
    pub(crate) fn new(options: &Options) -> Scheduler {
        Scheduler {
            capacity: ClusterCapacity::default(),
            stale_machines: BTreeSet::new(),
            shard_sources: BTreeMap::new(),
            held_for_large_tasks: BTreeSet::new(),
            pass_requested: false,
            last_pass_at: Micros::ZERO,
            unobserved_placements: 0,
            guarantee_budget: GuaranteeBudget::default(),
            preemption_requests: PreemptionRequests::default(),
            estimates: Estimates::default(),
            images: ImageCacheIndex::new(options.index_entries, options.index_age),
        }
    }

    /// Marks a machine's capacity as stale: it is computed anew before the next placement.
    pub(crate) fn mark_stale(&mut self, machine: &str) {
        if !self.stale_machines.contains(machine) {
            self.stale_machines.insert(machine.to_string());
        }
    }

    /// Requests a scheduling pass: something has changed that may let a task be placed.
    pub(crate) fn request_pass(&mut self) {
        self.pass_requested = true;
    }

    /// A machine's capacity as last computed; `None` if nothing may be placed on it.
    pub(crate) fn machine_capacity(&self, machine: &str) -> Option<&MachineCapacity> {
        self.capacity.by_name(machine)
    }

    /// How far owners' estimates of run times are off.
    pub(crate) fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// A task of a class took `ratio` times its owner's estimate.
    pub(crate) fn learn_run_time(&mut self, class: &str, ratio: f64) {
        self.estimates.learn(class, ratio);
    }

    /// Notes that a machine has, or is about to fetch, an image.
    pub(crate) fn note_image(
        &mut self,
        now: Micros,
        image: &str,
        machine: &str,
        incarnation: WorkerIncarnation,
    ) {
        self.images.note(now, image, machine, incarnation);
    }

    /// Number of known pairs of an image and a machine that has it.
    pub(crate) fn image_entries(&self) -> usize {
        self.images.len()
    }
}
