//! The platform's settings, a TOML file.

use super::{ConfigError, SettingProblem, load};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::ops::Range;
use std::path::Path;

/// Conditions that the key-value store accepts in a transaction for each write that it allows.
const CONDITIONS_PER_WRITE: usize = 4;

/// Maximum number of characters that an error shows of the invalid line.
const MAX_SHOWN_CHARS: usize = 80;
/// Minimum number of changes that a transaction must allow: the acquisition of a shard writes
/// the shard's lease and its term.
const MIN_TXN_OPS: usize = 2;
/// Minimum number of sockets with which a controller can work.
const MIN_SOCKETS: usize = 32;

fn invalid_setting(key: &'static str, problem: SettingProblem) -> Result<(), ConfigError> {
    Err(ConfigError::Setting { key, problem })
}

fn check_positive(key: &'static str, value: f64) -> Result<(), ConfigError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    invalid_setting(key, SettingProblem::NotPositive { value })
}

fn check_min(key: &'static str, value: usize, min: usize) -> Result<(), ConfigError> {
    if value >= min {
        return Ok(());
    }
    invalid_setting(key, SettingProblem::TooSmall { value, min })
}

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Member name of the controller.
    pub member: String,
    /// Zone that the controller runs in; empty if not given.
    #[serde(default)]
    pub location: String,
    /// Address on which it listens for other controllers.
    pub address: SocketAddrV4,
}

/// Addresses of the external systems.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// Address of the cloud's API.
    pub cloud: SocketAddrV4,
    /// Address of the key-value store.
    #[serde(rename = "state")]
    pub kv_store: SocketAddrV4,
}

/// Guarantee and limit of a team; 0 means that there is no guarantee, or no limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Unique name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs that the team's tasks may use at the same time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs that the team's tasks may use at the same time.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    fn check(&self) -> Result<(), ConfigError> {
        let amounts = [self.cpus, self.cpus_max, self.gpus, self.gpus_max];
        if self.name.is_empty() || amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
            let name = self.name.clone();
            return invalid_setting("settings.teams", SettingProblem::InvalidTeam { name });
        }
        Ok(())
    }
}

/// Service-level objective for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceLevelObjective {
    /// Kind of objective: `finished`, `deadline`, `wait`, or one that only later versions know.
    pub kind: String,
    /// Class of jobs; empty if the kind of objective applies to no class.
    #[serde(default)]
    pub class: String,
    /// Allowed time, in seconds; `None` if the kind of objective has none.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the jobs that must meet the objective, from 0 to 1.
    #[serde(default)]
    pub share: f64,
}

/// Intervals and time limits of workers.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Seconds between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Seconds after which a worker whose heartbeats are not answered kills its tasks.
    pub lease_s: f64,
    /// Seconds after the cancellation of a job by which its tasks must have stopped.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct KvStoreLimits {
    /// Maximum number of requests per second, all members together.
    pub rps: f64,
    /// Maximum number of changes per second, all members together.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Limits that take effect at an unannounced time; `None` if no change is planned.
    #[serde(default)]
    pub next: Option<UpcomingKvStoreLimits>,
    /// Maximum size of a value until the upcoming limits take effect, in KiB. Set when the
    /// settings are read.
    #[serde(skip)]
    pub current_value_kb: f64,
}

impl KvStoreLimits {
    /// Maximum number of conditions in a transaction.
    pub fn max_conditions(&self) -> usize {
        self.txn_ops * CONDITIONS_PER_WRITE
    }
}

/// Upcoming limits of the key-value store. A limit that is absent does not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct UpcomingKvStoreLimits {
    /// Maximum number of requests per second, all members together.
    pub rps: Option<f64>,
    /// Maximum number of changes per second, all members together.
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    pub value_kb: Option<f64>,
    /// Maximum number of changes in a transaction.
    pub txn_ops: Option<usize>,
}

impl UpcomingKvStoreLimits {
    fn check(&self) -> Result<(), ConfigError> {
        let positive_limits = [
            ("settings.state.next.rps", self.rps),
            ("settings.state.next.write_rps", self.write_rps),
            ("settings.state.next.value_kb", self.value_kb),
        ];
        for (key, value) in positive_limits {
            value.map_or(Ok(()), |value| check_positive(key, value))?;
        }
        let operations = self.txn_ops.unwrap_or(MIN_TXN_OPS);
        check_min("settings.state.next.txn_ops", operations, MIN_TXN_OPS)
    }
}

impl KvStoreLimits {
    /// Returns the limits to observe: the smaller of the current and the upcoming ones, since the
    /// change comes unannounced and the store refuses whatever exceeds the new limits from then
    /// on.
    fn effective(&self) -> KvStoreLimits {
        let next = self.next.clone().unwrap_or_default();
        let smaller = |current: f64, next: Option<f64>| next.map_or(current, |n| n.min(current));
        KvStoreLimits {
            rps: smaller(self.rps, next.rps),
            write_rps: smaller(self.write_rps, next.write_rps),
            value_kb: smaller(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops)),
            next: self.next.clone(),
            current_value_kb: self.value_kb,
        }
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of requests per second, all members together.
    pub rps: f64,
    /// Seconds by which the cloud's list of machines may lag behind.
    pub list_lag_s: f64,
}

/// Limits of the resources that a controller may use on its host.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// CPU cores; may be a fraction.
    pub cores: f64,
    /// Memory, in MiB.
    pub mem_mb: f64,
    /// Maximum number of open sockets.
    pub fd_limit: usize,
}

/// Settings of the deployment, the same for all members.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Names of the zones that have machines.
    #[serde(default)]
    pub zones: Vec<String>,
    /// All teams that may submit jobs.
    pub teams: Vec<Team>,
    /// Service-level objectives of the job classes.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// Intervals and time limits of workers.
    pub workers: Workers,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub kv_store: KvStoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resource limits of a controller on its host.
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
        let list_lag_s = self.cloud.list_lag_s;
        if !(list_lag_s.is_finite() && list_lag_s >= 0.0) {
            let problem = SettingProblem::Negative { value: list_lag_s };
            return invalid_setting("settings.cloud.list_lag_s", problem);
        }
        check_min("settings.state.txn_ops", self.kv_store.txn_ops, MIN_TXN_OPS)?;
        let sockets = self.machine_limits.fd_limit;
        check_min("settings.machine_limits.fd_limit", sockets, MIN_SOCKETS)?;
        for (number, team) in self.teams.iter().enumerate() {
            team.check()?;
            if self.teams[..number].iter().any(|other| other.name == team.name) {
                let name = team.name.clone();
                return invalid_setting("settings.teams", SettingProblem::DuplicateTeam { name });
            }
        }
        Ok(())
    }
}

/// Content of the platform's settings file: the settings of this controller and the shared ones.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// Member name of this controller.
    pub member: String,
    /// Zone that this controller runs in; empty if not given.
    #[serde(default)]
    pub location: String,
    /// Address on which it listens for users, workers and the load balancer.
    pub bind: SocketAddrV4,
    /// Address on which it listens for other controllers.
    pub peer_bind: SocketAddrV4,
    /// All other controllers of the deployment.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Addresses of the external systems.
    pub endpoints: Endpoints,
    /// Settings that all members share.
    pub settings: Settings,
}

impl Config {
    /// Reads and checks the settings file.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        load(path, Config::parse)
    }

    /// Parses and checks the text of the settings file.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let mut config: Config = toml::from_str(text).map_err(|e| {
            let line_of = |span: Range<usize>| text[..span.start.min(text.len())].lines().count();
            let line = e.span().map_or(0, line_of);
            let shown = text.lines().nth(line.saturating_sub(1)).unwrap_or_default().trim();
            ConfigError::Toml {
                line,
                text: shown.chars().take(MAX_SHOWN_CHARS).collect(),
                message: e.message().replace('\n', " "),
            }
        })?;
        config.check()?;
        config.settings.kv_store = config.settings.kv_store.effective();
        Ok(config)
    }

    fn check(&self) -> Result<(), ConfigError> {
        if self.member.is_empty() {
            return invalid_setting("member", SettingProblem::Empty);
        }
        let names = self.members();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            let name = pair[0].clone();
            return invalid_setting("peers", SettingProblem::DuplicateMember { name });
        }
        self.settings.check()
    }

    /// Returns the sorted names of all members. The index of a member is its number and the number
    /// of its home shard, the same on every member.
    pub fn members(&self) -> Vec<String> {
        let mut names: Vec<String> = self.peers.iter().map(|p| p.member.clone()).collect();
        names.push(self.member.clone());
        names.sort();
        names
    }
}
