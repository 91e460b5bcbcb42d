//! Selection of the machines to request for tasks that no machine has capacity for.

use super::fleet::FleetMachine;
use super::machine_offer::{FreeCapacity, MachineOffer, demand_allows};
use crate::peer::Demand;
use crate::resources::Resources;
use crate::time::Micros;
use crate::wire::MachineType;
use std::collections::BTreeMap;

/// Prices that differ by less than this are equal.
const PRICE_TOLERANCE: f64 = 1e-9;
/// Maximum number of machines that the cloud accepts in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// A request covers one in this many of the machines needed, so that zones take turns.
const REQUESTS_PER_DEMAND: u32 = 3;
/// Minimum number of machines in a request, unless fewer are needed.
const MIN_MACHINES_PER_REQUEST: u32 = 8;

/// A planned scale-out request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOutPlan {
    /// The offer to request.
    pub offer: MachineOffer,
    /// Number of machines.
    pub count: u32,
}

/// Tasks that find no capacity in `free`. Subtracts what the other tasks need from `free`. Larger
/// tasks are fitted first, since smaller ones fit into the capacity that they leave.
pub fn unmet_demand(demand: &[Demand], free: &mut [FreeCapacity]) -> Vec<Demand> {
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
            if demand_allows(demand, &machine.machine_type, &machine.zone, machine.spot) {
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

/// A borrowed [`MachineOffer`].
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OfferRef<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
}

/// Number of existing machines by offer.
type MachineCounts<'a> = BTreeMap<OfferRef<'a>, u32>;

/// An offer that a task can use, with the values by which offers are compared.
struct Candidate {
    offer: MachineOffer,
    /// Price of a machine divided by the number of tasks that fit on it.
    price_per_task: f64,
    tasks_per_machine: u32,
    /// Number of existing machines of the offer.
    machines: u32,
}

impl Candidate {
    /// Whether the offer is cheaper per task, or equally cheap and has fewer machines already.
    fn is_better_than(&self, other: &Candidate) -> bool {
        self.price_per_task < other.price_per_task - PRICE_TOLERANCE
            || (self.price_per_task < other.price_per_task + PRICE_TOLERANCE
                && self.machines < other.machines)
    }
}

/// The offers currently available from the cloud.
#[derive(Clone, Copy)]
pub struct Offers<'a> {
    /// Machine types by name, with their prices.
    pub machine_types: &'a BTreeMap<String, MachineType>,
    /// Offers for which the cloud lacked capacity, and until when they are not requested again.
    pub exhausted_until: &'a BTreeMap<MachineOffer, Micros>,
    /// Current time.
    pub now: Micros,
}

impl Offers<'_> {
    fn is_exhausted(&self, offer: &MachineOffer) -> bool {
        self.exhausted_until.get(offer).is_some_and(|until| self.now < *until)
    }

    /// The cheapest offer for a task that is not exhausted; among equally cheap ones that with
    /// the fewest machines. `None` if no available offer takes the task.
    fn best_for(&self, demand: &Demand, machine_counts: &MachineCounts<'_>) -> Option<Candidate> {
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
                    if !demand_allows(demand, name, zone, spot) || self.is_exhausted(&offer) {
                        continue;
                    }
                    let price = if spot { machine_type.spot_price } else { machine_type.price };
                    let candidate = Candidate {
                        offer,
                        price_per_task: price / f64::from(tasks_per_machine),
                        tasks_per_machine,
                        machines: machine_counts
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

/// Plans one request for the tasks without capacity: for the best offer of the first of them,
/// with machines for all tasks whose best offer has the same machine type and the same `spot`. A
/// separate request for each kind of task would take too long if many kinds wait.
pub fn plan_scale_out(
    unmet: &[Demand],
    offers: Offers<'_>,
    machines: &BTreeMap<String, FleetMachine>,
) -> Option<ScaleOutPlan> {
    let mut machine_counts = MachineCounts::new();
    for machine in machines.values() {
        let MachineOffer { machine_type, zone, spot } = &machine.offer;
        *machine_counts.entry(OfferRef { machine_type, zone, spot: *spot }).or_insert(0) += 1;
    }
    let mut chosen: Option<MachineOffer> = None;
    let mut count = 0_u32;
    for demand in unmet {
        let Some(best) = offers.best_for(demand, &machine_counts) else {
            continue;
        };
        let machines_needed = demand.tasks.div_ceil(best.tasks_per_machine);
        let chosen = chosen.get_or_insert(best.offer.clone());
        if (&chosen.machine_type, chosen.spot) == (&best.offer.machine_type, best.offer.spot) {
            count = count.saturating_add(machines_needed);
        }
    }
    let min_count = count.min(MIN_MACHINES_PER_REQUEST);
    let count = count.div_ceil(REQUESTS_PER_DEMAND).clamp(min_count, MAX_MACHINES_PER_REQUEST);
    chosen.map(|offer| ScaleOutPlan { offer, count })
}
