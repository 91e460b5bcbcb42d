//! The load balancer's health check: whether users should be sent to this member.

use crate::controller::leadership::controller_lease;
use crate::controller::{Controller, Ticket};
use crate::wire::Refusal;
use log::info;
use serde_json::json;
use thiserror::Error;

/// Whether this member accepts users' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    /// Users may be sent here.
    Healthy,
    /// Users should not be sent here.
    Unhealthy(UnhealthyReason),
}

/// Why users should not be sent here. The texts are sent to the load balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum UnhealthyReason {
    /// Without machine types no submission can be checked.
    #[error("machine types are not known yet")]
    MachineTypesUnknown,
    /// The controller lease is valid, but no shard is served.
    #[error("no seat is held")]
    NoShardServed,
    /// The key-value store answers peers, but not this member.
    #[error("the state service is away from here alone")]
    StoreUnreachableHereOnly,
    /// The shards have never been read under a controller lease of this process.
    #[error("no state lease was held")]
    NeverHeldLease,
}

impl Controller {
    /// Whether users should be sent here. In an outage of the key-value store all members stay
    /// healthy, so that service resumes as soon as the store is back. A member that alone has
    /// lost the store, as the frames of its peers show, reports itself unhealthy.
    fn check_health(&self) -> Result<(), UnhealthyReason> {
        if self.autoscaler.machine_types.is_empty() {
            return Err(UnhealthyReason::MachineTypesUnknown);
        }
        if self.holds_lease() {
            let serves_any = (0..self.leadership.shard_count()).any(|s| self.serves_shard(s));
            return serves_any.then_some(()).ok_or(UnhealthyReason::NoShardServed);
        }
        // In an outage the members' leases expire at different times, up to one renewal
        // interval apart. Until that has passed, a peer that still holds its lease does not
        // prove that the store is reachable.
        let store_reached_by_peers = self.peers.live(self.context.now).any(|peer| peer.holds_lease);
        if store_reached_by_peers
            && self.context.now.since(self.leadership.lease_last_held_at())
                > controller_lease::renewal_interval(self.context.options.controller_lease)
        {
            return Err(UnhealthyReason::StoreUnreachableHereOnly);
        }
        let has_held_lease = self.leadership.is_initialized();
        has_held_lease.then_some(()).ok_or(UnhealthyReason::NeverHeldLease)
    }

    /// Answers a health check and logs a change of health.
    pub(crate) fn respond_health(&mut self, ticket: Ticket) {
        let health = self.check_health().map_or_else(Health::Unhealthy, |()| Health::Healthy);
        let changed = self.api.last_reported_health.replace(health) != Some(health);
        match health {
            Health::Healthy => {
                if changed {
                    info!("health: takes requests");
                }
                self.context.respond(ticket, 200, None, &json!({"healthy": true}));
            }
            Health::Unhealthy(reason) => {
                if changed {
                    info!("health: {reason}");
                }
                self.context.respond(ticket, 503, Some(1), &Refusal::new(&reason.to_string()));
            }
        }
    }
}
