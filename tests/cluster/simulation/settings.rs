//! Settings of the controllers, and limits that the stand-ins enforce.

use millethold::config::Config;
use millethold::time::Micros;

/// Lease of a worker in seconds: how long it continues without an answer to a heartbeat.
pub const LEASE_S: f64 = 12.0;
/// Time after which no task of a cancelled job may run, in seconds.
pub const CANCEL_S: f64 = 30.0;
/// CPU limit of the red team.
pub(super) const RED_MAX: f64 = 14.0;
/// Number of controllers.
pub(super) const CONTROLLERS: usize = 3;
/// Number of machines at the start, unless the faults set another.
pub(super) const MACHINES: usize = 5;
/// Requests and writes per second that the key-value store takes, unless the faults set others.
pub(super) const KV_STORE_RPS: f64 = 1_000.0;
/// Time between two ticks of a controller.
pub(super) const TICK: Micros = Micros::millis(50);

/// Limits of the key-value store on a transaction.
#[derive(Debug, Clone, Copy)]
pub(super) struct TransactionLimits {
    /// Maximum size of a value, in KiB.
    pub(super) value_kb: f64,
    /// Maximum number of writes; four times as many conditions are allowed.
    pub(super) operations: usize,
}

/// Limits unless a fault lowers them.
pub(super) const LIMITS: TransactionLimits = TransactionLimits { value_kb: 8.0, operations: 8 };
/// Limits after they were lowered by `Faults::lowered_limits`.
pub(super) const LOWERED_LIMITS: TransactionLimits =
    TransactionLimits { value_kb: 2.0, operations: 4 };

/// Settings of a controller. `write_rps` and `rps` are limits of the key-value store; `next` is an
/// additional line in `[settings.state]`.
pub(super) fn settings(controller: usize, write_rps: f64, rps: f64, next: &str) -> Config {
    let peers: String = (0..3)
        .filter(|n| *n != controller)
        .map(|n| format!("[[peers]]\nmember = \"n{n}\"\naddress = \"10.0.0.{n}:81\"\n"))
        .collect();
    let text = format!(
        r#"member = "n{controller}"
bind = "10.0.0.{controller}:80"
peer_bind = "10.0.0.{controller}:81"
{peers}
[endpoints]
cloud = "10.2.0.2:1"
state = "10.2.0.1:1"
[settings]
zones = ["a", "b"]
[[settings.teams]]
name = "red"
cpus = 8.0
cpus_max = {RED_MAX:.1}
[[settings.teams]]
name = "blue"
[settings.workers]
report_s = 2.0
lease_s = {LEASE_S}
cancel_s = {CANCEL_S}
[settings.state]
rps = {rps}
write_rps = {write_rps}
value_kb = 8.0
txn_ops = 8
{next}
[settings.cloud]
rps = 50.0
list_lag_s = 3.0
[settings.machine_limits]
cores = 1.0
mem_mb = 100.0
fd_limit = 100
"#
    );
    Config::parse(&text).expect("settings of the simulation")
}
