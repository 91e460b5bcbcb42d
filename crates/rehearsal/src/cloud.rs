//! Stand-in for the cloud, whose list of machines lags.

use crate::kv_store_http::Response;
use crate::settings::{CLOUD_LIST_LAG, ZONES};
use millethold::http::Request;
use millethold::time::Micros;
use millethold::wire::{
    ListedMachine, MachineList, MachineNames, MachineStage, MachineType, ScaleOutRequest, path,
};
use serde_json::json;
use std::collections::BTreeMap;

/// Name of the only machine type.
pub const MACHINE_TYPE: &str = "t4";
/// CPUs of a machine.
pub const CPUS: f64 = 4.0;
/// Memory of a machine, in GB.
pub const MEMORY_GB: f64 = 16.0;

/// A machine that exists or existed.
#[derive(Debug, Clone)]
struct Machine {
    zone: String,
    spot: bool,
    created_at: Micros,
    deleted_at: Option<Micros>,
}

/// Effect of a call on the machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CloudEffect {
    /// No change.
    None,
    /// Machines with these names were created.
    Created(Vec<String>),
    /// Machines with these names were deleted.
    Deleted(Vec<String>),
}

/// The cloud's machines and the scale-out requests that it has served.
#[derive(Debug)]
pub struct Cloud {
    machines: BTreeMap<String, Machine>,
    requests: BTreeMap<String, Vec<String>>,
    /// Most machines that may exist at the same time.
    capacity: usize,
}

impl Cloud {
    /// A cloud with capacity for this number of machines.
    pub fn new(capacity: usize) -> Cloud {
        Cloud { machines: BTreeMap::new(), requests: BTreeMap::new(), capacity }
    }

    /// Creates a machine and returns its name.
    pub fn add(&mut self, now: Micros, zone: &str, spot: bool) -> String {
        let name = format!("vm-{:06}", self.machines.len());
        let machine = Machine { zone: zone.to_string(), spot, created_at: now, deleted_at: None };
        self.machines.insert(name.clone(), machine);
        name
    }

    /// A machine's zone, and whether it is a spot machine.
    pub fn zone_and_spot(&self, name: &str) -> Option<(&str, bool)> {
        self.machines.get(name).map(|machine| (machine.zone.as_str(), machine.spot))
    }

    /// Deletes a machine; does nothing if it is unknown or already deleted.
    pub fn remove(&mut self, now: Micros, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.deleted_at.get_or_insert(now);
        }
    }

    /// Serves a call; `None` if the protocol has no such call.
    pub fn handle(&mut self, now: Micros, request: &Request) -> Option<(Response, CloudEffect)> {
        let (target, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        match (request.method.as_str(), target) {
            ("GET", path::TYPES) => {
                let types = json!({ "benches": [machine_type()] });
                Some((Response::new(200, &types), CloudEffect::None))
            }
            ("GET", path::MACHINES) => {
                let after = query.split('&').find_map(|pair| pair.strip_prefix("after="));
                let list = MachineList { machines: self.list(now, after), more: false };
                Some((Response::new(200, &list), CloudEffect::None))
            }
            ("POST", path::MACHINES) => {
                let request: ScaleOutRequest = serde_json::from_slice(&request.body).ok()?;
                Some(self.create(now, &request))
            }
            ("POST", path::SCALE_IN) => {
                let names: MachineNames = serde_json::from_slice(&request.body).ok()?;
                for name in &names.machines {
                    self.remove(now, name);
                }
                Some((Response::new(200, &json!({})), CloudEffect::Deleted(names.machines)))
            }
            _ => None,
        }
    }

    fn create(&mut self, now: Micros, request: &ScaleOutRequest) -> (Response, CloudEffect) {
        if let Some(machines) = self.requests.get(&request.request) {
            let names = MachineNames { machines: machines.clone() };
            return (Response::new(200, &names), CloudEffect::None);
        }
        let existing =
            self.machines.values().filter(|machine| machine.deleted_at.is_none()).count();
        let count = (request.count as usize).min(self.capacity.saturating_sub(existing));
        if count == 0 {
            return (Response::new(503, &json!({ "error": "no capacity" })), CloudEffect::None);
        }
        let created = (0..count).map(|_| self.add(now, &request.zone, request.spot));
        let machines: Vec<String> = created.collect();
        self.requests.insert(request.request.clone(), machines.clone());
        let names = MachineNames { machines: machines.clone() };
        (Response::new(200, &names), CloudEffect::Created(machines))
    }

    /// The machines as they were [`CLOUD_LIST_LAG`] ago.
    fn list(&self, now: Micros, after: Option<&str>) -> Vec<ListedMachine> {
        let as_of = now.since(CLOUD_LIST_LAG);
        let existing = |m: &Machine| {
            m.created_at <= as_of && m.deleted_at.is_none_or(|deleted_at| deleted_at > as_of)
        };
        let matching = self.machines.iter().filter(|(name, machine)| {
            existing(machine) && after.is_none_or(|after| name.as_str() > after)
        });
        let listed = matching.map(|(name, machine)| ListedMachine {
            name: name.clone(),
            address: String::new(),
            machine_type: MACHINE_TYPE.to_string(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            stage: MachineStage::Running,
            age_s: as_of.since(machine.created_at).as_secs_f64(),
        });
        listed.collect()
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: MACHINE_TYPE.to_string(),
        cpus: CPUS,
        gpus: 0.0,
        memory_gb: MEMORY_GB,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 2.0,
        zones: ZONES.map(str::to_string).to_vec(),
    }
}
