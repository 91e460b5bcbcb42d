//! How many machines there are: scale out for what waits, scale in of what is idle.
//!
//! Owns the catalogue of machine types, the fleet as the cloud lists it and the request in
//! flight. Only the leader of one shard scales. Nothing of the fleet is stored, since the
//! cloud's list shows it; the names of requests carry the shard's term and are never used
//! again. It must not repeat a request under another name before its outcome is known, nor
//! remove a machine on which anything may still be placed.

pub mod fleet;
pub mod offer;
pub mod scale_out;

pub(crate) mod machine_types;

mod cloud_calls;
mod replies;
mod scale_in;

use crate::time::Micros;
use crate::wire::ScaleOutRequest;
use fleet::Fleet;
use machine_types::MachineTypeCatalogue;
use scale_out::ScaleOutPlan;
use std::collections::{BTreeMap, BTreeSet};

/// The shard whose leader scales.
pub const AUTOSCALER_SHARD: usize = 0;

/// What scaling is decided from.
#[derive(Debug, Default)]
pub(crate) struct Autoscaler {
    /// The machines of the cloud; empty where another process scales.
    fleet: Fleet,
    /// Machine types and prices, which every process needs.
    pub(crate) machine_types: MachineTypeCatalogue,
    /// Machines about to be removed, by the word of whoever scales: nothing is placed on them
    /// any more.
    draining: BTreeSet<String>,
    /// The scale-out request whose outcome is not known.
    scale_out: Option<PendingScaleOut>,
    /// Scale-out requests of this term so far.
    requests_of_term: u64,
    /// When to list the machines next.
    next_list_at: Micros,
    /// When to plan next.
    next_plan_at: Micros,
}

/// A scale-out request, repeated under its name until its outcome is known: under another
/// name it could create machines twice.
#[derive(Debug)]
struct PendingScaleOut {
    request: ScaleOutRequest,
    in_flight: bool,
    /// Unless it is in flight it is sent again from then on.
    repeat_at: Micros,
}

impl Autoscaler {
    /// Another process may scale from now on: what is known of the fleet is forgotten.
    pub(crate) fn leadership_lost(&mut self) {
        self.fleet = Fleet::default();
        self.scale_out = None;
        self.requests_of_term = 0;
        self.next_list_at = Micros::ZERO;
        self.next_plan_at = Micros::ZERO;
        self.machine_types.request_soon();
    }

    /// Whether a machine is about to be removed, so that nothing may be placed on it.
    pub(crate) fn is_draining(&self, machine: &str) -> bool {
        self.draining.contains(machine)
    }

    /// The machines that this process drains, if it scales.
    pub(crate) fn drained_here(&self) -> Vec<String> {
        self.fleet.draining_since.keys().cloned().collect()
    }

    /// Replaces the machines that are about to be removed, by the word of whoever scales.
    /// Returns those that were added or removed.
    pub(crate) fn replace_draining(&mut self, draining: BTreeSet<String>) -> Vec<String> {
        let before = std::mem::replace(&mut self.draining, draining);
        before.symmetric_difference(&self.draining).cloned().collect()
    }

    /// Forgets a machine that is terminated.
    pub(crate) fn forget_machine(&mut self, machine: &str) {
        self.fleet.forget(machine);
    }

    /// The machines of the fleet by stage, for the status page.
    pub(crate) fn machines_by_stage(&self) -> BTreeMap<&'static str, usize> {
        self.fleet.count_by_stage()
    }

    /// Names a request for the planned machines under a term; it is pending from now on.
    fn begin_scale_out(&mut self, term: u64, plan: ScaleOutPlan) -> &ScaleOutRequest {
        self.requests_of_term += 1;
        // The term is this leadership's alone, so the name is, too.
        let request = format!("r-{AUTOSCALER_SHARD}-{term}-{}", self.requests_of_term);
        let ScaleOutPlan { offer, count } = plan;
        let request = ScaleOutRequest {
            request,
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            count,
        };
        let pending = PendingScaleOut { request, in_flight: false, repeat_at: Micros::ZERO };
        &self.scale_out.insert(pending).request
    }
}
