//! Talking to the cloud: types, lists, rents and returns.

use super::fleet::{self, RENTING_SHARD, Rented, Room};
use super::{Controller, Op, shard};
use crate::cloud::{CloudCall, CloudReply};
use crate::kv_store::{KvRequest, KvResponse};
use crate::peer::Demand;
use crate::time::Micros;
use crate::wire::{Condition, ListedMachine, MachineStage, MachineType, RentRequest, Txn, Write};
use log::{info, warn};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Between lists of the machines.
const LIST_EVERY: Micros = Micros::millis(2_000);
/// Between plans.
const PLAN_EVERY: Micros = Micros::millis(1_000);
/// Part of the cloud's rate that requests for machines may take.
const RENT_SHARE: f64 = 0.6;
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
    pub(super) fn maintain_fleet(&mut self) {
        let now = self.now;
        // Every node needs the types, the renting one also their prices.
        let wait = if self.types.is_empty() { Micros::millis(700) } else { TYPES_EVERY };
        if now >= self.fleet.types_at {
            self.fleet.types_at = now + wait;
            self.cloud(Op::Types, CloudCall::Types);
        }
        let Some(term) = self.leading_term(RENTING_SHARD) else {
            return;
        };
        if now >= self.fleet.list_at && self.fleet.listing.is_none() {
            // A page holds 500: more pages leave less of the rate for renting.
            let pages = self.fleet.machines.len() as u64 / 500 + 1;
            self.fleet.list_at = now + Micros(LIST_EVERY.0 * (pages + 1) / 2);
            self.fleet.listing = Some((now, Vec::new()));
            let op = Op::ListMachines { asked: now, term };
            self.cloud(op, CloudCall::List { after: None });
        }
        if self.fleet.request.is_some() && !self.fleet.busy && now >= self.fleet.request_at {
            self.send_rent(term);
        }
        if self.fleet.listed && !self.types.is_empty() && now >= self.fleet.plan_at {
            self.fleet.plan_at = now + PLAN_EVERY;
            self.store_types();
            self.plan_returns();
            if self.fleet.request.is_none() {
                self.plan_rent(term);
            }
        }
    }

    fn send_rent(&mut self, term: u64) {
        if let Some(request) = self.fleet.request.clone() {
            self.fleet.busy = true;
            self.cloud(Op::Rent { term }, CloudCall::Rent(request));
        }
    }

    /// Everything that waits, here and at the peers.
    fn all_demand(&self) -> Vec<Demand> {
        let mut all = self.demand();
        for (n, p) in &self.peers {
            if self.peer_alive(*n) {
                all.extend(p.demand.iter().cloned());
            }
        }
        all
    }

    fn plan_rent(&mut self, term: u64) {
        let now = self.now;
        let mut demand = self.all_demand();
        for d in &mut demand {
            // Spare room, so that what comes next finds a machine that is up.
            let spare = (f64::from(d.tasks) * self.options.spare_share).ceil();
            d.tasks = d.tasks.saturating_add(spare as u32);
        }
        self.refresh_slots();
        let mut rooms: Vec<Room> = self.free_rooms();
        let mut replaced = self.fleet.machines.len() / REPLACED;
        for (name, m) in &self.fleet.machines {
            let up = self.views.get(name).is_some_and(|v| v.known);
            if up || m.stage == MachineStage::Failed || self.fleet.draining.contains_key(name) {
                continue;
            }
            let late = m.stage != MachineStage::Running
                && now.since(m.since) > self.boot_limit(&m.machine_type, LATE_BOOT);
            if late && replaced > 0 {
                replaced -= 1;
                continue;
            }
            if let Some(t) = self.types.get(&m.machine_type) {
                rooms.push(Room {
                    machine_type: Rc::from(m.machine_type.as_str()),
                    zone: Rc::from(m.zone.as_str()),
                    spot: m.spot,
                    free: [t.cpus, t.gpus, t.memory_gb],
                });
            }
        }
        let rest = fleet::unmet(&demand, &mut rooms);
        let next =
            fleet::next_request(&rest, &self.types, &self.fleet.machines, &self.fleet.refused, now);
        let Some(((machine_type, zone, spot), count)) = next else {
            return;
        };
        self.fleet.count += 1;
        // The term is this ownership's alone, so the name is, too.
        let request = format!("r-{RENTING_SHARD}-{term}-{}", self.fleet.count);
        self.note_rent(&request, term);
        info!("renting {count} {machine_type} in {zone}, spot {spot}");
        self.fleet.request = Some(RentRequest { request, machine_type, zone, spot, count });
        self.send_rent(term);
    }

    /// So many times a machine type's boot time.
    fn boot_limit(&self, machine_type: &str, times: f64) -> Micros {
        let nominal = self.types.get(machine_type).map_or(60.0, |t| t.boot_s);
        Micros::from_secs_f64(nominal * times)
    }

    fn plan_returns(&mut self) {
        let now = self.now;
        self.refresh_slots();
        let idle = self.options.idle;
        let waiting = !self.all_demand().is_empty();
        let mut drain: Vec<String> = Vec::new();
        let mut give: Vec<String> = Vec::new();
        let limit = |t: &String| (t.clone(), self.boot_limit(t, LOST_BOOT));
        let limits: BTreeMap<String, Micros> = self.types.keys().map(limit).collect();
        for (name, m) in &mut self.fleet.machines {
            let view = self.views.get(name);
            let never_up = view.is_none()
                && m.stage != MachineStage::Running
                && now.since(m.since) > limits.get(&m.machine_type).copied().unwrap_or(Micros::FAR);
            if m.stage == MachineStage::Failed || never_up {
                give.push(name.clone());
                continue;
            }
            let busy = view.is_some_and(|v| v.tasks.iter().any(|t| !t.observed().over()))
                || self
                    .slots
                    .id(name)
                    .and_then(|id| self.slots.get(id))
                    .is_some_and(|s| !s.tasks.is_empty());
            if view.is_some_and(|v| v.faulty) {
                drain.push(name.clone());
            }
            let known = view.is_some_and(|v| v.known && v.healthy);
            if busy || waiting || !known {
                m.idle_since = None;
            } else if now.since(*m.idle_since.get_or_insert(now)) > idle {
                drain.push(name.clone());
            }
            if self.fleet.draining.get(name).is_some_and(|at| now.since(*at) > DRAIN) && !busy {
                give.push(name.clone());
            }
        }
        for name in drain {
            if !self.fleet.draining.contains_key(&name) {
                info!("machine {name} is to be returned");
                self.fleet.draining.insert(name.clone(), now);
                self.touch_slot(&name);
                self.draining.insert(name);
            }
        }
        give.retain(|n| !self.fleet.returning.contains(n));
        give.truncate(20);
        if !give.is_empty() {
            self.fleet.returning.extend(give.iter().cloned());
            self.note_return(&give);
            self.cloud(Op::Return { names: give.clone() }, CloudCall::Return(give));
        }
    }

    pub(super) fn cloud_reply(&mut self, op: Op, reply: CloudReply) {
        let now = self.now;
        match (op, reply) {
            (Op::Types, CloudReply::Types(types)) => {
                self.take_types(types);
            }
            (Op::Types, _) => {
                self.fleet.types_at = now + Micros::secs(1);
                if self.types.is_empty() && !self.types_reading {
                    self.types_reading = true;
                    self.state(Op::StoredTypes, KvRequest::Get(TYPES_KEY.into()));
                }
            }
            (Op::Rent { term }, reply) => {
                if self.leading_term(RENTING_SHARD) == Some(term) {
                    self.rent_reply(reply);
                }
            }
            (Op::Return { names }, CloudReply::Returned) => {
                // By now the machines and everything on them are gone.
                for name in names {
                    self.changes.terminated.push(name.clone());
                    self.machine_terminated(&name);
                    self.fleet.forget(&name);
                }
            }
            (Op::Return { names }, _) => {
                for name in names {
                    self.fleet.returning.remove(&name);
                }
            }
            (Op::ListMachines { asked, term }, reply) => {
                if self.leading_term(RENTING_SHARD) == Some(term) {
                    self.list_reply(asked, term, reply);
                }
            }
            (op, _) => warn!("unexpected reply to {op:?}"),
        }
    }

    fn take_types(&mut self, types: Vec<MachineType>) {
        if self.types.is_empty() {
            info!("{} machine types known", types.len());
        }
        self.types = types.into_iter().map(|t| (t.name.clone(), t)).collect();
        self.place_wanted = true;
        self.changes.machines.extend(self.managed_machines.keys().cloned());
    }

    /// Writes the types down, once a term of the renting shard: a process that
    /// starts while the cloud is away could otherwise accept and place nothing.
    fn store_types(&mut self) {
        let Some(leadership) =
            self.shards[RENTING_SHARD].leadership.as_ref().filter(|_| self.holds_lease())
        else {
            return;
        };
        let (revision, term) = (leadership.revision, leadership.term);
        let list: Vec<&MachineType> = self.types.values().collect();
        let value = serde_json::json!(list);
        let most = self.settings.state.value_kb * 1024.0;
        if self.types_stored == term || value.to_string().len() as f64 > most {
            return;
        }
        self.types_stored = term;
        let txn = Txn {
            conditions: vec![Condition { key: shard::lease_key(RENTING_SHARD), revision }],
            writes: vec![Write::Put { key: TYPES_KEY.into(), value, lease: None }],
        };
        self.state(Op::StoreTypes, KvRequest::Txn(txn));
    }

    pub(super) fn types_reply(&mut self, op: Op, reply: KvResponse) {
        match (op, reply) {
            (Op::StoredTypes, KvResponse::Value(Some(item))) => {
                self.types_reading = false;
                // What the cloud itself said meanwhile is newer.
                if self.types.is_empty()
                    && let Ok(types) = serde_json::from_value(item.value)
                {
                    self.take_types(types);
                }
            }
            (Op::StoredTypes, _) => self.types_reading = false,
            (Op::StoreTypes, KvResponse::Applied(_)) => {}
            // Tried again with the next plan.
            _ => self.types_stored = 0,
        }
    }

    /// Between requests for machines: lists and returns keep a good part of the
    /// cloud's rate.
    fn rent_pause(&self) -> Micros {
        Micros::from_secs_f64(1.0 / (self.settings.cloud.rps * RENT_SHARE))
    }

    fn rent_reply(&mut self, reply: CloudReply) {
        let now = self.now;
        self.fleet.busy = false;
        let Some(request) = self.fleet.request.clone() else {
            return;
        };
        let offer = (request.machine_type.clone(), request.zone.clone(), request.spot);
        match reply {
            CloudReply::Rented(names) => {
                info!("rented {} of {}: {}", names.len(), request.count, names.join(" "));
                if names.len() < request.count as usize {
                    self.fleet.refused.insert(offer, now + self.options.refused);
                }
                for name in names {
                    self.fleet.machines.entry(name).or_insert_with(|| Rented {
                        machine_type: request.machine_type.clone(),
                        zone: request.zone.clone(),
                        spot: request.spot,
                        stage: MachineStage::Booting,
                        since: now,
                        listed: None,
                        idle_since: None,
                    });
                }
                self.fleet.request = None;
                self.fleet.plan_at = now + self.rent_pause();
            }
            CloudReply::NoCapacity => {
                self.fleet.refused.insert(offer, now + self.options.refused);
                self.fleet.request = None;
                self.fleet.plan_at = now + self.rent_pause();
            }
            // Repeated under its name until it is known what became of it:
            // under another name it could rent twice.
            _ => self.fleet.request_at = now + Micros::millis(1_500),
        }
    }

    fn list_reply(&mut self, asked: Micros, term: u64, reply: CloudReply) {
        let now = self.now;
        let Some((_, mut list)) = self.fleet.listing.take() else {
            return;
        };
        let CloudReply::Page { machines, more } = reply else {
            return;
        };
        let last = machines.last().map(|m| m.name.clone());
        list.extend(machines);
        if let (true, Some(after)) = (more, last) {
            self.fleet.listing = Some((asked, list));
            let op = Op::ListMachines { asked, term };
            return self.cloud(op, CloudCall::List { after: Some(after) });
        }
        // Failed machines stay listed until they are deleted.
        list.retain(|m| m.stage == MachineStage::Failed || !self.terminated.contains(&m.name));
        let lag = Micros::from_secs_f64(self.settings.cloud.list_lag_s);
        let mut terminated = self.fleet.take_list(now, asked, &list, lag);
        terminated.extend(failed(&list));
        for name in terminated {
            if !self.terminated.contains(&name) {
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
impl fleet::Fleet {
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
