//! Stand-in for the cloud API. Its list of machines lags behind the actual state.

use millethold::cloud::{CloudCall, CloudReply};
use millethold::time::Micros;
use millethold::wire::{ListedMachine, MachineStage, MachineType, ScaleOutRequest};
use std::collections::BTreeMap;

struct RentedMachine {
    zone: String,
    spot: bool,
    rented_at: Micros,
    terminated_at: Option<Micros>,
}

#[derive(Default)]
pub struct Cloud {
    machines: BTreeMap<String, RentedMachine>,
    /// Names of the machines that each request has rented. A repeated request rents no others.
    requests: BTreeMap<String, Vec<String>>,
}

/// Delay until the list shows that a machine was rented or terminated.
const LIST_LAG: Micros = Micros::secs(3);
/// Upper bound on the number of machines rented at the same time.
const MAX_MACHINES: usize = 8;
/// The only machine type.
const MACHINE_TYPE: &str = "t4";

impl Cloud {
    pub fn add(&mut self, now: Micros, zone: &str, spot: bool) -> String {
        let name = format!("vm-{:06}", self.machines.len());
        self.machines.insert(
            name.clone(),
            RentedMachine { zone: zone.into(), spot, rented_at: now, terminated_at: None },
        );
        name
    }

    pub fn zone(&self, name: &str) -> String {
        self.machines[name].zone.clone()
    }

    /// Ends the rental of a machine, at a controller's request or on the cloud's own decision.
    pub fn terminate(&mut self, now: Micros, name: &str) {
        if let Some(m) = self.machines.get_mut(name) {
            m.terminated_at.get_or_insert(now);
        }
    }

    /// Executes a call and returns its reply.
    pub fn call(&mut self, now: Micros, call: &CloudCall) -> CloudReply {
        match call {
            CloudCall::ListMachineTypes => CloudReply::MachineTypes(vec![machine_type()]),
            CloudCall::ScaleOut(request) => self.scale_out(now, request),
            CloudCall::ScaleIn(names) => {
                for name in names {
                    self.terminate(now, name);
                }
                CloudReply::ScaledIn
            }
            CloudCall::ListMachines { .. } => {
                CloudReply::Machines { machines: self.list_machines(now), more: false }
            }
        }
    }

    fn scale_out(&mut self, now: Micros, request: &ScaleOutRequest) -> CloudReply {
        if let Some(names) = self.requests.get(&request.request) {
            return CloudReply::ScaledOut(names.clone());
        }
        let rented = self.machines.values().filter(|m| m.terminated_at.is_none()).count();
        if rented >= MAX_MACHINES {
            return CloudReply::NoCapacity;
        }
        let names: Vec<String> = (0..(request.count as usize).min(MAX_MACHINES - rented))
            .map(|_| self.add(now, &request.zone, request.spot))
            .collect();
        self.requests.insert(request.request.clone(), names.clone());
        CloudReply::ScaledOut(names)
    }

    /// Lists the machines that were rented [`LIST_LAG`] ago.
    fn list_machines(&self, now: Micros) -> Vec<ListedMachine> {
        let list_time = now.since(LIST_LAG);
        self.machines
            .iter()
            .filter(|(_, m)| {
                m.rented_at <= list_time && m.terminated_at.is_none_or(|at| at > list_time)
            })
            .map(|(name, m)| ListedMachine {
                name: name.clone(),
                address: String::new(),
                machine_type: MACHINE_TYPE.into(),
                zone: m.zone.clone(),
                spot: m.spot,
                stage: MachineStage::Running,
                age_s: list_time.since(m.rented_at).as_secs_f64(),
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
