//! Settings: the platform's TOML file and the operators' own INI options.

mod options;
mod platform;

pub use options::Options;
pub use platform::{
    CloudLimits, Config, Endpoints, MachineLimits, NextLimits, Peer, ServiceLevelObjective,
    Settings, StateLimits, Team, Workers,
};

use std::fmt;
use std::path::Path;

/// A setting that cannot be used, in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

/// Reads a file with `parse`; errors name the file.
fn load<T>(path: &Path, parse: fn(&str) -> Result<T, ConfigError>) -> Result<T, ConfigError> {
    let named = |reason: String| ConfigError(format!("{}: {reason}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
    parse(&text).map_err(|e| named(e.0))
}
