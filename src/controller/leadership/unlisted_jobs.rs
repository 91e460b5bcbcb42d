//! Unlisted jobs: accepted jobs of led shards that the store contains and this process does not
//! run, since the reply to their acceptance was lost.
//!
//! Such a job is observed once, when its record arrives. It often cannot be recovered at that
//! moment: the controller lease is not valid after an outage, the shard is being recovered, or the
//! admission is still in flight. This module keeps such jobs. Every tick compares them with the jobs
//! that run, until the job runs, has ended or this process no longer leads the shard.

use crate::controller::Controller;
use crate::controller::calls::{ApiCall, PendingCall};
use crate::controller::jobs::Jobs;
use crate::controller::leadership::Leadership;
use crate::controller::leadership::recovery::ShardRecovery;
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet};

/// Unlisted jobs of one led shard.
#[derive(Debug, Default)]
struct ShardUnlistedJobs {
    /// Jobs that the next listing of the shard is to find.
    observed: BTreeSet<String>,
    /// Jobs that were observed before the listing in progress began.
    being_listed: BTreeSet<String>,
    /// Acceptances may have been missed, so the shard is listed even if no job was observed.
    records_missed: bool,
}

impl ShardUnlistedJobs {
    /// Whether a job is waiting to be recovered.
    fn is_empty(&self) -> bool {
        self.observed.is_empty() && self.being_listed.is_empty() && !self.records_missed
    }
}

/// Unlisted jobs of all led shards, by shard.
#[derive(Debug, Default)]
pub(crate) struct UnlistedJobs {
    by_shard: BTreeMap<usize, ShardUnlistedJobs>,
}

impl UnlistedJobs {
    /// Records that the store contains an accepted job of a led shard.
    fn add(&mut self, shard: usize, id: &str) {
        let unlisted = self.by_shard.entry(shard).or_default();
        if !unlisted.being_listed.contains(id) {
            unlisted.observed.insert(id.to_string());
        }
    }

    /// Records that acceptances of a led shard's jobs may have been missed.
    fn records_missed(&mut self, shard: usize) {
        self.by_shard.entry(shard).or_default().records_missed = true;
    }

    /// Drops the observed jobs for which `is_missing` is false, and shards without any job.
    fn retain(&mut self, is_missing: impl Fn(&str) -> bool) {
        self.by_shard.retain(|_, unlisted| {
            unlisted.observed.retain(|id| is_missing(id));
            !unlisted.is_empty()
        });
    }

    /// Begins a listing of a shard that is to find the observed jobs, except those that
    /// `is_undecided`. Returns false if there is nothing to find.
    fn begin_listing(&mut self, shard: usize, is_undecided: impl Fn(&str) -> bool) -> bool {
        let Some(unlisted) = self.by_shard.get_mut(&shard) else {
            return false;
        };
        let (undecided, to_list) =
            std::mem::take(&mut unlisted.observed).into_iter().partition(|id| is_undecided(id));
        unlisted.observed = undecided;
        unlisted.being_listed = to_list;
        for id in &unlisted.being_listed {
            info!(
                "job {id} is stored but does not run here: the jobs of shard {shard} are listed \
                 again"
            );
        }
        let records_missed = std::mem::take(&mut unlisted.records_missed);
        if records_missed {
            info!("changes of jobs were missed: the jobs of shard {shard} are listed again");
        }
        records_missed || !unlisted.being_listed.is_empty()
    }

    /// Records that a recovery has listed all jobs of a shard. What was observed before it began
    /// runs now, has ended, or cannot be read.
    pub(super) fn listing_finished(&mut self, shard: usize) {
        if let Some(unlisted) = self.by_shard.get_mut(&shard) {
            unlisted.being_listed.clear();
        }
    }

    /// Drops the jobs of a shard that this process no longer leads: its next leader recovers them.
    pub(super) fn forget_shard(&mut self, shard: usize) {
        self.by_shard.remove(&shard);
    }

    /// Number of unlisted jobs.
    pub(crate) fn len(&self) -> usize {
        let jobs =
            |unlisted: &ShardUnlistedJobs| unlisted.observed.len() + unlisted.being_listed.len();
        self.by_shard.values().map(jobs).sum()
    }
}

impl Leadership {
    /// Records that the store contains an accepted job of a shard. If this process leads the shard,
    /// whether or not its controller lease is valid at the moment, and does not run the job, the
    /// job is recovered as soon as that is possible; returns true then.
    fn observe_accepted_job(&mut self, jobs: &Jobs, id: &str, shard: usize) -> bool {
        let is_led = self.shards.get(shard).is_some_and(|shard| shard.leadership.is_some());
        let is_unlisted = is_led && is_missing(jobs, id);
        if is_unlisted {
            self.unlisted_jobs.add(shard, id);
        }
        is_unlisted
    }

    /// Records that acceptances may have been missed: the watch of jobs has skipped changes. Only
    /// recovered shards accept jobs.
    pub(crate) fn acceptances_missed(&mut self) {
        let shards = self.shards.iter().enumerate();
        for (number, shard) in shards {
            if shard.leadership.as_ref().is_some_and(|leadership| leadership.recovered) {
                self.unlisted_jobs.records_missed(number);
            }
        }
    }
}

/// Whether an accepted job is missing here: it does not run, the cache does not show it as ended,
/// and it was not found to be unreadable. Reading a malformed job again does not make it readable.
fn is_missing(jobs: &Jobs, id: &str) -> bool {
    !jobs.by_id.contains_key(id) && !jobs.stage_cache.is_final(id) && !jobs.is_unreadable(id)
}

impl Controller {
    /// Records that the store contains an accepted job of a shard.
    pub(crate) fn observe_accepted_job(&mut self, id: &str, shard: usize) {
        if self.leadership.observe_accepted_job(&self.jobs, id, shard) {
            let (holds_lease, serves_shard) = (self.holds_lease(), self.serves_shard(shard));
            debug!(
                "job {id} is stored but does not run here: lease held {holds_lease}, shard {shard} \
                 served {serves_shard}"
            );
        }
    }

    /// Lists the jobs of served shards again that have unlisted jobs, unless a listing is in
    /// progress. A job whose admission is in flight waits for its outcome.
    pub(crate) fn recover_unlisted_jobs(&mut self) {
        let jobs = &self.jobs;
        self.leadership.unlisted_jobs.retain(|id| is_missing(jobs, id));
        let shards: Vec<usize> = self.leadership.unlisted_jobs.by_shard.keys().copied().collect();
        for shard in shards {
            if self.serves_shard(shard) && !self.leadership.recoveries.contains_key(&shard) {
                self.list_unlisted_jobs(shard);
            }
        }
    }

    fn list_unlisted_jobs(&mut self, shard: usize) {
        let Some(term) = self.leading_term(shard) else {
            return;
        };
        let context = &self.context;
        let is_being_admitted = |id: &str| {
            context.calls_in_flight().any(|call| match call {
                PendingCall::Api(ApiCall::Admit(group)) => {
                    group.submissions.iter().any(|submission| submission.spec.id == id)
                }
                _ => false,
            })
        };
        if self.leadership.unlisted_jobs.begin_listing(shard, is_being_admitted) {
            self.leadership.recoveries.insert(shard, ShardRecovery::new(term));
        }
    }
}
