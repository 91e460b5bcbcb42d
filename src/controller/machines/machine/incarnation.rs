//! The incarnations of a machine's worker: when one begins, and when it is surely over.

use super::ManagedMachine;
use crate::time::Micros;
use crate::wire::WorkerIncarnation;

impl ManagedMachine {
    /// Whether the newest incarnation that is known may still run tasks.
    pub(crate) fn has_live_incarnation(&self) -> bool {
        self.incarnation > self.last_ended_incarnation
    }

    /// A heartbeat shows a new incarnation: the earlier ones are over.
    pub(super) fn begin_incarnation(&mut self, now: Micros, incarnation: WorkerIncarnation) {
        self.clear_incarnation();
        self.incarnation = incarnation;
        self.incarnation_since = now;
        self.last_ended_incarnation =
            self.last_ended_incarnation.max(WorkerIncarnation(incarnation.0 - 1));
        self.heartbeat_under_term = false;
    }

    /// Forgets what belonged to an incarnation that is over.
    fn clear_incarnation(&mut self) {
        self.tasks.clear();
        self.starts.clear();
        self.stops_sent.clear();
        self.message_seq = 0;
    }

    /// The last moment at which anybody may have answered a heartbeat of this machine, if
    /// its shard was acquired at `shard_acquired_at`: no earlier leader did after that.
    pub(crate) fn last_answered_at(&self, shard_acquired_at: Micros) -> Micros {
        self.answered_at.unwrap_or(shard_acquired_at).max(shard_acquired_at)
    }

    /// Ends the incarnation if it has been silent for longer than any lease: what ran there
    /// is gone. Returns whether that is news. `last_answered_at` is the last moment at which
    /// anybody may have answered a heartbeat. An incarnation that was shown later, in the
    /// response to a direct command, began at most a moment before and has its own full lease.
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
