//! Task placement: the job queue, cluster capacity, bin packing, preemption and machines held
//! for large tasks.
//!
//! Owns the capacity index, the run time estimates, the image cache index and the preemption
//! budgets. It decides in memory only: the job writer stores a placement before any component
//! acts on it. The scheduler never starts or stops a task itself.

pub mod capacity;
pub mod image_cache;
pub mod image_locality;
pub mod pending_reason;
pub mod run_time_estimates;

pub(crate) mod capacity_updates;
pub(crate) mod demand;
pub(crate) mod guarantee_budget;
pub(crate) mod large_tasks;
pub(crate) mod machine_choice;
pub(crate) mod objectives;
pub(crate) mod placement_limits;
pub(crate) mod preemption;
pub(crate) mod preemption_requests;
pub(crate) mod queue;
pub(crate) mod reservation;
pub(crate) mod scheduling_inputs;
pub(crate) mod scheduling_pass;
pub(crate) mod search_failures;
pub(crate) mod task_placement;
pub(crate) mod victims;

use crate::config::Options;
use crate::time::Micros;
use crate::wire::WorkerIncarnation;
use capacity::{ClusterCapacity, MachineCapacity};
use capacity_updates::ShardCapacitySource;
use guarantee_budget::GuaranteeBudget;
use image_cache::ImageCacheIndex;
use preemption_requests::PreemptionRequests;
use run_time_estimates::RunTimeEstimates;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The scheduler's state, from which placements are decided.
#[derive(Debug)]
pub(crate) struct Scheduler {
    capacity: ClusterCapacity,
    /// Machines whose capacity is recomputed before the next placement.
    stale_machines: BTreeSet<String>,
    /// Inputs that the capacity of each shard's machines was last computed from, by shard.
    shard_sources: BTreeMap<usize, ShardCapacitySource>,
    /// Machines that accept no further small task until a large one fits.
    held_for_large_tasks: BTreeSet<Rc<str>>,
    /// A change since the last scheduling pass may allow further placements.
    pass_requested: bool,
    last_pass_at: Micros,
    /// Number of placements that no machine has reported yet, as last counted.
    unobserved_placements: usize,
    guarantee_budget: GuaranteeBudget,
    /// Requests for the preemption of tasks of other shards.
    preemption_requests: PreemptionRequests,
    estimates: RunTimeEstimates,
    images: ImageCacheIndex,
}

impl Scheduler {
    /// A scheduler that has computed no machine's capacity yet.
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
            estimates: RunTimeEstimates::default(),
            images: ImageCacheIndex::new(options.index_entries, options.index_age),
        }
    }

    /// Marks a machine's capacity as stale: it is recomputed before the next placement.
    pub(crate) fn mark_stale(&mut self, machine: &str) {
        if !self.stale_machines.contains(machine) {
            self.stale_machines.insert(machine.to_string());
        }
    }

    /// Requests a scheduling pass after a change that may allow a task to be placed.
    pub(crate) fn request_pass(&mut self) {
        self.pass_requested = true;
    }

    /// A machine's capacity as last computed; `None` if nothing may be placed on it.
    pub(crate) fn machine_capacity(&self, machine: &str) -> Option<&MachineCapacity> {
        self.capacity.by_name(machine)
    }

    /// Corrections of the users' run time estimates.
    pub(crate) fn estimates(&self) -> &RunTimeEstimates {
        &self.estimates
    }

    /// Records that a task of a class ran `ratio` times as long as its user's estimate.
    pub(crate) fn record_run_time_ratio(&mut self, class: &str, ratio: f64) {
        self.estimates.record_ratio(class, ratio);
    }

    /// Records that a worker has an image or is about to fetch it.
    pub(crate) fn record_image(
        &mut self,
        now: Micros,
        image: &str,
        machine: &str,
        incarnation: WorkerIncarnation,
    ) {
        self.images.record(now, image, machine, incarnation);
    }

    /// Number of entries in the image cache index, one per image and machine.
    pub(crate) fn image_entries(&self) -> usize {
        self.images.len()
    }
}
