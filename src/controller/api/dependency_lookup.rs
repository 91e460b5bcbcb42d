//! Lookup of a submitted job's dependencies, all of which must have been accepted.

use crate::controller::api::pending::PreparedAnswer;
use crate::controller::api::record_reads::RecordRead;
use crate::controller::call_origin::CallOrigin;
use crate::controller::calls::ApiCall;
use crate::controller::jobs::job::{self, MAX_SINGLE_READS};
use crate::controller::{Controller, Ticket};
use crate::kv_store::{KvRequest, KvResponse};
use crate::wire::{JobSpec, Refusal};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The answer to a submission with a dependency that was never accepted.
const DEPENDENCY_NEVER_ACCEPTED: Refusal<'static> =
    Refusal { error: "a job that was never accepted", field: Some("upstream") };
/// The refusal while dependencies are being read; the user must submit the job again.
const DEPENDENCIES_BEING_READ: &str = "the jobs that it needs are being read";

/// A submission whose dependencies are being read from the store.
#[derive(Debug)]
struct DependencyLookup {
    ticket: Ticket,
    spec: Rc<JobSpec>,
    /// Bytes of the encoded description.
    spec_bytes: usize,
    /// Reads without a reply so far.
    reads_in_flight: usize,
    /// At least one dependency has no record.
    missing: bool,
    /// At least one read failed.
    failed: bool,
}

/// Lookups in progress, by number. Numbers are never reused.
#[derive(Debug, Default)]
pub(crate) struct DependencyLookups {
    by_number: BTreeMap<u64, DependencyLookup>,
    last_number: u64,
}

impl DependencyLookups {
    /// Registers a lookup; returns its number.
    fn add(&mut self, lookup: DependencyLookup) -> u64 {
        self.last_number += 1;
        self.by_number.insert(self.last_number, lookup);
        self.last_number
    }

    /// Removes and returns the lookup if no read of it is in flight.
    fn take_finished(&mut self, number: u64) -> Option<DependencyLookup> {
        self.by_number.get(&number).filter(|lookup| lookup.reads_in_flight == 0)?;
        self.by_number.remove(&number)
    }
}

impl Controller {
    /// Looks up the dependencies of a submitted job, and continues the submission once all of
    /// them are cached as accepted.
    pub(crate) fn look_up_dependencies(
        &mut self,
        ticket: Ticket,
        spec: Rc<JobSpec>,
        spec_bytes: usize,
    ) {
        if spec.dependencies.contains(&spec.id) {
            return self.read_job_or_answer(
                ticket,
                &spec.id,
                PreparedAnswer::refusal(422, &DEPENDENCY_NEVER_ACCEPTED),
            );
        }
        let known = |id: &&String| self.jobs.stage_cache.contains(id);
        let mut unknown: Vec<String> =
            spec.dependencies.iter().filter(|id| !known(id)).cloned().collect();
        if unknown.is_empty() {
            return self.store_dependencies(ticket, spec, spec_bytes, 0);
        }
        if unknown.len() > MAX_SINGLE_READS {
            let absent: Vec<String> = unknown
                .iter()
                .filter(|id| self.jobs.record_pages.was_absent(id))
                .cloned()
                .collect();
            if absent.is_empty() {
                self.read_records(unknown);
                return self.respond_retry_later(ticket, 503, DEPENDENCIES_BEING_READ);
            }
            // Some may have been accepted since, so they are read again. One that is still
            // missing is enough to refuse the submission.
            unknown = absent;
            unknown.truncate(MAX_SINGLE_READS);
        }
        let number = self.api.dependency_lookups.add(DependencyLookup {
            ticket,
            spec,
            spec_bytes,
            reads_in_flight: unknown.len(),
            missing: false,
            failed: false,
        });
        for id in unknown {
            self.look_up_dependency(number, id);
        }
    }

    fn look_up_dependency(&mut self, number: u64, id: String) {
        let key = job::job_key(&id);
        let call = ApiCall::LookUpDependency { number, job: id, origin: self.call_origin() };
        self.context.call_store(call, KvRequest::Get(key));
    }

    /// Handles the reply to the read of a dependency, for the lookup of this number.
    pub(crate) fn look_up_dependency_reply(
        &mut self,
        number: u64,
        id: &str,
        origin: CallOrigin,
        reply: &KvResponse,
    ) {
        let read = self.apply_record_reply(id, origin, reply);
        if read == RecordRead::Outdated {
            return self.look_up_dependency(number, id.to_string());
        }
        let known = self.jobs.stage_cache.contains(id);
        let lookups = &mut self.api.dependency_lookups;
        let Some(lookup) = lookups.by_number.get_mut(&number) else {
            return;
        };
        lookup.reads_in_flight = lookup.reads_in_flight.saturating_sub(1);
        match read {
            RecordRead::Found { .. } => {}
            RecordRead::NoSuchJob => lookup.missing |= !known,
            RecordRead::Unknown | RecordRead::Outdated => lookup.failed = true,
        }
        let Some(lookup) = lookups.take_finished(number) else {
            return;
        };
        let DependencyLookup { ticket, spec, spec_bytes, missing, failed, .. } = lookup;
        if failed {
            return self.respond_retry_later(ticket, 503, "state service away");
        }
        if missing {
            return self.read_job_or_answer(
                ticket,
                &spec.id,
                PreparedAnswer::refusal(422, &DEPENDENCY_NEVER_ACCEPTED),
            );
        }
        if !spec.dependencies.iter().all(|id| self.jobs.stage_cache.contains(id)) {
            return self.respond_retry_later(ticket, 503, DEPENDENCIES_BEING_READ);
        }
        self.store_dependencies(ticket, spec, spec_bytes, 0);
    }
}
