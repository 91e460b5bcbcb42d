//! Amounts of the resources that have quotas.

use crate::resources::Resources;
use crate::wire::JobSpec;
use std::ops::{AddAssign, SubAssign};

/// CPUs and GPUs, the resources that limits, guarantees and grants are set for.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct QuotaAmount {
    /// Number of CPUs; fractions are allowed.
    pub cpus: f64,
    /// Number of GPUs; fractions are allowed.
    pub gpus: f64,
}

/// A resource that has a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaResource {
    /// CPUs.
    Cpus,
    /// GPUs.
    Gpus,
}

impl QuotaResource {
    /// All resources that have a quota, CPUs first.
    pub const ALL: [QuotaResource; 2] = [QuotaResource::Cpus, QuotaResource::Gpus];
}

impl QuotaAmount {
    /// An amount of `cpus` CPUs and `gpus` GPUs.
    pub const fn new(cpus: f64, gpus: f64) -> QuotaAmount {
        QuotaAmount { cpus, gpus }
    }

    /// An amount computed for each resource by `amount`, which is called for CPUs first.
    pub fn from_fn(mut amount: impl FnMut(QuotaResource) -> f64) -> QuotaAmount {
        let cpus = amount(QuotaResource::Cpus);
        QuotaAmount { cpus, gpus: amount(QuotaResource::Gpus) }
    }

    /// The amount of one resource.
    pub fn get(&self, resource: QuotaResource) -> f64 {
        match resource {
            QuotaResource::Cpus => self.cpus,
            QuotaResource::Gpus => self.gpus,
        }
    }

    /// The amount that a number of tasks of a job need.
    pub fn of_tasks(spec: &JobSpec, tasks: u32) -> QuotaAmount {
        let tasks = f64::from(tasks);
        QuotaAmount { cpus: tasks * spec.cpus, gpus: tasks * spec.gpus }
    }
}

/// The part of a task's resources that counts against its team's quota.
impl From<Resources> for QuotaAmount {
    fn from(resources: Resources) -> QuotaAmount {
        QuotaAmount { cpus: resources.cpus, gpus: resources.gpus }
    }
}

/// The part of one task's resources that counts against the team's quota.
impl From<&JobSpec> for QuotaAmount {
    fn from(spec: &JobSpec) -> QuotaAmount {
        QuotaAmount { cpus: spec.cpus, gpus: spec.gpus }
    }
}

impl AddAssign for QuotaAmount {
    fn add_assign(&mut self, other: QuotaAmount) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
    }
}

impl SubAssign for QuotaAmount {
    fn sub_assign(&mut self, other: QuotaAmount) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
    }
}
