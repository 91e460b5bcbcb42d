//! A stand-in of the cloud, whose list lags.

use millethold::cloud::{CloudCall, CloudReply};
use millethold::time::Micros;
use millethold::wire::{ListedMachine, MachineStage, MachineType, ScaleOutRequest};
use std::collections::BTreeMap;

struct RentedMachine {
    zone: String,
    spot: bool,
    since: Micros,
    until: Option<Micros>,
}

#[derive(Default)]
pub struct Cloud {
    machines: BTreeMap<String, RentedMachine>,
    requests: BTreeMap<String, Vec<String>>,
}

/// How far the list lags behind.
const LAG: Micros = Micros::secs(3);
/// Machines that may be rented at once.
const MOST: usize = 8;
/// Name of the only machine type.
const MACHINE_TYPE: &str = "t4";

impl Cloud {
    pub fn add(&mut self, now: Micros, zone: &str, spot: bool) -> String {
        let name = format!("vm-{:06}", self.machines.len());
        self.machines.insert(
            name.clone(),
            RentedMachine { zone: zone.into(), spot, since: now, until: None },
        );
        name
    }

    pub fn zone(&self, name: &str) -> String {
        self.machines[name].zone.clone()
    }

    pub fn take(&mut self, now: Micros, name: &str) {
        if let Some(m) = self.machines.get_mut(name) {
            m.until.get_or_insert(now);
        }
    }

    /// Carries out a call.
    pub fn call(&mut self, now: Micros, call: &CloudCall) -> CloudReply {
        match call {
            CloudCall::ListMachineTypes => CloudReply::MachineTypes(vec![machine_type()]),
            CloudCall::ScaleOut(request) => self.rent(now, request),
            CloudCall::ScaleIn(names) => {
                for name in names {
                    self.take(now, name);
                }
                CloudReply::ScaledIn
            }
            CloudCall::ListMachines { .. } => {
                CloudReply::Machines { machines: self.list(now), more: false }
            }
        }
    }

    fn rent(&mut self, now: Micros, request: &ScaleOutRequest) -> CloudReply {
        if let Some(names) = self.requests.get(&request.request) {
            return CloudReply::ScaledOut(names.clone());
        }
        let there = self.machines.values().filter(|m| m.until.is_none()).count();
        if there >= MOST {
            return CloudReply::NoCapacity;
        }
        let names: Vec<String> = (0..(request.count as usize).min(MOST - there))
            .map(|_| self.add(now, &request.zone, request.spot))
            .collect();
        self.requests.insert(request.request.clone(), names.clone());
        CloudReply::ScaledOut(names)
    }

    /// The machines that there were a while ago.
    fn list(&self, now: Micros) -> Vec<ListedMachine> {
        let then = now.since(LAG);
        self.machines
            .iter()
            .filter(|(_, m)| m.since <= then && m.until.is_none_or(|u| u > then))
            .map(|(name, m)| ListedMachine {
                name: name.clone(),
                address: String::new(),
                machine_type: MACHINE_TYPE.into(),
                zone: m.zone.clone(),
                spot: m.spot,
                stage: MachineStage::Running,
                age_s: then.since(m.since).as_secs_f64(),
            })
            .collect()
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: MACHINE_TYPE.into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 5.0,
        zones: vec!["a".into(), "b".into()],
    }
}
