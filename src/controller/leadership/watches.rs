//! Watches of the key-value store: how this process learns of changes.

use crate::controller::calls::{LeadershipCall, Watch};
use crate::controller::context::Context;
use crate::controller::leadership::shard_lease;
use crate::kv_store::KvRequest;
use crate::time::Micros;
use rand::RngExt;

/// How long a watch of shard leases or quotas waits for changes.
const BLOCK_TIMEOUT: Micros = Micros::secs(20);
/// Between polls of the jobs' changes beside a watch that has been silent for long.
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

/// How far the changes of some keys have been followed.
#[derive(Debug, Clone, Default)]
pub(crate) struct WatchState {
    /// Revision of the store up to which changes are known; `None` before the first list, and
    /// after changes may have been missed.
    revision: Option<u64>,
    /// A call of the watch, or the list that begins it, is in flight.
    call_in_flight: bool,
    /// Not called again before.
    retry_at: Micros,
    /// When the call that is in flight was sent.
    sent_at: Micros,
    /// When the last call that was answered had been sent.
    caught_up_at: Micros,
    /// When changes are polled beside the watch at the earliest.
    next_poll_at: Micros,
}

impl WatchState {
    /// Changes up to a revision, requested at a time, are known. The answers of a watch and
    /// of a poll may cross.
    fn advance_to(&mut self, revision: u64, sent: Micros) {
        self.revision = Some(self.revision.unwrap_or(0).max(revision));
        self.caught_up_at = self.caught_up_at.max(sent);
    }

    /// The call in flight was answered with all changes up to a revision.
    pub(crate) fn answered(&mut self, revision: u64) {
        self.call_in_flight = false;
        self.advance_to(revision, self.sent_at);
    }

    /// Calls the store if no call is in flight, to go on or to begin.
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
            // The jobs' own list grows without end; any list says the
            // present revision, and the shard leases are few.
            None => context.call_store(
                LeadershipCall::StartWatch(watch),
                KvRequest::List { prefix: shard_lease::LEASE_KEY_PREFIX.into(), after: None },
            ),
        }
    }
}

/// The watches of this process, and how far each has come.
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

    /// Revision up to which the jobs' changes are known, 0 for none.
    pub(crate) fn jobs_revision(&self) -> u64 {
        self.jobs.revision.unwrap_or(0)
    }

    /// All changes of jobs that had been made by then are known.
    pub(crate) fn jobs_caught_up_at(&self) -> Micros {
        self.jobs.caught_up_at
    }

    /// Whether every change of a job from now on will be known.
    pub(crate) fn follows_jobs(&self) -> bool {
        self.jobs.revision.is_some()
    }

    /// Calls the store for each watch that has no call in flight.
    pub(crate) fn call_due(&mut self, context: &mut Context) {
        // What is known of cancellations must never be older than a lease lasts.
        let jobs_block_timeout = Micros(context.options.controller_lease.0 / 4);
        self.shard_leases.call(Watch::ShardLeases, BLOCK_TIMEOUT, context);
        self.jobs.call(Watch::Jobs, jobs_block_timeout, context);
        self.quotas.call(Watch::Quotas, BLOCK_TIMEOUT, context);
    }

    /// Polls the jobs' changes beside the watch, at most every [`POLL_INTERVAL`].
    ///
    /// After an outage the lease is valid at once, while the watch that was open waits on:
    /// heartbeats are answered only once it is known what was cancelled meanwhile.
    pub(crate) fn poll_jobs(&mut self, context: &mut Context) {
        let now = context.now;
        let Some(after) = self.jobs.revision.filter(|_| now >= self.jobs.next_poll_at) else {
            return;
        };
        self.jobs.next_poll_at = now + POLL_INTERVAL;
        let prefix = JOB_KEY_PREFIX.to_string();
        let call = KvRequest::Watch { prefix, after, block: Micros::ZERO };
        context.call_store(LeadershipCall::PollChanges { sent: now }, call);
    }

    /// A poll of the jobs' changes that was sent at `sent` was answered.
    pub(crate) fn jobs_polled(&mut self, revision: u64, sent: Micros) {
        self.jobs.advance_to(revision, sent);
    }

    /// The store has dropped changes that a watch has not seen: it begins anew.
    pub(crate) fn compacted(&mut self, watch: Watch) {
        let state = self.state_mut(watch);
        state.call_in_flight = false;
        state.revision = None;
    }

    /// A call of a watch failed: it is made again after a random while.
    pub(crate) fn failed(&mut self, watch: Watch, context: &mut Context) {
        let delay = Micros::millis(context.rng.random_range(200..400));
        let state = self.state_mut(watch);
        state.call_in_flight = false;
        state.retry_at = context.now + delay;
    }
}
