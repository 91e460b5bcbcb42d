//! A stand-in of the cloud, whose list lags.

use crate::kv_store_http::Answer;
use crate::settings::{CLOUD_LIST_LAG, ZONES};
use millethold::http::Request;
use millethold::time::Micros;
use millethold::wire::{
    ListedMachine, MachineList, MachineNames, MachineStage, MachineType, ScaleOutRequest, path,
};
use serde_json::json;
use std::collections::BTreeMap;

/// Name, CPUs and memory of the only machine type.
pub const MACHINE_TYPE: &str = "t4";
/// CPUs of a machine.
pub const CPUS: f64 = 4.0;
/// Memory of a machine.
pub const MEMORY_GB: f64 = 16.0;

/// A machine that is or was in the cloud.
#[derive(Debug, Clone)]
struct Machine {
    zone: String,
    spot: bool,
    since: Micros,
    until: Option<Micros>,
}

/// What a call means for the machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CloudEffect {
    /// Nothing.
    None,
    /// These are new.
    Created(Vec<String>),
    /// These are gone.
    Deleted(Vec<String>),
}

/// The cloud.
#[derive(Debug)]
pub struct Cloud {
    machines: BTreeMap<String, Machine>,
    requests: BTreeMap<String, Vec<String>>,
    /// Capacity: machines that may exist at once.
    capacity: usize,
}

impl Cloud {
    /// A cloud with capacity for so many machines.
    pub fn new(capacity: usize) -> Cloud {
        Cloud { machines: BTreeMap::new(), requests: BTreeMap::new(), capacity }
    }

    /// Adds a machine.
    pub fn add(&mut self, now: Micros, zone: &str, spot: bool) -> String {
        let name = format!("vm-{:06}", self.machines.len());
        let machine = Machine { zone: zone.to_string(), spot, since: now, until: None };
        self.machines.insert(name.clone(), machine);
        name
    }

    /// A machine's zone, and whether it is a spot machine.
    pub fn placement(&self, name: &str) -> Option<(&str, bool)> {
        self.machines.get(name).map(|machine| (machine.zone.as_str(), machine.spot))
    }

    /// A machine is gone.
    pub fn take(&mut self, now: Micros, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.until.get_or_insert(now);
        }
    }

    /// Answers a call; `None` if it is none of the protocol's.
    pub fn call(&mut self, now: Micros, request: &Request) -> Option<(Answer, CloudEffect)> {
        let (target, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        match (request.method.as_str(), target) {
            ("GET", path::TYPES) => {
                let types = json!({ "benches": [machine_type()] });
                Some((Answer::new(200, &types), CloudEffect::None))
            }
            ("GET", path::MACHINES) => {
                let after = query.split('&').find_map(|pair| pair.strip_prefix("after="));
                let list = MachineList { machines: self.list(now, after), more: false };
                Some((Answer::new(200, &list), CloudEffect::None))
            }
            ("POST", path::MACHINES) => {
                let request: ScaleOutRequest = serde_json::from_slice(&request.body).ok()?;
                Some(self.create(now, &request))
            }
            ("POST", path::RETURN) => {
                let names: MachineNames = serde_json::from_slice(&request.body).ok()?;
                for name in &names.machines {
                    self.take(now, name);
                }
                Some((Answer::new(200, &json!({})), CloudEffect::Deleted(names.machines)))
            }
            _ => None,
        }
    }

    fn create(&mut self, now: Micros, request: &ScaleOutRequest) -> (Answer, CloudEffect) {
        if let Some(machines) = self.requests.get(&request.request) {
            let names = MachineNames { machines: machines.clone() };
            return (Answer::new(200, &names), CloudEffect::None);
        }
        let there = self.machines.values().filter(|machine| machine.until.is_none()).count();
        let count = (request.count as usize).min(self.capacity.saturating_sub(there));
        if count == 0 {
            return (Answer::new(503, &json!({ "error": "no capacity" })), CloudEffect::None);
        }
        let created = (0..count).map(|_| self.add(now, &request.zone, request.spot));
        let machines: Vec<String> = created.collect();
        self.requests.insert(request.request.clone(), machines.clone());
        let names = MachineNames { machines: machines.clone() };
        (Answer::new(200, &names), CloudEffect::Created(machines))
    }

    /// The machines that there were a while ago.
    fn list(&self, now: Micros, after: Option<&str>) -> Vec<ListedMachine> {
        let then = now.since(CLOUD_LIST_LAG);
        let there = |m: &Machine| m.since <= then && m.until.is_none_or(|until| until > then);
        let matching = self.machines.iter().filter(|(name, machine)| {
            there(machine) && after.is_none_or(|after| name.as_str() > after)
        });
        let listed = matching.map(|(name, machine)| ListedMachine {
            name: name.clone(),
            address: String::new(),
            machine_type: MACHINE_TYPE.to_string(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            stage: MachineStage::Running,
            age_s: then.since(machine.since).as_secs_f64(),
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
