//! Autoscaler: scales out for pending tasks, and scales in idle machines.
//!
//! Owns the catalogue of machine types, the fleet as the cloud lists it, and the pending
//! scale-out request. Only the leader of [`AUTOSCALER_SHARD`] scales. The fleet is not stored,
//! since the cloud's list shows it. Names of requests include the shard's term and are never
//! reused. The autoscaler must not repeat a request under another name before its outcome is
//! known, nor remove a machine on which a task may still be placed.

pub mod fleet;
pub mod machine_offer;
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

/// The shard whose leader scales the fleet.
pub const AUTOSCALER_SHARD: usize = 0;

/// State of scaling. All members use the machine types and `draining`; the rest is only used
/// while this process scales.
#[derive(Debug, Default)]
pub(crate) struct Autoscaler {
    /// Machines that the cloud has created; empty while another process scales.
    fleet: Fleet,
    /// Machine types and prices, which every member needs.
    pub(crate) machine_types: MachineTypeCatalogue,
    /// Machines that the scaling member is about to remove; no task is placed on them any more.
    draining: BTreeSet<String>,
    /// The scale-out request whose outcome is not known yet, if any.
    scale_out: Option<PendingScaleOut>,
    /// Number of scale-out requests in the current term.
    requests_this_term: u64,
    /// When the machines are listed next.
    next_list_at: Micros,
    /// When scaling is planned next.
    next_plan_at: Micros,
}

/// A scale-out request, repeated under the same name until its outcome is known: under another
/// name it could create machines twice.
#[derive(Debug)]
struct PendingScaleOut {
    request: ScaleOutRequest,
    in_flight: bool,
    /// When it is sent again, unless it is in flight.
    repeat_at: Micros,
}

impl Autoscaler {
    /// Resets the state of the fleet after this process has lost the leadership of
    /// [`AUTOSCALER_SHARD`], since another process may scale from now on.
    pub(crate) fn leadership_lost(&mut self) {
        self.fleet = Fleet::default();
        self.scale_out = None;
        self.requests_this_term = 0;
        self.next_list_at = Micros::ZERO;
        self.next_plan_at = Micros::ZERO;
        self.machine_types.request_soon();
    }

    /// Whether a machine is about to be removed, so that no task may be placed on it.
    pub(crate) fn is_draining(&self, machine: &str) -> bool {
        self.draining.contains(machine)
    }

    /// The machines that this process drains; empty unless it scales.
    pub(crate) fn locally_draining(&self) -> Vec<String> {
        self.fleet.draining_since.keys().cloned().collect()
    }

    /// Replaces the draining machines by those that the scaling member has announced. Returns the
    /// machines that were added or removed.
    pub(crate) fn replace_draining(&mut self, draining: BTreeSet<String>) -> Vec<String> {
        let before = std::mem::replace(&mut self.draining, draining);
        before.symmetric_difference(&self.draining).cloned().collect()
    }

    /// Removes a terminated machine from the fleet.
    pub(crate) fn forget_machine(&mut self, machine: &str) {
        self.fleet.forget(machine);
    }

    /// Number of machines of the fleet by stage, for the status page.
    pub(crate) fn machines_by_stage(&self) -> BTreeMap<&'static str, usize> {
        self.fleet.count_by_stage()
    }

    /// Creates the pending request for the planned machines, named after the term.
    fn begin_scale_out(&mut self, term: u64, plan: ScaleOutPlan) -> &ScaleOutRequest {
        self.requests_this_term += 1;
        // Only this leadership has the term, so the name is unique.
        let request = format!("r-{AUTOSCALER_SHARD}-{term}-{}", self.requests_this_term);
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
