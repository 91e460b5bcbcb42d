//! Incarnations of a machine's worker: when one begins, and when it has definitely ended.

use super::ManagedMachine;
use crate::time::Micros;
use crate::wire::WorkerIncarnation;

impl ManagedMachine {
    /// Whether the newest observed incarnation may still run tasks.
    pub(crate) fn has_live_incarnation(&self) -> bool {
        self.incarnation > self.last_ended_incarnation
    }

    /// Begins a new incarnation that a heartbeat shows; all earlier ones have ended.
    pub(super) fn begin_incarnation(&mut self, now: Micros, incarnation: WorkerIncarnation) {
        self.clear_incarnation();
        self.incarnation = incarnation;
        self.incarnation_since = now;
        self.last_ended_incarnation =
            self.last_ended_incarnation.max(WorkerIncarnation(incarnation.0 - 1));
        self.heartbeat_under_term = false;
    }

    /// Clears the state that belonged to an incarnation that has ended.
    fn clear_incarnation(&mut self) {
        self.tasks.clear();
        self.starts.clear();
        self.stops_sent.clear();
        self.message_seq = 0;
    }

    /// The last moment at which any controller may have answered a heartbeat of this machine.
    /// This process acquired the machine's shard at `shard_acquired_at`; no earlier leader has
    /// answered since.
    pub(crate) fn last_answered_at(&self, shard_acquired_at: Micros) -> Micros {
        self.answered_at.unwrap_or(shard_acquired_at).max(shard_acquired_at)
    }

    /// Ends the incarnation if its lease has definitely expired, so that all its tasks are
    /// gone. Returns whether the state changed. `last_answered_at` is the last moment at which
    /// any controller may have answered a heartbeat; `worker_lease` is the longest time that a
    /// lease may last by this process's clock. An incarnation that was first observed after
    /// `last_answered_at`, in the response to a direct command, has a full lease of its own: it
    /// began at most a moment before it was observed. A machine without any heartbeat under
    /// this term is marked as expired instead.
    pub fn expire_incarnation(
        &mut self,
        now: Micros,
        last_answered_at: Micros,
        worker_lease: Micros,
    ) -> bool {
        if now <= last_answered_at.max(self.incarnation_since) + worker_lease {
            return false;
        }
        if self.has_live_incarnation() {
            self.last_ended_incarnation = self.incarnation;
            self.heartbeat_under_term = false;
            self.clear_incarnation();
            return true;
        }
        if self.incarnation == WorkerIncarnation::NONE && !self.expired_without_heartbeat {
            self.expired_without_heartbeat = true;
            return true;
        }
        false
    }
}
