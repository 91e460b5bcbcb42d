//! What the calls under way to the key-value store, the cloud and workers are for.

use crate::controller::api::admission::Submission;
use crate::controller::api::status_queries::QueriedJobs;
use crate::controller::event::Ticket;
use crate::controller::machines::machine::Key;
use crate::time::Micros;
use crate::wire::JobSpec;
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Which changes a watch follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Watch {
    Jobs,
    ShardLeases,
    Quotas,
}

/// What a call was for.
#[derive(Debug, Clone)]
pub(crate) enum Op {
    GrantLease { sent: Micros },
    RenewLease { sent: Micros, epoch: u64 },
    ListLeases,
    ListTerms,
    Watch(Watch),
    StartWatch(Watch),
    PollChanges { sent: Micros },
    AcquireShard { shard: usize, term: u64, epoch: u64 },
    Release { shard: usize },
    ReadRecoveryPage { shard: usize, term: u64 },
    ReadRecoveredRecord { shard: usize, term: u64, job: String },
    Admit { list: Vec<Submission>, shard: usize, term: u64, batch: Option<String> },
    LookUpDependency { number: u64, job: String },
    StoreDependencies { ticket: Ticket, spec: Rc<JobSpec>, size: usize, to: usize },
    ReadRecordPage { first: String },
    ReadDependencies { job: String, number: u32 },
    CompareDependencies { ticket: Ticket, status: u16, job: String, sent: Micros },
    CancelDependent { job: String, shard: usize, tasks: u32 },
    DropBatch { key: String, term: u64 },
    StoreBatch { key: String, term: u64, jobs: Vec<(String, u64)> },
    ReadBatch { key: String, term: u64 },
    SubmitRead { ticket: Ticket, job: String, sent: Micros, otherwise: (u16, Option<u64>, Vec<u8>) },
    Poll { tickets: Vec<Ticket>, job: String, sent: Micros },
    CompareStages { jobs: QueriedJobs, sent: Micros },
    ReadUnknown { job: String },
    CancelRead { ticket: Ticket, job: String, tries: u32 },
    CancelWrite { ticket: Ticket, job: String, shard: usize, tasks: u32, tries: u32 },
    Store { job: String, term: u64, chunks: Vec<(usize, u64)>, done: bool, drops: Vec<usize> },
    ReadBack { job: String, term: u64 },
    ReadBackChunks { job: String, term: u64, read: BTreeMap<usize, (u64, u64)> },
    QuotaList,
    QuotaRead { team: String },
    QuotaWrite { team: String, value: Value },
    Direct { machine: String, starts: Vec<Key>, term: u64 },
    Inspect,
    Types,
    StoreTypes,
    StoredTypes,
    ScaleOut { term: u64 },
    ScaleIn { names: Vec<String> },
    ListMachines { requested_at: Micros, term: u64 },
}
