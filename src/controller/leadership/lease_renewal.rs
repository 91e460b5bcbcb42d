//! Grant and renewal of the controller lease.

use crate::controller::calls::LeadershipCall;
use crate::controller::context::Context;
use crate::controller::leadership::controller_lease::ControllerLease;
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;

/// Delay before the next request after a failed grant.
const GRANT_RETRY_DELAY: Micros = Micros::millis(300);
/// Delay before the next request after a failed renewal.
const RENEWAL_RETRY_DELAY: Micros = Micros::millis(200);

/// What the reply to a renewal says about the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RenewalOutcome {
    /// The lease was extended, or the reply is an error or belongs to another epoch.
    NotExpired,
    /// The store no longer has the lease.
    Expired,
}

impl ControllerLease {
    /// Requests a lease, or its renewal, if due.
    pub(crate) fn renew_if_due(&mut self, context: &mut Context) {
        let now = context.now;
        if self.call_in_flight || now < self.renew_at {
            return;
        }
        self.call_in_flight = true;
        match self.id {
            None => {
                let ttl = context.options.controller_lease;
                context.call_store(
                    LeadershipCall::GrantLease { sent_at: now },
                    KvRequest::GrantLease(ttl),
                );
            }
            Some(id) => {
                let purpose = LeadershipCall::RenewLease { sent_at: now, epoch: self.epoch };
                context.call_store(purpose, KvRequest::RenewLease(id));
            }
        }
    }

    /// Handles the reply to a grant that was requested at `sent_at`.
    pub(crate) fn grant_reply(&mut self, sent_at: Micros, reply: &KvResponse, context: &Context) {
        self.call_in_flight = false;
        match reply {
            KvResponse::LeaseGranted(id) => {
                self.grant(*id, sent_at, context.options.controller_lease);
            }
            _ => self.renew_at = context.now + GRANT_RETRY_DELAY,
        }
    }

    /// Handles the reply to a renewal that was requested at `sent_at` for the lease of `epoch`. A
    /// reply for another epoch changes nothing.
    pub(crate) fn renewal_reply(
        &mut self,
        sent_at: Micros,
        epoch: u64,
        reply: &KvResponse,
        context: &Context,
    ) -> RenewalOutcome {
        self.call_in_flight = false;
        if epoch != self.epoch {
            return RenewalOutcome::NotExpired;
        }
        match reply {
            KvResponse::LeaseRenewed => self.extend(sent_at, context.options.controller_lease),
            KvResponse::LeaseNotFound => return RenewalOutcome::Expired,
            _ => self.renew_at = context.now + RENEWAL_RETRY_DELAY,
        }
        RenewalOutcome::NotExpired
    }
}
