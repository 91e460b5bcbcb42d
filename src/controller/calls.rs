//! What the calls in flight to the key-value store, the cloud and workers are for: an enum a
//! component, which the router wraps.

#![allow(
    clippy::missing_docs_in_private_items,
    reason = "the doc of a variant names what its fields carry"
)]

use crate::controller::api::pending::{AdmissionGroup, CancelledJob, PreparedAnswer, QueriedJobs};
use crate::controller::event::Ticket;
use crate::controller::jobs::batches::BatchedChange;
use crate::controller::jobs::dependency_graph::FurtherList;
use crate::controller::jobs::job::ReadChunk;
use crate::controller::jobs::write_plan::JobWrite;
use crate::controller::machines::attempt::AttemptId;
use crate::time::Micros;
use crate::wire::JobSpec;
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Which changes a watch follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Watch {
    /// Of jobs' records.
    Jobs,
    /// Of the shards' leases.
    ShardLeases,
    /// Of teams' quotas.
    Quotas,
}

/// What a call about leases, terms, watches and recoveries is for.
#[derive(Debug, Clone)]
pub(crate) enum LeadershipCall {
    /// Requests a controller lease.
    GrantLease { sent: Micros },
    /// Renews the controller lease of an epoch.
    RenewLease { sent: Micros, epoch: u64 },
    /// Lists the terms of all shards.
    ListTerms,
    /// Lists the leases of all shards, after their terms.
    ListLeases,
    /// Waits for changes.
    Watch(Watch),
    /// Reads the store's revision, from which a watch begins.
    StartWatch(Watch),
    /// Polls the jobs' changes beside the watch that waits for them.
    PollChanges { sent: Micros },
    /// Acquires a shard under a term, by the controller lease of an epoch.
    AcquireShard { shard: usize, term: u64, epoch: u64 },
    /// Releases a shard.
    Release { shard: usize },
    /// Lists chunks of a shard's jobs, to recover them under a term.
    ReadRecoveryPage { shard: usize, term: u64 },
    /// Reads the record of a job that is recovered under a term.
    ReadRecoveredRecord { shard: usize, term: u64, job: String },
}

/// What a call that a user awaits is for. `sent_at` is when it was sent: what it shows
/// may be older, never newer.
#[derive(Debug, Clone)]
pub(crate) enum ApiCall {
    /// Accept jobs.
    Admit(AdmissionGroup),
    /// Read the record of a job on which a submitted one depends, for the lookup of this
    /// number.
    LookUpDependency { number: u64, job: String },
    /// Write lists of dependencies that do not fit in the job's record, up to this one.
    StoreDependencies { ticket: Ticket, spec: Rc<JobSpec>, spec_bytes: usize, last_list: usize },
    /// Compare the revisions of all unfinished jobs that a job depends on.
    CompareDependencies { ticket: Ticket, status: u16, job: String, sent_at: Micros },
    /// Read the record of a submitted job that may be known to the store.
    ReadSubmitted { ticket: Ticket, job: String, sent_at: Micros, if_absent: PreparedAnswer },
    /// Read the record of a job whose status is queried.
    ReadQueried { tickets: Vec<Ticket>, job: String, sent_at: Micros },
    /// Compare the revisions of jobs whose status is queried.
    CompareStages { jobs: QueriedJobs, sent_at: Micros },
    /// Read the record of a job that its user cancels.
    ReadToCancel { ticket: Ticket, job: String, tries_left: u32 },
    /// Write that a job is cancelled by its user.
    WriteCancellation { ticket: Ticket, job: CancelledJob, tries_left: u32 },
}

/// What a call about the jobs of own shards and what is known of others is for. The term is
/// that of the shard when the call was made.
#[derive(Debug, Clone)]
pub(crate) enum JobsCall {
    /// Reads a page of records that begins at a job.
    ReadRecordPage { first: String },
    /// Reads a further key with dependencies.
    ReadDependencies(FurtherList),
    /// Writes that an own job is cancelled with one that it depends on.
    CancelDependent { job: String, shard: usize, tasks: u32 },
    /// Deletes a batch.
    DropBatch { key: String, term: u64 },
    /// Writes a batch with changes of its jobs.
    StoreBatch { key: String, term: u64, changes: Vec<BatchedChange> },
    /// Reads a batch back.
    ReadBatch { key: String, term: u64 },
    /// Writes changes of a job.
    Store { job: String, term: u64, write: JobWrite },
    /// Reads a job's record back.
    ReadBack { job: String, term: u64 },
    /// Reads a page of a job's chunks back, after those that have been read.
    ReadBackChunks { job: String, term: u64, read: BTreeMap<usize, ReadChunk> },
}

/// What a call about the machines of own shards is for.
#[derive(Debug, Clone)]
pub(crate) enum MachinesCall {
    /// Reads the record of a job that runs on a machine and of which nothing is known.
    ReadUnknownJob { job: String },
    /// Direct commands, with the starts among them, under a term of the machine's shard.
    Direct { machine: String, starts: Vec<AttemptId>, term: u64 },
    /// Checks whether a worker can be reached at all.
    Inspect,
}

/// What a call about the grants of teams' limits is for.
#[derive(Debug, Clone)]
pub(crate) enum QuotaCall {
    /// Lists the grants of all teams.
    List,
    /// Reads a team's grants back after a compare-and-swap without a clear outcome.
    Read { team: String },
    /// Stores a team's grants by compare-and-swap; `value` is what is stored if it succeeds.
    CompareAndSwap { team: String, value: Value },
}

/// What a call about machine types and the fleet is for.
#[derive(Debug, Clone)]
pub(crate) enum AutoscalerCall {
    /// Lists the cloud's machine types.
    ListMachineTypes,
    /// Stores them in the key-value store.
    StoreMachineTypes,
    /// Reads them from there.
    ReadStoredMachineTypes,
    /// Requests machines, under a term of the autoscaler's shard.
    ScaleOut { term: u64 },
    /// Requests the removal of machines.
    ScaleIn { machines: Vec<String> },
    /// Lists the machines, under a term of the autoscaler's shard; the first page was
    /// requested at `requested_at`.
    ListMachines { requested_at: Micros, term: u64 },
}

/// What a call in flight is for, by the component that handles its reply.
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
