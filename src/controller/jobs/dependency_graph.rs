//! Which unfinished jobs depend on which, and what follows for a job from the stages of all
//! that it depends on, directly or through others. Pure: what has to be read or written
//! others do.

use super::job::{JobRecord, StoredStage};
use super::stage_cache::StageCache;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Pause before a further list of dependencies that could not be read is read again.
const READ_RETRY_DELAY: Micros = Micros::secs(1);

/// What becomes of a job, by all that it depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum DependencyOutcome {
    /// All its dependencies are done.
    Satisfied,
    /// Something that it depends on is not over.
    Pending,
    /// Something that it depends on is cancelled.
    Cancelled {
        /// Whether every peer knows that.
        acknowledged: bool,
    },
    /// Nothing is known here of these.
    Unknown(Vec<String>),
}

/// A job that is not over, with the revision of its record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UnfinishedJob {
    /// The job's id.
    pub(crate) id: String,
    /// Revision of its record.
    pub(crate) revision: u64,
}

/// A further key with dependencies of a job that is to be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FurtherList {
    /// The job's id.
    pub(crate) job: String,
    /// Number of the key, from 1.
    pub(crate) number: u32,
}

/// What a job depends on, as far as its keys have been read.
#[derive(Debug)]
struct PartialDependencies {
    dependencies: Vec<String>,
    /// Number of the last further key that was read.
    read: u32,
    /// Number of further keys.
    further_keys: u32,
    read_in_flight: bool,
    /// The next key is not read before this.
    not_before: Micros,
}

/// Dependencies of all unfinished jobs that this process has heard of.
#[derive(Debug, Default)]
pub(crate) struct DependencyGraph {
    by_job: BTreeMap<String, Rc<[String]>>,
    /// Jobs of which only some dependencies are known.
    partial: BTreeMap<String, PartialDependencies>,
    /// Something has changed that may decide over waiting jobs.
    changed: bool,
}

impl DependencyGraph {
    /// Takes in the dependencies in a job's record.
    pub(crate) fn note(&mut self, id: &str, record: &JobRecord) {
        if record.stage != StoredStage::Accepted {
            self.by_job.remove(id);
            self.partial.remove(id);
        } else if record.further_keys > 0 && !self.by_job.contains_key(id) {
            self.partial.entry(id.to_string()).or_insert_with(|| PartialDependencies {
                dependencies: record.dependencies.clone(),
                read: 0,
                further_keys: record.further_keys,
                read_in_flight: false,
                not_before: Micros::ZERO,
            });
        } else {
            self.set_dependencies(id, &record.dependencies);
        }
    }

    /// Takes in all dependencies of a job.
    pub(crate) fn set_dependencies(&mut self, id: &str, dependencies: &[String]) {
        if !dependencies.is_empty() && !self.by_job.contains_key(id) {
            self.by_job.insert(id.to_string(), dependencies.into());
            self.partial.remove(id);
            self.changed = true;
        }
    }

    /// A job is over: jobs that depend on it may start, or are cancelled.
    pub(crate) fn over(&mut self, id: &str) {
        self.by_job.remove(id);
        self.partial.remove(id);
        self.changed = true;
    }

    /// Whether something has changed that may decide over waiting jobs, since this was last
    /// asked.
    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The dependencies of an unfinished job, if all are known and there are any.
    pub(super) fn dependencies_of(&self, id: &str) -> Option<&Rc<[String]>> {
        self.by_job.get(id)
    }

    /// What becomes of a job with these dependencies. `acknowledged` says whether every
    /// peer knows that a job is cancelled.
    fn outcome(
        &self,
        dependencies: &[String],
        stages: &StageCache,
        acknowledged: impl Fn(&str) -> bool,
    ) -> DependencyOutcome {
        if dependencies.iter().all(|id| stages.is_done(id)) {
            return DependencyOutcome::Satisfied;
        }
        let mut open: Vec<&String> = dependencies.iter().collect();
        let mut visited: BTreeSet<&String> = open.iter().copied().collect();
        let (mut unknown, mut cancelled, mut partial) = (Vec::new(), false, false);
        while let Some(id) = open.pop() {
            match stages.stage(id) {
                None => unknown.push(id.clone()),
                Some(StoredStage::Done) => {}
                Some(StoredStage::Cancelled) if acknowledged(id) => {
                    return DependencyOutcome::Cancelled { acknowledged: true };
                }
                Some(StoredStage::Cancelled) => cancelled = true,
                Some(StoredStage::Accepted) => {
                    partial |= self.partial.contains_key(id);
                    let before = self.by_job.get(id).into_iter().flat_map(|list| list.iter());
                    open.extend(before.filter(|id| visited.insert(id)));
                }
            }
        }
        if cancelled {
            DependencyOutcome::Cancelled { acknowledged: false }
        } else if unknown.is_empty() && !partial {
            DependencyOutcome::Pending
        } else {
            DependencyOutcome::Unknown(unknown)
        }
    }

    /// What becomes of a job that is known as accepted.
    pub(crate) fn outcome_of(
        &self,
        id: &str,
        stages: &StageCache,
        acknowledged: impl Fn(&str) -> bool,
    ) -> DependencyOutcome {
        match self.by_job.get(id) {
            Some(dependencies) => self.outcome(dependencies, stages, acknowledged),
            None if self.partial.contains_key(id) => DependencyOutcome::Unknown(Vec::new()),
            None => DependencyOutcome::Satisfied,
        }
    }

    /// Unfinished jobs that one depends on, directly or through others.
    pub(crate) fn unfinished_before(&self, id: &str, stages: &StageCache) -> Vec<UnfinishedJob> {
        let mut unfinished: Vec<UnfinishedJob> = Vec::new();
        let mut visited: BTreeSet<&str> = BTreeSet::new();
        let mut open: Vec<&str> = vec![id];
        while let Some(id) = open.pop() {
            let dependencies = self.by_job.get(id).into_iter().flat_map(|list| list.iter());
            for id in dependencies.filter(|id| visited.insert(id)) {
                if let Some(cached) = stages.get(id).filter(|cached| !cached.is_final()) {
                    unfinished.push(UnfinishedJob { id: id.clone(), revision: cached.revision });
                    open.push(id);
                }
            }
        }
        unfinished
    }

    /// The next further key with dependencies that is to be read now; its read counts as in
    /// flight from then on.
    pub(super) fn begin_read(&mut self, now: Micros) -> Option<FurtherList> {
        let (job, partial) = self
            .partial
            .iter_mut()
            .find(|(_, partial)| !partial.read_in_flight && now >= partial.not_before)?;
        partial.read_in_flight = true;
        Some(FurtherList { job: job.clone(), number: partial.read + 1 })
    }

    /// A read of a further key has ended; false if nothing more is to be read of the job.
    /// What cannot be read now is read later, and others first.
    pub(super) fn end_read(&mut self, now: Micros, job: &str) -> bool {
        let Some(partial) = self.partial.get_mut(job) else {
            return false;
        };
        partial.read_in_flight = false;
        partial.not_before = now + READ_RETRY_DELAY;
        true
    }

    /// Takes in a further key's dependencies.
    pub(super) fn add_further(&mut self, further: &FurtherList, dependencies: Vec<String>) {
        let Some(partial) = self.partial.get_mut(&further.job) else {
            return;
        };
        if further.number == partial.read + 1 {
            partial.dependencies.extend(dependencies);
            partial.read = further.number;
            partial.not_before = Micros::ZERO;
        }
        if partial.read >= partial.further_keys {
            let dependencies = std::mem::take(&mut partial.dependencies);
            self.set_dependencies(&further.job, &dependencies);
        }
    }
}
