//! What the scheduler is lent of the other components.

use crate::controller::Controller;
use crate::controller::autoscaler::Autoscaler;
use crate::controller::context::Context;
use crate::controller::jobs::Jobs;
use crate::controller::leadership::Leadership;
use crate::controller::machines::Machines;
use crate::controller::peers::Peers;
use crate::controller::quota::Quotas;

/// The components that the scheduler reads, and never changes, while it decides.
#[derive(Clone, Copy)]
pub(crate) struct SchedulingInputs<'a> {
    /// Time, settings and options.
    pub(crate) context: &'a Context,
    /// Terms and leaders of the shards.
    pub(crate) leadership: &'a Leadership,
    /// What waits at the other controllers, and which of them are alive.
    pub(crate) peers: &'a Peers,
    /// Jobs of own shards.
    pub(crate) jobs: &'a Jobs,
    /// Views of machines, and what all shards desire there.
    pub(crate) machines: &'a Machines,
    /// Machine types, and machines that are being drained.
    pub(crate) autoscaler: &'a Autoscaler,
    /// Limits, guarantees and grants of teams.
    pub(crate) quotas: &'a Quotas,
}

impl Controller {
    /// What the scheduler is lent.
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
