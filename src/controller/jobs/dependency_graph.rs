//! Dependencies between unfinished jobs, and what the stages of a job's direct and indirect
//! dependencies mean for it.
//!
//! Performs no I/O: the callers read from and write to the store.

use super::job::{JobRecord, StoredStage};
use super::stage_cache::StageCache;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Pause before a failed read of a further list of dependencies is retried.
const READ_RETRY_DELAY: Micros = Micros::secs(1);

/// What the direct and indirect dependencies of a job mean for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum DependencyOutcome {
    /// All direct dependencies are done.
    Satisfied,
    /// No dependency is cancelled, and at least one has not ended.
    Pending,
    /// A direct or indirect dependency is cancelled.
    Cancelled {
        /// Whether every peer knows of the cancellation.
        acknowledged: bool,
    },
    /// The stages of these jobs are not cached. The list is empty if only some dependencies
    /// of a job have been read.
    Unknown(Vec<String>),
}

/// A job that has not ended, with the revision of its record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UnfinishedJob {
    /// Job id.
    pub(crate) id: String,
    /// Revision of the job's record.
    pub(crate) revision: u64,
}

/// Names a further key: one with dependencies that did not fit in the job's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FurtherDependencyKey {
    /// Job id.
    pub(crate) job: String,
    /// Number of the key, counted from 1.
    pub(crate) number: u32,
}

/// The dependencies of a job that have been read so far.
#[derive(Debug)]
struct PartialDependencies {
    dependencies: Vec<String>,
    /// Number of the last further key that was read; 0 if only the record was.
    keys_read: u32,
    /// Number of further keys that the record announces.
    further_keys: u32,
    read_in_flight: bool,
    /// Earliest time to read the next key.
    not_before: Micros,
}

/// Dependencies of all unfinished jobs whose records this process has received.
#[derive(Debug, Default)]
pub(crate) struct DependencyGraph {
    by_job: BTreeMap<String, Rc<[String]>>,
    /// Jobs whose further keys have not all been read.
    partial: BTreeMap<String, PartialDependencies>,
    /// Whether a change since the last check may release or cancel waiting jobs.
    changed: bool,
}

impl DependencyGraph {
    /// Adds the dependencies that a job's record names; removes a job that has ended.
    pub(crate) fn apply_record(&mut self, id: &str, record: &JobRecord) {
        if record.stage != StoredStage::Accepted {
            self.by_job.remove(id);
            self.partial.remove(id);
        } else if record.further_keys > 0 && !self.by_job.contains_key(id) {
            self.partial.entry(id.to_string()).or_insert_with(|| PartialDependencies {
                dependencies: record.dependencies.clone(),
                keys_read: 0,
                further_keys: record.further_keys,
                read_in_flight: false,
                not_before: Micros::ZERO,
            });
        } else {
            self.set_dependencies(id, &record.dependencies);
        }
    }

    /// Sets the complete dependencies of a job. Has no effect if there are none or they are
    /// already set.
    pub(crate) fn set_dependencies(&mut self, id: &str, dependencies: &[String]) {
        if !dependencies.is_empty() && !self.by_job.contains_key(id) {
            self.by_job.insert(id.to_string(), dependencies.into());
            self.partial.remove(id);
            self.changed = true;
        }
    }

    /// Removes a job that has ended: jobs that depend on it may start or be cancelled.
    pub(crate) fn remove_ended_job(&mut self, id: &str) {
        self.by_job.remove(id);
        self.partial.remove(id);
        self.changed = true;
    }

    /// Whether a change since the previous call may release or cancel waiting jobs.
    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Direct dependencies of an unfinished job. `None` if it has none or not all have been
    /// read.
    pub(super) fn dependencies_of(&self, id: &str) -> Option<&Rc<[String]>> {
        self.by_job.get(id)
    }

    /// Evaluates direct dependencies and, through them, indirect ones. `acknowledged` returns
    /// whether every peer knows that a job is cancelled.
    fn outcome(
        &self,
        dependencies: &[String],
        stages: &StageCache,
        acknowledged: impl Fn(&str) -> bool,
    ) -> DependencyOutcome {
        if dependencies.iter().all(|id| stages.is_done(id)) {
            return DependencyOutcome::Satisfied;
        }
        let mut to_visit: Vec<&String> = dependencies.iter().collect();
        let mut visited: BTreeSet<&String> = to_visit.iter().copied().collect();
        let (mut unknown, mut cancelled, mut partial) = (Vec::new(), false, false);
        while let Some(id) = to_visit.pop() {
            match stages.stage(id) {
                None => unknown.push(id.clone()),
                Some(StoredStage::Done) => {}
                Some(StoredStage::Cancelled) if acknowledged(id) => {
                    return DependencyOutcome::Cancelled { acknowledged: true };
                }
                Some(StoredStage::Cancelled) => cancelled = true,
                Some(StoredStage::Accepted) => {
                    partial |= self.partial.contains_key(id);
                    let indirect = self.by_job.get(id).into_iter().flat_map(|list| list.iter());
                    to_visit.extend(indirect.filter(|id| visited.insert(id)));
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

    /// Evaluates the dependencies of a job that is cached as accepted.
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

    /// Unfinished jobs that `id` depends on directly or indirectly.
    pub(crate) fn unfinished_dependencies(
        &self,
        id: &str,
        stages: &StageCache,
    ) -> Vec<UnfinishedJob> {
        let mut unfinished: Vec<UnfinishedJob> = Vec::new();
        let mut visited: BTreeSet<&str> = BTreeSet::new();
        let mut to_visit: Vec<&str> = vec![id];
        while let Some(id) = to_visit.pop() {
            let dependencies = self.by_job.get(id).into_iter().flat_map(|list| list.iter());
            for id in dependencies.filter(|id| visited.insert(id)) {
                if let Some(cached) = stages.get(id).filter(|cached| !cached.is_final()) {
                    unfinished.push(UnfinishedJob { id: id.clone(), revision: cached.revision });
                    to_visit.push(id);
                }
            }
        }
        unfinished
    }

    /// Picks the next further key to read and marks its read as in flight.
    pub(super) fn begin_read(&mut self, now: Micros) -> Option<FurtherDependencyKey> {
        let (job, partial) = self
            .partial
            .iter_mut()
            .find(|(_, partial)| !partial.read_in_flight && now >= partial.not_before)?;
        partial.read_in_flight = true;
        Some(FurtherDependencyKey { job: job.clone(), number: partial.keys_read + 1 })
    }

    /// Marks the read of a job's further key as answered. Returns false if nothing of the job
    /// remains to be read. The next attempt is delayed, so that other jobs are read first if
    /// this read failed.
    pub(super) fn end_read(&mut self, now: Micros, job: &str) -> bool {
        let Some(partial) = self.partial.get_mut(job) else {
            return false;
        };
        partial.read_in_flight = false;
        partial.not_before = now + READ_RETRY_DELAY;
        true
    }

    /// Adds the dependencies that a further key holds. The job's dependencies are complete with
    /// the last key.
    pub(super) fn add_further(
        &mut self,
        further: &FurtherDependencyKey,
        dependencies: Vec<String>,
    ) {
        let Some(partial) = self.partial.get_mut(&further.job) else {
            return;
        };
        if further.number == partial.keys_read + 1 {
            partial.dependencies.extend(dependencies);
            partial.keys_read = further.number;
            partial.not_before = Micros::ZERO;
        }
        if partial.keys_read >= partial.further_keys {
            let dependencies = std::mem::take(&mut partial.dependencies);
            self.set_dependencies(&further.job, &dependencies);
        }
    }
}
