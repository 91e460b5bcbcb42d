//! The platform's settings file, in TOML.

use super::{ConfigError, SettingProblem, load};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::ops::Range;
use std::path::Path;

/// Characters of a line at fault that an error shows.
const MAX_SHOWN_CHARS: usize = 80;
/// Changes that a transaction must take at least: a shard's lease and its term.
const MIN_TXN_OPS: usize = 2;
/// Sockets with which a controller can work at least.
const MIN_SOCKETS: usize = 32;

fn fail(key: &'static str, problem: SettingProblem) -> Result<(), ConfigError> {
    Err(ConfigError::Setting { key, problem })
}

fn check_positive(key: &'static str, value: f64) -> Result<(), ConfigError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    fail(key, SettingProblem::NotPositive)
}

fn check_min(key: &'static str, value: usize, min: usize) -> Result<(), ConfigError> {
    if value >= min {
        return Ok(());
    }
    fail(key, SettingProblem::TooSmall { min })
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name among the members.
    pub member: String,
    /// Its zone.
    #[serde(default)]
    pub location: String,
    /// Where it listens for controllers.
    pub address: SocketAddrV4,
}

/// Outside systems.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud's interface.
    pub cloud: SocketAddrV4,
    /// The key-value store.
    #[serde(rename = "state")]
    pub kv_store: SocketAddrV4,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Limit of CPUs at any moment.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of GPUs at any moment.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    fn check(&self) -> Result<(), ConfigError> {
        let amounts = [self.cpus, self.cpus_max, self.gpus, self.gpus_max];
        if self.name.is_empty() || amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
            return fail("settings.teams", SettingProblem::InvalidTeam);
        }
        Ok(())
    }
}

/// A service-level objective of a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceLevelObjective {
    /// `finished`, `deadline`, `wait` or a kind that a later version knows.
    pub kind: String,
    /// The class, where the kind has one.
    #[serde(default)]
    pub class: String,
    /// Time allowed, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the jobs that must meet it, from 0 to 1.
    #[serde(default)]
    pub share: f64,
}

/// How workers behave.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Seconds between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Seconds after which a worker whose heartbeats are not answered kills its tasks.
    pub lease_s: f64,
    /// Seconds after which the tasks of a cancelled job must be gone.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct KvStoreLimits {
    /// Requests per second, of all members together.
    pub rps: f64,
    /// Changes per second, of all members together.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Changes that a transaction may make.
    pub txn_ops: usize,
    /// Limits that will hold from some moment on, without notice; what is absent stays.
    #[serde(default)]
    pub next: Option<UpcomingKvStoreLimits>,
    /// Largest value until then, in KiB.
    #[serde(skip)]
    pub current_value_kb: f64,
}

/// Limits that the key-value store will have later.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct UpcomingKvStoreLimits {
    /// Requests per second, of all members together.
    pub rps: Option<f64>,
    /// Changes per second, of all members together.
    pub write_rps: Option<f64>,
    /// Largest value, in KiB.
    pub value_kb: Option<f64>,
    /// Changes that a transaction may make.
    pub txn_ops: Option<usize>,
}

impl UpcomingKvStoreLimits {
    fn check(&self) -> Result<(), ConfigError> {
        let amounts = [
            ("settings.state.next.rps", self.rps),
            ("settings.state.next.write_rps", self.write_rps),
            ("settings.state.next.value_kb", self.value_kb),
        ];
        for (key, value) in amounts {
            value.map_or(Ok(()), |value| check_positive(key, value))?;
        }
        let operations = self.txn_ops.unwrap_or(MIN_TXN_OPS);
        check_min("settings.state.next.txn_ops", operations, MIN_TXN_OPS)
    }
}

impl KvStoreLimits {
    /// The limits to keep: the smaller of those of now and of later, since the change
    /// comes unannounced, and what is larger is refused from then on.
    fn kept(&self) -> KvStoreLimits {
        let next = self.next.clone().unwrap_or_default();
        let least = |now: f64, next: Option<f64>| next.map_or(now, |n| n.min(now));
        KvStoreLimits {
            rps: least(self.rps, next.rps),
            write_rps: least(self.write_rps, next.write_rps),
            value_kb: least(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops)),
            next: self.next.clone(),
            current_value_kb: self.value_kb,
        }
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second, of all members together.
    pub rps: f64,
    /// Seconds by which its list of machines may be out of date.
    pub list_lag_s: f64,
}

/// What a controller may use of its host.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Cores, and shares of one.
    pub cores: f64,
    /// Memory, in MiB.
    pub mem_mb: f64,
    /// Open sockets.
    pub fd_limit: usize,
}

/// Everything of the deployment that all members share.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Zones with machines.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// Intervals and time limits of workers.
    pub workers: Workers,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub kv_store: KvStoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of a controller's process.
    pub machine_limits: MachineLimits,
}

impl Settings {
    fn check(&self) -> Result<(), ConfigError> {
        check_positive("settings.workers.report_s", self.workers.heartbeat_interval_s)?;
        check_positive("settings.workers.lease_s", self.workers.lease_s)?;
        check_positive("settings.workers.cancel_s", self.workers.cancel_s)?;
        check_positive("settings.state.rps", self.kv_store.rps)?;
        check_positive("settings.state.write_rps", self.kv_store.write_rps)?;
        check_positive("settings.state.value_kb", self.kv_store.value_kb)?;
        check_positive("settings.cloud.rps", self.cloud.rps)?;
        check_positive("settings.machine_limits.cores", self.machine_limits.cores)?;
        check_positive("settings.machine_limits.mem_mb", self.machine_limits.mem_mb)?;
        if let Some(next) = &self.kv_store.next {
            next.check()?;
        }
        if !(self.cloud.list_lag_s.is_finite() && self.cloud.list_lag_s >= 0.0) {
            return fail("settings.cloud.list_lag_s", SettingProblem::Negative);
        }
        check_min("settings.state.txn_ops", self.kv_store.txn_ops, MIN_TXN_OPS)?;
        let sockets = self.machine_limits.fd_limit;
        check_min("settings.machine_limits.fd_limit", sockets, MIN_SOCKETS)?;
        for (number, team) in self.teams.iter().enumerate() {
            team.check()?;
            if self.teams[..number].iter().any(|other| other.name == team.name) {
                return fail("settings.teams", SettingProblem::DuplicateTeam);
            }
        }
        Ok(())
    }
}

/// The platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// This controller's name among the members.
    pub member: String,
    /// Its zone.
    #[serde(default)]
    pub location: String,
    /// Where it listens for users, workers and the load balancer.
    pub bind: SocketAddrV4,
    /// Where it listens for other controllers.
    pub peer_bind: SocketAddrV4,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Outside systems.
    pub endpoints: Endpoints,
    /// What all members share.
    pub settings: Settings,
}

impl Config {
    /// Reads and checks the platform's file.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        load(path, Config::parse)
    }

    /// Reads and checks the platform's settings.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let mut config: Config = toml::from_str(text).map_err(|e| {
            let before = |span: Range<usize>| text[..span.start.min(text.len())].lines().count();
            let at = e.span().map_or(0, before);
            let shown = text.lines().nth(at.saturating_sub(1)).unwrap_or_default().trim();
            ConfigError::Toml {
                line: at,
                text: shown.chars().take(MAX_SHOWN_CHARS).collect(),
                message: e.message().replace('\n', " "),
            }
        })?;
        config.check()?;
        config.settings.kv_store = config.settings.kv_store.kept();
        Ok(config)
    }

    fn check(&self) -> Result<(), ConfigError> {
        if self.member.is_empty() {
            return fail("member", SettingProblem::Empty);
        }
        let names = self.members();
        if names.windows(2).any(|pair| pair[0] == pair[1]) {
            return fail("peers", SettingProblem::DuplicateMember);
        }
        self.settings.check()
    }

    /// All members' names in order: a member's place is its number, and its
    /// shard's number, on every node alike.
    pub fn members(&self) -> Vec<String> {
        let mut names: Vec<String> = self.peers.iter().map(|p| p.member.clone()).collect();
        names.push(self.member.clone());
        names.sort();
        names
    }
}
