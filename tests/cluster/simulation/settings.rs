//! The controllers' settings, and the limits that the stand-ins hold them to.

use millethold::config::Config;
use millethold::time::Micros;

/// Time that a worker goes on without an answer, in seconds.
pub const LEASE_S: f64 = 12.0;
/// Time after which no task of a cancelled job may run, in seconds.
pub const CANCEL_S: f64 = 30.0;
/// Limit of the red team.
pub(super) const RED_MAX: f64 = 14.0;
/// Number of controllers.
pub(super) const CONTROLLERS: usize = 3;
/// Machines at the start, if the faults do not say otherwise.
pub(super) const MACHINES: usize = 5;
/// Requests and changes a second that the key-value store takes, likewise.
pub(super) const STATE_RATE: f64 = 1_000.0;
/// Between two ticks of a controller.
pub(super) const TICK: Micros = Micros::millis(50);

/// What the key-value store takes in a transaction.
#[derive(Debug, Clone, Copy)]
pub(super) struct TransactionLimits {
    /// Largest value, in KiB.
    pub(super) value_kb: f64,
    /// Changes.
    pub(super) operations: usize,
}

/// The usual limits.
pub(super) const LIMITS: TransactionLimits = TransactionLimits { value_kb: 8.0, operations: 8 };
/// Those that `Faults::lowered` speaks of.
pub(super) const LOWERED: TransactionLimits = TransactionLimits { value_kb: 2.0, operations: 4 };

/// Settings of a controller; `next` is a further line about the key-value store.
pub(super) fn settings(node: usize, writes: f64, reads: f64, next: &str) -> Config {
    let peers: String = (0..3)
        .filter(|n| *n != node)
        .map(|n| format!("[[peers]]\nmember = \"n{n}\"\naddress = \"10.0.0.{n}:81\"\n"))
        .collect();
    let text = format!(
        r#"member = "n{node}"
bind = "10.0.0.{node}:80"
peer_bind = "10.0.0.{node}:81"
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
rps = {reads}
write_rps = {writes}
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
