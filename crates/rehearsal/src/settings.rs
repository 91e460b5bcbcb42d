//! Settings of the controllers in a rehearsal. Times are short, so that a run shows in a
//! minute what takes several at a users' deployment; their order is the same.

use crate::addresses::Addresses;
use millethold::time::Micros;
use std::fmt::Write;

/// Between two heartbeats of a worker.
pub const HEARTBEAT_INTERVAL: Micros = Micros::millis(800);
/// A worker goes on for so long after the last answered report was sent.
pub const WORKER_LEASE: Micros = Micros::secs(8);
/// Time that a cancellation has.
pub const CANCEL_DEADLINE: Micros = Micros::secs(18);
/// State lease of the controllers.
const CONTROLLER_LEASE_MS: u64 = 5_000;
/// How long a shard's home must be well before the shard goes back.
const FAILBACK_DELAY_S: u64 = 4;
/// Requests and changes a second that the key-value store takes.
const STORE_REQUESTS_PER_S: f64 = 1_500.0;
const STORE_CHANGES_PER_S: f64 = 400.0;
/// How far the cloud's list lags.
pub const CLOUD_LIST_LAG: Micros = Micros::secs(1);
/// The zones.
pub const ZONES: [&str; 2] = ["a", "b"];

/// A team and its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Team {
    /// Name.
    pub name: &'static str,
    /// CPUs guaranteed.
    pub guaranteed: f64,
    /// CPUs at most, 0 for no limit.
    pub most: f64,
}

/// The teams: one that is often at its limit, one that sometimes is, one without any.
pub const TEAMS: [Team; 3] = [
    Team { name: "red", guaranteed: 8.0, most: 14.0 },
    Team { name: "green", guaranteed: 16.0, most: 48.0 },
    Team { name: "blue", guaranteed: 0.0, most: 0.0 },
];

/// A controller's name.
pub fn member(controller: usize) -> String {
    format!("n{controller}")
}

/// The number in a controller's name.
pub fn member_number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// Settings file of a controller (TOML).
pub fn platform(addresses: Addresses, controller: usize, controllers: usize) -> String {
    let mut text = format!(
        "member = \"{}\"\nbind = \"{}\"\npeer_bind = \"{}\"\n",
        member(controller),
        addresses.users(controller),
        addresses.peers(controller)
    );
    for peer in (0..controllers).filter(|peer| *peer != controller) {
        // Writing into a String cannot fail.
        let _ = write!(
            text,
            "[[peers]]\nmember = \"{}\"\naddress = \"{}\"\n",
            member(peer),
            addresses.relay(controller, peer)
        );
    }
    let _ = write!(
        text,
        "[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n[settings]\nzones = [\"a\", \"b\"]\n",
        addresses.cloud(controller),
        addresses.state(controller)
    );
    for team in TEAMS {
        let _ = write!(
            text,
            "[[settings.teams]]\nname = \"{}\"\ncpus = {:.1}\ncpus_max = {:.1}\n",
            team.name, team.guaranteed, team.most
        );
    }
    let _ = write!(
        text,
        "[settings.workers]\nreport_s = {}\nlease_s = {:.1}\ncancel_s = {:.1}\n\
         [settings.state]\nrps = {STORE_REQUESTS_PER_S:.1}\nwrite_rps = {STORE_CHANGES_PER_S:.1}\n\
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

/// The operators' options (INI).
pub fn options() -> String {
    format!("[seats]\nlease_ms = {CONTROLLER_LEASE_MS}\nhand_back_s = {FAILBACK_DELAY_S}\n")
}
