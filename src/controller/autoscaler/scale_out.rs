//! Which machines to request for tasks that no machine has capacity for.

use super::fleet::FleetMachine;
use super::offer::{FreeCapacity, MachineOffer, allows};
use crate::peer::Demand;
use crate::resources::Resources;
use crate::time::Micros;
use crate::wire::MachineType;
use std::collections::BTreeMap;

/// Prices that differ by less are equal.
const PRICE_TOLERANCE: f64 = 1e-9;
/// The cloud takes no request for more machines.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// A request is for a third of the machines that are needed, so that zones take turns, but
/// for no fewer than this if so many are needed.
const REQUESTS_PER_DEMAND: u32 = 3;
const MIN_MACHINES_PER_REQUEST: u32 = 8;

/// Machines to be requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOutPlan {
    /// Of which offer.
    pub offer: MachineOffer,
    /// How many.
    pub count: u32,
}

/// Tasks that find no capacity in `free`, from which the others are subtracted. Larger
/// tasks go first, since small ones fit into what they leave.
pub fn unmet(demand: &[Demand], free: &mut [FreeCapacity]) -> Vec<Demand> {
    let mut order: Vec<&Demand> = demand.iter().collect();
    order.sort_by(|a, b| b.cpus.total_cmp(&a.cpus).then(b.memory_gb.total_cmp(&a.memory_gb)));
    let mut unmet = Vec::new();
    for demand in order {
        let needed = Resources::from(demand);
        let mut left = demand.tasks;
        for machine in free.iter_mut() {
            if left == 0 {
                break;
            }
            if allows(demand, &machine.machine_type, &machine.zone, machine.spot) {
                let tasks = machine.free.tasks_that_fit(&needed).min(left);
                left -= tasks;
                machine.free -= needed * tasks;
            }
        }
        if left > 0 {
            unmet.push(Demand { tasks: left, ..demand.clone() });
        }
    }
    unmet
}

/// An offer, as it is found in others' records.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OfferRef<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
}

/// How many machines of each offer there are.
type MachineCounts<'a> = BTreeMap<OfferRef<'a>, u32>;

/// An offer for a task, with what it is compared by.
struct Candidate {
    offer: MachineOffer,
    /// Price of the machine divided by the tasks that it takes.
    price_per_task: f64,
    tasks_per_machine: u32,
    /// Machines of the offer that there are already.
    machines: u32,
}

impl Candidate {
    /// Whether it is cheaper, or as cheap and in a zone with fewer machines.
    fn is_better_than(&self, other: &Candidate) -> bool {
        self.price_per_task < other.price_per_task - PRICE_TOLERANCE
            || (self.price_per_task < other.price_per_task + PRICE_TOLERANCE
                && self.machines < other.machines)
    }
}

/// What the cloud offers at present.
#[derive(Clone, Copy)]
pub struct Offers<'a> {
    /// Machine types by name, with their prices.
    pub machine_types: &'a BTreeMap<String, MachineType>,
    /// Offers of which the cloud had no more, and until when that is believed.
    pub exhausted_until: &'a BTreeMap<MachineOffer, Micros>,
    /// The present time.
    pub now: Micros,
}

impl Offers<'_> {
    fn is_exhausted(&self, offer: &MachineOffer) -> bool {
        self.exhausted_until.get(offer).is_some_and(|until| self.now < *until)
    }

    /// The cheapest offer for a task that is not exhausted, in the zone with the fewest
    /// machines of its kind.
    fn best_for(&self, demand: &Demand, there: &MachineCounts<'_>) -> Option<Candidate> {
        let needed = Resources::from(demand);
        let mut best: Option<Candidate> = None;
        for machine_type in self.machine_types.values() {
            let tasks_per_machine = Resources::from(machine_type).tasks_that_fit(&needed);
            if tasks_per_machine == 0 {
                continue;
            }
            let name = machine_type.name.as_str();
            for zone in &machine_type.zones {
                for spot in [false, true] {
                    let offer =
                        MachineOffer { machine_type: name.to_string(), zone: zone.clone(), spot };
                    if !allows(demand, name, zone, spot) || self.is_exhausted(&offer) {
                        continue;
                    }
                    let price = if spot { machine_type.spot_price } else { machine_type.price };
                    let candidate = Candidate {
                        offer,
                        price_per_task: price / f64::from(tasks_per_machine),
                        tasks_per_machine,
                        machines: there
                            .get(&OfferRef { machine_type: name, zone, spot })
                            .copied()
                            .unwrap_or(0),
                    };
                    if best.as_ref().is_none_or(|best| candidate.is_better_than(best)) {
                        best = Some(candidate);
                    }
                }
            }
        }
        best
    }
}

/// What to request for tasks without capacity: the best offer for the first of them, for all
/// tasks that are served best by machines of its type and kind. One request for each kind of
/// task would take too long where many kinds wait.
pub fn plan_scale_out(
    unmet: &[Demand],
    offers: Offers<'_>,
    machines: &BTreeMap<String, FleetMachine>,
) -> Option<ScaleOutPlan> {
    let mut there = MachineCounts::new();
    for machine in machines.values() {
        let MachineOffer { machine_type, zone, spot } = &machine.offer;
        *there.entry(OfferRef { machine_type, zone, spot: *spot }).or_insert(0) += 1;
    }
    let mut chosen: Option<MachineOffer> = None;
    let mut count = 0_u32;
    for demand in unmet {
        let Some(best) = offers.best_for(demand, &there) else {
            continue;
        };
        let machines_needed = demand.tasks.div_ceil(best.tasks_per_machine);
        let chosen = chosen.get_or_insert(best.offer.clone());
        if (&chosen.machine_type, chosen.spot) == (&best.offer.machine_type, best.offer.spot) {
            count = count.saturating_add(machines_needed);
        }
    }
    let fewest = count.min(MIN_MACHINES_PER_REQUEST);
    let count = count.div_ceil(REQUESTS_PER_DEMAND).clamp(fewest, MAX_MACHINES_PER_REQUEST);
    chosen.map(|offer| ScaleOutPlan { offer, count })
}
