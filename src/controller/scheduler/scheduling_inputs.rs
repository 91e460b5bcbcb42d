//! Read access of the scheduler to the other components.

use crate::controller::Controller;
use crate::controller::autoscaler::Autoscaler;
use crate::controller::context::Context;
use crate::controller::jobs::Jobs;
use crate::controller::leadership::Leadership;
use crate::controller::machines::Machines;
use crate::controller::peers::Peers;
use crate::controller::quota::Quotas;

/// The components that the scheduler reads, but never changes, while it decides.
#[derive(Clone, Copy)]
pub(crate) struct SchedulingInputs<'a> {
    /// Time, settings and options.
    pub(crate) context: &'a Context,
    /// Terms and leaders of the shards.
    pub(crate) leadership: &'a Leadership,
    /// Demand of the other controllers, and which of them are alive.
    pub(crate) peers: &'a Peers,
    /// Jobs of the shards led by this process.
    pub(crate) jobs: &'a Jobs,
    /// Views of machines, and the desired state of all shards.
    pub(crate) machines: &'a Machines,
    /// Machine types, and which machines are being drained.
    pub(crate) autoscaler: &'a Autoscaler,
    /// Limits, guarantees and grants of teams.
    pub(crate) quotas: &'a Quotas,
}

impl Controller {
    /// The components that the scheduler reads.
    pub(crate) fn scheduling_inputs(&self) -> SchedulingInputs<'_> {
        SchedulingInputs {
            context: &self.context,
            leadership: &self.leadership,
            peers: &self.peers,
            jobs: &self.jobs,
            machines: &self.machines,
            autoscaler: &self.autoscaler,
            quotas: &self.quota,
        }
    }
}
