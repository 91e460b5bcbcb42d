//! The protocol of the cloud: machine types, lists of machines, scaling out and in.

use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Unique name of the type.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Disk space for images, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Nominal rate at which a machine fetches images, in GB per second.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    #[serde(default)]
    pub price: f64,
    /// Price of a spot machine per hour.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    /// Nominal boot time, in seconds.
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    /// Zones that offer it.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Response to a request for the machine types.
#[derive(Debug, Deserialize)]
pub struct MachineTypes {
    /// All machine types that the cloud offers.
    #[serde(rename = "benches")]
    pub types: Vec<MachineType>,
}

/// A request to scale out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Unique name of the request, which makes its repetition idempotent.
    #[serde(rename = "hire")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "bench")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are requested.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines, at most 50.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Names of machines: those that a request to scale out has created, or those to remove.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names as in the cloud's list.
    #[serde(rename = "lathes")]
    pub machines: Vec<String>,
}

/// Stage of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStage {
    /// Not running yet according to the list, which may lag behind.
    Booting,
    /// Booted.
    Running,
    /// Stopped without having been removed.
    Failed,
    /// A value that this version does not know.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Unique name of the machine.
    #[serde(rename = "ref")]
    pub name: String,
    /// Address of the machine's worker.
    #[serde(default)]
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "bench")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Stage when the list was made.
    #[serde(rename = "stage")]
    pub stage: MachineStage,
    /// Seconds since the machine was requested.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines in name order.
    #[serde(rename = "lathes")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
}
