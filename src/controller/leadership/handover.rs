//! How a shard leaves this process: failback to its home, release, and what is forgotten.

use crate::controller::Controller;
use crate::controller::autoscaler::AUTOSCALER_SHARD;
use crate::controller::calls::LeadershipCall;
use crate::controller::context::Context;
use crate::controller::decision_log;
use crate::controller::leadership::Leadership;
use crate::controller::leadership::shard::{Shard, ShardLeadership};
use crate::controller::peers::Peers;
use crate::kv_store::KvRequest;
use log::{info, warn};

impl Leadership {
    /// Begins to hand a shard back once its home has been healthy for long enough.
    pub(crate) fn begin_failback_if_due(&mut self, shard: usize, peers: &Peers, context: &Context) {
        let delay = context.options.failback_delay;
        if shard == context.me || !peers.healthy_for_longer_than(shard, delay, context.now) {
            return;
        }
        if let Some(leadership) = &mut self.shards[shard].leadership
            && leadership.recovered
            && !leadership.handing_over
        {
            info!("shard {shard}: failback to {}", context.members[shard]);
            leadership.handing_over = true;
        }
    }

    /// Begins to hand over all shards.
    pub(crate) fn begin_handover_of_all(&mut self) {
        for leadership in self.shards.iter_mut().filter_map(|shard| shard.leadership.as_mut()) {
            leadership.handing_over = true;
        }
    }

    /// Ends leading a shard, if it was led, and gives what was known of its leadership.
    fn end_leading(&mut self, shard: usize) -> Option<ShardLeadership> {
        let leadership = self.shards[shard].leadership.take()?;
        self.recoveries.remove(&shard);
        Some(leadership)
    }

    /// A release of a shard was answered, whatever its outcome: what is stored decides.
    pub(crate) fn release_reply(&mut self, shard: usize) {
        self.shards[shard].transaction_in_flight = false;
        self.shards_read = false;
    }
}

impl Controller {
    /// Releases a shard that is handed over once no job of it is being written.
    pub(crate) fn finish_handover(&mut self, shard: usize) {
        let Some(leadership) = self.leadership.led_shard(shard).filter(|led| led.handing_over)
        else {
            return;
        };
        if self.jobs.by_id.values().any(|j| j.shard == shard && j.store_call_in_flight) {
            return;
        }
        let release = Shard::release(shard, leadership.revision);
        // It stops acting before the release can be applied, and does not
        // begin again whatever the answer: the outcome may come late.
        self.step_down(shard, "handed over");
        self.leadership.shards[shard].transaction_in_flight = true;
        self.context.call_store(LeadershipCall::Release { shard }, KvRequest::Txn(release));
    }

    /// A transaction under a term failed, since the revision of the shard's lease has changed.
    pub(crate) fn lease_revision_changed(&mut self, shard: usize, term: u64) {
        if self.leadership.leads_under(shard, term) {
            self.step_down(shard, "the revision of its lease has changed");
        }
        self.leadership.shards_read = false;
    }

    /// Stops leading a shard: all that belonged to it is forgotten.
    pub(crate) fn step_down(&mut self, shard: usize, reason: &str) {
        let Some(leadership) = self.leadership.end_leading(shard) else {
            return;
        };
        decision_log::leadership_lost(leadership.evidence(shard, self.context.now), reason);
        let shards = self.leadership.shard_count();
        self.jobs.forget_shard(shard);
        self.machines.forget_shard(shard, shards);
        if shard == AUTOSCALER_SHARD {
            self.autoscaler.leadership_lost();
        }
        self.changes.forget_shard(shard, shards);
    }

    /// The store does not have the controller lease any more, and so no shard lease of it.
    pub(crate) fn controller_lease_expired(&mut self) {
        warn!("the controller lease has expired");
        self.leadership.controller_lease.expire(self.context.now);
        for shard in 0..self.leadership.shard_count() {
            self.step_down(shard, "the controller lease has expired");
        }
        self.leadership.shards_read = false;
    }
}
