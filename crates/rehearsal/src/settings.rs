//! Settings of the controllers in a run. Times are shorter than in a real deployment, so that a
//! run shows in a minute what takes several minutes there; their order by length is the same.

use crate::addresses::Addresses;
use millethold::time::Micros;
use std::fmt::Write;

/// Interval between two heartbeats of a worker.
pub const HEARTBEAT_INTERVAL: Micros = Micros::millis(800);
/// Lease of a worker: how long it keeps running its tasks after it sent the last answered
/// heartbeat.
pub const WORKER_LEASE: Micros = Micros::secs(8);
/// Deadline for a cancellation: no task of the job may run later than this after the cancellation.
pub const CANCEL_DEADLINE: Micros = Micros::secs(18);
/// Lease of a controller in the key-value store, in milliseconds.
const CONTROLLER_LEASE_MS: u64 = 5_000;
/// Seconds for which a shard's preferred controller must be healthy before failback.
const FAILBACK_DELAY_S: u64 = 4;
/// Requests and writes per second that the key-value store accepts.
const STORE_REQUESTS_PER_S: f64 = 1_500.0;
const STORE_WRITES_PER_S: f64 = 400.0;
/// How far the cloud's list of machines lags behind.
pub const CLOUD_LIST_LAG: Micros = Micros::secs(1);
/// All zones.
pub const ZONES: [&str; 2] = ["a", "b"];

/// A team and its quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Team {
    /// Name in the settings and in submissions.
    pub name: &'static str,
    /// CPUs in the team's guarantee.
    pub guaranteed: f64,
    /// Most CPUs that the team may use; 0 for no limit.
    pub limit: f64,
}

/// The teams: one that is often at its limit, one that sometimes is, and one without a limit.
pub const TEAMS: [Team; 3] = [
    Team { name: "red", guaranteed: 8.0, limit: 14.0 },
    Team { name: "green", guaranteed: 16.0, limit: 48.0 },
    Team { name: "blue", guaranteed: 0.0, limit: 0.0 },
];

/// The member name of a controller, such as `n0`.
pub fn member_name(controller: usize) -> String {
    format!("n{controller}")
}

/// The controller's number from its member name; `None` if the name has another form.
pub fn member_number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// The settings file of a controller, as TOML.
pub fn settings_toml(addresses: Addresses, controller: usize, controllers: usize) -> String {
    let mut text = format!(
        "member = \"{}\"\nbind = \"{}\"\npeer_bind = \"{}\"\n",
        member_name(controller),
        addresses.api(controller),
        addresses.peer_listener(controller)
    );
    for peer in (0..controllers).filter(|peer| *peer != controller) {
        // Writing to a `String` cannot fail.
        let _ = write!(
            text,
            "[[peers]]\nmember = \"{}\"\naddress = \"{}\"\n",
            member_name(peer),
            addresses.relay(controller, peer)
        );
    }
    let _ = write!(
        text,
        "[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n[settings]\nzones = [\"a\", \"b\"]\n",
        addresses.cloud(controller),
        addresses.kv_store(controller)
    );
    for team in TEAMS {
        let _ = write!(
            text,
            "[[settings.teams]]\nname = \"{}\"\ncpus = {:.1}\ncpus_max = {:.1}\n",
            team.name, team.guaranteed, team.limit
        );
    }
    let _ = write!(
        text,
        "[settings.workers]\nreport_s = {}\nlease_s = {:.1}\ncancel_s = {:.1}\n\
         [settings.state]\nrps = {STORE_REQUESTS_PER_S:.1}\nwrite_rps = {STORE_WRITES_PER_S:.1}\n\
         value_kb = 8.0\ntxn_ops = 8\n\
         [settings.cloud]\nrps = 20.0\nlist_lag_s = {:.1}\n\
         [settings.machine_limits]\ncores = 1.0\nmem_mb = 200.0\nfd_limit = 4000\n",
        HEARTBEAT_INTERVAL.as_secs_f64(),
        WORKER_LEASE.as_secs_f64(),
        CANCEL_DEADLINE.as_secs_f64(),
        CLOUD_LIST_LAG.as_secs_f64(),
    );
    text
}

/// The options file that operators provide, as INI.
pub fn options_ini() -> String {
    format!("[seats]\nlease_ms = {CONTROLLER_LEASE_MS}\nhand_back_s = {FAILBACK_DELAY_S}\n")
}
