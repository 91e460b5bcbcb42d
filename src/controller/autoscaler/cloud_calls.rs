//! Talking to the cloud: types, lists, rents and returns.

use crate::cloud::{CloudCall, CloudReply};
use crate::controller::Controller;
use crate::controller::autoscaler::planning::{
    self, AUTOSCALER_SHARD, FreeCapacity, RentedMachine,
};
use crate::controller::calls::AutoscalerCall;
use crate::controller::decision_log;
use crate::controller::leadership::shard;
use crate::kv_store::{KvRequest, KvResponse};
use crate::peer::Demand;
use crate::resources::Resources;
use crate::time::Micros;
use crate::wire::{
    Condition, ListedMachine, MachineStage, MachineType, ScaleOutRequest, Txn, Write,
};
use log::{info, warn};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Between lists of the machines.
const LIST_EVERY: Micros = Micros::millis(2_000);
/// Between plans.
const PLAN_EVERY: Micros = Micros::millis(1_000);
/// Part of the cloud's rate that requests for machines may take.
const SCALE_OUT_RATE_SHARE: f64 = 0.6;
/// Between looks at the types and their prices.
const TYPES_EVERY: Micros = Micros::secs(300);
/// Where the types are written down.
const TYPES_KEY: &str = "types";
/// A machine must have been spared by the placers for this long before it is
/// returned: a decision made before the news of it may still be on its way.
const DRAIN: Micros = Micros::secs(4);
/// A boot that takes longer than this many times its time is late: from then on the
/// machine is no longer counted on, and another is rented.
const LATE_BOOT: f64 = 2.0;
/// After this many times it is taken never to come up, and is returned: it takes a
/// place of the cloud's.
const LOST_BOOT: f64 = 3.3;
/// Part of the machines that may be replaced so at once: where all boots are late,
/// renting the fleet a second time would help nobody.
const REPLACED: usize = 4;

impl Controller {
    pub(crate) fn maintain_autoscaler(&mut self) {
        let now = self.context.now;
        // Every node needs the types, the renting one also their prices.
        let wait = if self.autoscaler.machine_types.is_empty() {
            Micros::millis(700)
        } else {
            TYPES_EVERY
        };
        if now >= self.autoscaler.fleet.types_at {
            self.autoscaler.fleet.types_at = now + wait;
            self.context.call_cloud(AutoscalerCall::Types, CloudCall::Types);
        }
        let Some(term) = self.leading_term(AUTOSCALER_SHARD) else {
            return;
        };
        if now >= self.autoscaler.fleet.list_at && self.autoscaler.fleet.listing.is_none() {
            // A page holds 500: more pages leave less of the rate for renting.
            let pages = self.autoscaler.fleet.machines.len() as u64 / 500 + 1;
            self.autoscaler.fleet.list_at = now + Micros(LIST_EVERY.0 * (pages + 1) / 2);
            self.autoscaler.fleet.listing = Some((now, Vec::new()));
            let op = AutoscalerCall::ListMachines { requested_at: now, term };
            self.context.call_cloud(op, CloudCall::List { after: None });
        }
        if self.autoscaler.fleet.request.is_some()
            && !self.autoscaler.fleet.busy
            && now >= self.autoscaler.fleet.request_at
        {
            self.send_scale_out(term);
        }
        if self.autoscaler.fleet.listed
            && !self.autoscaler.machine_types.is_empty()
            && now >= self.autoscaler.fleet.plan_at
        {
            self.autoscaler.fleet.plan_at = now + PLAN_EVERY;
            self.store_types();
            self.plan_scale_in();
            if self.autoscaler.fleet.request.is_none() {
                self.plan_scale_out(term);
            }
        }
    }

    fn send_scale_out(&mut self, term: u64) {
        if let Some(request) = self.autoscaler.fleet.request.clone() {
            self.autoscaler.fleet.busy = true;
            self.context
                .call_cloud(AutoscalerCall::ScaleOut { term }, CloudCall::ScaleOut(request));
        }
    }

    /// Everything that waits, here and at the peers.
    fn all_demand(&self) -> Vec<Demand> {
        let mut all = self.scheduler.demand(&self.scheduling_inputs());
        all.extend(self.peers_demand().cloned());
        all
    }

    fn plan_scale_out(&mut self, term: u64) {
        let now = self.context.now;
        let mut demand = self.all_demand();
        for d in &mut demand {
            // Spare room, so that what comes next finds a machine that is up.
            let spare = (f64::from(d.tasks) * self.context.options.spare_share).ceil();
            d.tasks = d.tasks.saturating_add(spare as u32);
        }
        self.refresh_capacity();
        let mut rooms: Vec<FreeCapacity> = self.scheduler.free_capacity();
        let mut replaced = self.autoscaler.fleet.machines.len() / REPLACED;
        for (name, m) in &self.autoscaler.fleet.machines {
            let up = self.machines.views.get(name).is_some_and(|v| v.known);
            if up
                || m.stage == MachineStage::Failed
                || self.autoscaler.fleet.draining.contains_key(name)
            {
                continue;
            }
            let late = m.stage != MachineStage::Running
                && now.since(m.since) > self.boot_limit(&m.machine_type, LATE_BOOT);
            if late && replaced > 0 {
                replaced -= 1;
                continue;
            }
            if let Some(t) = self.autoscaler.machine_types.get(&m.machine_type) {
                rooms.push(FreeCapacity {
                    machine_type: Rc::from(m.machine_type.as_str()),
                    zone: Rc::from(m.zone.as_str()),
                    spot: m.spot,
                    free: Resources::from(t),
                });
            }
        }
        let rest = planning::unmet(&demand, &mut rooms);
        let next = planning::next_request(
            &rest,
            &self.autoscaler.machine_types,
            &self.autoscaler.fleet.machines,
            &self.autoscaler.fleet.refused,
            now,
        );
        let Some(((machine_type, zone, spot), count)) = next else {
            return;
        };
        self.autoscaler.fleet.count += 1;
        // The term is this ownership's alone, so the name is, too.
        let request = format!("r-{AUTOSCALER_SHARD}-{term}-{}", self.autoscaler.fleet.count);
        self.counts.decisions.scale_out_requests += 1;
        let lease_left = self.leadership.controller_lease.valid_until.since(now);
        decision_log::scale_out(&request, AUTOSCALER_SHARD, term, lease_left);
        info!("renting {count} {machine_type} in {zone}, spot {spot}");
        self.autoscaler.fleet.request =
            Some(ScaleOutRequest { request, machine_type, zone, spot, count });
        self.send_scale_out(term);
    }

    /// So many times a machine type's boot time.
    fn boot_limit(&self, machine_type: &str, times: f64) -> Micros {
        let nominal = self.autoscaler.machine_types.get(machine_type).map_or(60.0, |t| t.boot_s);
        Micros::from_secs_f64(nominal * times)
    }

    fn plan_scale_in(&mut self) {
        let now = self.context.now;
        self.refresh_capacity();
        let idle = self.context.options.idle;
        let waiting = !self.all_demand().is_empty();
        let mut drain: Vec<String> = Vec::new();
        let mut give: Vec<String> = Vec::new();
        let limit = |t: &String| (t.clone(), self.boot_limit(t, LOST_BOOT));
        let limits: BTreeMap<String, Micros> =
            self.autoscaler.machine_types.keys().map(limit).collect();
        for (name, m) in &mut self.autoscaler.fleet.machines {
            let view = self.machines.views.get(name);
            let never_up = view.is_none()
                && m.stage != MachineStage::Running
                && now.since(m.since) > limits.get(&m.machine_type).copied().unwrap_or(Micros::FAR);
            if m.stage == MachineStage::Failed || never_up {
                give.push(name.clone());
                continue;
            }
            let busy = view.is_some_and(|v| v.tasks.iter().any(|t| !t.observed().over()))
                || self.scheduler.machine_capacity(name).is_some_and(|s| !s.tasks.is_empty());
            if view.is_some_and(|v| v.faulty) {
                drain.push(name.clone());
            }
            let known = view.is_some_and(|v| v.known && v.healthy);
            if busy || waiting || !known {
                m.idle_since = None;
            } else if now.since(*m.idle_since.get_or_insert(now)) > idle {
                drain.push(name.clone());
            }
            if self.autoscaler.fleet.draining.get(name).is_some_and(|at| now.since(*at) > DRAIN)
                && !busy
            {
                give.push(name.clone());
            }
        }
        for name in drain {
            if !self.autoscaler.fleet.draining.contains_key(&name) {
                info!("machine {name} is to be returned");
                self.autoscaler.fleet.draining.insert(name.clone(), now);
                self.scheduler.mark_stale(&name);
                self.autoscaler.draining.insert(name);
            }
        }
        give.retain(|n| !self.autoscaler.fleet.returning.contains(n));
        give.truncate(20);
        if !give.is_empty() {
            self.autoscaler.fleet.returning.extend(give.iter().cloned());
            self.counts.decisions.machines_scaled_in += give.len() as u64;
            let term = self.leading_term(AUTOSCALER_SHARD);
            for name in &give {
                let tasks = self.machines.views.get(name).map_or(0, |view| view.tasks.len());
                decision_log::scale_in(name, AUTOSCALER_SHARD, term, tasks);
            }
            self.context.call_cloud(
                AutoscalerCall::ScaleIn { names: give.clone() },
                CloudCall::ScaleIn(give),
            );
        }
    }

    pub(crate) fn cloud_reply(&mut self, op: AutoscalerCall, reply: CloudReply) {
        let now = self.context.now;
        match (op, reply) {
            (AutoscalerCall::Types, CloudReply::Types(types)) => {
                self.take_types(types);
            }
            (AutoscalerCall::Types, _) => {
                self.autoscaler.fleet.types_at = now + Micros::secs(1);
                if self.autoscaler.machine_types.is_empty() && !self.autoscaler.types_reading {
                    self.autoscaler.types_reading = true;
                    self.context
                        .call_store(AutoscalerCall::StoredTypes, KvRequest::Get(TYPES_KEY.into()));
                }
            }
            (AutoscalerCall::ScaleOut { term }, reply) => {
                if self.leading_term(AUTOSCALER_SHARD) == Some(term) {
                    self.scale_out_reply(reply);
                }
            }
            (AutoscalerCall::ScaleIn { names }, CloudReply::ScaledIn) => {
                // By now the machines and everything on them are gone.
                for name in names {
                    self.changes.terminated.push(name.clone());
                    self.machine_terminated(&name);
                    self.autoscaler.fleet.forget(&name);
                }
            }
            (AutoscalerCall::ScaleIn { names }, _) => {
                for name in names {
                    self.autoscaler.fleet.returning.remove(&name);
                }
            }
            (AutoscalerCall::ListMachines { requested_at, term }, reply) => {
                if self.leading_term(AUTOSCALER_SHARD) == Some(term) {
                    self.list_reply(requested_at, term, reply);
                }
            }
            (op, _) => warn!("unexpected reply to {op:?}"),
        }
    }

    fn take_types(&mut self, types: Vec<MachineType>) {
        if self.autoscaler.machine_types.is_empty() {
            info!("{} machine types known", types.len());
        }
        self.autoscaler.machine_types = types.into_iter().map(|t| (t.name.clone(), t)).collect();
        self.scheduler.request_pass();
        self.changes.machines.extend(self.machines.managed.keys().cloned());
    }

    /// Writes the types down, once a term of the renting shard: a process that
    /// starts while the cloud is away could otherwise accept and place nothing.
    fn store_types(&mut self) {
        let Some(leadership) = self.leadership.shards[AUTOSCALER_SHARD]
            .leadership
            .as_ref()
            .filter(|_| self.holds_lease())
        else {
            return;
        };
        let (revision, term) = (leadership.revision, leadership.term);
        let list: Vec<&MachineType> = self.autoscaler.machine_types.values().collect();
        let value = serde_json::json!(list);
        let most = self.context.settings.state.value_kb * 1024.0;
        if self.autoscaler.types_stored == term || value.to_string().len() as f64 > most {
            return;
        }
        self.autoscaler.types_stored = term;
        let txn = Txn {
            conditions: vec![Condition { key: shard::lease_key(AUTOSCALER_SHARD), revision }],
            writes: vec![Write::Put { key: TYPES_KEY.into(), value, lease: None }],
        };
        self.context.call_store(AutoscalerCall::StoreTypes, KvRequest::Txn(txn));
    }

    pub(crate) fn types_reply(&mut self, op: AutoscalerCall, reply: KvResponse) {
        match (op, reply) {
            (AutoscalerCall::StoredTypes, KvResponse::Value(Some(item))) => {
                self.autoscaler.types_reading = false;
                // What the cloud itself said meanwhile is newer.
                if self.autoscaler.machine_types.is_empty()
                    && let Ok(types) = serde_json::from_value(item.value)
                {
                    self.take_types(types);
                }
            }
            (AutoscalerCall::StoredTypes, _) => self.autoscaler.types_reading = false,
            (AutoscalerCall::StoreTypes, KvResponse::Applied(_)) => {}
            // Tried again with the next plan.
            _ => self.autoscaler.types_stored = 0,
        }
    }

    /// Between requests for machines: lists and returns keep a good part of the
    /// cloud's rate.
    fn scale_out_pause(&self) -> Micros {
        Micros::from_secs_f64(1.0 / (self.context.settings.cloud.rps * SCALE_OUT_RATE_SHARE))
    }

    fn scale_out_reply(&mut self, reply: CloudReply) {
        let now = self.context.now;
        self.autoscaler.fleet.busy = false;
        let Some(request) = self.autoscaler.fleet.request.clone() else {
            return;
        };
        let offer = (request.machine_type.clone(), request.zone.clone(), request.spot);
        match reply {
            CloudReply::ScaledOut(names) => {
                info!("rented {} of {}: {}", names.len(), request.count, names.join(" "));
                if names.len() < request.count as usize {
                    self.autoscaler.fleet.refused.insert(offer, now + self.context.options.refused);
                }
                for name in names {
                    self.autoscaler.fleet.machines.entry(name).or_insert_with(|| RentedMachine {
                        machine_type: request.machine_type.clone(),
                        zone: request.zone.clone(),
                        spot: request.spot,
                        stage: MachineStage::Booting,
                        since: now,
                        listed: None,
                        idle_since: None,
                    });
                }
                self.autoscaler.fleet.request = None;
                self.autoscaler.fleet.plan_at = now + self.scale_out_pause();
            }
            CloudReply::NoCapacity => {
                self.autoscaler.fleet.refused.insert(offer, now + self.context.options.refused);
                self.autoscaler.fleet.request = None;
                self.autoscaler.fleet.plan_at = now + self.scale_out_pause();
            }
            // Repeated under its name until it is known what became of it:
            // under another name it could rent twice.
            _ => self.autoscaler.fleet.request_at = now + Micros::millis(1_500),
        }
    }

    fn list_reply(&mut self, requested_at: Micros, term: u64, reply: CloudReply) {
        let now = self.context.now;
        let Some((_, mut list)) = self.autoscaler.fleet.listing.take() else {
            return;
        };
        let CloudReply::Page { machines, more } = reply else {
            return;
        };
        let last = machines.last().map(|m| m.name.clone());
        list.extend(machines);
        if let (true, Some(after)) = (more, last) {
            self.autoscaler.fleet.listing = Some((requested_at, list));
            let op = AutoscalerCall::ListMachines { requested_at, term };
            return self.context.call_cloud(op, CloudCall::List { after: Some(after) });
        }
        // Failed machines stay listed until they are deleted.
        list.retain(|m| {
            m.stage == MachineStage::Failed || !self.machines.terminated.contains(&m.name)
        });
        let lag = Micros::from_secs_f64(self.context.settings.cloud.list_lag_s);
        let mut terminated = self.autoscaler.fleet.take_list(now, requested_at, &list, lag);
        terminated.extend(failed(&list));
        for name in terminated {
            if !self.machines.terminated.contains(&name) {
                self.changes.terminated.push(name.clone());
                self.machine_terminated(&name);
            }
        }
    }
}

fn failed(list: &[ListedMachine]) -> impl Iterator<Item = String> {
    list.iter().filter(|m| m.stage == MachineStage::Failed).map(|m| m.name.clone())
}

/// What a status page tells of the fleet.
impl planning::Fleet {
    /// Machines by stage.
    pub fn stages(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for m in self.machines.values() {
            let word = match m.stage {
                MachineStage::Booting => "booting",
                MachineStage::Running => "running",
                MachineStage::Failed => "failed",
                MachineStage::Other => "other",
            };
            *counts.entry(word).or_insert(0) += 1;
        }
        counts
    }
}
