//! Whether a machine reports in time, receives commands, and completes what it starts.

use super::ManagedMachine;
use crate::time::Micros;
use crate::wire::WorkerIncarnation;
use std::collections::BTreeMap;

/// A machine's failures since its last success, and its quarantine because of them.
#[derive(Debug, Clone, Default)]
pub(crate) struct FailureRecord {
    /// Jobs whose tasks failed here since the last success, and how many of each.
    pub(crate) failures_by_job: BTreeMap<String, u32>,
    /// Since when it is in quarantine, if it is.
    quarantined_since: Option<Micros>,
}

impl FailureRecord {
    /// A task of the job has failed here.
    pub(crate) fn failed(&mut self, job: &str) {
        *self.failures_by_job.entry(job.to_string()).or_insert(0) += 1;
    }

    /// A task has completed here: what failed before says nothing of the machine.
    pub(crate) fn completed(&mut self) {
        self.failures_by_job.clear();
    }

    /// Begins or ends the quarantine. Returns whether it has begun.
    pub(crate) fn set_quarantine(&mut self, now: Micros, quarantined: bool) -> bool {
        if !quarantined {
            self.quarantined_since = None;
            return false;
        }
        let begins = self.quarantined_since.is_none();
        self.quarantined_since.get_or_insert(now);
        begins
    }

    /// Whether it has been in quarantine for longer than `duration`.
    pub(crate) fn quarantined_longer_than(&self, now: Micros, duration: Micros) -> bool {
        self.quarantined_since.is_some_and(|since| now.since(since) > duration)
    }
}

impl ManagedMachine {
    /// Judges, after a heartbeat was applied, whether the machine receives commands;
    /// `incarnation_before` is the one known until then.
    ///
    /// An answered heartbeat is no proof that the answer was received. An incarnation that
    /// ended although heartbeats were answered a moment ago proves the contrary; such a
    /// machine begins one incarnation after the other, and always seems to be free.
    pub fn update_responsiveness(
        &mut self,
        now: Micros,
        incarnation_before: WorkerIncarnation,
        worker_lease: Micros,
    ) {
        if self.incarnation > incarnation_before {
            let half_lease = Micros(worker_lease.0 / 2);
            let answered_lately = self.answered_at.is_some_and(|at| now.since(at) < half_lease);
            self.unresponsive |= incarnation_before > WorkerIncarnation::NONE && answered_lately;
        } else if now.since(self.incarnation_since) > Micros(worker_lease.0 * 2) {
            // An incarnation that lasts has received answers. Twice the lease, since
            // what arrives may have been sent long ago.
            self.unresponsive = false;
        }
    }

    /// Whether its heartbeats arrive in time and are answered: a machine that only direct
    /// commands reach loses all its tasks when its lease expires. `last_answered_at` as for
    /// [`ManagedMachine::expire_incarnation`].
    pub fn reports_in_time(
        &self,
        now: Micros,
        last_answered_at: Micros,
        heartbeat_timeout: Micros,
    ) -> bool {
        self.heard_within(now, heartbeat_timeout) && now.since(last_answered_at) < heartbeat_timeout
    }

    fn heard_within(&self, now: Micros, heartbeat_timeout: Micros) -> bool {
        self.last_heartbeat_at.is_some_and(|at| now.since(at) < heartbeat_timeout)
    }
}
