//! The operators' own options, in INI.

use super::{ConfigError, load};
use crate::time::Micros;
use ini::Ini;
use std::path::Path;

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
    /// `[seats] lease_ms`: state lease under which shards are held.
    pub controller_lease: Micros,
    /// `[seats] hand_back_s`: how long a shard's home must be well first.
    pub failback_delay: Micros,
    /// `[jobs] queued_tasks`: accepted tasks a node holds before it refuses.
    pub queued_tasks: usize,
    /// `[jobs] waiting_submissions`: undecided submissions before it refuses.
    pub waiting_submissions: usize,
    /// `[jobs] retry_after_s`: when a refused sender should come back.
    pub retry_after_s: u64,
    /// `[autoscaler] idle_s`: a rented machine without work is returned after this.
    pub idle: Micros,
    /// `[autoscaler] spare_share`: room rented beyond what runs and waits.
    pub spare_share: f64,
    /// `[autoscaler] refused_s`: how long a refusal of the cloud is remembered.
    pub refused: Micros,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            slack_gb: [1.0, 4.0, 12.0],
            slack_tasks: [1, 2, 4],
            index_entries: 50_000,
            index_age: Micros::secs(90 * 60),
            controller_lease: Micros::millis(10_000),
            failback_delay: Micros::secs(15),
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
        load(path, Options::parse)
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
                self.controller_lease = Micros::millis(number(value, 1000.0, 60_000.0)? as u64)
            }
            ("seats", "hand_back_s") => {
                self.failback_delay = Micros::from_secs_f64(number(value, 1.0, 1e5)?)
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

/// A number from `low` to `high`.
fn number(value: &str, low: f64, high: f64) -> Result<f64, &'static str> {
    match value.trim().parse::<f64>() {
        Ok(x) if x.is_finite() && (low..=high).contains(&x) => Ok(x),
        _ => Err("not a number in the allowed range"),
    }
}

/// Three numbers from 0 to `high`, none smaller than the one before.
fn three(value: &str, high: f64) -> Result<[f64; 3], &'static str> {
    let parts: Result<Vec<f64>, _> = value.split(',').map(|p| number(p, 0.0, high)).collect();
    match <[f64; 3]>::try_from(parts?) {
        Ok(a) if a[0] <= a[1] && a[1] <= a[2] => Ok(a),
        _ => Err("must be three rising numbers"),
    }
}
