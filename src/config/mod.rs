//! Configuration: the platform's settings (TOML) and the operators' options (INI).
//!
//! Both are read and checked once at startup. An invalid value ends the program with a one-line
//! error.

mod error;
mod options;
mod platform;

pub use error::{ConfigError, OptionProblem, SettingProblem};
pub use options::Options;
pub use platform::{
    CloudLimits, Config, Endpoints, KvStoreLimits, MachineLimits, Peer, ServiceLevelObjective,
    Settings, Team, UpcomingKvStoreLimits, Workers,
};

use std::path::Path;

/// Reads a file and passes its text to `parse`; errors name the file.
fn load<T>(path: &Path, parse: fn(&str) -> Result<T, ConfigError>) -> Result<T, ConfigError> {
    let file = || path.to_path_buf();
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Unreadable { file: file(), source })?;
    parse(&text).map_err(|source| ConfigError::InFile { file: file(), source: Box::new(source) })
}
