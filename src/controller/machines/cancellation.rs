//! Cancellations, as the holder of a machine's shard carries them out by itself.
//!
//! A job's owner stops its tasks by what it wants on machines. Its word may not
//! get through: the controllers are out of each other's reach, or the owner is
//! gone and nobody can take its shard while the key-value store is away. Whoever
//! answers a machine's reports keeps its tasks alive, so that one acts on what it
//! knows itself, and answers only while it is sure to learn of cancellations.

use crate::config::{Settings, Workers};
use crate::controller::calls::MachinesCall;
use crate::controller::jobs::job;
use crate::controller::jobs::job::StoredStage;
use crate::controller::machines::machine::{self, Key};
use crate::controller::{CachedStage, Controller, Watch};
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Left of the time that a cancellation has for what is not counted: the way of
/// the last answer, and clocks that are read in steps.
const MARGIN: Micros = Micros::secs(3);
/// The shortest state lease that still rides out a slow renewal.
const SHORTEST_LEASE: Micros = Micros::secs(2);
/// Between reads of jobs of which this process knows nothing, and reads at once.
const READ_EVERY: Micros = Micros::millis(100);
const READS: usize = 2;
/// Unknown jobs remembered at most; others are found again by their next report.
const MOST_UNKNOWN: usize = 1_000;
/// Cancellations repeated to peers in one frame, at most.
const MOST_REPEATED: usize = 200;

/// How long after a confirmed cancellation a worker's report may still be answered
/// by a controller that does not know of it: what a cancellation has, less the
/// worker's own lease, which the last such answer begins anew.
pub fn unanswered_limit(workers: &Workers) -> Micros {
    let lease = Micros::from_secs_f64(workers.lease_s)
        .stretched(crate::controller::leadership::shard::DRIFT);
    Micros::from_secs_f64(workers.cancel_s).since(lease + MARGIN)
}

/// The state lease to use where `wished` is too long: a holder that the state
/// service refuses goes on for as long, and cannot learn of cancellations. The
/// second value is false where no usable lease is short enough.
pub fn fitting_lease(wished: Micros, workers: &Workers) -> (Micros, bool) {
    let most = unanswered_limit(workers);
    (wished.min(most.max(SHORTEST_LEASE)), most >= SHORTEST_LEASE)
}

/// The lease to ask the key-value store for where `wished` may be too long; what was
/// changed is logged.
pub(crate) fn usable_lease(wished: Micros, settings: &Settings) -> Micros {
    let (lease, fits) = fitting_lease(wished, &settings.workers);
    if !fits {
        log::warn!(
            "lease_s and cancel_s are so close that cancelled tasks may outlast cancel_s \
             when the key-value store is away"
        );
    } else if lease < wished {
        log::info!("the controller's lease is shortened to {} ms", lease.as_millis());
    }
    lease
}

/// What this process does about cancellations beside its own jobs.
#[derive(Debug, Default)]
pub(crate) struct Cancels {
    /// Jobs with tasks on own machines of which nothing is known from the store.
    unknown: BTreeSet<String>,
    reading: usize,
    read_at: Micros,
    /// Cancellations confirmed here that some peer does not know for certain, with
    /// the revision of each and until when they are repeated.
    repeated: BTreeMap<String, (u64, Micros)>,
}

impl Controller {
    /// Whether every cancellation that was confirmed long enough ago is known here.
    /// A watch that says nothing while renewals go through (it hangs, or this
    /// process lags behind) would otherwise keep cancelled tasks alive.
    pub(crate) fn cancellations_up_to_date(&self) -> bool {
        let most = unanswered_limit(&self.context.settings.workers)
            .max(self.context.options.controller_lease);
        let most = most.min(Micros(2 * self.context.options.controller_lease.0));
        let watched =
            self.leadership.watches.get(&Watch::Jobs).map_or(Micros::ZERO, |f| f.caught_up_at());
        self.context.now.since(watched) <= most
    }

    /// A job was found to be cancelled: its tasks on own machines are stopped at
    /// once, whoever runs it.
    pub(crate) fn stop_on_machines(&mut self, id: &str) {
        let first = Key { job: id.to_string(), index: 0, attempt: 0 };
        let has = |keys: Option<&Key>| keys.is_some_and(|k| k.job == id);
        let there = |p: &machine::ManagedMachine| {
            has(p.tasks.range(&first..).next().map(|(k, _)| k))
                || has(p.sent.range(&first..).next().map(|(k, _)| k))
                || has(p.waiting.range(&first..).next())
        };
        let machines =
            self.machines.managed.iter().filter(|(_, p)| there(p)).map(|(m, _)| m.clone());
        let machines: Vec<String> = machines.collect();
        self.changes.machines.extend(machines);
    }

    /// A machine has a task of a job of which nothing is known here: it may have
    /// been cancelled before this process began to listen.
    pub(crate) fn note_unknown(&mut self, jobs: Vec<String>) {
        for id in jobs {
            if self.machines.cancellations.unknown.len() < MOST_UNKNOWN {
                self.machines.cancellations.unknown.insert(id);
            }
        }
    }

    /// Forgets which jobs are known to be unfinished: changes may have been missed.
    pub(crate) fn invalidate_unfinished(&mut self) {
        self.jobs.cached_stages.retain(|_, k| k.stage != StoredStage::Accepted);
    }

    /// Reads unknown jobs, a few at a time.
    pub(crate) fn read_unknown_jobs(&mut self) {
        if !self.holds_lease()
            || self.machines.cancellations.reading >= READS
            || self.context.now < self.machines.cancellations.read_at
        {
            return;
        }
        while let Some(id) = self.machines.cancellations.unknown.pop_first() {
            if self.jobs.cached_stages.contains_key(&id) {
                continue;
            }
            self.machines.cancellations.reading += 1;
            self.machines.cancellations.read_at = self.context.now + READ_EVERY;
            let key = job::job_key(&id);
            return self
                .context
                .call_store(MachinesCall::ReadUnknown { job: id }, KvRequest::Get(key));
        }
    }

    pub(crate) fn unknown_read(&mut self, id: &str, reply: &KvResponse) {
        self.machines.cancellations.reading = self.machines.cancellations.reading.saturating_sub(1);
        self.read_record(id, reply);
    }

    /// A cancellation was confirmed here: peers are told now, and again until each
    /// is known to have received it.
    pub(crate) fn announce_cancelled(&mut self, id: &str, revision: u64) {
        self.changes.cancelled.push(id.to_string());
        let until =
            self.context.now + Micros::from_secs_f64(self.context.settings.workers.cancel_s);
        self.machines.cancellations.repeated.insert(id.to_string(), (revision, until));
    }

    /// Cancellations to be told once more.
    pub(crate) fn cancellations_to_repeat(&mut self) -> Vec<String> {
        let now = self.context.now;
        let watched = self.peers.by_member.values().map(|p| p.watched).min().unwrap_or(u64::MAX);
        self.machines
            .cancellations
            .repeated
            .retain(|_, (revision, until)| *revision > watched && now < *until);
        self.machines.cancellations.repeated.keys().take(MOST_REPEATED).cloned().collect()
    }

    /// A peer says that it has confirmed a cancellation.
    pub(crate) fn apply_peer_cancellation(&mut self, id: &str) {
        let cancelled = StoredStage::Cancelled;
        let known = match self.jobs.cached_stages.get(id).copied() {
            Some(known) => CachedStage { stage: cancelled, revision: 0, ..known },
            // Which shard runs it does not matter any more.
            None => CachedStage { stage: cancelled, shard: usize::MAX, tasks: 0, revision: 0 },
        };
        self.cache_stage(id, known);
        self.job_cancelled(id);
    }
}
