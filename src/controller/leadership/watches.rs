//! Watches of the key-value store, by which this process receives changes.

use crate::controller::call_origin::{CallOrigin, WatchGeneration};
use crate::controller::calls::{LeadershipCall, Watch};
use crate::controller::context::Context;
use crate::controller::leadership::shard_lease;
use crate::kv_store::{KvRequest, PAGE_KEYS};
use crate::time::Micros;
use rand::RngExt;

/// How long a watch of shard leases or quotas waits for changes.
const BLOCK_TIMEOUT: Micros = Micros::secs(20);
/// Minimum interval between polls of the jobs' changes in addition to the watch, while the watch
/// has been silent for long.
const POLL_INTERVAL: Micros = Micros::millis(400);
/// Prefix of the keys of jobs' records.
const JOB_KEY_PREFIX: &str = "j/";
/// Prefix of the keys of teams' quotas.
const QUOTA_KEY_PREFIX: &str = "quota/";

/// Prefix of the keys that a watch follows.
pub(crate) fn key_prefix(watch: Watch) -> &'static str {
    match watch {
        Watch::Jobs => JOB_KEY_PREFIX,
        Watch::ShardLeases => shard_lease::LEASE_KEY_PREFIX,
        Watch::Quotas => QUOTA_KEY_PREFIX,
    }
}

/// Progress of a watch.
#[derive(Debug, Clone, Default)]
pub(crate) struct WatchState {
    generation: WatchGeneration,
    /// Revision of the store up to which changes have been received; `None` before the first list,
    /// and after changes may have been missed.
    revision: Option<u64>,
    /// A call of the watch, or the list that starts it, is in flight.
    call_in_flight: bool,
    /// Earliest time of the next call.
    retry_at: Micros,
    /// When the call in flight was sent.
    sent_at: Micros,
    /// When the last answered call was sent: all changes made before have been received.
    caught_up_at: Micros,
    /// Earliest time of the next poll in addition to the watch.
    next_poll_at: Micros,
}

impl WatchState {
    /// Records that all changes up to `revision`, requested at `sent_at`, have been received.
    /// Neither value decreases, since the replies of a watch and of a poll may arrive in either
    /// order.
    fn advance_to(&mut self, revision: u64, sent_at: Micros) {
        self.revision = Some(self.revision.unwrap_or(0).max(revision));
        self.caught_up_at = self.caught_up_at.max(sent_at);
    }

    /// Records that the watch starts from `revision`: earlier changes may have been missed.
    pub(crate) fn started(&mut self, revision: u64) {
        self.generation.advance();
        self.answered(revision);
    }

    /// Records the reply to the call in flight, which contained all changes up to `revision`.
    pub(crate) fn answered(&mut self, revision: u64) {
        self.call_in_flight = false;
        self.advance_to(revision, self.sent_at);
    }

    /// Continues the watch, or starts it with a list, unless a call is in flight or a retry delay
    /// has not passed.
    fn call(&mut self, watch: Watch, block: Micros, context: &mut Context) {
        if self.call_in_flight || context.now < self.retry_at {
            return;
        }
        self.call_in_flight = true;
        self.sent_at = context.now;
        let prefix = key_prefix(watch).to_string();
        match self.revision {
            Some(after) => context.call_store(
                LeadershipCall::Watch(watch),
                KvRequest::Watch { prefix, after, block },
            ),
            // The list of all jobs grows without bound. Any list returns the current revision, and
            // the list of shard leases is short.
            None => context.call_store(
                LeadershipCall::StartWatch(watch),
                KvRequest::List {
                    prefix: shard_lease::LEASE_KEY_PREFIX.into(),
                    after: None,
                    limit: PAGE_KEYS,
                },
            ),
        }
    }
}

/// The watches of this process and their progress.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    shard_leases: WatchState,
    jobs: WatchState,
    quotas: WatchState,
}

impl Watches {
    /// The state of a watch.
    pub(crate) fn state_mut(&mut self, watch: Watch) -> &mut WatchState {
        match watch {
            Watch::ShardLeases => &mut self.shard_leases,
            Watch::Jobs => &mut self.jobs,
            Watch::Quotas => &mut self.quotas,
        }
    }

    /// Revision of the store up to which all changes of jobs have been received; 0 while there is
    /// no such revision.
    pub(crate) fn jobs_revision(&self) -> u64 {
        self.jobs.revision.unwrap_or(0)
    }

    /// Time up to which all changes of jobs have been received.
    pub(crate) fn jobs_caught_up_at(&self) -> Micros {
        self.jobs.caught_up_at
    }

    /// Number of times that the watch of jobs has started.
    pub(crate) fn jobs_generation(&self) -> WatchGeneration {
        self.jobs.generation
    }

    /// Whether the watch of jobs has started, so that no further change of a job is missed.
    pub(crate) fn follows_jobs(&self) -> bool {
        self.jobs.revision.is_some()
    }

    /// Calls the store for each watch that has no call in flight.
    pub(crate) fn call_if_due(&mut self, context: &mut Context) {
        // The received cancellations must never be older than the duration of a lease.
        let jobs_block_timeout = Micros(context.options.controller_lease.0 / 4);
        self.shard_leases.call(Watch::ShardLeases, BLOCK_TIMEOUT, context);
        self.jobs.call(Watch::Jobs, jobs_block_timeout, context);
        self.quotas.call(Watch::Quotas, BLOCK_TIMEOUT, context);
    }

    /// Polls the jobs' changes in addition to the watch, at most every [`POLL_INTERVAL`].
    ///
    /// After an outage the controller lease is valid immediately, while the call of the watch that
    /// was open still waits. Heartbeats are answered only once all cancellations made in the
    /// meantime have been received.
    pub(crate) fn poll_jobs(&mut self, context: &mut Context) {
        let now = context.now;
        let Some(after) = self.jobs.revision.filter(|_| now >= self.jobs.next_poll_at) else {
            return;
        };
        self.jobs.next_poll_at = now + POLL_INTERVAL;
        let prefix = JOB_KEY_PREFIX.to_string();
        let call = KvRequest::Watch { prefix, after, block: Micros::ZERO };
        let origin = CallOrigin { sent_at: now, generation: self.jobs.generation };
        context.call_store(LeadershipCall::PollChanges { origin }, call);
    }

    /// Records the reply to a poll of the jobs' changes that was sent at `sent_at`.
    pub(crate) fn jobs_polled(&mut self, revision: u64, sent_at: Micros) {
        self.jobs.advance_to(revision, sent_at);
    }

    /// Restarts a watch after the store has compacted changes that the watch has not received.
    pub(crate) fn compacted(&mut self, watch: Watch) {
        let state = self.state_mut(watch);
        state.call_in_flight = false;
        state.revision = None;
    }

    /// Schedules another call of a watch after a random delay, since the last one failed.
    pub(crate) fn failed(&mut self, watch: Watch, context: &mut Context) {
        let delay = Micros::millis(context.rng.random_range(200..400));
        let state = self.state_mut(watch);
        state.call_in_flight = false;
        state.retry_at = context.now + delay;
    }
}
