//! What the scheduler is lent of the other components.

use crate::controller::Controller;
use crate::controller::autoscaler::Autoscaler;
use crate::controller::context::Context;
use crate::controller::jobs::Jobs;
use crate::controller::leadership::Leadership;
use crate::controller::machines::Machines;
use crate::controller::quota::Quotas;

/// The components that the scheduler reads, and never changes, while it decides.
#[derive(Clone, Copy)]
pub(crate) struct SchedulingInputs<'a> {
    pub(crate) context: &'a Context,
    pub(crate) leadership: &'a Leadership,
    pub(crate) jobs: &'a Jobs,
    pub(crate) machines: &'a Machines,
    pub(crate) autoscaler: &'a Autoscaler,
    pub(crate) quotas: &'a Quotas,
}

impl Controller {
    /// What the scheduler is lent.
    pub(crate) fn scheduling_inputs(&self) -> SchedulingInputs<'_> {
        SchedulingInputs {
            context: &self.context,
            leadership: &self.leadership,
            jobs: &self.jobs,
            machines: &self.machines,
            autoscaler: &self.autoscaler,
            quotas: &self.quota,
        }
    }
}
