//! Settings: the platform's TOML file and the operators' own INI options.

use crate::time::Micros;
use ini::Ini;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddrV4;
use std::path::Path;

/// Characters of a line at fault that an error shows.
const SHOWN: usize = 80;

/// A setting that cannot be used, in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
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
    /// The state service.
    pub state: SocketAddrV4,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs at any moment.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs at any moment.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What is expected of a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// `finished`, `deadline`, `wait` or a kind that a later version knows.
    pub kind: String,
    /// The class, where the kind has one.
    #[serde(default)]
    pub class: String,
    /// Time allowed.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of jobs that must meet it.
    #[serde(default)]
    pub share: f64,
}

/// How workers behave.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Between reports.
    pub report_s: f64,
    /// Until an unanswered worker kills its tasks.
    pub lease_s: f64,
    /// Until a cancelled job's tasks must be gone.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second of all nodes.
    pub rps: f64,
    /// Changes per second of all nodes.
    pub write_rps: f64,
    /// Largest value.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: usize,
    /// What it will take from some moment on, without notice; what is absent stays.
    #[serde(default)]
    pub next: Option<NextLimits>,
    /// Largest value until then.
    #[serde(skip)]
    pub value_kb_now: f64,
}

/// Limits that the state service will have later.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Requests per second of all nodes.
    pub rps: Option<f64>,
    /// Changes per second of all nodes.
    pub write_rps: Option<f64>,
    /// Largest value.
    pub value_kb: Option<f64>,
    /// Changes in a transaction.
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The limits to keep: the smaller of those of now and of later, since the change
    /// comes unannounced, and what is larger is refused from then on.
    fn kept(&self) -> StateLimits {
        let next = self.next.clone().unwrap_or_default();
        let least = |now: f64, next: Option<f64>| next.map_or(now, |n| n.min(now));
        StateLimits {
            rps: least(self.rps, next.rps),
            write_rps: least(self.write_rps, next.write_rps),
            value_kb: least(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops)),
            next: self.next.clone(),
            value_kb_now: self.value_kb,
        }
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second of all nodes.
    pub rps: f64,
    /// How far the list lags.
    pub list_lag_s: f64,
}

/// What a node may use.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Share of a core.
    pub cores: f64,
    /// Memory.
    pub mem_mb: f64,
    /// Sockets.
    pub fd_limit: usize,
}

/// Everything of the deployment that all nodes share.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Zones with machines.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Aims.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers.
    pub workers: Workers,
    /// State service.
    pub state: StateLimits,
    /// Cloud.
    pub cloud: CloudLimits,
    /// This node.
    pub machine_limits: MachineLimits,
}

/// The platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// This node's name.
    pub member: String,
    /// Its zone.
    #[serde(default)]
    pub location: String,
    /// For users, workers and probes.
    pub bind: SocketAddrV4,
    /// For other controllers.
    pub peer_bind: SocketAddrV4,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Outside systems.
    pub endpoints: Endpoints,
    /// The deployment.
    pub settings: Settings,
}

impl Config {
    /// Reads and checks the platform's file.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| ConfigError(format!("{}: {e}", path.display())))?;
        Config::parse(&text).map_err(|e| ConfigError(format!("{}: {}", path.display(), e.0)))
    }

    /// Reads and checks the platform's settings.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let mut config: Config = toml::from_str(text).map_err(|e| {
            let at = e.span().map_or(0, |s| text[..s.start.min(text.len())].lines().count());
            let line = text.lines().nth(at.saturating_sub(1)).unwrap_or_default().trim();
            let line: String = line.chars().take(SHOWN).collect();
            ConfigError(format!("line {at}, {line}: {}", e.message().replace('\n', " ")))
        })?;
        config.check()?;
        config.settings.state = config.settings.state.kept();
        Ok(config)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let fail = |key: &str, why: &str| Err(ConfigError(format!("{key}: {why}")));
        if self.member.is_empty() {
            return fail("member", "is empty");
        }
        let names = self.members();
        if names.windows(2).any(|w| w[0] == w[1]) {
            return fail("peers", "two members have the same name");
        }
        let s = &self.settings;
        let positive = [
            ("settings.workers.report_s", s.workers.report_s),
            ("settings.workers.lease_s", s.workers.lease_s),
            ("settings.workers.cancel_s", s.workers.cancel_s),
            ("settings.state.rps", s.state.rps),
            ("settings.state.write_rps", s.state.write_rps),
            ("settings.state.value_kb", s.state.value_kb),
            ("settings.cloud.rps", s.cloud.rps),
            ("settings.machine_limits.cores", s.machine_limits.cores),
            ("settings.machine_limits.mem_mb", s.machine_limits.mem_mb),
        ];
        for (key, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return fail(key, "must be a positive number");
            }
        }
        if let Some(next) = &s.state.next {
            let later = [
                ("settings.state.next.rps", next.rps),
                ("settings.state.next.write_rps", next.write_rps),
                ("settings.state.next.value_kb", next.value_kb),
            ];
            for (key, value) in later {
                if value.is_some_and(|v| !(v.is_finite() && v > 0.0)) {
                    return fail(key, "must be a positive number");
                }
            }
            if next.txn_ops.is_some_and(|n| n < 2) {
                return fail("settings.state.next.txn_ops", "must be at least 2");
            }
        }
        if !(s.cloud.list_lag_s.is_finite() && s.cloud.list_lag_s >= 0.0) {
            return fail("settings.cloud.list_lag_s", "must not be negative");
        }
        if s.state.txn_ops < 2 {
            return fail("settings.state.txn_ops", "must be at least 2");
        }
        if s.machine_limits.fd_limit < 32 {
            return fail("settings.machine_limits.fd_limit", "must be at least 32");
        }
        for (i, t) in s.teams.iter().enumerate() {
            let amounts = [t.cpus, t.cpus_max, t.gpus, t.gpus_max];
            if t.name.is_empty() || amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
                return fail("settings.teams", "a team needs a name and amounts from 0 up");
            }
            if s.teams[..i].iter().any(|o| o.name == t.name) {
                return fail("settings.teams", "two teams have the same name");
            }
        }
        Ok(())
    }

    /// All members' names in order: a member's place is its number, and its
    /// seat's number, on every node alike.
    pub fn members(&self) -> Vec<String> {
        let mut names: Vec<String> = self.peers.iter().map(|p| p.member.clone()).collect();
        names.push(self.member.clone());
        names.sort();
        names
    }
}

/// The operators' own options, from an INI file; every one has a default.
#[derive(Debug, Clone)]
pub struct Options {
    /// `[placement] slack_gb`: image sizes from which each slack step holds.
    pub slack_gb: [f64; 3],
    /// `[placement] slack_tasks`: tasks that a holder may be ahead from there.
    pub slack_tasks: [u32; 3],
    /// `[placement] index_entries`: most image entries kept.
    pub index_entries: usize,
    /// `[placement] index_age_min`: entries older than this are ignored.
    pub index_age: Micros,
    /// `[seats] lease_ms`: state lease under which seats are held.
    pub seat_lease: Micros,
    /// `[seats] hand_back_s`: how long a seat's home must be well first.
    pub hand_back: Micros,
    /// `[jobs] queued_tasks`: accepted tasks a node holds before it refuses.
    pub queued_tasks: usize,
    /// `[jobs] waiting_submissions`: undecided submissions before it refuses.
    pub waiting_submissions: usize,
    /// `[jobs] retry_after_s`: when a refused sender should come back.
    pub retry_after_s: u64,
    /// `[fleet] idle_s`: a rented machine without work is returned after this.
    pub idle: Micros,
    /// `[fleet] spare_share`: room rented beyond what runs and waits.
    pub spare_share: f64,
    /// `[fleet] refused_s`: how long a refusal of the cloud is remembered.
    pub refused: Micros,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            slack_gb: [1.0, 4.0, 12.0],
            slack_tasks: [1, 2, 4],
            index_entries: 50_000,
            index_age: Micros::secs(90 * 60),
            seat_lease: Micros::millis(10_000),
            hand_back: Micros::secs(15),
            queued_tasks: 300_000,
            waiting_submissions: 64,
            retry_after_s: 2,
            idle: Micros::secs(300),
            spare_share: 0.25,
            refused: Micros::secs(20),
        }
    }
}

impl Options {
    /// Reads an INI file over the defaults.
    pub fn load(path: &Path) -> Result<Options, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| ConfigError(format!("{}: {e}", path.display())))?;
        Options::parse(&text).map_err(|e| ConfigError(format!("{}: {}", path.display(), e.0)))
    }

    /// Reads INI text over the defaults. Unknown keys are errors, so that a
    /// misspelt option does not silently keep its default.
    pub fn parse(text: &str) -> Result<Options, ConfigError> {
        let ini = Ini::load_from_str(text).map_err(|e| ConfigError(e.to_string()))?;
        let mut options = Options::default();
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, value) in properties.iter() {
                options
                    .set(section, key, value)
                    .map_err(|why| ConfigError(format!("[{section}] {key} = {value}: {why}")))?;
            }
        }
        Ok(options)
    }

    fn set(&mut self, section: &str, key: &str, value: &str) -> Result<(), &'static str> {
        fn number(value: &str, low: f64, high: f64) -> Result<f64, &'static str> {
            match value.trim().parse::<f64>() {
                Ok(x) if x.is_finite() && (low..=high).contains(&x) => Ok(x),
                _ => Err("not a number in the allowed range"),
            }
        }
        fn three(value: &str, high: f64) -> Result<[f64; 3], &'static str> {
            let parts: Result<Vec<f64>, _> =
                value.split(',').map(|p| number(p, 0.0, high)).collect();
            match <[f64; 3]>::try_from(parts?) {
                Ok(a) if a[0] <= a[1] && a[1] <= a[2] => Ok(a),
                _ => Err("must be three rising numbers"),
            }
        }
        match (section, key) {
            ("placement", "slack_gb") => self.slack_gb = three(value, 1e6)?,
            ("placement", "slack_tasks") => self.slack_tasks = three(value, 1e6)?.map(|x| x as u32),
            ("placement", "index_entries") => {
                self.index_entries = number(value, 1.0, 1e7)? as usize
            }
            ("placement", "index_age_min") => {
                self.index_age = Micros::from_secs_f64(number(value, 0.0, 1e5)? * 60.0)
            }
            ("seats", "lease_ms") => {
                self.seat_lease = Micros::millis(number(value, 1000.0, 60_000.0)? as u64)
            }
            ("seats", "hand_back_s") => {
                self.hand_back = Micros::from_secs_f64(number(value, 1.0, 1e5)?)
            }
            ("jobs", "queued_tasks") => self.queued_tasks = number(value, 1.0, 1e7)? as usize,
            ("jobs", "waiting_submissions") => {
                self.waiting_submissions = number(value, 1.0, 1e5)? as usize
            }
            ("jobs", "retry_after_s") => self.retry_after_s = number(value, 1.0, 30.0)? as u64,
            ("fleet", "idle_s") => self.idle = Micros::from_secs_f64(number(value, 1.0, 1e6)?),
            ("fleet", "spare_share") => self.spare_share = number(value, 0.0, 10.0)?,
            ("fleet", "refused_s") => {
                self.refused = Micros::from_secs_f64(number(value, 1.0, 1e5)?)
            }
            _ => return Err("unknown option"),
        }
        Ok(())
    }
}
