//! The machines of the cloud, as its lists and the replies to requests show them.

use super::machine_types::MachineTypeCatalogue;
use super::offer::{FreeCapacity, MachineOffer};
use crate::resources::Resources;
use crate::time::Micros;
use crate::wire::{ListedMachine, MachineStage, ScaleOutRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A boot that takes longer than this many times its nominal duration is late: from then on
/// the machine is no longer counted on, and another is requested.
const LATE_BOOT_FACTOR: f64 = 2.0;
/// Nominal duration of a boot, in seconds, of a type that is not known.
const DEFAULT_BOOT_S: f64 = 60.0;
/// After this many times its nominal duration a boot is taken never to end, and the machine
/// is removed: it counts towards the cloud's limit.
const FAILED_BOOT_FACTOR: f64 = 3.3;
/// One of so many machines may be replaced at once because its boot is late: where all boots
/// are late, requesting the fleet a second time would help nobody.
const MACHINES_PER_REPLACEMENT: usize = 4;
/// Added to twice the lag of the cloud's list, before a machine that is missing from it
/// counts as terminated.
const LIST_LAG_MARGIN: Micros = Micros::millis(500);

/// A machine of the cloud.
#[derive(Debug, Clone)]
pub struct FleetMachine {
    /// Type, zone and kind.
    pub offer: MachineOffer,
    /// Stage in the newest list.
    pub stage: MachineStage,
    /// When the cloud created it, as far as known.
    pub created_at: Micros,
    /// When it was first listed.
    pub first_listed_at: Option<Micros>,
    /// Since when it has had nothing to do.
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

    /// A machine that a list shows first.
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

    /// Whether its boot takes so long that it is not counted on.
    fn boots_late(&self, now: Micros, catalogue: &MachineTypeCatalogue) -> bool {
        let boot_s = catalogue.boot_s(&self.offer.machine_type).unwrap_or(DEFAULT_BOOT_S);
        self.boots_longer_than(now, Micros::from_secs_f64(boot_s * LATE_BOOT_FACTOR))
    }

    /// Whether its boot takes so long that it will never end.
    pub(super) fn boot_has_failed(&self, now: Micros, catalogue: &MachineTypeCatalogue) -> bool {
        catalogue.boot_s(&self.offer.machine_type).is_some_and(|boot_s| {
            self.boots_longer_than(now, Micros::from_secs_f64(boot_s * FAILED_BOOT_FACTOR))
        })
    }

    fn boots_longer_than(&self, now: Micros, limit: Micros) -> bool {
        self.stage != MachineStage::Running && now.since(self.created_at) > limit
    }
}

/// What the leader of the autoscaler's shard knows of the machines of the cloud.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Machines by name.
    pub machines: BTreeMap<String, FleetMachine>,
    /// Machines in the pages so far of a list that is being read.
    listing: Option<Vec<ListedMachine>>,
    /// A complete list has been read.
    is_listed: bool,
    /// Offers of which the cloud had no more, and until when that is believed.
    exhausted_until: BTreeMap<MachineOffer, Micros>,
    /// Machines on which nothing is placed any more since they are to be removed, and since
    /// when.
    pub(super) draining_since: BTreeMap<String, Micros>,
    /// Machines whose removal has been requested.
    removing: BTreeSet<String>,
}

impl Fleet {
    /// Applies a complete list that was requested at `requested_at`. Returns the
    /// machines that are surely terminated: listed before, and missing from a list
    /// that is newer for certain, the lag being at most twice its nominal value.
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

    /// Whether a list is being read.
    pub(super) fn is_listing(&self) -> bool {
        self.listing.is_some()
    }

    /// Begins to read a list.
    pub(super) fn begin_listing(&mut self) {
        self.listing = Some(Vec::new());
    }

    /// Gives up the list that is being read.
    pub(super) fn abort_listing(&mut self) {
        self.listing = None;
    }

    /// Applies a page of the list that is being read. Returns all its machines if this was
    /// the last page.
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

    /// Adds the machines that the cloud has created for a request.
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

    /// Whether a complete list has been read.
    pub(super) fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Offers of which the cloud had no more, and until when that is believed.
    pub(super) fn exhausted_until(&self) -> &BTreeMap<MachineOffer, Micros> {
        &self.exhausted_until
    }

    /// The cloud had no more of an offer; it is not requested again before `until`.
    pub(super) fn set_exhausted(&mut self, offer: MachineOffer, until: Micros) {
        self.exhausted_until.insert(offer, until);
    }

    /// The removal of machines is requested.
    pub(super) fn begin_removal(&mut self, machines: &[String]) {
        self.removing.extend(machines.iter().cloned());
    }

    /// Whether the removal of a machine has been requested.
    pub(super) fn is_being_removed(&self, name: &str) -> bool {
        self.removing.contains(name)
    }

    /// The removal of machines has failed, or its outcome is unknown: it may be requested again.
    pub(super) fn removal_failed(&mut self, machines: &[String]) {
        for machine in machines {
            self.removing.remove(machine);
        }
    }

    /// Forgets a machine that is terminated.
    pub fn forget(&mut self, name: &str) {
        self.machines.remove(name);
        self.draining_since.remove(name);
        self.removing.remove(name);
    }

    /// What the machines will offer that have been created and are not up yet, as `is_up`
    /// says. Some whose boot is late are left out, so that others take their place.
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
            if replaceable > 0 && machine.boots_late(now, catalogue) {
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

    /// Machines by stage, for the status page.
    pub(super) fn count_by_stage(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for machine in self.machines.values() {
            let word = match machine.stage {
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
