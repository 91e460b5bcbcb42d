//! The operators' options, an INI file.

use super::{ConfigError, OptionProblem, load};
use crate::time::Micros;
use ini::Ini;
use std::path::Path;

/// The operators' options. Every option has a default.
#[derive(Debug, Clone)]
pub struct Options {
    /// `[placement] slack_gb`: image sizes, in GB, from which each value of `slack_tasks`
    /// applies; the slack of smaller images is 0.
    pub slack_gb: [f64; 3],
    /// `[placement] slack_tasks`: for each image size, by how many tasks a machine that has the
    /// image may exceed the least loaded machine and still be chosen.
    pub slack_tasks: [u32; 3],
    /// `[placement] index_entries`: maximum number of entries in the image index.
    pub index_entries: usize,
    /// `[placement] index_age_min`: maximum age of entries in the image index; older ones are
    /// ignored.
    pub index_age: Micros,
    /// `[seats] lease_ms`: duration of the controller lease in the key-value store, under which
    /// shards are led.
    pub controller_lease: Micros,
    /// `[seats] hand_back_s`: how long a shard's home member must be healthy before the shard
    /// fails back to it.
    pub failback_delay: Micros,
    /// `[jobs] queued_tasks`: number of accepted tasks above which a controller refuses jobs.
    pub queued_tasks: usize,
    /// `[jobs] waiting_submissions`: number of undecided submissions at which a controller
    /// refuses further ones.
    pub waiting_submissions: usize,
    /// `[jobs] retry_after_s`: seconds after which a refused submission should be retried.
    pub retry_after_s: u64,
    /// `[fleet] idle_s`: time without tasks after which a machine is scaled in.
    pub idle_timeout: Micros,
    /// `[fleet] spare_share`: spare capacity to request beyond the pending tasks, as a share of
    /// them.
    pub spare_share: f64,
    /// `[fleet] refused_s`: how long machines that the cloud refused for lack of capacity are
    /// not requested again.
    pub no_capacity_backoff: Micros,
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
            idle_timeout: Micros::secs(300),
            spare_share: 0.25,
            no_capacity_backoff: Micros::secs(20),
        }
    }
}

impl Options {
    /// Reads an INI file; options that it omits keep their defaults.
    pub fn load(path: &Path) -> Result<Options, ConfigError> {
        load(path, Options::parse)
    }

    /// Parses INI text; options that it omits keep their defaults. Unknown keys are errors, so
    /// that a misspelt option does not silently keep its default.
    pub fn parse(text: &str) -> Result<Options, ConfigError> {
        let ini = Ini::load_from_str(text)?;
        let mut options = Options::default();
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, value) in properties.iter() {
                options.set(section, key, value).map_err(|problem| ConfigError::Option {
                    section: section.to_string(),
                    key: key.to_string(),
                    value: value.to_string(),
                    problem,
                })?;
            }
        }
        Ok(options)
    }

    fn set(&mut self, section: &str, key: &str, value: &str) -> Result<(), OptionProblem> {
        match (section, key) {
            ("placement", "slack_gb") => self.slack_gb = parse_three_ascending(value, 1e6)?,
            ("placement", "slack_tasks") => {
                self.slack_tasks = parse_three_ascending(value, 1e6)?.map(|x| x as u32)
            }
            ("placement", "index_entries") => {
                self.index_entries = parse_number(value, 1.0, 1e7)? as usize
            }
            ("placement", "index_age_min") => {
                self.index_age = Micros::from_secs_f64(parse_number(value, 0.0, 1e5)? * 60.0)
            }
            ("seats", "lease_ms") => {
                self.controller_lease =
                    Micros::millis(parse_number(value, 1000.0, 60_000.0)? as u64)
            }
            ("seats", "hand_back_s") => {
                self.failback_delay = Micros::from_secs_f64(parse_number(value, 1.0, 1e5)?)
            }
            ("jobs", "queued_tasks") => self.queued_tasks = parse_number(value, 1.0, 1e7)? as usize,
            ("jobs", "waiting_submissions") => {
                self.waiting_submissions = parse_number(value, 1.0, 1e5)? as usize
            }
            ("jobs", "retry_after_s") => {
                self.retry_after_s = parse_number(value, 1.0, 30.0)? as u64
            }
            ("fleet", "idle_s") => {
                self.idle_timeout = Micros::from_secs_f64(parse_number(value, 1.0, 1e6)?)
            }
            ("fleet", "spare_share") => self.spare_share = parse_number(value, 0.0, 10.0)?,
            ("fleet", "refused_s") => {
                self.no_capacity_backoff = Micros::from_secs_f64(parse_number(value, 1.0, 1e5)?)
            }
            _ => return Err(OptionProblem::Unknown),
        }
        Ok(())
    }
}

/// Parses a number from `min` to `max`.
fn parse_number(value: &str, min: f64, max: f64) -> Result<f64, OptionProblem> {
    match value.trim().parse::<f64>() {
        Ok(number) if number.is_finite() && (min..=max).contains(&number) => Ok(number),
        _ => Err(OptionProblem::OutOfRange { min, max }),
    }
}

/// Parses three comma-separated numbers from 0 to `max`, none smaller than the one before.
fn parse_three_ascending(value: &str, max: f64) -> Result<[f64; 3], OptionProblem> {
    let parts: Result<Vec<f64>, _> =
        value.split(',').map(|part| parse_number(part, 0.0, max)).collect();
    match <[f64; 3]>::try_from(parts?) {
        Ok(numbers) if numbers.is_sorted() => Ok(numbers),
        _ => Err(OptionProblem::NotAscending),
    }
}
