//! Handling of the cloud's replies, and of the key-value store's about machine types.

use super::machine_offer::MachineOffer;
use super::machine_types::MACHINE_TYPES_KEY;
use super::{AUTOSCALER_SHARD, Autoscaler};
use crate::cloud::{CloudCall, CloudReply};
use crate::controller::Controller;
use crate::controller::calls::AutoscalerCall;
use crate::kv_store::{KvRequest, KvResponse};
use crate::time::Micros;
use crate::wire::{ListedMachine, MachineStage, MachineType};
use log::{info, warn};

/// Share of the cloud's request rate that scale-out requests may use; the rest is for lists and
/// removals.
const SCALE_OUT_RATE_SHARE: f64 = 0.6;
/// Interval after which a scale-out request with an unknown outcome is repeated.
const SCALE_OUT_RETRY_INTERVAL: Micros = Micros::millis(1_500);

/// Times that the outcome of a scale-out request sets.
struct ScaleOutTimes {
    now: Micros,
    /// Earliest time of the next plan.
    next_plan_at: Micros,
    /// Until when an offer for which the cloud lacked capacity is not requested again.
    exhausted_until: Micros,
}

impl Autoscaler {
    /// Applies the reply to the pending scale-out request.
    fn scale_out_reply(&mut self, reply: CloudReply, times: ScaleOutTimes) {
        let Some(pending) = &mut self.scale_out else {
            return;
        };
        pending.in_flight = false;
        let request = &pending.request;
        let offer = MachineOffer::of_request(request);
        match reply {
            CloudReply::ScaledOut(machines) => {
                let names = machines.join(" ");
                info!("scaled out by {} of {}: {names}", machines.len(), request.count);
                if machines.len() < request.count as usize {
                    self.fleet.set_exhausted(offer, times.exhausted_until);
                }
                self.fleet.add_requested(times.now, request, machines);
            }
            CloudReply::NoCapacity => self.fleet.set_exhausted(offer, times.exhausted_until),
            _ => {
                pending.repeat_at = times.now + SCALE_OUT_RETRY_INTERVAL;
                return;
            }
        }
        self.scale_out = None;
        self.next_plan_at = times.next_plan_at;
    }
}

impl Controller {
    /// Handles a reply of the cloud.
    pub(crate) fn cloud_reply(&mut self, call: AutoscalerCall, reply: CloudReply) {
        // A reply ends its request whether or not the controller lease is valid at the moment. If
        // the lease becomes valid again under the same term, nothing else would end the request.
        let leads_under = |term: u64| self.leadership.leads_under(AUTOSCALER_SHARD, term);
        match (call, reply) {
            (AutoscalerCall::ListMachineTypes, CloudReply::MachineTypes(types)) => {
                self.apply_machine_types(types);
            }
            (AutoscalerCall::ListMachineTypes, _) => {
                if self.autoscaler.machine_types.request_failed(self.context.now) {
                    let call = KvRequest::Get(MACHINE_TYPES_KEY.into());
                    self.context.call_store(AutoscalerCall::ReadStoredMachineTypes, call);
                }
            }
            (AutoscalerCall::ScaleOut { term }, reply) => {
                if leads_under(term) {
                    self.scale_out_reply(reply);
                }
            }
            (AutoscalerCall::ScaleIn { machines }, CloudReply::ScaledIn) => {
                // The machines, and all tasks on them, have ended.
                for machine in machines {
                    self.changes.terminated.push(machine.clone());
                    self.machine_terminated(&machine);
                    self.autoscaler.fleet.forget(&machine);
                }
            }
            (AutoscalerCall::ScaleIn { machines }, _) => {
                self.autoscaler.fleet.removal_failed(&machines);
            }
            (AutoscalerCall::ListMachines { requested_at, term }, reply) => {
                if leads_under(term) {
                    self.list_reply(requested_at, term, reply);
                }
            }
            (call, reply) => warn!("unexpected cloud reply {reply:?} to {call:?}"),
        }
    }

    /// Handles a reply of the key-value store about machine types.
    pub(crate) fn stored_machine_types_reply(&mut self, call: AutoscalerCall, reply: KvResponse) {
        let machine_types = &mut self.autoscaler.machine_types;
        match (call, reply) {
            (AutoscalerCall::ReadStoredMachineTypes, reply) => {
                let item = if let KvResponse::Value(item) = reply { item } else { None };
                if let Some(types) = machine_types.stored_types_read(item) {
                    self.apply_machine_types(types);
                }
            }
            (AutoscalerCall::StoreMachineTypes, KvResponse::Applied(_)) => {}
            // The write is retried with the next plan.
            _ => machine_types.storing_failed(),
        }
    }

    /// Replaces the machine types and prices. Requests a scheduling pass and marks all managed
    /// machines as changed, since capacities and commands depend on the types.
    fn apply_machine_types(&mut self, types: Vec<MachineType>) {
        self.autoscaler.machine_types.replace(types);
        self.scheduler.request_pass();
        self.changes.machines.extend(self.machines.managed().keys().cloned());
    }

    fn scale_out_reply(&mut self, reply: CloudReply) {
        let now = self.context.now;
        let scale_out_rate = self.context.settings.cloud.rps * SCALE_OUT_RATE_SHARE;
        let times = ScaleOutTimes {
            now,
            next_plan_at: now + Micros::from_secs_f64(1.0 / scale_out_rate),
            exhausted_until: now + self.context.options.no_capacity_backoff,
        };
        self.autoscaler.scale_out_reply(reply, times);
    }

    fn list_reply(&mut self, requested_at: Micros, term: u64, reply: CloudReply) {
        let CloudReply::Machines { machines, more } = reply else {
            return self.autoscaler.fleet.abort_listing();
        };
        let after = machines.last().filter(|_| more).map(|machine| machine.name.clone());
        let list = self.autoscaler.fleet.apply_page(machines, after.is_none());
        if let Some(list) = list {
            self.apply_machine_list(requested_at, list);
        } else if after.is_some() && self.autoscaler.fleet.is_listing() {
            let purpose = AutoscalerCall::ListMachines { requested_at, term };
            self.context.call_cloud(purpose, CloudCall::ListMachines { after });
        }
    }

    /// Applies a complete list of the machines, and handles those that are terminated or failed.
    fn apply_machine_list(&mut self, requested_at: Micros, mut list: Vec<ListedMachine>) {
        let has_failed = |machine: &ListedMachine| machine.stage == MachineStage::Failed;
        // Failed machines stay in the list until they are removed.
        list.retain(|listed| has_failed(listed) || !self.machines.is_terminated(&listed.name));
        let lag = Micros::from_secs_f64(self.context.settings.cloud.list_lag_s);
        let now = self.context.now;
        let mut terminated = self.autoscaler.fleet.apply_list(now, requested_at, &list, lag);
        terminated.extend(list.iter().filter(|m| has_failed(m)).map(|m| m.name.clone()));
        for name in terminated {
            if !self.machines.is_terminated(&name) {
                self.changes.terminated.push(name.clone());
                self.machine_terminated(&name);
            }
        }
    }
}
