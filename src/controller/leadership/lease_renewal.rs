//! Grant and renewal of this process's lease at the key-value store.

use crate::controller::calls::LeadershipCall;
use crate::controller::context::Context;
use crate::controller::leadership::controller_lease::ControllerLease;
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;

/// Until the next request after a grant failed.
const GRANT_RETRY_DELAY: Micros = Micros::millis(300);
/// Until the next request after a renewal failed.
const RENEWAL_RETRY_DELAY: Micros = Micros::millis(200);

/// What a renewal's answer says of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RenewalOutcome {
    /// It is valid for longer, or as long as it was.
    Unchanged,
    /// The store does not have it any more.
    Expired,
}

impl ControllerLease {
    /// Requests a lease or its renewal when it is due.
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
                    LeadershipCall::GrantLease { sent: now },
                    KvRequest::GrantLease(ttl),
                );
            }
            Some(id) => {
                let purpose = LeadershipCall::RenewLease { sent: now, epoch: self.epoch };
                context.call_store(purpose, KvRequest::RenewLease(id));
            }
        }
    }

    /// A grant that was requested at `sent` was answered.
    pub(crate) fn grant_reply(&mut self, sent: Micros, reply: &KvResponse, context: &Context) {
        self.call_in_flight = false;
        match reply {
            KvResponse::LeaseGranted(id) => {
                self.grant(*id, sent, context.options.controller_lease);
            }
            _ => self.renew_at = context.now + GRANT_RETRY_DELAY,
        }
    }

    /// A renewal that was requested at `sent` was answered; `epoch` is that of the lease for
    /// which it was requested.
    pub(crate) fn renewal_reply(
        &mut self,
        sent: Micros,
        epoch: u64,
        reply: &KvResponse,
        context: &Context,
    ) -> RenewalOutcome {
        self.call_in_flight = false;
        if epoch != self.epoch {
            return RenewalOutcome::Unchanged;
        }
        match reply {
            KvResponse::LeaseRenewed => self.extend(sent, context.options.controller_lease),
            KvResponse::LeaseNotFound => return RenewalOutcome::Expired,
            _ => self.renew_at = context.now + RENEWAL_RETRY_DELAY,
        }
        RenewalOutcome::Unchanged
    }
}
