//! Settings: the platform's TOML file and the operators' own INI options, read and
//! checked once at the start. What cannot be used ends the program with one line.

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

/// Reads a file with `parse`; errors name the file.
fn load<T>(path: &Path, parse: fn(&str) -> Result<T, ConfigError>) -> Result<T, ConfigError> {
    let file = || path.to_path_buf();
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Unreadable { file: file(), source })?;
    parse(&text).map_err(|source| ConfigError::InFile { file: file(), source: Box::new(source) })
}
