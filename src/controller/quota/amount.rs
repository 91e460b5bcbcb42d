//! Amounts of what teams' limits and guarantees are about.

use crate::resources::Resources;
use crate::wire::JobSpec;
use std::ops::{AddAssign, SubAssign};

/// CPUs and GPUs: what limits, guarantees and grants are about.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct QuotaAmount {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
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
    /// All of them.
    pub const ALL: [QuotaResource; 2] = [QuotaResource::Cpus, QuotaResource::Gpus];
}

impl QuotaAmount {
    /// So many CPUs and GPUs.
    pub const fn new(cpus: f64, gpus: f64) -> QuotaAmount {
        QuotaAmount { cpus, gpus }
    }

    /// An amount computed resource by resource, CPUs first.
    pub fn each(mut amount: impl FnMut(QuotaResource) -> f64) -> QuotaAmount {
        let cpus = amount(QuotaResource::Cpus);
        QuotaAmount { cpus, gpus: amount(QuotaResource::Gpus) }
    }

    /// How much of one resource.
    pub fn of(&self, resource: QuotaResource) -> f64 {
        match resource {
            QuotaResource::Cpus => self.cpus,
            QuotaResource::Gpus => self.gpus,
        }
    }

    /// What so many tasks of a job need.
    pub fn of_tasks(spec: &JobSpec, tasks: u32) -> QuotaAmount {
        let tasks = f64::from(tasks);
        QuotaAmount { cpus: tasks * spec.cpus, gpus: tasks * spec.gpus }
    }
}

/// The part of a task's resources that counts against its team.
impl From<Resources> for QuotaAmount {
    fn from(resources: Resources) -> QuotaAmount {
        QuotaAmount { cpus: resources.cpus, gpus: resources.gpus }
    }
}

/// The part of a task's resources that counts against its team.
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
