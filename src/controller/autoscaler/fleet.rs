//! Machines that the cloud has created, from its lists and its replies to requests.

use super::machine_offer::{FreeCapacity, MachineOffer};
use super::machine_types::MachineTypeCatalogue;
use crate::resources::Resources;
use crate::time::Micros;
use crate::wire::{ListedMachine, MachineStage, ScaleOutRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A boot that takes longer than this many times its nominal duration is late: the machine no
/// longer counts as expected capacity, and another is requested.
const LATE_BOOT_FACTOR: f64 = 2.0;
/// Nominal duration of a boot, in seconds, of an unknown machine type.
const DEFAULT_BOOT_S: f64 = 60.0;
/// A boot that takes longer than this many times its nominal duration is assumed never to end.
/// The machine is removed, since it counts towards the cloud's limit.
const FAILED_BOOT_FACTOR: f64 = 3.3;
/// Only one in this many machines is replaced at a time because its boot is late: if all boots
/// are late, requesting the whole fleet a second time would not help.
const MACHINES_PER_REPLACEMENT: usize = 4;
/// Margin added to twice the nominal lag of the cloud's list, before a machine that is missing
/// from the list counts as terminated.
const LIST_LAG_MARGIN: Micros = Micros::millis(500);

/// A machine that the cloud has created.
#[derive(Debug, Clone)]
pub struct FleetMachine {
    /// Machine type, zone and whether it is a spot machine.
    pub offer: MachineOffer,
    /// Stage in the newest list; booting before it is listed.
    pub stage: MachineStage,
    /// When the cloud created it, estimated from its age when listed, or the time of the reply
    /// to its request.
    pub created_at: Micros,
    /// When it was first listed; `None` before that.
    pub first_listed_at: Option<Micros>,
    /// Since when it has been idle; `None` while it is not.
    pub idle_since: Option<Micros>,
}

impl FleetMachine {
    /// A machine that a scale-out request has created.
    fn requested(now: Micros, request: &ScaleOutRequest) -> FleetMachine {
        FleetMachine {
            offer: MachineOffer::of_request(request),
            stage: MachineStage::Booting,
            created_at: now,
            first_listed_at: None,
            idle_since: None,
        }
    }

    /// A machine that is first known from a list.
    fn listed(now: Micros, machine: &ListedMachine) -> FleetMachine {
        FleetMachine {
            offer: MachineOffer {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            },
            stage: machine.stage,
            created_at: now.since(Micros::from_secs_f64(machine.age_s)),
            first_listed_at: None,
            idle_since: None,
        }
    }

    /// Whether its boot takes so long that the machine is no longer expected capacity.
    fn boot_is_late(&self, now: Micros, catalogue: &MachineTypeCatalogue) -> bool {
        let boot_s = catalogue.boot_s(&self.offer.machine_type).unwrap_or(DEFAULT_BOOT_S);
        self.boot_exceeds(now, Micros::from_secs_f64(boot_s * LATE_BOOT_FACTOR))
    }

    /// Whether its boot takes so long that it is assumed never to end; false for an unknown type.
    pub(super) fn boot_has_failed(&self, now: Micros, catalogue: &MachineTypeCatalogue) -> bool {
        catalogue.boot_s(&self.offer.machine_type).is_some_and(|boot_s| {
            self.boot_exceeds(now, Micros::from_secs_f64(boot_s * FAILED_BOOT_FACTOR))
        })
    }

    fn boot_exceeds(&self, now: Micros, limit: Micros) -> bool {
        self.stage != MachineStage::Running && now.since(self.created_at) > limit
    }
}

/// The cloud's machines, as cached by the leader of the autoscaler's shard.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Machines by name.
    pub machines: BTreeMap<String, FleetMachine>,
    /// Machines in the pages read so far of a list in progress; `None` if there is none.
    listing: Option<Vec<ListedMachine>>,
    /// Whether a complete list has been applied.
    is_listed: bool,
    /// Offers for which the cloud lacked capacity, and until when they are not requested again.
    exhausted_until: BTreeMap<MachineOffer, Micros>,
    /// Machines that are to be removed, and since when no task is placed on them any more.
    pub(super) draining_since: BTreeMap<String, Micros>,
    /// Machines whose removal has been requested.
    removing: BTreeSet<String>,
}

impl Fleet {
    /// Applies a complete list that was requested at `requested_at`. Returns the machines that
    /// are definitely terminated: they were listed before and are missing from a list that is
    /// guaranteed to be newer, as the lag is at most twice its nominal value.
    pub fn apply_list(
        &mut self,
        now: Micros,
        requested_at: Micros,
        list: &[ListedMachine],
        nominal_lag: Micros,
    ) -> Vec<String> {
        self.is_listed = true;
        let names: BTreeSet<&str> = list.iter().map(|machine| machine.name.as_str()).collect();
        for machine in list {
            let known = self
                .machines
                .entry(machine.name.clone())
                .or_insert_with(|| FleetMachine::listed(now, machine));
            known.stage = machine.stage;
            known.first_listed_at.get_or_insert(now);
        }
        let longest_lag = Micros(nominal_lag.0 * 2) + LIST_LAG_MARGIN;
        let was_listed_before = |machine: &FleetMachine| {
            machine.first_listed_at.is_some_and(|at| requested_at > at + longest_lag)
        };
        let terminated: Vec<String> = self
            .machines
            .iter()
            .filter(|(name, machine)| !names.contains(name.as_str()) && was_listed_before(machine))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &terminated {
            self.forget(name);
        }
        terminated
    }

    /// Whether a list is in progress.
    pub(super) fn is_listing(&self) -> bool {
        self.listing.is_some()
    }

    /// Starts a new list without machines.
    pub(super) fn begin_listing(&mut self) {
        self.listing = Some(Vec::new());
    }

    /// Discards the list in progress.
    pub(super) fn abort_listing(&mut self) {
        self.listing = None;
    }

    /// Adds a page to the list in progress. Returns all machines of the list if this was its last
    /// page.
    pub(super) fn apply_page(
        &mut self,
        page: Vec<ListedMachine>,
        is_last: bool,
    ) -> Option<Vec<ListedMachine>> {
        let mut machines = self.listing.take()?;
        machines.extend(page);
        if is_last {
            return Some(machines);
        }
        self.listing = Some(machines);
        None
    }

    /// Adds the machines that the cloud has created for a scale-out request.
    pub(super) fn add_requested(
        &mut self,
        now: Micros,
        request: &ScaleOutRequest,
        names: Vec<String>,
    ) {
        for name in names {
            self.machines.entry(name).or_insert_with(|| FleetMachine::requested(now, request));
        }
    }

    /// Whether a complete list has been applied since this process began to scale.
    pub(super) fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Offers for which the cloud lacked capacity, and until when they are not requested again.
    pub(super) fn exhausted_until(&self) -> &BTreeMap<MachineOffer, Micros> {
        &self.exhausted_until
    }

    /// Records that the cloud lacked capacity for an offer; it is not requested before `until`.
    pub(super) fn set_exhausted(&mut self, offer: MachineOffer, until: Micros) {
        self.exhausted_until.insert(offer, until);
    }

    /// Records that the removal of machines is requested.
    pub(super) fn begin_removal(&mut self, machines: &[String]) {
        self.removing.extend(machines.iter().cloned());
    }

    /// Whether the removal of a machine has been requested.
    pub(super) fn is_being_removed(&self, name: &str) -> bool {
        self.removing.contains(name)
    }

    /// Records that the removal of machines failed or has an unknown outcome, so that it may be
    /// requested again.
    pub(super) fn removal_failed(&mut self, machines: &[String]) {
        for machine in machines {
            self.removing.remove(machine);
        }
    }

    /// Removes a terminated machine from the fleet.
    pub fn forget(&mut self, name: &str) {
        self.machines.remove(name);
        self.draining_since.remove(name);
        self.removing.remove(name);
    }

    /// Capacity of the machines that are created but not up yet, according to `is_up`. Leaves out
    /// some machines whose boot is late, so that others are requested in their place.
    pub(super) fn expected_capacity(
        &self,
        now: Micros,
        catalogue: &MachineTypeCatalogue,
        is_up: impl Fn(&str) -> bool,
    ) -> Vec<FreeCapacity> {
        let mut replaceable = self.machines.len() / MACHINES_PER_REPLACEMENT;
        let mut expected = Vec::new();
        for (name, machine) in &self.machines {
            if is_up(name)
                || machine.stage == MachineStage::Failed
                || self.draining_since.contains_key(name)
            {
                continue;
            }
            if replaceable > 0 && machine.boot_is_late(now, catalogue) {
                replaceable -= 1;
                continue;
            }
            let machine_type = &machine.offer.machine_type;
            if let Some(size) = catalogue.get(machine_type) {
                expected.push(FreeCapacity {
                    machine_type: Rc::from(machine_type.as_str()),
                    zone: Rc::from(machine.offer.zone.as_str()),
                    spot: machine.offer.spot,
                    free: Resources::from(size),
                });
            }
        }
        expected
    }

    /// Number of machines by stage, for the status page.
    pub(super) fn count_by_stage(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for machine in self.machines.values() {
            let stage = match machine.stage {
                MachineStage::Booting => "booting",
                MachineStage::Running => "running",
                MachineStage::Failed => "failed",
                MachineStage::Other => "other",
            };
            *counts.entry(stage).or_insert(0) += 1;
        }
        counts
    }
}
