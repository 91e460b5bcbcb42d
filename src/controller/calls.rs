//! Purposes of the calls in flight to the key-value store, the cloud and workers: one enum for each
//! component, wrapped in [`PendingCall`] for the router.

#![allow(
    clippy::missing_docs_in_private_items,
    reason = "the doc of a variant names what its fields carry"
)]

use crate::controller::api::pending::{AdmissionGroup, CancelledJob, PreparedAnswer, QueriedJobs};
use crate::controller::call_origin::CallOrigin;
use crate::controller::event::Ticket;
use crate::controller::jobs::batches::BatchedChange;
use crate::controller::jobs::dependency_graph::FurtherDependencyKey;
use crate::controller::jobs::job::ReadChunk;
use crate::controller::jobs::write_plan::JobWrite;
use crate::controller::machines::attempt::AttemptId;
use crate::time::Micros;
use crate::wire::JobSpec;
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The keys that a watch follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Watch {
    /// Jobs' records.
    Jobs,
    /// The shards' leases.
    ShardLeases,
    /// Teams' quotas.
    Quotas,
}

/// Purpose of a call about leases, terms, watches and recoveries.
#[derive(Debug, Clone)]
pub(crate) enum LeadershipCall {
    /// Requests a controller lease.
    GrantLease { sent_at: Micros },
    /// Renews the controller lease of an epoch.
    RenewLease { sent_at: Micros, epoch: u64 },
    /// Lists the terms of all shards.
    ListTerms,
    /// Lists the leases of all shards, after their terms.
    ListLeases,
    /// Waits for changes of watched keys.
    Watch(Watch),
    /// Reads the store's revision, from which a watch starts.
    StartWatch(Watch),
    /// Polls the jobs' changes while the watch of jobs waits.
    PollChanges { origin: CallOrigin },
    /// Acquires a shard under a term, by the controller lease of an epoch.
    AcquireShard { shard: usize, term: u64, epoch: u64 },
    /// Releases a shard.
    Release { shard: usize },
    /// Lists chunks of a shard's jobs, to recover them under a term.
    ReadRecoveryPage { shard: usize, term: u64 },
    /// Reads the record of a job that is recovered under a term.
    ReadRecoveredRecord { shard: usize, term: u64, job: String, origin: CallOrigin },
}

/// Purpose of a call that a user's request waits for. `sent_at` is as in [`CallOrigin`].
#[derive(Debug, Clone)]
pub(crate) enum ApiCall {
    /// Accepts jobs.
    Admit(AdmissionGroup),
    /// Reads the record of a job on which a submitted one depends; `number` identifies the lookup.
    LookUpDependency { number: u64, job: String, origin: CallOrigin },
    /// Writes lists of dependencies that do not fit in the job's record, up to `last_list`.
    StoreDependencies { ticket: Ticket, spec: Rc<JobSpec>, spec_bytes: usize, last_list: usize },
    /// Compares the revisions of all unfinished jobs that a job depends on.
    CompareDependencies { ticket: Ticket, status: u16, job: String, origin: CallOrigin },
    /// Reads the record of a submitted job that the store may already have.
    ReadSubmitted { ticket: Ticket, job: String, origin: CallOrigin, if_absent: PreparedAnswer },
    /// Reads the record of a job whose status is queried.
    ReadQueried { tickets: Vec<Ticket>, job: String, origin: CallOrigin },
    /// Compares the revisions of jobs whose status is queried.
    CompareStages { jobs: QueriedJobs, sent_at: Micros },
    /// Reads the record of a job that its user cancels.
    ReadToCancel { ticket: Ticket, job: String, tries_left: u32, origin: CallOrigin },
    /// Writes that a job is cancelled by its user.
    WriteCancellation { ticket: Ticket, job: CancelledJob, tries_left: u32 },
}

/// Purpose of a call about the jobs of led shards, and about the cached state of other jobs. The
/// term is that of the shard when the call was made.
#[derive(Debug, Clone)]
pub(crate) enum JobsCall {
    /// Reads a page of records that begins at the job `first`.
    ReadRecordPage { first: String, origin: CallOrigin },
    /// Reads a further key that holds dependencies of a job.
    ReadDependencies(FurtherDependencyKey),
    /// Writes that a local job is cancelled because a job that it depends on was cancelled.
    CancelDependent { job: String, shard: usize, tasks: u32 },
    /// Deletes a batch.
    DeleteBatch { key: String, term: u64 },
    /// Writes a batch with changes of its jobs.
    StoreBatch { key: String, term: u64, changes: Vec<BatchedChange> },
    /// Reads a batch back after a write without a clear outcome.
    ReadBatch { key: String, term: u64 },
    /// Writes changes of a job.
    Store { job: String, term: u64, write: JobWrite },
    /// Reads a job's record back.
    ReadBack { job: String, term: u64, origin: CallOrigin },
    /// Reads a page of a job's chunks back; `read` contains those of the earlier pages.
    ReadBackChunks { job: String, term: u64, read: BTreeMap<usize, ReadChunk> },
}

/// Purpose of a call about the machines of led shards.
#[derive(Debug, Clone)]
pub(crate) enum MachinesCall {
    /// Reads the record of a job that runs on a machine and is unknown to this process.
    ReadUnknownJob { job: String, origin: CallOrigin },
    /// Reads a page of jobs' records that begins at the job `first`, which is unknown to this process.
    ReadUnknownJobs { first: String, origin: CallOrigin },
    /// Reads a page of jobs' records since the watch of jobs has started.
    PreloadStages { origin: CallOrigin },
    /// Sends direct commands under a term of the machine's shard; `starts` are the starts among
    /// them.
    Direct { machine: String, starts: Vec<AttemptId>, term: u64 },
    /// Checks whether a worker can be reached.
    Inspect,
}

/// Purpose of a call about the grants of teams' limits.
#[derive(Debug, Clone)]
pub(crate) enum QuotaCall {
    /// Lists the grants of all teams.
    List,
    /// Reads a team's grants back after a compare-and-swap without a clear outcome.
    Read { team: String },
    /// Stores a team's grants by compare-and-swap; `value` is the stored value if it succeeds.
    CompareAndSwap { team: String, value: Value },
}

/// Purpose of a call about machine types and machines of the cloud.
#[derive(Debug, Clone)]
pub(crate) enum AutoscalerCall {
    /// Lists the cloud's machine types.
    ListMachineTypes,
    /// Stores the machine types in the key-value store.
    StoreMachineTypes,
    /// Reads the machine types from the key-value store.
    ReadStoredMachineTypes,
    /// Requests machines, under a term of the autoscaler's shard.
    ScaleOut { term: u64 },
    /// Requests the removal of machines.
    ScaleIn { machines: Vec<String> },
    /// Lists the machines, under a term of the autoscaler's shard; the first page was
    /// requested at `requested_at`.
    ListMachines { requested_at: Micros, term: u64 },
}

/// Purpose of a call in flight, by the component that handles its reply.
#[derive(Debug, Clone)]
pub(crate) enum PendingCall {
    Leadership(LeadershipCall),
    Api(ApiCall),
    Jobs(JobsCall),
    Machines(MachinesCall),
    Quota(QuotaCall),
    Autoscaler(AutoscalerCall),
}

impl From<LeadershipCall> for PendingCall {
    fn from(call: LeadershipCall) -> PendingCall {
        PendingCall::Leadership(call)
    }
}

impl From<ApiCall> for PendingCall {
    fn from(call: ApiCall) -> PendingCall {
        PendingCall::Api(call)
    }
}

impl From<JobsCall> for PendingCall {
    fn from(call: JobsCall) -> PendingCall {
        PendingCall::Jobs(call)
    }
}

impl From<MachinesCall> for PendingCall {
    fn from(call: MachinesCall) -> PendingCall {
        PendingCall::Machines(call)
    }
}

impl From<QuotaCall> for PendingCall {
    fn from(call: QuotaCall) -> PendingCall {
        PendingCall::Quota(call)
    }
}

impl From<AutoscalerCall> for PendingCall {
    fn from(call: AutoscalerCall) -> PendingCall {
        PendingCall::Autoscaler(call)
    }
}
