//! Renting: the machines that are wanted against those listed and reported.
//!
//! One shard at a time rents. It rebuilds what it knows from the cloud's list,
//! so nothing of it needs to be stored; the names of its requests carry the
//! shard's term and are never used again.

use crate::peer::Demand;
use crate::resources::Resources;
use crate::time::Micros;
use crate::wire::{ListedMachine, MachineStage, MachineType, ScaleOutRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The shard whose holder rents.
pub const AUTOSCALER_SHARD: usize = 0;

/// A kind of machine in a zone.
pub type MachineOffer = (String, String, bool);

/// A rented machine.
#[derive(Debug, Clone)]
pub struct RentedMachine {
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Stage in the newest list.
    pub stage: MachineStage,
    /// When it was rented, as far as known.
    pub since: Micros,
    /// When it was first listed.
    pub listed: Option<Micros>,
    /// Since when it has had nothing to do.
    pub idle_since: Option<Micros>,
}

/// What the renting shard knows.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Machines by name.
    pub machines: BTreeMap<String, RentedMachine>,
    /// When to list next.
    pub list_at: Micros,
    /// A listing under way: when it began, and its pages so far.
    pub listing: Option<(Micros, Vec<ListedMachine>)>,
    /// A first list has been read.
    pub listed: bool,
    /// Offers that were refused, and until when that is believed.
    pub refused: BTreeMap<MachineOffer, Micros>,
    /// The request under way, repeated until its outcome is known.
    pub request: Option<ScaleOutRequest>,
    /// It may be sent again from then on.
    pub request_at: Micros,
    /// It is being answered.
    pub busy: bool,
    /// Number of the last request of this term.
    pub count: u64,
    /// Machines about to be returned, and since when nothing is placed on them.
    pub draining: BTreeMap<String, Micros>,
    /// Return requests under way.
    pub returning: BTreeSet<String>,
    /// When to plan next.
    pub plan_at: Micros,
    /// When the types were last asked for.
    pub types_at: Micros,
}

/// Free capacity of a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct FreeCapacity {
    /// Type.
    pub machine_type: Rc<str>,
    /// Zone.
    pub zone: Rc<str>,
    /// Spot.
    pub spot: bool,
    /// What is free.
    pub free: Resources,
}

/// Whether tasks may go to machines of a type, zone and kind.
pub fn allows(d: &Demand, machine_type: &str, zone: &str, spot: bool) -> bool {
    (d.types.is_empty() || d.types.iter().any(|t| t == machine_type))
        && d.zone.as_deref().is_none_or(|z| z == zone)
        && (d.spot || !spot)
}

/// Tasks that find no room in `rooms`, which is filled up on the way. Larger
/// shapes go first, since small ones fit into what they leave.
pub fn unmet(demand: &[Demand], rooms: &mut [FreeCapacity]) -> Vec<Demand> {
    let mut order: Vec<&Demand> = demand.iter().collect();
    order.sort_by(|a, b| b.cpus.total_cmp(&a.cpus).then(b.memory_gb.total_cmp(&a.memory_gb)));
    let mut rest = Vec::new();
    for d in order {
        let needed = Resources::from(d);
        let mut left = d.tasks;
        for room in rooms.iter_mut() {
            if left == 0 {
                break;
            }
            if allows(d, &room.machine_type, &room.zone, room.spot) {
                let tasks = room.free.tasks_that_fit(&needed).min(left);
                left -= tasks;
                room.free -= needed * tasks;
            }
        }
        if left > 0 {
            rest.push(Demand { tasks: left, ..d.clone() });
        }
    }
    rest
}

/// The cheapest offer for a task that has not been refused lately, in the zone
/// with the fewest machines of its kind, and how many such tasks it takes.
fn best_offer(
    d: &Demand,
    types: &BTreeMap<String, MachineType>,
    there: &BTreeMap<(&str, &str, bool), u32>,
    refused: &BTreeMap<MachineOffer, Micros>,
    now: Micros,
) -> Option<(MachineOffer, u32)> {
    let needed = Resources::from(d);
    let mut best: Option<(f64, u32, MachineOffer, u32)> = None;
    for t in types.values() {
        let per = Resources::from(t).tasks_that_fit(&needed);
        if per == 0 {
            continue;
        }
        for zone in &t.zones {
            for spot in [false, true] {
                let offer = (t.name.clone(), zone.clone(), spot);
                if !allows(d, &t.name, zone, spot)
                    || refused.get(&offer).is_some_and(|until| now < *until)
                {
                    continue;
                }
                let price = if spot { t.spot_price } else { t.price };
                let cost = price / f64::from(per);
                let n = there.get(&(t.name.as_str(), zone.as_str(), spot)).copied().unwrap_or(0);
                let better = best
                    .as_ref()
                    .is_none_or(|(c, m, _, _)| cost < c - 1e-9 || (cost < c + 1e-9 && n < *m));
                if better {
                    best = Some((cost, n, offer, per));
                }
            }
        }
    }
    best.map(|(_, _, offer, per)| (offer, per))
}

/// What to rent for tasks without room: the best offer for the first of them,
/// for all that are served best by machines of its kind. Shape by shape the
/// fleet of a busy morning took 20 s to request.
pub fn next_request(
    rest: &[Demand],
    types: &BTreeMap<String, MachineType>,
    machines: &BTreeMap<String, RentedMachine>,
    refused: &BTreeMap<MachineOffer, Micros>,
    now: Micros,
) -> Option<(MachineOffer, u32)> {
    let mut there: BTreeMap<(&str, &str, bool), u32> = BTreeMap::new();
    for m in machines.values() {
        *there.entry((&m.machine_type, &m.zone, m.spot)).or_insert(0) += 1;
    }
    let mut chosen: Option<MachineOffer> = None;
    let mut count = 0_u32;
    for d in rest {
        if let Some((offer, per)) = best_offer(d, types, &there, refused, now) {
            let chosen = chosen.get_or_insert(offer.clone());
            if (&chosen.0, chosen.2) == (&offer.0, offer.2) {
                count = count.saturating_add(d.tasks.div_ceil(per));
            }
        }
    }
    // In parts, so that zones take turns; the cloud takes no more than 50 at once.
    chosen.map(|offer| (offer, count.div_ceil(3).clamp(count.min(8), 50)))
}

impl Fleet {
    /// Takes in a complete list that was asked for at `asked`. Returns the
    /// machines that are surely terminated: listed before, and missing from a list
    /// that is newer for certain, the lag being at most twice its nominal value.
    pub fn take_list(
        &mut self,
        now: Micros,
        requested_at: Micros,
        list: &[ListedMachine],
        lag: Micros,
    ) -> Vec<String> {
        self.listed = true;
        let names: BTreeSet<&str> = list.iter().map(|m| m.name.as_str()).collect();
        for m in list {
            let age = Micros::from_secs_f64(m.age_s);
            let entry = self.machines.entry(m.name.clone()).or_insert_with(|| RentedMachine {
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                stage: m.stage,
                since: now.since(age),
                listed: None,
                idle_since: None,
            });
            entry.stage = m.stage;
            entry.listed.get_or_insert(now);
        }
        let sure = Micros(lag.0 * 2) + Micros::millis(500);
        let terminated: Vec<String> = self
            .machines
            .iter()
            .filter(|(name, m)| {
                !names.contains(name.as_str())
                    && m.listed.is_some_and(|at| requested_at > at + sure)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in &terminated {
            self.forget(name);
        }
        terminated
    }

    /// Forgets a machine that is terminated.
    pub fn forget(&mut self, name: &str) {
        self.machines.remove(name);
        self.draining.remove(name);
        self.returning.remove(name);
    }
}
