//! Routes replies of the key-value store to the handlers of leadership calls.

use crate::controller::Controller;
use crate::controller::calls::{LeadershipCall, Watch};
use crate::controller::leadership::lease_renewal::RenewalOutcome;
use crate::kv_store::KvResponse;

impl Controller {
    /// Handles the reply to a call about leases, watches or recoveries.
    pub(crate) fn leadership_reply(&mut self, call: LeadershipCall, reply: KvResponse) {
        match call {
            LeadershipCall::GrantLease { sent_at } => {
                let held_before = self.holds_lease();
                self.leadership.controller_lease.grant_reply(sent_at, &reply, &self.context);
                self.leadership.lease_extended(self.context.now, held_before);
            }
            LeadershipCall::RenewLease { sent_at, epoch } => {
                let held_before = self.holds_lease();
                let lease = &mut self.leadership.controller_lease;
                let outcome = lease.renewal_reply(sent_at, epoch, &reply, &self.context);
                if outcome == RenewalOutcome::Expired {
                    self.controller_lease_expired();
                }
                self.leadership.lease_extended(self.context.now, held_before);
            }
            LeadershipCall::ListTerms => self.leadership.terms_reply(&reply, &mut self.context),
            LeadershipCall::ListLeases => {
                self.leadership.shard_list_in_flight = false;
                if let KvResponse::Page { items, revision, .. } = &reply {
                    self.leadership.shards_up_to_date = true;
                    self.observe_leases(items, *revision);
                }
            }
            LeadershipCall::StartWatch(watch) => self.watch_start_reply(watch, &reply),
            LeadershipCall::Watch(watch) => self.watch_reply(watch, reply),
            LeadershipCall::PollChanges { origin } => {
                // A failed poll is not retried: if polls fail, the watch fails too and is called
                // again. After a new start of the watch, later changes of the same jobs may have
                // been missed.
                if let KvResponse::WatchEvents { revision, events } = reply
                    && !self.leadership.is_outdated(origin)
                {
                    self.apply_events(Watch::Jobs, events);
                    self.leadership.watches.jobs_polled(revision, origin.sent_at);
                }
            }
            LeadershipCall::AcquireShard { shard, term, epoch } => {
                self.acquisition_reply(shard, term, epoch, &reply);
            }
            LeadershipCall::Release { shard } => self.leadership.release_reply(shard),
            LeadershipCall::ReadRecoveryPage { shard, term } => {
                self.recovery_page_reply(shard, term, reply);
            }
            LeadershipCall::ReadRecoveredRecord { shard, term, job, origin } => {
                self.recovery_record_reply(shard, term, &job, origin, reply);
            }
        }
    }
}
