//! The cloud: machine types, and requests to scale out, list and scale in.

use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Disk for images, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Nominal rate at which images are fetched.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(default)]
    pub price: f64,
    /// Spot price per hour.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    /// Nominal boot time, in seconds.
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    /// Zones that offer it.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// The cloud's machine types.
#[derive(Debug, Deserialize)]
pub struct MachineTypes {
    /// All of them.
    #[serde(rename = "benches")]
    pub types: Vec<MachineType>,
}

/// A request to scale out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Name of the request, never used again: a repeat of it is idempotent.
    #[serde(rename = "hire")]
    pub request: String,
    /// Type.
    #[serde(rename = "bench")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many, 50 at most.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Names of machines: those of a request to scale out, or those to scale in.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "lathes")]
    pub machines: Vec<String>,
}

/// Stage of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStage {
    /// Not up yet, as far as the list knows.
    Booting,
    /// Up.
    Running,
    /// Stopped by itself.
    Failed,
    /// A word that this version does not know.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name.
    #[serde(rename = "ref")]
    pub name: String,
    /// Address of its worker.
    #[serde(default)]
    pub address: String,
    /// Type.
    #[serde(rename = "bench")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// State.
    #[serde(rename = "stage")]
    pub stage: MachineStage,
    /// Seconds since it was requested.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines, in order of their names.
    #[serde(rename = "lathes")]
    pub machines: Vec<ListedMachine>,
    /// Another page follows.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
}
