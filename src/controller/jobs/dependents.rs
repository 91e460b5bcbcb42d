//! Releases and cancels local jobs that wait for their dependencies.
//!
//! A job's record, `j/REF`, names its dependencies, and every member watches these records. The
//! leader of the job's shard releases the job once every dependency is stored as done, which is
//! final, and cancels it once a direct or indirect dependency is stored as cancelled. A waiting
//! job has no tasks on machines, so cancelling it only changes its stage and stops nothing.
//! Before that write, any member already answers users that the job is cancelled, from the
//! stages of its direct and indirect dependencies.

use super::dependency_graph::DependencyOutcome;
use super::inherited_urgency::UrgencyInheritance;
use super::job::{self, Job, JobRecord, StoredStage};
use super::stage_cache::CachedStage;
use crate::controller::Controller;
use crate::controller::calls::JobsCall;
use crate::controller::scheduler::pending_reason::PendingReason;
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use crate::wire::{Condition, Txn, Write};
use log::info;
use serde_json::json;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Interval between checks of the local waiting jobs while no job ends.
const CHECK_INTERVAL: Micros = Micros::secs(1);
/// Delay before the next check if a cancellation cannot be sent yet, mostly because
/// [`MAX_CANCELLATIONS_IN_FLIGHT`] others are in flight.
const CANCELLATION_RETRY_DELAY: Micros = Micros::millis(100);
/// Maximum number of cancellations of waiting jobs in flight at once.
const MAX_CANCELLATIONS_IN_FLIGHT: usize = 4;

/// Local jobs that wait for their dependencies.
#[derive(Debug, Default)]
pub(crate) struct Dependents {
    waiting: BTreeSet<String>,
    /// Jobs whose cancellation is in flight to the store.
    cancelling: BTreeSet<String>,
    /// Time of the next check of all waiting jobs.
    next_check: Micros,
    /// Urgency that the waiting jobs pass on to their dependencies.
    pub(crate) urgency: UrgencyInheritance,
}

impl Dependents {
    /// Registers a local job that waits for its dependencies.
    pub(crate) fn add_waiting(&mut self, id: &str) {
        self.waiting.insert(id.to_string());
        self.check_now();
    }

    /// Whether a local job waits for its dependencies.
    pub(super) fn is_waiting(&self, id: &str) -> bool {
        self.waiting.contains(id)
    }

    /// Ids of the local jobs that wait for their dependencies.
    pub(super) fn waiting(&self) -> impl Iterator<Item = &String> {
        self.waiting.iter()
    }

    /// Makes the next tick check all waiting jobs.
    pub(super) fn check_now(&mut self) {
        self.next_check = Micros::ZERO;
    }
}

impl Controller {
    /// Evaluates the dependencies of a job that is cached as accepted.
    pub(crate) fn dependency_outcome_of(&self, id: &str) -> DependencyOutcome {
        let acknowledged = |id: &str| self.api.terminal_states.acknowledged(id);
        self.jobs.dependency_graph.outcome_of(id, &self.jobs.stage_cache, acknowledged)
    }

    /// Reads missing dependencies and records, and releases or cancels local waiting jobs.
    pub(crate) fn maintain_dependencies(&mut self) {
        self.jobs.read_further_dependencies(&mut self.context);
        self.read_record_page();
        if !self.holds_lease() {
            return;
        }
        if self.jobs.dependency_graph.take_changed() {
            self.jobs.dependents.check_now();
        }
        if self.context.now < self.jobs.dependents.next_check {
            return;
        }
        self.jobs.dependents.next_check = self.context.now + CHECK_INTERVAL;
        for id in self.jobs.dependents.waiting.iter().cloned().collect::<Vec<_>>() {
            self.check_dependent(&id);
        }
        self.update_inherited_urgency();
    }

    /// Releases or cancels a local waiting job if the stages of its dependencies allow it.
    fn check_dependent(&mut self, id: &str) {
        let waits = |job: &&mut Job| job.awaits_dependencies && job.is_active();
        let Some(job) = self.jobs.by_id.get_mut(id).filter(waits) else {
            self.jobs.dependents.waiting.remove(id);
            return;
        };
        // Dependencies that have not been read must not count as satisfied.
        let Some(dependencies) = self.jobs.dependency_graph.dependencies_of(id) else {
            return;
        };
        if dependencies.len() > job.dependencies.len() {
            job.dependencies = Rc::clone(dependencies);
        }
        match self.dependency_outcome_of(id) {
            DependencyOutcome::Satisfied => self.release_dependent(id),
            DependencyOutcome::Cancelled { .. } => self.cancel_dependent(id),
            DependencyOutcome::Unknown(unknown) => self.read_records(unknown),
            DependencyOutcome::Pending => {}
        }
    }

    /// Lets the tasks of a local job be placed: all its dependencies are done.
    fn release_dependent(&mut self, id: &str) {
        info!("job {id} may start: all its dependencies are done");
        self.counts.released += 1;
        self.jobs.dependents.waiting.remove(id);
        let wall = self.context.wall_clock();
        if let Some(job) = self.jobs.by_id.get_mut(id) {
            job.awaits_dependencies = false;
            job.ready_at = wall;
            job.pending_reason = PendingReason::New;
        }
        self.scheduler.request_pass();
    }

    /// Writes the cancellation of a waiting job with a cancelled dependency.
    fn cancel_dependent(&mut self, id: &str) {
        let Some(job) = self.jobs.by_id.get(id) else {
            return;
        };
        let serves_shard = self.serves_shard(job.shard);
        let dependents = &mut self.jobs.dependents;
        if dependents.cancelling.len() >= MAX_CANCELLATIONS_IN_FLIGHT
            || dependents.cancelling.contains(id)
            || !serves_shard
        {
            let retry_at = self.context.now + CANCELLATION_RETRY_DELAY;
            dependents.next_check = dependents.next_check.min(retry_at);
            return;
        }
        dependents.cancelling.insert(id.to_string());
        let (shard, tasks) = (job.shard, job.spec.tasks);
        let record = JobRecord::ended(shard, StoredStage::Cancelled, tasks);
        let key = job::job_key(id);
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), revision: job.revision }],
            writes: vec![Write::Put { key, value: json!(record), lease: None }],
        };
        let call = JobsCall::CancelDependent { job: id.to_string(), shard, tasks };
        self.context.call_store(call, KvRequest::Txn(txn));
    }

    /// Handles the reply to the cancellation of a waiting job.
    pub(super) fn cancel_dependent_reply(
        &mut self,
        id: &str,
        shard: usize,
        tasks: u32,
        reply: &KvResponse,
    ) {
        self.jobs.dependents.cancelling.remove(id);
        match reply {
            KvResponse::Applied(revision) => {
                info!("job {id} cancelled with one that it depends on");
                self.counts.cancelled_with_dependency += 1;
                let (stage, revision) = (StoredStage::Cancelled, *revision);
                self.cache_stage(id, CachedStage { stage, shard, tasks, revision });
                self.announce_cancellation(id, revision);
                self.job_cancelled(id);
            }
            // The write may have been applied, or the job's user has cancelled it first: the
            // stored record shows which.
            KvResponse::Conflict(_) | KvResponse::OutcomeUnknown => self.read_back(id),
            _ => {}
        }
    }
}
