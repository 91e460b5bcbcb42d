//! Handover of shards: failback to the home member, release, and stepping down.

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
    /// Begins the failback of a shard once its home member has been healthy for longer than
    /// `failback_delay`.
    pub(crate) fn begin_failback_if_due(&mut self, shard: usize, peers: &Peers, context: &Context) {
        let delay = context.options.failback_delay;
        if shard == context.local_member
            || !peers.healthy_for_longer_than(shard, delay, context.now)
        {
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

    /// Begins the handover of a led shard, after which this process or another leads it under a new
    /// term.
    pub(crate) fn begin_handover(&mut self, shard: usize) {
        if let Some(leadership) = &mut self.shards[shard].leadership
            && leadership.recovered
            && !leadership.handing_over
        {
            info!("shard {shard}: handed over, since a new term is due");
            leadership.handing_over = true;
        }
    }

    /// Begins the handover of all led shards.
    pub(crate) fn begin_handover_of_all(&mut self) {
        for leadership in self.shards.iter_mut().filter_map(|shard| shard.leadership.as_mut()) {
            leadership.handing_over = true;
        }
    }

    /// Ends the leadership of a shard and its recovery. Returns the leadership, `None` if the shard
    /// was not led.
    fn end_leading(&mut self, shard: usize) -> Option<ShardLeadership> {
        let leadership = self.shards[shard].leadership.take()?;
        self.recoveries.remove(&shard);
        self.unlisted_jobs.forget_shard(shard);
        Some(leadership)
    }

    /// Handles the reply to the release of a shard. Whatever the outcome, the stored leases are
    /// read again and determine who leads the shard.
    pub(crate) fn release_reply(&mut self, shard: usize) {
        self.shards[shard].transaction_in_flight = false;
        self.shards_up_to_date = false;
    }
}

impl Controller {
    /// Releases a shard that is being handed over, once no write of its jobs is in flight.
    pub(crate) fn finish_handover(&mut self, shard: usize) {
        let Some(leadership) = self.leadership.led_shard(shard).filter(|led| led.handing_over)
        else {
            return;
        };
        if self.jobs.by_id.values().any(|j| j.shard == shard && j.store_call_in_flight) {
            return;
        }
        let release = Shard::release(shard, leadership.revision);
        // Stop leading before the release can be applied, and do not resume whatever the reply
        // is: the release may be applied late.
        self.step_down(shard, "handed over");
        self.leadership.shards[shard].transaction_in_flight = true;
        self.context.call_store(LeadershipCall::Release { shard }, KvRequest::Txn(release));
    }

    /// Handles a transaction that failed because the revision of the shard's lease has changed;
    /// `term` is the one under which it was sent.
    pub(crate) fn lease_revision_changed(&mut self, shard: usize, term: u64) {
        if self.leadership.leads_under(shard, term) {
            self.step_down(shard, "the revision of its lease has changed");
        }
        self.leadership.shards_up_to_date = false;
    }

    /// Stops leading a shard and drops all state that belongs to it.
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

    /// Handles the expiry of the controller lease: the store no longer has it, nor any shard lease
    /// attached to it.
    pub(crate) fn controller_lease_expired(&mut self) {
        warn!("the controller lease has expired");
        self.leadership.controller_lease.expire(self.context.now);
        for shard in 0..self.leadership.shard_count() {
            self.step_down(shard, "the controller lease has expired");
        }
        self.leadership.shards_up_to_date = false;
    }
}
