//! Health of a machine: whether it reports in time, receives commands, and completes the tasks
//! that it starts.

use super::ManagedMachine;
use crate::time::Micros;
use crate::wire::WorkerIncarnation;
use std::collections::BTreeMap;

/// Failures of a machine since its last success, and the quarantine that results from them.
#[derive(Debug, Clone, Default)]
pub(crate) struct FailureRecord {
    /// Number of failed tasks since the last success, by job.
    pub(crate) failures_by_job: BTreeMap<String, u32>,
    /// When the quarantine began; `None` if the machine is not in quarantine.
    quarantined_since: Option<Micros>,
}

impl FailureRecord {
    /// Records that a task of the job failed on the machine.
    pub(crate) fn record_failure(&mut self, job: &str) {
        *self.failures_by_job.entry(job.to_string()).or_insert(0) += 1;
    }

    /// Records that a task completed on the machine. Clears the earlier failures, which are no
    /// longer evidence against the machine.
    pub(crate) fn record_success(&mut self) {
        self.failures_by_job.clear();
    }

    /// Begins, continues or ends the quarantine. Returns true only if it begins now.
    pub(crate) fn set_quarantine(&mut self, now: Micros, quarantined: bool) -> bool {
        if !quarantined {
            self.quarantined_since = None;
            return false;
        }
        let begins = self.quarantined_since.is_none();
        self.quarantined_since.get_or_insert(now);
        begins
    }

    /// Whether the machine has been in quarantine for longer than `duration`.
    pub(crate) fn quarantined_longer_than(&self, now: Micros, duration: Micros) -> bool {
        self.quarantined_since.is_some_and(|since| now.since(since) > duration)
    }
}

impl ManagedMachine {
    /// Updates, after a heartbeat was applied, whether the machine counts as unresponsive, that
    /// is, whether it does not receive commands. `incarnation_before` is the incarnation that
    /// was known before the heartbeat.
    ///
    /// An answered heartbeat does not prove that the worker received the response. If an
    /// incarnation ends although its heartbeats were answered shortly before, the responses did
    /// not arrive. Such a machine begins one incarnation after another and always seems to be
    /// free.
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
            // An incarnation that lasts longer than its lease has received responses. Twice the
            // lease is required because the heartbeat may have been in transit for long.
            self.unresponsive = false;
        }
    }

    /// Whether its heartbeats arrive in time and are answered. Both are required: a machine that
    /// is only reached by direct commands loses all its tasks when its lease expires.
    /// `last_answered_at` has the same meaning as in [`ManagedMachine::expire_incarnation`].
    pub fn reports_in_time(
        &self,
        now: Micros,
        last_answered_at: Micros,
        heartbeat_timeout: Micros,
    ) -> bool {
        self.heartbeat_received_within(now, heartbeat_timeout)
            && now.since(last_answered_at) < heartbeat_timeout
    }

    fn heartbeat_received_within(&self, now: Micros, heartbeat_timeout: Micros) -> bool {
        self.last_heartbeat_at.is_some_and(|at| now.since(at) < heartbeat_timeout)
    }
}
